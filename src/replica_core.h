#ifndef SARDINELEAD_SRC_REPLICA_CORE_H_
#define SARDINELEAD_SRC_REPLICA_CORE_H_

// The implementation of a replica. The Paxos roles share their state and are
// therefore a single class, which is split over several source files:
//
//   replica_core.cc      startup, journal, message dispatch, status
//   replica_acceptor.cc  acceptor: promises and votes
//   replica_proposer.cc  proposer: proposals, submitted commands
//   replica_learner.cc   learner: decided values, catch-up
//   replica_members.cc   joining, leaving, removal of unresponsive members
//   replica_reads.cc     linearizable reads
//   replica_values.cc    values that are too large for a message

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "register_state.h"
#include "replica_message.h"
#include "sardinelead/replica.h"

namespace sardinelead {

class Replica::Core {
 public:
  Core(ReplicaSettings settings, Journal* journal, ReplicaHooks hooks);

  Result<ReplicaOutput> Start(TimePoint now);
  void Submit(std::uint64_t request_id, Command command, TimePoint deadline,
              TimePoint now);
  std::string DrawId() { return std::to_string(m_hooks.random()); }
  void ConfirmRead(std::uint64_t request_id, TimePoint deadline, TimePoint now);
  void Leave(std::uint64_t request_id, TimePoint deadline, TimePoint now);
  void SetContacts(const std::vector<NodeId>& contacts) {
    m_settings.contacts = contacts;
  }
  void OnMessage(NodeId from, ByteView body, TimePoint now);
  void OnTick(TimePoint now);
  void Sync(TimePoint now);
  bool NeedsSync() const { return m_needs_sync; }
  ReplicaOutput TakeOutput();

  ReplicaStatus Status(TimePoint now) const;
  const RegisterState& state() const { return m_state; }  // NOLINT

 private:
  enum class Phase { kIdle, kPreparing, kAccepting };
  // A member and its store id.
  using Member = std::pair<const NodeId, std::uint64_t>;

  struct PendingCommand {
    std::uint64_t request_id = 0;  // 0 for a command issued by a replica.
    Command command;
    TimePoint deadline;
  };

  // A linearizable read that awaits confirmation by a quorum.
  struct PendingRead {
    std::uint64_t request_id = 0;
    std::uint64_t probe_id = 0;  // Matches replies to the current probe.
    std::set<NodeId> confirmed_by;
    // The read is answered after the value at this index has been applied.
    std::uint64_t needed_index = 0;
    TimePoint deadline;
    TimePoint retry_probe_at;
  };

  // A decided value, kept so that lagging replicas can fetch it.
  struct RecentValue {
    std::uint64_t index = 0;
    Bytes value;
  };

  // A message whose value is being fetched.
  struct WaitingMessage {
    NodeId from;
    AgreementMessage message;
  };

  // The highest promise and vote received from a peer. Reported back to it in
  // heartbeats, so that it detects when its disk lost them.
  struct PeerVotes {
    std::uint64_t store = 0;
    std::uint64_t index = 0;
    Ballot promised;
    Ballot accepted;
  };

  // replica_core.cc
  VoidResult Load(const StoreIdentity& identity);
  VoidResult Replay(const std::vector<Bytes>& records);
  VoidResult Bootstrap();
  VoidResult ResetStore(RegisterState state);
  VoidResult Compact();
  void AppendRecord(JournalRecordType type, const Ballot& ballot,
                    const Bytes& value);
  void MarkFaulty();
  AgreementMessage MakeMessage(AgreementType type) const;
  void Send(NodeId to, const AgreementMessage& message);
  void SendAfterSync(NodeId to, AgreementMessage message, TimePoint now);
  void Broadcast(const AgreementMessage& message);
  void Handle(NodeId from, const AgreementMessage& message, TimePoint now);
  bool IsCompactionDue() const;
  bool MatchesCluster(const AgreementMessage& message) const;
  bool IsPermitted(NodeId from, const AgreementMessage& message) const;
  ReplicaRole Role() const;
  // See ReplicaStatus::staleness.
  Duration Staleness(TimePoint now) const;
  bool CanVote() const { return Role() == ReplicaRole::kVoting; }
  std::set<NodeId> Peers() const;
  Duration Jittered(Duration base);

  // replica_acceptor.cc
  bool CanVoteOn(NodeId from, const AgreementMessage& message, TimePoint now);
  void HandlePrepare(NodeId from, const AgreementMessage& message,
                     TimePoint now);
  void HandleAccept(NodeId from, const AgreementMessage& message,
                    TimePoint now);
  void Reject(NodeId from, const AgreementMessage& message);
  void YieldTo(NodeId from, const Ballot& ballot, TimePoint now);

  // replica_proposer.cc
  void MaybePropose(TimePoint now);
  void BeginPrepare(TimePoint now);
  void BeginAccept(Bytes value, TimePoint now);
  Bytes NextBatch() const;
  void HandlePromise(NodeId from, const AgreementMessage& message,
                     TimePoint now);
  void HandleAccepted(NodeId from, const AgreementMessage& message,
                      TimePoint now);
  void HandleReject(NodeId from, const AgreementMessage& message,
                    TimePoint now);
  bool IsVoteForProposal(NodeId from, const AgreementMessage& message) const;
  PeerVotes* RecordPeerPromise(NodeId from, const AgreementMessage& message);
  void RecordPeerVote(NodeId from, const AgreementMessage& message);
  void AbandonProposal();
  void BackOff(TimePoint now);
  void Retransmit(TimePoint now);
  void ExpirePending(TimePoint now);

