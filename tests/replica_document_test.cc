// Documents, reads that cannot be stale, and replicas that join by themselves.

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "replica_cluster.h"
#include "sardinelead/replica.h"

namespace sardinelead {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

class ReplicaDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaDocumentTest);
  CPPUNIT_TEST(TheHighestVersionStands);
  CPPUNIT_TEST(AnEqualOrLowerVersionIsAcceptedAndChangesNothing);
  CPPUNIT_TEST(RacingVersionsEndAlikeEverywhere);
  CPPUNIT_TEST(NothingIsAcceptedBeforeEnoughJoined);
  CPPUNIT_TEST(AnAcceptedDocumentOutlivesLossOfADiskAndPower);
  CPPUNIT_TEST(EveryLossAfterAnAnswerKeepsIt);
  CPPUNIT_TEST(AReadAtAMinorityIsNotConfirmed);
  CPPUNIT_TEST(AReadWaitsForWhatWasAccepted);
  CPPUNIT_TEST(AReadIsConfirmedByTheMembersOfItsState);
  CPPUNIT_TEST(AReplicaAtANewAddressTakesTheSilentOnesPlace);
  CPPUNIT_TEST(AFullClusterIsFollowedWithoutAVote);
  CPPUNIT_TEST(ARemovedReplicaComesBackWithAnotherStore);
  CPPUNIT_TEST(AFullDiskStopsVotesNotAnswers);
  CPPUNIT_TEST(LongDocumentsAreCompactedBySize);
  CPPUNIT_TEST_SUITE_END();

 public:
  static std::unique_ptr<TestCluster> MakeCluster(std::uint32_t size,
                                                  std::uint64_t seed = 7) {
    auto cluster = std::make_unique<TestCluster>(seed, size);
    // Only three are named; the others must find their way in.
    cluster->settings.contacts.resize(std::min<std::size_t>(size, 3));
    cluster->settings.open_membership = true;
    cluster->settings.min_members = std::min<std::uint32_t>(size, 3);
    for (std::uint32_t id = 1; id <= size; ++id) {
      cluster->Start(NodeId{id}, id == 1);
    }
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
    cluster->Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{size}, MembersOf(cluster.get(), 1).size());
    return cluster;
  }

  static std::set<NodeId> MembersOf(TestCluster* cluster, std::uint32_t id) {
    std::set<NodeId> members;
    const auto status =
        cluster->nodes[NodeId{id}].replica->Status(cluster->now);
    for (const auto& [member, joined] : status.members) members.insert(member);
    return members;
  }

  static Document MakeDocument(std::uint64_t version, std::uint8_t content) {
    return {ConfigVersion{version},
            std::make_shared<const Bytes>(Bytes{content, content})};
  }

  static void Submit(TestCluster* cluster, std::uint32_t id,
                     std::uint64_t request, const Document& document) {
    TestNode& node = cluster->nodes[NodeId{id}];
    cluster->Take(NodeId{id},
                  node.replica->Submit(request, document,
                                       cluster->now + kSecond, cluster->now));
    while (node.replica->NeedsSync()) {
      cluster->Take(NodeId{id}, node.replica->Sync(cluster->now));
    }
  }

  static void Read(TestCluster* cluster, std::uint32_t id,
                   std::uint64_t request) {
    TestNode& node = cluster->nodes[NodeId{id}];
    cluster->Take(NodeId{id},
                  node.replica->ConfirmRead(request, cluster->now + kSecond,
                                            cluster->now));
  }

  static void AssertOutcome(TestCluster* cluster, std::uint64_t request,
                            OutcomeKind kind) {
    CPPUNIT_ASSERT(cluster->answers.count(request) == 1);
    CPPUNIT_ASSERT_EQUAL(std::string(Name(kind)),
                         std::string(Name(cluster->answers[request].kind)));
  }

  static void AssertDocument(TestCluster* cluster, std::uint32_t id,
                             std::uint64_t version, std::uint8_t content) {
    const Document& held = cluster->nodes[NodeId{id}].replica->document();
    CPPUNIT_ASSERT_EQUAL(version, held.version.value);
    CPPUNIT_ASSERT(*held.content == Bytes({content, content}));
  }

  // Cuts messages between the two sides.
  static void Cut(TestCluster* cluster, const std::set<std::uint32_t>& side) {
    cluster->deliveries = [side](NodeId from, NodeId to) {
      const bool crosses = side.count(from.value) != side.count(to.value);
      if (crosses) return std::vector<Duration>{};
      return std::vector<Duration>{std::chrono::milliseconds(1)};
    };
  }

  void TheHighestVersionStands() {
    const auto cluster = MakeCluster(4);
    Submit(cluster.get(), 4, 1, MakeDocument(5, 50));
    cluster->Run(kSecond);
    AssertOutcome(cluster.get(), 1, OutcomeKind::kAccepted);
    Submit(cluster.get(), 2, 2, MakeDocument(9, 90));
    cluster->Run(kSecond);
    AssertOutcome(cluster.get(), 2, OutcomeKind::kAccepted);
    for (std::uint32_t id = 1; id <= 4; ++id) {
      AssertDocument(cluster.get(), id, 9, 90);
    }
  }

  void AnEqualOrLowerVersionIsAcceptedAndChangesNothing() {
    const auto cluster = MakeCluster(4);
    Submit(cluster.get(), 1, 1, MakeDocument(9, 90));
    cluster->Run(kSecond);
    Submit(cluster.get(), 2, 2, MakeDocument(9, 91));
    Submit(cluster.get(), 3, 3, MakeDocument(4, 40));
    Submit(cluster.get(), 4, 4, MakeDocument(9, 90));
    cluster->Run(kSecond);
    for (std::uint64_t request = 2; request <= 4; ++request) {
      AssertOutcome(cluster.get(), request, OutcomeKind::kAccepted);
    }
    for (std::uint32_t id = 1; id <= 4; ++id) {
      AssertDocument(cluster.get(), id, 9, 90);
    }
  }

  void RacingVersionsEndAlikeEverywhere() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      const auto cluster = MakeCluster(4, seed);
      for (std::uint32_t id = 1; id <= 4; ++id) {
        Submit(cluster.get(), id, id,
               MakeDocument(10, static_cast<std::uint8_t>(id)));
        Submit(cluster.get(), id, 10 + id,
               MakeDocument(10 + id, static_cast<std::uint8_t>(10 + id)));
      }
      cluster->Run(2 * kSecond);
      for (std::uint32_t id = 1; id <= 4; ++id) {
        AssertOutcome(cluster.get(), id, OutcomeKind::kAccepted);
        AssertOutcome(cluster.get(), 10 + id, OutcomeKind::kAccepted);
        AssertDocument(cluster.get(), id, 14, 14);
      }
    }
  }

  void NothingIsAcceptedBeforeEnoughJoined() {
    TestCluster cluster(7, 3);
    cluster.settings.open_membership = true;
    cluster.settings.min_members = 3;
    cluster.Start(NodeId{1}, true);
    cluster.Start(NodeId{2});
    cluster.Run(2 * kSecond);
    Submit(&cluster, 1, 1, MakeDocument(1, 1));
    cluster.Run(kSecond);
    AssertOutcome(&cluster, 1, OutcomeKind::kUnknown);
    cluster.Start(NodeId{3});
    cluster.Run(2 * kSecond);
    Submit(&cluster, 1, 2, MakeDocument(1, 1));
    cluster.Run(kSecond);
    AssertOutcome(&cluster, 2, OutcomeKind::kAccepted);
  }

  void AnAcceptedDocumentOutlivesLossOfADiskAndPower() {
    for (std::uint32_t wiped = 1; wiped <= 4; ++wiped) {
      const auto cluster = MakeCluster(4);
      Submit(cluster.get(), 1, 1, MakeDocument(3, 30));
      cluster->Run(kSecond);
      AssertOutcome(cluster.get(), 1, OutcomeKind::kAccepted);
      AssertSurvives(cluster.get(), wiped);
    }
  }

  // All lose power; one loses its disk as well.
  static void AssertSurvives(TestCluster* cluster, std::uint32_t wiped) {
    for (std::uint32_t id = 1; id <= 4; ++id) cluster->Stop(NodeId{id});
    cluster->nodes[NodeId{wiped}].disk.Erase();
    for (std::uint32_t id = 1; id <= 4; ++id) cluster->Start(NodeId{id});
    cluster->Run(5 * kSecond);
    for (std::uint32_t id = 1; id <= 4; ++id) {
      AssertDocument(cluster, id, 3, 30);
    }
    Read(cluster, wiped, 99);
    cluster->Run(kSecond);
    AssertOutcome(cluster, 99, OutcomeKind::kAccepted);
  }

  // The loss comes in the very moment of the answer.
  void EveryLossAfterAnAnswerKeepsIt() {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      const auto cluster = MakeCluster(4, seed);
      const auto proposer = static_cast<std::uint32_t>(1 + seed % 4);
      Submit(cluster.get(), proposer, 1, MakeDocument(3, 30));
      while (cluster->answers.count(1) == 0) {
        cluster->Run(std::chrono::microseconds(100));
      }
      AssertOutcome(cluster.get(), 1, OutcomeKind::kAccepted);
      AssertSurvives(cluster.get(),
                     static_cast<std::uint32_t>(1 + seed / 4 % 4));
    }
  }

  void AReadAtAMinorityIsNotConfirmed() {
    const auto cluster = MakeCluster(4);
    Submit(cluster.get(), 1, 1, MakeDocument(1, 1));
    cluster->Run(kSecond);
    Cut(cluster.get(), {4});
    Submit(cluster.get(), 1, 2, MakeDocument(2, 2));
    cluster->Run(kSecond);
    AssertOutcome(cluster.get(), 2, OutcomeKind::kAccepted);
    Read(cluster.get(), 4, 3);
    Read(cluster.get(), 2, 4);
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 3, OutcomeKind::kUnknown);
    AssertOutcome(cluster.get(), 4, OutcomeKind::kAccepted);
    // Half from half: neither side is sure.
    Cut(cluster.get(), {3, 4});
    Read(cluster.get(), 1, 5);
    Read(cluster.get(), 3, 6);
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 5, OutcomeKind::kUnknown);
    AssertOutcome(cluster.get(), 6, OutcomeKind::kUnknown);
  }

  // A replica that missed an accepted document answers a read with it or not
  // at all, however soon after it was healed.
  void AReadWaitsForWhatWasAccepted() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      const auto cluster = MakeCluster(4, seed);
      Cut(cluster.get(), {4});
      Submit(cluster.get(), 1, 1, MakeDocument(2, 2));
      cluster->Run(kSecond);
      AssertOutcome(cluster.get(), 1, OutcomeKind::kAccepted);
      std::uint64_t seen = 0;
      cluster->on_answer = [&](NodeId id, const Answer& answer) {
        if (answer.outcome.kind != OutcomeKind::kAccepted) return;
        seen = cluster->nodes[id].replica->document().version.value;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, seen);
      };
      cluster->deliveries = [&](NodeId, NodeId) {
        return std::vector<Duration>{
            std::chrono::milliseconds(1 + cluster->Random() % 40)};
      };
      for (std::uint64_t read = 0; read < 5; ++read) {
        Read(cluster.get(), 4, 50 + read);
        cluster->Run(std::chrono::milliseconds(20));
      }
      cluster->Run(2 * kSecond);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, seen);
    }
  }

  // Replica 4 takes the place of 3 while 1 is cut off together with 3, at each
  // moment of that change. The quorum {1, 3} of before and {2, 4} of after do
  // not meet, so 1 must not be confirmed by 3 once it knows of the change.
  void AReadIsConfirmedByTheMembersOfItsState() {
    int accepted_reads = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      for (int step = 0; step < 500; ++step) {
        const auto cluster = MakeCluster(3, seed);
        Cut(cluster.get(), {3});
        cluster->Run(9 * kSecond);
        cluster->Start(NodeId{4});
        cluster->Run(std::chrono::milliseconds(190) +
                     std::chrono::microseconds(500 * step));
        Cut(cluster.get(), {1, 3});
        const TimePoint end = cluster->now + kSecond;
        for (std::uint64_t request = 10; cluster->now < end; ++request) {
          Submit(cluster.get(), 2, request, MakeDocument(2, 2));
          cluster->Run(std::chrono::milliseconds(2));
          if (cluster->answers[10].kind == OutcomeKind::kAccepted) break;
        }
        if (cluster->answers[10].kind != OutcomeKind::kAccepted) continue;
        Read(cluster.get(), 1, 2);
        cluster->Run(2 * kSecond);
        if (cluster->answers[2].kind != OutcomeKind::kAccepted) continue;
        ++accepted_reads;
        const auto& held = cluster->nodes[NodeId{1}].replica->document();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, held.version.value);
      }
    }
    // Cut off with a removed member, 1 can never be sure.
    CPPUNIT_ASSERT_EQUAL(0, accepted_reads);
  }

  void AReplicaAtANewAddressTakesTheSilentOnesPlace() {
    const auto cluster = MakeCluster(4);
    Submit(cluster.get(), 1, 1, MakeDocument(1, 1));
    cluster->Run(kSecond);
    cluster->Stop(NodeId{4});
    cluster->Run(9 * kSecond);
    cluster->Start(NodeId{5});
    cluster->Run(3 * kSecond);
    const std::set<NodeId> expected = {NodeId{1}, NodeId{2}, NodeId{3},
                                       NodeId{5}};
    CPPUNIT_ASSERT(MembersOf(cluster.get(), 1) == expected);
    AssertDocument(cluster.get(), 5, 1, 1);
    // It counts: with another one down there still is a quorum.
    cluster->Stop(NodeId{1});
    Submit(cluster.get(), 5, 2, MakeDocument(2, 2));
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 2, OutcomeKind::kAccepted);
  }

  // Found by the sweep at 300 machines: requests to join a full cluster were
  // decided one after the other, for good.
  void AFullClusterIsFollowedWithoutAVote() {
    const auto cluster = MakeCluster(3);
    cluster->settings.max_members = 3;
    for (std::uint32_t id = 1; id <= 3; ++id) {
      cluster->Stop(NodeId{id});
      cluster->Start(NodeId{id});
    }
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
    cluster->Start(NodeId{4});
    cluster->Run(kSecond);
    const auto index_of_1 = [&] {
      return cluster->nodes[NodeId{1}].replica->Status(cluster->now).log_index;
    };
    const std::uint64_t before = index_of_1();
    cluster->Run(5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(before, index_of_1());
    Submit(cluster.get(), 2, 1, MakeDocument(5, 50));
    cluster->Run(kSecond);
    AssertOutcome(cluster.get(), 1, OutcomeKind::kAccepted);
    AssertDocument(cluster.get(), 4, 5, 50);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, MembersOf(cluster.get(), 1).size());
    // It takes the place of a member that is gone.
    cluster->Stop(NodeId{3});
    cluster->Run(12 * kSecond);
    CPPUNIT_ASSERT(MembersOf(cluster.get(), 1) ==
                   std::set<NodeId>({NodeId{1}, NodeId{2}, NodeId{4}}));
  }

  void ARemovedReplicaComesBackWithAnotherStore() {
    const auto cluster = MakeCluster(4);
    Submit(cluster.get(), 4, 1, MakeDocument(1, 1));
    cluster->Run(kSecond);
    Cut(cluster.get(), {4});
    cluster->Run(9 * kSecond);
    cluster->Start(NodeId{5});
    cluster->Run(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         MembersOf(cluster.get(), 1).count(NodeId{4}));
    Cut(cluster.get(), {});
    cluster->Run(5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         MembersOf(cluster.get(), 1).count(NodeId{4}));
    CPPUNIT_ASSERT(
        cluster->nodes[NodeId{4}].replica->Status(cluster->now).role ==
        ReplicaRole::kVoting);
    Submit(cluster.get(), 4, 2, MakeDocument(2, 2));
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 2, OutcomeKind::kAccepted);
  }

  void AFullDiskStopsVotesNotAnswers() {
    const auto cluster = MakeCluster(4);
    cluster->nodes[NodeId{4}].disk.is_full = true;
    Submit(cluster.get(), 4, 1, MakeDocument(1, 1));
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 1, OutcomeKind::kUnknown);
    Read(cluster.get(), 4, 2);
    AssertOutcome(cluster.get(), 2, OutcomeKind::kUnknown);
    Submit(cluster.get(), 1, 3, MakeDocument(2, 2));
    cluster->Run(kSecond);
    AssertOutcome(cluster.get(), 3, OutcomeKind::kAccepted);
    // Started again once there is room, it votes.
    cluster->nodes[NodeId{4}].disk.is_full = false;
    cluster->Stop(NodeId{4});
    cluster->Start(NodeId{4});
    cluster->Run(2 * kSecond);
    cluster->Stop(NodeId{1});
    Submit(cluster.get(), 4, 4, MakeDocument(3, 3));
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 4, OutcomeKind::kAccepted);
  }

  void LongDocumentsAreCompactedBySize() {
    TestCluster cluster(7, 1);
    cluster.settings.compact_after_bytes = 10'000;
    cluster.Start(NodeId{1}, true);
    CPPUNIT_ASSERT(cluster.RunUntilVoting());
    for (std::uint64_t version = 1; version <= 100; ++version) {
      const Document document{ConfigVersion{version},
                              std::make_shared<const Bytes>(Bytes(1000, 7))};
      Submit(&cluster, 1, version, document);
      cluster.Run(std::chrono::milliseconds(20));
    }
    std::size_t kept = 0;
    for (const auto& [name, file] : cluster.nodes[NodeId{1}].disk.files()) {
      kept += file.synced.size();
    }
    CPPUNIT_ASSERT(kept < 20'000);
    AssertOutcome(&cluster, 100, OutcomeKind::kAccepted);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaDocumentTest);

}  // namespace
}  // namespace sardinelead
