#include "service_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sardinelead {
namespace {

constexpr Duration kWindow = std::chrono::milliseconds(100);
// Time constant of the exponentially smoothed rates.
constexpr double kSmoothingSeconds = 0.5;
// Fraction of the open flow limit that is never lent.
constexpr double kHeldReserveFraction = 0.04;
// Open flow demand of a workspace without a recent refusal, relative to its
// open flows: the factor by which it may grow within a window.
constexpr double kGrowthFactor = 1.25;
// How long a workspace counts as having unmet demand after a flow was refused.
constexpr Duration kUnmetDemandPeriod = std::chrono::seconds(2);
// Capacity of the service bucket and of the buckets of borrowed tokens, in
// seconds of their refill rate.
constexpr double kServiceBurstSeconds = 0.25;
// On the first call of OnShedding() with all targets shedding, capacity is
// limited to kPressureFirstFactor of the accepted rate; each further call
// multiplies it by kPressureDecreaseFactor. When the targets stop shedding, it
// grows in steps, and the limit is removed once it exceeds
// kPressureEndFraction. A reduction never sets it below kPressureMinFraction.
// The constants named kPressure...Fraction are fractions of the offered rate.
constexpr double kPressureFirstFactor = 0.8;
constexpr double kPressureDecreaseFactor = 0.9;
constexpr double kPressureMinFraction = 0.05;
constexpr double kPressureIncreaseFraction = 0.05;
constexpr double kPressureEndFraction = 1.1;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

std::vector<double> WaterFill(double capacity,
                              const std::vector<Demand>& demands) {
  std::vector<double> allocated(demands.size(), 0);
  std::vector<bool> satisfied(demands.size(), false);
  double remaining = capacity;
  while (remaining > 0) {
    double shares = 0;
    for (std::size_t i = 0; i < demands.size(); ++i) {
      if (!satisfied[i]) shares += demands[i].share;
    }
    if (shares <= 0) break;
    // The capacity to allocate per unit of share until the next demand is
    // satisfied or no capacity remains.
    double level = remaining / shares;
    for (std::size_t i = 0; i < demands.size(); ++i) {
      if (satisfied[i]) continue;
      const double missing = demands[i].wanted - allocated[i];
      level = std::min(level, missing / demands[i].share);
    }
    for (std::size_t i = 0; i < demands.size(); ++i) {
      if (satisfied[i]) continue;
      allocated[i] += level * demands[i].share;
      remaining -= level * demands[i].share;
      const double tolerance = 1e-9 * (1 + std::abs(demands[i].wanted));
      satisfied[i] = allocated[i] + tolerance >= demands[i].wanted;
    }
    if (remaining < 1e-9 * capacity) break;
  }
  return allocated;
}

void ServiceShares::SetShares(const std::vector<double>& shares) {
  m_workspaces.resize(shares.size());
  m_share_sum = 0;
  for (std::size_t i = 0; i < shares.size(); ++i) {
    m_workspaces[i].share = shares[i];
    m_share_sum += shares[i];
  }
}

double ServiceShares::ShareOf(const WorkspaceState& state) const {
  return m_share_sum > 0 ? state.share / m_share_sum : 0;
}

Capacity ServiceShares::EffectiveCapacity(const Capacity& limit) const {
  Capacity capacity = limit;
  if (m_pressure_rate <= 0) return capacity;
  const bool lower = capacity.flows_per_second <= 0 ||
                     m_pressure_rate < capacity.flows_per_second;
  if (!lower) return capacity;
  capacity.flows_per_second = m_pressure_rate;
  capacity.by_pressure = true;
  return capacity;
}

void ServiceShares::Refill(double capacity, TimePoint now) {
  const double elapsed = ToSeconds(now - m_refilled_at);
  if (elapsed <= 0) return;
  m_refilled_at = now;
  const double burst_s = ToSeconds(m_burst);
  const double max_tokens = std::max(1.0, capacity * kServiceBurstSeconds);
  m_tokens = std::min(max_tokens, m_tokens + capacity * elapsed);
  for (WorkspaceState& state : m_workspaces) {
    const double guaranteed = capacity * ShareOf(state);
    const double max_guaranteed = std::max(1.0, guaranteed * burst_s);
    state.guaranteed_tokens = std::min(
        max_guaranteed, state.guaranteed_tokens + guaranteed * elapsed);
    const double max_borrowed =
        std::max(1.0, state.borrowed_per_second * kServiceBurstSeconds);
    state.borrowed_tokens =
        std::min(max_borrowed,
                 state.borrowed_tokens + state.borrowed_per_second * elapsed);
  }
}

void ServiceShares::AllocateRate(double capacity) {
  std::vector<Demand> demands;
  demands.reserve(m_workspaces.size());
  for (const WorkspaceState& state : m_workspaces) {
    demands.push_back(Demand{state.offered_per_second, state.share});
  }
  const std::vector<double> allocated = WaterFill(capacity, demands);
  for (std::size_t i = 0; i < m_workspaces.size(); ++i) {
    const double guaranteed = capacity * ShareOf(m_workspaces[i]);
    m_workspaces[i].borrowed_per_second =
        std::max(0.0, allocated[i] - guaranteed);
  }
}

void ServiceShares::AllocateHeld(double capacity, TimePoint now) {
  std::vector<Demand> demands;
  demands.reserve(m_workspaces.size());
  double missing = 0;
  for (const WorkspaceState& state : m_workspaces) {
    const bool wants_more = state.has_held_refusal &&
                            now - state.held_refused_at < kUnmetDemandPeriod;
    const double held = static_cast<double>(state.held);
    const double wanted = wants_more ? capacity : held * kGrowthFactor;
    demands.push_back(Demand{wanted, state.share});
    missing += std::max(0.0, capacity * ShareOf(state) - held);
  }
  const double reserve = std::min(kHeldReserveFraction * capacity, missing);
  const std::vector<double> allocated = WaterFill(capacity - reserve, demands);
  for (std::size_t i = 0; i < m_workspaces.size(); ++i) {
    m_workspaces[i].held_allocation = allocated[i];
  }
}

void ServiceShares::EndWindow(const Capacity& limit, TimePoint now) {
  const double elapsed = ToSeconds(now - m_window_start);
  const double decay = std::exp(-elapsed / kSmoothingSeconds);
  m_offered_per_second = 0;
  for (WorkspaceState& state : m_workspaces) {
    const double rate = static_cast<double>(state.offered) / elapsed;
    state.offered_per_second =
        decay * state.offered_per_second + (1 - decay) * rate;
    state.offered = 0;
    m_offered_per_second += state.offered_per_second;
  }
  const double accepted = static_cast<double>(m_accepted) / elapsed;
  m_accepted_per_second =
      decay * m_accepted_per_second + (1 - decay) * accepted;
  m_accepted = 0;
  m_window_start = now;
  if (limit.flows_per_second > 0) AllocateRate(limit.flows_per_second);
  if (limit.flows > 0) AllocateHeld(limit.flows, now);
}

bool ServiceShares::CheckHeld(WorkspaceState* state, double capacity,
                              TimePoint now) {
  if (capacity <= 0) return true;
  const double held = static_cast<double>(state->held);
  const double total = static_cast<double>(m_held);
  const bool guaranteed = held + 1 <= capacity * ShareOf(*state);
  const bool borrowed = held + 1 <= state->held_allocation &&
                        total + 1 <= capacity * (1 - kHeldReserveFraction);
  const bool is_sole = m_workspaces.size() == 1;
  if (total + 1 <= capacity && (guaranteed || borrowed || is_sole)) return true;
  state->held_refused_at = now;
  state->has_held_refusal = true;
  return false;
}

bool ServiceShares::TakeToken(WorkspaceState* state) {
  if (m_workspaces.size() == 1) {
    if (m_tokens < 1) return false;
    m_tokens -= 1;
    return true;
  }
  if (state->guaranteed_tokens >= 1) {
    state->guaranteed_tokens -= 1;
    m_tokens -= 1;
    return true;
  }
  if (state->borrowed_tokens < 1 || m_tokens < 1) return false;
  state->borrowed_tokens -= 1;
  m_tokens -= 1;
  return true;
}

tl::expected<void, RefuseReason> ServiceShares::Admit(std::size_t workspace,
                                                      const Capacity& limit,
                                                      TimePoint now) {
  WorkspaceState& state = m_workspaces[workspace];
  if (!m_started) {
    m_started = true;
    m_window_start = now;
    m_refilled_at = now - kWindow;
  }
  ++state.offered;
  if (now - m_window_start >= kWindow) EndWindow(EffectiveCapacity(limit), now);
  const Capacity capacity = EffectiveCapacity(limit);
  const bool shared = m_workspaces.size() > 1;
  if (!CheckHeld(&state, capacity.flows, now)) {
    return tl::unexpected(shared ? RefuseReason::kWorkspaceShare
                                 : RefuseReason::kFlowLimit);
  }
  if (capacity.flows_per_second > 0) {
    Refill(capacity.flows_per_second, now);
    if (!TakeToken(&state)) {
      if (capacity.by_pressure) {
        return tl::unexpected(RefuseReason::kOverloaded);
      }
      return tl::unexpected(shared ? RefuseReason::kWorkspaceShare
                                   : RefuseReason::kRateLimit);
    }
  }
  ++m_accepted;
  return {};
}

void ServiceShares::OnOpened(std::size_t workspace) {
  ++m_workspaces[workspace].held;
  ++m_held;
}

void ServiceShares::OnClosed(std::size_t workspace) {
  // The flow may have been opened by another balancer and not be counted here.
  if (m_workspaces[workspace].held == 0) return;
  --m_workspaces[workspace].held;
  --m_held;
}

void ServiceShares::SetHeld(std::size_t workspace, std::uint64_t held) {
  m_held = m_held - m_workspaces[workspace].held + held;
  m_workspaces[workspace].held = held;
}

void ServiceShares::OnShedding(bool all_shed, TimePoint) {
  const double offered = m_offered_per_second;
  if (all_shed) {
    const bool first = m_pressure_rate <= 0;
    const double reduced = first ? m_accepted_per_second * kPressureFirstFactor
                                 : m_pressure_rate * kPressureDecreaseFactor;
    m_pressure_rate = std::max({reduced, offered * kPressureMinFraction, 1.0});
    return;
  }
  if (m_pressure_rate <= 0) return;
  m_pressure_rate += std::max(1.0, offered * kPressureIncreaseFraction);
  if (m_pressure_rate > offered * kPressureEndFraction) m_pressure_rate = 0;
}

}  // namespace sardinelead
