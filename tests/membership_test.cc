#include "sardinelead/membership.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

#include "fake_data_centre.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class MembershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(NeverDecidesInTwoViewsAtOnce);
  CPPUNIT_TEST(FlappingMemberIsHeldOutLongerEachTime);
  CPPUNIT_TEST(MinorityDecidesNothing);
  CPPUNIT_TEST(IgnoresMalformedHeartbeats);
  CPPUNIT_TEST(SendsOnlyToItsOwnDataCentre);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Under random network partitions, all nodes that may decide at a tick are in
  // the same view.
  void NeverDecidesInTwoViewsAtOnce() {
    FakeSettings settings;
    settings.callers = 0;
    FakeDataCentre centre(settings);
    centre.Begin();
    std::mt19937 random(7);
    int decided = 0;
    for (int round = 0; round < 60; ++round) {
      const std::uint32_t side = random() % 512;
      const bool one_way = random() % 2 == 0;
      centre.is_cut = [=](std::uint32_t from, std::uint32_t to) {
        const bool differs = (side >> from & 1) != (side >> to & 1);
        return round % 2 == 0 && differs && (!one_way || from < to);
      };
      for (int t = 0; t < 150; ++t) {
        centre.RunFor(milliseconds(20));
        std::uint32_t tag = 0;
        for (std::uint32_t b = 0; b < 9; ++b) {
          const View& view = centre.ViewOf(b);
          if (!view.MayDecide(centre.now())) continue;
          ++decided;
          CPPUNIT_ASSERT(tag == 0 || tag == view.tag());
          tag = view.tag();
        }
      }
    }
    CPPUNIT_ASSERT(decided > 1000);
  }

  void FlappingMemberIsHeldOutLongerEachTime() {
    FakeSettings settings;
    settings.callers = 0;
    FakeDataCentre centre(settings);
    centre.Begin();
    int removals = 0;
    bool was_in = true;
    // Node 9 (index 8) sends nothing for 2 s of every 10 s, for 10 minutes.
    for (int t = 0; t < 6000; ++t) {
      const bool is_muted = t % 100 < 20;
      centre.is_cut = [is_muted](std::uint32_t from, std::uint32_t) {
        return is_muted && from == 8;
      };
      centre.RunFor(milliseconds(100));
      const bool is_in = centre.ViewOf(0).Find(NodeId{9}) != nullptr;
      removals += was_in && !is_in;
      was_in = is_in;
    }
    CPPUNIT_ASSERT(removals >= 1);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(removals), removals <= 5);
  }

  void MinorityDecidesNothing() {
    FakeSettings settings;
    settings.callers = 0;
    FakeDataCentre centre(settings);
    centre.Begin();
    centre.is_cut = [](std::uint32_t from, std::uint32_t to) {
      return (from < 4) != (to < 4);
    };
    centre.RunFor(seconds(20));
    for (std::uint32_t b = 0; b < 9; ++b) {
      CPPUNIT_ASSERT_EQUAL(b >= 4, centre.ViewOf(b).MayDecide(centre.now()));
      CPPUNIT_ASSERT_EQUAL(b >= 4, centre.ViewOf(b).MayServe(centre.now()));
    }
  }

  void IgnoresMalformedHeartbeats() {
    Blackboard board;
    MembershipSettings settings;
    settings.self = NodeId{1};
    settings.incarnation = Incarnation{1};
    settings.seeds = {NodeId{2}};
    Membership membership(settings, &board,
                          [] { return RecordCompleteness(); });
    const TimePoint now(seconds(10));
    const Outbox sent = membership.OnTick(now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
    std::uint64_t bad = 0;
    for (std::size_t cut = 0; cut < sent[0].body.size(); ++cut) {
      Bytes body(sent[0].body.begin(),
                 sent[0].body.begin() + static_cast<std::ptrdiff_t>(cut));
      membership.OnMessage(NodeId{2}, body, now);
      CPPUNIT_ASSERT_EQUAL(++bad, membership.malformed());
    }
  }

  void SendsOnlyToItsOwnDataCentre() {
    Blackboard board;
    MembershipSettings settings;
    settings.self = NodeId{1};
    settings.incarnation = Incarnation{1};
    settings.seeds = {NodeId{1}, NodeId{2}, NodeId{3}};
    Membership membership(settings, &board,
                          [] { return RecordCompleteness(); });
    for (int i = 0; i < 100; ++i) {
      const TimePoint now = TimePoint(seconds(10)) + milliseconds(50) * i;
      for (const OutgoingMessage& message : membership.OnTick(now)) {
        CPPUNIT_ASSERT(message.to == NodeId{2} || message.to == NodeId{3});
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

}  // namespace
}  // namespace sardinelead
