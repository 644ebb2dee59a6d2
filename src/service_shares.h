#ifndef SARDINELEAD_SRC_SERVICE_SHARES_H_
#define SARDINELEAD_SRC_SERVICE_SHARES_H_

// Divides one service's capacity among workspaces.
//
// Each workspace has two token buckets. The first refills at the workspace's
// share of the capacity, independently of the others, and accumulates up to a
// burst. The second refills at a rate recomputed in each window from the
// capacity that the other workspaces leave unused. That capacity is divided by
// water-filling (weighted max-min fairness): capacity is allocated in
// proportion to the shares, no workspace gets more than its demand, and the
// remainder is allocated again. A third bucket for the whole service keeps
// borrowers within the capacity while other workspaces spend their bursts.
//
// The limit of open flows is divided by the same water-filling. Since an open
// flow cannot be revoked, a part of that limit is never lent.

#include <cstdint>
#include <string>
#include <vector>

#include "sardinelead/flow_director.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct Demand {
  double wanted = 0;
  double share = 1;
};

// Divides `capacity` in proportion to the shares so that no demand gets more
// than it wants and no capacity remains while any demand is unsatisfied.
std::vector<double> WaterFill(double capacity,
                              const std::vector<Demand>& demands);

struct Capacity {
  double flows_per_second = 0;  // 0 means no limit.
  double flows = 0;             // 0 means no limit.
  bool by_pressure = false;     // Reduced because all targets shed.
};

// Not thread-safe.
class ServiceShares {
 public:
  explicit ServiceShares(Duration burst) : m_burst(burst) {}

  // Sets the share of workspace i to `shares[i]`. The workspace at each index
  // keeps its count of open flows; workspaces past the end are removed.
  void SetShares(const std::vector<double>& shares);

  tl::expected<void, RefuseReason> Admit(std::size_t workspace,
                                         const Capacity& limit, TimePoint now);
  void OnOpened(std::size_t workspace);
  void OnClosed(std::size_t workspace);
  void SetHeld(std::size_t workspace, std::uint64_t held);
  std::uint64_t Held(std::size_t workspace) const {
    return m_workspaces[workspace].held;
  }
  // Lowers the capacity while all targets are shedding, and raises it again in
  // steps when they are not. Must be called every second.
  void OnShedding(bool all_shed, TimePoint now);

 private:
  struct WorkspaceState {
    double share = 1;
    std::uint64_t held = 0;
    double guaranteed_tokens = 0;
    double borrowed_tokens = 0;
    double borrowed_per_second = 0;
    double offered_per_second = 0;  // Smoothed.
    std::uint64_t offered = 0;      // In the current window.
    double held_allocation = 0;
    TimePoint held_refused_at;
    bool has_held_refusal = false;
  };

  double ShareOf(const WorkspaceState& state) const;
  void Refill(double capacity, TimePoint now);
  void EndWindow(const Capacity& limit, TimePoint now);
  void AllocateRate(double capacity);
  void AllocateHeld(double capacity, TimePoint now);
  bool CheckHeld(WorkspaceState* state, double capacity, TimePoint now);
  bool TakeToken(WorkspaceState* state);
  Capacity EffectiveCapacity(const Capacity& limit) const;

  Duration m_burst;
  std::vector<WorkspaceState> m_workspaces;
  double m_share_sum = 0;
  double m_tokens = 0;  // Bucket of the whole service.
  std::uint64_t m_held = 0;
  std::uint64_t m_accepted = 0;  // In the current window.
  double m_accepted_per_second = 0;
  double m_offered_per_second = 0;
  double m_pressure_rate = 0;  // 0 if admission is not reduced.
  TimePoint m_window_start;
  TimePoint m_refilled_at;
  bool m_started = false;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_SERVICE_SHARES_H_
