#ifndef SARDINELEAD_COOKIE_BALANCER_H_
#define SARDINELEAD_COOKIE_BALANCER_H_

// Forwards packets of flows in which the caller echoes a cookie.
//
// Callers echo a 32-bit cookie that the balancer wrote, so every packet after
// the first identifies its target and the target's address. Any balancer that
// knows both can forward the packet, without per-flow state and without
// contacting another balancer. One that knows the target only at another
// address holds the packet until it learns of this one. The forwarded packet
// carries the target's number, and a target drops packets with another number,
// so a packet cannot reach the wrong service even if the balancer's directory
// is stale.
//
// A flow has one target. Callers return the cookie that they received last, and
// a target may answer an opening packet at any time. If two targets had got the
// opening packet, the cookie of the one that answers later would lead the open
// flow's packets to a target that does not hold it and resets it. So only the
// balancer that gets the first opening packet of a flow selects a target, with
// FlowPlacement. It sends the caller's copies to that target too, however long
// the answer takes. Other balancers drop the copies that they get, because the
// first packet may have been forwarded. The caller then opens another flow.
//
// The per-flow records (m_flows) hold the target of flows that are opening, and
// they count the load of each target and the requests that it leaves
// unanswered. Losing them at any time leads no packet elsewhere and resets no
// flow.
//
// No flow that may be open is reset. All that this balancer knows of its target
// and its route may be late, and whatever the balancer learns next may take it
// back: a target that is silent may be slow, one that announced its end may
// still serve, and a route that was removed may stand again in a newer table.
// Without a route, all but first opening packets are dropped.
//
// The flow's end must therefore come from the targets, which reset flows that
// they do not hold. If another process seems to have taken the place of the
// flow's target, by the announced start times, the packet goes to the target as
// before, and a copy goes to that process. Each is addressed by its number, so
// only the one that exists takes it. If it is the target, the flow goes on; if
// it is the other process, that resets the flow. Idle callers learn of it too:
// when another process, or a later start of the target, becomes known, it gets
// the last packet without data of each open flow that was seen here, once.
//
// A target whose callers retransmit requests gets no new flows while it answers
// none. Answers do not pass through the balancer, so retransmissions are the
// only sign that a target does not acknowledge. The ages of these copies are
// measured by ReadProgress: how fast this process runs, and when it stalls,
// must not look like a failure of a target. Nor is it a failure that nothing
// arrives.
//
// Nor does it count against a target that a packet waits here for this VM's own
// link, or is dropped there: OnQueued(), OnTransmitted() and OnQueueDropped()
// report that. The ages of requests and opening packets count from the time at
// which the packet was handed to the socket.
//
// A target that is warming up, in a pool with a quota, gets opening packets
// only within this balancer's share of the quota (warm_up_grant.h), and none if
// the balancer has no share. Copies count. If no other target of the pool is
// left for a new flow, the flow is reset at once.
//
//   Forwarding f = balancer.OnPacket(packet, now);
//   if (is_queued) balancer.OnQueued(f.flow);  // Else it is sent at once.
//   balancer.OnDrained(read_at, sent_at);  // After the last pending packet.
//   balancer.OnOpeningsSent(sent_at);
//
// docs/design/platform.md compares this design with flow records. Performs no
// I/O itself. Not thread-safe. A packet costs a few hash lookups; an opening
// packet also costs one pass over the pool's targets. Memory: about 200 bytes
// per recently seen flow.

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/evacuation_filter.h"
#include "sardinelead/flow_placement.h"
#include "sardinelead/queued_flows.h"
#include "sardinelead/read_progress.h"
#include "sardinelead/route_table.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/types.h"
#include "sardinelead/warm_up_limiter.h"

