#include "route_encoding.h"

#include <cmath>
#include <utility>

namespace sardinelead {
namespace {

using nlohmann::json;

json ToJson(const Route& route) {
  json pools = json::array();
  for (const PoolShare& share : route.pools) {
    pools.push_back(json::array({share.pool, share.weight}));
  }
  return json::array({route.name, route.address.ToString(),
                      static_cast<std::uint64_t>(route.kind), route.timeout_ms,
                      route.objective_ms, route.priority, std::move(pools)});
}

}  // namespace

json RoutesToJson(const std::vector<Route>& routes) {
  json list = json::array();
  for (const Route& route : routes) list.push_back(ToJson(route));
  return list;
}

json PoolsToJson(const std::vector<Pool>& pools) {
  json list = json::array();
  for (const Pool& pool : pools) {
    json item = json::array({pool.name, pool.health_path, pool.max_flows});
    // Tables without warm-ups stay readable for earlier versions.
    if (pool.warm_up > Duration{0}) {
      item.push_back(DurationToJson(pool.warm_up));
      item.push_back(static_cast<std::uint64_t>(
          std::llround(pool.warm_up_rate * kRateSteps)));
    }
    list.push_back(std::move(item));
  }
  return list;
}

json DurationToJson(Duration duration) {
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint64_t>(ms);
}

}  // namespace sardinelead
