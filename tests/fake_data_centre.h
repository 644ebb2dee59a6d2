#ifndef SARDINELEAD_TESTS_FAKE_DATA_CENTRE_H_
#define SARDINELEAD_TESTS_FAKE_DATA_CENTRE_H_

// Simulates a data centre in virtual time: in-process balancers with fakes at
// their interfaces. The fabric sprays packets over the balancers, the network
// delays messages, targets answer, callers retransmit unacknowledged segments,
// and updates reach balancers seconds apart. Each packet is checked on arrival
// at a target or caller.

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sardinelead/flow_director.h"
#include "sardinelead/flow_repair.h"
#include "sardinelead/membership.h"

namespace sardinelead {

// Faults injected into forwarding decisions, which the checks must detect.
enum class FakeFault { kNone, kComputeTarget, kSkipStore, kNoServiceCheck };

struct FakeSettings {
  std::uint64_t seed = 1;
  std::uint32_t balancers = 9;
  std::vector<std::uint32_t> targets = {14, 4};  // Of each service.
  std::uint32_t callers = 1000;                  // Each has one flow at a time.
  Duration think_time = std::chrono::seconds(4);  // Mean time between segments.
  Duration flow_duration =
      std::chrono::seconds(60);  // Mean duration of a flow.
  Duration idle_time =
      std::chrono::seconds(2);  // Mean idle time between flows.
  Duration max_update_delay = std::chrono::seconds(5);
  double key_reuse = 0.3;  // Share of flows that reuse the previous key.
  FakeFault fault = FakeFault::kNone;
  FlowDirectorSettings director;
};

// The results of a run. The counts of violations are zero if all is well.
struct FakeReport {
  std::uint64_t opened = 0;        // Flows that were established.
  std::uint64_t delivered = 0;     // Packets at targets.
  std::uint64_t broken = 0;        // Flows reset or timed out, target alive.
  std::uint64_t crashed = 0;       // Flows ended by target crash or state loss.
  std::uint64_t two_targets = 0;   // Packets at a second target of a flow.
  std::uint64_t misdelivered = 0;  // Packets at another service's target.
  std::uint64_t doubled = 0;       // Packets that arrived twice.
  std::uint64_t wrong_answers =
      0;  // Answers at a caller that has moved to another flow.
  std::uint64_t relays = 0;
  std::uint64_t from_fabric = 0;
  double slowest_opening_s = 0;   // From first SYN to its answer.
  double slowest_reset_s = 0;     // From a crash to its caller's reset.
  double worst_control_rate = 0;  // Peak bytes/s of one balancer, over 10 s.
  std::map<std::string, std::uint64_t> drops;

  std::string ToString() const;
  std::uint64_t Violations() const {
    return two_targets + misdelivered + doubled + wrong_answers;
  }
};

class FakeDataCentre {
 public:
  explicit FakeDataCentre(const FakeSettings& settings);
  ~FakeDataCentre();

  // Starts the balancers, waits until all are ready, then starts the callers.
  void Begin();
  void RunFor(Duration duration);
  void At(Duration from_now, std::function<void()> action);
  TimePoint now() const { return m_now; }  // NOLINT

  void Kill(std::uint32_t balancer);
  void Start(std::uint32_t balancer);  // As a new incarnation.
  void Leave(std::uint32_t balancer);  // Stops it after handover.
  bool IsRunning(std::uint32_t balancer) const;
  bool IsFullyReady() const;  // All running balancers are ready and complete.
  const View& ViewOf(std::uint32_t balancer);
  // Whether messages and packets from one balancer to another are dropped.
  std::function<bool(std::uint32_t from, std::uint32_t to)> is_cut;

  std::size_t AddTarget(std::uint32_t service);
  void SetTargetState(std::size_t target, TargetState state);
  void Crash(std::size_t target);  // Marked dead within a second.
  // Drops the target's connections; it then ignores their packets silently.
  void ForgetConnections(std::size_t target);
  void Configure(const std::function<void(Configuration*)>& change);
  // Returns the number of established flows assigned to `target`.
  std::size_t FlowsAt(std::size_t target) const;
  FlowDirector* DirectorOf(std::uint32_t balancer);

  FakeReport Report() const;

 private:
  struct Balancer;
  struct FakeTarget;
  struct Caller;
  struct Packet;
  struct Event {
    TimePoint at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  Duration Random(Duration from, Duration to);
  Duration Exponential(Duration mean);
  void RunUntil(TimePoint end);
  void Tick(std::uint32_t balancer, std::uint64_t start);
  void Send(std::uint32_t from, const Outbox& outbox);
  tl::expected<TargetId, RefuseReason> Pick(Balancer* balancer,
                                            const Service& service);
  void PublishLater(Duration max_delay,
                    const std::function<void(Blackboard*)>& publish,
                    std::uint64_t Balancer::*newest);
  void PublishTargets(Duration max_delay);

  void Spray(const Packet& packet);
  void Handle(std::uint32_t balancer, Packet packet);
  void Apply(std::uint32_t balancer, const Packet& packet,
             const FlowOutcome& outcome);
  // Returns whether an injected fault handled the packet.
  bool ApplyFault(const Packet& packet, const FlowOutcome& outcome);
  void Deliver(const Packet& packet, const Endpoint& tunnel);
  void DeliverTo(const Packet& packet, std::size_t target);
  void Check(const Packet& packet, std::size_t target);
  void Answer(const Packet& packet, std::size_t target, PacketKind kind);

  void Open(std::size_t caller);
  void NextSegment(std::size_t caller, std::uint64_t flow_id);
  void Transmit(std::size_t caller, PacketKind kind, int attempt);
  void OnAnswer(const Packet& packet);
  void OnReset(const FlowKey& key);
  void End(std::size_t caller);
  void CountBroken(std::size_t caller);

  FakeSettings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_now;
  std::uint64_t m_order = 0;
  std::priority_queue<Event> m_events;
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  std::vector<std::unique_ptr<FakeTarget>> m_targets;
  std::map<Endpoint, std::size_t> m_target_by_tunnel;
  std::vector<Caller> m_callers;
  std::map<FlowKey, std::size_t, bool (*)(const FlowKey&, const FlowKey&)>
      m_caller_by_key;
  Configuration m_configuration;
  // The services that have owned an address, and from when.
  std::map<Endpoint, std::vector<std::pair<TimePoint, ServiceId>>> m_owners;
  std::uint64_t m_transmissions = 0;
  std::vector<bool> m_seen;  // Transmissions that reached a target.
  // By flow id: the time of its first packet, and the index of its target + 1.
  std::vector<std::pair<TimePoint, std::size_t>> m_flows;
  std::map<FlowKey, std::size_t, bool (*)(const FlowKey&, const FlowKey&)>
      m_last_target;  // For FakeFault::kNoServiceCheck.
  TimePoint m_started_at;
  FakeReport m_report;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TESTS_FAKE_DATA_CENTRE_H_
