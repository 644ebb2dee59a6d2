// sardinectl: the command-line tool for operators.

#include <gflags/gflags.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <thread>
#include <vector>

#include "clock.h"
#include "ctl_commands.h"
#include "operator_client.h"
#include "sardinelead/settings.h"

DECLARE_bool(help);
DECLARE_bool(helpshort);
DEFINE_string(settings, "sardinectl.ini", "INI file: where the VMs are");
DEFINE_string(output, "table", "table or json");
DEFINE_string(id, "", "patch, replace: id of the change; drawn if empty");
DEFINE_string(base, "", "patch: version that it is against, for the file's");
DEFINE_uint64(after, 0, "history: only versions above this one");
DEFINE_uint32(remove, 0, "replace: control VM to remove");
DEFINE_uint32(add, 0, "replace: control VM to add");
DEFINE_bool(histograms, false, "status: histograms by workspace and service");
DEFINE_int32(deadline_s, 20, "patch, replace: how long to try in all");

namespace sardinelead {
namespace {

const std::vector<SettingKey>& Keys() {
  using Type = SettingType;
  using Use = SettingUse;
  static const auto* const kKeys = new std::vector<SettingKey>{
      {"control", "http", Type::kEndpoint, "", 0, 0,
       "HTTP address of a control VM.", Use::kRepeated},
      {"balancers", "http", Type::kEndpoint, "", 0, 0,
       "HTTP address of a balancer.", Use::kRepeated},
      {"access", "token_file", Type::kText, "", 0, 0,
       "File whose first line is the operator's token."},
  };
  return *kKeys;
}

int Exit(CtlExit exit) { return static_cast<int>(exit); }

int UsageError(const std::string& message) {
  std::fprintf(stderr, "sardinectl: %s\n", message.c_str());
  return Exit(CtlExit::kUsage);
}

std::string HelpText() {
  std::string text =
      "sardinectl --settings=FILE [flags] COMMAND [argument]\n\ncommands:\n";
  for (const CtlCommand& command : CtlCommands()) {
    text += std::string("  ") + command.name + " " + command.arguments +
            "\n    " + command.help + "\n";
  }
  text += "\nflags:\n";
  for (const char* name : {"settings", "output", "id", "base", "after",
                           "remove", "add", "histograms", "deadline_s"}) {
    gflags::CommandLineFlagInfo info;
    if (!gflags::GetCommandLineFlagInfo(name, &info)) continue;
    text += "  --" + info.name + " (" + info.default_value + ")\n    " +
            info.description + "\n";
  }
  text +=
      "\nexit codes:\n"
      "  0 done\n"
      "  1 refused: nothing ran\n"
      "  2 the command line or a file is wrong: nothing was sent\n"
      "  3 unknown: it may have run; send it again with the same --id\n"
      "  4 no VM was reached: nothing ran\n\nsettings file:\n";
  return text + SampleSettingsFile(Keys());
}

std::vector<Endpoint> ReadEndpoints(const Settings& settings,
                                    const char* section) {
  std::vector<Endpoint> endpoints;
  for (const std::string& text : settings.Texts(section, "http")) {
    const auto endpoint = Endpoint::Parse(text);
    if (endpoint) endpoints.push_back(*endpoint);
  }
  return endpoints;
}

OperatorClientHooks SystemHooks() {
  OperatorClientHooks hooks;
  hooks.call = SendHttpRequest;
  hooks.now = SteadyNow;
  hooks.sleep = [](Duration pause) { std::this_thread::sleep_for(pause); };
  return hooks;
}

CtlOptions Options() {
  CtlOptions options;
  options.json = FLAGS_output == "json";
  options.id = FLAGS_id;
  options.base = FLAGS_base;
  options.after = std::to_string(FLAGS_after);
  options.remove = FLAGS_remove;
  options.add = FLAGS_add;
  options.histograms = FLAGS_histograms;
  return options;
}

int RunCommand(const CtlCommand& command,
               const std::vector<std::string>& arguments) {
  const auto settings = LoadSettings(Keys(), FLAGS_settings);
  if (!settings) {
    for (const Error& error : settings.error()) UsageError(error.ToString());
    return Exit(CtlExit::kUsage);
  }
  OperatorClientSettings client_settings;
  client_settings.control = ReadEndpoints(*settings, "control");
  client_settings.balancers = ReadEndpoints(*settings, "balancers");
  client_settings.deadline = std::chrono::seconds(FLAGS_deadline_s);
  const std::string token_file = settings->Text("access", "token_file");
  std::ifstream file(token_file);
  if (!std::getline(file, client_settings.token)) {
    return UsageError("cannot read the token from " + token_file);
  }
  OperatorClient client(client_settings, SystemHooks());
  const CtlResult result = command.run(&client, Options(), arguments);
  std::fputs(result.out.c_str(), stdout);
  std::fputs(result.err.c_str(), stderr);
  return Exit(result.exit);
}

int Run(const std::vector<std::string>& words) {
  if (FLAGS_help || FLAGS_helpshort || words.empty()) {
    std::fputs(HelpText().c_str(), FLAGS_help ? stdout : stderr);
    return Exit(FLAGS_help ? CtlExit::kDone : CtlExit::kUsage);
  }
  if (FLAGS_output != "table" && FLAGS_output != "json") {
    return UsageError("--output must be table or json");
  }
  for (const CtlCommand& command : CtlCommands()) {
    if (words.front() != command.name) continue;
    return RunCommand(command, {words.begin() + 1, words.end()});
  }
  return UsageError("no command \"" + words.front() + "\"; see --help");
}

}  // namespace
}  // namespace sardinelead

int main(int argc, char** argv) {
  gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
  return sardinelead::Run({argv + 1, argv + argc});
}
