#ifndef SARDINELEAD_SRC_CONTROL_SETTINGS_H_
#define SARDINELEAD_SRC_CONTROL_SETTINGS_H_

// Settings of the controld daemon.

#include <string>
#include <vector>

#include "control_node.h"
#include "sardinelead/http_server.h"
#include "sardinelead/settings.h"

namespace sardinelead {

const std::vector<SettingKey>& ControlSettingKeys();

struct ControlSettings {
  // The settings of the node, except the shared key, which the daemon loads
  // from `key_file`.
  ControlNodeSettings node;
  HttpServerSettings http;
  std::string key_file;
  std::string access_file;
  std::string log_config;  // Empty for the built-in configuration.
  Duration shutdown_deadline{0};
};

// Converts parsed settings. Also validates constraints that span several
// values, such as duplicate ids.
tl::expected<ControlSettings, std::vector<Error>> ToControlSettings(
    const Settings& settings);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CONTROL_SETTINGS_H_