namespace sardinelead {

// The fields of a caller's packet that load balancing needs.
struct FlowPacket {
  FlowKey flow;
  bool opens = false;         // The caller's opening packet.
  bool is_copy = false;       // Of an opening packet that was sent before.
  bool acknowledges = false;  // `acknowledged` is valid.
  bool finishes = false;
  bool resets = false;
  std::uint32_t sequence = 0;
  // The sequence number that the caller expects next. Unused on an opening
  // packet.
  std::uint32_t acknowledged = 0;
  std::uint32_t cookie = 0;  // As echoed by the caller; 0 if absent.
  std::uint16_t length = 0;  // Payload length in bytes.
  // The packet was held by this process, so it arrived earlier than the packets
  // read with it.
  bool is_held = false;
  ByteView bytes;  // As received; empty if unknown. See FlowProbe.
};

enum class ForwardAction : std::uint8_t {
  kForward,
  kReset,
  kDrop,
  kHold,  // Hold and retry after the next route or target update.
};

// Why the action was chosen.
enum class ForwardReason : std::uint8_t {
  kPlaced,      // New flow, placed at a newly chosen target.
  kPlacedCopy,  // Copy of an opening packet, sent to the same target.
  kByCookie,
  kTakenOver,      // By the cookie: the flow's first packet at this balancer.
  kCookieChanged,  // By the cookie, which is not that of the flow's record.
  kUnplacedCopy,  // Copy of an opening packet that was not placed here, or of a
                  // flow that has closed.
  kNoRoute,       // The address has no route.
  kRouteRemoved,  // The address had a route that was removed.
  kNoTarget,      // The pool has no usable target.
  kEvacuated,     // All usable targets are in evacuated data centres.
  kUnknownCookie,  // No known address of a target has this cookie.
  kTargetEnded,    // By the cookie, with a copy to the process that seems to
                   // have taken the place of the flow's target.
  kNotReady,       // No route table received yet.
  kLinkFull,       // This VM's link cannot carry the new flow in time.
  kWarmUpLimit,    // Only targets that are warming up are left, and their share
                   // of new flows is used up or there is none.
  kCount,
};
const char* Name(ForwardReason reason);

// A copy of a packet for the process that may have taken the place of the
// flow's target.
struct PacketCopy {
  std::uint64_t target = 0;
  Endpoint address;
  // The latest start of the flow's target at the flow's address, and of this
  // process, in Unix milliseconds by their own clocks.
  std::uint64_t started_ms = 0;
  std::uint64_t successor_started_ms = 0;
};

// A packet of an open flow that was forwarded before and goes to the process
// that may have taken the place of the flow's target.
struct FlowProbe {
  FlowKey flow;
  PacketCopy copy;
  std::uint32_t cookie = 0;
  Bytes packet;
};

struct Forwarding {
  ForwardAction action = ForwardAction::kDrop;
  ForwardReason reason = ForwardReason::kNotReady;
  FlowKey flow;
  std::uint64_t target = 0;  // For kForward.
  Endpoint address;          // For kForward: the target's receive address.
  std::uint32_t cookie = 0;  // To write into the packet.
  // For kReset: a sequence number that the caller accepts.
  std::uint32_t reset_sequence = 0;
  // For kForward: the process that gets a copy of the packet, if any.
  std::optional<PacketCopy> copy;
};

// A change in the health state of a target, for logs.
enum class TargetHealthEvent : std::uint8_t {
  kLost,          // Callers retransmit requests and it answers none.
  kRecovered,     // It was lost and answers again.
  kLeaseExpired,  // Its lease expired: no control VM received a heartbeat.
  kLeaseRenewed,  // Its lease was renewed after it had expired.
};
const char* Name(TargetHealthEvent health_event);

struct TargetHealthReport {
  TargetHealthEvent health_event = TargetHealthEvent::kLost;
  std::uint64_t target = 0;
  Endpoint address;
  std::string pool;
  // Time since the last heartbeat of the target, in covered time.
  Duration since_heartbeat{0};
  // Time since the target last answered a flow of this balancer; empty if the
  // target never did.
  std::optional<Duration> unanswered;
  std::uint32_t repeats = 0;
};

// A step of a flow whose duration the balancer measures.
enum class FlowStep : std::uint8_t {
  kOpening,  // From the hand-over of the opening packet to the socket, to the
             // caller's next packet.
  kAnswer,   // From the hand-over of a request to the caller's first
             // acknowledgement of its answer.
};

struct FlowTiming {
  FlowStep step = FlowStep::kOpening;
  std::uint64_t target = 0;
  Duration duration{0};
};

struct CookieBalancerSettings {
  std::string data_centre;
  PlacementSettings placement;
  // A target without a heartbeat for this long takes no new flows.
  Duration lease = std::chrono::milliseconds(3500);
  // A request with neither an answer nor a retransmission for this long is
  // assumed to have moved to another balancer or to have been abandoned. Must
  // exceed the delay of full queues.
  Duration request_timeout = std::chrono::milliseconds(1200);
  // Time over which the share of new flows that avoid an evacuated data centre
  // rises to 1.
  Duration evacuation_shift{0};
  // Flow records without packets are removed after this long.
  Duration flow_idle_timeout = std::chrono::seconds(20);
  std::size_t max_flows = 200'000;
  NodeId self;  // Whose shares of warm-up quotas apply here.
  // Whether new flows to targets that are warming up are limited.
  bool limits_warm_up = false;
  // The time in which a share of flows a second may be sent. More than a
  // second, since packets to a target may be delayed by different times.
  Duration warm_up_window = std::chrono::milliseconds(1100);
};

// Opening packets, copies included, to targets whose warm-up is limited.
struct WarmUpCounts {
  std::uint64_t used = 0;     // Forwarded within a share.
  std::uint64_t refused = 0;  // Reset or dropped with kWarmUpLimit.
};

class CookieBalancer {
 public:
  struct Hooks {
    std::function<std::uint64_t()> random;
    // The time base of the directory; see FeedFollower::CoveredTime.
    std::function<TimePoint()> covered_time;
    std::function<std::size_t()> balancers;  // Number in this data centre.
    // Whether the directory may still lack targets. While true, an opening
    // packet without a usable target is held instead of reset. The edge process
    // returns !FeedFollower::IsReady(), which is true until routes are present
    // and either all control VMs have reported or FeedSettings::startup_wait
    // has passed since the first report.
    std::function<bool()> is_gathering;
    std::function<void(const TargetHealthReport& health_report)>
        on_health_change;
    std::function<void(const FlowTiming& timing)> on_timing;
    // Whether this VM's link can carry a new flow of the route in time; if not,
    // the flow is refused. Called once for each flow that is about to be placed
    // here. Empty if all flows are admitted.
    std::function<bool(const Route& route, TimePoint now)> admits = {};
    // A request of the route at this address was answered; it had this many
    // bytes of data. May be empty.
    std::function<void(const Endpoint& service, std::size_t bytes)>
        on_request_size = {};
  };

