#ifndef SARDINELEAD_BENCH_FLOWS_BASELINES_H_
#define SARDINELEAD_BENCH_FLOWS_BASELINES_H_

// Baseline target selection methods, compared under one workload by the share
// of flows that a change breaks if any packet may reach any balancer.

#include <cstdint>
#include <string>
#include <vector>

namespace sardinelead::bench {

// The permutation lookup table of the Maglev load balancer.
std::vector<std::uint32_t> MaglevTable(
    const std::vector<std::uint32_t>& targets, std::size_t size);

enum class Baseline {
  kModulo,           // hash modulo the number of targets.
  kMaglev,           // Maglev table alone.
  kMaglevWithState,  // Maglev table plus per-balancer flow records.
};
const char* Name(Baseline baseline);

enum class BaselineChange {
  kTargetDrains,  // One target leaves the table; its flows continue.
  kTargetAdded,
  kBalancerKilled,
  kKilledWhileDraining,
  kRollingRestart,  // All balancers, one at a time.
};
const char* Name(BaselineChange change);

// The share of established flows that sent a packet to a wrong target after
// the change, in percent: 18 targets, 9 balancers, `flows` flows, packets
// sprayed at random, balancers learning of the change one by one.
double BrokenPercent(Baseline baseline, BaselineChange change,
                     std::uint32_t flows, std::uint64_t seed);

}  // namespace sardinelead::bench

#endif  // SARDINELEAD_BENCH_FLOWS_BASELINES_H_
