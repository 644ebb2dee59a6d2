// The proposer role. Any voting replica proposes while commands are pending.
// Acceptors reject the lower of competing ballots. A rejected proposer waits a
// random time whose upper bound doubles with each attempt, so that one proposer
// soon completes both phases. A value that an acceptor reports as already
// accepted is proposed before the replica's own commands.

#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace sardinelead {
namespace {

constexpr std::size_t kMaxBatchCommands = 64;
// The commands of a batch besides its first one have at most this size.
constexpr std::size_t kMaxBatchBytes = 64 << 10;
constexpr std::uint32_t kMaxBackOffDoublings = 10;
// Maximum number of pending commands; further ones are answered kUnknown
// immediately.
constexpr std::size_t kMaxPendingCommands = 1024;

}  // namespace

void Replica::Core::Submit(std::uint64_t request_id, Command command,
                           TimePoint deadline, TimePoint now) {
  const auto answer = [this, request_id](Outcome outcome) {
    if (request_id == 0) return;
    m_output.answers.push_back({request_id, std::move(outcome)});
  };
  const auto outcome = m_state.FindOutcome(command);
  if (outcome) return answer(*outcome);
  if (command.content.size() > m_settings.max_command_bytes) {
    return answer(
        {OutcomeKind::kRefused, m_state.configuration()->version,
         Error{ErrorCode::kLimit,
               "the change has " + std::to_string(command.content.size()) +
                   " bytes, above the limit of " +
                   std::to_string(m_settings.max_command_bytes),
               ""}});
  }
  const ReplicaRole role = Role();
  const bool is_unavailable =
      role == ReplicaRole::kFaulty || role == ReplicaRole::kRemoved;
  const bool needs_min_members = command.kind == CommandKind::kDocument ||
                                 command.kind == CommandKind::kEvacuation;
  const bool has_too_few_members =
      needs_min_members && m_state.JoinedCount() < m_settings.min_members;
  if (has_too_few_members) {
    return answer({OutcomeKind::kUnknown, m_state.document().version,
                   Error{ErrorCode::kUnavailable,
                         "too few replicas have joined; resend", ""}});
  }
  if (is_unavailable || m_pending_commands.size() >= kMaxPendingCommands) {
    const std::string reason = is_unavailable ? Name(role) : "overloaded";
    return answer({OutcomeKind::kUnknown, m_state.configuration()->version,
                   Error{ErrorCode::kUnavailable,
                         "this replica is " + reason +
                             "; resend to another with the same id",
                         ""}});
  }
  m_pending_commands.push_back({request_id, std::move(command), deadline});
  MaybePropose(now);
}

void Replica::Core::ExpirePending(TimePoint now) {
  std::deque<PendingCommand> waiting;
  for (PendingCommand& pending : m_pending_commands) {
    if (now < pending.deadline) {
      waiting.push_back(std::move(pending));
      continue;
    }
    if (pending.request_id == 0) continue;
    m_output.answers.push_back(
        {pending.request_id,
         {OutcomeKind::kUnknown, m_state.configuration()->version,
          Error{ErrorCode::kUnavailable,
                "no outcome in time; resend with the same id", ""}}});
  }
  m_pending_commands = std::move(waiting);
}

void Replica::Core::MaybePropose(TimePoint now) {
  ExpirePending(now);
  const bool must_wait =
      now < m_back_off_until || now < m_yield_until || IsReceivingProposal(now);
  if (m_phase != Phase::kIdle || must_wait || !CanVote()) return;
  const bool must_recover =
      m_acceptor.accepted.counter != 0 && now >= m_recovery_at;
  if (m_pending_commands.empty() && !must_recover) return;
  const bool may_continue =
      m_is_prepared && m_ballot == m_acceptor.promised && !must_recover;
  if (!may_continue) return BeginPrepare(now);
  BeginAccept(NextBatch(), now);
}

void Replica::Core::BeginPrepare(TimePoint now) {
  const std::uint64_t counter =
      std::max(m_acceptor.promised.counter, m_highest_counter) + 1;
  m_highest_counter = counter;
  m_ballot = {counter, m_settings.self, m_store};
  m_is_prepared = false;
  m_phase = Phase::kPreparing;
  m_voters.clear();
  m_adopted_ballot = Ballot{};
  m_adopted_value.clear();
  m_retransmit_at = now + m_settings.retransmit_interval;
  AgreementMessage prepare = MakeMessage(AgreementType::kPrepare);
  prepare.index = m_state.index() + 1;
  prepare.ballot = m_ballot;
  Broadcast(prepare);
  HandlePrepare(m_settings.self, prepare, now);
}

void Replica::Core::BeginAccept(Bytes value, TimePoint now) {
  m_value = std::move(value);
  m_phase = Phase::kAccepting;
  m_voters.clear();
  m_retransmit_at = now + m_settings.retransmit_interval;
  AgreementMessage accept = MakeMessage(AgreementType::kAccept);
  accept.index = m_state.index() + 1;
  accept.ballot = m_ballot;
  PutValue(m_value, &accept);
  Broadcast(accept);
  accept.value = m_value;
  HandleAccept(m_settings.self, accept, now);
}

