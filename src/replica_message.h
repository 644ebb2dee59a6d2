#ifndef SARDINELEAD_SRC_REPLICA_MESSAGE_H_
#define SARDINELEAD_SRC_REPLICA_MESSAGE_H_

// What replicas send each other, and what they keep in their journals.

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

// The number of a proposal. The store id keeps ballots of a replica that lost
// its memory apart from its earlier ones.
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
  kPrepare = 0,    // Proposer: promise not to accept below `ballot`.
  kPromise = 1,    // Promised; `other` and `value` are what was accepted.
  kAccept = 2,     // Proposer: accept `value` at `ballot`.
  kAccepted = 3,   // Accepted.
  kReject = 4,     // `ballot` is below the promise `other`.
  kDecided = 5,    // What was accepted at `ballot` is decided.
  kHeartbeat = 6,  // Alive at `index`; what was seen of the receiver's votes.
  kHello = 7,      // Asks for a heartbeat.
  kFetch = 8,      // Asks for decided values from `index` on.
  kValues = 9,     // Decided values from `index` on.
  kSnapshot = 10,  // `value` is a whole state.
  kJoin = 11,      // The sender asks to vote from its store.
  kProbe = 12,     // Asks for kProbed; `ballot.counter` numbers the question.
  kProbed = 13,    // `index` is the highest that may be decided.
};
constexpr AgreementType kLastAgreementType = AgreementType::kProbed;

struct AgreementMessage {
  AgreementType type = AgreementType::kHeartbeat;
  std::uint64_t cluster = 0;
  std::uint64_t store = 0;  // The sender's.
  std::uint64_t index = 0;
  Ballot ballot;
  Ballot other;
  Bytes value;
  std::vector<Bytes> values;
  // The highest votes that the sender saw of the receiver, for kHeartbeat.
  std::uint64_t seen_store = 0;
  std::uint64_t seen_index = 0;

  Bytes Encode() const;
  static std::optional<AgreementMessage> Decode(ByteView bytes);
};

enum class JournalRecordType : std::uint8_t {
  kPromised = 0,
  kAccepted = 1,
  kDecided = 2,          // With its value.
  kDecidedAccepted = 3,  // The value accepted last.
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

// The votes that a replica is bound to.
struct AcceptorState {
  Ballot promised;
  Ballot accepted;  // Counter 0 where nothing was accepted at the index.
  Bytes value;
};

// A snapshot in the journal: the state and the votes at its next index.
struct StoredState {
  Bytes state;
  AcceptorState acceptor;

  Bytes Encode() const;
  static std::optional<StoredState> Decode(ByteView bytes);
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_REPLICA_MESSAGE_H_
