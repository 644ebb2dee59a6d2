#ifndef SARDINELEAD_SRC_CONTROL_API_H_
#define SARDINELEAD_SRC_CONTROL_API_H_

// HTTP API of a control VM, for operators:
//
//   POST /v1/patches            {"id", "base", "operations"}
//   GET  /v1/configuration      with ?max_stale_ms=N, fails if staler
//   GET  /v1/history            accepted patches, ?after=VERSION
//   POST /v1/replicas/replace   {"id", "remove", "add"}
//   POST /v1/evacuations        {"data_centre", "active"}
//   GET  /v1/evacuations        data centres that were ever named in an order
//   GET  /v1/status
//   GET  /v1/health, /v1/metrics  no token required
//
// Responses to a patch, a replacement or an evacuation, which has no id:
//   200 {"outcome": "accepted", "version"}
//   409 {"outcome": "refused", "ran": false, "version", "error"}: the change
//       was not applied and never will be under this id
//   503 {"outcome": "unknown", "resend": ID, "error"}
//   400, 401, 403 {"outcome": "not-submitted", "ran": false, "error"}: this
//       request had no effect; an earlier request with the same id is
//       unaffected

#include "control_node.h"
#include "sardinelead/access.h"
#include "sardinelead/http_server.h"
#include "sardinelead/metrics.h"

namespace sardinelead {

// Dependencies of the request handlers. All must outlive the server.
struct ControlApi {
  NodeId self;
  ControlNode* node = nullptr;
  const Access* access = nullptr;
  const Metrics* metrics = nullptr;
  // A configuration is marked stale after this long without quorum contact.
  Duration stale_after = std::chrono::seconds(2);
};

// Registers the routes. Must be called before server->Start().
void BindControlApi(const ControlApi& api, HttpServer* server);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CONTROL_API_H_
