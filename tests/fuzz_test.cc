// Fuzz tests, with fixed seeds, of the code that handles data from the network
// or from another process. Inputs are random or mutated from valid samples. No
// input may cause a crash, and a rejected one must yield a typed error.

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <map>
#include <random>

#include "balancer_settings.h"
#include "feed_message.h"
#include "operator_api.h"
#include "peer_link.h"
#include "quick.h"
#include "replica_cluster.h"
#include "sardinelead/balancer.h"
#include "sardinelead/packet_writer.h"
#include "target_codec.h"

namespace sardinelead {
namespace {

constexpr int kInputCount = 100'000;
constexpr int kGeneratorSize = 60;

const Endpoint kCaller = *Endpoint::Parse("10.0.0.1:1000");
const Endpoint kService = *Endpoint::Parse("192.0.2.1:80");

Bytes BytesOf(const std::string& text) {
  return Bytes(text.begin(), text.end());
}
std::string TextOf(const Bytes& bytes) {
  return std::string(bytes.begin(), bytes.end());
}

// A mutation: overwrites or erases a byte, truncates, or inserts bytes.
struct Mutation {
  std::size_t at = 0;
  std::uint8_t kind = 0;
  Bytes bytes;
};

rc::Gen<Mutation> ArbitraryMutation() {
  return rc::gen::build<Mutation>(
      rc::gen::set(&Mutation::at, rc::gen::inRange<std::size_t>(0, 1 << 16)),
      rc::gen::set(&Mutation::kind, rc::gen::inRange<std::uint8_t>(0, 4)),
      rc::gen::set(&Mutation::bytes));
}

Bytes Mutate(Bytes input, const Mutation& mutation) {
  const std::size_t at = input.empty() ? 0 : mutation.at % input.size();
  const auto place = input.begin() + static_cast<std::ptrdiff_t>(at);
  const bool has_bytes = !mutation.bytes.empty();
  switch (mutation.kind) {
    case 0:
      if (!input.empty() && has_bytes) input[at] = mutation.bytes[0];
      break;
    case 1:
      input.erase(place, input.end());
      break;
    case 2:
      input.insert(place, mutation.bytes.begin(), mutation.bytes.end());
      break;
    default:
      if (!input.empty()) input.erase(place);
      break;
  }
  return input;
}

// Calls `check` with `count` inputs: one in eight is random, the others are one
// of `samples` with one to three mutations.
template <typename Check>
void ForEachInput(int count, const std::vector<Bytes>& samples, Check check) {
  const auto mutations =
      rc::gen::container<std::vector<Mutation>>(3, ArbitraryMutation());
  const auto anything = rc::gen::arbitrary<Bytes>();
  for (int i = 0; i < count; ++i) {
    const rc::Random random(static_cast<std::uint64_t>(i));
    if (i % 8 == 0) {
      check(anything(random, kGeneratorSize).value());
      continue;
    }
    Bytes input = samples[static_cast<std::size_t>(i) % samples.size()];
    const auto drawn = mutations(random, kGeneratorSize).value();
    for (int c = 0; c <= i % 3; ++c) input = Mutate(std::move(input), drawn[c]);
    check(input);
  }
}

BalancerOptions OptionsOf(std::uint32_t id) {
  BalancerOptions options;
  options.self = NodeId{id};
  options.incarnation = Incarnation{id};
  options.membership.control = {IpAddress::FromV4(0x0a000000 + id), 1};
  options.membership.relay = {IpAddress::FromV4(0x0a000000 + id), 2};
  for (std::uint32_t seed = 1; seed <= 3; ++seed) {
    options.membership.seeds.push_back(NodeId{seed});
  }
  options.config.sources = {NodeId{9}};
  return options;
}

// A balancer with one packet worker.
struct Node {
  explicit Node(std::uint32_t id)
      : balancer(OptionsOf(id), &board,
                 {[this] { return random(); },
                  [](const std::string&, const std::string&) { return true; }}),
        worker(balancer.MakeWorker()) {}

