// How a CookieBalancer finds out that a target is lost, and what it reports
// about the health of targets.
//
// The evidence is that a caller retransmits a request, and the only clock is
// ReadProgress. Each copy counts if the target had time to acknowledge the copy
// before it. FlowPlacement marks the target as lost after some of them, which
// keeps new flows away until it answers. A target that is slow or paused looks
// the same, so its flows stay where they are.

#include "sardinelead/cookie_balancer.h"

namespace sardinelead {

// A copy is evidence against the target if the target had time to acknowledge
// the copy before it.
void CookieBalancer::OnRetransmittedRequest(const FlowPacket& packet,
                                            Flow* flow, TimePoint now) {
  if (!flow->is_waiting || packet.is_held) return;
  if (m_queued.Contains(packet.flow)) return;
  if (ReplacesDropped(packet.flow, flow)) {
    return OnRequestSent(packet.flow, flow, now);
  }
  if (!m_progress.IsReliable(flow->sent_round)) {
    // The copies so far may have been dropped here. This one is the first that
    // counts.
    flow->sent_round = m_progress.round();
    return;
  }
  const bool had_time = m_progress.ShortestAge(flow->sent_round) >=
                        m_settings.placement.min_retransmission_age;
  if (!had_time) return;
  flow->sent_round = m_progress.round();
  if (!m_placement.OnRetransmission(flow->target, flow->request_at, now)) {
    return;
  }
  const TargetDirectory::Entry* entry = m_directory->Find(flow->target);
  if (entry == nullptr) return;
  m_lost.insert(flow->target);
  ReportHealth(TargetHealthEvent::kLost, *entry, now);
}

void CookieBalancer::OnDrained(TimePoint read_at, TimePoint sent_at) {
  m_progress.OnDrained(read_at, sent_at);
  m_placement.OnReadUntil(m_progress.read_until());
}

// Reports targets whose lease expired or was renewed, and lost targets that
// answer again.
void CookieBalancer::ReportHealthChanges(TimePoint now) {
  m_health_reported_at = now;
  for (const auto& [number, entry] : m_directory->entries()) {
    const bool is_silent = entry.announcement.state != AnnouncedState::kEnded &&
                           !HasValidLease(entry);
    if (is_silent && m_silent.insert(number).second) {
      ReportHealth(TargetHealthEvent::kLeaseExpired, entry, now);
    }
    if (!is_silent && m_silent.erase(number) != 0) {
      ReportHealth(TargetHealthEvent::kLeaseRenewed, entry, now);
    }
    if (!m_placement.IsLost(number) && m_lost.erase(number) != 0) {
      ReportHealth(TargetHealthEvent::kRecovered, entry, now);
    }
  }
}

void CookieBalancer::ReportHealth(TargetHealthEvent health_event,
                                  const TargetDirectory::Entry& entry,
                                  TimePoint now) const {
  TargetHealthReport health_report;
  health_report.health_event = health_event;
  health_report.target = entry.announcement.number;
  health_report.address = entry.announcement.address;
  health_report.pool = entry.announcement.pool;
  health_report.since_heartbeat = m_hooks.covered_time() - entry.heard_at;
  const TargetStats* view = m_placement.Find(entry.announcement.number);
  if (view != nullptr) {
    if (view->answered_at != TimePoint{}) {
      health_report.unanswered = now - view->answered_at;
    }
    health_report.repeats = view->repeats;
  }
  m_hooks.on_health_change(health_report);
}

}  // namespace sardinelead
