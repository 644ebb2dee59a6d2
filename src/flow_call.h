#ifndef SARDINELEAD_SRC_FLOW_CALL_H_
#define SARDINELEAD_SRC_FLOW_CALL_H_

// The context of one packet in FlowDirector: the inputs of a decision, and
// helpers that build its outcome.

#include <optional>

#include "flow_shards.h"
#include "sardinelead/flow_director.h"

namespace sardinelead {

struct FlowContext {
  FlowContext(const View& view_in, const Configuration& configuration,
              const TargetSnapshot& targets_in, const PacketInfo& packet_in,
              const RelayHeader* relay_in, Direction direction_in,
              TimePoint now_in);

  const View& view;
  const TargetSnapshot& targets;
  const PacketInfo& packet;
  const RelayHeader* relay;  // Null for a packet from the fabric.
  Direction direction;
  TimePoint now;
  // The service at the packet's address in the current configuration, or null.
  const Service* service;
  std::uint64_t full_hash;  // Hash of the flow key.
  PartitionId partition;
  std::uint32_t hash;  // Low half of `full_hash`.
  const Chain& chain;
  int rank;  // Position of this node in `chain`, or -1.

  // See the fields of the same names in RelayHeader.
  std::uint8_t queried_holders = 0;
  bool has_incomplete_holder = false;
  // For an answer: the tag of the tunnel that it came from.
  std::uint64_t tunnel_tag = 0;
  // Set by a step if the primary must pick a target, instead of
  // `replaced_target` if that is set.
  bool needs_decision = false;
  TargetId replaced_target;
  // Set by a step; reported after the locks are released.
  std::optional<FlowEvent> event;

  bool IsPrimary() const { return rank == 0 && chain.holders > 0; }
  bool IsHolder() const { return rank >= 0 && rank < chain.holders; }
  // Whether the packet may open a new flow.
  bool MayOpenFlow() const {
    return direction == Direction::kToService &&
           (packet.kind == PacketKind::kTcpOpen ||
            packet.kind == PacketKind::kUdp);
  }
  bool ClosesFlow() const {
    return packet.kind == PacketKind::kTcpClose ||
           packet.kind == PacketKind::kTcpReset;
  }
  void SetEvent(FlowEventKind kind, TargetId target);
};

// Returns a hash of a target's tunnel, which identifies the origin of a relayed
// answer.
std::uint64_t TunnelTag(const Endpoint& tunnel);

FlowOutcome Drop(DropReason reason);
// Relays to `to`, with the state of `ctx` in the header.
FlowOutcome Relay(const FlowContext& ctx, NodeId to, RelayStep step,
                  TargetId target = TargetId());
// Relays to the first other holder that was not asked yet. Returns nullopt if
// there is none.
std::optional<FlowOutcome> RelayToNextHolder(const FlowContext& ctx);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FLOW_CALL_H_
