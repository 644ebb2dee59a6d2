// The learner role: decided values and catch-up.

#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace sardinelead {
namespace {

constexpr std::size_t kMaxRecentBytes = 4 << 20;
constexpr std::size_t kMaxRecentValues = 1024;
constexpr std::size_t kMaxFetchValues = 64;
constexpr std::size_t kMaxFetchBytes = 32 << 10;
constexpr Duration kFetchInterval = std::chrono::milliseconds(50);

}  // namespace

// Applies the value decided at the next index.
void Replica::Core::Decide(const Ballot& ballot, Bytes value, TimePoint now) {
  const bool is_accepted =
      m_acceptor.accepted.counter != 0 && m_acceptor.accepted == ballot;
  AppendRecord(is_accepted ? JournalRecordType::kDecidedAccepted
                           : JournalRecordType::kDecided,
               ballot, is_accepted ? Bytes{} : value);
  const auto members = m_state.members();
  const auto outcomes = m_state.Apply(value);
  // The votes for a change of the members are held by the old members only. If
  // some of these are lost, the rest may be no quorum of the old members, so
  // every member must remember by itself that the change was decided.
  m_needs_sync = m_needs_sync || members != m_state.members();
  m_acceptor = {m_acceptor.promised, Ballot{}, {}};
  m_recent_bytes += value.size();
  m_recent_values.push_back({m_state.index(), std::move(value)});
  while (m_recent_values.size() > kMaxRecentValues ||
         m_recent_bytes > kMaxRecentBytes) {
    m_recent_bytes -= m_recent_values.front().value.size();
    m_recent_values.pop_front();
  }
  // A proposal for the index just decided is obsolete. A change of members also
  // invalidates the promises received, since they came from a quorum of the old
  // members.
  if (m_phase != Phase::kIdle || members != m_state.members()) {
    AbandonProposal();
  }
  ObserveNewMembers(members, now);
  m_recovery_at = now + Jittered(m_settings.recovery_delay);
  m_yield_until = now;
  AnswerPending(outcomes);
  if (members != m_state.members()) RestartReads(now);
  AnswerReads();
}

void Replica::Core::AnswerPending(
    const std::vector<std::pair<std::string, Outcome>>& outcomes) {
  std::deque<PendingCommand> waiting;
  for (PendingCommand& pending : m_pending_commands) {
    std::optional<Outcome> outcome = m_state.FindOutcome(pending.command);
    for (const auto& [key, applied] : outcomes) {
      if (!outcome && key == OutcomeKey(pending.command)) outcome = applied;
    }
    if (!outcome) {
      waiting.push_back(std::move(pending));
    } else if (pending.request_id != 0) {
      m_output.answers.push_back({pending.request_id, std::move(*outcome)});
    }
  }
  m_pending_commands = std::move(waiting);
}

void Replica::Core::HandleDecided(NodeId from, const AgreementMessage& message,
                                  TimePoint now) {
  const std::uint64_t next = m_state.index() + 1;
  if (message.index < next) return;
  const bool is_known = message.index == next &&
                        m_acceptor.accepted.counter != 0 &&
                        m_acceptor.accepted == message.ballot;
  if (!is_known) return Fetch(from, now);
  Decide(message.ballot, m_acceptor.value, now);
  MaybePropose(now);
}

void Replica::Core::SendHeartbeat(NodeId to) {
  AgreementMessage heartbeat = MakeMessage(AgreementType::kHeartbeat);
  const auto found = m_peer_votes.find(to);
  if (found != m_peer_votes.end()) {
    heartbeat.seen_store = found->second.store;
    heartbeat.seen_index = found->second.index;
    heartbeat.ballot = found->second.promised;
    heartbeat.acceptor_ballot = found->second.accepted;
  }
  Send(to, heartbeat);
}

