#ifndef SARDINELEAD_COOKIE_BALANCER_H_
#define SARDINELEAD_COOKIE_BALANCER_H_

// Forwards packets of flows in which the caller echoes a cookie.
//
// Callers echo a 32-bit cookie that the balancer wrote, so every packet after
// the first identifies its target. Any balancer that knows the target can
// forward the packet, without per-flow state and without contacting another
// balancer. The forwarded packet carries the target's number, and a target
// drops packets with another number, so a packet cannot reach the wrong service
// even if the balancer's directory is stale.
//
// FlowPlacement selects the target of the opening packet. If no answer is seen,
// the packet is sent once more, to another target, before the caller itself
// retransmits it; the flow opens at the target whose answer the caller accepts.
//
// The per-flow records (m_flows) are statistics only: the load of each target
// and whether it answers. Losing them at any time does not break flows.
//
//   Forwarding f = balancer.OnPacket(packet, datagram, now);
//   for (Forwarding& f : balancer.OnTick(now)) ...
//
// docs/design/platform.md compares this design with flow records. Performs no
// I/O itself. Not thread-safe. A packet costs a few hash lookups; an opening
// packet also costs one pass over the pool's targets. Memory: about 150 bytes
// per recently seen flow.

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "sardinelead/flow_placement.h"
#include "sardinelead/route_table.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/types.h"

namespace sardinelead {

// The fields of a caller's packet that load balancing needs.
struct FlowPacket {
  FlowKey flow;
  bool opens = false;         // The caller's opening packet.
  bool acknowledges = false;  // `acknowledged` is valid.
  bool finishes = false;
  bool resets = false;
  std::uint32_t sequence = 0;
  // The sequence number that the caller expects next. On an opening packet it
  // is instead the caller's number for this copy of the packet, which
  // CookieBalancer does not use.
  std::uint32_t acknowledged = 0;
  std::uint32_t cookie = 0;  // As echoed by the caller; 0 if absent.
  std::uint16_t length = 0;  // Payload length in bytes.
};

enum class ForwardAction : std::uint8_t {
  kForward,
  kReset,
  kDrop,
  kHold,  // Hold and retry after the next route or target update.
};

// Why the action was chosen.
enum class ForwardReason : std::uint8_t {
  kPlaced,       // New flow, placed at a newly chosen target.
  kPlacedAgain,  // Unanswered opening packet, sent to another target.
  kByCookie,
  kNoRoute,        // The address has no route.
  kRouteRemoved,   // The address had a route that was removed.
  kNoTarget,       // The pool has no usable target.
  kUnknownCookie,  // No known target has this cookie.
  kTargetEnded,    // The flow's target has ended.
  kTargetLost,     // The flow's target is marked as lost.
  kNotReady,       // No route table received yet.
  kCount,
};
const char* Name(ForwardReason reason);

struct Forwarding {
  ForwardAction action = ForwardAction::kDrop;
  ForwardReason reason = ForwardReason::kNotReady;
  FlowKey flow;
  std::uint64_t target = 0;  // For kForward.
  Endpoint address;          // For kForward: the target's receive address.
  std::uint32_t cookie = 0;  // To write into the packet.
  // For kReset: a sequence number that the caller accepts.
  std::uint32_t reset_sequence = 0;
  // The opening packet to send, if OnTick() returned this object; otherwise
  // empty.
  Bytes held;
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
  kOpening,  // From the opening packet to the caller's next one.
  kAnswer,   // From a request to the caller's first acknowledgement of its
             // answer.
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
  // Flows of an ended target are reset after this delay, which lets the target
  // finish requests in progress.
  Duration end_grace = std::chrono::milliseconds(1500);
  // A request with neither an answer nor a retransmission for this long is
  // assumed to have moved to another balancer or to have been abandoned. Must
  // exceed the delay of full queues.
  Duration request_timeout = std::chrono::milliseconds(1200);
  // Flow records without packets are removed after this long.
  Duration flow_idle_timeout = std::chrono::seconds(20);
  std::size_t max_flows = 200'000;
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
  };

  // `directory` is not owned and must outlive this object.
  CookieBalancer(CookieBalancerSettings settings,
                 const TargetDirectory* directory, Hooks hooks);

