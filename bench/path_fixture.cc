#include "path_fixture.h"

#include <algorithm>
#include <string>

#include "sardinelead/packet_writer.h"

namespace sardinelead::bench {
namespace {

Endpoint ServiceAddressOf(std::size_t service) {
  return {IpAddress::FromV4(0xc0000200 + static_cast<std::uint32_t>(service)),
          443};
}

// Spreads callers over many networks, without runs of adjacent addresses.
Endpoint CallerOf(std::size_t flow) {
  const auto mixed = static_cast<std::uint32_t>(flow * 2654435761U);
  return {IpAddress::FromV4(0x0a000000 | (mixed >> 8)),
          static_cast<std::uint16_t>(1024 + flow % 60000)};
}

}  // namespace

PathFixture::PathFixture(std::uint64_t seed,
                         const std::vector<Endpoint>& tunnels, TimePoint start)
    : m_random(seed), m_now(start) {
  PublishConfiguration();
  BalancerOptions options;
  options.self = NodeId{1};
  options.incarnation = Incarnation{1};
  options.flows.max_flows = 2 * kFlows;
  options.flows.max_opening_share = 1;
  options.flows.opening_timeout = std::chrono::hours(1);
  options.egress = *Endpoint::Parse("127.0.0.1:9");
  m_balancer = std::make_unique<Balancer>(
      options, &m_blackboard,
      BalancerHooks{
          [this] { return m_random(); },
          [](const std::string&, const std::string&) { return true; }});
  Run(std::chrono::seconds(5));
  PublishTargets(tunnels);
  Run(std::chrono::seconds(15));
}

void PathFixture::PublishConfiguration() {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = ConfigVersion{1};
  configuration->workspaces["linaw"] = Workspace{"linaw", 1, {}};
  for (std::size_t i = 0; i < kServices; ++i) {
    Service service;
    service.id = ServiceId{static_cast<std::uint32_t>(i + 1)};
    service.name = "service-" + std::to_string(i);
    service.workspace = "linaw";
    service.address = ServiceAddressOf(i);
    configuration->services["linaw/" + service.name] = service;
  }
  configuration->next_service_id = kServices + 1;
  configuration->BuildIndex();
  m_blackboard.configuration.Publish(std::move(configuration));
}

void PathFixture::PublishTargets(const std::vector<Endpoint>& tunnels) {
  std::vector<Target> targets;
  for (std::size_t i = 0; i < kServices * kTargetsPerService; ++i) {
    Target target;
    target.service = ServiceId{static_cast<std::uint32_t>(i % kServices + 1)};
    target.tunnel = tunnels[i % tunnels.size()];
    target.incarnation = Incarnation{i + 1};
    target.id = MakeTargetId(target.service, target.tunnel, target.incarnation);
    targets.push_back(target);
  }
  m_blackboard.targets.Publish(
      std::make_shared<TargetSnapshot>(std::move(targets)));
}

void PathFixture::Run(Duration duration) {
  const TimePoint end = m_now + duration;
  for (; m_now < end; m_now += std::chrono::milliseconds(50)) {
    m_balancer->OnTick(m_now);
  }
}

std::size_t PathFixture::OpenFlows() {
  const auto worker = m_balancer->MakeWorker();
  std::size_t lost = 0;
  m_packets.reserve(kFlows * kBenchPacketBytes);
  for (std::size_t i = 0; i < kFlows; ++i) {
    const Endpoint caller = CallerOf(i);
    const Endpoint service = ServiceAddressOf(i % kServices);
    const auto send = [&](std::uint8_t flags, std::uint32_t sequence) {
      Bytes packet =
          WriteTcpPacket(caller, service, TcpFields{sequence, 1, flags});
      const PacketOutcome outcome =
          worker->OnPacket(Ingress::kFabric, packet, caller, m_now);
      if (!outcome.is_sent) ++lost;
      return packet;
    };
    send(kTcpSyn, 0);
    const Bytes data = send(kTcpAck, 1);
    m_packets.insert(m_packets.end(), data.begin(), data.end());
    if (i % 10'000 == 0) Run(std::chrono::milliseconds(50));
  }
  return lost;
}

}  // namespace sardinelead::bench