  // replica_learner.cc
  void Decide(const Ballot& ballot, Bytes value, TimePoint now);
  void AnswerPending(
      const std::vector<std::pair<std::string, Outcome>>& outcomes);
  void HandleDecided(NodeId from, const AgreementMessage& message,
                     TimePoint now);
  void HandleHeartbeat(NodeId from, const AgreementMessage& message,
                       TimePoint now);
  void HandleFetch(NodeId from, const AgreementMessage& message);
  void HandleValues(NodeId from, const AgreementMessage& message,
                    TimePoint now);
  void HandleSnapshot(NodeId from, const AgreementMessage& message,
                      TimePoint now);
  void SendHeartbeat(NodeId to);
  void Fetch(NodeId from, TimePoint now);

  // replica_members.cc
  void HandleJoin(NodeId from, const AgreementMessage& message, TimePoint now);
  void RequestMembership(TimePoint now);
  void RequestMembershipFrom(NodeId peer);
  bool WasRemoved() const;
  void UpdateObservation(TimePoint now);
  void ObserveNewMembers(const std::map<NodeId, std::uint64_t>& before,
                         TimePoint now);
  NodeId FindUnresponsiveMember(TimePoint now) const;
  void RemoveUnresponsiveMember(TimePoint now);
  void ProposeRemoval(const Member& member, std::uint64_t request_id,
                      TimePoint deadline, TimePoint now);

  // replica_values.cc
  void PutValue(const Bytes& value, AgreementMessage* message);
  bool TakeValue(NodeId from, AgreementMessage* message, TimePoint now);
  void HandleFetchValue(NodeId from, const AgreementMessage& message);
  void HandleValuePart(const AgreementMessage& message, TimePoint now);
  void SendPartRequests(TimePoint now);
  bool NeedsValue(NodeId from, const AgreementMessage& message) const;
  void AwaitValue(NodeId from, const AgreementMessage& message);
  bool IsReceivingProposal(TimePoint now) const;
  bool IsCatchingUp() const;

  // replica_reads.cc
  void StartProbe(PendingRead* read, TimePoint now);
  void SendProbe(PendingRead* read, TimePoint now);
  void RestartReads(TimePoint now);
  void HandleProbe(NodeId from, const AgreementMessage& message);
  void HandleProbeReply(NodeId from, const AgreementMessage& message);
  std::uint64_t HighestPossiblyDecidedIndex() const;
  void AnswerReads();
  void RetryOrExpireReads(TimePoint now);

  ReplicaSettings m_settings;
  Journal* const m_journal;
  const ReplicaHooks m_hooks;

  std::uint64_t m_cluster = 0;
  std::uint64_t m_store = 0;
  RegisterState m_state;
  AcceptorState m_acceptor;  // Votes at index m_state.index() + 1.
  bool m_is_faulty = false;
  std::deque<RecentValue> m_recent_values;
  std::size_t m_recent_bytes = 0;

  // The current proposal.
  Phase m_phase = Phase::kIdle;
  Ballot m_ballot;
  Bytes m_value;
  std::set<NodeId> m_voters;
  Ballot m_adopted_ballot;
  Bytes m_adopted_value;
  // Whether a quorum has promised m_ballot for the next index and all later
  // ones.
  bool m_is_prepared = false;
  std::uint64_t m_highest_counter = 0;
  std::uint32_t m_back_off_attempts = 0;
  TimePoint m_retransmit_at;
  TimePoint m_back_off_until;
  // No proposal is started before this time, to let another replica's proposal
  // complete. Cleared when a value is decided.
  TimePoint m_yield_until;
  // If this replica has accepted a value that is still undecided at this time,
  // it starts a proposal even without a pending command.
  TimePoint m_recovery_at;
  Ballot m_yielded_to;
  std::deque<PendingCommand> m_pending_commands;
  std::deque<PendingRead> m_pending_reads;
  std::uint64_t m_last_probe_id = 0;

  ValueTransfer m_values;
  std::deque<WaitingMessage> m_awaiting_values;

  std::map<NodeId, PeerVotes> m_peer_votes;
  std::map<NodeId, TimePoint> m_last_heard;
  // Peers whose heartbeat, received since startup, reported which of this
  // replica's votes they have seen.
  std::set<NodeId> m_peers_heard_from;
  // Senders of heartbeats while this replica had no state. Its contacts may be
  // outdated, so that none of them is a member.
  std::set<NodeId> m_discovered_peers;
  TimePoint m_started_at;
  TimePoint m_heartbeat_at;
  TimePoint m_fetch_at;
  TimePoint m_join_at;
  // When a removal is next considered, and whether a member was unresponsive
  // the last time.
  TimePoint m_removal_at;
  bool m_is_removal_due = false;
  // Since when this replica could observe whether members are silent, and the
  // last time it did.
  TimePoint m_observed_since;
  TimePoint m_observed_at;
  bool m_is_leaving = false;

  bool m_needs_sync = false;
  ReplicaOutput m_output;
  // Messages to send once the journal records that precede them are synced.
  std::vector<std::pair<NodeId, AgreementMessage>> m_messages_awaiting_sync;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_REPLICA_CORE_H_
