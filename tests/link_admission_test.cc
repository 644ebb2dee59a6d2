// Which new flows a link with a backlog refuses. The link of these tests
// carries 20 kB, one upload, in 100 ms.

#include "link_admission.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinelead {
namespace {

using std::chrono::milliseconds;

class LinkAdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkAdmissionTest);
  CPPUNIT_TEST(BurstOfUploadsOnANarrowLink);
  CPPUNIT_TEST(BurstOfOpeningPacketsBeforeTheirRequests);
  CPPUNIT_TEST(IdleLinkRefusesNothing);
  CPPUNIT_TEST(UnknownCapacityRefusesNothing);
  CPPUNIT_TEST(DrainedBacklogAdmitsAgain);
  CPPUNIT_TEST(ObjectiveBelowTheTransferTimeNeedsRealBacklog);
  CPPUNIT_TEST(LongRequestsOfAShortKindAreLearned);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Each upload that was admitted is in the queue when the next flow opens.
  // Uploads wait for each other and requests of the higher rank do not.
  void BurstOfUploadsOnANarrowLink() {
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
      const Duration wait = admitted * milliseconds(100);
      if (m_admission.Admits(m_upload, wait, admitted > 0, m_now)) ++admitted;
      CPPUNIT_ASSERT(
          m_admission.Admits(m_short, milliseconds(10), true, m_now));
      m_now += milliseconds(60);
    }
    CPPUNIT_ASSERT_EQUAL(4, admitted);
  }

  // Guards against admitting a whole burst before its first byte arrives.
  void BurstOfOpeningPacketsBeforeTheirRequests() {
    int admitted = 0;
    for (int i = 0; i < 10; ++i) {
      if (m_admission.Admits(m_upload, Duration{0}, true, m_now)) ++admitted;
    }
    CPPUNIT_ASSERT_EQUAL(4, admitted);
    // Uploads that are expected do not delay the higher rank.
    CPPUNIT_ASSERT(m_admission.Admits(m_short, Duration{0}, true, m_now));
    m_now += milliseconds(60);
    CPPUNIT_ASSERT(m_admission.Admits(m_upload, Duration{0}, true, m_now));
  }

  void IdleLinkRefusesNothing() {
    for (int i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT(m_admission.Admits(m_upload, Duration{0}, false, m_now));
    }
  }

  void UnknownCapacityRefusesNothing() {
    m_rate = 0;
    CPPUNIT_ASSERT(
        m_admission.Admits(m_upload, std::chrono::hours(1), true, m_now));
  }

  void DrainedBacklogAdmitsAgain() {
    const Duration long_wait = milliseconds(350);
    CPPUNIT_ASSERT(!m_admission.Admits(m_upload, long_wait, true, m_now));
    CPPUNIT_ASSERT(
        m_admission.Admits(m_upload, milliseconds(250), true, m_now));
    m_now += milliseconds(60);
    CPPUNIT_ASSERT(m_admission.Admits(m_upload, Duration{0}, false, m_now));
  }

  // Guards against refusing flows that no other VM could serve any sooner.
  void ObjectiveBelowTheTransferTimeNeedsRealBacklog() {
    m_upload.objective_ms = 50;
    CPPUNIT_ASSERT(m_admission.Admits(m_upload, milliseconds(90), true, m_now));
    m_now += milliseconds(60);
    CPPUNIT_ASSERT(
        !m_admission.Admits(m_upload, milliseconds(110), true, m_now));
  }

  void LongRequestsOfAShortKindAreLearned() {
    const Duration wait = milliseconds(60);
    CPPUNIT_ASSERT(m_admission.Admits(m_short, wait, true, m_now));
    m_now += milliseconds(60);
    for (int i = 0; i < 30; ++i) m_admission.OnRequest(m_short, 10'000);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10'000, m_admission.ExpectedBytes(m_short),
                                 300);
    CPPUNIT_ASSERT(!m_admission.Admits(m_short, wait, true, m_now));
  }

 private:
  static Route MakeRoute(std::uint16_t port, RequestKind kind,
                         std::uint32_t objective_ms, std::uint32_t priority) {
    Route route;
    route.address = {IpAddress::FromV4(0xC6120001), port};
    route.kind = kind;
    route.objective_ms = objective_ms;
    route.priority = priority;
    return route;
  }

  TimePoint m_now{std::chrono::seconds(100)};
  double m_rate = 200'000;
  Route m_upload = MakeRoute(1, RequestKind::kUpload, 400, 2);
  Route m_short = MakeRoute(2, RequestKind::kIdempotent, 100, 0);
  LinkAdmission m_admission{{}, {[this] { return m_rate; }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkAdmissionTest);

}  // namespace
}  // namespace sardinelead
