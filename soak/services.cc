#include "services.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "actors.h"

namespace sardinelead::soak {
namespace {

using nlohmann::json;

constexpr Duration kCallDeadline = std::chrono::seconds(1);
constexpr std::uint32_t kServiceNet = 0xc6120000;  // 198.18.0.0
constexpr std::uint32_t kExtraAddress = 3;
constexpr std::uint16_t kFirstExtraPort = 9000;
constexpr std::uint32_t kIdleAddress = 0x1000;
constexpr std::uint16_t kIdlePort = 443;

Endpoint ServiceAt(std::uint32_t last, std::uint16_t port) {
  return {IpAddress::FromV4(kServiceNet + last), port};
}

// The large requests have the lowest rank.
int PriorityOf(const Endpoint& service) {
  if (service == NotesService()) return 0;
  return service == PhotosService() ? 2 : 1;
}

}  // namespace

Endpoint NotesService() { return ServiceAt(1, 8080); }
Endpoint WatchService() { return ServiceAt(1, 8443); }
Endpoint PhotosService() { return ServiceAt(2, 8443); }
Endpoint ExtraService(std::uint16_t place) {
  return ServiceAt(kExtraAddress,
                   static_cast<std::uint16_t>(kFirstExtraPort + place));
}
bool IsIdempotent(const Endpoint& service) { return service != NotesService(); }
bool IsExtra(const Endpoint& service) {
  return service.address == ExtraService(0).address;
}

std::map<Endpoint, std::string> RoutesOf(std::uint64_t version) {
  std::map<Endpoint, std::string> routes = {{NotesService(), "orders"},
                                            {WatchService(), "orders"},
                                            {PhotosService(), "gallery"}};
  const std::uint64_t draw = HashCombine(version, 17);
  for (std::uint16_t i = 0; i < kExtraRoutes; ++i) {
    const Endpoint service = ExtraService(i);
    if ((draw >> i & 1) == 0) continue;
    routes[service] =
        (draw >> (i + kExtraRoutes) & 1) != 0 ? "orders" : "gallery";
  }
  return routes;
}

std::string ConfigText(std::uint64_t version, std::size_t max_idle_routes) {
  json routes = json::array();
  std::map<Endpoint, std::string> all = RoutesOf(version);
  const std::size_t idle = std::min<std::size_t>(
      max_idle_routes, kIdleRoutesPerVersion * (version - 1));
  for (std::size_t i = 0; i < idle; ++i) {
    all[ServiceAt(kIdleAddress + static_cast<std::uint32_t>(i), kIdlePort)] =
        "gallery";
  }
  for (const auto& [service, pool] : all) {
    routes.push_back(
        {{"name", "r-" + service.ToString()},
         {"hostname", service.address.ToString()},
         {"pathPrefix", "/" + std::to_string(service.port) + "/"},
         {"type", IsIdempotent(service) ? "idempotent" : "non_idempotent"},
         {"timeoutMs", 3000},
         {"targetLatencyMs", 300},
         {"priority", PriorityOf(service)},
         {"service", pool}});
  }
  const json root = {{"version", version},
                     {"routes", std::move(routes)},
                     {"services",
                      {{{"name", "orders"}, {"healthPath", "/health"}},
                       {{"name", "gallery"}, {"healthPath", "/health"}}}},
                     {"limits", {{"idleTimeoutMs", 15000}}}};
  return root.dump();
}

void Sleep(Duration duration) { std::this_thread::sleep_for(duration); }

Result<HttpClientResponse> CallControl(std::uint32_t node, HttpMethod method,
                                       const std::string& path,
                                       const std::string& body) {
  HttpClientRequest call;
  call.method = method;
  call.path = path;
  call.body = body;
  call.deadline = kCallDeadline;
  return SendHttpRequest({IpAddress::FromV4(node), kCallRelayPort}, call);
}

}  // namespace sardinelead::soak