  // Ignores a table that is not newer than the current one.
  void SetRoutes(RouteTablePtr routes);
  // Copies `datagram` if the packet opens a flow, so that it can be resent.
  Forwarding OnPacket(const FlowPacket& packet, ByteView datagram,
                      TimePoint now);
  // Returns opening packets to resend to another target now, and resets for the
  // flows of lost targets. Call at NextTick().
  std::vector<Forwarding> OnTick(TimePoint now);
  // Detects stalls of this process and reports health changes of targets. Call
  // every 50 ms. After a stall, the process cannot determine how long targets
  // have been silent.
  void OnStallCheck(TimePoint now);
  // The next deadline of an unanswered opening packet or a lost target; empty
  // if there is none.
  std::optional<TimePoint> NextTick() const;
  // Removes idle flow records and times out requests. Call every 250 ms.
  void Sweep(TimePoint now);

  std::size_t flow_count() const { return m_flows.size(); }       // NOLINT
  const FlowPlacement& placement() const { return m_placement; }  // NOLINT

 private:
  struct Flow {
    std::uint64_t target = 0;
    bool is_open = false;
    bool is_waiting = false;  // A request has no answer yet.
    std::uint32_t acknowledged = 0;
    std::uint32_t data_end = 0;  // Sequence number after the last data byte.
    bool is_retransmitting = false;  // The caller resends its request.
    bool may_retry = false;          // The route's requests may run twice.
    TimePoint opened_at;             // Arrival of the first opening packet.
    TimePoint request_at;            // Arrival of the latest new data.
    TimePoint seen_at;
    std::vector<std::uint64_t> tried;  // Targets tried while opening.
    Bytes opening_packet;              // Empty if it won't be resent.
  };
  struct HashFlowKey {
    std::size_t operator()(const FlowKey& key) const { return key.Hash(); }
  };
  struct Retry {
    TimePoint at;
    FlowKey flow;
    std::uint64_t target = 0;
  };
  // A lost target that has not answered the retransmitted packets yet.
  struct Confirmation {
    TimePoint at;  // When its flows are given up.
    std::uint64_t target = 0;
  };

  Forwarding ForwardOpening(const FlowPacket& packet, ByteView datagram,
                            TimePoint now);
  Forwarding ForwardEstablished(const FlowPacket& packet, TimePoint now);
  const TargetDirectory::Entry* FindTarget(const FlowPacket& packet) const;
  Forwarding PlaceFlow(const FlowKey& key, const Route& route, Flow* flow,
                       ForwardReason reason, TimePoint now);
  Forwarding MakeReset(const FlowPacket& packet, ForwardReason reason) const;
  const std::vector<PlacementTarget>& TargetsInPool(const std::string& pool,
                                                    TimePoint now);
  bool HasValidLease(const TargetDirectory::Entry& entry) const;
  void RebuildTargetLists();
  void UpdateFlow(const FlowPacket& packet, std::uint64_t target,
                  TimePoint now);
  void UpdateRequestState(const FlowPacket& packet, Flow* flow, TimePoint now);
  void OnRetransmittedRequest(Flow* flow, TimePoint now);
  void ResendOpeningPackets(TimePoint now, std::vector<Forwarding>* out);
  void GiveUpLostTargets(TimePoint now, std::vector<Forwarding>* out);
  void ResetFlowsOf(std::uint64_t target, std::vector<Forwarding>* out);
  bool HasStalledSince(TimePoint since, TimePoint now) const;
  void ReportHealthChanges(TimePoint now);
  void ReportHealth(TargetHealthEvent health_event,
                    const TargetDirectory::Entry& entry, TimePoint now) const;
  void RemoveFlow(const FlowKey& key);

  CookieBalancerSettings m_settings;
  const TargetDirectory* m_directory;
  Hooks m_hooks;
  FlowPlacement m_placement;
  RouteTablePtr m_routes;
  // Addresses whose route was removed since this process started.
  std::unordered_set<Endpoint, EndpointHash> m_removed_routes;
  std::unordered_map<FlowKey, Flow, HashFlowKey> m_flows;
  std::vector<Retry> m_retries;               // Ordered by time.
  std::vector<Confirmation> m_confirmations;  // Ordered by time.
  std::set<std::uint64_t> m_lost;             // Targets last reported as lost.
  std::set<std::uint64_t> m_silent;  // Targets last reported as silent.
  TimePoint m_health_reported_at;
  TimePoint m_last_stall_check;
  TimePoint m_last_stall_end;  // Request ages from before it are unreliable.
  // Targets that may take new flows, by pool; rebuilt periodically.
  std::unordered_map<std::string, std::vector<PlacementTarget>> m_targets;
  std::uint64_t m_targets_revision = 0;
  TimePoint m_targets_built_at;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_COOKIE_BALANCER_H_
