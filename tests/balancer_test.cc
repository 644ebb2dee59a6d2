#include "sardinelead/balancer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <random>
#include <thread>

#include "sardinelead/packet_writer.h"

namespace sardinelead {
namespace {

const Endpoint kEgress = *Endpoint::Parse("192.0.2.254:1");
const Endpoint kOrders = *Endpoint::Parse("192.0.2.1:80");
const Endpoint kCaller = *Endpoint::Parse("10.0.0.1:1000");

Endpoint Port(std::uint32_t node, std::uint16_t port) {
  return {IpAddress::FromV4(0x0a000000 + node), port};
}

constexpr Duration kMaxViewChange = std::chrono::milliseconds(200);

// Balancers of one data centre with simulated time and a lossless network.
class Cluster {
 public:
  explicit Cluster(std::uint32_t nodes) : m_boards(nodes) {
    auto configuration = std::make_shared<Configuration>();
    Service orders;
    orders.id = ServiceId{1};
    orders.name = "orders";
    orders.workspace = "linaw";
    orders.address = kOrders;
    orders.answers = ResponsePath::kThroughBalancer;
    configuration->version = ConfigVersion{1};
    configuration->workspaces["linaw"] = Workspace{"linaw", 1, {}};
    configuration->services["linaw/orders"] = orders;
    configuration->next_service_id = 2;
    configuration->BuildIndex();
    for (std::uint32_t id = 1; id <= nodes; ++id) {
      m_boards[id - 1].configuration.Publish(configuration);
      BalancerOptions options;
      options.self = NodeId{id};
      options.incarnation = Incarnation{7};
      options.relay_key[0] = 1;
      options.egress = kEgress;
      options.membership.control = Port(id, 1);
      options.membership.relay = Port(id, 2);
      for (std::uint32_t seed = 1; seed <= nodes; ++seed) {
        options.membership.seeds.push_back(NodeId{seed});
      }
      m_balancers.push_back(std::make_unique<Balancer>(
          options, &m_boards[id - 1],
          BalancerHooks{[this] { return m_random(); },
                        [](const std::string&, const std::string& token) {
                          return token == "secret";
                        }}));
      m_workers.push_back(m_balancers.back()->MakeWorker());
    }
  }

  Balancer* balancer(std::uint32_t id) { return m_balancers[id - 1].get(); }
  PacketWorker* worker(std::uint32_t id) { return m_workers[id - 1].get(); }
  TimePoint now() const { return m_now; }

  void Run(Duration duration) {
    const TimePoint end = m_now + duration;
    for (; m_now < end; m_now += std::chrono::milliseconds(50)) {
      for (std::uint32_t id = 1; id <= m_balancers.size(); ++id) {
        Deliver(id, balancer(id)->OnTick(m_now).messages);
      }
    }
  }

  Result<AnnounceReply> Announce(std::uint32_t id, std::uint32_t target) {
    Announcement announcement;
    announcement.service = "linaw/orders";
    announcement.workspace = "linaw";
    announcement.name = "host";
    announcement.tunnel = Port(target, 9);
    announcement.incarnation = Incarnation{1};
    announcement.token = "secret";
    return balancer(id)->targets()->Announce(announcement, m_now);
  }

  // Passes a packet to balancer `id` and follows relays to the final outcome.
  PacketOutcome Route(std::uint32_t id, Ingress ingress, const Bytes& packet,
                      const Endpoint& source = Port(99, 9)) {
    PacketOutcome outcome =
        worker(id)->OnPacket(ingress, packet, source, m_now);
    while (outcome.is_sent && outcome.to.port == 2) {
      // The outcome points into the previous datagram, so copy before replacing
      // it.
      Bytes datagram(outcome.head.begin(), outcome.head.end());
      datagram.insert(datagram.end(), outcome.body.begin(), outcome.body.end());
      m_datagram = std::move(datagram);
      const std::uint32_t next = outcome.to.address.ToV4() & 0xff;
      outcome = worker(next)->OnPacket(Ingress::kRelay, m_datagram, Port(id, 2),
                                       m_now);
    }
    return outcome;
  }

