// Tests of leaving, and of the removal of unresponsive members: a planned
// replacement followed by a loss must leave a quorum.

#include <cppunit/extensions/HelperMacros.h>

#include <initializer_list>
#include <set>

#include "quick.h"
#include "replica_cluster.h"
#include "sardinelead/replica.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr Duration kUnresponsiveTimeout = 2 * kSecond;
// By then, a VM that replaced another one counts as recovered.
constexpr Duration kCatchUp = 2 * kUnresponsiveTimeout;

struct Size {
  std::uint32_t members;
  std::uint32_t tolerated_losses;
};
std::uint64_t FinalFaultSeeds() {
  return static_cast<std::uint64_t>(CaseCount(10));
}

constexpr Size kSizes[] = {{3, 1}, {4, 1}, {5, 2}, {6, 2}, {8, 2}};

class ReplicaMembersTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaMembersTest);
  CPPUNIT_TEST(PlannedReplacementThenLossKeepsQuorum);
  CPPUNIT_TEST(CrashedMemberReplacedThenLossKeepsQuorum);
  CPPUNIT_TEST(SuccessorThatJoinsDuringTheStopKeepsQuorum);
  CPPUNIT_TEST(TwoReplacementsAtOnceKeepQuorum);
  CPPUNIT_TEST(NeverBelowMinMembers);
  CPPUNIT_TEST(ConcurrentRemovalsStopAtMinMembers);
  CPPUNIT_TEST(LeaverThatReturnsWithItsDiskJoinsAgain);
  CPPUNIT_TEST(CutOffMemberJoinsAgain);
  CPPUNIT_TEST(PausedReplicaRemovesNoRunningMember);
  CPPUNIT_TEST(RemovalOfAnOlderStoreIsRefused);
  CPPUNIT_TEST(DisksLostLongAfterARejoinKeepQuorum);
  CPPUNIT_TEST(DisksLostLongAfterAReplacementKeepQuorum);
  CPPUNIT_TEST(DisksLostLongAfterARemovalKeepQuorum);
  CPPUNIT_TEST(LostDiskWithOutdatedContactsJoinsAgain);
  CPPUNIT_TEST_SUITE_END();

 public:
  static std::unique_ptr<TestCluster> MakeCluster(const Size& size,
                                                  std::uint64_t seed = 7) {
    auto cluster = std::make_unique<TestCluster>(seed, size.members);
    cluster->settings.contacts.resize(3);
    cluster->settings.allow_automatic_join = true;
    cluster->settings.min_members = 2 * size.tolerated_losses + 1;
    cluster->settings.unresponsive_timeout = kUnresponsiveTimeout;
    for (std::uint32_t id = 1; id <= size.members; ++id) {
      cluster->Start(NodeId{id}, id == 1);
    }
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
    cluster->Run(kSecond);
    AssertMembers(cluster.get(), 1, Range(1, size.members));
    return cluster;
  }

  static std::set<NodeId> Range(std::uint32_t first, std::uint32_t last) {
    std::set<NodeId> ids;
    for (std::uint32_t id = first; id <= last; ++id) ids.insert(NodeId{id});
    return ids;
  }

  static std::set<NodeId> MembersOf(TestCluster* cluster, std::uint32_t id) {
    std::set<NodeId> members;
    const auto status =
        cluster->nodes[NodeId{id}].replica->Status(cluster->now);
    for (const auto& [member, joined] : status.members) members.insert(member);
    return members;
  }

  static void AssertMembers(TestCluster* cluster, std::uint32_t id,
                            const std::set<NodeId>& expected) {
    CPPUNIT_ASSERT(MembersOf(cluster, id) == expected);
  }

  // Stops a replica as planned: it leaves, and ends `after` its request.
  static void StopPlanned(TestCluster* cluster, std::uint32_t id,
                          Duration after = milliseconds(200)) {
    Leave(cluster, id);
    cluster->Run(after);
    cluster->Stop(NodeId{id});
  }

  static void Leave(TestCluster* cluster, std::uint32_t id) {
    TestNode& node = cluster->nodes[NodeId{id}];
    cluster->Take(
        NodeId{id},
        node.replica->Leave(1000 + id, cluster->now + kSecond, cluster->now));
  }

  // Asserts that a document submitted at `id` is accepted.
  static void AssertDecides(TestCluster* cluster, std::uint32_t id,
                            std::uint64_t version) {
    TestNode& node = cluster->nodes[NodeId{id}];
    const Document document{ConfigVersion{version},
                            std::make_shared<const Bytes>(Bytes{1})};
    cluster->Take(NodeId{id},
                  node.replica->Submit(version, document,
                                       cluster->now + kSecond, cluster->now));
    cluster->Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cluster->answers.count(version));
    CPPUNIT_ASSERT_EQUAL(std::string("accepted"),
                         std::string(Name(cluster->answers[version].kind)));
  }

  static void Partition(TestCluster* cluster,
                        const std::set<std::uint32_t>& side) {
    cluster->delivery_delays = [side](NodeId from, NodeId to) {
      const bool crosses = side.count(from.value) != side.count(to.value);
      if (crosses) return std::vector<Duration>{};
      return std::vector<Duration>{milliseconds(1)};
    };
  }

  // The successor runs before the old replica stops, so the old one is surplus.
  // The tolerated losses follow at once.
  void PlannedReplacementThenLossKeepsQuorum() {
    for (const Size& size : kSizes) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto cluster = MakeCluster(size, seed);
        const std::uint32_t successor = size.members + 1;
        cluster->Start(NodeId{successor});
        cluster->Run(kCatchUp);
        StopPlanned(cluster.get(), 1);
        for (std::uint32_t i = 0; i < size.tolerated_losses; ++i) {
          cluster->Stop(NodeId{2 + i});
        }
        cluster->Run(milliseconds(100));
        AssertDecides(cluster.get(), successor, 5);
        // A new VM with an empty disk can join although the losses persist. Its
        // contacts are those of the present, among them one that is down.
        cluster->settings.contacts = {NodeId{2}, NodeId{successor}};
        cluster->Start(NodeId{successor + 1});
        cluster->Run(kCatchUp);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            std::to_string(size.members) + " members, seed " +
                std::to_string(seed),
            std::size_t{1},
            MembersOf(cluster.get(), successor).count(NodeId{successor + 1}));
      }
    }
  }

  // A member crashes for good and its successor starts right afterwards. Once
  // that one counts as recovered, the tolerated losses follow.
  void CrashedMemberReplacedThenLossKeepsQuorum() {
    for (const Size& size : kSizes) {
      const auto cluster = MakeCluster(size);
      const std::uint32_t successor = size.members + 1;
      cluster->Stop(NodeId{1});
      cluster->Run(milliseconds(300));
      cluster->Start(NodeId{successor});
      cluster->Run(kCatchUp);
      for (std::uint32_t i = 0; i < size.tolerated_losses; ++i) {
        cluster->Stop(NodeId{2 + i});
      }
      cluster->Run(milliseconds(100));
      AssertDecides(cluster.get(), successor, 5);
    }
  }

  // The successor starts while the old replica is stopping, so the vote of the
  // old one may still be needed when it leaves.
  void SuccessorThatJoinsDuringTheStopKeepsQuorum() {
    for (const Size& size : kSizes) {
      for (std::uint32_t step = 0; step < 20; ++step) {
        const auto cluster = MakeCluster(size, 1 + step);
        const std::uint32_t successor = size.members + 1;
        cluster->Start(NodeId{successor});
        cluster->Run(milliseconds(25 * step));
        StopPlanned(cluster.get(), 1);
        cluster->Run(kCatchUp);
        for (std::uint32_t i = 0; i < size.tolerated_losses; ++i) {
          cluster->Stop(NodeId{2 + i});
        }
        cluster->Run(milliseconds(100));
        AssertDecides(cluster.get(), successor, 5);
      }
    }
  }

  void TwoReplacementsAtOnceKeepQuorum() {
    for (const Size& size : kSizes) {
      const auto cluster = MakeCluster(size);
      const std::uint32_t successor = size.members + 1;
      cluster->Start(NodeId{successor});
      cluster->Start(NodeId{successor + 1});
      cluster->Run(kCatchUp);
      Leave(cluster.get(), 1);
      Leave(cluster.get(), 2);
      cluster->Run(milliseconds(500));
      cluster->Stop(NodeId{1});
      cluster->Stop(NodeId{2});
      for (std::uint32_t i = 0; i < size.tolerated_losses; ++i) {
        cluster->Stop(NodeId{3 + i});
      }
      cluster->Run(milliseconds(100));
      AssertDecides(cluster.get(), successor, 5);
    }
  }

  void NeverBelowMinMembers() {
    for (const Size& size : kSizes) {
      const auto cluster = MakeCluster(size);
      const std::size_t min_members = cluster->settings.min_members;
      // One after the other leaves, as when all are restarted in turn.
      for (std::uint32_t id = size.members; id > min_members; --id) {
        StopPlanned(cluster.get(), id);
      }
      AssertMembers(cluster.get(), 1,
                    Range(1, static_cast<std::uint32_t>(min_members)));
      StopPlanned(cluster.get(), static_cast<std::uint32_t>(min_members));
      cluster->Run(3 * kUnresponsiveTimeout);
      AssertMembers(cluster.get(), 1,
                    Range(1, static_cast<std::uint32_t>(min_members)));
      AssertDecides(cluster.get(), 1, 5);
    }
  }

  // All replicas ask to leave at the same moment.
  void ConcurrentRemovalsStopAtMinMembers() {
    for (const Size& size : kSizes) {
      for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        const auto cluster = MakeCluster(size, seed);
        for (std::uint32_t id = 1; id <= size.members; ++id) {
          Leave(cluster.get(), id);
        }
        cluster->Run(2 * kSecond);
        for (std::uint32_t id = 1; id <= size.members; ++id) {
          CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                               cluster->answers.count(1000 + id));
          CPPUNIT_ASSERT(MembersOf(cluster.get(), id).size() >=
                         cluster->settings.min_members);
        }
      }
    }
  }

  void LeaverThatReturnsWithItsDiskJoinsAgain() {
    const Size size{4, 1};
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      const auto cluster = MakeCluster(size, seed);
      AssertDecides(cluster.get(), 1, 5);
      StopPlanned(cluster.get(), 2, milliseconds(seed * 10));
      cluster->Run(milliseconds(seed * 50));
      cluster->Start(NodeId{2});
      cluster->Run(kSecond);
      AssertMembers(cluster.get(), 1, Range(1, size.members));
      CPPUNIT_ASSERT(
          cluster->nodes[NodeId{2}].replica->Status(cluster->now).role ==
          ReplicaRole::kVoting);
      cluster->Stop(NodeId{3});
      AssertDecides(cluster.get(), 2, 6);
    }
  }

  // A partition makes a member look gone; it is removed and joins again.
  void CutOffMemberJoinsAgain() {
    const auto cluster = MakeCluster({4, 1});
    Partition(cluster.get(), {4});
    cluster->Run(2 * kUnresponsiveTimeout);
    AssertMembers(cluster.get(), 1, Range(1, 3));
    cluster->Stop(NodeId{3});
    AssertDecides(cluster.get(), 1, 5);
    cluster->Start(NodeId{3});
    cluster->Run(kSecond);
    Partition(cluster.get(), {});
    cluster->Run(kCatchUp);
    AssertMembers(cluster.get(), 1, Range(1, 4));
    AssertDecides(cluster.get(), 4, 6);
  }

  // A replica that was paused for longer than the timeout has not received from
  // any member meanwhile. Resumed, it must not have them removed.
  void PausedReplicaRemovesNoRunningMember() {
    const auto cluster = MakeCluster({4, 1});
    auto paused = std::move(cluster->nodes[NodeId{1}].replica);
    cluster->Run(kUnresponsiveTimeout - milliseconds(300));
    const std::uint64_t index =
        cluster->nodes[NodeId{2}].replica->Status(cluster->now).log_index;
    // The others pause as well, so that replica 1 is not removed itself.
    cluster->now += kUnresponsiveTimeout;
    cluster->nodes[NodeId{1}].replica = std::move(paused);
    cluster->Run(kSecond);
    for (std::uint32_t id = 1; id <= 4; ++id) {
      AssertMembers(cluster.get(), id, Range(1, 4));
    }
    CPPUNIT_ASSERT_EQUAL(
        index,
        cluster->nodes[NodeId{2}].replica->Status(cluster->now).log_index);
  }

  // A removal that is decided late must not remove a member that has joined
  // again meanwhile.
  void RemovalOfAnOlderStoreIsRefused() {
    const auto cluster = MakeCluster({4, 1});
    ReplicaChange change;
    change.id = "late";
    change.remove = NodeId{4};
    change.remove_store = 12345;
    TestNode& node = cluster->nodes[NodeId{1}];
    cluster->Take(NodeId{1},
                  node.replica->Submit(1, "operator", change,
                                       cluster->now + kSecond, cluster->now));
    cluster->Run(kSecond);
    CPPUNIT_ASSERT(cluster->answers[1].kind == OutcomeKind::kRefused);
    AssertMembers(cluster.get(), 1, Range(1, 4));
  }

  static void LoseDisk(TestCluster* cluster, std::uint32_t id) {
    cluster->Stop(NodeId{id});
    cluster->nodes[NodeId{id}].disk.Erase();
    cluster->Start(NodeId{id});
  }

  // Kills all running replicas at once, erases the disks of `lost`, restarts
  // all and asserts that they decide again.
  static void AssertSurvivesFinalFault(TestCluster* cluster,
                                       const std::set<NodeId>& lost,
                                       const std::string& message) {
    std::set<NodeId> running;
    for (const auto& [id, node] : cluster->nodes) {
      if (node.replica) running.insert(id);
    }
    for (const NodeId id : running) cluster->Stop(id);
    for (const NodeId id : lost) cluster->nodes[id].disk.Erase();
    for (const NodeId id : running) cluster->Start(id);
    CPPUNIT_ASSERT_MESSAGE(message, cluster->RunUntilVoting());
    AssertDecides(cluster, running.rbegin()->value, 9);
  }

  static std::string Describe(const Size& size, std::uint64_t seed) {
    return std::to_string(size.members) + " members, seed " +
           std::to_string(seed);
  }

  // Guards against a lost quorum: replicas lost their disks and joined again;
  // long after, all are killed and others lose theirs (review, case 1).
  void DisksLostLongAfterARejoinKeepQuorum() {
    for (const Size& size : kSizes) {
      for (std::uint64_t seed = 1; seed <= FinalFaultSeeds(); ++seed) {
        const auto cluster = MakeCluster(size, seed);
        AssertDecides(cluster.get(), 1, 5);
        std::set<NodeId> lost;
        for (std::uint32_t i = 1; i <= size.tolerated_losses; ++i) {
          LoseDisk(cluster.get(), i);
          lost.insert(NodeId{size.tolerated_losses + i});
        }
        cluster->Run(kCatchUp);
        AssertSurvivesFinalFault(cluster.get(), lost, Describe(size, seed));
      }
    }
  }

  // The same after a crashed replica was replaced by another one.
  void DisksLostLongAfterAReplacementKeepQuorum() {
    for (const Size& size : kSizes) {
      for (std::uint64_t seed = 1; seed <= FinalFaultSeeds(); ++seed) {
        const auto cluster = MakeCluster(size, seed);
        AssertDecides(cluster.get(), 1, 5);
        cluster->Stop(NodeId{1});
        cluster->Run(milliseconds(300));
        cluster->Start(NodeId{size.members + 1});
        cluster->Run(kCatchUp);
        cluster->settings.contacts = {NodeId{size.members + 1}, NodeId{2},
                                      NodeId{3}};
        std::set<NodeId> lost;
        for (std::uint32_t i = 1; i <= size.tolerated_losses; ++i) {
          lost.insert(NodeId{1 + i});
        }
        AssertSurvivesFinalFault(cluster.get(), lost, Describe(size, seed));
      }
    }
  }

  // The same after surplus members have left for good.
  void DisksLostLongAfterARemovalKeepQuorum() {
    for (const Size& size : kSizes) {
      for (std::uint64_t seed = 1; seed <= FinalFaultSeeds(); ++seed) {
        const auto cluster = MakeCluster(size, seed);
        AssertDecides(cluster.get(), 1, 5);
        const auto min_members =
            static_cast<std::uint32_t>(cluster->settings.min_members);
        for (std::uint32_t id = size.members; id > min_members; --id) {
          StopPlanned(cluster.get(), id);
        }
        cluster->Run(kCatchUp);
        std::set<NodeId> lost;
        for (std::uint32_t i = 1; i <= size.tolerated_losses; ++i) {
          lost.insert(NodeId{i});
        }
        AssertSurvivesFinalFault(cluster.get(), lost, Describe(size, seed));
      }
    }
  }

  // Guards against replicas that lose their disks and never join again, because
  // their contacts are the first replicas of the cluster, of which one was
  // replaced and the others lost their disks as well.
  void LostDiskWithOutdatedContactsJoinsAgain() {
    for (const Size& size : kSizes) {
      const auto cluster = MakeCluster(size);
      AssertDecides(cluster.get(), 1, 5);
      cluster->Stop(NodeId{1});
      cluster->Run(milliseconds(300));
      cluster->Start(NodeId{size.members + 1});
      cluster->Run(kCatchUp);
      std::set<NodeId> lost;
      for (std::uint32_t i = 1; i <= size.tolerated_losses; ++i) {
        lost.insert(NodeId{1 + i});
      }
      AssertSurvivesFinalFault(cluster.get(), lost, Describe(size, 7));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaMembersTest);

}  // namespace
}  // namespace sardinelead
