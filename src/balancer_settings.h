#ifndef SARDINELEAD_SRC_BALANCER_SETTINGS_H_
#define SARDINELEAD_SRC_BALANCER_SETTINGS_H_

// The settings of balancerd.

#include <cstdint>
#include <string>
#include <vector>

#include "sardinelead/balancer.h"
#include "sardinelead/settings.h"

namespace sardinelead {

const std::vector<SettingKey>& BalancerSettingKeys();

struct BalancerSettings {
  BalancerOptions options;  // Without the incarnation and the relay key.
  std::string data_centre;
  Endpoint fabric;
  Endpoint relay;
  Endpoint answers;
  Endpoint control;
  Endpoint http;
  std::vector<NodeAddress> peers;
  std::vector<NodeAddress> control_vms;
  std::string key_file;
  std::string access_file;
  std::string log_config;  // Empty for the built-in configuration.
  std::size_t packet_threads = 1;
  std::size_t http_threads = 1;
  Duration shutdown_deadline{0};
  Duration fabric_idle_period{0};
};

// Validates constraints that span settings: UDP listen addresses must be
// distinct, those advertised to other balancers must not be wildcards, node ids
// must be unique, and the membership lease must span several heartbeats.
tl::expected<BalancerSettings, std::vector<Error>> ToBalancerSettings(
    const Settings& settings);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_BALANCER_SETTINGS_H_
