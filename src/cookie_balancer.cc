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
    case ForwardReason::kPlacedCopy:
      return "placed-copy";
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
    case ForwardReason::kEvacuated:
      return "evacuated";
    case ForwardReason::kUnplacedCopy:
      return "unplaced-copy";
    case ForwardReason::kUnknownCookie:
      return "unknown-cookie";
    case ForwardReason::kTargetEnded:
      return "target-ended";
    case ForwardReason::kNotReady:
      return "not-ready";
    case ForwardReason::kLinkFull:
      return "link-full";
    case ForwardReason::kWarmUpLimit:
      return "warm-up-limit";
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
      m_placement(m_settings.placement),
      m_evacuations(m_settings.evacuation_shift),
      m_warm_up_limiter(m_settings.warm_up_window) {}

void CookieBalancer::SetRoutes(RouteTable routes) {
  if (!(m_routes.version < routes.version)) return;
  for (const Route& route : m_routes.routes) {
    if (routes.Find(route.address) == nullptr) AddRemovedRoute(route.address);
  }
  m_routes = std::move(routes);
  m_targets_built_at = TimePoint{};
  for (const Route& route : m_routes.routes) {
    m_removed_routes.erase(route.address);
  }
}

Result<void> CookieBalancer::ApplyRouteChange(const RouteChange& change) {
  auto applied = m_routes.Apply(change);
  if (!applied) return applied;
  m_targets_built_at = TimePoint{};
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

void CookieBalancer::SetEvacuations(const EvacuationReport& evacuations,
                                    TimePoint now) {
  m_evacuations.Set(evacuations, now, m_hooks.covered_time());
}

Forwarding CookieBalancer::OnPacket(const FlowPacket& packet, TimePoint now) {
  if (m_routes.version.value == 0) {
    Forwarding out;
    out.flow = packet.flow;
    out.action = ForwardAction::kHold;
    return out;
  }
  if (m_routes.Find(packet.flow.service) == nullptr) {
    return ForwardWithoutRoute(packet);
  }
  return packet.opens ? ForwardOpening(packet, now)
                      : ForwardEstablished(packet, now);
}

// The table may be older than the flow, and a newer one may contain the route
// again. So only a first opening packet, which belongs to no open flow, is
// answered with a reset.
Forwarding CookieBalancer::ForwardWithoutRoute(const FlowPacket& packet) const {
  if (packet.opens && !packet.is_copy) {
    return MakeReset(packet, ForwardReason::kNoRoute);
  }
  const bool was_removed = m_removed_routes.count(packet.flow.service) != 0;
  return Drop(packet, was_removed ? ForwardReason::kRouteRemoved
                                  : ForwardReason::kNoRoute);
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
                                          TimePoint now) {
  const auto found = m_flows.find(packet.flow);
  const bool is_placed = found != m_flows.end() &&
                         found->second.opening_sequence == packet.sequence;
  if (is_placed) return ForwardOpeningCopy(packet, &found->second, now);
  if (packet.is_copy) return Drop(packet, ForwardReason::kUnplacedCopy);
  RemoveFlow(packet.flow);  // An earlier flow with the same addresses.
  const Route& route = *m_routes.Find(packet.flow.service);
  const auto& known = TargetsInPool(route.SelectPool(packet.flow.Hash()), now);
  const auto& targets = WithoutWithheld(known, now);
  // Each admitted flow counts towards the expected load of the link, so flows
  // that no target can take are rejected before.
  const bool is_refused_here = m_hooks.admits &&
                               FlowPlacement::HasCandidate(targets) &&
                               !m_hooks.admits(route, now);
  if (is_refused_here) return MakeReset(packet, ForwardReason::kLinkFull);
  const auto chosen =
      m_placement.Choose(targets, m_hooks.balancers(), m_hooks.random(), now);
  const TargetDirectory::Entry* entry =
      chosen ? m_directory->Find(*chosen) : nullptr;
  if (entry != nullptr && !TakeWarmUpShare(*entry, now)) {
    return MakeReset(packet, ForwardReason::kWarmUpLimit);
  }
  if (!chosen && !known.empty()) {
    return MakeReset(packet, ReasonForNoTarget(known));
  }
  if (entry == nullptr) {
    Forwarding out = MakeReset(packet, ForwardReason::kNoTarget);
    if (m_hooks.is_gathering()) out.action = ForwardAction::kHold;
    return out;
  }
  RecordOpening(packet, *entry, now);
  return ForwardTo(*entry, packet.flow, ForwardReason::kPlaced);
}

void CookieBalancer::RecordOpening(const FlowPacket& packet,
                                   const TargetDirectory::Entry& entry,
                                   TimePoint now) {
  const std::uint64_t target = entry.announcement.number;
  if (m_flows.size() >= m_settings.max_flows) ExpireFlows(now);
  Flow& flow = m_flows[packet.flow];
  flow.target = target;
  flow.occupant = {target, entry.announcement.started_ms};
  flow.opening_sequence = packet.sequence;
  flow.opened_at = now;
  flow.seen_at = now;
  flow.data_end = packet.sequence;
  flow.is_first_send = true;
  m_placement.OnOpening(target, now);
}

// Forwards an opening packet of a flow that was placed here before.
Forwarding CookieBalancer::ForwardOpeningCopy(const FlowPacket& packet,
                                              Flow* flow, TimePoint now) {
  flow->seen_at = now;
  const TargetDirectory::Entry* entry = m_directory->Find(flow->target);
  const bool is_same_process =
      entry != nullptr &&
      flow->occupant ==
          ProcessKey(flow->target, entry->announcement.started_ms);
  if (!is_same_process || flow->is_closed) {
    return Drop(packet, ForwardReason::kUnplacedCopy);
  }
  if (!TakeWarmUpShare(*entry, now)) {
    return Drop(packet, ForwardReason::kWarmUpLimit);
  }
  flow->is_first_send = false;
  if (!flow->is_open && ReplacesDropped(packet.flow, flow)) {
    OnOpeningSent(flow, now);
  }
  return ForwardTo(*entry, packet.flow, ForwardReason::kPlacedCopy);
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
  out.cookie = CookieOf(out.target, out.address);
  return out;
}

Forwarding CookieBalancer::ForwardEstablished(const FlowPacket& packet,
                                              TimePoint now) {
  const auto location = packet.cookie == 0
                            ? std::nullopt
                            : m_directory->FindByCookie(packet.cookie);
  if (!location) {
    Forwarding out = Drop(packet, ForwardReason::kUnknownCookie);
    if (packet.cookie != 0) out.action = ForwardAction::kHold;
    return out;
  }
  const auto occupant = m_directory->FindOccupant(*location);
  Forwarding out;
  out.flow = packet.flow;
  out.action = ForwardAction::kForward;
  out.target = location->entry->announcement.number;
  out.address = location->address;
  out.cookie = packet.cookie;
  const bool is_replaced = occupant.entry != location->entry ||
                           occupant.address != location->address;
  if (!is_replaced || packet.resets) {
    out.reason = UpdateFlow(packet, {out.target, occupant.started_ms}, now);
    return out;
  }
  RemoveFlow(packet.flow);  // It counts as load of neither process.
  out.reason = ForwardReason::kTargetEnded;
  out.copy = CopyFor(*location, occupant);
  return out;
}

PacketCopy CookieBalancer::CopyFor(const TargetDirectory::Location& location,
                                   const TargetDirectory::Location& occupant) {
  return {occupant.entry->announcement.number, occupant.address,
          location.started_ms, occupant.started_ms};
}

// Returns how the flow's record compares with the target that the cookie names.
ForwardReason CookieBalancer::UpdateFlow(const FlowPacket& packet,
                                         const ProcessKey& process,
                                         TimePoint now) {
  const std::uint64_t target = process.first;
  ForwardReason reason = ForwardReason::kByCookie;
  const auto recorded = m_flows.find(packet.flow);
  if (recorded == m_flows.end()) {
    reason = ForwardReason::kTakenOver;
  } else if (recorded->second.target != target) {
    // The caller uses the addresses again, for a flow that was placed
    // elsewhere.
    reason = ForwardReason::kCookieChanged;
    RemoveFlow(packet.flow);
  }
  if (packet.resets) {
    RemoveFlow(packet.flow);
    return reason;
  }
  if (packet.finishes) {
    CloseFlow(packet.flow, target, now);
    return reason;
  }
  const auto [found, is_new] = m_flows.try_emplace(packet.flow);
  Flow& flow = found->second;
  flow.seen_at = now;
  flow.is_first_send = flow.is_counted_since = false;
  if (flow.is_closed) return reason;
  KeepBarePacket(packet, &flow);
  flow.occupant = process;
  if (!flow.is_open) OpenFlow(packet, target, !is_new, &flow, now);
  UpdateRequestState(packet, &flow, now);
  return reason;
}

void CookieBalancer::KeepBarePacket(const FlowPacket& packet, Flow* flow) {
  flow->cookie = packet.cookie;
  const bool is_kept = packet.length == 0 && packet.bytes.size > 0 &&
                       packet.bytes.size <= kMaxProbeBytes;
  if (!is_kept) return;
  std::copy(packet.bytes.begin(), packet.bytes.end(), flow->last_bare.begin());
  flow->last_bare_bytes = static_cast<std::uint8_t>(packet.bytes.size);
}

void CookieBalancer::OpenFlow(const FlowPacket& packet, std::uint64_t target,
                              bool is_placed_here, Flow* flow, TimePoint now) {
  m_placement.OnOpened(target, is_placed_here, now);
  if (is_placed_here) {
    m_hooks.on_timing({FlowStep::kOpening, target, now - flow->opened_at});
  } else {
    flow->target = target;
    flow->data_end = packet.sequence;
  }
  flow->is_open = true;
  flow->acknowledged = packet.acknowledged;
}

void CookieBalancer::UpdateRequestState(const FlowPacket& packet, Flow* flow,
                                        TimePoint now) {
  const bool is_answered =
      packet.acknowledges && IsAfter(packet.acknowledged, flow->acknowledged);
  if (is_answered) {
    flow->acknowledged = packet.acknowledged;
    if (flow->is_counted) {
      m_placement.OnAnswer(flow->target, flow->request_at, now);
      m_hooks.on_timing(
          {FlowStep::kAnswer, flow->target, now - flow->request_at});
      if (m_hooks.on_request_size) {
        m_hooks.on_request_size(packet.flow.service, flow->request_bytes);
      }
      flow->is_waiting = flow->is_counted = false;
    }
  }
  if (packet.length == 0) return;
  const std::uint32_t end = packet.sequence + packet.length;
  if (!IsAfter(end, flow->data_end)) {
    return OnRetransmittedRequest(packet, flow, now);
  }
  flow->data_end = end;
  if (!flow->is_waiting) flow->request_bytes = flow->dropped_here = 0;
  flow->is_waiting = true;
  flow->request_bytes += packet.length;
  OnRequestSent(packet.flow, flow, now);
}

// Keeps the record until it expires: the caller still acknowledges what the
// target sends, which must not look like another open flow.
void CookieBalancer::CloseFlow(const FlowKey& key, std::uint64_t target,
                               TimePoint now) {
  const auto found = m_flows.find(key);
  Flow closed;
  if (found != m_flows.end()) {
    closed.opening_sequence = found->second.opening_sequence;
  }
  RemoveFlow(key);
  if (m_flows.size() >= m_settings.max_flows) return;
  closed.target = target;
  closed.is_closed = true;
  closed.seen_at = now;
  m_flows.emplace(key, closed);
}

void CookieBalancer::RemoveFlow(const FlowKey& key) {
  const auto found = m_flows.find(key);
  if (found == m_flows.end()) return;
  const Flow& flow = found->second;
  if (flow.is_closed) {
    m_flows.erase(found);
    return;
  }
  if (flow.is_counted) m_placement.OnRequestEnded(flow.target);
  if (flow.is_open) {
    m_placement.OnClosed(flow.target);
  } else if (flow.target != 0) {
    m_placement.OnOpeningCanceled(flow.target);
  }
  m_flows.erase(found);
}

bool CookieBalancer::HasValidLease(const TargetDirectory::Entry& entry) const {
  return m_hooks.covered_time() - entry.heard_at <= m_settings.lease;
}

// Lists the targets with a valid lease, including those of evacuated data
// centres, which FlowPlacement avoids. A pool without any such target uses its
// expired ones: if all leases expire at once, the likely cause is the path of
// the heartbeats, not the targets.
void CookieBalancer::RebuildTargetLists(TimePoint now) {
  std::unordered_map<std::string, std::vector<PlacementTarget>> silent;
  m_targets.clear();
  m_warm_up_shares.clear();
  for (const auto& [number, entry] : m_directory->entries()) {
    if (entry.announcement.state != AnnouncedState::kReady) continue;
    PlacementTarget target;
    target.number = number;
    target.slots = entry.announcement.slots;
    const std::string& data_centre = entry.announcement.data_centre;
    target.is_local = data_centre == m_settings.data_centre;
    target.is_warming_up = IsWarmingUp(entry);
    target.avoided_share = m_evacuations.AvoidedShare(data_centre, now);
    const auto share = WarmUpShareFor(entry);
    if (share) m_warm_up_shares.emplace(number, *share);
    target.heard_at = now - (m_hooks.covered_time() - entry.heard_at);
    auto& list = HasValidLease(entry) ? m_targets : silent;
    list[entry.announcement.pool].push_back(target);
  }
  m_targets.merge(silent);
}

const std::vector<PlacementTarget>& CookieBalancer::TargetsInPool(
    const std::string& pool, TimePoint now) {
  const std::uint64_t evacuations = m_evacuations.table().version();
  const bool is_current = m_targets_revision == m_directory->revision() &&
                          m_targets_evacuations == evacuations &&
                          now - m_targets_built_at < kTargetListMaxAge;
  if (!is_current) {
    RebuildTargetLists(now);
    m_targets_revision = m_directory->revision();
    m_targets_evacuations = evacuations;
    m_targets_built_at = now;
  }
  return m_targets[pool];
}

std::vector<FlowProbe> CookieBalancer::Sweep(TimePoint now) {
  if (now - m_health_reported_at >= kReportInterval) ReportHealthChanges(now);
  ExpireFlows(now);
  m_warm_up_limiter.RemoveIdle(now);
  if (m_probed_revision == m_directory->occupant_revision()) return {};
  m_probed_revision = m_directory->occupant_revision();
  return ProbeFlowsOfNewOccupants();
}

std::vector<FlowProbe> CookieBalancer::ProbeFlowsOfNewOccupants() {
  std::vector<FlowProbe> out;
  for (auto& [key, flow] : m_flows) {
    if (!flow.is_open || flow.last_bare_bytes == 0) continue;
    const auto location = m_directory->FindByCookie(flow.cookie);
    if (!location) continue;
    const auto occupant = m_directory->FindOccupant(*location);
    const ProcessKey process{occupant.entry->announcement.number,
                             occupant.started_ms};
    if (process == flow.occupant) continue;
    flow.occupant = process;
    const auto begin = flow.last_bare.begin();
    out.push_back({key, CopyFor(*location, occupant), flow.cookie,
                   Bytes(begin, begin + flow.last_bare_bytes)});
  }
  return out;
}

void CookieBalancer::ExpireFlows(TimePoint now) {
  std::vector<FlowKey> expired;
  for (auto& [key, flow] : m_flows) {
    // A packet of the flow may still wait to be read.
    const Duration idle = std::min(now, m_progress.read_until()) - flow.seen_at;
    if (idle > m_settings.flow_idle_timeout) expired.push_back(key);
    if (!flow.is_waiting || idle <= m_settings.request_timeout) continue;
    if (m_queued.Contains(key)) continue;
    // When the set of balancers changes, routers move flows to other balancers,
    // and this one does not see the answers. Without this timeout, the pending
    // requests would count as load here until the flow records expire.
    if (flow.is_counted && flow.dropped_here == 0) {
      m_placement.OnRequestTimeout(flow.target, now);
      flow.is_counted = false;
    }
    EndRequest(&flow);
  }
  for (const FlowKey& key : expired) RemoveFlow(key);
}

}  // namespace sardinelead