// Of the pending documents only the newest is proposed: once it is decided, the
// others are superseded. Commands that may not share a value with the oldest
// one wait for a later value.
Bytes Replica::Core::NextBatch() const {
  const PendingCommand* newest = nullptr;
  for (const PendingCommand& pending : m_pending_commands) {
    if (pending.command.kind != CommandKind::kDocument) continue;
    const bool is_newer =
        newest == nullptr ||
        DocumentVersion(newest->command) < DocumentVersion(pending.command);
    if (is_newer) newest = &pending;
  }
  std::vector<Command> commands;
  std::size_t size = 0;
  for (const PendingCommand& pending : m_pending_commands) {
    const bool is_superseded =
        pending.command.kind == CommandKind::kDocument && &pending != newest;
    const bool may_share = MayShareValue(
        m_pending_commands.front().command.kind, pending.command.kind);
    if (is_superseded || !may_share) continue;
    size += pending.command.content.size();
    const bool is_full = commands.size() >= kMaxBatchCommands ||
                         (size > kMaxBatchBytes && !commands.empty());
    if (is_full) break;
    commands.push_back(pending.command);
  }
  return EncodeCommands(commands);
}

bool Replica::Core::IsVoteForProposal(NodeId from,
                                      const AgreementMessage& message) const {
  return message.index == m_state.index() + 1 && message.ballot == m_ballot &&
         m_state.IsVoter(from, message.store);
}

Replica::Core::PeerVotes* Replica::Core::RecordPeerPromise(
    NodeId from, const AgreementMessage& message) {
  PeerVotes& votes = m_peer_votes[from];
  if (votes.store != message.store) votes = PeerVotes{message.store, 0, {}, {}};
  votes.promised = std::max(votes.promised, message.ballot);
  return &votes;
}

void Replica::Core::RecordPeerVote(NodeId from,
                                   const AgreementMessage& message) {
  PeerVotes* votes = RecordPeerPromise(from, message);
  if (message.index < votes->index) return;
  if (message.index > votes->index) votes->accepted = Ballot{};
  votes->index = message.index;
  const bool is_accept = message.type == AgreementType::kAccepted;
  const Ballot accepted = is_accept ? message.ballot : message.acceptor_ballot;
  votes->accepted = std::max(votes->accepted, accepted);
}

void Replica::Core::HandlePromise(NodeId from, const AgreementMessage& message,
                                  TimePoint now) {
  RecordPeerVote(from, message);
  if (m_phase != Phase::kPreparing || !IsVoteForProposal(from, message)) return;
  m_voters.insert(from);
  if (m_adopted_ballot < message.acceptor_ballot) {
    m_adopted_ballot = message.acceptor_ballot;
    m_adopted_value = message.value;
  }
  // The quorum must include this replica's own promise, which is on disk, so
  // that it never uses this ballot again, even after a restart.
  const bool has_own = m_voters.count(m_settings.self) != 0;
  if (!has_own || m_voters.size() < m_state.Quorum()) return;
  m_is_prepared = true;
  ExpirePending(now);
  if (m_adopted_ballot.counter != 0) return BeginAccept(m_adopted_value, now);
  if (!m_pending_commands.empty()) return BeginAccept(NextBatch(), now);
  m_phase = Phase::kIdle;
}

void Replica::Core::HandleAccepted(NodeId from, const AgreementMessage& message,
                                   TimePoint now) {
  RecordPeerVote(from, message);
  if (m_phase != Phase::kAccepting || !IsVoteForProposal(from, message)) return;
  m_voters.insert(from);
  if (m_voters.size() < m_state.Quorum()) return;
  AgreementMessage decided = MakeMessage(AgreementType::kDecided);
  decided.index = m_state.index() + 1;
  decided.ballot = m_ballot;
  Broadcast(decided);
  m_phase = Phase::kIdle;
  m_back_off_attempts = 0;
  m_is_prepared = m_is_prepared && m_settings.reuse_prepare_phase;
  Decide(m_ballot, std::move(m_value), now);
  MaybePropose(now);
}

void Replica::Core::HandleReject(NodeId, const AgreementMessage& message,
                                 TimePoint now) {
  m_highest_counter =
      std::max(m_highest_counter, message.acceptor_ballot.counter);
  const bool is_current = m_phase != Phase::kIdle &&
                          message.ballot == m_ballot &&
                          message.index == m_state.index() + 1;
  if (!is_current) return;
  AbandonProposal();
  BackOff(now);
}

void Replica::Core::AbandonProposal() {
  m_phase = Phase::kIdle;
  m_is_prepared = false;
  m_value.clear();
  m_voters.clear();
}

void Replica::Core::BackOff(TimePoint now) {
  m_back_off_attempts = std::min(m_back_off_attempts + 1, kMaxBackOffDoublings);
  const Duration doubled =
      m_settings.back_off_base * (1 << m_back_off_attempts);
  const Duration bound = std::min(doubled, m_settings.back_off_cap);
  const auto span = static_cast<std::uint64_t>(bound.count()) + 1;
  const Duration wait(static_cast<Duration::rep>(m_hooks.random() % span));
  m_back_off_until = std::max(m_back_off_until, now + wait);
}

void Replica::Core::Retransmit(TimePoint now) {
  if (m_phase == Phase::kIdle || now < m_retransmit_at) return;
  if (!CanVote()) return AbandonProposal();
  m_retransmit_at = now + m_settings.retransmit_interval;
  const bool is_prepare = m_phase == Phase::kPreparing;
  AgreementMessage message = MakeMessage(is_prepare ? AgreementType::kPrepare
                                                    : AgreementType::kAccept);
  message.index = m_state.index() + 1;
  message.ballot = m_ballot;
  if (!is_prepare) PutValue(m_value, &message);
  for (const auto& [member, store] : m_state.members()) {
    if (member == m_settings.self || m_voters.count(member) != 0) continue;
    Send(member, message);
  }
}

}  // namespace sardinelead
