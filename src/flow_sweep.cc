// The periodic sweep of FlowDirector: expires flows, counts them and resets
// those whose target is lost.

#include <algorithm>
#include <utility>

#include "flow_core.h"

namespace sardinelead {
namespace {

// Duration of one pass over all records, and so the maximum delay until the
// callers of a lost target are reset.
constexpr Duration kSweepPeriod = std::chrono::seconds(2);
Duration IdleTime(const FlowRecord& record, TimePoint now) {
  return std::chrono::milliseconds(ToMillis(now) - record.seen_ms);
}

FlowKey KeyOf(const FlowRecord& record, const Service& service) {
  FlowKey key;
  key.caller = {record.caller, record.caller_port};
  key.service = service.address;
  key.protocol = service.protocol;
  return key;
}

}  // namespace

struct FlowDirector::Core::SweepPass {
  SweepPass(BlackboardReader* board, TimePoint now_in)
      : view(board->view.Get()),
        configuration(board->configuration.Get()),
        targets(board->targets.Get()),
        now(now_in) {}

  const View& view;
  const Configuration& configuration;
  const TargetSnapshot& targets;
  TimePoint now;
  bool is_primary = false;  // Of the partition being swept.
  std::vector<FlowEvent> events;
  std::vector<FlowReset> resets;
};

std::vector<FlowReset> FlowDirector::Core::Sweep(BlackboardReader* board,
                                                 TimePoint now) {
  SweepPass pass(board, now);
  RecordKnownTargets(pass.targets);
  const Duration passed = std::min<Duration>(now - m_last_sweep, kSweepPeriod);
  m_last_sweep = now;
  const auto count = static_cast<PartitionId>(
      (passed.count() * kPartitionCount + kSweepPeriod.count() - 1) /
      kSweepPeriod.count());
  for (PartitionId i = 0; i < count; ++i) {
    SweepPartition(m_next_partition, &pass);
    m_next_partition = (m_next_partition + 1) % kPartitionCount;
    if (m_next_partition != 0) continue;
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_last_sweep_counts = std::exchange(m_current_sweep_counts, FlowCounts());
  }
  for (const FlowEvent& event : pass.events) {
    if (m_observe_flow) m_observe_flow(event);
  }
  return std::move(pass.resets);
}

void FlowDirector::Core::RecordKnownTargets(const TargetSnapshot& targets) {
  // The limit allows for a day of restarts of every target. A larger set is
  // cleared, and flows of targets that left before then end by idle timeout.
  constexpr std::size_t kMaxKnownTargets = 1'000'000;
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_known_targets.size() > kMaxKnownTargets) m_known_targets.clear();
  for (const Target& target : targets.all()) m_known_targets.insert(target.id);
}

void FlowDirector::Core::SweepPartition(PartitionId partition,
                                        SweepPass* pass) {
  FlowShard* shard = m_shards.Of(partition);
  const std::lock_guard<std::mutex> lock(shard->mutex);
  shard->ClearIfTenureChanged(pass->view, partition);
  const int rank = pass->view.ChainOf(partition).RankOf(pass->view.self());
  pass->is_primary = rank == 0 && pass->view.ChainOf(partition).holders > 0;
  if (shard->table.size() == 0) return;
  shard->table.RemoveIf(
      [this, pass](FlowRecord* record) { return ShouldRemove(*record, pass); });
}

bool FlowDirector::Core::ShouldRemove(const FlowRecord& record,
                                      SweepPass* pass) {
  const TargetId id = record.target();
  const Target* target = pass->targets.Find(id);
  const bool is_lost = IsTargetLost(target, id);
  const Service* service = target == nullptr
                               ? nullptr
                               : pass->configuration.FindById(target->service);
  // Service ids are assigned in increasing order. An unknown service with an id
  // below `next_service_id` was removed; one with a greater id may be missing
  // only because this configuration is older.
  const bool is_removed =
      target != nullptr && service == nullptr &&
      target->service.value < pass->configuration.next_service_id;
  const bool is_expired =
      IsExpired(record, service, pass->is_primary, pass->now);
  const bool should_remove = is_lost || is_removed || is_expired;
  if (!pass->is_primary) return should_remove;
  if (!should_remove) {
    ++m_current_sweep_counts.by_target[id];
    if (service != nullptr) ++m_current_sweep_counts.by_service[service->id];
    return false;
  }
  if (record.state == FlowState::kClosing) return true;
  const ServiceId service_id = service == nullptr ? ServiceId() : service->id;
  const bool should_reset = is_lost && service != nullptr &&
                            service->protocol == Protocol::kTcp &&
                            record.state == FlowState::kEstablished;
  if (should_reset) {
    pass->resets.push_back(
        {KeyOf(record, *service), record.acknowledgment, record.sequence});
  }
  pass->events.push_back(
      {should_reset ? FlowEventKind::kReset : FlowEventKind::kClosed,
       service_id, id, record.caller, pass->now});
  return true;
}

bool FlowDirector::Core::IsExpired(const FlowRecord& record,
                                   const Service* service, bool is_primary,
                                   TimePoint now) const {
  Duration limit = m_settings.opening_timeout;
  if (record.state == FlowState::kClosing) limit = m_settings.closing_timeout;
  if (record.state == FlowState::kEstablished) {
    const Service fallback;
    limit = std::chrono::seconds(service == nullptr ? fallback.idle_timeout_s
                                                    : service->idle_timeout_s);
  }
  // The copies of a record are refreshed only once per refresh period, so they
  // are kept for two periods longer than the primary's record.
  if (!is_primary) limit += 2 * m_settings.refresh_period;
  return IdleTime(record, now) >= limit;
}

}  // namespace sardinelead
