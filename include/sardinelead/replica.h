#ifndef SARDINELEAD_REPLICA_H_
#define SARDINELEAD_REPLICA_H_

// A replica of the configuration service, implemented as a replicated state
// machine.
//
// The replicas decide the entries of a log one index at a time with leaderless
// Classic Paxos: any voting replica may propose at any time. A decided value is
// a list of commands (patches, changes of the replica set). Every replica
// applies the commands in log order to the same initial state, so each patch id
// has a single, permanent outcome.
//
// The class performs no network I/O and reads no clock. The owner passes in
// submissions, messages and ticks, sends the returned messages, and calls
// Sync() whenever NeedsSync() is true. Votes and answers that depend on
// unsynced journal records are returned by Sync() only. One Sync() call covers
// all calls made before it. Not thread-safe.
//
//   ReplicaOutput out = replica.OnMessage(from, body, now);
//   Send(out);
//   if (replica.NeedsSync()) Send(replica.Sync(now));
//
// Latency of a patch: one sync on a quorum if the same replica also proposed
// the previous value, two syncs if another replica did.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/config.h"
#include "sardinelead/error.h"
#include "sardinelead/evacuation.h"
#include "sardinelead/journal.h"
#include "sardinelead/message.h"
#include "sardinelead/types.h"
#include "sardinelead/warm_up_grant.h"

namespace sardinelead {

struct ReplicaSettings {
  NodeId self;
  // The control VMs; may include this one. A replica without stored state asks
  // them for the log, and they are the initial members of a new cluster.
  std::vector<NodeId> contacts;
  // Creates a new cluster if the data folder holds none. Set it once, on a
  // single replica; all others join that cluster.
  bool bootstrap = false;
  // Whether a proposer reuses its prepare phase for the following indexes.
  bool reuse_prepare_phase = true;
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  Duration retransmit_interval = std::chrono::milliseconds(100);
  // An acceptor proposes the value that it accepted if the value is still
  // undecided after this delay, for example because the proposer crashed.
  // Random jitter extends the delay to at most twice this value.
  Duration recovery_delay = std::chrono::milliseconds(200);
  Duration back_off_base = std::chrono::milliseconds(10);
  Duration back_off_cap = std::chrono::milliseconds(320);
  // The journal is compacted once it exceeds this many records or bytes.
  std::uint64_t compact_after_records = 8192;
  std::uint64_t compact_after_bytes = 4 << 20;
  // Whether the members follow the replicas that run, without an operator's
  // change. A replica that is not a member may then join. It replaces a member
  // from which nothing has been received for `unresponsive_timeout`, if there
  // is one. Members that are unresponsive or leave are removed while there are
  // more than `min_members`.
  bool allow_automatic_join = false;
  Duration unresponsive_timeout = std::chrono::seconds(8);
  // At this many members, a further replica follows the log without voting
  // until it can replace an unresponsive member.
  std::size_t max_members = 15;
  // Messages between replicas carry a larger value by its digest; the receiver
  // then fetches it in parts.
  std::size_t max_inline_value_bytes = 16 << 10;
  // Patches and documents with a larger encoding are refused with kLimit.
  std::size_t max_command_bytes = 5 << 20;
  // Number of members that must have joined before documents and evacuation
  // orders are accepted.
  std::size_t min_members = 1;
};

struct ReplicaHooks {
  std::function<std::uint64_t()> random;
};

// A change of the replica set: removes `remove` and adds `add`, either of which
// may be empty. Takes effect at the next log index.
struct ReplicaChange {
  std::string id;  // Idempotency key, like a patch id: reused on a resend.
  NodeId remove;
  NodeId add;
  // The change is refused if `remove` votes from another store; 0 means any.
  std::uint64_t remove_store = 0;
  // The change is refused if fewer members than this would remain.
  std::size_t min_remaining = 0;
};

// A complete configuration as an opaque byte string, independent of the
// configuration that patches modify. The highest submitted version wins; an
// equal or lower version is accepted but has no effect.
struct Document {
  ConfigVersion version;
  std::shared_ptr<const Bytes> content = std::make_shared<const Bytes>();
};

enum class OutcomeKind {
  kAccepted,
  kRefused,  // Not applied, and never will be under this id.
  kUnknown,  // May or may not be applied; resend with the same id.
};
const char* Name(OutcomeKind kind);

struct Outcome {
  OutcomeKind kind = OutcomeKind::kUnknown;
  // The version that the patch created, or at which it was refused.
  ConfigVersion version;
  Error error;  // Set unless kAccepted.
};

struct Answer {
  std::uint64_t request_id = 0;
  Outcome outcome;
};

struct ReplicaOutput {
  Outbox messages;
  std::vector<Answer> answers;

