// Tests of documents, linearizable reads and automatic joining.

#include <cppunit/extensions/HelperMacros.h>

#include <set>

#include "replica_cluster.h"
#include "sardinelead/replica.h"

namespace sardinelead {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

class ReplicaDocumentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaDocumentTest);
  CPPUNIT_TEST(HighestVersionWins);
  CPPUNIT_TEST(EqualOrLowerVersionIsAcceptedWithoutEffect);
  CPPUNIT_TEST(ConcurrentVersionsConverge);
  CPPUNIT_TEST(DocumentsNeedMinimumMembership);
  CPPUNIT_TEST(AcceptedDocumentSurvivesPowerLossAndOneDiskLoss);
  CPPUNIT_TEST(EveryLossAfterAnAnswerKeepsIt);
  CPPUNIT_TEST(MinorityReadIsNotConfirmed);
  CPPUNIT_TEST(ReadWaitsForAcceptedDocument);
  CPPUNIT_TEST(ReadIsConfirmedByCurrentMembers);
  CPPUNIT_TEST(NewReplicaReplacesUnresponsiveMember);
  CPPUNIT_TEST(ReplicaBeyondMaxMembersFollowsWithoutVoting);
  CPPUNIT_TEST(RemovedReplicaRejoinsWithNewStore);
  CPPUNIT_TEST(FullDiskStopsVotesNotAnswers);
  CPPUNIT_TEST(LargeDocumentsTriggerCompactionBySize);
  CPPUNIT_TEST_SUITE_END();

 public:
  static std::unique_ptr<TestCluster> MakeCluster(std::uint32_t size,
                                                  std::uint64_t seed = 7) {
    auto cluster = std::make_unique<TestCluster>(seed, size);
    // At most three replicas are listed as contacts; the others must join.
    cluster->settings.contacts.resize(std::min<std::size_t>(size, 3));
    cluster->settings.allow_automatic_join = true;
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
    const Document& document = cluster->nodes[NodeId{id}].replica->document();
    CPPUNIT_ASSERT_EQUAL(version, document.version.value);
    CPPUNIT_ASSERT(*document.content == Bytes({content, content}));
  }

  // Drops all messages between `side` and the other replicas.
  static void Partition(TestCluster* cluster,
                        const std::set<std::uint32_t>& side) {
    cluster->delivery_delays = [side](NodeId from, NodeId to) {
      const bool crosses = side.count(from.value) != side.count(to.value);
      if (crosses) return std::vector<Duration>{};
      return std::vector<Duration>{std::chrono::milliseconds(1)};
    };
  }

  void HighestVersionWins() {
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

  void EqualOrLowerVersionIsAcceptedWithoutEffect() {
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

  void ConcurrentVersionsConverge() {
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

  void DocumentsNeedMinimumMembership() {
    TestCluster cluster(7, 3);
    cluster.settings.allow_automatic_join = true;
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

  void AcceptedDocumentSurvivesPowerLossAndOneDiskLoss() {
    for (std::uint32_t wiped = 1; wiped <= 4; ++wiped) {
      const auto cluster = MakeCluster(4);
      Submit(cluster.get(), 1, 1, MakeDocument(3, 30));
      cluster->Run(kSecond);
      AssertOutcome(cluster.get(), 1, OutcomeKind::kAccepted);
      AssertSurvives(cluster.get(), wiped);
    }
  }

  // Crashes all replicas and erases the disk of one; the document must survive.
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

  // Crashes the cluster immediately after the answer is sent.
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

  void MinorityReadIsNotConfirmed() {
    const auto cluster = MakeCluster(4);
    Submit(cluster.get(), 1, 1, MakeDocument(1, 1));
    cluster->Run(kSecond);
    Partition(cluster.get(), {4});
    Submit(cluster.get(), 1, 2, MakeDocument(2, 2));
    cluster->Run(kSecond);
    AssertOutcome(cluster.get(), 2, OutcomeKind::kAccepted);
    Read(cluster.get(), 4, 3);
    Read(cluster.get(), 2, 4);
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 3, OutcomeKind::kUnknown);
    AssertOutcome(cluster.get(), 4, OutcomeKind::kAccepted);
    // With a partition into halves, neither side has a quorum.
    Partition(cluster.get(), {3, 4});
    Read(cluster.get(), 1, 5);
    Read(cluster.get(), 3, 6);
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 5, OutcomeKind::kUnknown);
    AssertOutcome(cluster.get(), 6, OutcomeKind::kUnknown);
  }

  // A replica that missed an accepted document must not confirm a read until it
  // has the document, even directly after the partition heals.
  void ReadWaitsForAcceptedDocument() {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
      const auto cluster = MakeCluster(4, seed);
      Partition(cluster.get(), {4});
      Submit(cluster.get(), 1, 1, MakeDocument(2, 2));
      cluster->Run(kSecond);
      AssertOutcome(cluster.get(), 1, OutcomeKind::kAccepted);
      std::uint64_t seen = 0;
      cluster->on_answer = [&](NodeId id, const Answer& answer) {
        if (answer.outcome.kind != OutcomeKind::kAccepted) return;
        seen = cluster->nodes[id].replica->document().version.value;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, seen);
      };
      cluster->delivery_delays = [&](NodeId, NodeId) {
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

  // Replica 4 replaces 3 while 1 is partitioned together with 3, at varying
  // points of the change. The old quorum {1, 3} and the new quorum {2, 4} do
  // not intersect, so 3 must not confirm a read of 1 once 1 knows of the
  // change.
  void ReadIsConfirmedByCurrentMembers() {
    int accepted_reads = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
      for (int step = 0; step < 500; ++step) {
        const auto cluster = MakeCluster(3, seed);
        Partition(cluster.get(), {3});
        cluster->Run(9 * kSecond);
        cluster->Start(NodeId{4});
        cluster->Run(std::chrono::milliseconds(190) +
                     std::chrono::microseconds(500 * step));
        Partition(cluster.get(), {1, 3});
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
        const auto& document = cluster->nodes[NodeId{1}].replica->document();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, document.version.value);
      }
    }
    // Partitioned with only a removed member, 1 can never confirm a read.
    CPPUNIT_ASSERT_EQUAL(0, accepted_reads);
  }

  void NewReplicaReplacesUnresponsiveMember() {
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
    // The new member votes: with another member down there is still a quorum.
    cluster->Stop(NodeId{1});
    Submit(cluster.get(), 5, 2, MakeDocument(2, 2));
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 2, OutcomeKind::kAccepted);
  }

  // Regression test: a replica that asked to join a full cluster had each of
  // its requests decided as a log entry, without end. Found in a capacity test
  // with 300 machines.
  void ReplicaBeyondMaxMembersFollowsWithoutVoting() {
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
    // Replica 4 replaces a member that has stopped.
    cluster->Stop(NodeId{3});
    cluster->Run(12 * kSecond);
    CPPUNIT_ASSERT(MembersOf(cluster.get(), 1) ==
                   std::set<NodeId>({NodeId{1}, NodeId{2}, NodeId{4}}));
  }

  void RemovedReplicaRejoinsWithNewStore() {
    const auto cluster = MakeCluster(4);
    Submit(cluster.get(), 4, 1, MakeDocument(1, 1));
    cluster->Run(kSecond);
    Partition(cluster.get(), {4});
    cluster->Run(9 * kSecond);
    cluster->Start(NodeId{5});
    cluster->Run(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         MembersOf(cluster.get(), 1).count(NodeId{4}));
    Partition(cluster.get(), {});
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

  void FullDiskStopsVotesNotAnswers() {
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
    // Once the disk has space again, the restarted replica votes.
    cluster->nodes[NodeId{4}].disk.is_full = false;
    cluster->Stop(NodeId{4});
    cluster->Start(NodeId{4});
    cluster->Run(2 * kSecond);
    cluster->Stop(NodeId{1});
    Submit(cluster.get(), 4, 4, MakeDocument(3, 3));
    cluster->Run(2 * kSecond);
    AssertOutcome(cluster.get(), 4, OutcomeKind::kAccepted);
  }

  void LargeDocumentsTriggerCompactionBySize() {
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
