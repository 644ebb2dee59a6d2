// Decided values, catching up and joining.
//
// A replica that lost its memory draws a new store id and asks to vote from
// it. The request is a command of the log like any other, so there is one index
// from which the votes of its new store count and those of its old one do not,
// and everybody who acts at an index knows which. It is the replacement of a
// replica by itself.

#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace sardinelead {
namespace {

constexpr std::size_t kMaxRecentBytes = 4 << 20;
constexpr std::size_t kMaxRecent = 1024;
constexpr std::size_t kMaxFetchValues = 64;
constexpr std::size_t kMaxFetchBytes = 256 << 10;
constexpr Duration kFetchInterval = std::chrono::milliseconds(50);
constexpr Duration kJoinInterval = std::chrono::milliseconds(200);
constexpr Duration kJoinDeadline = std::chrono::seconds(10);

}  // namespace

// Applies the value of the next index.
void Replica::Core::Decide(const Ballot& ballot, Bytes value, TimePoint now) {
  const bool is_accepted =
      m_acceptor.accepted.counter != 0 && m_acceptor.accepted == ballot;
  Record(is_accepted ? JournalRecordType::kDecidedAccepted
                     : JournalRecordType::kDecided,
         ballot, is_accepted ? Bytes{} : value);
  const auto members = m_state.members();
  const auto outcomes = m_state.Apply(value);
  m_acceptor = {m_acceptor.promised, Ballot{}, {}};
  m_recent_size += value.size();
  m_recent.push_back({m_state.index(), std::move(value)});
  while (m_recent.size() > kMaxRecent || m_recent_size > kMaxRecentBytes) {
    m_recent_size -= m_recent.front().value.size();
    m_recent.pop_front();
  }
  // A proposal for the index just decided is void; so is a promise of replicas
  // that are others now.
  if (m_phase != Phase::kIdle || members != m_state.members()) {
    AbandonProposal();
  }
  m_help_at = now + Jittered(m_settings.help_delay);
  m_yield_until = now;
  AnswerPending(outcomes);
  if (members != m_state.members()) RestartReads(now);
  AnswerReads();
}

