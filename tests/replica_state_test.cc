#include <cppunit/extensions/HelperMacros.h>

#include "register_state.h"
#include "replica_cluster.h"

namespace sardinelead {
namespace {

class RegisterStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RegisterStateTest);
  CPPUNIT_TEST(EvictedPatchesNeverRunAgain);
  CPPUNIT_TEST(MembershipChangesAreSerialized);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(RegisterStateTest);

}  // namespace
}  // namespace sardinelead
