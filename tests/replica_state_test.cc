#include <cppunit/extensions/HelperMacros.h>

#include "cbor.h"
#include "register_state.h"
#include "replica_cluster.h"
#include "replica_message.h"

namespace sardinelead {
namespace {

class RegisterStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegisterStateTest);
  CPPUNIT_TEST(EvictedPatchesNeverRunAgain);
  CPPUNIT_TEST(MembershipChangesAreSerialized);
  CPPUNIT_TEST(FirstGrantOfAStartWins);
  CPPUNIT_TEST(OnlyStatesWithGrantsHaveAFurtherElement);
  CPPUNIT_TEST(GrantsHaveValuesOfTheirOwn);
  CPPUNIT_TEST_SUITE_END();

 public:
  static Command Put(const std::string& id, std::uint64_t base,
                     std::uint32_t share) {
    return MakePatchCommand("ana", PutWorkspacePatch(id, base, "w", share));
  }

  static Outcome Apply(RegisterState* state, const Command& command) {
    return state->Apply(EncodeCommands({command})).front().second;
  }

  void EvictedPatchesNeverRunAgain() {
    RegisterState state(1, {NodeId{1}}, NodeId{1}, 9);
    CPPUNIT_ASSERT(Apply(&state, Put("future", 2, 7)).kind ==
                   OutcomeKind::kRefused);
    CPPUNIT_ASSERT(Apply(&state, Put("first", 0, 1)).kind ==
                   OutcomeKind::kAccepted);
    for (std::size_t i = 0; i < RegisterState::kMaxOutcomes; ++i) {
      Apply(&state, Put("late" + std::to_string(i), 0, 2));
    }
    const Outcome again = Apply(&state, Put("first", 0, 1));
    CPPUNIT_ASSERT(again.kind == OutcomeKind::kUnknown);
    CPPUNIT_ASSERT(again.error.code == ErrorCode::kStale);
    // A patch refused because its base version was in the future stays refused
    // once that version exists, also after a snapshot is restored.
    CPPUNIT_ASSERT(Apply(&state, Put("second", 1, 3)).kind ==
                   OutcomeKind::kAccepted);
    auto copy = RegisterState::Decode(state.Encode());
    CPPUNIT_ASSERT(copy);
    CPPUNIT_ASSERT(Apply(&*copy, Put("future", 2, 7)).kind ==
                   OutcomeKind::kRefused);
    CPPUNIT_ASSERT(Apply(&*copy, Put("first", 0, 1)).kind ==
                   OutcomeKind::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         copy->configuration()->version.value);
  }

