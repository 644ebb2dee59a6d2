#include "operator_api.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <limits>
#include <memory>
#include <optional>
#include <utility>

#include "clock.h"

namespace sardinelead {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kCreated = 201;
constexpr int kUnauthorized = 401;

std::string ToText(TargetId id) {
  std::array<char, 17> text{};
  std::snprintf(text.data(), text.size(), "%016llx",
                static_cast<unsigned long long>(id.value));
  return text.data();
}

Result<TargetId> ParseTargetId(const std::string& text) {
  TargetId id;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data(), end, id.value, 16);
  if (read.ec == std::errc() && read.ptr == end && id.value != 0) return id;
  return Fail(ErrorCode::kMalformed, "\"" + text + "\" is no valid target id",
              "id");
}

// Reads an integer from 0 to `max`. Returns `default_value` if the key is
// absent.
Result<std::int64_t> ReadNumber(const json& object, const char* key,
                                std::int64_t default_value, std::int64_t max) {
  const auto found = object.find(key);
  if (found == object.end()) return default_value;
  const bool is_integer =
      found->is_number_unsigned() || found->is_number_integer();
  if (!is_integer) {
    return Fail(ErrorCode::kMalformed, "expected a whole number", key);
  }
  const bool fits =
      found->is_number_unsigned()
          ? found->get<std::uint64_t>() <= static_cast<std::uint64_t>(max)
          : found->get<std::int64_t>() >= 0;
  if (fits) return found->get<std::int64_t>();
  return Fail(ErrorCode::kOutOfRange, "expected 0 to " + std::to_string(max),
              key);
}

Result<std::string> ReadText(const json& object, const char* key) {
  const auto found = object.find(key);
  if (found != object.end() && found->is_string()) {
    return found->get<std::string>();
  }
  return Fail(ErrorCode::kMalformed, "expected a text", key);
}

Result<void> CheckKeys(const json& object,
                       std::initializer_list<const char*> allowed) {
  for (const auto& [key, value] : object.items()) {
    bool known = false;
    for (const char* name : allowed) known = known || key == name;
    if (known) continue;
    return Fail(ErrorCode::kMalformed, "unknown key", key);
  }
  return {};
}

Result<LoadReport> LoadFromJson(const json& object) {
  const auto keys =
      CheckKeys(object, {"busy_slots", "connections", "shedding"});
  if (!keys) return tl::unexpected(keys.error());
  constexpr std::int64_t kMax = std::numeric_limits<std::int32_t>::max();
  const auto busy = ReadNumber(object, "busy_slots", 0, kMax);
  if (!busy) return tl::unexpected(busy.error());
  const auto connections = ReadNumber(object, "connections", 0, kMax);
  if (!connections) return tl::unexpected(connections.error());
  const auto shedding = object.find("shedding");
  const bool given = shedding != object.end();
  if (given && !shedding->is_boolean()) {
    return Fail(ErrorCode::kMalformed, "expected true or false", "shedding");
  }
  return LoadReport{*busy, *connections, given && shedding->get<bool>()};
}

json ToJson(const AnnounceReply& reply) {
  return {{"id", ToText(reply.id)},
          {"lease_ms", Milliseconds(reply.lease)},
          {"renew_every_ms", Milliseconds(reply.renew_every)}};
}

json ToJson(const HistogramSnapshot& reading) {
  const Histogram::Summary& summary = reading.summary;
  const auto count = static_cast<double>(summary.count);
  json object = {{"name", reading.name},
                 {"count", summary.count},
                 {"mean", summary.count == 0 ? 0 : summary.sum / count},
                 {"p50", summary.Quantile(0.5)},
                 {"p90", summary.Quantile(0.9)},
                 {"p99", summary.Quantile(0.99)},
                 {"max", summary.count == 0 ? 0 : summary.max}};
  for (const auto& [name, value] : reading.labels) object[name] = value;
  return object;
}

// The route handlers. Requests are received on the server's threads; handlers
// that use the registry run on the thread that owns it.
class Routes {
 public:
  explicit Routes(BalancerApi api) : m_api(std::move(api)) {}

  HttpResponse Announce(const HttpRequest& request) const {
    const auto body = ParseJsonObject(request.body);
    if (!body) return ErrorResponse(body.error());
    auto announcement = AnnouncementFromJson(*body);
    if (!announcement) return ErrorResponse(announcement.error());
    announcement->token = request.BearerToken();
    const auto reply = m_api.targets->Announce(*announcement, m_api.now());
    if (!reply) return ErrorResponse(reply.error());
    return JsonResponse(kCreated, ToJson(*reply));
  }

