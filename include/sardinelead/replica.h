#ifndef SARDINELEAD_REPLICA_H_
#define SARDINELEAD_REPLICA_H_

// One replica of the configuration service.
//
// The replicas agree on a sequence of log indexes, one after the other, each
// decided by Classic Paxos without a leader: every replica that may vote may
// propose at once. A decided value is a list of commands (patches, changes of
// the replica set), which every replica applies in the same order to the same
// state, so that every patch id has one outcome, for good.
//
// The class is sans-I/O. The owner feeds submissions, messages and ticks, sends
// the messages that come back, and calls Sync() whenever NeedsSync() is true:
// votes and answers that depend on unsynced records come out of Sync() only.
// One Sync() may serve any number of calls before it. Not for several threads.
//
//   ReplicaOutput out = replica.OnMessage(from, body, now);
//   Send(out);
//   if (replica.NeedsSync()) Send(replica.Sync(now));
//
// Cost of a patch: one sync on a quorum while the same replica goes on
// proposing, two after another replica proposed.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/config.h"
#include "sardinelead/error.h"
#include "sardinelead/journal.h"
#include "sardinelead/message.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct ReplicaSettings {
  NodeId self;
  // The control VMs, with or without this one: whom a replica without memory
  // asks, and the first members of a new cluster.
  std::vector<NodeId> contacts;
  // Begins a new cluster where the folder holds none. To be given once, at one
  // replica; all others join it.
  bool bootstrap = false;
  // Whether a proposer goes on to the next index without a new prepare phase.
  bool keep_promise = true;
  Duration heartbeat_interval = std::chrono::milliseconds(100);
  Duration retransmit_interval = std::chrono::milliseconds(100);
  // After this long an accepted value whose proposer fell silent is finished
  // by whoever accepted it. Jittered up to twice as long.
  Duration help_delay = std::chrono::milliseconds(200);
  Duration back_off_base = std::chrono::milliseconds(10);
  Duration back_off_cap = std::chrono::milliseconds(320);
  // Records and bytes in the journal before it is compacted.
  std::uint64_t compact_after = 8192;
  std::uint64_t compact_after_bytes = 4 << 20;
  // Whether a replica that is no member joins without an operator's change. It
  // takes the place of a member that was silent for `replace_after`, if any.
  bool open_membership = false;
  Duration replace_after = std::chrono::seconds(8);
  // Beyond so many members a replica that would join follows without a vote.
  std::size_t max_members = 15;
  // Members that must have joined before documents are accepted.
  std::size_t min_members = 1;
};

struct ReplicaHooks {
  std::function<std::uint64_t()> random;
};

// Replaces one replica: removes `remove` and adds `add`, either of which may
// be empty. Takes effect at the next index.
struct ReplicaChange {
  std::string id;  // As a patch's id: the same on a resend.
  NodeId remove;
  NodeId add;
};

// A whole configuration in the form of the one who wrote it, beside the one
// that patches change. The highest version that was submitted stands; a lower
// one, or the same again, is accepted and changes nothing.
struct Document {
  ConfigVersion version;
  std::shared_ptr<const Bytes> content = std::make_shared<const Bytes>();
};

enum class OutcomeKind {
  kAccepted,
  kRefused,  // Nothing ran, and nothing ever will for this id.
  kUnknown,  // To be resent with the same id.
};
const char* Name(OutcomeKind kind);

struct Outcome {
  OutcomeKind kind = OutcomeKind::kUnknown;
  ConfigVersion version;  // That the patch made, or that it was refused at.
  Error error;            // Unless kAccepted.
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
  kStarting,  // Has not heard of enough others since its start.
  kVoting,
  kJoining,  // Has no memory, or the log does not name it yet.
  kRemoved,  // The log removed it.
  kFaulty,   // Its disk failed; it reads but does not vote until restarted.
};
const char* Name(ReplicaRole role);

struct ReplicaStatus {
  ReplicaRole role = ReplicaRole::kStarting;
  std::uint64_t cluster = 0;
  std::uint64_t log_index = 0;
  // The members, and whether each has joined with a memory of its own.
  std::map<NodeId, bool> members;
  // Since when this replica may have missed news: the time since it last heard
  // of a quorum.
  Duration staleness{};
};

class Replica {
 public:
  // Keeps `journal`, which must outlive it.
  Replica(ReplicaSettings settings, Journal* journal, ReplicaHooks hooks);
  ~Replica();
  Replica(const Replica&) = delete;
  Replica& operator=(const Replica&) = delete;

  // Reads the folder. Must be called once, before everything else. A folder
  // that fails its checksums is begun anew under a new store id. Errors:
  // kNotAllowed for another replica's folder, kIo.
  Result<ReplicaOutput> Start(TimePoint now);

  // Each request gets one answer: at once, from a later call, or `kUnknown` at
  // its deadline.
  ReplicaOutput Submit(std::uint64_t request_id,
                       const std::string& operator_name, const Patch& patch,
                       TimePoint deadline, TimePoint now);
  ReplicaOutput Submit(std::uint64_t request_id,
                       const std::string& operator_name,
                       const ReplicaChange& change, TimePoint deadline,
                       TimePoint now);

  // Accepted documents are answered with the document's own version.
  ReplicaOutput Submit(std::uint64_t request_id, const Document& document,
                       TimePoint deadline, TimePoint now);
  // Answered `kAccepted` once this replica's state is at least as new as every
  // change that was answered before the call, so that a read of document() then
  // cannot be stale; `kUnknown` where no quorum confirms that in time.
  ReplicaOutput ConfirmRead(std::uint64_t request_id, TimePoint deadline,
                            TimePoint now);
  // Replaces the contacts of the settings.
  void SetContacts(const std::vector<NodeId>& contacts);

  // `from` is the sender that the transport authenticated.
  ReplicaOutput OnMessage(NodeId from, ByteView body, TimePoint now);
  // To be called every 10 ms or so.
  ReplicaOutput OnTick(TimePoint now);

  bool NeedsSync() const;
  ReplicaOutput Sync(TimePoint now);

  // Reads of this replica's state, which may be stale: see ReplicaStatus.
  ConfigurationPtr configuration() const;
  const Document& document() const;
  ReplicaStatus Status(TimePoint now) const;
  // The outcome decided for an operator's patch id, where it is remembered.
  std::optional<Outcome> FindOutcome(const std::string& operator_name,
                                     const std::string& id) const;
  // The latest accepted patches, oldest first: up to 1,000 of them, and 4 MB.
  std::vector<PatchRecord> History() const;
  // The patches that lead from `version` to the current one; empty where some
  // of them are no longer kept.
  std::optional<std::vector<Patch>> PatchesSince(ConfigVersion version) const;

 private:
  class Core;
  std::unique_ptr<Core> m_core;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_REPLICA_H_
