#ifndef SARDINELEAD_SRC_STATUS_PAGE_H_
#define SARDINELEAD_SRC_STATUS_PAGE_H_

// The state of one process as JSON for operators. The status of a control VM
// covers the whole system: each balancer subscribed to it with the
// configuration version active there, and the last reported state of each
// target. Durations are in milliseconds.

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "control_plane.h"
#include "sardinelead/cookie_balancer.h"
#include "sardinelead/feed_follower.h"

namespace sardinelead {

// Returns the address of the VM with the given node id.
using AddressOf = std::function<std::string(NodeId node)>;

nlohmann::json BalancerStatus(const TargetDirectory& directory,
                              const FeedFollower& feed,
                              const CookieBalancer& balancer,
                              const AddressOf& address_of, TimePoint now);
nlohmann::json ControlStatus(const ControlPlane& plane,
                             const AddressOf& address_of, TimePoint now);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_STATUS_PAGE_H_
