// Determines the target to which a packet is forwarded.
//
// The fabric delivers any packet to any balancer, and balancers learn of
// changes at different times. Two nodes may compute different targets from
// their inputs, and a packet sent to the wrong target resets the flow.
// Therefore packets are never forwarded by computation. One node, the primary
// of the flow's partition, picks the target once, and every packet is forwarded
// by a record of that choice. The record's target is fixed for the life of the
// flow, so all copies are equivalent, and changes of configuration, targets or
// weights don't affect existing flows.
//
// Records must survive node failures. The first packet of a flow is forwarded
// along the partition's chain: the primary, the other holders, then the members
// that are about to become holders. Each records the target and forwards the
// packet; only the last one sends it to the target. So once a target has seen a
// flow, every member of the chain has its record, at the cost of a few extra
// hops for one packet and no additional messages. If the packet is lost on the
// way, no target has seen it and the caller retransmits it. The chain is used
// again when the flow is established, when it closes and once per refresh
// period, so that the copies expire together.
//
// Two primaries must never decide concurrently. A node decides only while every
// member of its view has promised to be in the same view (see membership.h),
// and a member of the chain accepts a record only from its predecessor in the
// same view.
//
// A holder without a record does not prove that the flow is unknown, because
// the holder may be new. Holders are queried in turn, and the caller's flow is
// reset only if all of them have all records of the partition. Otherwise the
// packet is dropped and the caller retransmits it.

#include "flow_core.h"

#include <utility>

