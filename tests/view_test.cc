#include "sardinelead/view.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace sardinelead {
namespace {

std::vector<Member> ReadyMembers(std::uint32_t count) {
  std::vector<Member> members(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    members[i].id = NodeId{i + 1};
    members[i].state = MemberState::kReady;
  }
  return members;
}

class ViewTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ViewTest);
  CPPUNIT_TEST(SameMembersInAnyOrderGiveSameHolders);
  CPPUNIT_TEST(RemovingAMemberMovesOnlyItsPartitions);
  CPPUNIT_TEST(JoinerIsSuccessorWhereItWillBeHolder);
  CPPUNIT_TEST(LeaverStaysHolderBesideItsSuccessor);
  CPPUNIT_TEST(TenureChangesWithThePlaceOrTheEpoch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void SameMembersInAnyOrderGiveSameHolders() {
    std::vector<Member> members = ReadyMembers(9);
    const View view(NodeId{1}, members, true);
    std::reverse(members.begin(), members.end());
    const View other(NodeId{2}, members, true);
    CPPUNIT_ASSERT_EQUAL(view.tag(), other.tag());
    for (PartitionId p = 0; p < kPartitionCount; ++p) {
      CPPUNIT_ASSERT(view.HoldersOf(p) == other.HoldersOf(p));
    }
  }

  void RemovingAMemberMovesOnlyItsPartitions() {
    std::vector<Member> members = ReadyMembers(9);
    const View before(NodeId{1}, members, true);
    members.erase(members.begin() + 4);
    const View after(NodeId{1}, members, true);
    for (PartitionId p = 0; p < kPartitionCount; ++p) {
      std::vector<NodeId> expected;
      for (const NodeId id : before.HoldersOf(p)) {
        if (id != NodeId{5}) expected.push_back(id);
      }
      const Holders holders = after.HoldersOf(p);
      CPPUNIT_ASSERT(
          std::equal(expected.begin(), expected.end(), holders.begin()));
    }
  }

  void JoinerIsSuccessorWhereItWillBeHolder() {
    std::vector<Member> members = ReadyMembers(9);
    const View after(NodeId{1}, members, true);
    members[3].state = MemberState::kJoining;
    const View before(NodeId{1}, members, true);
    for (PartitionId p = 0; p < kPartitionCount; ++p) {
      const Chain& chain = before.ChainOf(p);
      const int place = chain.RankOf(NodeId{4});
      const bool will_hold = after.ChainOf(p).RankOf(NodeId{4}) >= 0;
      CPPUNIT_ASSERT_EQUAL(will_hold, place >= 0);
      CPPUNIT_ASSERT(place < 0 || place >= chain.holders);
    }
  }

  void LeaverStaysHolderBesideItsSuccessor() {
    std::vector<Member> members = ReadyMembers(9);
    const View before(NodeId{1}, members, true);
    members[3].state = MemberState::kLeaving;
    const View during(NodeId{1}, members, true);
    members.erase(members.begin() + 3);
    const View after(NodeId{1}, members, true);
    for (PartitionId p = 0; p < kPartitionCount; ++p) {
      CPPUNIT_ASSERT(before.HoldersOf(p) == during.HoldersOf(p));
      for (const NodeId id : after.HoldersOf(p)) {
        CPPUNIT_ASSERT(during.ChainOf(p).RankOf(id) >= 0);
      }
    }
  }

  void TenureChangesWithThePlaceOrTheEpoch() {
    std::vector<Member> members = ReadyMembers(4);
    const View first(View(), NodeId{1}, members);
    const View second(first, NodeId{1}, members);
    members[0].epoch = 1;
    const View third(second, NodeId{1}, members);
    for (PartitionId p = 0; p < kPartitionCount; ++p) {
      const bool is_in = first.ChainOf(p).RankOf(NodeId{1}) >= 0;
      CPPUNIT_ASSERT_EQUAL(is_in ? 1U : 0U, second.TenureOf(p));
      CPPUNIT_ASSERT_EQUAL(3U, third.TenureOf(p));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ViewTest);

}  // namespace
}  // namespace sardinelead
