// The acceptor role. A replica votes only at the index that follows its last
// decided one, so it knows all preceding values when it votes; see
// "Log-too-high" in Gavrielatos, Katsarakis, Nagarajan, "Extending Classic
// Paxos for High-performance Read-Modify-Write Registers", section 7.1.
//
// A promise covers its index and all later ones. A proposer may therefore skip
// the prepare phase at later indexes: an acceptor that promised at an index had
// accepted nothing at a later one.

#include <utility>

#include "replica_core.h"

namespace sardinelead {

bool Replica::Core::CanVoteOn(NodeId from, const AgreementMessage& message,
                              TimePoint now) {
  const std::uint64_t next = m_state.index() + 1;
  if (message.index < next) {
    HandleFetch(from, message);
    return false;
  }
  if (message.index > next) {
    Fetch(from, now);
    return false;
  }
  const bool is_own_ballot =
      message.ballot.replica == from && message.ballot.store == message.store;
  return CanVote() && is_own_ballot && m_state.IsVoter(from, message.store);
}

void Replica::Core::HandlePrepare(NodeId from, const AgreementMessage& message,
                                  TimePoint now) {
  if (!CanVoteOn(from, message, now)) return;
  if (message.ballot < m_acceptor.promised) return Reject(from, message);
  if (m_acceptor.promised < message.ballot) {
    m_acceptor.promised = message.ballot;
    AppendRecord(JournalRecordType::kPromised, message.ballot, {});
  }
  YieldTo(from, message.ballot, now);
  AgreementMessage promise = MakeMessage(AgreementType::kPromise);
  promise.index = message.index;
  promise.ballot = message.ballot;
  promise.acceptor_ballot = m_acceptor.accepted;
  if (from == m_settings.self) {
    promise.value = m_acceptor.value;
  } else {
    PutValue(m_acceptor.value, &promise);
  }
  SendAfterSync(from, std::move(promise), now);
}

void Replica::Core::HandleAccept(NodeId from, const AgreementMessage& message,
                                 TimePoint now) {
  if (!CanVoteOn(from, message, now)) return;
  if (message.ballot < m_acceptor.promised) return Reject(from, message);
  if (m_acceptor.accepted != message.ballot) {
    m_acceptor = {message.ballot, message.ballot, message.value};
    AppendRecord(JournalRecordType::kAccepted, message.ballot, message.value);
  }
  // A proposer sends kAccept only after its own promise is synced, so the
  // message proves that the sender has promised this ballot.
  RecordPeerPromise(from, message);
  m_recovery_at = now + Jittered(m_settings.recovery_delay);
  YieldTo(from, message.ballot, now);
  AgreementMessage accepted = MakeMessage(AgreementType::kAccepted);
  accepted.index = message.index;
  accepted.ballot = message.ballot;
  SendAfterSync(from, std::move(accepted), now);
}

void Replica::Core::Reject(NodeId from, const AgreementMessage& message) {
  AgreementMessage reject = MakeMessage(AgreementType::kReject);
  reject.index = message.index;
  reject.ballot = message.ballot;
  reject.acceptor_ballot = m_acceptor.promised;
  Send(from, reject);
}

// Delays this replica's proposals so that a proposer with a higher ballot can
// finish. Applies once per ballot: otherwise a proposer that reuses its ballot
// for many indexes would block all others.
void Replica::Core::YieldTo(NodeId from, const Ballot& ballot, TimePoint now) {
  if (from == m_settings.self) return;
  if (m_phase != Phase::kIdle && m_ballot < ballot) AbandonProposal();
  if (m_yielded_to == ballot) return;
  m_yielded_to = ballot;
  m_yield_until = now + Jittered(m_settings.back_off_base);
}

}  // namespace sardinelead
