// Area "flows": flows broken by changes in this implementation and in the
// baselines, control traffic and memory.

#include <algorithm>
#include <functional>
#include <map>
#include <string>

#include "bench.h"
#include "fake_data_centre.h"
#include "flows_baselines.h"

namespace sardinelead::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kFlows = 4000;

using Change = std::function<void(FakeDataCentre*)>;

void RollingRestart(FakeDataCentre* centre) {
  for (std::uint32_t i = 0; i < 9; ++i) {
    centre->Leave(i);
    centre->RunFor(seconds(30));
    centre->Start(i);
    centre->RunFor(seconds(30));
  }
}

std::map<std::string, Change> Changes() {
  return {
      {"target_drains",
       [](FakeDataCentre* c) { c->SetTargetState(3, TargetState::kDraining); }},
      {"target_added", [](FakeDataCentre* c) { c->AddTarget(0); }},
      {"balancer_killed", [](FakeDataCentre* c) { c->Kill(0); }},
      {"killed_while_draining",
       [](FakeDataCentre* c) {
         c->SetTargetState(3, TargetState::kDraining);
         c->RunFor(seconds(2));
         c->Kill(0);
       }},
      {"two_killed_at_once",
       [](FakeDataCentre* c) {
         c->Kill(0);
         c->Kill(1);
       }},
      {"rolling_restart", RollingRestart},
  };
}

FakeReport Measure(const Change& change, std::uint64_t seed) {
  FakeSettings settings;
  settings.seed = seed;
  settings.callers = kFlows;
  settings.flow_duration = seconds(120);
  FakeDataCentre centre(settings);
  centre.Begin();
  centre.RunFor(seconds(35));
  change(&centre);
  centre.RunFor(seconds(30));
  return centre.Report();
}

void PrintOurs(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  double wrong = 0;
  double control = 0;
  for (const auto& [name, change] : Changes()) {
    double broken = 0;
    double relays = 0;
    for (const std::uint64_t seed : seeds) {
      const FakeReport report = Measure(change, seed);
      broken += static_cast<double>(report.broken);
      wrong += static_cast<double>(report.Violations());
      control = std::max(control, report.worst_control_rate);
      relays += static_cast<double>(report.relays) /
                static_cast<double>(report.from_fabric);
    }
    sink->Print("broken." + name + ".ours", broken, "flows", "==", 0);
    sink->Print("relays_per_packet." + name, relays / seeds.size(), "relays");
  }
  sink->Print("wrong_deliveries", wrong, "packets", "==", 0);
  sink->Print("control_bytes.changes", control, "B/s", "<=", 4096);
}

void PrintBaselines(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  for (const auto change :
       {BaselineChange::kTargetDrains, BaselineChange::kTargetAdded,
        BaselineChange::kBalancerKilled, BaselineChange::kKilledWhileDraining,
        BaselineChange::kRollingRestart}) {
    for (const auto baseline :
         {Baseline::kModulo, Baseline::kMaglev, Baseline::kMaglevWithState}) {
      double sum = 0;
      for (const std::uint64_t seed : seeds) {
        sum += BrokenPercent(baseline, change, kFlows, seed);
      }
      sink->Print(std::string("broken.") + Name(change) + "." + Name(baseline),
                  sum / seeds.size(), "percent");
    }
  }
}

// 27,000 new flows per second over nine balancers, one of which is killed.
void PrintControlUnderLoad(std::uint64_t seed, FigureSink* sink) {
  FakeSettings settings;
  settings.seed = seed;
  settings.callers = 36000;
  settings.think_time = milliseconds(50);
  settings.flow_duration = milliseconds(100);
  settings.idle_time = milliseconds(50);
  FakeDataCentre centre(settings);
  centre.Begin();
  centre.RunFor(seconds(4));
  const std::uint64_t before = centre.Report().opened;
  centre.RunFor(seconds(1));
  const auto opened = static_cast<double>(centre.Report().opened - before);
  centre.Kill(0);
  centre.RunFor(seconds(9));
  const FakeReport report = centre.Report();
  sink->Print("new_flows_per_balancer", opened / 9, "flows/s", ">=", 3000);
  sink->Print("control_bytes.load", report.worst_control_rate, "B/s",
              "<=", 4096);
  sink->Print("relays_per_packet.load",
              static_cast<double>(report.relays) /
                  static_cast<double>(report.from_fabric),
              "relays");
}

void PrintTargetCrash(const std::vector<std::uint64_t>& seeds,
                      FigureSink* sink) {
  double slowest = 0;
  double broken = 0;
  for (const std::uint64_t seed : seeds) {
    const FakeReport report =
        Measure([](FakeDataCentre* c) { c->Crash(3); }, seed);
    slowest = std::max(slowest, report.slowest_reset_s);
    broken += static_cast<double>(report.broken);
  }
  sink->Print("target_crash.told_after", slowest, "s", "<=", 3);
  sink->Print("target_crash.other_flows_broken", broken, "flows", "==", 0);
}

const Registration kFlowsArea("flows",
                              [](const std::vector<std::uint64_t>& seeds,
                                 FigureSink* sink) {
                                PrintOurs(seeds, sink);
                                PrintBaselines(seeds, sink);
                                PrintTargetCrash(seeds, sink);
                                PrintControlUnderLoad(seeds.front(), sink);
                              });

}  // namespace
}  // namespace sardinelead::bench
