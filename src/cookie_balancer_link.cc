// How a CookieBalancer accounts for packets that wait for this VM's own link.
//
// OnPacket() assumes that a forwarded packet is handed to the socket at once.
// If it was queued instead, the ages of the opening packet or request count
// from the hand-over, and what the queue dropped counts from the copy that
// replaces it.

#include <algorithm>
#include <limits>

#include "sardinelead/cookie_balancer.h"

namespace sardinelead {

void CookieBalancer::OnQueued(const FlowKey& key) {
  const auto found = m_flows.find(key);
  const bool is_first = found != m_flows.end() && found->second.is_first_send;
  m_queued.Add(key, is_first);
  if (!is_first) return;
  Flow& flow = found->second;
  if (!flow.is_open) {
    m_placement.OnOpeningQueued(flow.target, flow.opened_at);
  } else if (flow.is_counted_since) {
    m_placement.OnRequestEnded(flow.target);
    flow.is_counted = flow.is_counted_since = false;
  }
}

void CookieBalancer::OnTransmitted(const FlowKey& key, TimePoint now) {
  const bool is_first = m_queued.Remove(key);
  const auto found = m_flows.find(key);
  if (found == m_flows.end() || found->second.is_closed) return;
  Flow& flow = found->second;
  flow.seen_at = std::max(flow.seen_at, now);
  if (!flow.is_open) {
    if (is_first) OnOpeningSent(&flow, now);
    return;
  }
  if (!flow.is_waiting) return;
  flow.sent_round = m_progress.round();
  if (!is_first) return;
  flow.request_at = now;
  if (flow.is_counted) return;
  m_placement.OnRequest(flow.target);
  flow.is_counted = true;
}

void CookieBalancer::OnQueueDropped(const FlowKey& key) {
  m_queued.Remove(key);
  const auto found = m_flows.find(key);
  if (found == m_flows.end()) return;
  std::uint8_t& dropped = found->second.dropped_here;
  if (dropped < std::numeric_limits<std::uint8_t>::max()) ++dropped;
}

// If the packet is a copy in place of one that the queue dropped, it counts as
// the first that is sent.
bool CookieBalancer::ReplacesDropped(const FlowKey& key, Flow* flow) const {
  if (flow->dropped_here == 0 || m_queued.Contains(key)) return false;
  --flow->dropped_here;
  flow->is_first_send = true;
  return true;
}

// The first packet of a request is sent, or a further one of its data. While an
// earlier one waits in the queue, the target cannot be busy with the request.
void CookieBalancer::OnRequestSent(const FlowKey& key, Flow* flow,
                                   TimePoint now) {
  flow->request_at = now;
  flow->sent_round = m_progress.round();
  flow->is_first_send = true;
  if (flow->is_counted || m_queued.Contains(key)) return;
  m_placement.OnRequest(flow->target);
  flow->is_counted = flow->is_counted_since = true;
}

// No answer to the pending request is expected.
void CookieBalancer::EndRequest(Flow* flow) {
  if (flow->is_counted) m_placement.OnRequestEnded(flow->target);
  flow->is_waiting = flow->is_counted = false;
}

void CookieBalancer::OnOpeningSent(Flow* flow, TimePoint now) {
  flow->opened_at = now;
  m_placement.OnOpeningSent(flow->target, now);
}

}  // namespace sardinelead
