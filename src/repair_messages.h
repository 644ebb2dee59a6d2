#ifndef SARDINELEAD_SRC_REPAIR_MESSAGES_H_
#define SARDINELEAD_SRC_REPAIR_MESSAGES_H_

// The two messages of FlowRepair. A record takes 14 bytes for an IPv4 caller
// and 26 bytes for an IPv6 caller; each target is listed once per batch.

#include <optional>
#include <vector>

#include "flow_table.h"
#include "sardinelead/types.h"
#include "sardinelead/view.h"

namespace sardinelead {

// The maximum number of partitions in a request.
constexpr std::size_t kMaxPartitionsPerRequest = 32;
// One past the largest hash.
constexpr std::uint64_t kRepairHashEnd = std::uint64_t{1} << 32;

struct RepairRequest {
  std::uint32_t view = 0;    // View::tag(), equal on both sides.
  std::uint32_t serial = 0;  // View::serial() of the requester, echoed.
  std::vector<PartitionId> partitions;
  std::uint64_t from_hash = 0;  // In the first partition; 0 in others.
};

// Records of the requested partitions, in request order, up to the size limit.
struct RepairBatch {
  struct Section {
    PartitionId partition = 0;
    bool is_complete = false;  // Whether the sender holds all its records.
    std::vector<FlowRecord> records;
  };

  std::uint32_t view = 0;
  std::uint32_t serial = 0;
  std::uint64_t from_hash = 0;  // Copied from the request.
  std::vector<Section> sections;
  // The hash at which the last section continues; kRepairHashEnd if it ends.
  std::uint64_t next_hash = kRepairHashEnd;
};

Bytes Encode(const RepairRequest& request);
std::optional<RepairRequest> DecodeRepairRequest(ByteView body);
// Timestamps are encoded as ages relative to `now`.
Bytes Encode(const RepairBatch& batch, TimePoint now);
std::optional<RepairBatch> DecodeRepairBatch(ByteView body, TimePoint now);

// The encoded size of `record`, without its entry in the list of targets.
std::size_t EncodedSize(const FlowRecord& record);
// An upper bound of the size of a batch without records.
constexpr std::size_t kRepairBatchOverhead = 40;
// The maximum size of a section without records.
constexpr std::size_t kRepairSectionSize = 7;
// The maximum size of an entry in the list of targets.
constexpr std::size_t kRepairTargetSize = 9;

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_REPAIR_MESSAGES_H_
