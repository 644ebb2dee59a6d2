// Measures what a change of one route costs a balancer and a control VM, at
// tables of different sizes.

#include <chrono>
#include <string>

#include "bench.h"
#include "sardinelead/route_history.h"
#include "sardinelead/route_table.h"

namespace sardinelead::bench {
namespace {

constexpr int kChanges = 400;
constexpr std::uint32_t kSmallTable = 400;
constexpr std::uint32_t kMiddleTable = 4'000;
constexpr std::uint32_t kLargeTable = 20'000;
// A change at the large table costs a balancer at most this many times what it
// costs at the small one.
constexpr double kMaxGrowth = 3;

RouteTable MakeTable(std::uint32_t routes) {
  RouteTable table;
  table.version = ConfigVersion{1};
  table.pools = {{"orders", "/health", 0}};
  for (std::uint32_t i = 0; i < routes; ++i) {
    Route route;
    route.name = "r-" + std::to_string(HashCombine(i, 3));
    route.address = {IpAddress::FromV4(0xc6120000 + i), 443};
    route.timeout_ms = 1000;
    route.pools = {{"orders", 1}};
    table.routes.push_back(route);
  }
  table.BuildIndex();
  return table;
}

double MicrosecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::micro>(
             std::chrono::steady_clock::now() - start)
      .count();
}

struct ChangeCost {
  double balancer_us = 0;  // To decode and apply.
  double control_us = 0;   // To compare and encode.
};

ChangeCost MeasureChange(std::uint32_t routes) {
  RouteTable table = MakeTable(routes);
  RouteHistory history;
  history.Add(table);
  RouteTable next = table;
  ChangeCost cost;
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    const ConfigVersion held = next.version;
    next.version = ConfigVersion{held.value + 1};
    Route& route = next.routes[HashCombine(i, 5) % next.routes.size()];
    ++route.timeout_ms;
    const auto compare = std::chrono::steady_clock::now();
    history.Add(next);
    cost.control_us += MicrosecondsSince(compare) / kChanges;
    const RouteUpdate update = history.UpdateFrom(held);
    const auto apply = std::chrono::steady_clock::now();
    const auto change = DecodeRouteChange(*update.changes.front());
    const bool is_applied = change && table.Apply(*change).has_value();
    cost.balancer_us += MicrosecondsSince(apply) / kChanges;
    if (!is_applied) return {};
  }
  return cost;
}

void RunRoutes(const std::vector<std::uint64_t>&, FigureSink* sink) {
  double small_us = 0;
  for (const std::uint32_t routes : {kSmallTable, kMiddleTable, kLargeTable}) {
    const ChangeCost cost = MeasureChange(routes);
    if (routes == kSmallTable) small_us = cost.balancer_us;
    const std::string suffix = ".routes_" + std::to_string(routes);
    sink->Print("change.balancer" + suffix, cost.balancer_us, "us");
    sink->Print("change.control" + suffix, cost.control_us, "us");
    if (routes == kLargeTable) {
      sink->Print("change.balancer.growth", cost.balancer_us / small_us,
                  "times", "<=", kMaxGrowth);
    }
  }
  const Bytes encoded = EncodeRouteTable(MakeTable(kLargeTable));
  const auto decode = std::chrono::steady_clock::now();
  const auto table = DecodeRouteTable(encoded);
  if (!table) return;
  sink->Print("table.balancer.routes_" + std::to_string(kLargeTable),
              MicrosecondsSince(decode), "us");
}

const Registration kRegistration("routes", RunRoutes);

}  // namespace
}  // namespace sardinelead::bench