  std::mt19937_64 random{7};
  Blackboard board;
  Balancer balancer;
  std::unique_ptr<PacketWorker> worker;
};

class FuzzTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FuzzTest);
  CPPUNIT_TEST(Packets);
  CPPUNIT_TEST(RelayedPackets);
  CPPUNIT_TEST(SettingsFiles);
  CPPUNIT_TEST(PatchesAndConfigurations);
  CPPUNIT_TEST(Announcements);
  CPPUNIT_TEST(SealedDatagrams);
  CPPUNIT_TEST(MessagesBetweenBalancers);
  CPPUNIT_TEST(MessagesBetweenReplicas);
  CPPUNIT_TEST(Heartbeats);
  CPPUNIT_TEST(TargetLists);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Packets() {
    Node node(1);
    ForEachInput(
        CaseCount(kInputCount), PacketSamples(), [&](const Bytes& input) {
          for (const Direction direction :
               {Direction::kToService, Direction::kToCaller}) {
            const auto info = ParsePacket(input, direction);
            CPPUNIT_ASSERT(info || info.error() < DropReason::kCount);
          }
          const auto outcome =
              node.worker->OnPacket(Ingress::kFabric, input, kCaller, m_now);
          CPPUNIT_ASSERT(!outcome.is_sent &&
                         outcome.reason < DropReason::kCount);
        });
    CheckAllDropsCounted(node);
  }

  void RelayedPackets() {
    Node node(1);
    RelayCodec codec(RelayKey{});
    std::vector<Bytes> samples;
    for (const Bytes& packet : PacketSamples()) {
      RelayHeader header;
      header.sender = NodeId{2};
      const RelayHeaderBytes head = codec.Write(header, packet);
      samples.emplace_back(head.begin(), head.end());
      samples.back().insert(samples.back().end(), packet.begin(), packet.end());
    }
    ForEachInput(CaseCount(kInputCount), samples, [&](const Bytes& input) {
      const auto outcome =
          node.worker->OnPacket(Ingress::kRelay, input, kCaller, m_now);
      CPPUNIT_ASSERT(!outcome.is_sent && outcome.reason < DropReason::kCount);
    });
    CheckAllDropsCounted(node);
  }

  void SettingsFiles() {
    const Bytes whole = BytesOf(
        "[node]\nid = 1\ndata_centre = a\n[listen]\nfabric = 127.0.0.1:1\n"
        "relay = 127.0.0.1:2\nanswers = 127.0.0.1:3\ncontrol = 127.0.0.1:4\n"
        "http = 127.0.0.1:5\n[fabric]\negress = 127.0.0.1:6\n[peers]\n"
        "peer = 2 127.0.0.1:7\n[control]\nvm = 9 127.0.0.1:8\n[security]\n"
        "key_file = k\naccess_file = a\n");
    int accepted = 0;
    ForEachInput(CaseCount(kInputCount), {whole}, [&](const Bytes& input) {
      const auto values =
          ParseSettings(BalancerSettingKeys(), TextOf(input), "f");
      if (!values) return CheckErrors(values.error());
      const auto settings = ToBalancerSettings(*values);
      if (!settings) return CheckErrors(settings.error());
      ++accepted;
    });
    CPPUNIT_ASSERT(accepted > 0);
  }

  void PatchesAndConfigurations() {
    const Bytes patch = BytesOf(
        R"({"id":"p","base":0,"operations":[{"kind":"put-workspace",)"
        R"("workspace":{"name":"linaw","share":1}},{"kind":"put-service",)"
        R"("service":{"workspace":"linaw","name":"orders",)"
        R"("address":"192.0.2.1:80","protocol":"tcp"}}]})");
    int applied = 0;
    ForEachInput(CaseCount(kInputCount), {patch}, [&](const Bytes& input) {
      const auto json = nlohmann::json::parse(input, nullptr, false);
      if (json.is_discarded()) return;
      CheckResult(ConfigurationFromJson(json));
      const auto read = PatchFromJson(json);
      if (!CheckResult(read)) return;
      if (CheckResult(sardinelead::Apply(Configuration(), *read))) ++applied;
    });
    CPPUNIT_ASSERT(applied > 0);
  }