  HttpResponse Renew(const HttpRequest& request) const {
    const auto id = ParseTargetId(request.Param("id"));
    if (!id) return ErrorResponse(id.error());
    Renewal renewal{*id, request.BearerToken(), {}};
    if (!request.body.empty()) {
      const auto body = ParseJsonObject(request.body);
      if (!body) return ErrorResponse(body.error());
      const auto load = LoadFromJson(*body);
      if (!load) return ErrorResponse(load.error());
      renewal.load = *load;
    }
    const auto reply = m_api.targets->Renew(renewal, m_api.now());
    if (!reply) return ErrorResponse(reply.error());
    return JsonResponse(kOk, ToJson(*reply));
  }

  HttpResponse Drain(const HttpRequest& request) const {
    return EndTarget(request, &TargetRegistry::Drain);
  }
  HttpResponse Leave(const HttpRequest& request) const {
    return EndTarget(request, &TargetRegistry::Leave);
  }

  HttpResponse Targets(const HttpRequest& request) const {
    const auto who = m_api.access->FindOperator(request.BearerToken());
    if (!who) return ErrorResponse(kUnauthorized, who.error());
    const auto configuration = m_api.blackboard->configuration.Read();
    const auto snapshot = m_api.blackboard->targets.Read();
    json targets = json::array();
    for (const TargetRecord& record : m_api.targets->Records()) {
      targets.push_back(Describe(record, *configuration, *snapshot));
    }
    return JsonResponse(kOk, {{"targets", std::move(targets)}});
  }

  HttpResponse Status(const HttpRequest& request) const {
    const auto who = m_api.access->FindOperator(request.BearerToken());
    if (!who) return ErrorResponse(kUnauthorized, who.error());
    json status = m_api.status ? m_api.status() : json::object();
    status["node"] = m_api.self.value;
    status["data_centre"] = m_api.data_centre;
    status["version"] = m_api.blackboard->configuration.Read()->version.value;
    json members = json::array();
    const auto view = m_api.blackboard->view.Read();
    for (const Member& member : view->members()) {
      members.push_back(
          {{"node", member.id.value}, {"state", Name(member.state)}});
    }
    status["members"] = std::move(members);
    return JsonResponse(kOk, status);
  }

  HttpResponse Configuration(const HttpRequest& request) const {
    const auto who = m_api.access->FindOperator(request.BearerToken());
    if (!who) return ErrorResponse(kUnauthorized, who.error());
    return JsonResponse(
        kOk, sardinelead::ToJson(*m_api.blackboard->configuration.Read()));
  }

  HttpResponse Histograms(const HttpRequest& request) const {
    const auto who = m_api.access->FindOperator(request.BearerToken());
    if (!who) return ErrorResponse(kUnauthorized, who.error());
    json histograms = json::array();
    for (const HistogramSnapshot& reading : m_api.metrics->Histograms()) {
      histograms.push_back(ToJson(reading));
    }
    return JsonResponse(kOk, {{"histograms", std::move(histograms)}});
  }

  HttpResponse HealthState() const {
    const auto version = m_api.blackboard->configuration.Read()->version;
    return JsonResponse(kOk, {{"status", "ok"}, {"version", version.value}});
  }

  HttpResponse MetricsPage() const {
    return TextResponse(kOk, m_api.metrics->PrometheusText());
  }

  void RunOnOwnerThread(const HttpServer::Handler& handler,
                        const HttpRequest& request,
                        const HttpServer::Respond& respond) const {
    m_api.run([handler, request, respond] { respond(handler(request)); });
  }

 private:
  using EndTargetFunction = Result<void> (TargetRegistry::*)(TargetId,
                                                             TimePoint);

  HttpResponse EndTarget(const HttpRequest& request,
                         EndTargetFunction end) const {
    const auto id = ParseTargetId(request.Param("id"));
    if (!id) return ErrorResponse(id.error());
    const auto workspace = WorkspaceOf(*id);
    if (!workspace) return ErrorResponse(workspace.error());
    const auto allowed =
        m_api.access->AuthorizeTarget(request.BearerToken(), *workspace);
    if (!allowed) return ErrorResponse(allowed.error());
    const auto done = (m_api.targets->*end)(*id, m_api.now());
    if (!done) return ErrorResponse(done.error());
    return JsonResponse(kOk, {{"id", ToText(*id)}});
  }

  Result<std::string> WorkspaceOf(TargetId id) const {
    const auto configuration = m_api.blackboard->configuration.Read();
    for (const TargetRecord& record : m_api.targets->Records()) {
      if (record.Id() != id) continue;
      const Service* service = configuration->FindById(record.service);
      if (service != nullptr) return service->workspace;
    }
    return Fail(ErrorCode::kUnknownName,
                "target " + ToText(id) + " does not exist");
  }

