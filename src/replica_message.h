#ifndef SARDINELEAD_SRC_REPLICA_MESSAGE_H_
#define SARDINELEAD_SRC_REPLICA_MESSAGE_H_

// Encoding of the messages between replicas and of their journal records.

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "sardinelead/types.h"
#include "value_transfer.h"

namespace sardinelead {

// A proposal number. The store id distinguishes the ballots of a replica that
// lost its stored state from the ballots that it used before.
struct Ballot {
  std::uint64_t counter = 0;
  NodeId replica;
  std::uint64_t store = 0;

  friend bool operator==(const Ballot& a, const Ballot& b) {
    return a.counter == b.counter && a.replica == b.replica &&
           a.store == b.store;
  }
  friend bool operator!=(const Ballot& a, const Ballot& b) { return !(a == b); }
  friend bool operator<(const Ballot& a, const Ballot& b) {
    return std::tie(a.counter, a.replica, a.store) <
           std::tie(b.counter, b.replica, b.store);
  }
};

enum class AgreementType : std::uint8_t {
  // Phase 1a: asks for a promise not to accept ballots below `ballot`.
  kPrepare = 0,
  // Phase 1b: promises `ballot`. `acceptor_ballot` and `value` are the proposal
  // that the acceptor last accepted.
  kPromise = 1,
  kAccept = 2,    // Phase 2a: asks to accept `value` at `ballot`.
  kAccepted = 3,  // Phase 2b: the proposal at `ballot` was accepted.
  kReject = 4,    // `ballot` is below the promised `acceptor_ballot`.
  kDecided = 5,   // The value accepted at `ballot` is decided.
  // The sender has applied `index`. Also reports the highest votes of the
  // receiver that the sender has seen.
  kHeartbeat = 6,
  kHello = 7,        // Requests a heartbeat.
  kFetch = 8,        // Requests the decided values from `index` on.
  kValues = 9,       // The decided values from `index` on.
  kSnapshot = 10,    // `value` is a complete encoded state.
  kJoin = 11,        // Requests that votes from the sender's store count.
  kProbe = 12,       // Requests a kProbeReply; `ballot.counter` is its id.
  kProbeReply = 13,  // `index` is the highest index that may be decided.
  kFetchValue = 14,  // Requests the parts `wanted` of the value `digest`.
  kValuePart = 15,   // `value` is part `part` of the value `digest`.
};
constexpr AgreementType kLastAgreementType = AgreementType::kValuePart;

struct AgreementMessage {
  AgreementType type = AgreementType::kHeartbeat;
  std::uint64_t cluster = 0;
  std::uint64_t store = 0;  // The sender's store id.
  std::uint64_t index = 0;
  Ballot ballot;
  // The ballot that an acceptor accepted (kPromise, kHeartbeat) or promised
  // (kReject).
  Ballot acceptor_ballot;
  Bytes value;
  std::vector<Bytes> values;
  // Identifies a value that is too large for the message: in place of `value`,
  // or, for kValues, the one that follows `values`. Replicas of a version
  // without this field ignore messages that have it.
  std::optional<ValueDigest> digest;
  std::uint32_t part = 0;    // kFetchValue: the first part; see PartRequest.
  std::uint64_t wanted = 0;  // kFetchValue.
  // kValues: `seen_index` is the sender's last decided index.
  // kHeartbeat: the receiver's store and the highest index at which the sender
  // has seen a promise or vote from it. `ballot` and `acceptor_ballot` are then
  // the highest promise and the highest accepted ballot seen.
  std::uint64_t seen_store = 0;
  std::uint64_t seen_index = 0;

  Bytes Encode() const;
  static std::optional<AgreementMessage> Decode(ByteView bytes);
};

enum class JournalRecordType : std::uint8_t {
  kPromised = 0,
  kAccepted = 1,
  kDecided = 2,          // The record contains the decided value.
  kDecidedAccepted = 3,  // The last accepted value was decided.
};
constexpr JournalRecordType kLastJournalRecordType =
    JournalRecordType::kDecidedAccepted;

struct JournalRecord {
  JournalRecordType type = JournalRecordType::kPromised;
  std::uint64_t index = 0;
  Ballot ballot;
  Bytes value;

  Bytes Encode() const;
  static std::optional<JournalRecord> Decode(ByteView bytes);
};

// The Paxos acceptor state: the votes that a replica must not contradict.
struct AcceptorState {
  Ballot promised;
  Ballot accepted;  // Its counter is 0 if nothing was accepted at the index.
  Bytes value;
};

// A journal snapshot: the applied state and the votes at the next index.
struct StoredState {
  Bytes state;
  AcceptorState acceptor;

  Bytes Encode() const;
  static std::optional<StoredState> Decode(ByteView bytes);
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_REPLICA_MESSAGE_H_
