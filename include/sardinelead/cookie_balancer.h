#ifndef SARDINELEAD_COOKIE_BALANCER_H_
#define SARDINELEAD_COOKIE_BALANCER_H_

// Forwards packets of flows whose ends echo a cookie.
//
// Where callers return 32 bits that the balancer wrote, every packet but the
// first names its target itself: any balancer that knows the target forwards
// it, without a record of the flow or a word to another balancer. The packet
// goes with the target's own number, and the target drops what is not for it,
// so a packet cannot reach another service, however old a balancer's view is.
//
// The opening packet is placed by FlowPlacement. If no answer to it is seen,
// it is sent once more to another target before the caller itself repeats it;
// the flow opens at the target whose answer the caller takes.
//
// What the balancer remembers of flows (m_flows) only counts: how busy targets
// are, which of them answer. It may be lost at any time.
//
//   Forwarding f = balancer.OnPacket(packet, datagram, now);
//   for (Forwarding& f : balancer.OnTick(now)) ...
//
// docs/design/platform.md weighs this against flow records. Sans-I/O, for one
// thread. Cost of a packet: a few hash lookups; of an opening one, a pass over
// the pool's targets. Memory: some 150 bytes a flow that was seen of late.

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

// A packet of a caller, as far as balancing needs it.
struct FlowPacket {
  FlowKey flow;
  bool opens = false;         // The caller's opening packet.
  bool acknowledges = false;  // `acknowledged` holds.
  bool finishes = false;
  bool resets = false;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;  // On an opening packet, which copy it is.
  std::uint32_t cookie = 0;        // As the caller returned it; 0 for none.
  std::uint16_t length = 0;        // Of its data.
};

enum class ForwardAction : std::uint8_t {
  kForward,
  kReset,
  kDrop,
  kHold,  // To be tried again once more is known of routes and targets.
};

// Why a packet was not forwarded, or how it was.
enum class ForwardReason : std::uint8_t {
  kPlaced,       // A new flow at a target chosen now.
  kPlacedAgain,  // An opening packet without an answer, at another target.
  kByCookie,
  kNoRoute,        // The address has no route.
  kRouteRemoved,   // It had one.
  kNoTarget,       // The pool has no target to use.
  kUnknownCookie,  // No target is known by it.
  kTargetEnded,    // The flow's target is gone.
  kTargetLost,     // Nothing reaches the flow's target.
  kNotReady,       // No routes are known yet.
  kCount,
};
const char* Name(ForwardReason reason);

struct Forwarding {
  ForwardAction action = ForwardAction::kDrop;
  ForwardReason reason = ForwardReason::kNotReady;
  FlowKey flow;
  std::uint64_t target = 0;  // For kForward.
  Endpoint address;          // For kForward: where the target receives.
  std::uint32_t cookie = 0;  // To write into the packet.
  // For kReset: a sequence number that the caller takes.
  std::uint32_t reset_sequence = 0;
  Bytes held;  // From OnTick(): the opening packet to send.
};

// What the balancer came to believe of a target, for logs.
enum class TargetBelief : std::uint8_t {
  kLost,     // Its callers repeat requests and it answers nothing.
  kAnswers,  // It was lost and answers again.
  kSilent,   // Its lease ended: it told no control VM that it lives.
  kHeard,    // It was silent and says again that it lives.
};
const char* Name(TargetBelief belief);

struct TargetJudgement {
  TargetBelief belief = TargetBelief::kLost;
  std::uint64_t target = 0;
  Endpoint address;
  std::string pool;
  Duration unheard{0};  // Since its newest word, in covered time.
  // Since it last answered a flow of this balancer; empty where it never did.
  std::optional<Duration> unanswered;
  std::uint32_t repeats = 0;
};

// How long one step of a flow took, as the balancer sees it.
enum class FlowStep : std::uint8_t {
  kOpening,  // From the opening packet to the caller's next one.
  kAnswer,   // From a request to the caller's first word on its answer.
};

struct FlowTiming {
  FlowStep step = FlowStep::kOpening;
  std::uint64_t target = 0;
  Duration duration{0};
};

struct CookieBalancerSettings {
  std::string data_centre;
  PlacementSettings placement;
  // A target that was silent for so long takes no new flows.
  Duration lease = std::chrono::milliseconds(3500);
  // Flows of a target that ended are told so this long after; until then it may
  // still finish what it has.
  Duration end_grace = std::chrono::milliseconds(1500);
  // A request without an answer, or a repeat, for this long goes through
  // another balancer by now, or was given up. Longer than full queues take.
  Duration request_memory = std::chrono::milliseconds(1200);
  // A record of a flow without packets is forgotten after this long.
  Duration flow_memory = std::chrono::seconds(20);
  std::size_t max_flows = 200'000;
};

