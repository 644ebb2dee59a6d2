#ifndef SARDINELEAD_SRC_STATUS_PAGE_H_
#define SARDINELEAD_SRC_STATUS_PAGE_H_

// What one process believes, as JSON for operators. A control VM's page shows
// the whole system: each balancer that follows it with the version in force
// there, and each target with its last word. Durations are in milliseconds.

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "control_plane.h"
#include "sardinelead/cookie_balancer.h"
#include "sardinelead/feed_follower.h"

namespace sardinelead {

// The address of a VM, by its number in messages.
using AddressOf = std::function<std::string(NodeId node)>;

nlohmann::json BalancerStatus(const TargetDirectory& directory,
                              const FeedFollower& feed,
                              const CookieBalancer& balancer,
                              const AddressOf& address_of, TimePoint now);
nlohmann::json ControlStatus(const ControlPlane& plane,
                             const AddressOf& address_of, TimePoint now);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_STATUS_PAGE_H_
