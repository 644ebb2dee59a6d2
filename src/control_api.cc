#include "control_api.h"

#include <charconv>
#include <memory>
#include <optional>
#include <utility>

#include "clock.h"

namespace sardinelead {
namespace {

using nlohmann::json;
using Respond = HttpServer::Respond;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthorized = 401;
constexpr int kForbidden = 403;
constexpr int kConflict = 409;
constexpr int kUnavailable = 503;

std::optional<std::uint64_t> ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

HttpResponse NotSubmitted(int status, const Error& error) {
  return JsonResponse(
      status,
      {{"outcome", "not-submitted"}, {"ran", false}, {"error", ToJson(error)}});
}

HttpResponse ToResponse(const std::string& id, const Outcome& outcome) {
  switch (outcome.kind) {
    case OutcomeKind::kAccepted:
      return JsonResponse(kOk, {{"outcome", "accepted"},
                                {"id", id},
                                {"version", outcome.version.value}});
    case OutcomeKind::kRefused:
      return JsonResponse(kConflict, {{"outcome", "refused"},
                                      {"id", id},
                                      {"ran", false},
                                      {"version", outcome.version.value},
                                      {"error", ToJson(outcome.error)}});
    case OutcomeKind::kUnknown:
      break;
  }
  return JsonResponse(kUnavailable, {{"outcome", "unknown"},
                                     {"id", id},
                                     {"resend", id},
                                     {"error", ToJson(outcome.error)}});
}

Result<NodeId> ParseNodeId(const json& body, const char* key) {
  const auto found = body.find(key);
  if (found == body.end()) return NodeId{};
  const bool is_node_id =
      found->is_number_unsigned() && found->get<std::uint64_t>() <= UINT32_MAX;
  if (is_node_id) return NodeId{found->get<std::uint32_t>()};
  return Fail(ErrorCode::kMalformed, "expected a VM's number", key);
}

Result<ReplicaChange> ReplicaChangeFromJson(const json& body) {
  for (const auto& [key, value] : body.items()) {
    if (key == "id" || key == "remove" || key == "add") continue;
    return Fail(ErrorCode::kMalformed, "unknown key", key);
  }
  ReplicaChange change;
  const auto id = body.find("id");
  if (id == body.end() || !id->is_string()) {
    return Fail(ErrorCode::kMalformed, "expected a text", "id");
  }
  change.id = id->get<std::string>();
  const auto removed = ParseNodeId(body, "remove");
  if (!removed) return tl::unexpected(removed.error());
  const auto added = ParseNodeId(body, "add");
  if (!added) return tl::unexpected(added.error());
  change.remove = *removed;
  change.add = *added;
  return change;
}

struct EvacuationCall {
  std::string data_centre;
  bool is_active = false;
};

Result<EvacuationCall> EvacuationCallFromJson(const json& body) {
  const auto name = body.find("data_centre");
  if (name == body.end() || !name->is_string()) {
    return Fail(ErrorCode::kMalformed, "expected a text", "data_centre");
  }
  const auto active = body.find("active");
  if (active == body.end() || !active->is_boolean()) {
    return Fail(ErrorCode::kMalformed, "expected true or false", "active");
  }
  return EvacuationCall{name->get<std::string>(), active->get<bool>()};
}

// A conflict with another order is not a final refusal: the caller may resend.
HttpResponse EvacuationResponse(const Outcome& outcome) {
  const bool may_resend = outcome.kind == OutcomeKind::kRefused &&
                          outcome.error.code == ErrorCode::kVersionConflict;
  Outcome reported = outcome;
  if (may_resend) reported.kind = OutcomeKind::kUnknown;
  return ToResponse("", reported);
}

json ToJson(const ReplicaStatus& status) {
  json members = json::array();
  for (const auto& [node, joined] : status.members) {
    members.push_back({{"node", node.value}, {"joined", joined}});
  }
  return {{"role", Name(status.role)},
          {"cluster", std::to_string(status.cluster)},
          {"log_index", status.log_index},
          {"staleness_ms", Milliseconds(status.staleness)},
          {"members", std::move(members)}};
}

class Routes {
 public:
  explicit Routes(const ControlApi& api) : m_api(api) {}