  void Announcements() {
    Node node(1);
    const Bytes body =
        BytesOf(R"({"service":"linaw/orders","name":"h","tunnel":"10.0.0.1:9",)"
                R"("slots":3,"incarnation":1,"check_port":8})");
    ForEachInput(CaseCount(kInputCount), {body}, [&](const Bytes& input) {
      const auto json = ParseJsonObject(TextOf(input));
      if (!CheckResult(json)) return;
      const auto announcement = AnnouncementFromJson(*json);
      if (!CheckResult(announcement)) return;
      CheckResult(node.balancer.targets()->Announce(*announcement, m_now));
    });
  }

  void SealedDatagrams() {
    PeerLinkSettings settings;
    settings.self = NodeId{1};
    settings.incarnation = Incarnation{1};
    settings.addresses[NodeId{2}] = kCaller;
    PeerLink sender(settings);
    settings.self = NodeId{2};
    PeerLink receiver(settings);
    const std::vector<Bytes> samples = {
        sender.Send({NodeId{2}, MessageKind::kTargets, {1}}, m_now)[0].bytes};
    std::uint64_t refused = 0;
    ForEachInput(CaseCount(kInputCount), samples, [&](const Bytes& input) {
      const DatagramResult result = receiver.OnDatagram(input, kService, m_now);
      CPPUNIT_ASSERT(!result.message);
      if (result.refusal) ++refused;
    });
    std::uint64_t counted = 0;
    for (std::size_t i = 0;
         i < static_cast<std::size_t>(DatagramRejection::kCount); ++i) {
      counted += receiver.refused(static_cast<DatagramRejection>(i));
    }
    CPPUNIT_ASSERT(refused > 0);
    CPPUNIT_ASSERT_EQUAL(refused, counted);
  }

  // Mutates messages that two balancers sent each other and sends them to a
  // third one.
  void MessagesBetweenBalancers() {
    const auto bodies = CollectBodies();
    CPPUNIT_ASSERT(bodies.size() >= 3);
    Node node(3);
    for (const auto& [kind, samples] : bodies) {
      int i = 0;
      const int count =
          CaseCount(kInputCount) / static_cast<int>(bodies.size());
      ForEachInput(count, samples, [&, kind = kind](const Bytes& input) {
        m_now += std::chrono::milliseconds(1);
        node.balancer.OnMessage(NodeId{++i % 2 + 1U}, kind, input, m_now);
        if (i % 100 == 0) node.balancer.OnTick(m_now);
      });
    }
  }

