#ifndef SARDINELEAD_FLOW_DIRECTOR_H_
#define SARDINELEAD_FLOW_DIRECTOR_H_

// Decides where each packet is forwarded. The director takes a packet's parsed
// headers and the current time and returns an outcome; it performs no I/O.
//
//   PacketInfo info = *ParsePacket(bytes, Direction::kToService);
//   FlowOutcome outcome = director.OnPacket(&reader, info, nullptr, now);
//   switch (outcome.action) { case FlowAction::kSendToTarget: ... }
//
// OnPacket may be called concurrently by any number of threads, each with its
// own BlackboardReader: flow records are divided into shards, each protected by
// its own mutex.

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "sardinelead/blackboard.h"
#include "sardinelead/message.h"
#include "sardinelead/packet.h"
#include "sardinelead/types.h"

namespace sardinelead {

// What the receiver of a relayed packet must do with it.
enum class RelayStep : std::uint8_t {
  kQuery,        // Forward by a record, or query the remaining holders.
  kStore,        // Record `target`, then forward along the chain.
  kSend,         // The whole chain recorded `target`: send it there.
  kRecordFound,  // Sent to a primary without a record by a holder whose record
                 // names `target`.
};
const char* Name(RelayStep step);

// Prepended to a packet that one balancer relays to another.
struct RelayHeader {
  NodeId sender;
  Direction direction = Direction::kToService;
  RelayStep step = RelayStep::kQuery;
  std::uint8_t hops = 0;  // Relays so far, including this one.
  // The target of the flow. In a relayed answer, the tag (TunnelTag) of the
  // tunnel that the answer came from.
  TargetId target;
  // The sender's position in the partition's chain; used with kStore.
  std::uint8_t sender_rank = 0;
  // Bit mask, by position in the chain, of the holders that reported no record.
  std::uint8_t queried_holders = 0;
  // True if a holder in `queried_holders` does not yet have all records of the
  // partition, so its reply does not prove that the flow is unknown.
  bool has_incomplete_holder = false;
  // View::tag() of the sender. `queried_holders` and `sender_rank` are valid
  // only in that view.
  std::uint32_t view = 0;
};

enum class FlowAction : std::uint8_t {
  kSendToTarget,  // Send the whole packet to `tunnel`.
  kSendToCaller,  // Send an answer unchanged to the caller in its header.
  kRelay,         // Send to the balancer `relay_to`, preceded by `relay`.
  kReset,         // Tell the caller that its flow is gone (TCP RST or ICMP).
  kDrop,
};
const char* Name(FlowAction action);

struct FlowOutcome {
  FlowAction action = FlowAction::kDrop;
  DropReason reason = DropReason::kUncertain;  // For kDrop and kReset.
  TargetId target;                             // For kSendToTarget.
  Endpoint tunnel;                             // For kSendToTarget.
  NodeId relay_to;                             // For kRelay.
  RelayHeader relay;                           // For kRelay.
};

// Why a new flow was refused.
enum class RefuseReason : std::uint8_t {
  kNoTarget,        // No target accepts new flows.
  kOverloaded,      // Every target is shedding load.
  kWorkspaceShare,  // The workspace exceeds its share of the service.
  kFlowLimit,       // Limit on concurrent flows exceeded.
  kRateLimit,       // Limit on new flows or packets per second exceeded.
  kTableFull,       // This node has reached its limit on flow records.
};
const char* Name(RefuseReason reason);

enum class FlowEventKind : std::uint8_t {
  kOpened,       // The primary picked a target for a new flow.
  kEstablished,  // The caller sent a packet after the opening one.
  kClosed,       // FIN or RST from the caller, or idle timeout.
  kUnanswered,   // The opening packet was retransmitted without progress.
  kSilent,       // Segments were retransmitted without progress.
  kReset,        // This balancer reset the flow.
};
const char* Name(FlowEventKind kind);

// A change in the life of a flow, reported once, by the partition's primary.
struct FlowEvent {
  FlowEventKind kind = FlowEventKind::kOpened;
  ServiceId service;
  TargetId target;
  IpAddress caller;
  TimePoint at;
};

// Picks the target of a new flow. Called concurrently, without locks held.
using PickTarget = std::function<tl::expected<TargetId, RefuseReason>(
    const FlowKey& key, const Service& service, TimePoint now)>;
// Picks a replacement for `first`, the dead target of a flow that it never
// answered. Called in place of PickTarget, so that a budget can limit such
// retries.
using PickAnotherTarget = std::function<tl::expected<TargetId, RefuseReason>(
    const FlowKey& key, const Service& service, TargetId first, TimePoint now)>;
// Receives each FlowEvent. Called concurrently, without locks held.
using ObserveFlow = std::function<void(const FlowEvent& event)>;

// A flow to reset without a packet to respond to, because its target died.
struct FlowReset {
  FlowKey key;
  // The next sequence number that the caller expects, as last observed.
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgment = 0;
};

struct FlowDirectorSettings {
  NodeId self;
  // Limit on the number of records held, including copies; a record takes 64
  // bytes on average.
  std::size_t max_flows = 1'000'000;
  // Fraction of `max_flows` available to flows of which only the opening packet
  // was seen, so that a flood of openings can't displace established flows.
  double max_opening_share = 0.25;
  // Idle time after which a flow of which only the opening packet was seen
  // expires. The default is longer than callers and targets keep retransmitting
  // during the handshake.
  Duration opening_timeout = std::chrono::seconds(70);
  Duration closing_timeout = std::chrono::seconds(120);
  // How often the primary refreshes the other copies of a live flow's record.
  // Copies expire two periods later than the primary's record.
  Duration refresh_period = std::chrono::seconds(60);
  // An established flow is silent when its caller has retransmitted one segment
  // at least `silent_repeats` times for longer than `silent_after`, or
  // `silent_without_progress_after` if no other flow of the target makes
  // progress either.
  std::uint8_t silent_repeats = 3;
  Duration silent_after = std::chrono::seconds(10);
  Duration silent_without_progress_after = std::chrono::seconds(15);
  bool reset_silent_flows = true;
  std::uint32_t resets_per_second = 2000;
};

// Counters since construction and current gauges.
struct FlowCounts {
  std::uint64_t held = 0;     // Records, including copies.
  std::uint64_t opening = 0;  // Those in state kOpening.
  std::uint64_t bytes = 0;    // Memory of the record tables.
  std::uint64_t decided = 0;
  std::uint64_t stored = 0;
  std::uint64_t refused_stores = 0;
  std::uint64_t resets = 0;
  std::uint64_t silent = 0;
  // Flows whose primary is this node, as of the last full sweep.
  std::unordered_map<ServiceId, std::uint64_t> by_service;
  std::unordered_map<TargetId, std::uint64_t> by_target;
};

class FlowShards;

class FlowDirector {
 public:
  // If `pick_another` is null, `pick_target` picks replacements too.
  FlowDirector(FlowDirectorSettings settings, PickTarget pick_target,
               ObserveFlow observe_flow,
               PickAnotherTarget pick_another = nullptr);
  ~FlowDirector();
  FlowDirector(const FlowDirector&) = delete;
  FlowDirector& operator=(const FlowDirector&) = delete;

  // Prefetches the record of a flow whose packet is about to be processed, for
  // callers that process packets in batches. Has no effect on outcomes.
  void Prefetch(std::uint64_t flow_hash) const;
  // Handles a packet from a caller. `relay` is null if the packet came from the
  // fabric rather than from another balancer.
  FlowOutcome OnPacket(BlackboardReader* board, const PacketInfo& packet,
                       const RelayHeader* relay, TimePoint now);
  // Handles an answer that arrived from a target through `from_tunnel`. For a
  // relayed answer the header identifies the tunnel and `from_tunnel` is
  // ignored.
  FlowOutcome OnAnswer(BlackboardReader* board, const PacketInfo& packet,
                       const Endpoint& from_tunnel, const RelayHeader* relay,
                       TimePoint now);
  // Expires flows incrementally; call it every 50 ms. Returns the flows whose
  // callers must be reset because their target died.
  std::vector<FlowReset> OnTick(BlackboardReader* board, TimePoint now);

  FlowCounts Counts() const;
  // The records and their completeness, for FlowRepair.
  FlowShards* shards();  // NOLINT

 private:
  class Core;
  std::unique_ptr<Core> m_core;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_FLOW_DIRECTOR_H_
