// Measures how the costs of flow records grow with flows, and those of
// membership with the balancers of one cell: memory, bytes sent and processor
// time per second on a node.

#include <map>
#include <memory>
#include <vector>

#include "sardinelead/flow_director.h"
#include "sardinelead/flow_repair.h"
#include "sardinelead/membership.h"
#include "slope.h"

namespace sardinelead::bench {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(50);
constexpr std::size_t kHeaderBytes = 40;  // IP, UDP and link headers.

std::shared_ptr<Configuration> MakeConfiguration() {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ConfigVersion{1};
  configuration->workspaces["w"] = Workspace{"w", 1, {}};
  Service service;
  service.id = ServiceId{1};
  service.name = "s";
  service.workspace = "w";
  service.address = Endpoint{IpAddress::FromV4(0x0a000001), 443};
  configuration->services["w/s"] = service;
  configuration->BuildIndex();
  return configuration;
}

std::shared_ptr<TargetSnapshot> MakeTargets() {
  Target target;
  target.service = ServiceId{1};
  target.tunnel = Endpoint{IpAddress::FromV4(0x0b000001), 6080};
  target.incarnation = Incarnation{1};
  target.id = MakeTargetId(target.service, target.tunnel, target.incarnation);
  return std::make_shared<TargetSnapshot>(std::vector<Target>{target});
}

PacketInfo OpeningPacket(std::uint32_t flow) {
  constexpr std::uint32_t kPorts = 50000;
  PacketInfo packet;
  packet.key.caller = Endpoint{IpAddress::FromV4(0x0c000000 + flow / kPorts),
                               static_cast<std::uint16_t>(flow % kPorts)};
  packet.key.service = Endpoint{IpAddress::FromV4(0x0a000001), 443};
  packet.kind = PacketKind::kTcpOpen;
  return packet;
}

// The flow and membership components of one balancer.
class Node {
 public:
  Node(NodeId self, const std::vector<NodeId>& seeds, std::size_t max_flows)
      : m_director(DirectorSettings(self, max_flows), PickSingleTarget(),
                   [](const FlowEvent&) {}),
        m_repair(RepairSettings(self), &m_director, &m_board),
        m_membership(MemberSettings(self, seeds), &m_board,
                     [this] { return m_repair.Report(); }),
        m_reader(&m_board) {
    m_board.configuration.Publish(MakeConfiguration());
    m_board.targets.Publish(MakeTargets());
  }

  Outbox OnMessage(NodeId from, const OutgoingMessage& message, TimePoint now) {
    if (message.kind == MessageKind::kFlowRepair) {
      return m_repair.OnMessage(from, message.body, now);
    }
    return m_membership.OnMessage(from, message.body, now);
  }

  Outbox OnTick(TimePoint now) {
    Outbox out = m_membership.OnTick(now);
    for (OutgoingMessage& message : m_repair.OnTick(now)) {
      out.push_back(std::move(message));
    }
    m_director.OnTick(&m_reader, now);
    return out;
  }

  FlowOutcome OnPacket(const PacketInfo& packet, const RelayHeader* relay,
                       TimePoint now) {
    return m_director.OnPacket(&m_reader, packet, relay, now);
  }

  FlowCounts Counts() const { return m_director.Counts(); }
  std::uint64_t pulled() const {  // NOLINT
    return m_repair.records_pulled();
  }

 private:
  static FlowDirectorSettings DirectorSettings(NodeId self, std::size_t flows) {
    FlowDirectorSettings settings;
    settings.self = self;
    settings.max_flows = flows;
    settings.max_opening_share = 1;
    settings.opening_timeout = std::chrono::hours(1);
    return settings;
  }
  static PickTarget PickSingleTarget() {
    const TargetId only = MakeTargets()->all().front().id;
    return [only](const FlowKey&, const Service&, TimePoint) { return only; };
  }
  static FlowRepairSettings RepairSettings(NodeId self) {
    FlowRepairSettings settings;
    settings.self = self;
    return settings;
  }
  static MembershipSettings MemberSettings(NodeId self,
                                           const std::vector<NodeId>& seeds) {
    MembershipSettings settings;
    settings.self = self;
    settings.incarnation = Incarnation{1};
    settings.seeds = seeds;
    return settings;
  }

  Blackboard m_board;
  FlowDirector m_director;
  FlowRepair m_repair;
  Membership m_membership;
  BlackboardReader m_reader;
};

// The balancers of a cell; messages are delivered without delay.
class Cell {
 public:
  Cell(std::uint32_t nodes, std::size_t max_flows) : m_max_flows(max_flows) {
    std::vector<NodeId> seeds;
    for (std::uint32_t i = 1; i <= nodes; ++i) seeds.push_back(NodeId{i});
    for (const NodeId id : seeds) Add(id, seeds);
  }

  void Add(NodeId id, const std::vector<NodeId>& seeds) {
    m_nodes[id] = std::make_unique<Node>(id, seeds, m_max_flows);
  }

  void Run(Duration span) {
    const TimePoint end = m_now + span;
    for (; m_now < end; m_now += kTick) {
      for (auto& [id, node] : m_nodes) Deliver(id, node->OnTick(m_now));
    }
  }