 private:
  void Deliver(std::uint32_t from, const Outbox& outbox) {
    for (const OutgoingMessage& message : outbox) {
      const std::uint32_t to = message.to.value;
      if (to == 0 || to > m_balancers.size()) continue;
      Deliver(to, balancer(to)->OnMessage(NodeId{from}, message.kind,
                                          message.body, m_now));
    }
  }

  std::mt19937_64 m_random{7};
  TimePoint m_now{std::chrono::hours(1)};
  std::deque<Blackboard> m_boards;
  std::vector<std::unique_ptr<Balancer>> m_balancers;
  std::vector<std::unique_ptr<PacketWorker>> m_workers;
  Bytes m_datagram;
};

Bytes FromCaller(std::uint8_t flags, std::uint16_t port = 1000) {
  return WriteTcpPacket({kCaller.address, port}, kOrders,
                        TcpFields{1, 1, flags});
}

// Waits until the balancers agree on a view, then announces the targets.
void Prepare(Cluster* cluster, std::uint32_t targets) {
  cluster->Run(std::chrono::seconds(5));
  for (std::uint32_t i = 0; i < targets; ++i) {
    CPPUNIT_ASSERT(cluster->Announce(1, 100 + i).has_value());
  }
  cluster->Run(std::chrono::seconds(3));
}

class BalancerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BalancerTest);
  CPPUNIT_TEST(OneBalancerForwardsToATarget);
  CPPUNIT_TEST(AnyBalancerForwardsAFlowToItsTarget);
  CPPUNIT_TEST(AnswersGoToTheCallerFromTheFlowsTargetOnly);
  CPPUNIT_TEST(FlowsSurviveABalancerThatLeaves);
  CPPUNIT_TEST(DropsAndCountsRejectedPackets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void OneBalancerForwardsToATarget() {
    Cluster cluster(1);
    Prepare(&cluster, 1);
    const PacketOutcome outcome =
        cluster.Route(1, Ingress::kFabric, FromCaller(kTcpSyn));
    CPPUNIT_ASSERT(outcome.is_sent && outcome.to == Port(100, 9));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                         cluster.balancer(1)->packets().to_targets);
  }

  void AnyBalancerForwardsAFlowToItsTarget() {
    Cluster cluster(5);
    Prepare(&cluster, 4);
    for (std::uint16_t port = 1000; port < 1100; ++port) {
      const auto opened = cluster.Route(1 + port % 5, Ingress::kFabric,
                                        FromCaller(kTcpSyn, port));
      CPPUNIT_ASSERT_MESSAGE(Name(opened.reason), opened.is_sent);
      for (std::uint32_t id = 1; id <= 5; ++id) {
        const auto later =
            cluster.Route(id, Ingress::kFabric, FromCaller(kTcpAck, port));
        CPPUNIT_ASSERT_MESSAGE(Name(later.reason), later.is_sent);
        CPPUNIT_ASSERT(later.to == opened.to);
      }
    }
  }

  void AnswersGoToTheCallerFromTheFlowsTargetOnly() {
    Cluster cluster(3);
    Prepare(&cluster, 2);
    const auto opened = cluster.Route(1, Ingress::kFabric, FromCaller(kTcpSyn));
    CPPUNIT_ASSERT(opened.is_sent);
    const Endpoint other =
        opened.to == Port(100, 9) ? Port(101, 9) : Port(100, 9);
    const Bytes answer = WriteTcpPacket(kOrders, kCaller, TcpFields{});
    for (std::uint32_t id = 1; id <= 3; ++id) {
      const auto good = cluster.Route(id, Ingress::kAnswer, answer, opened.to);
      CPPUNIT_ASSERT_MESSAGE(Name(good.reason), good.is_sent);
      CPPUNIT_ASSERT(good.to == kEgress);
      const auto bad = cluster.Route(id, Ingress::kAnswer, answer, other);
      CPPUNIT_ASSERT(!bad.is_sent && bad.reason == DropReason::kWrongTarget);
    }
  }

