#include "flow_call.h"

namespace sardinelead {

FlowContext::FlowContext(const View& view_in,
                         const Configuration& configuration,
                         const TargetSnapshot& targets_in,
                         const PacketInfo& packet_in,
                         const RelayHeader* relay_in, Direction direction_in,
                         TimePoint now_in)
    : view(view_in),
      targets(targets_in),
      packet(packet_in),
      relay(relay_in),
      direction(direction_in),
      now(now_in),
      service(configuration.FindByAddress(
          {packet_in.key.service, packet_in.key.protocol})),
      full_hash(packet_in.FlowHash()),
      partition(PartitionOf(full_hash)),
      hash(static_cast<std::uint32_t>(full_hash)),
      chain(view_in.ChainOf(partition)),
      rank(chain.RankOf(view_in.self())) {
  if (relay == nullptr) return;
  if (direction == Direction::kToCaller) tunnel_tag = relay->target.value;
  if (relay->view != view.tag()) return;
  queried_holders = relay->queried_holders;
  has_incomplete_holder = relay->has_incomplete_holder;
}

void FlowContext::SetEvent(FlowEventKind kind, TargetId target) {
  event = FlowEvent{kind, service->id, target, packet.key.caller.address, now};
}

std::uint64_t TunnelTag(const Endpoint& tunnel) {
  const auto* bytes =
      reinterpret_cast<const char*>(tunnel.address.bytes.data());
  return HashText({bytes, tunnel.address.bytes.size()}, tunnel.port);
}

FlowOutcome Drop(DropReason reason) {
  FlowOutcome outcome;
  outcome.reason = reason;
  return outcome;
}

FlowOutcome Relay(const FlowContext& ctx, NodeId to, RelayStep step,
                  TargetId target) {
  FlowOutcome outcome;
  outcome.action = FlowAction::kRelay;
  outcome.relay_to = to;
  RelayHeader& header = outcome.relay;
  header.sender = ctx.view.self();
  header.direction = ctx.direction;
  header.step = step;
  header.hops =
      static_cast<std::uint8_t>(ctx.relay == nullptr ? 1 : ctx.relay->hops + 1);
  header.target = step == RelayStep::kQuery ? TargetId{ctx.tunnel_tag} : target;
  header.sender_rank = static_cast<std::uint8_t>(ctx.rank < 0 ? 0 : ctx.rank);
  header.queried_holders = ctx.queried_holders;
  header.has_incomplete_holder = ctx.has_incomplete_holder;
  header.view = ctx.view.tag();
  return outcome;
}

std::optional<FlowOutcome> RelayToNextHolder(const FlowContext& ctx) {
  for (int rank = 0; rank < ctx.chain.holders; ++rank) {
    const bool was_asked = (ctx.queried_holders >> rank & 1) != 0;
    if (was_asked || rank == ctx.rank) continue;
    return Relay(ctx, ctx.chain.nodes[rank], RelayStep::kQuery);
  }
  return std::nullopt;
}

}  // namespace sardinelead
