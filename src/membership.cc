// Membership protocol.
//
// The protocol guarantees two safety properties: two nodes never decide new
// flows of one partition without knowing of each other, and a removed node
// never forwards using records that the others have changed since. Heartbeats
// and leases suffice for both. No log, leader or persistent state is needed,
// since views are derived from the set of live nodes.
//
// A node in view H sends heartbeats that name H. It decides only while, for
// every other member of H, it holds an unexpired lease. A member grants one by
// echoing, while it is in H too, a heartbeat that this node sent after entering
// H; the lease runs from the time when that heartbeat was sent. Suppose that
// nodes A and B decide in different views at the same time.
//  - If each is in the other's view, B was in A's view when it echoed a
//    heartbeat that A had sent after entering that view. B therefore entered
//    its own view later than A did. By symmetry A entered its view later than
//    B did, a contradiction.
//  - If A is not in B's view, B removed A only after hearing nothing from
//    it for a whole lease, so A's lease from B had already expired.
//  - If neither is in the other's view, both views contain a majority of an
//    earlier view and hence a common node, to which the previous case applies.
//
// A node may forward using its records while the nodes that granted it a lease
// form a majority of each electorate, since no view without it can then be in
// force. This permission survives view changes and ends only when the node is
// partitioned from the majority.
//
// A removed node rejoins under a new epoch, with no records. Its heartbeats
// must first be received without interruption for a hold-down time that doubles
// with each removal, so that a slow node or a flapping link does not repeatedly
// disrupt the others.
//
// A link may fail while both of its ends are alive. Heartbeats therefore list
// the nodes that their sender receives from, and all nodes remove the same end
// of the link (see link_graph.h) once the failure has lasted for a lease. The
// removed end may have been granted a lease just before, so the others wait for
// one lease before they decide again.

#include <algorithm>

#include "membership_state.h"