  void MembershipChangesAreSerialized() {
    RegisterState state(1, {NodeId{1}}, NodeId{1}, 9);
    const auto change = [&state](const std::string& id, std::uint32_t remove,
                                 std::uint32_t add) {
      const ReplicaChange wanted{id, NodeId{remove}, NodeId{add}};
      return Apply(&state, MakeChangeCommand("ana", wanted)).kind;
    };
    CPPUNIT_ASSERT(change("a", 0, 2) == OutcomeKind::kAccepted);
    CPPUNIT_ASSERT(change("b", 0, 3) == OutcomeKind::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, state.Quorum());
    Apply(&state, MakeJoinCommand(NodeId{2}, 5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, state.Quorum());
    CPPUNIT_ASSERT(change("b", 0, 3) == OutcomeKind::kRefused);
    CPPUNIT_ASSERT(change("c", 0, 3) == OutcomeKind::kAccepted);
    CPPUNIT_ASSERT(change("d", 4, 0) == OutcomeKind::kRefused);
    // A replica that has not joined yet may itself be replaced.
    CPPUNIT_ASSERT(change("e", 3, 4) == OutcomeKind::kAccepted);
    Apply(&state, MakeJoinCommand(NodeId{2}, 6));
    CPPUNIT_ASSERT(!state.IsVoter(NodeId{2}, 5));
    CPPUNIT_ASSERT(state.IsVoter(NodeId{2}, 6));
  }

  // Two control VMs that know different balancers propose different owners.
  void FirstGrantOfAStartWins() {
    RegisterState state(1, {NodeId{1}}, NodeId{1}, 9);
    const WarmUpGrant first{5, 7, {{NodeId{2}, 3}}};
    const WarmUpGrant late{5, 7, {{NodeId{3}, 4}}};
    const WarmUpGrant other{6, 7, {}};
    const Command both = MakeWarmUpGrantCommand({late, other});
    CPPUNIT_ASSERT(!state.FindOutcome(both));
    Apply(&state, MakeWarmUpGrantCommand({first}));
    CPPUNIT_ASSERT(!state.FindOutcome(both));
    CPPUNIT_ASSERT(Apply(&state, both).kind == OutcomeKind::kAccepted);
    CPPUNIT_ASSERT(state.FindOutcome(both)->kind == OutcomeKind::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, state.warm_up_grants().added());
    CPPUNIT_ASSERT(*state.warm_up_grants().Find(5, 7) == first);
    Command unreadable = both;
    unreadable.content = {1};
    CPPUNIT_ASSERT(Apply(&state, unreadable).kind == OutcomeKind::kRefused);
  }

  // An earlier version cannot read the element.
  void OnlyStatesWithGrantsHaveAFurtherElement() {
    RegisterState state(1, {NodeId{1}}, NodeId{1}, 9);
    const std::size_t elements = FromCbor(state.Encode()).size();
    CPPUNIT_ASSERT(RegisterState::Decode(state.Encode()));
    Apply(&state, MakeWarmUpGrantCommand({{5, 7, {{NodeId{2}, 3}}}}));
    const auto root = FromCbor(state.Encode());
    CPPUNIT_ASSERT_EQUAL(elements + 1, root.size());
    const auto copy = RegisterState::Decode(state.Encode());
    CPPUNIT_ASSERT(copy && copy->warm_up_grants().Find(5, 7) != nullptr);
    CPPUNIT_ASSERT(copy->Encode() == state.Encode());
    auto odd = root;
    odd.back()[1][0] = 0;  // Fewer grants ever added than are kept.
    CPPUNIT_ASSERT(!RegisterState::Decode(ToCbor(odd)));
  }

  // A replica of an earlier version would skip a document in such a value.
  void GrantsHaveValuesOfTheirOwn() {
    TestCluster cluster(5, 3);
    for (std::uint32_t id = 1; id <= 3; ++id)
      cluster.Start(NodeId{id}, id == 1);
    CPPUNIT_ASSERT(cluster.RunUntilVoting());
    cluster.is_lost = [](NodeId, const OutgoingMessage& message) {
      const auto agreement = AgreementMessage::Decode(message.body);
      const bool has_value =
          agreement && agreement->type == AgreementType::kAccept;
      if (!has_value) return false;
      const auto commands = DecodeCommands(agreement->value);
      for (const Command& command : *commands) {
        CPPUNIT_ASSERT(MayShareValue(commands->front().kind, command.kind));
      }
      return false;
    };
    const NodeId self{1};
    Replica* replica = cluster.nodes[self].replica.get();
    const TimePoint deadline = cluster.now + std::chrono::seconds(1);
    for (std::uint64_t i = 1; i <= 3; ++i) {
      cluster.Take(self, replica->Submit(std::vector<WarmUpGrant>{{i, 7, {}}},
                                         deadline, cluster.now));
      const Document document{ConfigVersion{i},
                              std::make_shared<const Bytes>(Bytes{1})};
      cluster.Take(self, replica->Submit(i, document, deadline, cluster.now));
    }
    cluster.Run(std::chrono::seconds(1));
    for (auto& [id, node] : cluster.nodes) {
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                           node.replica->warm_up_grants().added());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{3},
                           node.replica->document().version.value);
    }
    CPPUNIT_ASSERT(
        !MayShareValue(CommandKind::kWarmUpGrant, CommandKind::kDocument));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegisterStateTest);

}  // namespace
}  // namespace sardinelead