  // `directory` is not owned and must outlive this object.
  CookieBalancer(CookieBalancerSettings settings,
                 const TargetDirectory* directory, Hooks hooks);

  // Ignores a table that is not newer than the current one. Costs one lookup
  // for each route of both.
  void SetRoutes(RouteTable routes);
  // Costs as much as what changes. Fails like RouteTable::Apply().
  Result<void> ApplyRouteChange(const RouteChange& change);
  // Ignores evacuations that are not newer than the current ones. New flows
  // follow them from now on; flows that were forwarded stay where they are.
  void SetEvacuations(const EvacuationReport& evacuations, TimePoint now);
  Forwarding OnPacket(const FlowPacket& packet, TimePoint now);
  // A read that began at `read_at` found no further packet. Everything read has
  // been passed to OnPacket(), and what was to be forwarded had been sent by
  // `sent_at`. Must also be called every 50 ms while no packets arrive.
  void OnDrained(TimePoint read_at, TimePoint sent_at);
  // The packet that OnPacket() decided to forward last, which has data or opens
  // its flow, waits for this VM's link. Must be called before the next
  // OnPacket(). Afterwards, exactly one of the other two must be called for it:
  // when it was handed to the socket, or when the queue dropped it. A packet
  // that the queue does not accept is reported as queued and dropped, but a
  // copy of a packet that waits already is not reported.
  void OnQueued(const FlowKey& key);
  void OnTransmitted(const FlowKey& key, TimePoint now);
  void OnQueueDropped(const FlowKey& key);
  bool HasQueued(const FlowKey& key) const { return m_queued.Contains(key); }
  // Every opening packet that was to be forwarded had been passed to the kernel
  // by `sent_at`; none waits in a queue of this process. Until then it holds
  // its place in the share of a warm-up. Must be called as often as
  // OnDrained().
  void OnOpeningsSent(TimePoint sent_at) {
    m_warm_up_limiter.OnAllSent(sent_at);
  }
  // This process or its kernel dropped packets. Those forwarded so far say
  // nothing about targets.
  void OnPacketsDropped() { m_progress.OnPacketsDropped(); }
  // Removes idle flow records, times out requests and reports health changes of
  // targets. Returns the probes of open flows at whose target's address another
  // process has become known since the last call. Call every 250 ms.
  std::vector<FlowProbe> Sweep(TimePoint now);