namespace sardinelead {
namespace {

constexpr std::size_t kMaxPeers = 64;
// An unreachable peer is sent only every kUnreachablePeriods-th heartbeat.
constexpr std::uint32_t kUnreachablePeriods = 8;
constexpr Duration kUnreachableAfter = std::chrono::seconds(10);
// Every kEndpointPeriods-th heartbeat repeats this node's endpoints.
constexpr std::uint32_t kEndpointPeriods = 32;
constexpr std::uint32_t kUnknownHoldings =
    std::numeric_limits<std::uint32_t>::max();

}  // namespace

Membership::State::State(MembershipSettings settings, Blackboard* blackboard,
                         ReportHoldings report_holdings)
    : m_settings(std::move(settings)),
      m_blackboard(blackboard),
      m_report_holdings(std::move(report_holdings)) {
  std::vector<NodeId> electorate = {m_settings.self};
  for (const NodeId seed : m_settings.seeds) {
    if (seed == m_settings.self) continue;
    FindOrAddPeer(seed);
    electorate.push_back(seed);
  }
  m_electorates.push_back(electorate);
}

Membership::State::Peer* Membership::State::FindOrAddPeer(NodeId id) {
  if (id == m_settings.self || id.value == 0) return nullptr;
  const auto found = m_peers.find(id);
  if (found != m_peers.end()) return &found->second;
  if (m_peers.size() >= kMaxPeers) return nullptr;
  Peer& peer = m_peers[id];
  peer.member.id = id;
  return &peer;
}

void Membership::State::OnMessage(NodeId from, ByteView body, TimePoint now) {
  const auto heartbeat = DecodeHeartbeat(body);
  Peer* peer = FindOrAddPeer(from);
  if (!heartbeat || peer == nullptr) {
    ++m_malformed;
    return;
  }
  const Incarnation known = peer->member.incarnation;
  if (heartbeat->incarnation < known) return;
  if (heartbeat->incarnation != known) {
    Peer restarted_peer;
    restarted_peer.member.id = from;
    restarted_peer.removal_count = peer->removal_count;
    restarted_peer.last_removed_at = peer->last_removed_at;
    *peer = restarted_peer;
  }
  if (heartbeat->sequence <= peer->sequence) return;
  ApplyHeartbeat(*heartbeat, peer, now);
}

void Membership::State::ApplyHeartbeat(const Heartbeat& heartbeat, Peer* peer,
                                       TimePoint now) {
  const bool is_changed = peer->view != heartbeat.view ||
                          peer->member.state != heartbeat.state ||
                          peer->member.epoch != heartbeat.epoch;
  m_is_heartbeat_due = m_is_heartbeat_due || is_changed;
  const bool had_gap = peer->heard_at == TimePoint::min() ||
                       now - peer->heard_at >= m_settings.lease;
  if (had_gap) peer->heard_since = now;
  peer->heard_at = now;
  peer->sequence = heartbeat.sequence;
  peer->member.incarnation = heartbeat.incarnation;
  peer->member.epoch = heartbeat.epoch;
  peer->member.state = heartbeat.state;
  if (heartbeat.control && heartbeat.relay) {
    peer->member.control = *heartbeat.control;
    peer->member.relay = *heartbeat.relay;
    peer->has_endpoints = true;
  }
  peer->view = heartbeat.view;
  peer->incomplete = heartbeat.incomplete;
  peer->heard = heartbeat.heard;
  for (const NodeId id : heartbeat.heard) FindOrAddPeer(id);
  RecordLeases(heartbeat, peer, now);
  if (heartbeat.rejoin_epoch > m_epoch) Rejoin(heartbeat.rejoin_epoch, now);
}

void Membership::State::RecordLeases(const Heartbeat& heartbeat, Peer* peer,
                                     TimePoint now) {
  const bool is_same_view = m_is_in_view && heartbeat.view == m_view.tag();
  if (!is_same_view) peer->view_lease_until = TimePoint::min();
  const std::uint32_t age = m_sequence - heartbeat.echo;
  if (heartbeat.echo == 0 || age >= kSendTimeSlots) return;
  peer->has_echoed = true;
  const TimePoint sent = m_sent_at[heartbeat.echo % kSendTimeSlots];
  if (sent > now) return;
  const TimePoint until = sent + m_settings.lease;
  peer->lease_until = std::max(peer->lease_until, until);
  if (!is_same_view || heartbeat.echo < m_view_sequence) return;
  peer->view_lease_until = std::max(peer->view_lease_until, until);
}

void Membership::State::Rejoin(std::uint32_t epoch, TimePoint now) {
  m_epoch = epoch;
  m_state = m_state == MemberState::kDead ? m_state : MemberState::kJoining;
  m_is_in_view = false;
  m_is_agreed = false;
  m_had_agreed_view = false;
  // The leases that this node granted before must expire first.
  m_join_blocked_until = now + m_settings.lease;
  m_is_heartbeat_due = true;
  m_broken_since.clear();
  for (auto& [id, peer] : m_peers) {
    peer.lease_until = TimePoint::min();
    peer.view_lease_until = TimePoint::min();
    peer.rejoin_epoch = 0;
  }
}

bool Membership::State::OthersAreComplete(TimePoint now) const {
  for (const Member& member : m_view.members()) {
    if (member.id == m_settings.self) continue;
    if (member.state == MemberState::kLeaving) continue;
    const Peer& peer = m_peers.at(member.id);
    const bool is_complete =
        IsAlive(peer, now) && peer.view == m_view.tag() && peer.incomplete == 0;
    if (!is_complete) return false;
  }
  return true;
}

void Membership::State::UpdateOwnState(TimePoint now) {
  if (m_state == MemberState::kDead) return;
  const MemberState before = m_state;
  const RecordCompleteness report = m_report_holdings();
  const bool is_complete =
      m_is_agreed && report.serial == m_view.serial() && report.incomplete == 0;
  if (m_state == MemberState::kJoining && is_complete) {
    m_state = MemberState::kReady;
  }
  if (m_is_leaving && before == MemberState::kReady) {
    m_state = MemberState::kLeaving;
  }
  const bool has_no_records = m_is_leaving && before == MemberState::kJoining;
  const bool is_handed_over = before == MemberState::kLeaving && m_is_agreed &&
                              m_view.Find(m_settings.self)->state == before &&
                              OthersAreComplete(now);
  if (has_no_records || is_handed_over) m_state = MemberState::kDead;
  m_is_heartbeat_due = m_is_heartbeat_due || m_state != before;
}

Outbox Membership::State::OnTick(TimePoint now) {
  if (!m_has_started) {
    // An earlier incarnation of this node may have granted leases; it joins no
    // view until they have expired.
    m_has_started = true;
    m_join_blocked_until = now + m_settings.lease;
  }
  UpdateOwnState(now);
  UpdateBrokenLinks(now);
  UpdateView(now);
  PublishPermissions(now);
  return IsSendingDue(now) ? SendHeartbeats(now) : Outbox();
}

bool Membership::State::IsSendingDue(TimePoint now) const {
  return m_is_heartbeat_due || m_last_sent == TimePoint::min() ||
         now - m_last_sent >= m_settings.heartbeat_period;
}

Outbox Membership::State::SendHeartbeats(TimePoint now) {
  ++m_sequence;
  m_sent_at[m_sequence % kSendTimeSlots] = now;
  m_last_sent = now;
  m_is_heartbeat_due = false;
  Outbox outbox;
  for (const auto& [id, peer] : m_peers) {
    const bool is_unreachable = peer.heard_at != TimePoint::min() &&
                                now - peer.heard_at > kUnreachableAfter;
    if (is_unreachable && m_sequence % kUnreachablePeriods != 0) continue;
    outbox.push_back(
        {id, MessageKind::kMembership, Encode(MakeHeartbeat(peer, now))});
  }
  return outbox;
}

Heartbeat Membership::State::MakeHeartbeat(const Peer& peer,
                                           TimePoint now) const {
  const RecordCompleteness report = m_report_holdings();
  const bool is_suspended = now < m_suspended_until;
  Heartbeat heartbeat;
  heartbeat.incarnation = m_settings.incarnation;
  heartbeat.epoch = m_epoch;
  heartbeat.state = m_state;
  heartbeat.sequence = m_sequence;
  heartbeat.echo = IsSameMember(peer) ? peer.sequence : 0;
  heartbeat.view = m_is_in_view && !is_suspended ? m_view.tag() : 0;
  heartbeat.incomplete =
      report.serial == m_view.serial() ? report.incomplete : kUnknownHoldings;
  const bool is_removed = m_is_agreed && peer.member.epoch < peer.rejoin_epoch;
  heartbeat.rejoin_epoch = is_removed ? peer.rejoin_epoch : 0;
  if (now >= m_join_blocked_until) heartbeat.heard = Heard(now);
  const bool sends_endpoints =
      !peer.has_echoed || m_sequence % kEndpointPeriods == 0;
  if (sends_endpoints) {
    heartbeat.control = m_settings.control;
    heartbeat.relay = m_settings.relay;
  }
  return heartbeat;
}

Membership::Membership(MembershipSettings settings, Blackboard* blackboard,
                       ReportHoldings report_holdings)
    : m_state(std::make_unique<State>(std::move(settings), blackboard,
                                      std::move(report_holdings))) {}

Membership::~Membership() = default;

Outbox Membership::OnMessage(NodeId from, ByteView body, TimePoint now) {
  m_state->OnMessage(from, body, now);
  return {};
}

Outbox Membership::OnTick(TimePoint now) { return m_state->OnTick(now); }

void Membership::Leave() { m_state->Leave(); }

bool Membership::IsHandoverComplete() const {
  return m_state->IsHandoverComplete();
}

std::uint64_t Membership::malformed() const { return m_state->malformed(); }

std::uint64_t Membership::views_proposed() const {
  return m_state->views_proposed();
}

}  // namespace sardinelead
