#include "flow_shards.h"

namespace sardinelead {

FlowShards::FlowShards(std::uint64_t max_records, std::uint64_t max_opening)
    : m_budget(max_records, max_opening) {
  m_shards.reserve(kPartitionCount);
  for (PartitionId p = 0; p < kPartitionCount; ++p) {
    m_shards.push_back(std::make_unique<FlowShard>(&m_budget, &m_hints[p]));
  }
}

std::vector<PartitionId> FlowShards::IncompletePartitions(const View& view) {
  std::vector<PartitionId> incomplete;
  for (PartitionId p = 0; p < kPartitionCount; ++p) {
    if (view.ChainOf(p).RankOf(view.self()) < 0) continue;
    FlowShard* shard = Of(p);
    const std::lock_guard<std::mutex> lock(shard->mutex);
    shard->ClearIfTenureChanged(view, p);
    if (!shard->complete) incomplete.push_back(p);
  }
  return incomplete;
}

}  // namespace sardinelead
