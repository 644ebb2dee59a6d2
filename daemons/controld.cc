// controld: a replica of the configuration service with its HTTP API.
//
//   controld --settings=FILE              runs the replica
//   controld --settings=FILE --check      validates the settings and exits
//   controld --settings=FILE --bootstrap  initializes a new cluster in the data
//                                         directory and exits; run this once,
//                                         on one VM only
//
// Exit codes: 0 clean shutdown, 1 failure, 2 invalid settings or command line,
// 3 requests were still in flight at the shutdown deadline.

#include <gflags/gflags.h>

#include <asio.hpp>
#include <csignal>
#include <cstdio>
#include <string>

#include "control_api.h"
#include "control_node.h"
#include "control_settings.h"
#include "sardinelead/access.h"
#include "sardinelead/log.h"

DEFINE_string(settings, "", "INI file with the settings");
DEFINE_bool(check, false, "only check the settings");
DEFINE_bool(help_settings, false, "print every setting with its meaning");
DEFINE_bool(bootstrap, false, "begin a new cluster in the data folder and end");

namespace sardinelead {
namespace {

constexpr int kClean = 0;
constexpr int kFailed = 1;
constexpr int kUsage = 2;
constexpr int kShutdownTimeout = 3;
constexpr char kModule[] = "controld";

int PrintError(const Error& error, int exit_code) {
  std::fprintf(stderr, "controld: %s\n", error.ToString().c_str());
  return exit_code;
}

int PrintError(const std::vector<Error>& errors) {
  for (const Error& error : errors) PrintError(error, kUsage);
  return kUsage;
}

// Waits for SIGTERM or SIGINT. SIGHUP reloads the log configuration.
void WaitForSignal() {
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  std::function<void()> wait = [&] {
    signals.async_wait([&](asio::error_code, int signal) {
      if (signal != SIGHUP) return;
      ReloadLogging();
      wait();
    });
  };
  wait();
  context.run();
}

int Serve(const ControlSettings& settings, const Access& access) {
  Metrics metrics;
  ControlNode node(settings.node, &metrics);
  HttpServer server(settings.http);
  ControlApi api;
  api.self = settings.node.replica.self;
  api.node = &node;
  api.access = &access;
  api.metrics = &metrics;
  BindControlApi(api, &server);
  const auto links = node.Start();
  if (!links) return PrintError(links.error(), kFailed);
  const auto http = server.Start();
  if (!http) return PrintError(http.error(), kFailed);
  Log(LogLevel::kInfo, kModule, "started")
      .With("node", api.self.value)
      .With("links", links->ToString())
      .With("http", http->ToString());
  WaitForSignal();
  const bool clean = server.Stop(settings.shutdown_deadline);
  node.Stop();
  Log(LogLevel::kInfo, kModule, "stopped").With("clean", clean);
  return clean ? kClean : kShutdownTimeout;
}

int Run() {
  if (FLAGS_help_settings) {
    std::fputs(SampleSettingsFile(ControlSettingKeys()).c_str(), stdout);
    return kClean;
  }
  const auto file = LoadSettings(ControlSettingKeys(), FLAGS_settings);
  if (!file) return PrintError(file.error());
  auto settings = ToControlSettings(*file);
  if (!settings) return PrintError(settings.error());
  auto key = LoadSharedKey(settings->key_file);
  if (!key) return PrintError(key.error(), kUsage);
  const auto access = Access::Load(settings->access_file);
  if (!access) return PrintError(access.error(), kUsage);
  if (FLAGS_check) return kClean;
  settings->node.links.shared_key = *key;
  StartLogging(settings->log_config);
  if (!FLAGS_bootstrap) return Serve(*settings, *access);
  const auto begun = BootstrapCluster(settings->node);
  return begun ? kClean : PrintError(begun.error(), kFailed);
}

}  // namespace
}  // namespace sardinelead

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "runs a replica of the configuration service\n"
      "  controld --settings=FILE [--check | --bootstrap]\n"
      "  controld --help_settings");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return sardinelead::Run();
}
