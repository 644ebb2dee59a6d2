// How a ControlPlane proposes warm-up grants and takes those that are decided.

#include "control_plane.h"

namespace sardinelead {
namespace {

// How often grants are considered for targets whose heartbeats go to other
// control VMs, which may be unable to propose.
constexpr Duration kWarmUpScanInterval = std::chrono::seconds(1);

}  // namespace

WarmUpGranter::Hooks ControlPlane::GranterHooks() const {
  return {[this](const std::string& pool) {
            return m_routes.table().FindPool(pool);
          },
          [this](std::uint64_t target, std::uint64_t started_ms) {
            const WarmUpGrants& grants = m_replica->warm_up_grants();
            return grants.Find(target, started_ms) != nullptr;
          }};
}

// Sets the shares of targets whose grants were decided, which their next report
// to balancers then carries.
void ControlPlane::UpdateGrants(TimePoint now) {
  const WarmUpGrants& grants = m_replica->warm_up_grants();
  if (grants.added() == m_known_grants) return;
  const std::vector<WarmUpGrant> decided = grants.AddedSince(m_known_grants);
  m_known_grants = grants.added();
  for (const WarmUpGrant& grant : decided) {
    m_directory.SetWarmUpShares(grant.target, grant.started_ms, grant.shares);
    const TargetDirectory::Entry* entry = m_directory.Find(grant.target);
    const bool is_warming_up =
        entry != nullptr && now < entry->warm_at &&
        entry->announcement.started_ms == grant.started_ms;
    if (!is_warming_up || !m_hooks.on_warm_up_granted) continue;
    m_hooks.on_warm_up_granted(grant, entry->announcement);
  }
}

// A grant may have been decided before the target was announced here.
void ControlPlane::TakeWarmUp(const TargetAnnouncement& target, TimePoint now) {
  if (target.warm_up_left <= Duration{0}) return;
  const WarmUpGrant* grant =
      m_replica->warm_up_grants().Find(target.number, target.started_ms);
  if (grant != nullptr) {
    m_directory.SetWarmUpShares(target.number, target.started_ms,
                                grant->shares);
  } else if (m_granter) {
    m_granter->OnHeartbeat(target, now);
  }
}

void ControlPlane::ProposeGrants(TimePoint now) {
  if (!m_granter || !HasQuorum(now)) return;
  if (now >= m_next_warm_up_scan_at) {
    m_next_warm_up_scan_at = now + kWarmUpScanInterval;
    for (const auto& [number, entry] : m_directory.entries()) {
      if (entry.warm_at <= now || entry.warm_up_shares) continue;
      TargetAnnouncement target = entry.announcement;
      target.warm_up_left = entry.warm_at - now;
      TakeWarmUp(target, now);
    }
  }
  if (!m_granter->IsDue(now)) return;
  const std::vector<WarmUpGrant> grants =
      m_granter->Propose(m_publisher.Status(now), now);
  if (grants.empty()) return;
  const TimePoint deadline = now + m_settings.warm_up->retry_interval;
  Dispatch(m_replica->Submit(grants, deadline, now), now);
  Flush(now);
}

}  // namespace sardinelead
