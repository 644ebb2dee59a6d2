// Tests of evacuation orders in the replicated register, and of the guard
// against calls of unknown age.

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

#include "register_state.h"
#include "replica_cluster.h"
#include "replica_message.h"
#include "stall_guard.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr char kName[] = "luzon-a";

class EvacuationOrderTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationOrderTest);
  CPPUNIT_TEST(HeldOrderIsRefusedAfterALaterOne);
  CPPUNIT_TEST(SnapshotHasEvacuationsOnlyOnceOrdered);
  CPPUNIT_TEST(OrderNeedsMinimumMembership);
  CPPUNIT_TEST(ProposerFrozenAfterItsReadUndoesNothing);
  CPPUNIT_TEST(ExpiredOrderIsNotProposed);
  CPPUNIT_TEST(OrderIsRepeatedAfterTheProposerIsLost);
  CPPUNIT_TEST(OrderSurvivesTheDisksOfAMinorityAndARestart);
  CPPUNIT_TEST(OlderVersionKeepsNeighbouringDocuments);
  CPPUNIT_TEST(StallMakesAgesUnknown);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Without the renewed index, a held start would undo a finish that was
  // answered when the data centre was not evacuated.
  void HeldOrderIsRefusedAfterALaterOne() {
    for (const bool has_started : {false, true}) {
      RegisterState state(1, {NodeId{1}}, NodeId{1}, 9);
      if (has_started) {
        AssertApplied(&state, true, OutcomeKind::kAccepted);
        AssertApplied(&state, false, OutcomeKind::kAccepted);
      }
      const std::uint64_t seen = state.evacuations().ChangedAt(kName);
      AssertApplied(&state, false, OutcomeKind::kAccepted);
      const Outcome held = Apply(&state, {kName, true, seen});
      CPPUNIT_ASSERT(held.kind == OutcomeKind::kRefused);
      CPPUNIT_ASSERT(held.error.code == ErrorCode::kVersionConflict);
      CPPUNIT_ASSERT(!state.evacuations().IsEvacuated(kName));
      AssertApplied(&state, true, OutcomeKind::kAccepted);
      CPPUNIT_ASSERT(state.evacuations().IsEvacuated(kName));
    }
  }

  // Older versions must be able to read the snapshots of a deployment that
  // never evacuates.
  void SnapshotHasEvacuationsOnlyOnceOrdered() {
    RegisterState state(1, {NodeId{1}}, NodeId{1}, 9);
    const Bytes before = state.Encode();
    AssertApplied(&state, true, OutcomeKind::kAccepted);
    const Bytes after = state.Encode();
    // The first byte of a snapshot holds its number of elements.
    CPPUNIT_ASSERT_EQUAL(before.front() + 1, after.front() + 0);
    const auto copy = RegisterState::Decode(after);
    CPPUNIT_ASSERT(copy && copy->evacuations() == state.evacuations());
    CPPUNIT_ASSERT(RegisterState::Decode(before)->evacuations().version() == 0);
  }

  void OrderNeedsMinimumMembership() {
    TestCluster cluster(3, 3);
    cluster.settings.min_members = 3;
    cluster.Start(NodeId{1}, true);
    CPPUNIT_ASSERT(cluster.RunUntilVoting());
    Submit(&cluster, 1, 1, true);
    cluster.Run(kSecond);
    AssertOutcome(&cluster, 1, OutcomeKind::kUnknown);
    CPPUNIT_ASSERT(!IsEvacuated(&cluster, 1));
  }

  // Replica 1 has read the index for a start order and freezes; the caller
  // repeats the start elsewhere and then finishes the evacuation.
  void ProposerFrozenAfterItsReadUndoesNothing() {
    const auto cluster = MakeCluster(5);
    const EvacuationOrder held = MakeOrder(cluster.get(), 1, true);
    auto frozen = std::move(cluster->nodes[NodeId{1}].replica);
    Submit(cluster.get(), 2, 1, true);
    cluster->Run(kSecond);
    Submit(cluster.get(), 3, 2, false);
    cluster->Run(kSecond);
    AssertOutcome(cluster.get(), 2, OutcomeKind::kAccepted);
    cluster->nodes[NodeId{1}].replica = std::move(frozen);
    Submit(cluster.get(), 1, 3, held);
    cluster->Run(3 * kSecond);
    AssertOutcome(cluster.get(), 3, OutcomeKind::kRefused);
    AssertAll(cluster.get(), false);
  }

  // The promises of a quorum reach a proposer after the caller's deadline.
  void ExpiredOrderIsNotProposed() {
    const auto cluster = MakeCluster(3);
    cluster->delivery_delays = [](NodeId, NodeId to) {
      const bool is_late = to == NodeId{2};
      return std::vector<Duration>{is_late ? 2 * kSecond : milliseconds(1)};
    };
    Submit(cluster.get(), 2, 1, true);
    cluster->Run(5 * kSecond);
    AssertOutcome(cluster.get(), 1, OutcomeKind::kUnknown);
    AssertAll(cluster.get(), false);
  }

  // The caller gets no answer, whenever the proposer was lost, and repeats the
  // order at another replica.
  void OrderIsRepeatedAfterTheProposerIsLost() {
    for (int crash_ms = 0; crash_ms < 8; ++crash_ms) {
      const auto cluster = MakeCluster(5, 11 + crash_ms);
      Submit(cluster.get(), 1, 1, true);
      cluster->Run(milliseconds(crash_ms));
      cluster->Stop(NodeId{1});
      cluster->Run(kSecond);
      Submit(cluster.get(), 2, 2, true);
      cluster->Run(kSecond);
      AssertOutcome(cluster.get(), 2, OutcomeKind::kAccepted);
      AssertAll(cluster.get(), true);
    }
  }

  void OrderSurvivesTheDisksOfAMinorityAndARestart() {
    const auto cluster = MakeCluster(5);
    Submit(cluster.get(), 1, 1, true);
    cluster->Run(milliseconds(100));
    AssertOutcome(cluster.get(), 1, OutcomeKind::kAccepted);
    for (const NodeId lost : {NodeId{1}, NodeId{2}}) {
      cluster->Stop(lost);
      cluster->nodes[lost].disk.Erase();
      cluster->Start(lost);
    }
    cluster->Run(3 * kSecond);
    AssertAll(cluster.get(), true);
    for (std::uint32_t id = 1; id <= 5; ++id) cluster->Stop(NodeId{id});
    for (std::uint32_t id = 1; id <= 5; ++id) cluster->Start(NodeId{id});
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
    AssertAll(cluster.get(), true);
  }

  // A replica that does not know the command skips each value that has one. A
  // document in such a value would be lost there.
  void OlderVersionKeepsNeighbouringDocuments() {
    const auto cluster = MakeCluster(3);
    std::map<std::uint64_t, Bytes> values;
    cluster->is_lost = [&](NodeId, const OutgoingMessage& message) {
      const auto sent = AgreementMessage::Decode(message.body);
      if (sent->type == AgreementType::kAccept) {
        values[sent->index] = sent->value;
      }
      return false;
    };
    // All are pending at once, so that they could share a value.
    const Document document{ConfigVersion{4},
                            std::make_shared<const Bytes>(Bytes{4})};
    TestNode& node = cluster->nodes[NodeId{1}];
    Submit(cluster.get(), 1, 1, true);
    cluster->Take(NodeId{1},
                  node.replica->Submit(2, document, cluster->now + kSecond,
                                       cluster->now));
    Submit(cluster.get(), 1, 3, true);
    cluster->Run(kSecond);
    for (std::uint64_t request = 1; request <= 3; ++request) {
      AssertOutcome(cluster.get(), request, OutcomeKind::kAccepted);
    }
    RegisterState older;
    for (const auto& [index, value] : values)
      ApplyAsOlderVersion(&older, value);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, older.document().version.value);
    CPPUNIT_ASSERT(values.size() >= 2);
    AssertAll(cluster.get(), true);
  }

  void StallMakesAgesUnknown() {
    const auto at = [](int steady_ms, int boot_ms) {
      return ClockReadings{TimePoint(milliseconds(steady_ms)),
                           TimePoint(milliseconds(boot_ms))};
    };
    StallGuard guard({}, at(0, 0));
    guard.Observe(at(20, 20));
    CPPUNIT_ASSERT(!guard.IsAgeUnknown(at(519, 519)));
    CPPUNIT_ASSERT(guard.IsAgeUnknown(at(1019, 1019)));
    CPPUNIT_ASSERT(guard.IsAgeUnknown(at(1068, 1068)));
    CPPUNIT_ASSERT(!guard.IsAgeUnknown(at(1069, 1069)));
    // A suspended VM: only the clock of the boot time advances.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, guard.CountStalls(at(1080, 1080)));
    CPPUNIT_ASSERT(guard.IsAgeUnknown(at(1081, 1600)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, guard.CountStalls(at(1131, 1650)));
    CPPUNIT_ASSERT(!guard.IsAgeUnknown(at(1131, 1650)));
  }

 private:
  static Outcome Apply(RegisterState* state, const EvacuationOrder& order) {
    return state->Apply(EncodeCommands({MakeEvacuationCommand(order, "")}))
        .front()
        .second;
  }

  static void AssertApplied(RegisterState* state, bool is_active,
                            OutcomeKind kind) {
    const std::uint64_t seen = state->evacuations().ChangedAt(kName);
    CPPUNIT_ASSERT(Apply(state, {kName, is_active, seen}).kind == kind);
  }

  static void ApplyAsOlderVersion(RegisterState* state, const Bytes& value) {
    const auto commands = DecodeCommands(value);
    CPPUNIT_ASSERT(commands.has_value());
    for (const Command& command : *commands) {
      if (command.kind == CommandKind::kEvacuation) return;
    }
    state->Apply(value);
  }

  static std::unique_ptr<TestCluster> MakeCluster(std::uint32_t size,
                                                  std::uint64_t seed = 7) {
    auto cluster = std::make_unique<TestCluster>(seed, size);
    cluster->settings.allow_automatic_join = true;
    cluster->settings.min_members = size;
    cluster->settings.compact_after_records = 4;
    for (std::uint32_t id = 1; id <= size; ++id) {
      cluster->Start(NodeId{id}, id == 1);
    }
    CPPUNIT_ASSERT(cluster->RunUntilVoting());
    cluster->Run(kSecond);
    return cluster;
  }

  static EvacuationOrder MakeOrder(TestCluster* cluster, std::uint32_t id,
                                   bool is_active) {
    const Replica& replica = *cluster->nodes[NodeId{id}].replica;
    return {kName, is_active, replica.evacuations().ChangedAt(kName)};
  }

  static void Submit(TestCluster* cluster, std::uint32_t id,
                     std::uint64_t request, const EvacuationOrder& order) {
    TestNode& node = cluster->nodes[NodeId{id}];
    cluster->Take(NodeId{id},
                  node.replica->Submit(request, order, cluster->now + kSecond,
                                       cluster->now));
  }
  static void Submit(TestCluster* cluster, std::uint32_t id,
                     std::uint64_t request, bool is_active) {
    Submit(cluster, id, request, MakeOrder(cluster, id, is_active));
  }

  static void AssertOutcome(TestCluster* cluster, std::uint64_t request,
                            OutcomeKind kind) {
    CPPUNIT_ASSERT(cluster->answers.count(request) == 1);
    CPPUNIT_ASSERT_EQUAL(std::string(Name(kind)),
                         std::string(Name(cluster->answers[request].kind)));
  }

  static bool IsEvacuated(TestCluster* cluster, std::uint32_t id) {
    return cluster->nodes[NodeId{id}].replica->evacuations().IsEvacuated(kName);
  }

  static void AssertAll(TestCluster* cluster, bool is_active) {
    for (auto& [id, node] : cluster->nodes) {
      if (!node.replica) continue;
      CPPUNIT_ASSERT_EQUAL(is_active, IsEvacuated(cluster, id.value));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationOrderTest);

}  // namespace
}  // namespace sardinelead