  void Open(std::uint32_t flows) {
    for (std::uint32_t flow = 0; flow < flows; ++flow) {
      const PacketInfo packet = OpeningPacket(flow);
      NodeId at = m_nodes.begin()->first;
      FlowOutcome outcome = m_nodes[at]->OnPacket(packet, nullptr, m_now);
      while (outcome.action == FlowAction::kRelay) {
        const RelayHeader relay = outcome.relay;
        at = outcome.relay_to;
        outcome = m_nodes[at]->OnPacket(packet, &relay, m_now);
      }
    }
  }

  double TakeBytes(MessageKind kind) {
    return static_cast<double>(std::exchange(m_bytes[kind], 0));
  }
  Node& At(NodeId id) { return *m_nodes[id]; }

 private:
  void Deliver(NodeId from, const Outbox& out) {
    for (const OutgoingMessage& message : out) {
      m_bytes[message.kind] += message.body.size() + kHeaderBytes;
      const auto to = m_nodes.find(message.to);
      if (to == m_nodes.end()) continue;
      Deliver(message.to, to->second->OnMessage(from, message, m_now));
    }
  }

  std::size_t m_max_flows;
  std::map<NodeId, std::unique_ptr<Node>> m_nodes;
  std::map<MessageKind, std::size_t> m_bytes;
  TimePoint m_now = TimePoint{} + std::chrono::hours(1);
};

constexpr std::size_t kFewFlows = 1024;
constexpr Duration kSettle = std::chrono::seconds(10);
constexpr Duration kMeasureDuration = std::chrono::seconds(20);
constexpr std::uint32_t kRepairNodes = 3;

double RecordBytes(double flows) {
  const auto count = static_cast<std::uint32_t>(flows);
  Cell cell(1, count);
  cell.Run(kSettle);
  cell.Open(count);
  return static_cast<double>(cell.At(NodeId{1}).Counts().bytes);
}

double MembershipBytes(double nodes) {
  Cell cell(static_cast<std::uint32_t>(nodes), kFewFlows);
  cell.Run(kSettle);
  cell.TakeBytes(MessageKind::kMembership);
  cell.Run(kMeasureDuration);
  return cell.TakeBytes(MessageKind::kMembership) / nodes /
         std::chrono::duration<double>(kMeasureDuration).count();
}

double MembershipNanoseconds(double nodes) {
  Cell cell(static_cast<std::uint32_t>(nodes), kFewFlows);
  cell.Run(kSettle);
  const double before = ThreadNanoseconds();
  cell.Run(kMeasureDuration);
  return (ThreadNanoseconds() - before) / nodes /
         std::chrono::duration<double>(kMeasureDuration).count();
}

// Repair bytes sent when a fourth member joins three that hold `flows`, scaled
// from the records it pulled to all flows.
double RepairBytes(double flows) {
  const auto count = static_cast<std::uint32_t>(flows);
  Cell cell(kRepairNodes, std::size_t{count} * 2);
  cell.Run(kSettle);
  cell.Open(count);
  cell.TakeBytes(MessageKind::kFlowRepair);
  const NodeId joiner{kRepairNodes + 1};
  cell.Add(joiner, {NodeId{1}, NodeId{2}, NodeId{3}, joiner});
  constexpr Duration kMaxDuration = std::chrono::minutes(10);
  constexpr Duration kStep = std::chrono::seconds(10);
  for (Duration ran{0}; ran < kMaxDuration; ran += kStep) {
    const std::uint64_t before = cell.At(joiner).pulled();
    cell.Run(kStep);
    if (before > 0 && cell.At(joiner).pulled() == before) break;
  }
  const double pulled = static_cast<double>(cell.At(joiner).pulled());
  return cell.TakeBytes(MessageKind::kFlowRepair) * flows / pulled;
}

// Processor time per second of the sweep over the records in use.
double SweepNanoseconds(double flows) {
  const auto count = static_cast<std::uint32_t>(flows);
  Cell cell(1, std::size_t{count} * 2);
  cell.Run(kSettle);
  cell.Open(count);
  const double before = ThreadNanoseconds();
  cell.Run(kMeasureDuration);
  return (ThreadNanoseconds() - before) /
         std::chrono::duration<double>(kMeasureDuration).count();
}

void Run(const std::vector<std::uint64_t>& /*seeds*/, FigureSink* sink) {
  PrintSlope("flow_record_heap", "B", {1e3, 1e4, 1e5, 1e6}, RecordBytes, sink);
  PrintSlope("flow_sweep_time", "ns/s", {1e4, 3e4, 1e5, 3e5}, SweepNanoseconds,
             sink);
  PrintSlope("flow_repair_bytes", "B", {300, 1000, 3000, 10000}, RepairBytes,
             sink);
  const std::vector<double> nodes = {5, 9, 12, 16, 32};
  PrintSlope("membership_bytes_per_member", "B/s", nodes, MembershipBytes,
             sink);
  PrintSlope("membership_time_per_member", "ns/s", nodes, MembershipNanoseconds,
             sink);
}

const Registration kRegistration("capacity", Run);

}  // namespace
}  // namespace sardinelead::bench