  json Describe(const TargetRecord& record,
                const sardinelead::Configuration& configuration,
                const TargetSnapshot& snapshot) const {
    const Service* service = configuration.FindById(record.service);
    const Target* target = snapshot.Find(record.Id());
    json object = {{"id", ToText(record.Id())},
                   {"name", record.name},
                   {"tunnel", record.tunnel.ToString()},
                   {"slots", record.slots},
                   {"incarnation", record.incarnation.value},
                   {"lease", Name(record.state)},
                   {"draining", record.draining},
                   {"home", record.home.value},
                   {"health", Name(m_api.health->VerdictOf(record.Id()))}};
    object["service"] = service == nullptr
                            ? std::to_string(record.service.value)
                            : service->workspace + "/" + service->name;
    if (target != nullptr) object["state"] = Name(target->state);
    if (target != nullptr) object["weight"] = target->weight;
    return object;
  }

  const BalancerApi m_api;
};

}  // namespace

Result<Announcement> AnnouncementFromJson(const json& object) {
  const auto keys = CheckKeys(object, {"service", "name", "tunnel", "slots",
                                       "incarnation", "check_port"});
  if (!keys) return tl::unexpected(keys.error());
  Announcement announcement;
  const auto service = ReadText(object, "service");
  if (!service) return tl::unexpected(service.error());
  announcement.service = *service;
  announcement.workspace = service->substr(0, service->find('/'));
  const auto name = ReadText(object, "name");
  if (!name) return tl::unexpected(name.error());
  announcement.name = *name;
  const auto tunnel = ReadText(object, "tunnel");
  if (!tunnel) return tl::unexpected(tunnel.error());
  const auto endpoint = Endpoint::Parse(*tunnel);
  if (!endpoint) {
    return Fail(ErrorCode::kMalformed, "expected an address with a port",
                "tunnel");
  }
  announcement.tunnel = *endpoint;
  const auto slots = ReadNumber(object, "slots", 1, kMaxSlots);
  if (!slots) return tl::unexpected(slots.error());
  announcement.slots = static_cast<std::uint32_t>(*slots);
  const auto incarnation = ReadNumber(object, "incarnation", 0,
                                      std::numeric_limits<std::int64_t>::max());
  if (!incarnation) return tl::unexpected(incarnation.error());
  announcement.incarnation =
      Incarnation{static_cast<std::uint64_t>(*incarnation)};
  const auto port = ReadNumber(object, "check_port", 0, UINT16_MAX);
  if (!port) return tl::unexpected(port.error());
  announcement.check_port = static_cast<std::uint16_t>(*port);
  return announcement;
}

void BindBalancerApi(const BalancerApi& api, HttpServer* server) {
  const auto routes = std::make_shared<const Routes>(api);
  using Method = HttpResponse (Routes::*)(const HttpRequest&) const;
  const auto bind = [&](HttpMethod method, const char* pattern, Method act) {
    const HttpServer::Handler handler = [routes, act](const HttpRequest& r) {
      return ((*routes).*act)(r);
    };
    server->HandleAsync(method, pattern,
                        [routes, handler](const HttpRequest& request,
                                          const HttpServer::Respond& respond) {
                          routes->RunOnOwnerThread(handler, request, respond);
                        });
  };
  bind(HttpMethod::kPost, "/v1/targets", &Routes::Announce);
  bind(HttpMethod::kPost, "/v1/targets/:id/renew", &Routes::Renew);
  bind(HttpMethod::kPost, "/v1/targets/:id/drain", &Routes::Drain);
  bind(HttpMethod::kPost, "/v1/targets/:id/leave", &Routes::Leave);
  bind(HttpMethod::kGet, "/v1/targets", &Routes::Targets);
  bind(HttpMethod::kGet, "/v1/status", &Routes::Status);
  server->Handle(HttpMethod::kGet, "/v1/configuration",
                 [routes](const HttpRequest& request) {
                   return routes->Configuration(request);
                 });
  server->Handle(HttpMethod::kGet, "/v1/histograms",
                 [routes](const HttpRequest& request) {
                   return routes->Histograms(request);
                 });
  server->Handle(HttpMethod::kGet, "/v1/health", [routes](const HttpRequest&) {
    return routes->HealthState();
  });
  server->Handle(HttpMethod::kGet, "/v1/metrics", [routes](const HttpRequest&) {
    return routes->MetricsPage();
  });
}

}  // namespace sardinelead
