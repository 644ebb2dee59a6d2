// Measures how the capacity of a service is shared among workspaces.

#include <algorithm>

#include "balance_shares.h"
#include "bench.h"

namespace sardinelead::bench {
namespace {

constexpr double kAcceptedBound = 0.95;
constexpr double kJainBound = 0.99;
constexpr double kUsedBound = 0.95;
constexpr double kCapacity = 900;  // New flows per second in the data centre.
constexpr double kShare = kCapacity / 3;
constexpr double kWarmUpSeconds = 5;
constexpr double kMeasureSeconds = 60;

SharesSettings RateSettings(std::uint64_t seed) {
  SharesSettings settings;
  settings.seed = seed;
  settings.service_limits.new_flows_per_second =
      static_cast<std::uint64_t>(kCapacity);
  return settings;
}

std::vector<std::uint64_t> MeasureAccepted(const SharesSettings& settings,
                                           const std::vector<double>& offered) {
  SharesSimulation world(settings);
  world.Run(kWarmUpSeconds, offered);
  world.Reset();
  world.Run(kMeasureSeconds, offered);
  return world.accepted();
}

struct Minimums {
  double accepted = 1;
  double jain = 1;
  double used = 1;
  double recovered = 1;
};

// One workspace offers ten times its share, two offer their share.
void MeasureContended(const SharesSettings& settings, Minimums* minimums) {
  const auto contended =
      MeasureAccepted(settings, {10 * kShare, kShare, kShare});
  minimums->jain = std::min(minimums->jain, JainIndex(contended));
  for (std::size_t i = 1; i < contended.size(); ++i) {
    std::vector<double> offered(contended.size(), 0);
    offered[i] = kShare;
    const auto alone = MeasureAccepted(settings, offered);
    const double part =
        static_cast<double>(contended[i]) / static_cast<double>(alone[i]);
    minimums->accepted = std::min(minimums->accepted, part);
  }
}

// One workspace uses the shares of two idle ones; then one becomes active.
void MeasureIdleShares(const SharesSettings& settings, Minimums* minimums) {
  SharesSimulation world(settings);
  const std::vector<double> offered = {10 * kShare, 0, 0};
  world.Run(kWarmUpSeconds, offered);
  world.Reset();
  world.Run(kMeasureSeconds, offered);
  minimums->used = std::min(minimums->used,
                            world.Accepted() / (kCapacity * kMeasureSeconds));
  constexpr double kRecoverySeconds = 2;
  world.Reset();
  world.Run(kRecoverySeconds, {10 * kShare, 0.9 * kShare, 0});
  const double wanted = 0.9 * kShare * kRecoverySeconds;
  minimums->recovered = std::min(
      minimums->recovered, static_cast<double>(world.accepted()[1]) / wanted);
}

// Flows with a mean lifetime of 20 s under a limit on open flows.
void MeasureHeld(std::uint64_t seed, Minimums* minimums, double* recovery_s) {
  constexpr double kFlows = 6000;
  constexpr double kLifeSeconds = 20;
  constexpr double kHeldShare =
      kFlows / 3 / kLifeSeconds;  // New flows per second.
  SharesSettings settings;
  settings.seed = seed;
  settings.flow_life_s = kLifeSeconds;
  settings.service_limits.flows = static_cast<std::uint64_t>(kFlows);
  SharesSimulation world(settings);
  world.Run(4 * kLifeSeconds, {10 * kHeldShare, 0, 0});
  minimums->used =
      std::min(minimums->used, static_cast<double>(world.Held()[0]) / kFlows);
  // The idle workspaces become active: time until each holds 0.9 of its share.
  double waited = 0;
  const std::vector<double> all = {10 * kHeldShare, 3 * kHeldShare,
                                   3 * kHeldShare};
  const auto below = [&] {
    const auto held = world.Held();
    return static_cast<double>(std::min(held[1], held[2])) < 0.9 * kFlows / 3;
  };
  while (below() && waited < 10 * kLifeSeconds) {
    world.Run(1, all);
    waited += 1;
  }
  *recovery_s = std::max(*recovery_s, waited);
  world.Run(2 * kLifeSeconds, all);
  minimums->jain = std::min(minimums->jain, JainIndex(world.Held()));
}

// Without limits, while all targets shed load: the lowered capacity is to be
// shared equally among the workspaces.
void MeasureOverload(std::uint64_t seed, Minimums* minimums) {
  SharesSettings settings;
  settings.seed = seed;
  SharesSimulation world(settings);
  const std::vector<double> offered = {10 * kShare, kShare, kShare};
  world.Run(kWarmUpSeconds, offered);
  world.SetAllShed(true);
  world.Run(10, offered);
  world.Reset();
  world.Run(2, offered);
  minimums->used =
      std::min(minimums->used, world.Accepted() / (12 * kShare * 2));
  for (std::size_t i = 1; i < 3; ++i) {
    // A workspace is entitled to its offered load or an equal part of the
    // admitted flows, whichever is less.
    const double alone = static_cast<double>(world.offered()[i]);
    const double entitled = std::min(alone, world.Accepted() / 3);
    const double part = static_cast<double>(world.accepted()[i]) / entitled;
    minimums->accepted = std::min(minimums->accepted, part);
  }
}

void Run(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  Minimums rate;
  Minimums held;
  Minimums overload;
  double recovery_s = 0;
  for (const std::uint64_t seed : seeds) {
    MeasureContended(RateSettings(seed), &rate);
    MeasureIdleShares(RateSettings(seed), &rate);
    MeasureHeld(seed, &held, &recovery_s);
    MeasureOverload(seed, &overload);
  }
  sink->Print("shares.new_flows.accepted_beside_flood", rate.accepted, "part",
              ">=", kAcceptedBound);
  sink->Print("shares.new_flows.jain", rate.jain, "index", ">=", kJainBound);
  sink->Print("shares.new_flows.unused_share_used", rate.used, "part",
              ">=", kUsedBound);
  sink->Print("shares.new_flows.back_within_2s", rate.recovered, "part",
              ">=", kAcceptedBound);
  sink->Print("shares.flows_held.unused_share_used", held.used, "part",
              ">=", kUsedBound);
  sink->Print("shares.flows_held.jain", held.jain, "index", ">=", kJainBound);
  sink->Print("shares.flows_held.back_after_life_20s", recovery_s, "s");
  sink->Print("shares.overload.admitted", overload.used, "part");
  sink->Print("shares.overload.part_of_share_beside_flood", overload.accepted,
              "part", ">=", kAcceptedBound);
}

const Registration kRegistration("balance", Run);

}  // namespace
}  // namespace sardinelead::bench
