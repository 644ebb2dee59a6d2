#ifndef SARDINELEAD_BALANCER_H_
#define SARDINELEAD_BALANCER_H_

// A complete balancer without socket I/O, for use by an embedder.
//
//   Balancer balancer(options, &blackboard, hooks);
//   // On each packet thread:
//   auto worker = balancer.MakeWorker();
//   PacketOutcome outcome =
//       worker->OnPacket(Ingress::kFabric, datagram, source, now);
//   if (outcome.is_sent) Send(outcome.to, outcome.head, outcome.body);
//   // On one other thread:
//   Send(balancer.OnMessage(from, kind, body, now));
//   BalancerTick tick = balancer.OnTick(now);  // every 50 ms
//
// Workers may run concurrently, each on its own thread. All other methods must
// be called from a single thread, unless stated otherwise.

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/admission.h"
#include "sardinelead/blackboard.h"
#include "sardinelead/config_follower.h"
#include "sardinelead/flow_director.h"
#include "sardinelead/flow_repair.h"
#include "sardinelead/health.h"
#include "sardinelead/membership.h"
#include "sardinelead/message.h"
#include "sardinelead/metrics.h"
#include "sardinelead/packet.h"
#include "sardinelead/relay.h"
#include "sardinelead/target_policy.h"
#include "sardinelead/target_registry.h"
#include "sardinelead/types.h"

namespace sardinelead {

// The constructor copies `self` and `incarnation` into the settings of each
// component, so they need to be set only here.
struct BalancerOptions {
  NodeId self;
  Incarnation incarnation;
  RelayKey relay_key{};
  // The fabric endpoint that packets for callers are sent to.
  Endpoint egress;
  FlowDirectorSettings flows;
  MembershipSettings membership;
  FlowRepairSettings repair;
  TargetRegistrySettings targets;
  TargetPolicySettings policy;
  HealthSettings health;
  AdmissionSettings admission;
  ConfigFollowerSettings config;
};

struct BalancerHooks {
  std::function<std::uint64_t()> random;
  // Returns whether `token` may announce targets of `workspace`.
  std::function<bool(const std::string& workspace, const std::string& token)>
      authorize;
};

// The forwarding decision for one packet.
struct PacketOutcome {
  bool is_sent = false;
  DropReason reason = DropReason::kUncertain;  // Valid if not sent.
  Endpoint to;
  // The datagram to send is `head` followed by `body`. `head` points into the
  // worker and is valid until its next call; `body` points into the received
  // datagram. Either may be empty.
  ByteView head;
  ByteView body;
};

struct PacketCounts {
  std::array<std::uint64_t, kIngressCount> received{};
  std::array<std::uint64_t, static_cast<std::size_t>(DropReason::kCount)>
      dropped{};
  std::uint64_t to_targets = 0;
  std::uint64_t to_callers = 0;
  std::uint64_t relayed = 0;
  std::uint64_t resets = 0;

  std::uint64_t Dropped(DropReason reason) const {
    return dropped[static_cast<std::size_t>(reason)];
  }
};

class Balancer;

// The per-thread packet processing state of a balancer.
class PacketWorker {
 public:
  explicit PacketWorker(Balancer* balancer);
  ~PacketWorker();
  PacketWorker(const PacketWorker&) = delete;
  PacketWorker& operator=(const PacketWorker&) = delete;

  // The maximum number of packets in a batch.
  static constexpr std::size_t kMaxBatchSize = 64;

  // `source` is the sender of the datagram: for an answer, the target's tunnel
  // endpoint.
  PacketOutcome OnPacket(Ingress ingress, ByteView datagram,
                         const Endpoint& source, TimePoint now) {
    Read(0, ingress, datagram);
    return Decide(0, source, now);
  }
  // The two stages of OnPacket, for batches: read all packets, then decide all.
  // Memory of the flow records is then prefetched while other packets are read.
  // Requires slot < kMaxBatchSize; each Read must be followed by one Decide.
  void Read(std::size_t slot, Ingress ingress, ByteView datagram);
  PacketOutcome Decide(std::size_t slot, const Endpoint& source, TimePoint now);
  // Thread-safe.
  PacketCounts Counts() const;

