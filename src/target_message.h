#ifndef SARDINELEAD_SRC_TARGET_MESSAGE_H_
#define SARDINELEAD_SRC_TARGET_MESSAGE_H_

// Message bodies of MessageKind::kTargets: CBOR arrays whose first element is
// the message type.

#include <cstdint>
#include <variant>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/health.h"
#include "sardinelead/target_registry.h"
#include "sardinelead/types.h"

namespace sardinelead {

// The latest known heartbeat of a home.
struct HomeHeartbeat {
  NodeId home;
  Incarnation incarnation;
  std::uint32_t counter = 0;
};

// Sent to a few peers at each interval: the latest heartbeats and a hash of the
// table.
struct DigestMessage {
  std::uint64_t table_hash = 0;
  std::vector<HomeHeartbeat> heartbeats;
};

// Answer to a digest whose hash differs from the local one.
struct BucketsMessage {
  std::vector<std::uint32_t> hashes;
};

struct RecordsMessage {
  std::vector<TargetRecord> records;
  // Differing buckets: the receiver answers with its records of these.
  std::vector<std::uint32_t> requested_buckets;
};

struct LoadEntry {
  TargetId target;
  LoadReport report;
  std::uint32_t age_ms = 0;
};
struct LoadsMessage {
  std::vector<LoadEntry> loads;
};

struct OpinionsMessage {
  std::vector<TargetOpinion> opinions;
};

using TargetMessage =
    std::variant<DigestMessage, BucketsMessage, RecordsMessage, LoadsMessage,
                 OpinionsMessage>;

constexpr std::size_t kTableBucketCount = 32;
// Limit on the records in one message.
constexpr std::size_t kMaxRecordsInMessage = 16;
constexpr std::size_t kMaxItemsInMessage = 4096;

Bytes Encode(const TargetMessage& message);
Result<TargetMessage> DecodeTargetMessage(ByteView body);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_TARGET_MESSAGE_H_