  // A heartbeat is refused, or every reader of the list of targets can read it.
  void Heartbeats() {
    const Bytes body = BytesOf(
        R"({"service":"orders","address":"10.0.0.1:80","zone":"a","slots":2,)"
        R"("state":"ready","warmupLeftMs":9,"sequence":4,"born":1790000000123})");
    int accepted = 0;
    ForEachInput(CaseCount(kInputCount), {body}, [&](const Bytes& input) {
      const auto announcement = DecodeHeartbeat("i-1", TextOf(input));
      if (!CheckResult(announcement)) return;
      ++accepted;
      const auto list =
          DecodeTargets(*EncodeTargets({{*announcement, {}, true}}));
      CPPUNIT_ASSERT(list.has_value());
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list->targets.size());
      const TargetAnnouncement& read = list->targets[0].announcement;
      CPPUNIT_ASSERT_EQUAL(announcement->number, read.number);
      CPPUNIT_ASSERT(announcement->address == read.address);
      CPPUNIT_ASSERT_EQUAL(announcement->pool, read.pool);
    });
    CPPUNIT_ASSERT(accepted > 0);
  }

  void TargetLists() {
    TargetAnnouncement announcement;
    announcement.number = 1;
    announcement.pool = "orders";
    announcement.address = kCaller;
    const Bytes list =
        *EncodeTargets({{announcement, {}, true}, {announcement, {}, true}});
    std::size_t unreadable = 0;
    ForEachInput(CaseCount(kInputCount), {list}, [&](const Bytes& input) {
      const auto targets = DecodeTargets(input);
      if (!CheckResult(targets)) return;
      unreadable += targets->unreadable;
      TargetDirectory directory;
      for (const ReportedTarget& target : targets->targets) {
        directory.Take(target.announcement, m_now - target.silent);
      }
    });
    CPPUNIT_ASSERT(unreadable > 0);
  }

  void MessagesBetweenReplicas() {
    TestCluster cluster(7, 3);
    std::vector<Bytes> samples;
    cluster.delivery_delays = [](NodeId, NodeId) {
      return std::vector<Duration>{std::chrono::milliseconds(1)};
    };
    for (std::uint32_t id = 1; id <= 3; ++id) {
      cluster.Start(NodeId{id}, id == 1);
    }
    CPPUNIT_ASSERT(cluster.RunUntilVoting());
    Replica* replica = cluster.nodes[NodeId{1}].replica.get();
    for (int i = 0; i < 100; ++i) {
      cluster.now += std::chrono::milliseconds(10);
      for (OutgoingMessage& sent : replica->OnTick(cluster.now).messages) {
        samples.push_back(std::move(sent.body));
      }
    }
    CPPUNIT_ASSERT(!samples.empty());
    int i = 0;
    ForEachInput(CaseCount(kInputCount / 4), samples, [&](const Bytes& input) {
      const ReplicaOutput output =
          replica->OnMessage(NodeId{++i % 2 + 2U}, input, cluster.now);
      CPPUNIT_ASSERT(output.answers.empty());
      if (replica->NeedsSync()) replica->Sync(cluster.now);
    });
  }

 private:
  static std::vector<Bytes> PacketSamples() {
    const Endpoint caller6 = *Endpoint::Parse("[2001:db8::1]:1000");
    const Endpoint service6 = *Endpoint::Parse("[2001:db8::2]:80");
    const Bytes tcp =
        WriteTcpPacket(kCaller, kService, TcpFields{1, 1, kTcpSyn}, Bytes(9));
    return {tcp, WriteUdpPacket(kCaller, kService, Bytes(9)),
            WriteTcpPacket(caller6, service6, TcpFields{}),
            WriteUdpPacket(caller6, service6, Bytes(9)),
            WritePortUnreachable(kCaller.address, kCaller.address, tcp)};
  }

  static std::map<MessageKind, std::vector<Bytes>> CollectBodies() {
    std::map<MessageKind, std::vector<Bytes>> bodies;
    Node first(1);
    Node second(2);
    TimePoint now{std::chrono::seconds(1)};
    for (int i = 0; i < 200; ++i) {
      now += std::chrono::milliseconds(50);
      for (const auto& [from, to] :
           {std::pair(&first, &second), std::pair(&second, &first)}) {
        const NodeId sender = from->balancer.options().self;
        for (const auto& message : from->balancer.OnTick(now).messages) {
          bodies[message.kind].push_back(message.body);
          for (const auto& reply : to->balancer.OnMessage(sender, message.kind,
                                                          message.body, now)) {
            bodies[reply.kind].push_back(reply.body);
          }
        }
      }
    }
    return bodies;
  }

  static void CheckAllDropsCounted(const Node& node) {
    const PacketCounts counts = node.balancer.packets();
    std::uint64_t received = 0;
    std::uint64_t dropped = 0;
    for (const std::uint64_t count : counts.received) received += count;
    for (const std::uint64_t count : counts.dropped) dropped += count;
    CPPUNIT_ASSERT_EQUAL(received, dropped);
  }

  static void CheckErrors(const std::vector<Error>& errors) {
    CPPUNIT_ASSERT(!errors.empty());
    for (const Error& error : errors) {
      CPPUNIT_ASSERT(!error.message.empty() && !error.path.empty());
    }
  }

  // Returns whether `result` has a value; an error must have a message.
  template <typename T>
  static bool CheckResult(const Result<T>& result) {
    if (result) return true;
    CPPUNIT_ASSERT(!result.error().message.empty());
    return false;
  }

  TimePoint m_now{std::chrono::seconds(1)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FuzzTest);

}  // namespace
}  // namespace sardinelead
