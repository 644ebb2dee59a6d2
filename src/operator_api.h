#ifndef SARDINELEAD_SRC_OPERATOR_API_H_
#define SARDINELEAD_SRC_OPERATOR_API_H_

// The HTTP routes of a balancer, for targets and for operators:
//
//   POST /v1/targets             register; returns id, lease and renew interval
//   POST /v1/targets/:id/renew   renew the lease; optionally report the load
//   POST /v1/targets/:id/drain   no new flows; for the target or an operator
//   POST /v1/targets/:id/leave   deregister; ends the target's flows
//   GET  /v1/targets             list the targets of the data centre
//   GET  /v1/status              status of this balancer
//   GET  /v1/histograms          summaries by workspace and service
//   GET  /v1/configuration       the configuration active on this balancer
//   GET  /v1/health, /v1/metrics without a token
//
// All routes but the last two need a bearer token. Changes need the token of
// the workspace's targets or of an operator with write access to the workspace;
// reads need the token of any operator.

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "sardinelead/access.h"
#include "sardinelead/blackboard.h"
#include "sardinelead/health.h"
#include "sardinelead/http_server.h"
#include "sardinelead/metrics.h"
#include "sardinelead/target_registry.h"
#include "sardinelead/types.h"

namespace sardinelead {

// Dependencies of the routes. All pointers must outlive the server.
struct BalancerApi {
  NodeId self;
  std::string data_centre;
  TargetRegistry* targets = nullptr;
  const Health* health = nullptr;
  const Blackboard* blackboard = nullptr;
  const Metrics* metrics = nullptr;
  const Access* access = nullptr;
  std::function<TimePoint()> now;
  // Runs a task on the thread that owns the registry and the health state.
  // Tasks submitted after that thread has ended may be dropped.
  std::function<void(std::function<void()> task)> run;
  // Returns additional fields of /v1/status; called on the same thread. May be
  // empty.
  std::function<nlohmann::json()> status;
};

// Registers the routes. Must be called before server->Start().
void BindBalancerApi(const BalancerApi& api, HttpServer* server);

// Parses a target's announcement. The path of a kMalformed or kOutOfRange error
// is the key at fault.
Result<Announcement> AnnouncementFromJson(const nlohmann::json& json);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_OPERATOR_API_H_
