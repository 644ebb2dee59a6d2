#include "sardinelead/config_follower.h"

#include <cppunit/extensions/HelperMacros.h>

#include "replica_cluster.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kFirst = 101;  // Id of the first follower.

// Runs followers against a cluster of three control VMs.
class ConfigFollowerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConfigFollowerTest);
  CPPUNIT_TEST(NewVersionReachesNineFollowersWithinASecond);
  CPPUNIT_TEST(PartitionedDataCentreKeepsNewestVersion);
  CPPUNIT_TEST(RestartNearStaleControlVmDoesNotRollBack);
  CPPUNIT_TEST(TransferBudgetLimitsSnapshots);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_followers.clear();
    m_blackboards.clear();
    m_publishers.clear();
    m_isolated.clear();
    m_cluster = std::make_unique<TestCluster>(3, 3);
    for (std::uint32_t id = 1; id <= 3; ++id) {
      m_cluster->Start(NodeId{id}, id == 1);
    }
    CPPUNIT_ASSERT(m_cluster->RunUntilVoting());
    for (auto& [id, node] : m_cluster->nodes) {
      m_publishers[id] = std::make_unique<ConfigPublisher>(m_publisher_settings,
                                                           node.replica.get());
    }
    m_cluster->delivery_delays = [this](NodeId from, NodeId to) {
      std::vector<Duration> delays;
      const bool is_blocked = m_isolated.count(from) != m_isolated.count(to);
      if (!is_blocked) delays.push_back(milliseconds(1));
      return delays;
    };
    m_cluster->on_non_agreement_message = [this](
                                              NodeId from,
                                              const OutgoingMessage& message) {
      const NodeId to = message.to;
      const auto follower = m_followers.find(to);
      Outbox out;
      if (follower != m_followers.end()) {
        out = follower->second->OnMessage(from, message.body, m_cluster->now);
      } else if (m_publishers.count(to) != 0) {
        out = m_publishers[to]->OnMessage(from, message.body, m_cluster->now);
      }
      m_cluster->Send(to, out);
    };
    m_cluster->on_tick = [this] {
      for (auto& [id, publisher] : m_publishers) {
        m_cluster->Send(id, publisher->OnTick(m_cluster->now));
      }
      for (auto& [id, follower] : m_followers) {
        m_cluster->Send(id, follower->OnTick(m_cluster->now));
      }
    };
  }

  void StartFollowers(std::uint32_t count) {
    m_follower_count = count;
    for (std::uint32_t i = 0; i < count; ++i) StartFollower(NodeId{kFirst + i});
    m_cluster->Run(std::chrono::seconds(3));
  }

  void StartFollower(NodeId id) {
    ConfigFollowerSettings settings;
    settings.self = id;
    settings.sources = m_cluster->settings.contacts;
    ConfigFollowerHooks hooks;
    hooks.random = [this] { return m_cluster->Random(); };
    hooks.peers = [this, id] {
      std::vector<NodeId> peers;
      for (std::uint32_t i = 0; i < m_follower_count; ++i) {
        if (kFirst + i != id.value) peers.push_back(NodeId{kFirst + i});
      }
      return peers;
    };
    m_blackboards[id] = std::make_unique<Blackboard>();
    m_followers[id] = std::make_unique<ConfigFollower>(
        settings, m_blackboards[id].get(), hooks);
  }

  void SubmitVersion(std::uint64_t version) {
    const Patch patch =
        PutWorkspacePatch("p" + std::to_string(version), version - 1, "w", 1);
    m_cluster->Submit(NodeId{1}, version, "ana", patch,
                      std::chrono::seconds(1));
    m_cluster->Run(milliseconds(20));
    CPPUNIT_ASSERT(m_cluster->answers[version].kind == OutcomeKind::kAccepted);
  }

  std::uint64_t PublishedVersion(std::uint32_t id) {
    return m_blackboards[NodeId{id}]->configuration.Read()->version.value;
  }

  void NewVersionReachesNineFollowersWithinASecond() {
    StartFollowers(9);
    for (std::uint64_t version = 1; version <= 5; ++version) {
      SubmitVersion(version);
      m_cluster->Run(std::chrono::seconds(1));
      for (std::uint32_t i = 0; i < 9; ++i) {
        CPPUNIT_ASSERT_EQUAL(version, PublishedVersion(kFirst + i));
      }
    }
  }

  void PartitionedDataCentreKeepsNewestVersion() {
    StartFollowers(4);
    SubmitVersion(1);
    m_cluster->Run(std::chrono::seconds(1));
    for (std::uint32_t i = 0; i < 4; ++i) m_isolated.insert(NodeId{kFirst + i});
    SubmitVersion(2);
    // A restarted follower can recover the version only from its peers.
    StartFollower(NodeId{kFirst + 3});
    m_cluster->Run(std::chrono::seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, PublishedVersion(kFirst + 3));
    CPPUNIT_ASSERT(m_followers[NodeId{kFirst}]->Staleness(m_cluster->now) >
                   std::chrono::seconds(2));
    m_isolated.clear();
    m_cluster->Run(std::chrono::seconds(15));
    for (std::uint32_t i = 0; i < 4; ++i) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, PublishedVersion(kFirst + i));
    }
  }

  void RestartNearStaleControlVmDoesNotRollBack() {
    StartFollowers(3);
    m_isolated.insert(NodeId{2});
    SubmitVersion(1);
    m_cluster->Run(std::chrono::seconds(1));
    // The restarted follower reaches all control VMs. The stale one is isolated
    // from the other two and answers first.
    m_isolated.clear();
    m_cluster->delivery_delays = [](NodeId from, NodeId to) {
      std::vector<Duration> delays;
      const bool is_control = from.value <= 3 && to.value <= 3;
      const bool is_blocked = is_control && (from.value == 2 || to.value == 2);
      if (!is_blocked) delays.push_back(milliseconds(from.value == 2 ? 1 : 9));
      return delays;
    };
    StartFollower(NodeId{kFirst});
    for (int step = 0; step < 300; ++step) {
      m_cluster->Run(milliseconds(10));
      const std::uint64_t version = PublishedVersion(kFirst);
      const auto configuration =
          m_blackboards[NodeId{kFirst}]->configuration.Read();
      // Either nothing or the newest version is published, never the stale one.
      CPPUNIT_ASSERT(version == 1 || configuration->workspaces.empty());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, PublishedVersion(kFirst));
    const auto stale = m_cluster->nodes[NodeId{2}].replica->configuration();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, stale->version.value);
  }

  // When 1000 nodes request a large configuration at once, the total sent stays
  // within the transfer budget; the remaining nodes receive a retry delay.
  void TransferBudgetLimitsSnapshots() {
    Patch patch = PutWorkspacePatch("many", 0, "w0", 1);
    for (int i = 1; i < 400; ++i) {
      Operation operation = patch.operations.front();
      operation.workspace.name = "w" + std::to_string(i);
      patch.operations.push_back(operation);
    }
    m_cluster->Submit(NodeId{1}, 1, "ana", patch, std::chrono::seconds(1));
    m_cluster->Run(std::chrono::seconds(1));
    ConfigPublisherSettings settings;
    settings.budget = {100'000, 200'000};
    ConfigPublisher publisher(settings,
                              m_cluster->nodes[NodeId{1}].replica.get());
    const Bytes poll = nlohmann::json::to_cbor(nlohmann::json{0U, 0U, 0U});
    std::size_t bytes = 0;
    constexpr std::uint32_t kNodes = 1000;
    for (std::uint32_t i = 0; i < kNodes; ++i) {
      const Outbox out =
          publisher.OnMessage(NodeId{1000 + i}, poll, m_cluster->now);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, out.size());
      bytes += out.front().body.size();
    }
    constexpr std::size_t kBusySize = 32;
    CPPUNIT_ASSERT(bytes > 100'000);
    CPPUNIT_ASSERT(bytes <= settings.budget.burst_bytes + kNodes * kBusySize);
  }

 private:
  ConfigPublisherSettings m_publisher_settings;
  std::unique_ptr<TestCluster> m_cluster;
  std::map<NodeId, std::unique_ptr<ConfigPublisher>> m_publishers;
  std::map<NodeId, std::unique_ptr<Blackboard>> m_blackboards;
  std::map<NodeId, std::unique_ptr<ConfigFollower>> m_followers;
  std::set<NodeId> m_isolated;
  std::uint32_t m_follower_count = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigFollowerTest);

}  // namespace
}  // namespace sardinelead
