// balancerd: the balancer that runs on every entry VM.
//
//   balancerd --settings=balancerd.ini
//   balancerd --settings=balancerd.ini --check
//   balancerd --help-settings
//
// Exit codes: 0 after a clean shutdown, 1 if startup fails, 2 for invalid
// settings, 3 if the shutdown deadline expired.

#include <gflags/gflags.h>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <string>

#include "balancer_node.h"
#include "balancer_settings.h"
#include "clock.h"
#include "sardinelead/access.h"
#include "sardinelead/control_link.h"
#include "sardinelead/log.h"
#include "sardinelead/settings.h"

DEFINE_string(settings, "", "INI file with the settings");
DEFINE_bool(check, false, "only check the settings and the files they name");
DEFINE_bool(help_settings, false, "print every setting with its meaning");

namespace sardinelead {
namespace {

enum ExitCode : int {
  kExitClean = 0,
  kExitStartFailed = 1,
  kExitInvalidSettings = 2,
  kExitShutdownTimeout = 3,
};

// Input that is loaded and validated before the balancer starts.
struct StartupConfig {
  BalancerSettings settings;
  Bytes shared_key;
  Access access;
};

void PrintError(const Error& error) {
  std::fprintf(stderr, "%s\n", error.ToString().c_str());
}

tl::expected<StartupConfig, std::vector<Error>> LoadStartupConfig(
    const std::string& path) {
  const auto values = LoadSettings(BalancerSettingKeys(), path);
  if (!values) return tl::unexpected(values.error());
  auto settings = ToBalancerSettings(*values);
  if (!settings) return tl::unexpected(std::move(settings.error()));
  std::vector<Error> errors;
  StartupConfig out;
  out.settings = std::move(*settings);
  auto key = LoadSharedKey(out.settings.key_file);
  if (!key) errors.push_back(key.error());
  auto access = Access::Load(out.settings.access_file);
  if (!access) errors.push_back(access.error());
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  out.shared_key = std::move(*key);
  out.access = std::move(*access);
  return out;
}

void HandleSignals(asio::signal_set* signals, BalancerNode* node) {
  signals->async_wait(
      [signals, node](const asio::error_code& error, int number) {
        if (error) return;
        if (number == SIGHUP) {
          ReloadLogging();
        } else {
          node->BeginShutdown();
        }
        HandleSignals(signals, node);
      });
}

int Run(const StartupConfig& start) {
  StartLogging(start.settings.log_config);
  asio::io_context context{1};
  Blackboard blackboard;
  BalancerNode node(&context, &blackboard, start.settings, start.shared_key,
                    start.access, ClockIncarnation());
  asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
  HandleSignals(&signals, &node);
  const auto started = node.Start();
  if (!started) {
    PrintError(started.error());
    return kExitStartFailed;
  }
  Log(LogLevel::kInfo, "balancerd", "started")
      .With("id", start.settings.options.self.value)
      .With("data-centre", start.settings.data_centre);
  context.run();
  return node.is_clean() ? kExitClean : kExitShutdownTimeout;
}

int Main() {
  if (FLAGS_help_settings) {
    std::printf("%s", SampleSettingsFile(BalancerSettingKeys()).c_str());
    return kExitClean;
  }
  const auto start = LoadStartupConfig(FLAGS_settings);
  if (!start) {
    for (const Error& error : start.error()) PrintError(error);
    return kExitInvalidSettings;
  }
  if (FLAGS_check) {
    std::printf("%s: settings hold\n", FLAGS_settings.c_str());
    return kExitClean;
  }
  return Run(*start);
}

}  // namespace
}  // namespace sardinelead

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "forwards packets to targets; see --help-settings for its settings");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return sardinelead::Main();
}