  void SubmitPatch(const HttpRequest& request, const Respond& respond) const {
    const auto user = m_api.access->FindOperator(request.BearerToken());
    if (!user) return respond(NotSubmitted(kUnauthorized, user.error()));
    const auto body = ParseJsonObject(request.body);
    if (!body) return respond(NotSubmitted(kBadRequest, body.error()));
    const auto patch = PatchFromJson(*body);
    if (!patch) return respond(NotSubmitted(kBadRequest, patch.error()));
    const auto allowed = CheckPatch(*user, *patch);
    if (!allowed) return respond(NotSubmitted(kForbidden, allowed.error()));
    m_api.node->Submit(user->name, *patch,
                       [respond, id = patch->id](const Outcome& outcome) {
                         respond(ToResponse(id, outcome));
                       });
  }

  void ReplaceReplica(const HttpRequest& request,
                      const Respond& respond) const {
    const auto user = m_api.access->FindOperator(request.BearerToken());
    if (!user) return respond(NotSubmitted(kUnauthorized, user.error()));
    const auto allowed = CheckFullAccess(*user, "replace control VMs");
    if (!allowed) return respond(NotSubmitted(kForbidden, allowed.error()));
    const auto body = ParseJsonObject(request.body);
    if (!body) return respond(NotSubmitted(kBadRequest, body.error()));
    const auto change = ReplicaChangeFromJson(*body);
    if (!change) return respond(NotSubmitted(kBadRequest, change.error()));
    m_api.node->Submit(user->name, *change,
                       [respond, id = change->id](const Outcome& outcome) {
                         respond(ToResponse(id, outcome));
                       });
  }

  void OrderEvacuation(const HttpRequest& request,
                       const Respond& respond) const {
    const auto user = m_api.access->FindOperator(request.BearerToken());
    if (!user) return respond(NotSubmitted(kUnauthorized, user.error()));
    const auto allowed = CheckFullAccess(*user, "evacuate data centres");
    if (!allowed) return respond(NotSubmitted(kForbidden, allowed.error()));
    const auto body = ParseJsonObject(request.body);
    if (!body) return respond(NotSubmitted(kBadRequest, body.error()));
    const auto call = EvacuationCallFromJson(*body);
    if (!call) return respond(NotSubmitted(kBadRequest, call.error()));
    m_api.node->OrderEvacuation(call->data_centre, call->is_active,
                                request.is_closed,
                                [respond](const Outcome& outcome) {
                                  respond(EvacuationResponse(outcome));
                                });
  }

  void Evacuations(const HttpRequest& request, const Respond& respond) const {
    Read(request, respond, [](const Replica& replica, TimePoint now) {
      json list = json::array();
      for (const auto& [name, entry] : replica.evacuations().entries()) {
        list.push_back({{"data_centre", name},
                        {"active", entry.is_active},
                        {"log_index", entry.changed_at}});
      }
      const Duration staleness = replica.Status(now).staleness;
      return JsonResponse(kOk, {{"evacuations", std::move(list)},
                                {"staleness_ms", Milliseconds(staleness)}});
    });
  }

  void Configuration(const HttpRequest& request, const Respond& respond) const {
    const auto max_stale = ParseNumber(request.Query("max_stale_ms"));
    Read(request, respond, [=](const Replica& replica, TimePoint now) {
      const Duration staleness = replica.Status(now).staleness;
      const auto stale_ms = static_cast<std::uint64_t>(
          std::max<std::int64_t>(Milliseconds(staleness), 0));
      if (max_stale && stale_ms > *max_stale) {
        return ErrorResponse(
            {ErrorCode::kUnavailable,
             "no quorum was heard for " + std::to_string(stale_ms) + " ms",
             "max_stale_ms"});
      }
      json body = sardinelead::ToJson(*replica.configuration());
      const bool is_stale = staleness > m_api.stale_after;
      body["stale"] = is_stale;
      body["staleness_ms"] = stale_ms;
      HttpResponse response = JsonResponse(kOk, body);
      response.headers["X-Config-Version"] =
          std::to_string(replica.configuration()->version.value);
      response.headers["X-Config-Stale"] = is_stale ? "yes" : "no";
      return response;
    });
  }