  std::size_t flow_count() const { return m_flows.size(); }       // NOLINT
  const FlowPlacement& placement() const { return m_placement; }  // NOLINT
  const RouteTable& routes() const { return m_routes; }           // NOLINT
  const WarmUpCounts& warm_up_counts() const {                    // NOLINT
    return m_warm_up_counts;
  }
  // Number of targets that may not take a new flow now for their warm-up.
  std::size_t CountWithheld(TimePoint now) const;
  const EvacuationTable& evacuations() const {  // NOLINT
    return m_evacuations.table();
  }

 private:
  // A header of the platform's packets, or of IP and TCP, fits in.
  static constexpr std::size_t kMaxProbeBytes = 40;
  // A process, by its target's number and its start.
  using ProcessKey = std::pair<std::uint64_t, std::uint64_t>;

  struct Flow {
    std::uint64_t target = 0;
    // The sequence number of the opening packet, if the flow was placed here.
    std::optional<std::uint32_t> opening_sequence;
    bool is_open = false;
    bool is_closed = false;   // The caller has sent its last data.
    bool is_waiting = false;  // A request has no answer yet.
    bool is_counted = false;  // The placement counts the pending request.
    // The flow's last packet has data that was not sent before, or opens it.
    bool is_first_send = false;
    // The placement counts the pending request since that packet.
    bool is_counted_since = false;
    // Packets that the queue for the link dropped and that the caller has not
    // sent again.
    std::uint8_t dropped_here = 0;
    std::uint32_t cookie = 0;  // As last sent to the target.
    // The process that was taken for the one at the flow's address when the
    // flow was last forwarded or probed.
    ProcessKey occupant;
    // The caller's last packet without data, if it is no larger than this.
    std::array<std::uint8_t, kMaxProbeBytes> last_bare{};
    std::uint8_t last_bare_bytes = 0;
    std::uint32_t request_bytes = 0;  // Of the latest request, without copies.
    std::uint32_t acknowledged = 0;
    std::uint32_t data_end = 0;  // Sequence number after the last data byte.
    // The round in which the last copy of the request was forwarded that counts
    // as evidence.
    std::uint64_t sent_round = 0;
    TimePoint opened_at;   // Hand-over of the first opening packet.
    TimePoint request_at;  // Hand-over of the latest new data.
    TimePoint seen_at;
  };
  struct HashFlowKey {
    std::size_t operator()(const FlowKey& key) const { return key.Hash(); }
  };

