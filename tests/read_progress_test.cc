#include "sardinelead/read_progress.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinelead {
namespace {

using std::chrono::milliseconds;

class ReadProgressTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReadProgressTest);
  CPPUNIT_TEST(AgeBeginsWhenSentAndEndsWhenDrained);
  CPPUNIT_TEST(StallShortensTheAge);
  CPPUNIT_TEST(DroppedPacketsHaveNoAge);
  CPPUNIT_TEST(OldRoundsKeepALargeAge);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AgeBeginsWhenSentAndEndsWhenDrained() {
    CPPUNIT_ASSERT(m_progress.ShortestAge(0) == Duration{0});
    m_progress.OnDrained(At(10), At(12));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_progress.round());
    CPPUNIT_ASSERT(m_progress.ShortestAge(0) == Duration{0});
    m_progress.OnDrained(At(50), At(51));
    CPPUNIT_ASSERT(m_progress.ShortestAge(0) == milliseconds(38));
    CPPUNIT_ASSERT(m_progress.ShortestAge(1) == Duration{0});
    CPPUNIT_ASSERT(m_progress.read_until() == At(50));
  }

  // A packet is forwarded late, after a stall, and the next one is read after
  // another stall.
  void StallShortensTheAge() {
    m_progress.OnDrained(At(0), At(500));
    CPPUNIT_ASSERT(m_progress.ShortestAge(0) == Duration{0});
    m_progress.OnDrained(At(501), At(900));
    CPPUNIT_ASSERT(m_progress.ShortestAge(0) == milliseconds(1));
  }

  void DroppedPacketsHaveNoAge() {
    m_progress.OnDrained(At(0), At(0));
    m_progress.OnPacketsDropped();
    m_progress.OnDrained(At(300), At(300));
    CPPUNIT_ASSERT(!m_progress.IsReliable(1));
    CPPUNIT_ASSERT(m_progress.ShortestAge(0) == Duration{0});
    CPPUNIT_ASSERT(m_progress.ShortestAge(1) == Duration{0});
    CPPUNIT_ASSERT(m_progress.IsReliable(2));
    m_progress.OnDrained(At(400), At(400));
    m_progress.OnDrained(At(500), At(500));
    CPPUNIT_ASSERT(m_progress.ShortestAge(2) == milliseconds(100));
  }

  void OldRoundsKeepALargeAge() {
    for (int i = 0; i < 5000; ++i) m_progress.OnDrained(At(i), At(i));
    CPPUNIT_ASSERT(m_progress.ShortestAge(0) == ReadProgress::kMaxAge);
    CPPUNIT_ASSERT(m_progress.ShortestAge(4900) == milliseconds(99));
    m_progress.OnDrained(At(60'000), At(60'000));
    CPPUNIT_ASSERT(m_progress.ShortestAge(4999) == ReadProgress::kMaxAge);
  }

 private:
  static TimePoint At(int ms) {
    return TimePoint{std::chrono::seconds(100) + milliseconds(ms)};
  }

  ReadProgress m_progress;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReadProgressTest);

}  // namespace
}  // namespace sardinelead
