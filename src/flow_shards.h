#ifndef SARDINELEAD_SRC_FLOW_SHARDS_H_
#define SARDINELEAD_SRC_FLOW_SHARDS_H_

// The flow records of a node: one shard per partition, each with its own mutex.

#include <memory>
#include <mutex>
#include <vector>

#include "flow_table.h"
#include "sardinelead/view.h"

namespace sardinelead {

struct alignas(64) FlowShard {
  FlowShard(FlowBudget* budget, FlowTableHint* hint) : table(budget, hint) {}

  // Discards the records of an older tenure. Call it first whenever the mutex
  // is taken, since the view may change between any two packets.
  void ClearIfTenureChanged(const View& view, PartitionId partition) {
    const std::uint32_t current_tenure = view.TenureOf(partition);
    if (current_tenure <= tenure) return;
    tenure = current_tenure;
    complete = false;
    table.Clear();
  }

  std::mutex mutex;
  FlowTable table;
  std::uint32_t tenure = 0;
  // Whether the table has the record of every live flow of the partition.
  bool complete = true;
};

class FlowShards {
 public:
  FlowShards(std::uint64_t max_records, std::uint64_t max_opening);

  FlowShard* Of(PartitionId partition) { return m_shards[partition].get(); }
  // Prefetches the flow's shard and record. Takes no lock.
  void Prefetch(std::uint64_t flow_hash) const {
    const PartitionId partition = PartitionOf(flow_hash);
    __builtin_prefetch(m_shards[partition].get(), 1);
    m_hints[partition].Prefetch(static_cast<std::uint32_t>(flow_hash));
  }
  const FlowBudget& budget() const { return m_budget; }  // NOLINT
  // Returns the partitions whose chain includes the view's node and whose
  // records are not all here.
  std::vector<PartitionId> IncompletePartitions(const View& view);

 private:
  FlowBudget m_budget;
  // Contiguous, so that the hints stay in the L1 cache.
  std::vector<FlowTableHint> m_hints =
      std::vector<FlowTableHint>(kPartitionCount);
  std::vector<std::unique_ptr<FlowShard>> m_shards;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FLOW_SHARDS_H_
