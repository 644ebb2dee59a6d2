// That the soak's checks catch what they are for.

#include <cppunit/extensions/HelperMacros.h>

#include "ledger.h"

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
  CPPUNIT_TEST(CatchesAResetOfALivingFlow);
  CPPUNIT_TEST(AllowsAResetAfterADisturbance);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_ledger.OnSent(1, "one", {{kService, "orders"}});
    m_ledger.OnAccepted(1);
    m_ledger.OnSent(2, "two", {{kService, "orders"}, {kOther, "gallery"}});
    m_ledger.OnAccepted(2);
  }

  void AssertBroken(bool is_broken) const {
    CPPUNIT_ASSERT_EQUAL(is_broken, !m_ledger.broken().empty());
  }

  void CatchesAStaleRead() {
    m_ledger.OnRead(2, 2, "two");
    AssertBroken(false);
    m_ledger.OnRead(2, 1, "one");
    AssertBroken(true);
  }
  void CatchesAnAlteredRead() {
    m_ledger.OnRead(2, 2, "TWO");
    AssertBroken(true);
  }
  void CatchesAFlowAtAnotherService() {
    m_ledger.OnOpened(5, "gallery", kOther, kEdge, SteadyNow());
    AssertBroken(false);
    m_ledger.OnOpened(5, "gallery", kService, kEdge, SteadyNow());
    AssertBroken(true);
  }
  void CatchesARequestThatRanTwice() {
    m_ledger.OnRun(7, 1, true);
    m_ledger.OnRun(7, 2, true);
    m_ledger.OnRun(8, 1, false);
    AssertBroken(false);
    m_ledger.OnRun(8, 2, false);
    AssertBroken(true);
  }
  void CatchesAnotherRequestsAnswer() {
    m_ledger.OnAnswer(7, 7, true, false);
    AssertBroken(false);
    m_ledger.OnAnswer(7, 8, true, false);
    AssertBroken(true);
  }
  void CatchesAProcessThatEnded() {
    m_ledger.OnProcessEnded("edge", 6);
    AssertBroken(true);
  }

  // Time is real here: the ledger begins with a disturbance of its own, and a
  // version must have been in force for a while.
  void CatchesAResetOfALivingFlow() {
    m_ledger.SkipTime(kContact + kConfigApply);
    m_ledger.OnReset(5, false, kEdge, kService, "not open");
    AssertBroken(false);
    m_ledger.OnReset(5, true, kEdge, kService, "open");
    AssertBroken(true);
  }
  void AllowsAResetAfterADisturbance() {
    m_ledger.SkipTime(kContact + kConfigApply);
    m_ledger.Disturb(kEdge, false, "kill");
    m_ledger.OnReset(5, true, kEdge, kService, "open");
    m_ledger.OnTargetDown(6);
    m_ledger.SkipTime(2 * kContact);
    m_ledger.OnReset(6, true, kEdge, kService, "its target is down");
    AssertBroken(false);
  }

 private:
  Ledger m_ledger;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SoakLedgerTest);

}  // namespace
}  // namespace sardinelead::soak
