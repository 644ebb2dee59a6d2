// Picks the target of a new flow, at the primary of the flow's partition, and
// records it. flow_core.cc describes why only the primary does. The target is
// picked without the shard's mutex, so that a policy that takes long delays
// only its own flow; another thread may record the flow meanwhile.

#include "flow_core.h"

namespace sardinelead {
namespace {

// Opening flows idle for longer than this may be evicted for new ones.
constexpr std::uint32_t kEvictableAfterMs = 1000;

DropReason ToDropReason(RefuseReason reason) {
  return reason == RefuseReason::kNoTarget ? DropReason::kNoTarget
                                           : DropReason::kRefused;
}

}  // namespace

tl::expected<TargetId, RefuseReason> FlowDirector::Core::PickFor(
    const FlowContext& ctx) const {
  const FlowKey& key = ctx.packet.key;
  if (ctx.replaced_target != TargetId() && m_pick_another) {
    return m_pick_another(key, *ctx.service, ctx.replaced_target, ctx.now);
  }
  return m_pick_target(key, *ctx.service, ctx.now);
}

FlowOutcome FlowDirector::Core::Decide(FlowContext* ctx, FlowShard* shard) {
  const auto picked = PickFor(*ctx);
  if (!picked) return Drop(ToDropReason(picked.error()));
  const Target* target = ctx->targets.Find(*picked);
  if (target == nullptr) return Drop(DropReason::kNoTarget);
  if (target->service != ctx->service->id) {
    return Drop(DropReason::kWrongService);
  }
  const std::lock_guard<std::mutex> lock(shard->mutex);
  shard->ClearIfTenureChanged(ctx->view, ctx->partition);
  FlowRecord* record = shard->table.Find(ctx->hash, ctx->packet.key.caller);
  const bool replaces = record != nullptr &&
                        ctx->replaced_target != TargetId() &&
                        record->target() == ctx->replaced_target;
  if (record != nullptr && !replaces) {
    return OnConcurrentDecision(ctx, &shard->table, record);
  }
  if (record == nullptr) {
    record = Insert(*ctx, &shard->table, *picked, FlowState::kOpening);
    if (record == nullptr) return Drop(DropReason::kRefused);
  }
  record->set_target(*picked);
  record->repeats = 0;
  record->seen_ms = ToMillis(ctx->now);
  record->refreshed_s = ToSeconds(ctx->now);
  shard->table.SetState(record, FlowState::kOpening);
  m_decided.fetch_add(1, std::memory_order_relaxed);
  ctx->SetEvent(FlowEventKind::kOpened, *picked);
  return ForwardAlongChain(*ctx, *picked);
}

FlowOutcome FlowDirector::Core::OnConcurrentDecision(FlowContext* ctx,
                                                     FlowTable* table,
                                                     FlowRecord* record) {
  // Another thread recorded a target for this flow while this one picked a
  // target without holding the shard's mutex.
  ctx->needs_decision = false;
  const FlowOutcome outcome = OnPrimary(ctx, table, record);
  return ctx->needs_decision ? Drop(DropReason::kUncertain) : outcome;
}

FlowRecord* FlowDirector::Core::Insert(const FlowContext& ctx, FlowTable* table,
                                       TargetId target, FlowState state) {
  FlowRecord record;
  record.caller = ctx.packet.key.caller.address;
  record.caller_port = ctx.packet.key.caller.port;
  record.state = state;
  record.hash = ctx.hash;
  record.set_target(target);
  record.seen_ms = ToMillis(ctx.now);
  record.refreshed_s = ToSeconds(ctx.now);
  record.sequence = ctx.packet.tcp_sequence;
  record.acknowledgment = ctx.packet.tcp_acknowledgment;
  return table->Insert(record, record.seen_ms - kEvictableAfterMs);
}

}  // namespace sardinelead