  void Append(ReplicaOutput other);
};

// An accepted patch.
struct PatchRecord {
  ConfigVersion version;
  std::string operator_name;
  Patch patch;
};

enum class ReplicaRole {
  kStarting,  // Has not received heartbeats from a quorum since it started.
  kVoting,
  kJoining,  // Has no state, or the log does not list its store yet.
  kRemoved,  // A membership change removed it.
  kFaulty,   // Its disk failed: serves reads, does not vote until restarted.
};
const char* Name(ReplicaRole role);

struct ReplicaStatus {
  ReplicaRole role = ReplicaRole::kStarting;
  std::uint64_t cluster = 0;
  std::uint64_t log_index = 0;
  std::uint64_t store = 0;  // Identifies this replica's data folder.
  // The members, and whether each has joined with a store of its own.
  std::map<NodeId, bool> members;
  // The store that each member votes from; 0 until it has joined.
  std::map<NodeId, std::uint64_t> stores;
  // How long this replica may have been missing decided values: the time since
  // it last received messages from a quorum.
  Duration staleness{};
};

class Replica {
 public:
  // Does not take ownership of `journal`, which must outlive the replica.
  Replica(ReplicaSettings settings, Journal* journal, ReplicaHooks hooks);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Loads the data folder. Must be called once, before any other method. If the
  // folder is corrupt, its contents are discarded and the replica starts over
  // with a new store id. Errors: kNotAllowed if the folder belongs to another
  // replica, kIo.
  Result<ReplicaOutput> Start(TimePoint now);

  // Each request gets exactly one answer: immediately, from a later call, or
  // `kUnknown` at its deadline.
  ReplicaOutput Submit(std::uint64_t request_id,
                       const std::string& operator_name, const Patch& patch,
                       TimePoint deadline, TimePoint now);
  ReplicaOutput Submit(std::uint64_t request_id,
                       const std::string& operator_name,
                       const ReplicaChange& change, TimePoint deadline,
                       TimePoint now);

  // The outcome of an accepted document carries the document's own version.
  ReplicaOutput Submit(std::uint64_t request_id, const Document& document,
                       TimePoint deadline, TimePoint now);
  // Proposes grants for targets that are warming up. Unanswered; the decided
  // ones are in warm_up_grants(). Dropped at the deadline.
  ReplicaOutput Submit(const std::vector<WarmUpGrant>& grants,
                       TimePoint deadline, TimePoint now);
  // Refused with kVersionConflict if the order was overtaken by a later one;
  // see EvacuationOrder. Orders that are decided in one batch share a log
  // index.
  ReplicaOutput Submit(std::uint64_t request_id, const EvacuationOrder& order,
                       TimePoint deadline, TimePoint now);
  // Requests a linearizable read. Answered `kAccepted` once this replica's
  // state includes every change that was answered before the call, so that
  // document() is then not stale; `kUnknown` if no quorum confirms this by the
  // deadline.
  ReplicaOutput ConfirmRead(std::uint64_t request_id, TimePoint deadline,
                            TimePoint now);
  // Removes this replica from the members before a planned stop, so that the
  // quorum of the others does not count it. Refused if fewer than `min_members`
  // would remain or if this replica does not vote. Afterwards it does not join
  // again until it is restarted.
  ReplicaOutput Leave(std::uint64_t request_id, TimePoint deadline,
                      TimePoint now);
  // Replaces `ReplicaSettings::contacts`.
  void SetContacts(const std::vector<NodeId>& contacts);

  // `from` must be authenticated by the transport.
  ReplicaOutput OnMessage(NodeId from, ByteView body, TimePoint now);
  // Must be called about every 10 ms.
  ReplicaOutput OnTick(TimePoint now);

  bool NeedsSync() const;
  ReplicaOutput Sync(TimePoint now);

  // Local reads, which may be stale; see ReplicaStatus::staleness.
  ConfigurationPtr configuration() const;
  const Document& document() const;
  const WarmUpGrants& warm_up_grants() const;
  const EvacuationTable& evacuations() const;
  ReplicaStatus Status(TimePoint now) const;
  // The outcome decided for an operator's patch id, if still retained.
  std::optional<Outcome> FindOutcome(const std::string& operator_name,
                                     const std::string& id) const;
  // The most recently accepted patches, oldest first; limited to 1,000 patches
  // and 4 MB.
  std::vector<PatchRecord> History() const;
  // The patches that lead from `version` to the current version; nullopt if
  // some of them are no longer retained.
  std::optional<std::vector<Patch>> PatchesSince(ConfigVersion version) const;

 private:
  class Core;
  std::unique_ptr<Core> m_core;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_REPLICA_H_
