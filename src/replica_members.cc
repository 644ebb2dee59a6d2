// Membership: joining, leaving, and the removal of unresponsive members.
//
// A replica that lost its stored state takes a new store id and requests to
// vote from it. The request is a regular log command, so at one log index the
// votes of the new store start to count and those of the old store stop, and
// every replica that acts at an index agrees on which store is valid. In effect
// the replica is replaced by itself.
//
// Members that cannot vote must not be counted for long: with four members, of
// which one was replaced as planned, the loss of another one leaves two, which
// is no quorum. While there are more than `min_members`, a member is removed by
// a decided command
//
//   - when it stops as planned (Leave). It does not know whether it will start
//     again; if it does, it joins again, which takes less than a second.
//   - when nothing was received from it for `unresponsive_timeout`.
//
// The command names the member's store and `min_members` and is checked when it
// is applied, so that concurrent removals cannot go below that number and a
// member that has joined again is not removed by an old command.

#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace sardinelead {
namespace {

constexpr Duration kJoinInterval = std::chrono::milliseconds(200);
constexpr Duration kJoinDeadline = std::chrono::seconds(10);
constexpr Duration kRemovalJitter = std::chrono::milliseconds(200);
constexpr Duration kRemovalDeadline = std::chrono::seconds(1);
// A replica that was not scheduled for this long, or that had no quorum for
// kMaxObservationGap, does not know which members were silent meanwhile.
constexpr Duration kMaxObservationGap = std::chrono::seconds(1);

}  // namespace

void Replica::Core::HandleJoin(NodeId from, const AgreementMessage& message,
                               TimePoint now) {
  if (!CanVote()) return;
  const bool is_member = m_state.members().count(from) != 0;
  const NodeId unresponsive_member =
      is_member ? NodeId{} : FindUnresponsiveMember(now);
  // A full cluster does not admit the sender, which follows the log without
  // voting until a member becomes replaceable.
  const bool is_full = m_state.members().size() >= m_settings.max_members;
  if (!is_member && is_full && unresponsive_member.value == 0) return;
  Command command =
      is_member || !m_settings.allow_automatic_join
          ? MakeJoinCommand(from, message.store)
          : MakeAddAndJoinCommand(from, message.store, unresponsive_member);
  const std::string key = OutcomeKey(command);
  for (const PendingCommand& pending : m_pending_commands) {
    if (OutcomeKey(pending.command) == key) return;
  }
  Submit(0, std::move(command), now + kJoinDeadline, now);
}

// Restarts the observation of the members after a pause of this process or a
// time without a quorum. Otherwise a replica that resumes would take members
// for unresponsive whose messages it did not receive meanwhile.
void Replica::Core::UpdateObservation(TimePoint now) {
  const bool was_paused = now - m_observed_at > kMaxObservationGap;
  const bool has_quorum = Staleness(now) <= kMaxObservationGap;
  if (was_paused || !has_quorum) m_observed_since = now;
  m_observed_at = now;
}

// Counts the silence of members that have just joined from now on.
void Replica::Core::ObserveNewMembers(
    const std::map<NodeId, std::uint64_t>& before, TimePoint now) {
  for (const auto& member : m_state.members()) {
    const auto found = before.find(member.first);
    const bool is_new = found == before.end() || found->second != member.second;
    if (is_new) m_last_heard[member.first] = now;
  }
}

// Returns the joined member that has been silent the longest and for more than
// `unresponsive_timeout`; NodeId{} if there is none.
NodeId Replica::Core::FindUnresponsiveMember(TimePoint now) const {
  NodeId unresponsive_member;
  TimePoint oldest = now - m_settings.unresponsive_timeout;
  for (const auto& [member, store] : m_state.members()) {
    if (store == 0 || member == m_settings.self) continue;
    const auto found = m_last_heard.find(member);
    const TimePoint received_at =
        found == m_last_heard.end() ? m_observed_since
                                    : std::max(found->second, m_observed_since);
    if (received_at >= oldest) continue;
    oldest = received_at;
    unresponsive_member = member;
  }
  return unresponsive_member;
}

// Whether a decided command removed this replica's store from the members. The
// replica must rejoin under a new store id, since votes of the removed store
// must never count again.
bool Replica::Core::WasRemoved() const {
  const bool is_non_member =
      m_state.cluster() != 0 && m_state.members().count(m_settings.self) == 0;
  if (!is_non_member) return false;
  const auto was_decided = [this](const Command& command) {
    return m_state.FindOutcome(OutcomeKey(command)).has_value();
  };
  return m_acceptor.promised.counter != 0 ||
         was_decided(MakeJoinCommand(m_settings.self, m_store)) ||
         was_decided(MakeAddAndJoinCommand(m_settings.self, m_store, NodeId{}));
}

void Replica::Core::Leave(std::uint64_t request_id, TimePoint deadline,
                          TimePoint now) {
  m_is_leaving = true;
  const auto self = m_state.members().find(m_settings.self);
  const bool is_surplus = m_settings.allow_automatic_join && CanVote() &&
                          m_state.JoinedCount() > m_settings.min_members;
  if (is_surplus) return ProposeRemoval(*self, request_id, deadline, now);
  m_output.answers.push_back(
      {request_id,
       {OutcomeKind::kRefused, m_state.configuration()->version,
        Error{ErrorCode::kNotAllowed, "this replica's vote is needed", ""}}});
}

void Replica::Core::RemoveUnresponsiveMember(TimePoint now) {
  const bool may_remove = m_settings.allow_automatic_join && CanVote() &&
                          m_state.JoinedCount() > m_settings.min_members;
  if (!may_remove || now < m_removal_at) return;
  const auto member = m_state.members().find(FindUnresponsiveMember(now));
  const bool is_unresponsive = member != m_state.members().end();
  // All members observe the silence at about the same time. The jitter lets one
  // of them propose the removal first.
  const bool is_due = is_unresponsive && m_is_removal_due;
  m_is_removal_due = is_unresponsive && !is_due;
  if (!is_unresponsive) return;
  m_removal_at = now + Jittered(kRemovalJitter);
  if (is_due) ProposeRemoval(*member, 0, now + kRemovalDeadline, now);
}

void Replica::Core::ProposeRemoval(const Member& member,
                                   std::uint64_t request_id, TimePoint deadline,
                                   TimePoint now) {
  ReplicaChange change;
  change.id = DrawId();
  change.remove = member.first;
  change.remove_store = member.second;
  change.min_remaining = m_settings.min_members;
  Submit(request_id, MakeChangeCommand("", change), deadline, now);
}

void Replica::Core::RequestMembership(TimePoint now) {
  if (Role() != ReplicaRole::kJoining || m_is_leaving || now < m_join_at) {
    return;
  }
  m_join_at = now + Jittered(kJoinInterval);
  if (WasRemoved() && !ResetStore(std::move(m_state))) return MarkFaulty();
  const std::set<NodeId> peers = Peers();
  if (peers.empty()) return;
  auto peer = peers.begin();
  std::advance(peer, m_hooks.random() % peers.size());
  RequestMembershipFrom(*peer);
}

void Replica::Core::RequestMembershipFrom(NodeId peer) {
  AgreementMessage fetch = MakeMessage(AgreementType::kFetch);
  fetch.cluster = m_state.cluster();
  fetch.index = m_state.index() + 1;
  if (!IsCatchingUp()) Send(peer, fetch);
  if (m_state.cluster() != 0) Send(peer, MakeMessage(AgreementType::kJoin));
}

}  // namespace sardinelead