void Replica::Core::HandleHeartbeat(NodeId from,
                                    const AgreementMessage& message,
                                    TimePoint now) {
  // If a peer has seen a vote that this replica does not hold, the disk lost
  // data that it had reported as synced.
  const std::uint64_t next = m_state.index() + 1;
  const bool is_behind = message.seen_index > next;
  const bool has_no_promise = m_acceptor.promised < message.ballot;
  const bool has_no_vote = message.seen_index == next &&
                           m_acceptor.accepted < message.acceptor_ballot;
  const bool has_lost_votes = is_behind || has_no_promise || has_no_vote;
  if (message.seen_store == m_store && has_lost_votes) {
    if (!ResetStore(std::move(m_state))) MarkFaulty();
    return;
  }
  m_peers_heard_from.insert(from);
  const bool is_invitation = m_state.cluster() == 0 &&
                             m_discovered_peers.size() < m_settings.max_members;
  if (is_invitation) m_discovered_peers.insert(from);
  if (message.index > m_state.index()) Fetch(from, now);
  MaybePropose(now);
}

void Replica::Core::Fetch(NodeId from, TimePoint now) {
  if (now < m_fetch_at || IsCatchingUp()) return;
  m_fetch_at = now + kFetchInterval;
  AgreementMessage fetch = MakeMessage(AgreementType::kFetch);
  // Without state this replica needs a snapshot, also if it knows its cluster.
  fetch.cluster = m_state.cluster();
  fetch.index = m_state.index() + 1;
  Send(from, fetch);
}

void Replica::Core::HandleFetch(NodeId from, const AgreementMessage& message) {
  if (m_state.cluster() == 0) return;
  // A replica without state does not know the members, so it needs a snapshot.
  const bool has_state = message.cluster != 0;
  if (has_state && message.index > m_state.index()) return;
  const bool is_recent = has_state && !m_recent_values.empty() &&
                         message.index >= m_recent_values.front().index;
  if (!is_recent) {
    AgreementMessage snapshot = MakeMessage(AgreementType::kSnapshot);
    PutValue(m_state.Encode(), &snapshot);
    return Send(from, snapshot);
  }
  AgreementMessage values = MakeMessage(AgreementType::kValues);
  values.index = message.index;
  values.seen_index = m_state.index();
  std::size_t size = 0;
  for (const RecentValue& recent : m_recent_values) {
    if (recent.index < message.index) continue;
    if (recent.value.size() > m_settings.max_inline_value_bytes) {
      PutValue(recent.value, &values);
      break;
    }
    size += recent.value.size();
    const bool is_full =
        values.values.size() >= kMaxFetchValues || size > kMaxFetchBytes;
    if (is_full) break;
    values.values.push_back(recent.value);
  }
  Send(from, values);
}

void Replica::Core::HandleValues(NodeId from, const AgreementMessage& message,
                                 TimePoint now) {
  if (m_state.cluster() == 0) return;
  std::uint64_t index = message.index;
  bool is_new = false;
  for (const Bytes& value : message.values) {
    if (index++ != m_state.index() + 1) continue;
    Decide(Ballot{}, value, now);
    is_new = true;
  }
  if (!is_new) return;
  m_fetch_at = TimePoint{};
  const bool has_more = message.seen_index > m_state.index() ||
                        message.values.size() >= kMaxFetchValues;
  if (has_more) Fetch(from, now);
  MaybePropose(now);
}

void Replica::Core::HandleSnapshot(NodeId from, const AgreementMessage& message,
                                   TimePoint now) {
  auto state = RegisterState::Decode(message.value);
  const bool is_new =
      state && (m_state.cluster() == 0 || state->index() > m_state.index());
  if (!is_new || state->cluster() != message.cluster) return;
  AbandonProposal();
  const auto members = m_state.members();
  m_state = std::move(*state);
  ObserveNewMembers(members, now);
  m_acceptor = {m_acceptor.promised, Ballot{}, {}};
  m_recent_values.clear();
  m_recent_bytes = 0;
  if (m_cluster == 0) {
    m_cluster = m_state.cluster();
    const VoidResult done =
        m_journal->WriteIdentity({m_cluster, m_settings.self, m_store});
    if (!done) return MarkFaulty();
  }
  if (!Compact()) return MarkFaulty();
  m_fetch_at = TimePoint{};
  AnswerPending({});
  RestartReads(now);
  AnswerReads();
  // The sender runs, so it is asked at once.
  const bool may_join = Role() == ReplicaRole::kJoining && !m_is_leaving;
  if (may_join && !WasRemoved()) RequestMembershipFrom(from);
}

}  // namespace sardinelead