  void History(const HttpRequest& request, const Respond& respond) const {
    const std::uint64_t after = ParseNumber(request.Query("after")).value_or(0);
    Read(request, respond, [=](const Replica& replica, TimePoint) {
      json patches = json::array();
      for (const PatchRecord& record : replica.History()) {
        if (record.version.value <= after) continue;
        patches.push_back({{"version", record.version.value},
                           {"operator", record.operator_name},
                           {"patch", sardinelead::ToJson(record.patch)}});
      }
      return JsonResponse(kOk,
                          {{"version", replica.configuration()->version.value},
                           {"patches", std::move(patches)}});
    });
  }

  void Status(const HttpRequest& request, const Respond& respond) const {
    Read(request, respond, [this](const Replica& replica, TimePoint now) {
      json body = ToJson(replica.Status(now));
      body["node"] = m_api.self.value;
      body["version"] = replica.configuration()->version.value;
      json links = json::array();
      for (const NodeId peer : m_api.node->LinkedPeers()) {
        links.push_back(peer.value);
      }
      body["links"] = std::move(links);
      return JsonResponse(kOk, body);
    });
  }

  void Health(const HttpRequest&, const Respond& respond) const {
    m_api.node->Read([this, respond](const Replica& replica, TimePoint now) {
      const ReplicaStatus status = replica.Status(now);
      const bool is_current = status.role == ReplicaRole::kVoting &&
                              status.staleness <= m_api.stale_after;
      respond(JsonResponse(is_current ? kOk : kUnavailable,
                           {{"status", is_current ? "ok" : "stale"},
                            {"role", Name(status.role)}}));
    });
  }

  HttpResponse MetricsResponse() const {
    return TextResponse(kOk, m_api.metrics->PrometheusText());
  }

 private:
  static Result<void> CheckFullAccess(const Operator& user,
                                      const char* action) {
    if (user.all_workspaces) return {};
    return Fail(ErrorCode::kNotAllowed,
                "operator \"" + user.name + "\" may not " + action);
  }

  template <typename MakeResponse>
  void Read(const HttpRequest& request, const Respond& respond,
            MakeResponse make_response) const {
    const auto user = m_api.access->FindOperator(request.BearerToken());
    if (!user) return respond(ErrorResponse(kUnauthorized, user.error()));
    m_api.node->Read(
        [respond, make_response](const Replica& replica, TimePoint now) {
          respond(make_response(replica, now));
        });
  }

  const ControlApi m_api;
};

}  // namespace

void BindControlApi(const ControlApi& api, HttpServer* server) {
  const auto routes = std::make_shared<const Routes>(api);
  using Method = void (Routes::*)(const HttpRequest&, const Respond&) const;
  const auto add_route = [&](HttpMethod method, const char* pattern,
                             Method handler) {
    server->HandleAsync(
        method, pattern,
        [routes, handler](const HttpRequest& request, const Respond& respond) {
          ((*routes).*handler)(request, respond);
        });
  };
  add_route(HttpMethod::kPost, "/v1/patches", &Routes::SubmitPatch);
  add_route(HttpMethod::kPost, "/v1/replicas/replace", &Routes::ReplaceReplica);
  add_route(HttpMethod::kPost, "/v1/evacuations", &Routes::OrderEvacuation);
  add_route(HttpMethod::kGet, "/v1/evacuations", &Routes::Evacuations);
  add_route(HttpMethod::kGet, "/v1/configuration", &Routes::Configuration);
  add_route(HttpMethod::kGet, "/v1/history", &Routes::History);
  add_route(HttpMethod::kGet, "/v1/status", &Routes::Status);
  add_route(HttpMethod::kGet, "/v1/health", &Routes::Health);
  server->Handle(HttpMethod::kGet, "/v1/metrics", [routes](const HttpRequest&) {
    return routes->MetricsResponse();
  });
}

}  // namespace sardinelead
