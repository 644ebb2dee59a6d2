#ifndef SARDINELEAD_SRC_VALUE_TRANSFER_H_
#define SARDINELEAD_SRC_VALUE_TRANSFER_H_

// Transfer of large values between replicas.
//
// A message between replicas carries a small value itself and the digest of a
// large one. A replica that lacks the value requests it, in numbered parts that
// each fit into a datagram, from the sender of the message. It has at most
// kMaxPartsInFlight requested parts in flight, so that they fit into the
// receive buffer of its socket, and requests only lost parts again. A transfer
// without progress for `kTransferTimeout` is abandoned.
//
// ValueTransfer keeps the values that were sent by digest or received lately,
// and the transfers in progress. It performs no I/O. Memory: kMaxKeptBytes,
// kMaxTransfers transfers of at most kMaxValueBytes, and the last kept value.

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

// Larger values are not transferred. Bounds the state of a replica.
constexpr std::size_t kMaxValueBytes = 32 << 20;
constexpr std::size_t kValuePartBytes = 1000;
constexpr std::uint32_t kMaxPartsInFlight = 32;

// Identifies a value by its size and a hash of its content. The hash protects
// against errors, not against attacks: replicas trust each other.
struct ValueDigest {
  std::uint64_t size = 0;  // In bytes.
  std::uint64_t hash_high = 0;
  std::uint64_t hash_low = 0;

  friend bool operator==(const ValueDigest& a, const ValueDigest& b) {
    return std::tie(a.size, a.hash_high, a.hash_low) ==
           std::tie(b.size, b.hash_high, b.hash_low);
  }
};
ValueDigest DigestOf(ByteView value);

using SharedBytes = std::shared_ptr<const Bytes>;

// Requests the parts `first + i` of a value for each bit i set in `wanted`.
struct PartRequest {
  NodeId to;
  ValueDigest digest;
  std::uint32_t first = 0;
  std::uint64_t wanted = 0;
};

struct ValuePart {
  std::uint32_t number = 0;
  Bytes bytes;
};

class ValueTransfer {
 public:
  // Keeps a value for peers that request it.
  void Keep(const ValueDigest& digest, SharedBytes value);
  // Returns nullptr if the value is not kept.
  SharedBytes Find(const ValueDigest& digest) const;
  // Returns the requested parts of a kept value; none if it is not kept.
  std::vector<ValuePart> PartsFor(const PartRequest& request) const;

  // Starts to fetch a value from `from`, or continues from there if the present
  // source makes no progress. Returns whether the value is being fetched: not
  // if it is too large or too many others are.
  bool Fetch(const ValueDigest& digest, NodeId from, TimePoint now);
  // Processes a received part. Returns the value once it is complete; it is
  // then kept. A value that does not match its digest is discarded.
  SharedBytes OnPart(const ValueDigest& digest, ValuePart part, TimePoint now);
  // Returns the requests that are due, and abandons transfers without progress.
  // Must be called after each Fetch() and OnPart(), and every 20 ms.
  std::vector<PartRequest> TakeRequests(TimePoint now);
  bool IsFetching(const ValueDigest& digest) const;
  // Whether a part arrived lately.
  bool IsProgressing(const ValueDigest& digest, TimePoint now) const;

 private:
  struct Kept {
    ValueDigest digest;
    SharedBytes value;
  };
  struct Part {
    bool is_received = false;
    TimePoint requested_at;  // Zero if not requested yet.
  };
  struct Transfer {
    ValueDigest digest;
    NodeId from;
    Bytes bytes;
    std::vector<Part> parts;
    std::uint32_t missing = 0;
    std::uint32_t first_missing = 0;
    TimePoint progress_at;
  };

  Transfer* FindTransfer(const ValueDigest& digest);
  static std::optional<PartRequest> NextRequest(Transfer* transfer,
                                                TimePoint now);

  std::deque<Kept> m_kept;  // The least recently kept value first.
  std::size_t m_kept_bytes = 0;
  std::vector<Transfer> m_transfers;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_VALUE_TRANSFER_H_
