// Checks that the soak ledger detects violations and allows resets after
// faults.

#include <cppunit/extensions/HelperMacros.h>

#include "ledger.h"
#include "narrow_link.h"

namespace sardinelead::soak {
namespace {

const Endpoint kService = *Endpoint::Parse("198.18.0.1:80");
const Endpoint kOther = *Endpoint::Parse("198.18.0.2:80");
constexpr std::uint32_t kEdge = 0x7f000001;

class SoakLedgerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SoakLedgerTest);
  CPPUNIT_TEST(CatchesAStaleRead);
  CPPUNIT_TEST(CatchesAnAlteredRead);
  CPPUNIT_TEST(CatchesAFlowAtAnotherService);
  CPPUNIT_TEST(CatchesARequestThatRanTwice);
  CPPUNIT_TEST(CatchesAnotherRequestsAnswer);
  CPPUNIT_TEST(CatchesAProcessThatEnded);
  CPPUNIT_TEST(CatchesAResetOfAnOpenFlow);
  CPPUNIT_TEST(CatchesAResetByAnotherTarget);
  CPPUNIT_TEST(CatchesAResetAfterAFault);
  CPPUNIT_TEST(AllowsAResetOfAFlowWhoseTargetIsDown);
  CPPUNIT_TEST(TellsStartsOfOneTargetApart);
  CPPUNIT_TEST(CatchesAResetOfAFlowWithoutARoute);
  CPPUNIT_TEST(CatchesPacketsAtOtherTargetsInPlaceOfTheOwn);
  CPPUNIT_TEST(CatchesANewFlowInAnEvacuatedDataCentre);
  CPPUNIT_TEST(RequiresEvacuationsAfterFaultsOfTheBalancer);
  CPPUNIT_TEST(CatchesABalancerThatStartsWithoutTheEvacuation);
  CPPUNIT_TEST(CatchesALongWaitForTheLink);
  CPPUNIT_TEST(LosesPacketsBeyondTheDepthOfTheLink);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_ledger.OnSent(1, "one", {{kService, "orders"}});
    m_ledger.OnAccepted(1);
    m_ledger.OnSent(2, "two", {{kService, "orders"}, {kOther, "gallery"}});
    m_ledger.OnAccepted(2);
  }

  void AssertViolation(bool is_broken) const {
    CPPUNIT_ASSERT_EQUAL(is_broken, !m_ledger.violations().empty());
  }

  void CatchesAStaleRead() {
    m_ledger.OnRead(2, 2, "two");
    AssertViolation(false);
    m_ledger.OnRead(2, 1, "one");
    AssertViolation(true);
  }
  void CatchesAnAlteredRead() {
    m_ledger.OnRead(2, 2, "TWO");
    AssertViolation(true);
  }
  void CatchesAFlowAtAnotherService() {
    m_ledger.OnOpened(5, "gallery", kOther, kEdge, SteadyNow());
    AssertViolation(false);
    m_ledger.OnOpened(5, "gallery", kService, kEdge, SteadyNow());
    AssertViolation(true);
  }
  void CatchesARequestThatRanTwice() {
    m_ledger.OnRun(7, 1, true);
    m_ledger.OnRun(7, 2, true);
    m_ledger.OnRun(8, 1, false);
    AssertViolation(false);
    m_ledger.OnRun(8, 2, false);
    AssertViolation(true);
  }
  void CatchesAnotherRequestsAnswer() {
    m_ledger.OnAnswer(7, 7, true, false);
    AssertViolation(false);
    m_ledger.OnAnswer(7, 8, true, false);
    AssertViolation(true);
  }
  void CatchesAProcessThatEnded() {
    m_ledger.OnProcessEnded("edge", 6);
    AssertViolation(true);
  }

  // Skips time because the ledger starts as if a fault had just occurred, and a
  // version is enforced only after kConfigApplyLimit.
  void CatchesAResetOfAnOpenFlow() {
    m_ledger.SkipTime(kStableTime + kConfigApplyLimit);
    m_ledger.OnReset(5, false, kEdge, "not open");
    AssertViolation(false);
    m_ledger.OnReset(5, true, kEdge, "open");
    AssertViolation(true);
  }
  // No fault justifies it: only the flow's own target may reset it then.
  void CatchesAResetByAnotherTarget() {
    m_ledger.RecordFault(kEdge, false, "kill");
    m_ledger.OnTargetDown(6);
    m_ledger.OnResetByOtherTarget(6, "its target is down");
    AssertViolation(false);
    m_ledger.OnResetByOtherTarget(5, "its target lives");
    AssertViolation(true);
  }
  // A balancer that was paused, cut off or restarted resets no open flow
  // either.
  void CatchesAResetAfterAFault() {
    m_ledger.SkipTime(kStableTime + kConfigApplyLimit);
    m_ledger.RecordFault(kEdge, false, "kill");
    m_ledger.OnReset(5, true, kEdge, "open");
    AssertViolation(true);
  }
  void AllowsAResetOfAFlowWhoseTargetIsDown() {
    m_ledger.SkipTime(kStableTime + kConfigApplyLimit);
    m_ledger.OnTargetDown(6);
    m_ledger.OnReset(6, true, kEdge, "its target is down");
    AssertViolation(false);
  }
  // A target that starts again under its number gets another id: neither the
  // drain nor the end of its earlier start concerns the later one.
  void TellsStartsOfOneTargetApart() {
    constexpr std::uint64_t kEarlier = 6;
    constexpr std::uint64_t kLater = 7;
    m_ledger.SkipTime(kStableTime + kConfigApplyLimit);
    m_ledger.OnDrainAcknowledged(kEarlier, kEdge + 1);
    m_ledger.OnTargetDown(kEarlier);
    m_ledger.SkipTime(kStableTime + kDrainLimit);
    m_ledger.OnOpened(kLater, "orders", kService, kEdge, SteadyNow());
    m_ledger.OnReset(kEarlier, true, kEdge, "ended");
    m_ledger.OnResetByOtherTarget(kEarlier, "ended");
    AssertViolation(false);
    m_ledger.OnReset(kLater, true, kEdge, "the later one lives");
    AssertViolation(true);
  }
  // Balancers may know an older version than the one under which it opened.
  void CatchesAResetOfAFlowWithoutARoute() {
    m_ledger.OnSent(3, "three", {});
    m_ledger.OnAccepted(3);
    m_ledger.SkipTime(kStableTime + kConfigApplyLimit);
    m_ledger.OnReset(5, true, kEdge, "its route is removed");
    AssertViolation(true);
  }
  // Copies are allowed, packets that wait at a paused target count for it, and
  // an ended target needs none.
  void CatchesPacketsAtOtherTargetsInPlaceOfTheOwn() {
    const FlowEnds flow{*Endpoint::Parse("127.0.4.1:1024"), kService};
    const auto stray = [&] {
      for (int i = 0; i < kStrayPacketLimit; ++i) {
        m_ledger.OnStrayPacket(flow);
        m_ledger.SkipTime(kStrayTimeLimit / 2);
      }
    };
    m_ledger.OnOwnPacket(flow, 5);
    m_ledger.OnPaused(5);
    stray();
    m_ledger.OnContinued(5);
    m_ledger.OnOwnPacket(flow, 5);
    m_ledger.OnStrayPacket(flow);
    m_ledger.SkipTime(kStrayTimeLimit);
    m_ledger.OnOwnPacket(flow, 6);
    m_ledger.OnTargetDown(6);
    stray();
    AssertViolation(false);
    m_ledger.OnOwnPacket(flow, 5);
    stray();
    AssertViolation(true);
  }
  // Only the order of that data centre counts, and only until its finish.
  void CatchesANewFlowInAnEvacuatedDataCentre() {
    m_ledger.OnEvacuationAcknowledged("a");
    m_ledger.OnEvacuationAcknowledged("b");
    m_ledger.OnEvacuationFinishing("b");
    m_ledger.OnNewFlow("a", kEdge, SteadyNow());
    m_ledger.SkipTime(2 * kEvacuationLimit);
    m_ledger.OnNewFlow("b", kEdge, SteadyNow());
    AssertViolation(false);
    m_ledger.OnNewFlow("a", kEdge, SteadyNow());
    AssertViolation(true);
  }
  // A cut-off balancer learns the order late, but then keeps it. Faults of
  // control processes are no excuse.
  void RequiresEvacuationsAfterFaultsOfTheBalancer() {
    m_ledger.BeginFault(kEdge, false, "cut");
    m_ledger.OnEvacuationAcknowledged("a");
    m_ledger.SkipTime(2 * kEvacuationLimit);
    m_ledger.OnNewFlow("a", kEdge, SteadyNow());
    m_ledger.EndFault(kEdge, false);
    m_ledger.OnNewFlow("a", kEdge, SteadyNow());
    AssertViolation(false);
    m_ledger.SkipTime(2 * kEvacuationLimit);
    m_ledger.BeginFault(kEdge, false, "freeze");
    m_ledger.BeginFault(kEdge + 1, true, "split");
    m_ledger.OnNewFlow("a", kEdge, SteadyNow());
    AssertViolation(true);
  }
  // The order precedes the balancer's process, so no time is left to learn it.
  void CatchesABalancerThatStartsWithoutTheEvacuation() {
    m_ledger.OnEvacuationAcknowledged("a");
    m_ledger.SkipTime(kEvacuationLimit * 2);
    m_ledger.Stop(kEdge, false);
    m_ledger.Stop(kEdge + 1, false);
    m_ledger.BeginFault(kEdge, false, "cut");
    m_ledger.OnNewFlow("a", kEdge, SteadyNow());
    AssertViolation(false);
    m_ledger.OnNewFlow("a", kEdge + 1, SteadyNow());
    AssertViolation(true);
  }
  void CatchesALongWaitForTheLink() {
    const Duration limit = NarrowLink::LongestWait(25'000);
    m_ledger.OnWaited(2 * limit);
    m_ledger.RequireAnswersWithin(limit);
    m_ledger.OnWaited(limit);
    AssertViolation(false);
    m_ledger.OnWaited(limit + Duration{1});
    AssertViolation(true);
  }
  // 972 and 28 bytes of headers, at 10,000 bytes per second.
  void LosesPacketsBeyondTheDepthOfTheLink() {
    NarrowLink link;
    const TimePoint now = SteadyNow();
    constexpr Duration kTransfer = std::chrono::milliseconds(100);
    for (int i = 1; i <= 9; ++i) {
      CPPUNIT_ASSERT(link.Pass(972, 10'000, now) == now + i * kTransfer);
    }
    CPPUNIT_ASSERT(!link.Pass(972, 10'000, now));
    CPPUNIT_ASSERT(link.Pass(972, 10'000, now + 9 * kTransfer) ==
                   now + 10 * kTransfer);
    CPPUNIT_ASSERT(link.Pass(972, 0, now) == now);
  }

 private:
  Ledger m_ledger;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakLedgerTest);

}  // namespace
}  // namespace sardinelead::soak