 private:
  // Only the worker's thread writes the counters, so increments need no atomic
  // read-modify-write.
  struct AtomicCounts;

  // A parsed packet that awaits its forwarding decision.
  struct ParsedPacket {
    Ingress ingress = Ingress::kFabric;
    bool is_relayed = false;
    bool is_answer = false;
    RelayHeader relay;
    ByteView packet;
    PacketInfo info;
    std::optional<DropReason> refusal;
  };

  PacketOutcome Forward(const ParsedPacket& read, const Endpoint& source,
                        TimePoint now);
  PacketOutcome Act(const FlowOutcome& outcome, const PacketInfo& info,
                    ByteView packet);
  PacketOutcome Relay(const FlowOutcome& outcome, ByteView packet);
  PacketOutcome Reset(const FlowOutcome& outcome, const PacketInfo& info,
                      ByteView packet);
  bool IsOverLimit(const FlowKey& key, TimePoint now);

  Balancer* m_balancer;
  BlackboardReader m_board;
  RelayCodec m_codec;
  RelayHeaderBytes m_relay_header{};
  Bytes m_reset;
  const Configuration* m_known_configuration = nullptr;
  bool m_has_packet_limits = false;
  std::array<ParsedPacket, kMaxBatchSize> m_batch;
  std::unique_ptr<AtomicCounts> m_counts;
};

// The output of a tick.
struct BalancerTick {
  Outbox messages;
  // Complete IP packets for callers, to be sent to `egress`.
  std::vector<Bytes> to_callers;
};

class Balancer {
 public:
  // `blackboard` must outlive the balancer.
  Balancer(BalancerOptions options, Blackboard* blackboard,
           BalancerHooks hooks);
  ~Balancer();
  Balancer(const Balancer&) = delete;
  Balancer& operator=(const Balancer&) = delete;

  // The worker must not outlive the balancer.
  std::unique_ptr<PacketWorker> MakeWorker();

  // `from` must have been authenticated by the transport.
  Outbox OnMessage(NodeId from, MessageKind kind, ByteView body, TimePoint now);
  // Must be called every 50 ms.
  BalancerTick OnTick(TimePoint now);

  // Starts handing flows over to other members. The balancer continues to
  // forward packets and to accept announcements.
  void Leave();
  // After Leave(), returns whether the other members hold every flow record
  // that this node holds.
  bool IsHandoverComplete() const;

  // Targets announce themselves to the registry. The owner of the balancer must
  // run the active health checks.
  TargetRegistry* targets() { return &m_registry; }  // NOLINT
  Health* health() { return &m_health; }             // NOLINT
  // Accessors for operator interfaces.
  const Blackboard& blackboard() const { return *m_blackboard; }     // NOLINT
  const BalancerOptions& options() const { return m_options; }       // NOLINT
  Metrics* metrics() { return &m_metrics; }                          // NOLINT
  const ConfigFollower& config() const { return m_config; }          // NOLINT
  FlowCounts flows() const { return m_director.Counts(); }           // NOLINT
  RecordCompleteness holdings() const { return m_repair.Report(); }  // NOLINT
  PacketCounts packets() const;                                      // NOLINT
  bool is_leaving() const { return m_is_leaving; }                   // NOLINT

 private:
  friend class PacketWorker;

  static BalancerOptions CopyIdentity(BalancerOptions options);
  std::vector<NodeId> Peers() const;
  void TickTargets(TimePoint now, Outbox* out);
  void TickSecond(TimePoint now);
  void PublishCounts();
  void UnregisterWorker(const PacketWorker* worker);

  const BalancerOptions m_options;
  const BalancerHooks m_hooks;
  Blackboard* const m_blackboard;
  BlackboardReader m_board{m_blackboard};
  Metrics m_metrics;
  Admission m_admission;
  TargetPolicy m_policy;
  FlowDirector m_director;
  FlowRepair m_repair;
  Membership m_membership;
  Health m_health;
  TargetRegistry m_registry;
  ConfigFollower m_config;
  bool m_is_leaving = false;
  TimePoint m_next_second;
  // Guards m_workers and m_retired_counts.
  mutable std::mutex m_workers_mutex;
  std::vector<const PacketWorker*> m_workers;
  PacketCounts m_retired_counts;
  PacketCounts m_published;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_BALANCER_H_
