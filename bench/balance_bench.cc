// Measures how evenly independent balancers spread a service's flows.

#include <algorithm>
#include <functional>
#include <string>

#include "balance_world.h"
#include "bench.h"

namespace sardinelead::bench {
namespace {

constexpr double kSteadyBound = 1.10;
constexpr double kChangeBound = 1.25;
constexpr double kSettleSeconds = 10;
constexpr double kMeasureSeconds = 30;

using MakePicker = std::function<PickerHooks(const SimulationSettings&)>;

struct NamedPicker {
  std::string name;
  MakePicker make;
};

std::vector<NamedPicker> Pickers() {
  return {
      {"ours",
       [](const SimulationSettings& s) { return ProductionPolicy(s, true); }},
      {"ours_without_reports",
       [](const SimulationSettings& s) { return ProductionPolicy(s, false); }},
      {"round_robin", RoundRobin},
      {"consistent_hashing", ConsistentHashing},
      {"least_reported", LeastReported},
      {"two_choices", TwoChoices},
  };
}

// Maximum connection imbalance and sums for the mean slot and demand
// imbalances over one measurement.
struct ImbalanceStats {
  double connections = 1;
  double slots_sum = 0;
  double demand_sum = 0;
  double samples = 0;
};

ImbalanceStats MeasureImbalance(BalanceSimulation* world, double seconds) {
  ImbalanceStats stats;
  world->DemandImbalance();
  world->Run(seconds, [&] {
    stats.connections =
        std::max(stats.connections, world->ConnectionImbalance());
    stats.slots_sum += world->SlotImbalance();
    stats.samples += 1;
  });
  stats.demand_sum = world->DemandImbalance();
  return stats;
}

struct Change {
  std::string name;
  std::function<void(BalanceSimulation*)> make;
};

std::vector<Change> Changes() {
  return {
      {"joins", [](BalanceSimulation* world) { world->Join(); }},
      {"leaves", [](BalanceSimulation* world) { world->Drain(0); }},
      {"crashes", [](BalanceSimulation* world) { world->Crash(0); }},
      {"slows", [](BalanceSimulation* world) { world->HalveSpeed(0); }},
      {"balancer_restarts",
       [](BalanceSimulation* world) { world->RestartBalancer(0); }},
      {"lies_idle",
       [](BalanceSimulation* world) {
         world->SetFalseReport(0, FalseReport::kIdle);
       }},
      {"lies_frozen",
       [](BalanceSimulation* world) {
         world->SetFalseReport(0, FalseReport::kFrozen);
       }},
      {"lies_full",
       [](BalanceSimulation* world) {
         world->SetFalseReport(0, FalseReport::kFull);
       }},
      {"lies_negative",
       [](BalanceSimulation* world) {
         world->SetFalseReport(0, FalseReport::kNegative);
       }},
  };
}

struct Scenario {
  std::string name;
  SimulationSettings settings;
};

SimulationSettings MakeSettings(std::size_t balancers, std::size_t hosts,
                                std::int64_t slots, double life_s) {
  SimulationSettings settings;
  settings.balancers = balancers;
  settings.hosts = hosts;
  settings.slots = slots;
  settings.flow_life_s = life_s;
  return settings;
}

double WorstOverSeeds(const std::vector<std::uint64_t>& seeds,
                      const std::function<double(std::uint64_t)>& run) {
  double worst = 0;
  for (const std::uint64_t seed : seeds) worst = std::max(worst, run(seed));
  return worst;
}

void MeasureSteady(const Scenario& scenario,
                   const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  for (const NamedPicker& picker : Pickers()) {
    ImbalanceStats sum;
    const double worst = WorstOverSeeds(seeds, [&](std::uint64_t seed) {
      SimulationSettings settings = scenario.settings;
      settings.seed = seed;
      BalanceSimulation world(settings, picker.make(settings));
      world.Fill();
      world.Run(kMeasureSeconds, [] {});
      const ImbalanceStats stats = MeasureImbalance(&world, kMeasureSeconds);
      sum.slots_sum += stats.slots_sum;
      sum.samples += stats.samples;
      sum.demand_sum += stats.demand_sum;
      return stats.connections;
    });
    const std::string figure = scenario.name + ".steady." + picker.name;
    const bool ours = picker.name.rfind("ours", 0) == 0;
    if (ours) {
      sink->Print(figure, worst, "ratio", "<=", kSteadyBound);
    } else {
      sink->Print(figure, worst, "ratio");
    }
    const double runs = static_cast<double>(seeds.size());
    sink->Print(figure + ".busy_slots", sum.slots_sum / sum.samples, "ratio");
    sink->Print(figure + ".slot_demand_30s", sum.demand_sum / runs, "ratio");
  }
}

void MeasureChanges(const Scenario& scenario,
                    const std::vector<NamedPicker>& pickers,
                    const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  for (const Change& change : Changes()) {
    for (const NamedPicker& picker : pickers) {
      double demand_sum = 0;
      const double worst = WorstOverSeeds(seeds, [&](std::uint64_t seed) {
        SimulationSettings settings = scenario.settings;
        settings.seed = seed;
        BalanceSimulation world(settings, picker.make(settings));
        world.Fill();
        world.Run(kSettleSeconds, [] {});
        change.make(&world);
        world.Run(kSettleSeconds, [] {});
        const ImbalanceStats stats = MeasureImbalance(&world, kMeasureSeconds);
        demand_sum += stats.demand_sum;
        return stats.connections;
      });
      const std::string figure =
          scenario.name + "." + change.name + "." + picker.name;
      if (picker.name == "ours") {
        sink->Print(figure, worst, "ratio", "<=", kChangeBound);
      } else {
        sink->Print(figure, worst, "ratio");
      }
      if (change.name != "slows") continue;
      sink->Print(figure + ".slot_demand_30s",
                  demand_sum / static_cast<double>(seeds.size()), "ratio");
    }
  }
}

void Run(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  const std::vector<Scenario> scenarios = {
      {"orders", MakeSettings(9, 14, 3, 60)},
      {"gallery", MakeSettings(9, 4, 3, 5)},
      {"classroom", MakeSettings(9, 14, 2, 60)},
      {"cliplib", MakeSettings(9, 4, 2, 5)},
  };
  for (const Scenario& s : scenarios) MeasureSteady(s, seeds, sink);
  const std::vector<NamedPicker> all = Pickers();
  const std::vector<NamedPicker> ours(all.begin(), all.begin() + 1);
  MeasureChanges(scenarios[0], all, seeds, sink);
  MeasureChanges(scenarios[1], all, seeds, sink);
  // The same changes with mean flow lifetimes of ten minutes and one hour.
  MeasureChanges({"orders_600s", MakeSettings(9, 14, 3, 600)}, ours, seeds,
                 sink);
  MeasureChanges({"orders_3600s", MakeSettings(9, 14, 3, 3600)}, ours, seeds,
                 sink);
  MeasureChanges({"gallery_3600s", MakeSettings(9, 4, 3, 3600)}, ours, seeds,
                 sink);
}

const Registration kRegistration("balance", Run);

}  // namespace
}  // namespace sardinelead::bench