namespace sardinelead {
namespace {

constexpr std::uint8_t kMaxHops = 10;
// How long a closing flow must be idle before its key may open a new flow on
// another target, so that late packets of the old flow are gone.
constexpr std::uint32_t kKeyReuseMs = 1000;
// Maximum lag between two nodes' configurations or target snapshots. Until it
// has passed, a record that contradicts this node's own may be right.
constexpr std::uint32_t kUpdateSkewMs = 10'000;
// An established copy last used within this time is not overwritten with
// another target.
constexpr std::uint32_t kLiveCopyMs = 1000;

// The number of retransmissions of a segment at which the primary refreshes the
// copies, so that their nodes relay further retransmissions to it.
constexpr std::uint8_t kRefreshCopiesAtRepeats = 2;

std::uint32_t AgeMs(const FlowRecord& record, TimePoint now) {
  return ToMillis(now) - record.seen_ms;
}

FlowOutcome SendTo(const Target& target) {
  FlowOutcome outcome;
  outcome.action = FlowAction::kSendToTarget;
  outcome.target = target.id;
  outcome.tunnel = target.tunnel;
  return outcome;
}

// Whether the target `id` belongs to another service than the packet's.
bool BelongsToOtherService(const FlowContext& ctx, TargetId id) {
  const Target* target = ctx.targets.Find(id);
  return target != nullptr && target->service != ctx.service->id;
}

// Returns the state of a record after a packet that was forwarded along the
// chain.
FlowState NextState(const FlowContext& ctx, FlowState state) {
  if (ctx.ClosesFlow()) return FlowState::kClosing;
  if (ctx.packet.kind == PacketKind::kTcpOpen) return FlowState::kOpening;
  if (state == FlowState::kClosing) return state;
  return FlowState::kEstablished;
}

}  // namespace

FlowDirector::Core::Core(FlowDirectorSettings settings, PickTarget pick_target,
                         ObserveFlow observe_flow,
                         PickAnotherTarget pick_another)
    : m_settings(settings),
      m_pick_target(std::move(pick_target)),
      m_observe_flow(std::move(observe_flow)),
      m_pick_another(std::move(pick_another)),
      m_shards(settings.max_flows, static_cast<std::uint64_t>(
                                       static_cast<double>(settings.max_flows) *
                                       settings.max_opening_share)) {}

FlowOutcome FlowDirector::Core::Run(FlowContext* ctx) {
  if (ctx->relay != nullptr && ctx->relay->hops >= kMaxHops) {
    return Drop(DropReason::kHopLimit);
  }
  if (ctx->chain.holders == 0) return Drop(DropReason::kNotReady);
  const bool is_store =
      ctx->relay != nullptr && ctx->relay->step == RelayStep::kStore;
  if (!ctx->IsHolder() && !is_store) {
    const auto relayed = RelayToNextHolder(*ctx);
    return relayed ? *relayed : Drop(DropReason::kUncertain);
  }
  if (ctx->rank < 0) return Drop(DropReason::kStaleRelay);
  if (ctx->service == nullptr && !is_store) {
    return OnUnknownService(*ctx);
  }
  return RunOnShard(ctx, m_shards.Of(ctx->partition));
}

// RunOnShard() and the functions that it calls construct outcomes in place:
// copying an outcome that was just written takes longer than most decisions.
FlowOutcome FlowDirector::Core::RunOnShard(FlowContext* ctx, FlowShard* shard) {
  FlowOutcome outcome = OnLockedShard(ctx, shard);
  if (ctx->needs_decision) outcome = Decide(ctx, shard);
  if (ctx->event && m_observe_flow) m_observe_flow(*ctx->event);
  return outcome;
}

FlowOutcome FlowDirector::Core::OnLockedShard(FlowContext* ctx,
                                              FlowShard* shard) {
  const std::lock_guard<std::mutex> lock(shard->mutex);
  shard->ClearIfTenureChanged(ctx->view, ctx->partition);
  return OnShard(ctx, shard);
}

FlowOutcome FlowDirector::Core::OnUnknownService(const FlowContext& ctx) const {
  // This node's configuration may be older than the primary's, so a packet from
  // the fabric is relayed to the primary. A relayed packet is dropped, and so
  // is any packet at the primary itself.
  const bool is_final_hop = ctx.IsPrimary() || ctx.relay != nullptr;
  if (is_final_hop) return Drop(DropReason::kUnknownService);
  return Relay(ctx, ctx.chain.nodes[0], RelayStep::kQuery);
}

FlowOutcome FlowDirector::Core::OnShard(FlowContext* ctx, FlowShard* shard) {
  const RelayStep step =
      ctx->relay == nullptr ? RelayStep::kQuery : ctx->relay->step;
  if (step == RelayStep::kStore) return OnStore(ctx, &shard->table);
  if (!ctx->view.MayServe(ctx->now)) return Drop(DropReason::kNotReady);
  if (step == RelayStep::kSend) return OnSend(*ctx, &shard->table);
  if (step == RelayStep::kRecordFound) return OnRecordFound(ctx, &shard->table);
  FlowRecord* record = shard->table.Find(ctx->hash, ctx->packet.key.caller);
  if (record == nullptr) return OnUnknown(ctx, shard->complete);
  if (ctx->direction == Direction::kToCaller) return OnAnswer(*ctx, record);
  if (ctx->IsPrimary()) return OnPrimary(ctx, &shard->table, record);
  return OnCopy(*ctx, record);
}

FlowOutcome FlowDirector::Core::OnStore(FlowContext* ctx, FlowTable* table) {
  const RelayHeader& relay = *ctx->relay;
  const bool is_in_order = relay.view == ctx->view.tag() &&
                           relay.sender_rank + 1 == ctx->rank &&
                           ctx->chain.nodes[relay.sender_rank] == relay.sender;
  if (!is_in_order) {
    m_refused_stores.fetch_add(1, std::memory_order_relaxed);
    return Drop(DropReason::kStaleRelay);
  }
  FlowRecord* record = table->Find(ctx->hash, ctx->packet.key.caller);
  if (record == nullptr) {
    const FlowState state = ctx->MayOpenFlow()
                                ? FlowState::kOpening
                                : NextState(*ctx, FlowState::kEstablished);
    record = Insert(*ctx, table, relay.target, state);
    if (record == nullptr) return Drop(DropReason::kRefused);
  } else if (record->target() == relay.target) {
    const bool keeps_state = ctx->packet.kind == PacketKind::kTcpOpen &&
                             record->state == FlowState::kEstablished;
    if (!keeps_state) table->SetState(record, NextState(*ctx, record->state));
  } else {
    const bool is_live = record->state == FlowState::kEstablished &&
                         AgeMs(*record, ctx->now) < kLiveCopyMs;
    if (!ctx->MayOpenFlow() || is_live) {
      m_refused_stores.fetch_add(1, std::memory_order_relaxed);
      return Drop(DropReason::kStaleRelay);
    }
    record->set_target(relay.target);
    record->repeats = 0;
    table->SetState(record, FlowState::kOpening);
  }
  record->seen_ms = ToMillis(ctx->now);
  record->refreshed_s = ToSeconds(ctx->now);
  RecordSegment(m_settings, ctx->packet, ctx->now, &m_progress, record);
  m_stored.fetch_add(1, std::memory_order_relaxed);
  return ForwardAlongChain(*ctx, relay.target);
}

FlowOutcome FlowDirector::Core::OnSend(const FlowContext& ctx,
                                       FlowTable* table) {
  const FlowRecord* record = table->Find(ctx.hash, ctx.packet.key.caller);
  const bool is_current = ctx.IsPrimary() && record != nullptr &&
                          record->target() == ctx.relay->target;
  return is_current ? Forward(ctx, ctx.relay->target)
                    : Drop(DropReason::kStaleRelay);
}

FlowOutcome FlowDirector::Core::OnRecordFound(FlowContext* ctx,
                                              FlowTable* table) {
  if (!ctx->IsPrimary()) return Drop(DropReason::kStaleRelay);
  FlowRecord* record = table->Find(ctx->hash, ctx->packet.key.caller);
  if (record != nullptr) return OnPrimary(ctx, table, record);
  if (!ctx->view.MayDecide(ctx->now)) return Drop(DropReason::kNotReady);
  const TargetId found = ctx->relay->target;
  if (IsTargetLost(ctx->targets.Find(found), found)) {
    // The packet was in flight when the flow was reset. The record must not be
    // created again: the next sweep would reset whichever flow uses the key by
    // then.
    if (!ctx->MayOpenFlow()) return Drop(DropReason::kUncertain);
    ctx->needs_decision = true;
    return FlowOutcome();
  }
  const FlowState state = ctx->packet.kind == PacketKind::kTcpOpen
                              ? FlowState::kOpening
                              : NextState(*ctx, FlowState::kEstablished);
  record = Insert(*ctx, table, found, state);
  if (record == nullptr) return Drop(DropReason::kRefused);
  return ForwardAlongChain(*ctx, found);
}

FlowOutcome FlowDirector::Core::OnPrimary(FlowContext* ctx, FlowTable* table,
                                          FlowRecord* record) {
  if (ctx->packet.kind == PacketKind::kTcpOpen ||
      (ctx->MayOpenFlow() &&
       IsTargetLost(ctx->targets.Find(record->target()), record->target()))) {
    return OnRepeatedOpening(ctx, table, record);
  }
  const SilenceStatus silence =
      RecordSegment(m_settings, ctx->packet, ctx->now, &m_progress, record);
  const FlowState next = NextState(*ctx, record->state);
  const bool may_use_chain = ctx->view.MayDecide(ctx->now);
  // A holder whose copy counts a retransmission relays further ones to the
  // primary.
  const bool refreshes_copies = next != record->state ||
                                IsRefreshDue(*ctx, *record) ||
                                record->repeats == kRefreshCopiesAtRepeats;
  record->seen_ms = ToMillis(ctx->now);
  const TargetId target = record->target();
  if (silence == SilenceStatus::kDetected) {
    m_silent.fetch_add(1, std::memory_order_relaxed);
    ctx->SetEvent(FlowEventKind::kSilent, target);
  }
  if (silence != SilenceStatus::kNone && m_settings.reset_silent_flows) {
    table->SetState(record, FlowState::kClosing);
    return Reset(*ctx);
  }
  if (IsTargetLost(ctx->targets.Find(target), target)) {
    // The caller is reset now. The record becomes kClosing so that the sweep
    // does not reset it again, which would hit whichever flow uses the key by
    // then.
    if (record->state == FlowState::kEstablished) {
      ctx->SetEvent(FlowEventKind::kReset, target);
    }
    table->SetState(record, FlowState::kClosing);
    return Reset(*ctx);
  }
  if (!refreshes_copies || !may_use_chain) return Forward(*ctx, target);
  if (next != record->state) {
    const bool closes = next == FlowState::kClosing;
    ctx->SetEvent(closes ? FlowEventKind::kClosed : FlowEventKind::kEstablished,
                  target);
  }
  table->SetState(record, next);
  record->refreshed_s = ToSeconds(ctx->now);
  return ForwardAlongChain(*ctx, target);
}

FlowOutcome FlowDirector::Core::OnRepeatedOpening(FlowContext* ctx,
                                                  FlowTable* table,
                                                  FlowRecord* record) {
  const bool may_decide = ctx->view.MayDecide(ctx->now);
  const bool is_closed = record->state == FlowState::kClosing;
  const std::uint32_t idle_ms = AgeMs(*record, ctx->now);
  const TargetId target = record->target();
  if (BelongsToOtherService(*ctx, target) && idle_ms < kUpdateSkewMs) {
    return Drop(DropReason::kWrongService);
  }
  if (IsTargetLost(ctx->targets.Find(target), target) ||
      BelongsToOtherService(*ctx, target) ||
      (is_closed && idle_ms >= kKeyReuseMs)) {
    if (!may_decide) return Drop(DropReason::kNotReady);
    ctx->needs_decision = true;
    ctx->replaced_target = target;
    return FlowOutcome();
  }
  if (is_closed) return Drop(DropReason::kUncertain);
  record->seen_ms = ToMillis(ctx->now);
  if (record->state == FlowState::kEstablished) return Forward(*ctx, target);
  if (!may_decide) return Drop(DropReason::kNotReady);
  ctx->SetEvent(FlowEventKind::kUnanswered, target);
  table->SetState(record, FlowState::kOpening);
  return ForwardAlongChain(*ctx, target);
}

FlowOutcome FlowDirector::Core::OnCopy(const FlowContext& ctx,
                                       FlowRecord* record) {
  const bool is_open = record->state == FlowState::kEstablished;
  const bool is_midflow =
      ctx.packet.kind != PacketKind::kTcpOpen && !ctx.ClosesFlow();
  // The primary is in `queried_holders` if it has no record of the flow or does
  // not know the target yet.
  const bool primary_was_asked = (ctx.queried_holders & 1) != 0;
  const bool may_forward = is_open && is_midflow;
  if (primary_was_asked && !may_forward) {
    return Relay(ctx, ctx.chain.nodes[0], RelayStep::kRecordFound,
                 record->target());
  }
  // The primary decides on retransmitted segments.
  RecordSegment(m_settings, ctx.packet, ctx.now, &m_progress, record);
  const Target* target = ctx.targets.Find(record->target());
  if (primary_was_asked && target == nullptr) return RelayToOtherHolder(ctx);
  // Flows whose target died are reset only by the primary.
  const bool needs_primary = !may_forward || record->repeats > 0 ||
                             IsRefreshDue(ctx, *record) || target == nullptr ||
                             IsTargetLost(target, record->target());
  if (needs_primary && !primary_was_asked) {
    return Relay(ctx, ctx.chain.nodes[0], RelayStep::kQuery);
  }
  record->seen_ms = ToMillis(ctx.now);
  return Forward(ctx, record->target());
}

FlowOutcome FlowDirector::Core::OnUnknown(FlowContext* ctx, bool is_complete) {
  const bool opens = ctx->MayOpenFlow();
  const bool is_primary = ctx->IsPrimary();
  if (opens && is_primary && !ctx->view.MayDecide(ctx->now)) {
    return Drop(DropReason::kNotReady);
  }
  if (opens && is_primary && is_complete) {
    ctx->needs_decision = true;
    return FlowOutcome();
  }
  ctx->queried_holders =
      static_cast<std::uint8_t>(ctx->queried_holders | 1U << ctx->rank);
  // A primary with incomplete records relies on the replies of the other
  // holders.
  const bool is_querying_holders = opens && is_primary;
  if (!is_complete && !is_querying_holders) ctx->has_incomplete_holder = true;
  if (const auto relayed = RelayToNextHolder(*ctx)) return *relayed;
  if (opens && !is_primary) {
    return Relay(*ctx, ctx->chain.nodes[0], RelayStep::kQuery);
  }
  if (ctx->has_incomplete_holder) return Drop(DropReason::kUncertain);
  if (opens) {
    ctx->needs_decision = true;
    return FlowOutcome();
  }
  const bool is_reset = ctx->packet.kind == PacketKind::kTcpReset;
  const bool is_answer = ctx->direction == Direction::kToCaller;
  if (is_reset || is_answer) return Drop(DropReason::kUnknownFlow);
  return Reset(*ctx);
}

FlowOutcome FlowDirector::Core::OnAnswer(const FlowContext& ctx,
                                         FlowRecord* record) {
  const Target* target = ctx.targets.Find(record->target());
  if (target == nullptr) return RelayToOtherHolder(ctx);
  if (TunnelTag(target->tunnel) != ctx.tunnel_tag) {
    return Drop(DropReason::kWrongTarget);
  }
  if (target->service != ctx.service->id) {
    return Drop(DropReason::kWrongService);
  }
  // An answer shows that the target still has the flow, so the retransmission
  // count is cleared unless silence has been reported.
  RecordAnswer(record);
  FlowOutcome outcome;
  outcome.action = FlowAction::kSendToCaller;
  outcome.target = target->id;
  return outcome;
}

FlowOutcome FlowDirector::Core::RelayToOtherHolder(FlowContext ctx) {
  ctx.queried_holders =
      static_cast<std::uint8_t>(ctx.queried_holders | 1U << ctx.rank);
  ctx.has_incomplete_holder = true;
  const auto relayed = RelayToNextHolder(ctx);
  return relayed ? *relayed : Drop(DropReason::kUncertain);
}

FlowOutcome FlowDirector::Core::ForwardAlongChain(const FlowContext& ctx,
                                                  TargetId target) {
  const int next = ctx.rank + 1;
  if (next >= ctx.chain.size) return Forward(ctx, target);
  return Relay(ctx, ctx.chain.nodes[next], RelayStep::kStore, target);
}

FlowOutcome FlowDirector::Core::Forward(const FlowContext& ctx, TargetId id) {
  const Target* target =
      ctx.service == nullptr ? nullptr : ctx.targets.Find(id);
  if (IsTargetLost(target, id) && ctx.service != nullptr) {
    return ctx.packet.kind == PacketKind::kTcpOpen ? Drop(DropReason::kNoTarget)
                                                   : Reset(ctx);
  }
  if (target == nullptr) {
    // This node does not know the service or the target yet. For an existing
    // flow another holder may; a new one goes back to the primary, which picked
    // the target.
    if (ctx.IsPrimary() && !ctx.MayOpenFlow()) return RelayToOtherHolder(ctx);
    if (ctx.IsPrimary()) return Drop(DropReason::kUncertain);
    return Relay(ctx, ctx.chain.nodes[0], RelayStep::kSend, id);
  }
  if (target->service != ctx.service->id) {
    return Drop(DropReason::kWrongService);
  }
  return SendTo(*target);
}

FlowOutcome FlowDirector::Core::Reset(const FlowContext& ctx) {
  if (ctx.packet.key.protocol != Protocol::kTcp || !TryConsumeReset(ctx.now)) {
    return Drop(DropReason::kUnknownFlow);
  }
  m_resets.fetch_add(1, std::memory_order_relaxed);
  FlowOutcome outcome;
  outcome.action = FlowAction::kReset;
  outcome.reason = DropReason::kUnknownFlow;
  return outcome;
}

bool FlowDirector::Core::IsRefreshDue(const FlowContext& ctx,
                                      const FlowRecord& record) const {
  const auto age_s =
      static_cast<std::uint16_t>(ToSeconds(ctx.now) - record.refreshed_s);
  return std::chrono::seconds(age_s) >= m_settings.refresh_period;
}

bool FlowDirector::Core::IsTargetLost(const Target* target, TargetId id) const {
  if (target != nullptr) {
    return target->state == TargetState::kDead ||
           target->state == TargetState::kGone;
  }
  // A target that is missing from the snapshot has left if an earlier snapshot
  // contained it. Otherwise it is new and this node does not know it yet.
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_known_targets.count(id) > 0;
}

FlowCounts FlowDirector::Core::Counts() const {
  FlowCounts counts;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    counts = m_last_sweep_counts;
  }
  counts.held = m_shards.budget().records.load();
  counts.opening = m_shards.budget().opening.load();
  counts.bytes = m_shards.budget().bytes.load();
  counts.decided = m_decided.load();
  counts.stored = m_stored.load();
  counts.refused_stores = m_refused_stores.load();
  counts.resets = m_resets.load();
  counts.silent = m_silent.load();
  return counts;
}

bool FlowDirector::Core::TryConsumeReset(TimePoint now) {
  const std::int64_t second =
      std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch())
          .count();
  if (m_reset_second.exchange(second) != second) m_resets_this_second.store(0);
  return m_resets_this_second.fetch_add(1) < m_settings.resets_per_second;
}

}  // namespace sardinelead
