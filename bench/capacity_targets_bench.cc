// Measures how the costs of the target registry grow with targets and with
// balancers: memory, bytes sent and processor time per second on a node while
// the only events are lease renewals with changing load reports.

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sardinelead/target_registry.h"
#include "slope.h"

namespace sardinelead::bench {
namespace {

constexpr std::uint32_t kTargetsInService = 9;
constexpr Duration kTick = std::chrono::milliseconds(100);
constexpr Duration kRenewEvery = std::chrono::seconds(5);
// No byte budget, to measure the growth of the unthrottled traffic.
constexpr std::uint64_t kUnboundedBytes = 1'000'000'000;
constexpr std::size_t kHeaderBytes = 40;  // IP, UDP and link headers.

std::shared_ptr<Configuration> MakeServices(std::uint32_t services) {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ConfigVersion{1};
  configuration->workspaces["w"] = Workspace{"w", 1, {}};
  for (std::uint32_t i = 0; i < services; ++i) {
    Service service;
    service.id = ServiceId{i + 1};
    service.name = "s" + std::to_string(i);
    service.workspace = "w";
    service.address = Endpoint{IpAddress::FromV4(0x0a000000 + i), 443};
    configuration->services["w/" + service.name] = service;
  }
  configuration->BuildIndex();
  return configuration;
}

struct Node {
  Blackboard board;
  std::unique_ptr<Health> health;
  std::unique_ptr<TargetRegistry> registry;
};

// Balancers of one data centre; messages are delivered without delay.
class Balancers {
 public:
  Balancers(std::uint32_t nodes, std::uint32_t targets)
      : m_random(nodes + targets) {
    const std::uint32_t services = targets / kTargetsInService + 1;
    const auto configuration = MakeServices(services);
    std::vector<Member> members;
    for (std::uint32_t i = 1; i <= nodes; ++i) {
      Member member;
      member.id = NodeId{i};
      member.incarnation = Incarnation{1};
      member.state = MemberState::kReady;
      members.push_back(member);
    }
    for (const Member& member : members) {
      AddNode(member, members, configuration);
    }
    for (std::uint32_t i = 0; i < targets; ++i) AddTarget(i, services);
  }

  // Runs for `span`; returns processor time per node and second, in ns.
  double Run(Duration span) {
    const TimePoint end = m_now + span;
    const double before = ThreadNanoseconds();
    while (m_now < end) Step();
    const double seconds = std::chrono::duration<double>(span).count();
    return (ThreadNanoseconds() - before) / seconds /
           static_cast<double>(m_nodes.size());
  }

  // Bytes per node and second since the last call, including headers.
  double TakeBytes(Duration span) {
    const double bytes = static_cast<double>(std::exchange(m_bytes, 0));
    return bytes / std::chrono::duration<double>(span).count() /
           static_cast<double>(m_nodes.size());
  }

 private:
  void AddNode(const Member& member, const std::vector<Member>& members,
               const std::shared_ptr<Configuration>& configuration) {
    auto node = std::make_unique<Node>();
    node->board.configuration.Publish(configuration);
    node->board.view.Publish(
        std::make_shared<View>(member.id, members, /*may_decide=*/true));
    TargetRegistrySettings settings;
    settings.self = member.id;
    settings.incarnation = member.incarnation;
    settings.bytes_per_second = kUnboundedBytes;
    node->health = std::make_unique<Health>(HealthSettings{}, member.id);
    TargetRegistry::Hooks hooks;
    hooks.random = [this] { return ++m_random * 0x9e3779b97f4a7c15u >> 20; };
    hooks.authorize = [](const std::string&, const std::string&) {
      return true;
    };
    hooks.on_load = [](ServiceId, TargetId, const LoadReport&, TimePoint) {};
    node->registry = std::make_unique<TargetRegistry>(
        settings, &node->board, node->health.get(), hooks);
    m_nodes[member.id] = std::move(node);
  }

