// How a CookieBalancer finds out that a target is lost, and what it reports
// about the health of targets.
//
// The evidence is that a caller retransmits a request, and the only clock is
// ReadProgress. Each copy counts if the target had time to acknowledge the copy
// before it. FlowPlacement marks the target as lost after some of them, which
// only keeps new flows away. Its flows are reset once one request was
// retransmitted repeatedly, at the end of the round, when no answer can be left
// unread.

#include <utility>

#include "sardinelead/cookie_balancer.h"

namespace sardinelead {

// A copy is evidence against the target if the target had time to acknowledge
// the copy before it.
void CookieBalancer::OnRetransmittedRequest(const FlowPacket& packet,
                                            Flow* flow, TimePoint now) {
  if (!flow->is_waiting || packet.is_held) return;
  if (!m_progress.IsReliable(flow->sent_round)) {
    // The copies so far may have been dropped here. This one is the first that
    // counts.
    flow->sent_round = m_progress.round();
    flow->retransmissions = 0;
    return;
  }
  const bool had_time = m_progress.ShortestAge(flow->sent_round) >=
                        m_settings.placement.min_retransmission_age;
  if (!had_time) return;
  flow->sent_round = m_progress.round();
  flow->is_retransmitting = true;
  ++flow->retransmissions;
  if (m_placement.OnRetransmission(flow->target, flow->request_at, now)) {
    const TargetDirectory::Entry* entry = m_directory->Find(flow->target);
    if (entry == nullptr) return;
    m_lost.insert(flow->target);
    ReportHealth(TargetHealthEvent::kLost, *entry, now);
  }
  const bool is_given_up =
      m_placement.IsLost(flow->target) &&
      flow->retransmissions >= m_settings.placement.retransmissions_until_reset;
  if (is_given_up) m_given_up.push_back({flow->target, m_progress.round()});
}

void CookieBalancer::OnDrained(TimePoint read_at, TimePoint sent_at) {
  m_progress.OnDrained(read_at, sent_at);
  m_placement.OnReadUntil(m_progress.read_until());
}

void CookieBalancer::GiveUpLostTargets(std::vector<Forwarding>* out) {
  for (const GivenUp& given_up : std::exchange(m_given_up, {})) {
    if (given_up.round == m_progress.round()) {
      m_given_up.push_back(given_up);
      continue;
    }
    if (!m_progress.IsReliable(given_up.round)) continue;
    if (m_placement.ConfirmLost(given_up.target)) {
      ResetFlowsOf(given_up.target, out);
    }
  }
}

// Lets callers of a lost target reconnect to another one. Resets flows whose
// request did not reach the target and may be retried, and flows without a
// pending request.
void CookieBalancer::ResetFlowsOf(std::uint64_t target,
                                  std::vector<Forwarding>* out) {
  std::vector<FlowKey> ended;
  for (const auto& [key, flow] : m_flows) {
    const bool is_retryable = flow.is_retransmitting && flow.may_retry;
    const bool is_reset = flow.is_open && flow.target == target &&
                          (is_retryable || !flow.is_waiting);
    if (!is_reset) continue;
    Forwarding reset;
    reset.action = ForwardAction::kReset;
    reset.reason = ForwardReason::kTargetLost;
    reset.flow = key;
    reset.reset_sequence = flow.acknowledged;
    out->push_back(std::move(reset));
    ended.push_back(key);
  }
  for (const FlowKey& key : ended) RemoveFlow(key);
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
