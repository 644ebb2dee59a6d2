// Linearizable reads without leases or clocks.
//
// An accepted change was voted for by a quorum at its index, so every quorum
// contains a replica that has applied that index or holds a vote at it. The
// reader asks a quorum for the highest such index and answers once it has
// applied it. If only a vote is known at that index, the proposer may have
// crashed; the acceptors then complete the proposal after `recovery_delay`.
// Confirmations are valid only for the members at the time of the probe; a
// membership change restarts the read.

#include <algorithm>
#include <utility>

#include "replica_core.h"

namespace sardinelead {

void Replica::Core::ConfirmRead(std::uint64_t request_id, TimePoint deadline,
                                TimePoint now) {
  const auto unknown = [&](const char* message) {
    const Error error{ErrorCode::kUnavailable, message, ""};
    m_output.answers.push_back(
        {request_id,
         {OutcomeKind::kUnknown, m_state.document().version, error}});
  };
  if (!CanVote()) return unknown("this replica does not vote; ask another");
  PendingRead read;
  read.request_id = request_id;
  read.deadline = deadline;
  m_pending_reads.push_back(std::move(read));
  StartProbe(&m_pending_reads.back(), now);
  AnswerReads();
}

void Replica::Core::StartProbe(PendingRead* read, TimePoint now) {
  // Starts at a random id, so that replies to probes sent before a restart,
  // which may still be in transit, do not match.
  if (m_last_probe_id == 0) m_last_probe_id = m_hooks.random() >> 1;
  read->probe_id = ++m_last_probe_id;
  read->confirmed_by.clear();
  if (m_state.IsVoter(m_settings.self, m_store)) {
    read->confirmed_by.insert(m_settings.self);
  }
  read->needed_index = HighestPossiblyDecidedIndex();
  SendProbe(read, now);
}

// After a membership change a quorum of the new members need not intersect the
// quorum that has confirmed so far, so the current members are probed again.
void Replica::Core::RestartReads(TimePoint now) {
  for (PendingRead& read : m_pending_reads) StartProbe(&read, now);
}

std::uint64_t Replica::Core::HighestPossiblyDecidedIndex() const {
  const bool has_vote = m_acceptor.accepted.counter != 0;
  return m_state.index() + (has_vote ? 1 : 0);
}

void Replica::Core::SendProbe(PendingRead* read, TimePoint now) {
  read->retry_probe_at = now + m_settings.retransmit_interval;
  AgreementMessage probe = MakeMessage(AgreementType::kProbe);
  probe.ballot.counter = read->probe_id;
  for (const auto& [member, store] : m_state.members()) {
    const bool is_asked =
        member == m_settings.self || read->confirmed_by.count(member) != 0;
    if (!is_asked) Send(member, probe);
  }
}

void Replica::Core::HandleProbe(NodeId from, const AgreementMessage& message) {
  if (!CanVote()) return;
  AgreementMessage reply = MakeMessage(AgreementType::kProbeReply);
  reply.index = HighestPossiblyDecidedIndex();
  reply.ballot.counter = message.ballot.counter;
  Send(from, reply);
}

void Replica::Core::HandleProbeReply(NodeId from,
                                     const AgreementMessage& message) {
  if (!m_state.IsVoter(from, message.store)) return;
  for (PendingRead& read : m_pending_reads) {
    if (read.probe_id != message.ballot.counter) continue;
    read.confirmed_by.insert(from);
    read.needed_index = std::max(read.needed_index, message.index);
  }
  AnswerReads();
}

void Replica::Core::AnswerReads() {
  std::deque<PendingRead> waiting;
  for (PendingRead& read : m_pending_reads) {
    const bool is_confirmed = read.confirmed_by.size() >= m_state.Quorum() &&
                              read.needed_index <= m_state.index();
    if (!is_confirmed) {
      waiting.push_back(std::move(read));
      continue;
    }
    m_output.answers.push_back(
        {read.request_id,
         {OutcomeKind::kAccepted, m_state.document().version, Error{}}});
  }
  m_pending_reads = std::move(waiting);
}

void Replica::Core::RetryOrExpireReads(TimePoint now) {
  std::deque<PendingRead> waiting;
  for (PendingRead& read : m_pending_reads) {
    if (now < read.deadline) {
      if (now >= read.retry_probe_at) SendProbe(&read, now);
      waiting.push_back(std::move(read));
      continue;
    }
    const Error error{ErrorCode::kUnavailable,
                      "no quorum confirmed the newest version in time", ""};
    m_output.answers.push_back(
        {read.request_id,
         {OutcomeKind::kUnknown, m_state.document().version, error}});
  }
  m_pending_reads = std::move(waiting);
}

}  // namespace sardinelead
