// Tests values that are too large for a message between replicas, over a
// simulated network like that of the real processes: it loses single datagrams,
// loses a message with any of its datagrams, drops messages above the largest
// one, and receive buffers overflow.

#include <cppunit/extensions/HelperMacros.h>

#include "peer_link.h"
#include "quick.h"
#include "register_state.h"
#include "replica_cluster.h"
#include "replica_message.h"
#include "sardinelead/replica.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr std::uint32_t kMembers = 4;
constexpr int kSeeds = 5;
// Datagrams that fit into the default receive buffer of a UDP socket.
constexpr std::size_t kReceiveBufferDatagrams = 92;

class Network {
 public:
  explicit Network(TestCluster* cluster) : m_cluster(cluster) {
    cluster->is_lost = [this](NodeId from, const OutgoingMessage& message) {
      return IsLost(from, message);
    };
  }

  unsigned loss_permille = 5;  // Of the datagrams.
  // Whether no value, or part of one, above 16 KB passes.
  bool drops_large_values = false;

 private:
  bool IsLost(NodeId from, const OutgoingMessage& message) {
    if (message.body.size() > kMaxLinkBodyBytes) return true;
    const std::size_t datagrams = 1 + message.body.size() / kMaxLinkPartBytes;
    if (drops_large_values && IsValuePart(message)) return true;
    // All that is sent within a millisecond arrives at once.
    if (m_cluster->now != m_arrived_at) m_arrived.clear();
    m_arrived_at = m_cluster->now;
    std::size_t& arrived = m_arrived[message.to];
    bool is_lost = false;
    for (std::size_t i = 0; i < datagrams; ++i) {
      const bool is_dropped = m_cluster->random() % 1000 < loss_permille ||
                              arrived >= kReceiveBufferDatagrams;
      if (!is_dropped) ++arrived;
      is_lost = is_lost || is_dropped;
    }
    (void)from;
    return is_lost;
  }

  static bool IsValuePart(const OutgoingMessage& message) {
    const auto decoded = AgreementMessage::Decode(message.body);
    return decoded && decoded->type == AgreementType::kValuePart;
  }

  TestCluster* m_cluster;
  TimePoint m_arrived_at;
  std::map<NodeId, std::size_t> m_arrived;
};

class ReplicaValuesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReplicaValuesTest);
  CPPUNIT_TEST(LargeValuesReachEveryReplica);
  CPPUNIT_TEST(ManyLargeChangesInProgressAreDecided);
  CPPUNIT_TEST(KillsAndLostDisksBetweenLargeChanges);
  CPPUNIT_TEST(ValuesLeftUndecidedAreDecidedLater);
  CPPUNIT_TEST(EmptyReplicaJoinsALargeState);
  CPPUNIT_TEST(OutcomesOfMembershipChangesAreBounded);
  CPPUNIT_TEST(OversizedChangeIsRefusedAtOnce);
  CPPUNIT_TEST(TransferMessagesNeedADigest);
  CPPUNIT_TEST(OnlyTheNewestPendingDocumentIsProposed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { MakeCluster(7); }

  void MakeCluster(std::uint64_t seed) {
    m_network.reset();
    m_request = 0;
    m_cluster = std::make_unique<TestCluster>(seed, kMembers);
    m_cluster->settings.contacts.resize(3);
    m_cluster->settings.allow_automatic_join = true;
    m_cluster->settings.min_members = 3;
    m_cluster->settings.unresponsive_timeout = 2 * kSecond;
    for (std::uint32_t id = 1; id <= kMembers; ++id) {
      m_cluster->Start(NodeId{id}, id == 1);
    }
    CPPUNIT_ASSERT(m_cluster->RunUntilVoting());
    m_cluster->Run(kSecond);
    m_network = std::make_unique<Network>(m_cluster.get());
  }

  Document MakeDocument(std::uint64_t version, std::size_t size) {
    Bytes content;
    while (content.size() < size) {
      const std::uint64_t word = m_cluster->random();
      const auto* bytes = reinterpret_cast<const std::uint8_t*>(&word);
      content.insert(content.end(), bytes, bytes + sizeof(word));
    }
    content.resize(size);
    return {ConfigVersion{version},
            std::make_shared<const Bytes>(std::move(content))};
  }

  void Submit(std::uint32_t id, const Document& document,
              Duration deadline = kSecond) {
    TestNode& node = m_cluster->nodes[NodeId{id}];
    if (!node.replica) return;
    const std::uint64_t request = ++m_request;
    m_cluster->Take(NodeId{id}, node.replica->Submit(request, document,
                                                     m_cluster->now + deadline,
                                                     m_cluster->now));
    while (node.replica && node.replica->NeedsSync()) {
      m_cluster->Take(NodeId{id}, node.replica->Sync(m_cluster->now));
    }
  }

  // Submits the document at one replica after the other, each second, until it
  // is acknowledged. Returns whether that took at most `limit`.
  bool SubmitUntilAcknowledged(const Document& document, std::uint32_t id,
                               Duration limit) {
    const TimePoint end = m_cluster->now + limit;
    while (m_cluster->now < end) {
      Submit(id, document);
      const std::uint64_t request = m_request;
      const TimePoint retry_at = m_cluster->now + kSecond;
      while (m_cluster->now < retry_at) {
        m_cluster->Run(milliseconds(10));
        const auto answer = m_cluster->answers.find(request);
        if (answer == m_cluster->answers.end()) continue;
        if (answer->second.kind == OutcomeKind::kAccepted) return true;
        break;
      }
      id = id % kMembers + 1;
    }
    return false;
  }

  void AssertAllHold(const Document& document) {
    m_cluster->Run(3 * kSecond);
    for (std::uint32_t id = 1; id <= kMembers; ++id) {
      const Document& held = m_cluster->nodes[NodeId{id}].replica->document();
      CPPUNIT_ASSERT_EQUAL(document.version.value, held.version.value);
      CPPUNIT_ASSERT(*held.content == *document.content);
    }
  }

  void LargeValuesReachEveryReplica() {
    std::uint64_t version = 0;
    for (const std::size_t size : {16'000, 17'000, 110'000, 250'000, 299'000,
                                   301'000, 1'000'000, 4'000'000}) {
      const Document document = MakeDocument(++version, size);
      CPPUNIT_ASSERT_MESSAGE(
          std::to_string(size),
          SubmitUntilAcknowledged(document, 1 + version % kMembers,
                                  5 * kSecond));
      AssertAllHold(document);
    }
  }

  // Guards against replicas that never decide again after large changes were in
  // progress at once (review, case 2).
  void ManyLargeChangesInProgressAreDecided() {
    for (int seed = 1; seed <= CaseCount(kSeeds); ++seed) {
      MakeCluster(static_cast<std::uint64_t>(seed));
      std::uint64_t version = 0;
      std::vector<Document> documents;
      for (int round = 0; round < 20; ++round) {
        for (std::uint32_t i = 0; i < 8; ++i) {
          documents.push_back(MakeDocument(++version, 180'000));
          Submit(1 + i % kMembers, documents.back());
        }
        m_cluster->Run(milliseconds(m_cluster->random() % 400));
      }
      CPPUNIT_ASSERT_MESSAGE(
          "seed " + std::to_string(seed),
          SubmitUntilAcknowledged(documents.back(), 1, 5 * kSecond));
      AssertAllHold(documents.back());
    }
  }

  // At most one replica is down or without its disk at a time.
  void KillsAndLostDisksBetweenLargeChanges() {
    for (int seed = 1; seed <= CaseCount(kSeeds); ++seed) {
      MakeCluster(static_cast<std::uint64_t>(seed));
      Document newest;
      for (std::uint64_t version = 1; version <= 12; ++version) {
        newest = MakeDocument(version, 400'000);
        const auto down =
            static_cast<std::uint32_t>(1 + m_cluster->random() % kMembers);
        Submit(1 + version % kMembers, newest);
        m_cluster->Run(milliseconds(m_cluster->random() % 100));
        m_cluster->Stop(NodeId{down});
        if (version % 3 == 0) m_cluster->nodes[NodeId{down}].disk.Erase();
        m_cluster->Run(milliseconds(m_cluster->random() % 500));
        m_cluster->Start(NodeId{down});
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", version " +
                                   std::to_string(version),
                               SubmitUntilAcknowledged(newest, 1, 6 * kSecond));
        m_cluster->Run(4 * kSecond);
      }
      AssertAllHold(newest);
    }
  }

  // Journals may hold undecided values of any size at several replicas, as
  // those of earlier versions do, which could not send them to others.
  void ValuesLeftUndecidedAreDecidedLater() {
    m_network->drops_large_values = true;
    for (std::uint32_t id = 1; id <= kMembers; ++id) {
      Submit(id, MakeDocument(10 + id, 500'000));
    }
    m_cluster->Run(3 * kSecond);
    for (std::uint32_t id = 1; id <= kMembers; ++id) {
      CPPUNIT_ASSERT_EQUAL(
          std::uint64_t{0},
          m_cluster->nodes[NodeId{id}].replica->document().version.value);
      m_cluster->Stop(NodeId{id});
    }
    m_network->drops_large_values = false;
    for (std::uint32_t id = 1; id <= kMembers; ++id) {
      m_cluster->Start(NodeId{id});
    }
    CPPUNIT_ASSERT(m_cluster->RunUntilVoting());
    const Document next = MakeDocument(20, 100);
    CPPUNIT_ASSERT(SubmitUntilAcknowledged(next, 1, 3 * kSecond));
    AssertAllHold(next);
  }

  void EmptyReplicaJoinsALargeState() {
    m_network->loss_permille = 20;
    const Document document = MakeDocument(1, 3'000'000);
    CPPUNIT_ASSERT(SubmitUntilAcknowledged(document, 1, 5 * kSecond));
    m_cluster->Stop(NodeId{2});
    m_cluster->nodes[NodeId{2}].disk.Erase();
    m_cluster->Start(NodeId{2});
    m_cluster->Run(4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(
        std::string("voting"),
        std::string(Name(
            m_cluster->nodes[NodeId{2}].replica->Status(m_cluster->now).role)));
    AssertAllHold(document);
  }

  void OutcomesOfMembershipChangesAreBounded() {
    RegisterState state(1, {NodeId{1}, NodeId{2}, NodeId{3}}, NodeId{1}, 100);
    for (std::uint64_t store = 1; store <= 10'000; ++store) {
      state.Apply(EncodeCommands({MakeJoinCommand(NodeId{2}, store)}));
    }
    CPPUNIT_ASSERT(state.Encode().size() < 200'000);
    const auto latest = MakeJoinCommand(NodeId{2}, 10'000);
    CPPUNIT_ASSERT(state.FindOutcome(latest).has_value());
    CPPUNIT_ASSERT(state.IsVoter(NodeId{2}, 10'000));
    const auto decoded = RegisterState::Decode(state.Encode());
    CPPUNIT_ASSERT(decoded.has_value());
    CPPUNIT_ASSERT(decoded->Encode() == state.Encode());
    // Outcomes of operators' changes are kept.
    ReplicaChange change;
    change.id = "mine";
    change.remove = NodeId{3};
    const Command operators = MakeChangeCommand("ana", change);
    state.Apply(EncodeCommands({operators}));
    for (std::uint64_t store = 20'000; store < 22'000; ++store) {
      state.Apply(EncodeCommands({MakeJoinCommand(NodeId{2}, store)}));
    }
    CPPUNIT_ASSERT(state.FindOutcome(operators).has_value());
  }

  void OversizedChangeIsRefusedAtOnce() {
    m_cluster->settings.max_command_bytes = 1'000;
    MakeClusterWithSmallLimit();
    Submit(1, MakeDocument(1, 1'001));
    const auto answer = m_cluster->answers.find(m_request);
    CPPUNIT_ASSERT(answer != m_cluster->answers.end());
    CPPUNIT_ASSERT(answer->second.kind == OutcomeKind::kRefused);
    CPPUNIT_ASSERT_EQUAL(
        std::string("the change has 1001 bytes, above the limit of 1000"),
        answer->second.error.message);
    CPPUNIT_ASSERT(SubmitUntilAcknowledged(MakeDocument(1, 1'000), 1, kSecond));
  }

  void TransferMessagesNeedADigest() {
    for (const AgreementType type :
         {AgreementType::kFetchValue, AgreementType::kValuePart}) {
      AgreementMessage message;
      message.type = type;
      CPPUNIT_ASSERT(!AgreementMessage::Decode(message.Encode()));
      message.digest = ValueDigest{~std::uint64_t{0}, 1, 1};
      message.part = ~std::uint32_t{0};
      message.wanted = ~std::uint64_t{0};
      const auto decoded = AgreementMessage::Decode(message.Encode());
      CPPUNIT_ASSERT(decoded.has_value());
      CPPUNIT_ASSERT(*decoded->digest == *message.digest);
      // An unknown value: nothing is sent.
      Replica* replica = m_cluster->nodes[NodeId{1}].replica.get();
      CPPUNIT_ASSERT(
          replica->OnMessage(NodeId{2}, message.Encode(), m_cluster->now)
              .messages.empty());
    }
  }

  void OnlyTheNewestPendingDocumentIsProposed() {
    const std::uint64_t bytes = m_cluster->byte_count;
    std::vector<Document> documents;
    for (std::uint64_t version = 1; version <= 8; ++version) {
      documents.push_back(MakeDocument(version, 200'000));
    }
    // The last one is not the newest.
    std::swap(documents[6], documents[7]);
    for (const Document& document : documents) Submit(1, document);
    m_cluster->Run(kSecond);
    for (std::uint64_t request = 1; request <= 8; ++request) {
      CPPUNIT_ASSERT(m_cluster->answers[request].kind ==
                     OutcomeKind::kAccepted);
    }
    AssertAllHold(documents[6]);
    // The first one and the newest one, to three replicas each.
    CPPUNIT_ASSERT(m_cluster->byte_count - bytes < 2 * 3 * 200'000 * 3 / 2);
  }

 private:
  void MakeClusterWithSmallLimit() {
    for (auto& [id, node] : m_cluster->nodes) m_cluster->Stop(id);
    for (auto& [id, node] : m_cluster->nodes) m_cluster->Start(id);
    CPPUNIT_ASSERT(m_cluster->RunUntilVoting());
  }

  std::unique_ptr<TestCluster> m_cluster;
  std::unique_ptr<Network> m_network;
  std::uint64_t m_request = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaValuesTest);

}  // namespace
}  // namespace sardinelead
