#include "flows_baselines.h"

#include <algorithm>
#include <random>
#include <unordered_map>

#include "sardinelead/types.h"

namespace sardinelead::bench {
namespace {

constexpr std::uint32_t kTargets = 18;
constexpr std::uint32_t kBalancers = 9;
constexpr std::size_t kTableSize = 65537;
constexpr int kPacketsBefore = 12;  // Per flow, before the change.
constexpr int kPacketsAfter = 12;

std::vector<std::uint32_t> AllTargets() {
  std::vector<std::uint32_t> targets(kTargets);
  for (std::uint32_t i = 0; i < kTargets; ++i) targets[i] = i;
  return targets;
}

// One balancer with its targets, lookup table and flow records.
struct Node {
  std::vector<std::uint32_t> targets;
  std::vector<std::uint32_t> table;
  std::unordered_map<std::uint64_t, std::uint32_t> records;
  bool is_running = true;
};

class Run {
 public:
  Run(Baseline baseline, std::uint64_t seed)
      : m_baseline(baseline), m_random(seed), m_nodes(kBalancers) {
    for (Node& node : m_nodes) SetTargets(AllTargets(), &node);
  }

  double Execute(BaselineChange change, std::uint32_t flows) {
    std::vector<std::uint64_t> hashes(flows);
    std::vector<std::uint32_t> original_targets(flows);
    for (std::uint32_t f = 0; f < flows; ++f) {
      hashes[f] = m_random();
      original_targets[f] = Send(hashes[f]);
      for (int i = 1; i < kPacketsBefore; ++i) Send(hashes[f]);
    }
    std::uint32_t broken = 0;
    Begin(change);
    for (std::uint32_t f = 0; f < flows; ++f) {
      // The change spreads to the balancers while flows send packets.
      Advance(change, static_cast<double>(f) / flows);
      bool is_broken = false;
      for (int i = 0; i < kPacketsAfter; ++i) {
        is_broken = is_broken || Send(hashes[f]) != original_targets[f];
      }
      if (is_broken) ++broken;
    }
    return 100.0 * broken / flows;
  }

 private:
  void SetTargets(std::vector<std::uint32_t> targets, Node* node) {
    node->targets = std::move(targets);
    if (m_baseline == Baseline::kModulo) return;
    node->table = MaglevTable(node->targets, kTableSize);
  }

  std::uint32_t Send(std::uint64_t hash) {
    Node* node = &m_nodes[m_random() % kBalancers];
    while (!node->is_running) node = &m_nodes[m_random() % kBalancers];
    if (m_baseline == Baseline::kModulo) {
      return node->targets[hash % node->targets.size()];
    }
    const std::uint32_t computed = node->table[hash % kTableSize];
    if (m_baseline == Baseline::kMaglev) return computed;
    return node->records.emplace(hash, computed).first->second;
  }

  void Begin(BaselineChange change) {
    const bool kills = change == BaselineChange::kBalancerKilled ||
                       change == BaselineChange::kKilledWhileDraining;
    if (kills) m_nodes[0].is_running = false;
  }

  // Applies the change to balancer b, or restarts it, once (b + 1) tenths of
  // the flows have sent their packets.
  void Advance(BaselineChange change, double progress) {
    const auto due = static_cast<std::uint32_t>(progress * (kBalancers + 1));
    while (m_updated_nodes < due && m_updated_nodes < kBalancers) {
      Node* node = &m_nodes[m_updated_nodes++];
      std::vector<std::uint32_t> targets = AllTargets();
      if (change == BaselineChange::kTargetAdded) targets.push_back(kTargets);
      const bool drains = change == BaselineChange::kTargetDrains ||
                          change == BaselineChange::kKilledWhileDraining;
      if (drains) targets.erase(targets.begin() + 3);
      if (change == BaselineChange::kRollingRestart) node->records.clear();
      SetTargets(std::move(targets), node);
    }
  }

  Baseline m_baseline;
  std::mt19937_64 m_random;
  std::vector<Node> m_nodes;
  std::uint32_t m_updated_nodes = 0;
};

}  // namespace

std::vector<std::uint32_t> MaglevTable(
    const std::vector<std::uint32_t>& targets, std::size_t size) {
  constexpr std::uint32_t kFree = 0xffffffff;
  std::vector<std::uint32_t> table(size, kFree);
  std::vector<std::uint64_t> next(targets.size(), 0);
  std::size_t filled = 0;
  while (true) {
    for (std::size_t t = 0; t < targets.size(); ++t) {
      const std::uint64_t offset = HashCombine(targets[t], 1) % size;
      const std::uint64_t skip = HashCombine(targets[t], 2) % (size - 1) + 1;
      std::size_t slot = (offset + next[t]++ * skip) % size;
      while (table[slot] != kFree) slot = (offset + next[t]++ * skip) % size;
      table[slot] = targets[t];
      if (++filled == size) return table;
    }
  }
}

const char* Name(Baseline baseline) {
  switch (baseline) {
    case Baseline::kModulo:
      return "modulo";
    case Baseline::kMaglev:
      return "maglev";
    case Baseline::kMaglevWithState:
      return "maglev_and_records";
  }
  return "unknown";
}

const char* Name(BaselineChange change) {
  switch (change) {
    case BaselineChange::kTargetDrains:
      return "target_drains";
    case BaselineChange::kTargetAdded:
      return "target_added";
    case BaselineChange::kBalancerKilled:
      return "balancer_killed";
    case BaselineChange::kKilledWhileDraining:
      return "killed_while_draining";
    case BaselineChange::kRollingRestart:
      return "rolling_restart";
  }
  return "unknown";
}

double BrokenPercent(Baseline baseline, BaselineChange change,
                     std::uint32_t flows, std::uint64_t seed) {
  return Run(baseline, seed).Execute(change, flows);
}

}  // namespace sardinelead::bench
