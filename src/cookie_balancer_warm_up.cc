// How a CookieBalancer keeps to its shares of warm-up quotas.

#include <algorithm>

#include "sardinelead/cookie_balancer.h"

namespace sardinelead {

bool CookieBalancer::IsWarmingUp(const TargetDirectory::Entry& entry) const {
  return m_hooks.covered_time() < entry.warm_at ||
         m_evacuations.IsCold(entry.announcement.data_centre, entry.heard_at);
}

// Returns this balancer's share of the target's quota, or nothing if no quota
// applies to the target now.
std::optional<std::uint32_t> CookieBalancer::WarmUpShareFor(
    const TargetDirectory::Entry& entry) const {
  if (!m_settings.limits_warm_up || !IsWarmingUp(entry)) return std::nullopt;
  const Pool* pool = m_routes.FindPool(entry.announcement.pool);
  const bool has_quota = pool != nullptr && pool->warm_up > Duration{0};
  if (!has_quota) return std::nullopt;
  if (!entry.warm_up_shares) return 0;
  return ShareOf(m_settings.self, *entry.warm_up_shares);
}

// Leaves out the targets whose warm-up permits no new flow now. The result is
// valid until the next call.
const std::vector<PlacementTarget>& CookieBalancer::WithoutWithheld(
    const std::vector<PlacementTarget>& targets, TimePoint now) {
  if (m_warm_up_shares.empty()) return targets;
  m_eligible.clear();
  for (const PlacementTarget& target : targets) {
    const auto share = m_warm_up_shares.find(target.number);
    const bool is_withheld =
        share != m_warm_up_shares.end() &&
        !m_warm_up_limiter.HasRoom(target.number, share->second, now);
    if (!is_withheld) m_eligible.push_back(target);
  }
  return m_eligible;
}

// Counts an opening packet to the target. Returns false if the target's warm-up
// does not permit it.
bool CookieBalancer::TakeWarmUpShare(const TargetDirectory::Entry& entry,
                                     TimePoint now) {
  const auto share = WarmUpShareFor(entry);
  if (!share) return true;
  const bool is_taken =
      m_warm_up_limiter.TryTake(entry.announcement.number, *share, now);
  ++(is_taken ? m_warm_up_counts.used : m_warm_up_counts.refused);
  return is_taken;
}

// The reason to refuse a new flow although targets are known. Targets outside
// evacuated data centres are then all withheld.
ForwardReason CookieBalancer::ReasonForNoTarget(
    const std::vector<PlacementTarget>& known) {
  if (!FlowPlacement::HasCandidate(known)) return ForwardReason::kEvacuated;
  ++m_warm_up_counts.refused;
  return ForwardReason::kWarmUpLimit;
}

std::size_t CookieBalancer::CountWithheld(TimePoint now) const {
  const auto is_withheld = [&](const auto& item) {
    const auto& [number, entry] = item;
    if (entry.announcement.state != AnnouncedState::kReady) return false;
    const auto share = WarmUpShareFor(entry);
    return share && !m_warm_up_limiter.HasRoom(number, *share, now);
  };
  const auto& entries = m_directory->entries();
  return static_cast<std::size_t>(
      std::count_if(entries.begin(), entries.end(), is_withheld));
}

}  // namespace sardinelead
