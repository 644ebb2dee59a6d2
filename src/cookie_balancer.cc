#include "sardinelead/cookie_balancer.h"

#include <algorithm>
#include <utility>

namespace sardinelead {
namespace {

// Maximum staleness of the target lists with respect to leases and warm-ups.
constexpr Duration kTargetListMaxAge = std::chrono::milliseconds(100);
constexpr std::size_t kMaxRemovedRoutes = 10'000;
constexpr Duration kReportInterval = std::chrono::milliseconds(500);

// Whether sequence number `a` comes after `b`, modulo 2^32.
bool IsAfter(std::uint32_t a, std::uint32_t b) {
  return static_cast<std::int32_t>(a - b) > 0;
}

}  // namespace

const char* Name(ForwardReason reason) {
  switch (reason) {
    case ForwardReason::kPlaced:
      return "placed";
    case ForwardReason::kPlacedAgain:
      return "placed-again";
    case ForwardReason::kByCookie:
      return "by-cookie";
    case ForwardReason::kTakenOver:
      return "taken-over";
    case ForwardReason::kCookieChanged:
      return "cookie-changed";
    case ForwardReason::kNoRoute:
      return "no-route";
    case ForwardReason::kRouteRemoved:
      return "route-removed";
    case ForwardReason::kNoTarget:
      return "no-target";
    case ForwardReason::kUnknownCookie:
      return "unknown-cookie";
    case ForwardReason::kTargetEnded:
      return "target-ended";
    case ForwardReason::kNotReady:
      return "not-ready";
    case ForwardReason::kCount:
      break;
  }
  return "unknown";
}

const char* Name(TargetHealthEvent health_event) {
  switch (health_event) {
    case TargetHealthEvent::kLost:
      return "target-lost";
    case TargetHealthEvent::kRecovered:
      return "target-answers";
    case TargetHealthEvent::kLeaseExpired:
      return "target-silent";
    case TargetHealthEvent::kLeaseRenewed:
      return "target-heard";
  }
  return "unknown";
}

CookieBalancer::CookieBalancer(CookieBalancerSettings settings,
                               const TargetDirectory* directory, Hooks hooks)
    : m_settings(std::move(settings)),
      m_directory(directory),
      m_hooks(std::move(hooks)),
      m_placement(m_settings.placement) {}

void CookieBalancer::SetRoutes(RouteTable routes) {
  if (!(m_routes.version < routes.version)) return;
  for (const Route& route : m_routes.routes) {
    if (routes.Find(route.address) == nullptr) AddRemovedRoute(route.address);
  }
  m_routes = std::move(routes);
  for (const Route& route : m_routes.routes) {
    m_removed_routes.erase(route.address);
  }
}

Result<void> CookieBalancer::ApplyRouteChange(const RouteChange& change) {
  auto applied = m_routes.Apply(change);
  if (!applied) return applied;
  for (const Endpoint& address : change.removed) AddRemovedRoute(address);
  for (const Route& route : change.changed) {
    m_removed_routes.erase(route.address);
  }
  return {};
}

void CookieBalancer::AddRemovedRoute(const Endpoint& address) {
  if (m_removed_routes.size() >= kMaxRemovedRoutes) return;
  m_removed_routes.insert(address);
}

Forwarding CookieBalancer::OnPacket(const FlowPacket& packet, ByteView datagram,
                                    TimePoint now) {
  if (m_routes.version.value == 0) {
    Forwarding out;
    out.flow = packet.flow;
    out.action = ForwardAction::kHold;
    return out;
  }
  if (m_routes.Find(packet.flow.service) == nullptr) {
    return ForwardWithoutRoute(packet);
  }
  return packet.opens ? ForwardOpening(packet, datagram, now)
                      : ForwardEstablished(packet, now);
}

// Another balancer may have a newer table that contains the route, so only what
// cannot be an open flow under that table is reset: a first opening packet, and
// a flow that was seen here before its route was removed.
Forwarding CookieBalancer::ForwardWithoutRoute(const FlowPacket& packet) const {
  if (packet.opens && !packet.is_copy) {
    return MakeReset(packet, ForwardReason::kNoRoute);
  }
  const auto flow = m_flows.find(packet.flow);
  const bool was_removed = m_removed_routes.count(packet.flow.service) != 0 &&
                           flow != m_flows.end() && flow->second.is_open;
  if (was_removed && !packet.opens && !packet.resets) {
    return MakeReset(packet, ForwardReason::kRouteRemoved);
  }
  return Drop(packet, ForwardReason::kNoRoute);
}

Forwarding CookieBalancer::Drop(const FlowPacket& packet,
                                ForwardReason reason) const {
  Forwarding out;
  out.flow = packet.flow;
  out.action = ForwardAction::kDrop;
  out.reason = reason;
  return out;
}

Forwarding CookieBalancer::MakeReset(const FlowPacket& packet,
                                     ForwardReason reason) const {
  Forwarding out;
  out.action = ForwardAction::kReset;
  out.reason = reason;
  out.flow = packet.flow;
  out.reset_sequence = packet.opens ? 0 : packet.acknowledged;
  return out;
}

Forwarding CookieBalancer::ForwardOpening(const FlowPacket& packet,
                                          ByteView datagram, TimePoint now) {
  const Route& route = *m_routes.Find(packet.flow.service);
  auto found = m_flows.find(packet.flow);
  if (found != m_flows.end() && found->second.is_open) {
    RemoveFlow(packet.flow);
    found = m_flows.end();
  }
  if (found == m_flows.end()) {
    if (m_flows.size() >= m_settings.max_flows) Sweep(now);
    found = m_flows.try_emplace(packet.flow).first;
    found->second.opened_at = now;
  }
  Flow& flow = found->second;
  flow.seen_at = now;
  flow.data_end = packet.sequence;
  const TargetDirectory::Entry* placed =
      flow.tried.empty() ? nullptr : m_directory->Find(flow.target);
  if (placed != nullptr && !HadTimeToAnswer(flow)) {
    // This copy waited here behind the one before. Another target would answer
    // it as well, and its cookie would replace that of the first.
    return ForwardTo(*placed, packet.flow, ForwardReason::kPlaced);
  }
  flow.opening_packet.assign(datagram.begin(), datagram.end());
  const ForwardReason reason =
      flow.tried.empty() ? ForwardReason::kPlaced : ForwardReason::kPlacedAgain;
  Forwarding out = PlaceFlow(packet.flow, route, &flow, reason, now);
  if (out.action == ForwardAction::kForward) return out;
  RemoveFlow(packet.flow);
  if (m_hooks.is_gathering()) {
    out.action = ForwardAction::kHold;
    return out;
  }
  return MakeReset(packet, ForwardReason::kNoTarget);
}

Forwarding CookieBalancer::PlaceFlow(const FlowKey& key, const Route& route,
                                     Flow* flow, ForwardReason reason,
                                     TimePoint now) {
  Forwarding out;
  out.flow = key;
  out.reason = ForwardReason::kNoTarget;
  const auto& targets = TargetsInPool(route.SelectPool(key.Hash()), now);
  auto chosen = m_placement.Choose(targets, flow->tried, m_hooks.balancers(),
                                   m_hooks.random(), now);
  if (!chosen && !flow->tried.empty()) {
    // All targets were tried. Start over, since the answer of an earlier one
    // may have been lost.
    flow->tried.clear();
    chosen = m_placement.Choose(targets, {}, m_hooks.balancers(),
                                m_hooks.random(), now);
  }
  if (!chosen) return out;
  const TargetDirectory::Entry* entry = m_directory->Find(*chosen);
  if (entry == nullptr) return out;
  if (flow->target != 0) m_placement.OnOpeningCanceled(flow->target);
  flow->target = *chosen;
  flow->sent_round = m_progress.round();
  flow->tried.push_back(*chosen);
  m_placement.OnOpening(*chosen, now);
  AddRetry({now + m_settings.placement.answer_deadline, key, *chosen});
  return ForwardTo(*entry, key, reason);
}

// Whether the target of an opening flow had time to answer the opening packet.
// If that was dropped here, it needs no more time.
bool CookieBalancer::HadTimeToAnswer(const Flow& flow) const {
  return !m_progress.IsReliable(flow.sent_round) ||
         m_progress.ShortestAge(flow.sent_round) >=
             m_settings.placement.answer_deadline;
}

Forwarding CookieBalancer::ForwardTo(const TargetDirectory::Entry& entry,
                                     const FlowKey& key,
                                     ForwardReason reason) const {
  Forwarding out;
  out.flow = key;
  out.action = ForwardAction::kForward;
  out.reason = reason;
  out.target = entry.announcement.number;
  out.address = entry.announcement.address;
  out.cookie = CookieOf(out.target);
  return out;
}

Forwarding CookieBalancer::ForwardEstablished(const FlowPacket& packet,
                                              TimePoint now) {
  Forwarding out;
  out.flow = packet.flow;
  const TargetDirectory::Entry* entry = FindTarget(packet);
  if (entry == nullptr) {
    out.reason = ForwardReason::kUnknownCookie;
    if (packet.cookie != 0) out.action = ForwardAction::kHold;
    return out;
  }
  const TargetAnnouncement& announcement = entry->announcement;
  const bool has_ended =
      announcement.state == AnnouncedState::kEnded &&
      m_hooks.covered_time() - entry->ended_at > m_settings.end_grace;
  if (has_ended && !packet.resets) {
    RemoveFlow(packet.flow);
    return MakeReset(packet, ForwardReason::kTargetEnded);
  }
  const ForwardReason reason = ReasonOf(packet);
  UpdateFlow(packet, announcement.number, now);
  return ForwardTo(*entry, packet.flow, reason);
}

ForwardReason CookieBalancer::ReasonOf(const FlowPacket& packet) const {
  const auto flow = m_flows.find(packet.flow);
  if (flow == m_flows.end()) return ForwardReason::kTakenOver;
  const TargetDirectory::Entry* named =
      m_directory->FindByCookie(packet.cookie);
  const bool is_other =
      named != nullptr && named->announcement.number != flow->second.target;
  return is_other ? ForwardReason::kCookieChanged : ForwardReason::kByCookie;
}

// Returns the target for the packet's cookie. A flow that is known to be open
// stays with its target, because a late answer of another target to the same
// opening packet changes the cookie that the caller echoes.
const TargetDirectory::Entry* CookieBalancer::FindTarget(
    const FlowPacket& packet) const {
  const auto flow = m_flows.find(packet.flow);
  if (flow != m_flows.end() && flow->second.is_open) {
    const auto* entry = m_directory->Find(flow->second.target);
    if (entry != nullptr) return entry;
  }
  if (packet.cookie == 0) return nullptr;
  return m_directory->FindByCookie(packet.cookie);
}

void CookieBalancer::UpdateFlow(const FlowPacket& packet, std::uint64_t target,
                                TimePoint now) {
  if (packet.finishes || packet.resets) return RemoveFlow(packet.flow);
  const auto [found, is_new] = m_flows.try_emplace(packet.flow);
  Flow& flow = found->second;
  flow.seen_at = now;
  if (!flow.is_open) {
    if (flow.target != 0 && flow.target != target) {
      m_placement.OnOpeningCanceled(flow.target);
    }
    m_placement.OnOpened(target, flow.target == target, now);
    if (!is_new) {
      m_hooks.on_timing({FlowStep::kOpening, target, now - flow.opened_at});
    }
    flow.target = target;
    flow.is_open = true;
    flow.acknowledged = packet.acknowledged;
    if (is_new) flow.data_end = packet.sequence;
    flow.tried = {};
    flow.opening_packet = {};
  }
  UpdateRequestState(packet, &flow, now);
}

void CookieBalancer::UpdateRequestState(const FlowPacket& packet, Flow* flow,
                                        TimePoint now) {
  const bool is_answered =
      packet.acknowledges && IsAfter(packet.acknowledged, flow->acknowledged);
  if (is_answered) {
    flow->acknowledged = packet.acknowledged;
    if (flow->is_waiting) {
      m_placement.OnAnswer(flow->target, flow->request_at, now);
      m_hooks.on_timing(
          {FlowStep::kAnswer, flow->target, now - flow->request_at});
    }
    flow->is_waiting = false;
  }
  if (packet.length == 0) return;
  const std::uint32_t end = packet.sequence + packet.length;
  if (!IsAfter(end, flow->data_end)) {
    return OnRetransmittedRequest(packet, flow, now);
  }
  flow->data_end = end;
  flow->request_at = now;
  flow->sent_round = m_progress.round();
  if (!flow->is_waiting) m_placement.OnRequest(flow->target);
  flow->is_waiting = true;
}

void CookieBalancer::RemoveFlow(const FlowKey& key) {
  const auto found = m_flows.find(key);
  if (found == m_flows.end()) return;
  const Flow& flow = found->second;
  if (flow.is_waiting) m_placement.OnRequestEnded(flow.target);
  if (flow.is_open) {
    m_placement.OnClosed(flow.target);
  } else if (flow.target != 0) {
    m_placement.OnOpeningCanceled(flow.target);
  }
  m_flows.erase(found);
}

std::vector<Forwarding> CookieBalancer::OnTick(TimePoint now) {
  std::vector<Forwarding> out;
  ResendOpeningPackets(now, &out);
  return out;
}

void CookieBalancer::AddRetry(const Retry& retry) {
  const auto later = std::upper_bound(
      m_retries.begin(), m_retries.end(), retry,
      [](const Retry& a, const Retry& b) { return a.at < b.at; });
  m_retries.insert(later, retry);
}

void CookieBalancer::ResendOpeningPackets(TimePoint now,
                                          std::vector<Forwarding>* out) {
  const auto later = std::find_if(m_retries.begin(), m_retries.end(),
                                  [&](const Retry& r) { return r.at > now; });
  const std::vector<Retry> due(m_retries.begin(), later);
  m_retries.erase(m_retries.begin(), later);
  for (const Retry& retry : due) ResendOpeningPacket(retry, now, out);
}

void CookieBalancer::ResendOpeningPacket(const Retry& retry, TimePoint now,
                                         std::vector<Forwarding>* out) {
  const auto found = m_flows.find(retry.flow);
  const bool is_waiting = found != m_flows.end() && !found->second.is_open &&
                          found->second.target == retry.target &&
                          found->second.tried.size() == 1 &&
                          !found->second.opening_packet.empty();
  const Route* route = m_routes.Find(retry.flow.service);
  if (!is_waiting || route == nullptr) return;
  Flow& flow = found->second;
  if (!HadTimeToAnswer(flow)) {
    // This process was late. The answer may still arrive in time.
    Retry again = retry;
    again.at = now + m_settings.placement.answer_deadline -
               m_progress.ShortestAge(flow.sent_round);
    AddRetry(again);
    return;
  }
  Forwarding again =
      PlaceFlow(retry.flow, *route, &flow, ForwardReason::kPlacedAgain, now);
  if (again.action != ForwardAction::kForward) return;
  again.held = std::move(flow.opening_packet);
  flow.opening_packet = {};
  out->push_back(std::move(again));
}

std::optional<TimePoint> CookieBalancer::NextTick() const {
  std::optional<TimePoint> next;
  if (!m_retries.empty()) next = m_retries.front().at;
  return next;
}

bool CookieBalancer::HasValidLease(const TargetDirectory::Entry& entry) const {
  return m_hooks.covered_time() - entry.heard_at <= m_settings.lease;
}

// Lists the targets with a valid lease. A pool without any such target uses its
// expired ones: if all leases expire at once, the likely cause is the path of
// the heartbeats, not the targets.
void CookieBalancer::RebuildTargetLists(TimePoint now) {
  std::unordered_map<std::string, std::vector<PlacementTarget>> silent;
  m_targets.clear();
  for (const auto& [number, entry] : m_directory->entries()) {
    if (entry.announcement.state != AnnouncedState::kReady) continue;
    PlacementTarget target;
    target.number = number;
    target.slots = entry.announcement.slots;
    target.is_local = entry.announcement.data_centre == m_settings.data_centre;
    target.is_warming_up = m_hooks.covered_time() < entry.warm_at;
    target.heard_at = now - (m_hooks.covered_time() - entry.heard_at);
    auto& list = HasValidLease(entry) ? m_targets : silent;
    list[entry.announcement.pool].push_back(target);
  }
  m_targets.merge(silent);
}

const std::vector<PlacementTarget>& CookieBalancer::TargetsInPool(
    const std::string& pool, TimePoint now) {
  const bool is_current = m_targets_revision == m_directory->revision() &&
                          now - m_targets_built_at < kTargetListMaxAge;
  if (!is_current) {
    RebuildTargetLists(now);
    m_targets_revision = m_directory->revision();
    m_targets_built_at = now;
  }
  return m_targets[pool];
}

void CookieBalancer::Sweep(TimePoint now) {
  if (now - m_health_reported_at >= kReportInterval) ReportHealthChanges(now);
  std::vector<FlowKey> expired;
  for (auto& [key, flow] : m_flows) {
    // A packet of the flow may still wait to be read.
    const Duration idle = std::min(now, m_progress.read_until()) - flow.seen_at;
    if (idle > m_settings.flow_idle_timeout) expired.push_back(key);
    if (!flow.is_waiting || idle <= m_settings.request_timeout) continue;
    // When the set of balancers changes, routers move flows to other balancers,
    // and this one does not see the answers. Without this timeout, the pending
    // requests would count as load here until the flow records expire.
    m_placement.OnRequestTimeout(flow.target, now);
    flow.is_waiting = false;
  }
  for (const FlowKey& key : expired) RemoveFlow(key);
}

}  // namespace sardinelead
