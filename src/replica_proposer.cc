// Proposals. Any replica proposes whenever commands wait. Two that race reject
// each other's lower ballot; each waits for a random time that doubles with
// every attempt, so one of them soon finds the time for both phases. A value
// that was accepted anywhere is proposed again before one of its own.

#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace sardinelead {
namespace {

constexpr std::size_t kMaxBatchCommands = 64;
constexpr std::size_t kMaxBatchBytes = 1 << 20;
constexpr std::uint32_t kMaxBackOffDoublings = 10;
// Commands that wait; beyond, the answer is unknown at once.
constexpr std::size_t kMaxPending = 1024;

}  // namespace

void Replica::Core::Submit(std::uint64_t request_id, Command command,
                           TimePoint deadline, TimePoint now) {
  const auto answer = [this, request_id](Outcome outcome) {
    if (request_id == 0) return;
    m_output.answers.push_back({request_id, std::move(outcome)});
  };
  const auto outcome = m_state.FindOutcome(command);
  if (outcome) return answer(*outcome);
  const ReplicaRole role = Role();
  const bool is_out =
      role == ReplicaRole::kFaulty || role == ReplicaRole::kRemoved;
  const bool is_early = command.kind == CommandKind::kDocument &&
                        m_state.JoinedCount() < m_settings.min_members;
  if (is_early) {
    return answer({OutcomeKind::kUnknown, m_state.document().version,
                   Error{ErrorCode::kUnavailable,
                         "too few replicas have joined; resend", ""}});
  }
  if (is_out || m_pending.size() >= kMaxPending) {
    const std::string reason = is_out ? Name(role) : "overloaded";
    return answer({OutcomeKind::kUnknown, m_state.configuration()->version,
                   Error{ErrorCode::kUnavailable,
                         "this replica is " + reason +
                             "; resend to another with the same id",
                         ""}});
  }
  m_pending.push_back({request_id, std::move(command), deadline});
  MaybePropose(now);
}

void Replica::Core::ExpirePending(TimePoint now) {
  std::deque<Pending> waiting;
  for (Pending& pending : m_pending) {
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
  m_pending = std::move(waiting);
}

void Replica::Core::MaybePropose(TimePoint now) {
  const bool must_wait = now < m_back_off_until || now < m_yield_until;
  if (m_phase != Phase::kIdle || must_wait || !CanVote()) return;
  const bool must_help = m_acceptor.accepted.counter != 0 && now >= m_help_at;
  if (m_pending.empty() && !must_help) return;
  const bool may_continue =
      m_is_prepared && m_ballot == m_acceptor.promised && !must_help;
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
  m_votes.clear();
  m_best_accepted = Ballot{};
  m_best_value.clear();
  m_retransmit_at = now + m_settings.retransmit_interval;
  AgreementMessage prepare = Make(AgreementType::kPrepare);
  prepare.index = m_state.index() + 1;
  prepare.ballot = m_ballot;
  Broadcast(prepare);
  HandlePrepare(m_settings.self, prepare, now);
}

void Replica::Core::BeginAccept(Bytes value, TimePoint now) {
  m_value = std::move(value);
  m_phase = Phase::kAccepting;
  m_votes.clear();
  m_retransmit_at = now + m_settings.retransmit_interval;
  AgreementMessage accept = Make(AgreementType::kAccept);
  accept.index = m_state.index() + 1;
  accept.ballot = m_ballot;
  accept.value = m_value;
  Broadcast(accept);
  HandleAccept(m_settings.self, accept, now);
}

Bytes Replica::Core::NextBatch() const {
  std::vector<Command> commands;
  std::size_t size = 0;
  for (const Pending& pending : m_pending) {
    size += pending.command.content.size();
    const bool is_full = commands.size() >= kMaxBatchCommands ||
                         (size > kMaxBatchBytes && !commands.empty());
    if (is_full) break;
    commands.push_back(pending.command);
  }
  return EncodeCommands(commands);
}

bool Replica::Core::IsCurrentVote(NodeId from,
                                  const AgreementMessage& message) const {
  return message.index == m_state.index() + 1 && message.ballot == m_ballot &&
         m_state.IsVoter(from, message.store);
}

Replica::Core::Seen* Replica::Core::NotePromise(
    NodeId from, const AgreementMessage& message) {
  Seen& seen = m_seen[from];
  if (seen.store != message.store) seen = Seen{message.store, 0, {}, {}};
  seen.promised = std::max(seen.promised, message.ballot);
  return &seen;
}

void Replica::Core::NoteVote(NodeId from, const AgreementMessage& message) {
  Seen* seen = NotePromise(from, message);
  if (message.index < seen->index) return;
  if (message.index > seen->index) seen->accepted = Ballot{};
  seen->index = message.index;
  const bool is_accept = message.type == AgreementType::kAccepted;
  const Ballot accepted = is_accept ? message.ballot : message.other;
  seen->accepted = std::max(seen->accepted, accepted);
}

void Replica::Core::HandlePromise(NodeId from, const AgreementMessage& message,
                                  TimePoint now) {
  NoteVote(from, message);
  if (m_phase != Phase::kPreparing || !IsCurrentVote(from, message)) return;
  m_votes.insert(from);
  if (m_best_accepted < message.other) {
    m_best_accepted = message.other;
    m_best_value = message.value;
  }
  // Its own promise is among them, so that it never uses this ballot again,
  // also after a restart.
  const bool has_own = m_votes.count(m_settings.self) != 0;
  if (!has_own || m_votes.size() < m_state.Quorum()) return;
  m_is_prepared = true;
  if (m_best_accepted.counter != 0) return BeginAccept(m_best_value, now);
  if (!m_pending.empty()) return BeginAccept(NextBatch(), now);
  m_phase = Phase::kIdle;
}

void Replica::Core::HandleAccepted(NodeId from, const AgreementMessage& message,
                                   TimePoint now) {
  NoteVote(from, message);
  if (m_phase != Phase::kAccepting || !IsCurrentVote(from, message)) return;
  m_votes.insert(from);
  if (m_votes.size() < m_state.Quorum()) return;
  AgreementMessage decided = Make(AgreementType::kDecided);
  decided.index = m_state.index() + 1;
  decided.ballot = m_ballot;
  Broadcast(decided);
  m_phase = Phase::kIdle;
  m_attempt = 0;
  m_is_prepared = m_is_prepared && m_settings.keep_promise;
  Decide(m_ballot, std::move(m_value), now);
  MaybePropose(now);
}

void Replica::Core::HandleReject(NodeId, const AgreementMessage& message,
                                 TimePoint now) {
  m_highest_counter = std::max(m_highest_counter, message.other.counter);
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
  m_votes.clear();
}

void Replica::Core::BackOff(TimePoint now) {
  m_attempt = std::min(m_attempt + 1, kMaxBackOffDoublings);
  const Duration doubled = m_settings.back_off_base * (1 << m_attempt);
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
  AgreementMessage message =
      Make(is_prepare ? AgreementType::kPrepare : AgreementType::kAccept);
  message.index = m_state.index() + 1;
  message.ballot = m_ballot;
  if (!is_prepare) message.value = m_value;
  for (const auto& [member, store] : m_state.members()) {
    if (member == m_settings.self || m_votes.count(member) != 0) continue;
    Send(member, message);
  }
}

}  // namespace sardinelead
