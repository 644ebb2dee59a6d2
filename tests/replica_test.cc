#include "sardinelead/replica.h"

#include <cppunit/extensions/HelperMacros.h>

#include "replica_cluster.h"

namespace sardinelead {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

class ReplicaTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaTest);
  CPPUNIT_TEST(OneReplicaAppliesAPatch);
  CPPUNIT_TEST(ThreeReplicasAgree);
  CPPUNIT_TEST(ResendReturnsOriginalOutcome);
  CPPUNIT_TEST(WithoutAQuorumTheOutcomeIsUnknown);
  CPPUNIT_TEST(RepeatedDiskLossIsSafe);
  CPPUNIT_TEST(CorruptJournalForcesRejoin);
  CPPUNIT_TEST(LostJournalTailIsDetected);
  CPPUNIT_TEST(FailedSyncStopsVoting);
  CPPUNIT_TEST(FolderOfAnotherReplicaIsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  static std::unique_ptr<TestCluster> MakeCluster(std::uint32_t size) {
    auto cluster = std::make_unique<TestCluster>(7, size);
    for (std::uint32_t id = 1; id <= size; ++id) {
      cluster->Start(NodeId{id}, id == 1);
    }
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
    return cluster;
  }

  static void AssertOutcome(TestCluster* cluster, std::uint64_t request,
                            OutcomeKind kind) {
    CPPUNIT_ASSERT_EQUAL(std::string(Name(kind)),
                         std::string(Name(cluster->answers[request].kind)));
  }

  void OneReplicaAppliesAPatch() {
    const auto cluster = MakeCluster(1);
    cluster->Submit(NodeId{1}, 1, "ana", PutWorkspacePatch("a", 0, "w", 1),
                    kSecond);
    AssertOutcome(cluster.get(), 1, OutcomeKind::kAccepted);
  }

  void ThreeReplicasAgree() {
    const auto cluster = MakeCluster(3);
    cluster->Submit(NodeId{2}, 1, "ana", PutWorkspacePatch("a", 0, "w", 1),
                    kSecond);
    cluster->Submit(NodeId{3}, 2, "ben", PutWorkspacePatch("b", 0, "w", 2),
                    kSecond);
    cluster->Run(kSecond);
    const bool is_first = cluster->answers[1].kind == OutcomeKind::kAccepted;
    AssertOutcome(cluster.get(), is_first ? 1 : 2, OutcomeKind::kAccepted);
    AssertOutcome(cluster.get(), is_first ? 2 : 1, OutcomeKind::kRefused);
    for (auto& [id, node] : cluster->nodes) {
      const auto configuration = node.replica->configuration();
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, configuration->version.value);
      CPPUNIT_ASSERT_EQUAL(is_first ? 1U : 2U,
                           configuration->workspaces.at("w").share);
    }
  }

  static void Apply(TestCluster* cluster, std::uint32_t id,
                    std::uint64_t version) {
    const std::string name = "p" + std::to_string(version);
    cluster->Submit(NodeId{id}, version, "ana",
                    PutWorkspacePatch(name, version - 1, "w", 1), kSecond);
    cluster->Run(kSecond);
    AssertOutcome(cluster, version, OutcomeKind::kAccepted);
  }

  static void Submit(TestCluster* cluster, std::uint32_t id,
                     std::uint64_t request, const Patch& patch) {
    cluster->Submit(NodeId{id}, request, "ana", patch, kSecond);
    cluster->Run(kSecond + kSecond);
  }

  void ResendReturnsOriginalOutcome() {
    const auto cluster = MakeCluster(3);
    const Patch late = PutWorkspacePatch("late", 0, "w", 9);
    Apply(cluster.get(), 1, 1);
    Submit(cluster.get(), 2, 20, late);
    AssertOutcome(cluster.get(), 20, OutcomeKind::kRefused);
    Apply(cluster.get(), 3, 2);
    for (std::uint32_t id = 1; id <= 3; ++id) {
      cluster->Stop(NodeId{id});
      cluster->Start(NodeId{id});
    }
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
    Submit(cluster.get(), 3, 21, PutWorkspacePatch("p1", 0, "w", 1));
    Submit(cluster.get(), 1, 22, late);
    Submit(cluster.get(), 2, 23, PutWorkspacePatch("p1", 2, "w", 7));
    AssertOutcome(cluster.get(), 21, OutcomeKind::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, cluster->answers[21].version.value);
    AssertOutcome(cluster.get(), 22, OutcomeKind::kRefused);
    AssertOutcome(cluster.get(), 23, OutcomeKind::kRefused);
    CPPUNIT_ASSERT(cluster->answers[23].error.code ==
                   ErrorCode::kPatchIdReused);
  }

  void WithoutAQuorumTheOutcomeIsUnknown() {
    const auto cluster = MakeCluster(3);
    cluster->Stop(NodeId{1});
    cluster->Stop(NodeId{2});
    const Patch patch = PutWorkspacePatch("a", 0, "w", 1);
    Submit(cluster.get(), 3, 1, patch);
    AssertOutcome(cluster.get(), 1, OutcomeKind::kUnknown);
    const auto status = cluster->nodes[NodeId{3}].replica->Status(cluster->now);
    CPPUNIT_ASSERT(status.staleness >= kSecond);
    cluster->Start(NodeId{1});
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
    Submit(cluster.get(), 1, 2, patch);
    AssertOutcome(cluster.get(), 2, OutcomeKind::kAccepted);
  }

  void RepeatedDiskLossIsSafe() {
    const auto cluster = MakeCluster(3);
    std::uint64_t version = 0;
    for (const std::uint32_t id : {1, 2, 3, 1}) {
      Apply(cluster.get(), id, ++version);
      TestNode& node = cluster->nodes[NodeId{id}];
      cluster->Stop(NodeId{id});
      node.disk.Erase();
      cluster->Start(NodeId{id});
      CPPUNIT_ASSERT(node.replica->Status(cluster->now).role ==
                     ReplicaRole::kJoining);
      CPPUNIT_ASSERT(cluster->RunUntilVoting());
    }
    Apply(cluster.get(), 2, ++version);
  }

  // Damages the journal of replica 2, which must then stop voting from its old
  // store and rejoin with a new one.
  static void AssertRejoins(const std::function<void(Bytes*)>& damage) {
    const auto cluster = MakeCluster(3);
    Apply(cluster.get(), 2, 1);
    TestNode& node = cluster->nodes[NodeId{2}];
    const auto store = [&node] {
      return (*Journal(node.disk.Hooks()).ReadIdentity())->store;
    };
    const std::uint64_t old_store = store();
    cluster->Stop(NodeId{2});
    damage(&node.disk.Find("journal-")->synced);
    cluster->Start(NodeId{2});
    CPPUNIT_ASSERT(node.replica->Status(cluster->now).role !=
                   ReplicaRole::kVoting);
    cluster->Run(kSecond);
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
    CPPUNIT_ASSERT(old_store != store());
    Apply(cluster.get(), 2, 2);
  }

  void CorruptJournalForcesRejoin() {
    AssertRejoins([](Bytes* journal) { (*journal)[40] ^= 1; });
  }

  // Whole synced records are lost. The journal still looks valid, so only the
  // peers can detect the loss.
  void LostJournalTailIsDetected() {
    AssertRejoins([](Bytes* journal) { journal->clear(); });
  }

  void FailedSyncStopsVoting() {
    const auto cluster = MakeCluster(3);
    MemoryDisk& disk = cluster->nodes[NodeId{1}].disk;
    disk.fails_sync = true;
    Submit(cluster.get(), 1, 50, PutWorkspacePatch("a", 0, "v", 1));
    AssertOutcome(cluster.get(), 50, OutcomeKind::kUnknown);
    disk.fails_sync = false;
    const int syncs = disk.syncs;
    Submit(cluster.get(), 2, 51, PutWorkspacePatch("b", 0, "w", 1));
    CPPUNIT_ASSERT(cluster->answers[51].kind != OutcomeKind::kUnknown);
    CPPUNIT_ASSERT_EQUAL(syncs, disk.syncs);
    cluster->Stop(NodeId{1});
    cluster->Start(NodeId{1});
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
  }

  void FolderOfAnotherReplicaIsRefused() {
    const auto cluster = MakeCluster(3);
    cluster->Stop(NodeId{1});
    cluster->Stop(NodeId{2});
    auto& nodes = cluster->nodes;
    std::swap(nodes[NodeId{1}].disk.files(), nodes[NodeId{2}].disk.files());
    cluster->Start(NodeId{1});
    CPPUNIT_ASSERT(!cluster->IsUp(NodeId{1}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaTest);

}  // namespace
}  // namespace sardinelead