  Forwarding ForwardWithoutRoute(const FlowPacket& packet) const;
  Forwarding ForwardOpening(const FlowPacket& packet, TimePoint now);
  void RecordOpening(const FlowPacket& packet,
                     const TargetDirectory::Entry& entry, TimePoint now);
  Forwarding ForwardOpeningCopy(const FlowPacket& packet, Flow* flow,
                                TimePoint now);
  Forwarding ForwardEstablished(const FlowPacket& packet, TimePoint now);
  static PacketCopy CopyFor(const TargetDirectory::Location& location,
                            const TargetDirectory::Location& occupant);
  static void KeepBarePacket(const FlowPacket& packet, Flow* flow);
  std::vector<FlowProbe> ProbeFlowsOfNewOccupants();
  Forwarding ForwardTo(const TargetDirectory::Entry& entry, const FlowKey& key,
                       ForwardReason reason) const;
  Forwarding Drop(const FlowPacket& packet, ForwardReason reason) const;
  Forwarding MakeReset(const FlowPacket& packet, ForwardReason reason) const;
  const std::vector<PlacementTarget>& TargetsInPool(const std::string& pool,
                                                    TimePoint now);
  bool HasValidLease(const TargetDirectory::Entry& entry) const;
  void RebuildTargetLists(TimePoint now);
  bool IsWarmingUp(const TargetDirectory::Entry& entry) const;
  std::optional<std::uint32_t> WarmUpShareFor(
      const TargetDirectory::Entry& entry) const;
  const std::vector<PlacementTarget>& WithoutWithheld(
      const std::vector<PlacementTarget>& targets, TimePoint now);
  bool TakeWarmUpShare(const TargetDirectory::Entry& entry, TimePoint now);
  ForwardReason ReasonForNoTarget(const std::vector<PlacementTarget>& known);
  void AddRemovedRoute(const Endpoint& address);
  ForwardReason UpdateFlow(const FlowPacket& packet, const ProcessKey& process,
                           TimePoint now);
  void OpenFlow(const FlowPacket& packet, std::uint64_t target,
                bool is_placed_here, Flow* flow, TimePoint now);
  void UpdateRequestState(const FlowPacket& packet, Flow* flow, TimePoint now);
  void OnRetransmittedRequest(const FlowPacket& packet, Flow* flow,
                              TimePoint now);
  bool ReplacesDropped(const FlowKey& key, Flow* flow) const;
  void OnOpeningSent(Flow* flow, TimePoint now);
  void OnRequestSent(const FlowKey& key, Flow* flow, TimePoint now);
  void EndRequest(Flow* flow);
  void ExpireFlows(TimePoint now);
  void ReportHealthChanges(TimePoint now);
  void ReportHealth(TargetHealthEvent health_event,
                    const TargetDirectory::Entry& entry, TimePoint now) const;
  void CloseFlow(const FlowKey& key, std::uint64_t target, TimePoint now);
  void RemoveFlow(const FlowKey& key);

  CookieBalancerSettings m_settings;
  const TargetDirectory* m_directory;
  Hooks m_hooks;
  FlowPlacement m_placement;
  EvacuationFilter m_evacuations;
  RouteTable m_routes;  // Version 0 before the first one.
  // Addresses whose route was removed since this process started.
  std::unordered_set<Endpoint, EndpointHash> m_removed_routes;
  std::unordered_map<FlowKey, Flow, HashFlowKey> m_flows;
  ReadProgress m_progress;
  QueuedFlows m_queued;
  std::set<std::uint64_t> m_lost;       // Targets last reported as lost.
  std::set<std::uint64_t> m_silent;     // Targets last reported as silent.
  std::uint64_t m_probed_revision = 0;  // Of the directory's occupants.
  TimePoint m_health_reported_at;
  // Targets that may take new flows, by pool; rebuilt periodically.
  std::unordered_map<std::string, std::vector<PlacementTarget>> m_targets;
  std::uint64_t m_targets_revision = 0;
  std::uint64_t m_targets_evacuations = 0;  // Their version.
  TimePoint m_targets_built_at;
  // The shares of the targets in m_targets whose warm-up is limited; 0 if this
  // balancer has none.
  std::unordered_map<std::uint64_t, std::uint32_t> m_warm_up_shares;
  WarmUpLimiter m_warm_up_limiter;
  WarmUpCounts m_warm_up_counts;
  std::vector<PlacementTarget> m_eligible;  // Result of WithoutWithheld().
};

}  // namespace sardinelead

#endif  // SARDINELEAD_COOKIE_BALANCER_H_
