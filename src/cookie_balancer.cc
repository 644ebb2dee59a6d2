#include "sardinelead/cookie_balancer.h"

#include <algorithm>
#include <utility>

namespace sardinelead {
namespace {

// How long the list of targets may lag behind leases and warm-ups.
constexpr Duration kTargetsAge = std::chrono::milliseconds(100);
constexpr std::size_t kMaxRemovedRoutes = 10'000;
// Between pulses; beyond it the process did not run.
constexpr Duration kLongestPulse = std::chrono::milliseconds(200);
constexpr Duration kJudgeInterval = std::chrono::milliseconds(500);

// Whether sequence number `a` lies after `b`, on the ring of 32 bits.
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
    case ForwardReason::kTargetLost:
      return "target-lost";
    case ForwardReason::kNotReady:
      return "not-ready";
    case ForwardReason::kCount:
      break;
  }
  return "unknown";
}

const char* Name(TargetBelief belief) {
  switch (belief) {
    case TargetBelief::kLost:
      return "target-lost";
    case TargetBelief::kAnswers:
      return "target-answers";
    case TargetBelief::kSilent:
      return "target-silent";
    case TargetBelief::kHeard:
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

void CookieBalancer::SetRoutes(RouteTablePtr routes) {
  const bool is_newer = !m_routes || m_routes->version < routes->version;
  if (!is_newer) return;
  if (m_routes) {
    for (const Route& route : m_routes->routes) {
      const bool is_kept = routes->Find(route.address) != nullptr ||
                           m_removed_routes.size() >= kMaxRemovedRoutes;
      if (!is_kept) m_removed_routes.insert(route.address);
    }
  }
  for (const Route& route : routes->routes) {
    m_removed_routes.erase(route.address);
  }
  m_routes = std::move(routes);
}

Forwarding CookieBalancer::OnPacket(const FlowPacket& packet, ByteView datagram,
                                    TimePoint now) {
  Forwarding out;
  out.flow = packet.flow;
  if (!m_routes) {
    out.action = ForwardAction::kHold;
    return out;
  }
  if (m_routes->Find(packet.flow.service) == nullptr) {
    const bool was_removed = m_removed_routes.count(packet.flow.service) != 0;
    if (packet.opens) return MakeReset(packet, ForwardReason::kNoRoute);
    if (was_removed && !packet.resets) {
      return MakeReset(packet, ForwardReason::kRouteRemoved);
    }
    // Another balancer may know a newer table in which the flow is open.
    out.reason = ForwardReason::kNoRoute;
    return out;
  }
  return packet.opens ? OnOpening(packet, datagram, now) : OnOther(packet, now);
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

Forwarding CookieBalancer::OnOpening(const FlowPacket& packet,
                                     ByteView datagram, TimePoint now) {
  const Route& route = *m_routes->Find(packet.flow.service);
  auto found = m_flows.find(packet.flow);
  if (found != m_flows.end() && found->second.is_open) {
    Forget(packet.flow);
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
  flow.opening_packet.assign(datagram.begin(), datagram.end());
  const ForwardReason reason =
      flow.tried.empty() ? ForwardReason::kPlaced : ForwardReason::kPlacedAgain;
  Forwarding out = PlaceFlow(packet.flow, route, &flow, reason, now);
  if (out.action == ForwardAction::kForward) return out;
  Forget(packet.flow);
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
  const auto& targets = TargetsOf(route.PoolOf(key.Hash()), now);
  auto chosen = m_placement.Choose(targets, flow->tried, m_hooks.balancers(),
                                   m_hooks.random(), now);
  if (!chosen && !flow->tried.empty()) {
    // All were tried: the first may have answered to no avail.
    flow->tried.clear();
    chosen = m_placement.Choose(targets, {}, m_hooks.balancers(),
                                m_hooks.random(), now);
  }
  if (!chosen) return out;
  const TargetDirectory::Entry* entry = m_directory->Find(*chosen);
  if (entry == nullptr) return out;
  if (flow->target != 0) m_placement.OnOpeningEnded(flow->target);
  flow->target = *chosen;
  flow->tried.push_back(*chosen);
  m_placement.OnOpening(*chosen, now);
  m_retries.push_back(
      {now + m_settings.placement.answer_deadline, key, *chosen});
  out.action = ForwardAction::kForward;
  out.reason = reason;
  out.target = *chosen;
  out.address = entry->news.address;
  out.cookie = CookieOf(*chosen);
  return out;
}

Forwarding CookieBalancer::OnOther(const FlowPacket& packet, TimePoint now) {
  Forwarding out;
  out.flow = packet.flow;
  const TargetDirectory::Entry* entry = TargetOf(packet);
  if (entry == nullptr) {
    out.reason = ForwardReason::kUnknownCookie;
    if (packet.cookie != 0) out.action = ForwardAction::kHold;
    return out;
  }
  const TargetNews& news = entry->news;
  const bool is_over =
      news.state == AnnouncedState::kEnded &&
      m_hooks.covered_time() - entry->ended_at > m_settings.end_grace;
  if (is_over && !packet.resets) {
    Forget(packet.flow);
    return MakeReset(packet, ForwardReason::kTargetEnded);
  }
  Track(packet, news.number, now);
  const auto flow = m_flows.find(packet.flow);
  const bool is_stuck = flow != m_flows.end() && flow->second.is_repeating &&
                        flow->second.may_repeat &&
                        m_placement.IsLost(news.number) && m_resets.empty();
  if (is_stuck) {
    Forget(packet.flow);
    return MakeReset(packet, ForwardReason::kTargetLost);
  }
  out.action = ForwardAction::kForward;
  out.reason = ForwardReason::kByCookie;
  out.target = news.number;
  out.address = news.address;
  out.cookie = CookieOf(news.number);
  return out;
}

// The target that the packet's cookie names. A flow that is seen to be open
// stays with its target: the late answer of another one to the same opening
// packet changes what the caller returns.
const TargetDirectory::Entry* CookieBalancer::TargetOf(
    const FlowPacket& packet) const {
  const auto flow = m_flows.find(packet.flow);
  if (flow != m_flows.end() && flow->second.is_open) {
    const auto* entry = m_directory->Find(flow->second.target);
    if (entry != nullptr) return entry;
  }
  if (packet.cookie == 0) return nullptr;
  return m_directory->FindByCookie(packet.cookie);
}

void CookieBalancer::Track(const FlowPacket& packet, std::uint64_t target,
                           TimePoint now) {
  if (packet.finishes || packet.resets) return Forget(packet.flow);
  const auto [found, is_new] = m_flows.try_emplace(packet.flow);
  Flow& flow = found->second;
  flow.seen_at = now;
  if (!flow.is_open) {
    if (flow.target != 0 && flow.target != target) {
      m_placement.OnOpeningEnded(flow.target);
    }
    m_placement.OnOpened(target, flow.target == target, now);
    if (!is_new) {
      m_hooks.on_timing({FlowStep::kOpening, target, now - flow.opened_at});
    }
    flow.target = target;
    flow.is_open = true;
    flow.may_repeat = m_routes->Find(packet.flow.service)->kind !=
                      RequestKind::kNonIdempotent;
    flow.acknowledged = packet.acknowledged;
    if (is_new) flow.data_end = packet.sequence;
    flow.tried = {};
    flow.opening_packet = {};
  }
  TrackData(packet, &flow, now);
}

void CookieBalancer::TrackData(const FlowPacket& packet, Flow* flow,
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
    flow->is_repeating = false;
  }
  if (packet.length == 0) return;
  const std::uint32_t end = packet.sequence + packet.length;
  if (!IsAfter(end, flow->data_end)) return TrackRepeat(flow, now);
  flow->data_end = end;
  flow->request_at = now;
  if (!flow->is_waiting) m_placement.OnRequest(flow->target);
  flow->is_waiting = true;
}

void CookieBalancer::TrackRepeat(Flow* flow, TimePoint now) {
  const bool is_known = flow->is_waiting && flow->request_at >= m_trusted_since;
  if (!is_known) return;
  const Duration age = now - flow->request_at;
  flow->is_repeating =
      flow->is_repeating || age >= m_settings.placement.repeat_age;
  if (m_placement.OnRepeat(flow->target, flow->request_at, now)) {
    ResetFlowsOf(flow->target);
    const TargetDirectory::Entry* entry = m_directory->Find(flow->target);
    if (entry == nullptr) return;
    m_lost.insert(flow->target);
    Tell(TargetBelief::kLost, *entry, now);
  }
}

// Lets callers of a lost target go elsewhere: with requests that did not reach
// it and may run again, and from flows on which nothing is under way.
void CookieBalancer::ResetFlowsOf(std::uint64_t target) {
  for (const auto& [key, flow] : m_flows) {
    const bool is_stuck = flow.is_repeating && flow.may_repeat;
    const bool is_reset =
        flow.is_open && flow.target == target && (is_stuck || !flow.is_waiting);
    if (!is_reset) continue;
    Forwarding reset;
    reset.action = ForwardAction::kReset;
    reset.reason = ForwardReason::kTargetLost;
    reset.flow = key;
    reset.reset_sequence = flow.acknowledged;
    m_resets.push_back(std::move(reset));
  }
}

std::vector<Forwarding> CookieBalancer::TakeResets() {
  for (const Forwarding& reset : m_resets) Forget(reset.flow);
  return std::exchange(m_resets, {});
}

void CookieBalancer::OnPulse(TimePoint now) {
  if (now - m_pulse_at > kLongestPulse) m_trusted_since = now;
  m_pulse_at = now;
  if (now - m_judged_at >= kJudgeInterval) JudgeTargets(now);
}

// Tells which beliefs changed.
void CookieBalancer::JudgeTargets(TimePoint now) {
  m_judged_at = now;
  for (const auto& [number, entry] : m_directory->entries()) {
    const bool is_silent =
        entry.news.state != AnnouncedState::kEnded && !HasLease(entry);
    if (is_silent && m_silent.insert(number).second) {
      Tell(TargetBelief::kSilent, entry, now);
    }
    if (!is_silent && m_silent.erase(number) != 0) {
      Tell(TargetBelief::kHeard, entry, now);
    }
    if (!m_placement.IsLost(number) && m_lost.erase(number) != 0) {
      Tell(TargetBelief::kAnswers, entry, now);
    }
  }
}

void CookieBalancer::Tell(TargetBelief belief,
                          const TargetDirectory::Entry& entry,
                          TimePoint now) const {
  TargetJudgement judgement;
  judgement.belief = belief;
  judgement.target = entry.news.number;
  judgement.address = entry.news.address;
  judgement.pool = entry.news.pool;
  judgement.unheard = m_hooks.covered_time() - entry.heard_at;
  const TargetView* view = m_placement.Find(entry.news.number);
  if (view != nullptr) {
    if (view->answered_at != TimePoint{}) {
      judgement.unanswered = now - view->answered_at;
    }
    judgement.repeats = view->repeats;
  }
  m_hooks.on_judgement(judgement);
}

void CookieBalancer::Forget(const FlowKey& key) {
  const auto found = m_flows.find(key);
  if (found == m_flows.end()) return;
  const Flow& flow = found->second;
  if (flow.is_waiting) m_placement.OnRequestEnded(flow.target);
  if (flow.is_open) {
    m_placement.OnClosed(flow.target);
  } else if (flow.target != 0) {
    m_placement.OnOpeningEnded(flow.target);
  }
  m_flows.erase(found);
}

std::vector<Forwarding> CookieBalancer::OnTick(TimePoint now) {
  const auto later = std::find_if(m_retries.begin(), m_retries.end(),
                                  [&](const Retry& r) { return r.at > now; });
  const std::vector<Retry> due(m_retries.begin(), later);
  m_retries.erase(m_retries.begin(), later);
  std::vector<Forwarding> out;
  for (const Retry& retry : due) {
    const auto found = m_flows.find(retry.flow);
    const bool is_waiting = found != m_flows.end() && !found->second.is_open &&
                            found->second.target == retry.target &&
                            found->second.tried.size() == 1 &&
                            !found->second.opening_packet.empty();
    const Route* route =
        m_routes ? m_routes->Find(retry.flow.service) : nullptr;
    if (!is_waiting || route == nullptr) continue;
    Flow& flow = found->second;
    Forwarding again =
        PlaceFlow(retry.flow, *route, &flow, ForwardReason::kPlacedAgain, now);
    if (again.action != ForwardAction::kForward) continue;
    again.held = std::move(flow.opening_packet);
    flow.opening_packet = {};
    out.push_back(std::move(again));
  }
  return out;
}

std::optional<TimePoint> CookieBalancer::NextTick() const {
  if (m_retries.empty()) return std::nullopt;
  return m_retries.front().at;
}

bool CookieBalancer::HasLease(const TargetDirectory::Entry& entry) const {
  return m_hooks.covered_time() - entry.heard_at <= m_settings.lease;
}

// Those with a lease or, where a pool has none, those without: that all are
// silent at once says more of what carries their words than of them.
void CookieBalancer::ListTargets() {
  std::unordered_map<std::string, std::vector<PlacementTarget>> silent;
  m_targets.clear();
  for (const auto& [number, entry] : m_directory->entries()) {
    if (entry.news.state != AnnouncedState::kReady) continue;
    PlacementTarget target;
    target.number = number;
    target.slots = entry.news.slots;
    target.is_local = entry.news.data_centre == m_settings.data_centre;
    target.is_cold = m_hooks.covered_time() < entry.warm_at;
    auto& list = HasLease(entry) ? m_targets : silent;
    list[entry.news.pool].push_back(target);
  }
  m_targets.merge(silent);
}

const std::vector<PlacementTarget>& CookieBalancer::TargetsOf(
    const std::string& pool, TimePoint now) {
  const bool is_current = m_targets_revision == m_directory->revision() &&
                          now - m_targets_made_at < kTargetsAge;
  if (!is_current) {
    ListTargets();
    m_targets_revision = m_directory->revision();
    m_targets_made_at = now;
  }
  return m_targets[pool];
}

void CookieBalancer::Sweep(TimePoint now) {
  std::vector<FlowKey> old;
  for (auto& [key, flow] : m_flows) {
    const Duration quiet = now - flow.seen_at;
    if (quiet > m_settings.flow_memory) old.push_back(key);
    if (!flow.is_waiting || quiet <= m_settings.request_memory) continue;
    // Routers send all flows elsewhere when a balancer comes or goes: what was
    // under way here must not count as load for as long as the record.
    m_placement.OnUnanswered(flow.target, now);
    flow.is_waiting = false;
    flow.is_repeating = false;
  }
  for (const FlowKey& key : old) Forget(key);
}

}  // namespace sardinelead
