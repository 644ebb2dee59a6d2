#ifndef SARDINELEAD_SRC_FLOW_CORE_H_
#define SARDINELEAD_SRC_FLOW_CORE_H_

// The implementation of FlowDirector. See flow_core.cc for the design.

#include <atomic>
#include <mutex>
#include <unordered_set>
#include <vector>

#include "flow_call.h"
#include "flow_shards.h"
#include "sardinelead/flow_director.h"
#include "silent_flow.h"

namespace sardinelead {

class FlowDirector::Core {
 public:
  Core(FlowDirectorSettings settings, PickTarget pick_target,
       ObserveFlow observe_flow, PickAnotherTarget pick_another);

  void Prefetch(std::uint64_t flow_hash) const { m_shards.Prefetch(flow_hash); }
  FlowOutcome Run(FlowContext* ctx);
  std::vector<FlowReset> Sweep(BlackboardReader* board, TimePoint now);
  FlowCounts Counts() const;
  FlowShards* shards() { return &m_shards; }  // NOLINT

 private:
  FlowOutcome OnUnknownService(const FlowContext& ctx) const;
  FlowOutcome RunOnShard(FlowContext* ctx, FlowShard* shard);
  FlowOutcome OnLockedShard(FlowContext* ctx, FlowShard* shard);
  // Steps in handling one packet; the mutex of its shard is held.
  FlowOutcome OnShard(FlowContext* ctx, FlowShard* shard);
  FlowOutcome OnStore(FlowContext* ctx, FlowTable* table);
  FlowOutcome OnSend(const FlowContext& ctx, FlowTable* table);
  FlowOutcome OnRecordFound(FlowContext* ctx, FlowTable* table);
  FlowOutcome OnPrimary(FlowContext* ctx, FlowTable* table, FlowRecord* record);
  FlowOutcome OnRepeatedOpening(FlowContext* ctx, FlowTable* table,
                                FlowRecord* record);
  FlowOutcome OnCopy(const FlowContext& ctx, FlowRecord* record);
  FlowOutcome OnUnknown(FlowContext* ctx, bool is_complete);
  FlowOutcome OnAnswer(const FlowContext& ctx, FlowRecord* record);
  // Relays to a holder that may know the record's target; this node does not.
  FlowOutcome RelayToOtherHolder(FlowContext ctx);

  // Called without the shard's mutex held.
  tl::expected<TargetId, RefuseReason> PickFor(const FlowContext& ctx) const;
  FlowOutcome Decide(FlowContext* ctx, FlowShard* shard);
  FlowOutcome OnConcurrentDecision(FlowContext* ctx, FlowTable* table,
                                   FlowRecord* record);

  FlowOutcome ForwardAlongChain(const FlowContext& ctx, TargetId target);
  FlowOutcome Forward(const FlowContext& ctx, TargetId target);
  FlowOutcome Reset(const FlowContext& ctx);
  FlowRecord* Insert(const FlowContext& ctx, FlowTable* table, TargetId target,
                     FlowState state);
  bool IsRefreshDue(const FlowContext& ctx, const FlowRecord& record) const;
  // Whether the target `id` is known to be dead or gone, so that its flows are
  // broken. `target` is the snapshot's entry for `id`, or null.
  bool IsTargetLost(const Target* target, TargetId id) const;
  bool TryConsumeReset(TimePoint now);

  // Parts of Sweep().
  struct SweepPass;
  void RecordKnownTargets(const TargetSnapshot& targets);
  void SweepPartition(PartitionId partition, SweepPass* pass);
  bool ShouldRemove(const FlowRecord& record, SweepPass* pass);
  bool IsExpired(const FlowRecord& record, const Service* service,
                 bool is_primary, TimePoint now) const;

  const FlowDirectorSettings m_settings;
  const PickTarget m_pick_target;
  const ObserveFlow m_observe_flow;
  const PickAnotherTarget m_pick_another;
  FlowShards m_shards;
  TargetProgress m_progress;

  std::atomic<std::uint64_t> m_decided{0};
  std::atomic<std::uint64_t> m_stored{0};
  std::atomic<std::uint64_t> m_refused_stores{0};
  std::atomic<std::uint64_t> m_resets{0};
  std::atomic<std::uint64_t> m_silent{0};
  // The number of resets in the second `m_reset_second`, for the rate limit.
  std::atomic<std::int64_t> m_reset_second{0};
  std::atomic<std::uint32_t> m_resets_this_second{0};

  mutable std::mutex m_mutex;
  // Every target that was in a snapshot on this node. Distinguishes targets
  // that have left from those that this node does not know yet.
  std::unordered_set<TargetId> m_known_targets;
  FlowCounts m_last_sweep_counts;  // As of the last full sweep.

  // Used only by Sweep().
  FlowCounts m_current_sweep_counts;  // Counts of the current sweep.
  PartitionId m_next_partition = 0;
  TimePoint m_last_sweep;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FLOW_CORE_H_