void Replica::Core::AnswerPending(
    const std::vector<std::pair<std::string, Outcome>>& outcomes) {
  std::deque<Pending> waiting;
  for (Pending& pending : m_pending) {
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
  m_pending = std::move(waiting);
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
  AgreementMessage heartbeat = Make(AgreementType::kHeartbeat);
  const auto found = m_seen.find(to);
  if (found != m_seen.end()) {
    heartbeat.seen_store = found->second.store;
    heartbeat.seen_index = found->second.index;
    heartbeat.ballot = found->second.promised;
    heartbeat.other = found->second.accepted;
  }
  Send(to, heartbeat);
}

void Replica::Core::HandleHeartbeat(NodeId from,
                                    const AgreementMessage& message,
                                    TimePoint now) {
  // A peer that saw a vote which this replica does not know of proves that the
  // disk lost what it had reported as kept.
  const std::uint64_t next = m_state.index() + 1;
  const bool is_behind = message.seen_index > next;
  const bool has_no_promise = m_acceptor.promised < message.ballot;
  const bool has_no_vote =
      message.seen_index == next && m_acceptor.accepted < message.other;
  const bool is_lost = is_behind || has_no_promise || has_no_vote;
  if (message.seen_store == m_store && is_lost) {
    if (!BeginWithoutMemory(std::move(m_state))) Fault();
    return;
  }
  m_contacted.insert(from);
  if (message.index > m_state.index()) Fetch(from, now);
  MaybePropose(now);
}

void Replica::Core::Fetch(NodeId from, TimePoint now) {
  if (now < m_fetch_at) return;
  m_fetch_at = now + kFetchInterval;
  AgreementMessage fetch = Make(AgreementType::kFetch);
  fetch.index = m_state.index() + 1;
  Send(from, fetch);
}

void Replica::Core::HandleFetch(NodeId from, const AgreementMessage& message) {
  if (m_state.cluster() == 0) return;
  // A replica without any state has no members either: it takes a snapshot.
  const bool has_state = message.cluster != 0;
  if (has_state && message.index > m_state.index()) return;
  const bool is_recent =
      has_state && !m_recent.empty() && message.index >= m_recent.front().index;
  if (!is_recent) {
    AgreementMessage snapshot = Make(AgreementType::kSnapshot);
    snapshot.value = m_state.Encode();
    return Send(from, snapshot);
  }
  AgreementMessage values = Make(AgreementType::kValues);
  values.index = message.index;
  std::size_t size = 0;
  for (const Recent& recent : m_recent) {
    if (recent.index < message.index) continue;
    size += recent.value.size();
    const bool is_full = values.values.size() >= kMaxFetchValues ||
                         (size > kMaxFetchBytes && !values.values.empty());
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
  if (message.values.size() >= kMaxFetchValues) Fetch(from, now);
  MaybePropose(now);
}

void Replica::Core::HandleSnapshot(const AgreementMessage& message,
                                   TimePoint now) {
  auto state = RegisterState::Decode(message.value);
  const bool is_new =
      state && (m_state.cluster() == 0 || state->index() > m_state.index());
  if (!is_new || state->cluster() != message.cluster) return;
  AbandonProposal();
  m_state = std::move(*state);
  m_acceptor = {m_acceptor.promised, Ballot{}, {}};
  m_recent.clear();
  m_recent_size = 0;
  if (m_cluster == 0) {
    m_cluster = m_state.cluster();
    const Done done =
        m_journal->WriteIdentity({m_cluster, m_settings.self, m_store});
    if (!done) return Fault();
  }
  if (!Compact()) return Fault();
  m_fetch_at = TimePoint{};
  AnswerPending({});
  RestartReads(now);
  AnswerReads();
  SeekMembership(now);
}

void Replica::Core::HandleJoin(NodeId from, const AgreementMessage& message,
                               TimePoint now) {
  if (!CanVote()) return;
  const bool is_member = m_state.members().count(from) != 0;
  const NodeId silent = is_member ? NodeId{} : LongSilentMember(now);
  // It follows without a vote until there is a place for it.
  const bool is_full = m_state.members().size() >= m_settings.max_members;
  if (!is_member && is_full && silent.value == 0) return;
  Command command = is_member || !m_settings.open_membership
                        ? MakeJoinCommand(from, message.store)
                        : MakeAdmitCommand(from, message.store, silent);
  const std::string key = OutcomeKey(command);
  for (const Pending& pending : m_pending) {
    if (OutcomeKey(pending.command) == key) return;
  }
  Submit(0, std::move(command), now + kJoinDeadline, now);
}

// The joined member that was silent longest, if for `replace_after`.
NodeId Replica::Core::LongSilentMember(TimePoint now) const {
  NodeId silent;
  TimePoint oldest = now - m_settings.replace_after;
  for (const auto& [member, store] : m_state.members()) {
    if (store == 0 || member == m_settings.self) continue;
    const auto found = m_heard.find(member);
    const TimePoint heard =
        found == m_heard.end() ? m_started_at : found->second;
    if (heard >= oldest) continue;
    oldest = heard;
    silent = member;
  }
  return silent;
}

// Whether the log took this replica's store out of the members. It comes back
// with another store, since the votes of this one must not count again.
bool Replica::Core::WasRemoved() const {
  const bool is_out =
      m_state.cluster() != 0 && m_state.members().count(m_settings.self) == 0;
  if (!is_out) return false;
  const auto was_decided = [this](const Command& command) {
    return m_state.FindOutcome(OutcomeKey(command)).has_value();
  };
  return m_acceptor.promised.counter != 0 ||
         was_decided(MakeJoinCommand(m_settings.self, m_store)) ||
         was_decided(MakeAdmitCommand(m_settings.self, m_store, NodeId{}));
}

void Replica::Core::SeekMembership(TimePoint now) {
  if (Role() != ReplicaRole::kJoining || now < m_join_at) return;
  m_join_at = now + Jittered(kJoinInterval);
  if (WasRemoved() && !BeginWithoutMemory(std::move(m_state))) return Fault();
  const std::set<NodeId> peers = Peers();
  if (peers.empty()) return;
  auto peer = peers.begin();
  std::advance(peer, m_hooks.random() % peers.size());
  AgreementMessage fetch = Make(AgreementType::kFetch);
  fetch.cluster = m_state.cluster();
  fetch.index = m_state.index() + 1;
  Send(*peer, fetch);
  if (m_state.cluster() != 0) Send(*peer, Make(AgreementType::kJoin));
}

}  // namespace sardinelead