class CookieBalancer {
 public:
  struct Hooks {
    std::function<std::uint64_t()> random;
    // The directory's time; see FeedFollower::CoveredTime.
    std::function<TimePoint()> covered_time;
    std::function<std::size_t()> balancers;  // That share the data centre.
    // Whether not all control VMs were heard yet since the start.
    std::function<bool()> is_gathering;
    std::function<void(const TargetJudgement& judgement)> on_judgement;
    std::function<void(const FlowTiming& timing)> on_timing;
  };

  // Keeps `directory`.
  CookieBalancer(CookieBalancerSettings settings,
                 const TargetDirectory* directory, Hooks hooks);

  // A table that is not newer than the one in force is ignored.
  void SetRoutes(RouteTablePtr routes);
  // `datagram` is kept where the packet opens a flow, to be sent again.
  Forwarding OnPacket(const FlowPacket& packet, ByteView datagram,
                      TimePoint now);
  // Opening packets to send to another target now. To be called at NextTick().
  std::vector<Forwarding> OnTick(TimePoint now);
  // To be called every 50 ms: a process that was not run for long cannot tell
  // how long others were silent.
  void OnPulse(TimePoint now);
  // Resets of flows whose target was found to be lost since the last call.
  std::vector<Forwarding> TakeResets();
  // When an opening packet will have waited too long; empty where none waits.
  std::optional<TimePoint> NextTick() const;
  // Forgets flows and requests without packets. To be called every
  // 250 ms.
  void Sweep(TimePoint now);

  std::size_t flow_count() const { return m_flows.size(); }       // NOLINT
  const FlowPlacement& placement() const { return m_placement; }  // NOLINT

 private:
  struct Flow {
    std::uint64_t target = 0;
    bool is_open = false;
    bool is_waiting = false;  // For the answer to a request.
    std::uint32_t acknowledged = 0;
    std::uint32_t data_end = 0;  // Sequence number after the newest data.
    bool is_repeating = false;   // Its request, which nothing acknowledged.
    bool may_repeat = false;     // By the kind of its route.
    TimePoint opened_at;         // When its first opening packet came.
    TimePoint request_at;        // When the newest data came.
    TimePoint seen_at;
    std::vector<std::uint64_t> tried;  // While it opens.
    Bytes opening_packet;              // While it opens and may be sent again.
  };
  struct HashFlowKey {
    std::size_t operator()(const FlowKey& key) const { return key.Hash(); }
  };
  struct Retry {
    TimePoint at;
    FlowKey flow;
    std::uint64_t target = 0;
  };

  Forwarding OnOpening(const FlowPacket& packet, ByteView datagram,
                       TimePoint now);
  Forwarding OnOther(const FlowPacket& packet, TimePoint now);
  const TargetDirectory::Entry* TargetOf(const FlowPacket& packet) const;
  Forwarding PlaceFlow(const FlowKey& key, const Route& route, Flow* flow,
                       ForwardReason reason, TimePoint now);
  Forwarding MakeReset(const FlowPacket& packet, ForwardReason reason) const;
  const std::vector<PlacementTarget>& TargetsOf(const std::string& pool,
                                                TimePoint now);
  bool HasLease(const TargetDirectory::Entry& entry) const;
  void ListTargets();
  void Track(const FlowPacket& packet, std::uint64_t target, TimePoint now);
  void TrackData(const FlowPacket& packet, Flow* flow, TimePoint now);
  void TrackRepeat(Flow* flow, TimePoint now);
  void ResetFlowsOf(std::uint64_t target);
  void JudgeTargets(TimePoint now);
  void Tell(TargetBelief belief, const TargetDirectory::Entry& entry,
            TimePoint now) const;
  void Forget(const FlowKey& key);

  CookieBalancerSettings m_settings;
  const TargetDirectory* m_directory;
  Hooks m_hooks;
  FlowPlacement m_placement;
  RouteTablePtr m_routes;
  // Addresses that lost their route while this process ran.
  std::unordered_set<Endpoint, EndpointHash> m_removed_routes;
  std::unordered_map<FlowKey, Flow, HashFlowKey> m_flows;
  std::vector<Retry> m_retries;  // In order of time.
  std::vector<Forwarding> m_resets;
  std::set<std::uint64_t> m_lost;    // Targets, as last told.
  std::set<std::uint64_t> m_silent;  // Targets, as last told.
  TimePoint m_judged_at;
  TimePoint m_pulse_at;
  TimePoint m_trusted_since;  // No pulse was late since.
  // Targets that may take flows, by pool, made anew after a while.
  std::unordered_map<std::string, std::vector<PlacementTarget>> m_targets;
  std::uint64_t m_targets_revision = 0;
  TimePoint m_targets_made_at;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_COOKIE_BALANCER_H_