  void AddTarget(std::uint32_t number, std::uint32_t services) {
    Announcement announcement;
    announcement.service = "w/s" + std::to_string(number % services);
    announcement.workspace = "w";
    announcement.name = "target-" + std::to_string(number);
    announcement.tunnel =
        Endpoint{IpAddress::FromV4(0x0b000000 + number), 6080};
    announcement.slots = 3;
    announcement.incarnation = Incarnation{1};
    const NodeId home{number % static_cast<std::uint32_t>(m_nodes.size()) + 1};
    const auto reply = m_nodes[home]->registry->Announce(announcement, m_now);
    if (reply) m_targets.emplace_back(home, reply->id);
  }

  void Deliver(NodeId from, const Outbox& out) {
    for (const OutgoingMessage& message : out) {
      m_bytes += message.body.size() + kHeaderBytes;
      const auto to = m_nodes.find(message.to);
      if (to == m_nodes.end()) continue;
      Deliver(message.to,
              to->second->registry->OnMessage(from, message.body, m_now));
    }
  }

  void Step() {
    m_now += kTick;
    if (m_now >= m_next_renewal) {
      m_next_renewal = m_now + kRenewEvery;
      for (const auto& [home, target] : m_targets) Renew(home, target);
    }
    for (auto& [id, node] : m_nodes) Deliver(id, node->registry->OnTick(m_now));
  }

  void Renew(NodeId home, TargetId target) {
    Renewal renewal;
    renewal.id = target;
    ++m_random;
    renewal.load =
        LoadReport{static_cast<std::int64_t>(m_random % 3),
                   static_cast<std::int64_t>(m_random % 2000), false};
    m_nodes[home]->registry->Renew(renewal, m_now);
  }

  std::map<NodeId, std::unique_ptr<Node>> m_nodes;
  std::vector<std::pair<NodeId, TargetId>> m_targets;
  TimePoint m_now = TimePoint{} + std::chrono::hours(1);
  TimePoint m_next_renewal;
  std::uint64_t m_random;
  std::size_t m_bytes = 0;
};

constexpr std::uint32_t kFewNodes = 9;
// More than the number of nodes that an update is sent to directly.
constexpr std::uint32_t kManyNodes = 33;
constexpr std::uint32_t kTargetsPerNode = 6;
constexpr Duration kSettle = std::chrono::seconds(10);
constexpr Duration kMeasureDuration = std::chrono::seconds(10);

double RegistryHeapBytes(double targets) {
  const std::size_t before = HeapBytes();
  Balancers balancers(kFewNodes, static_cast<std::uint32_t>(targets));
  balancers.Run(kSettle);
  return static_cast<double>(HeapBytes() - before) / kFewNodes;
}

double BytesPerNode(std::uint32_t nodes, double targets) {
  Balancers balancers(nodes, static_cast<std::uint32_t>(targets));
  balancers.Run(kSettle);
  balancers.TakeBytes(kSettle);
  balancers.Run(kMeasureDuration);
  return balancers.TakeBytes(kMeasureDuration);
}

double NanosecondsPerNode(double targets) {
  Balancers balancers(kFewNodes, static_cast<std::uint32_t>(targets));
  balancers.Run(kSettle);
  return balancers.Run(kMeasureDuration);
}

void Run(const std::vector<std::uint64_t>& /*seeds*/, FigureSink* sink) {
  const std::vector<double> targets = {18, 100, 500, 2576};
  PrintSlope("target_heap_per_target", "B", targets, RegistryHeapBytes, sink);
  PrintSlope("target_time_per_target", "ns/s", targets, NanosecondsPerNode,
             sink);
  PrintSlope(
      "target_bytes_per_own_target", "B/s", {1, 2, 6, 12},
      [](double own) { return BytesPerNode(kManyNodes, own * kManyNodes); },
      sink);
  PrintSlope(
      "target_bytes_per_balancer", "B/s", {17, 25, 33, 65},
      [](double nodes) {
        return BytesPerNode(static_cast<std::uint32_t>(nodes),
                            kTargetsPerNode * nodes);
      },
      sink);
}

const Registration kRegistration("capacity", Run);

}  // namespace
}  // namespace sardinelead::bench