  void FlowsSurviveABalancerThatLeaves() {
    Cluster cluster(4);
    Prepare(&cluster, 3);
    std::map<std::uint16_t, Endpoint> targets;
    for (std::uint16_t port = 1000; port < 1100; ++port) {
      targets[port] =
          cluster.Route(1, Ingress::kFabric, FromCaller(kTcpSyn, port)).to;
    }
    cluster.balancer(2)->Leave();
    for (int i = 0; i < 60 && !cluster.balancer(2)->IsHandoverComplete(); ++i) {
      cluster.Run(std::chrono::seconds(1));
    }
    CPPUNIT_ASSERT(cluster.balancer(2)->IsHandoverComplete());
    // While the others agree on a view without it, packets may be dropped
    // briefly, which TCP recovers from, but no flow is moved or ended.
    cluster.Run(kMaxViewChange);
    for (const std::uint32_t id : {1, 3, 4}) {
      for (const auto& [port, target] : targets) {
        const auto outcome =
            cluster.Route(id, Ingress::kFabric, FromCaller(kTcpAck, port));
        CPPUNIT_ASSERT_MESSAGE(Name(outcome.reason), outcome.is_sent);
        CPPUNIT_ASSERT(outcome.to == target);
      }
    }
  }

  void DropsAndCountsRejectedPackets() {
    Cluster cluster(1);
    Prepare(&cluster, 1);
    Bytes forged(kRelayHeaderBytes, 0);
    const Bytes packet = FromCaller(kTcpSyn);
    forged.insert(forged.end(), packet.begin(), packet.end());
    const Bytes elsewhere =
        WriteTcpPacket(kCaller, Port(77, 80), TcpFields{0, 0, kTcpSyn});
    const std::tuple<Ingress, Bytes, DropReason> cases[] = {
        {Ingress::kRelay, forged, DropReason::kUnauthenticated},
        {Ingress::kFabric, elsewhere, DropReason::kUnknownService},
        {Ingress::kFabric, Bytes{0x45}, DropReason::kTruncated},
    };
    for (const auto& [ingress, bytes, reason] : cases) {
      const auto outcome = cluster.Route(1, ingress, bytes);
      CPPUNIT_ASSERT(!outcome.is_sent);
      CPPUNIT_ASSERT_EQUAL(std::string(Name(reason)),
                           std::string(Name(outcome.reason)));
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1},
                           cluster.balancer(1)->packets().Dropped(reason));
    }
    cluster.Run(std::chrono::seconds(2));
    const std::string page = cluster.balancer(1)->metrics()->PrometheusText();
    CPPUNIT_ASSERT(page.find("sardinelead_packets_dropped_total{reason="
                             "\"unauthenticated\"} 1") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerTest);

class ConcurrentBalancerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConcurrentBalancerTest);
  CPPUNIT_TEST(WorkersForwardWhileControllersTick);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WorkersForwardWhileControllersTick() {
    constexpr int kThreads = 3;
    constexpr std::uint16_t kFlowsPerThread = 2000;
    Cluster cluster(1);
    Prepare(&cluster, 4);
    const TimePoint now = cluster.now();
    std::vector<std::thread> threads;
    std::vector<int> lost(kThreads, 0);
    threads.reserve(kThreads);
    for (int t = 0; t < kThreads; ++t) {
      threads.emplace_back([&, t] {
        const auto worker = cluster.balancer(1)->MakeWorker();
        for (std::uint16_t i = 0; i < kFlowsPerThread; ++i) {
          const auto port =
              static_cast<std::uint16_t>(1000 + t * kFlowsPerThread + i);
          for (const std::uint8_t flags : {kTcpSyn, kTcpAck, kTcpFin}) {
            const auto outcome = worker->OnPacket(
                Ingress::kFabric, FromCaller(flags, port), kCaller, now);
            if (!outcome.is_sent) ++lost[t];
          }
        }
      });
    }
    for (int i = 0; i < 100; ++i) cluster.Run(std::chrono::milliseconds(50));
    for (std::thread& thread : threads) thread.join();
    for (const int count : lost) CPPUNIT_ASSERT_EQUAL(0, count);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3} * kThreads * kFlowsPerThread,
                         cluster.balancer(1)->packets().to_targets);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrentBalancerTest);

}  // namespace
}  // namespace sardinelead
