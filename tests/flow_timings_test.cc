#include "flow_timings.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinelead {
namespace {

using std::chrono::milliseconds;

class FlowTimingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowTimingsTest);
  CPPUNIT_TEST(EachStepOfAPoolHasAHistogram);
  CPPUNIT_TEST(UnknownTargetsAreIgnored);
  CPPUNIT_TEST(PoolsAreBoundedInNumber);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EachStepOfAPoolHasAHistogram() {
    AddTarget(1, "orders");
    AddTarget(2, "orders");
    m_timings.Observe({FlowStep::kOpening, 1, milliseconds(4)});
    m_timings.Observe({FlowStep::kAnswer, 1, milliseconds(50)});
    m_timings.Observe({FlowStep::kAnswer, 2, milliseconds(70)});
    const auto opening = m_metrics
                             .FindHistogram("sardinelead_flow_opening_seconds",
                                            {{"pool", "orders"}})
                             ->Read();
    const auto answer =
        m_metrics
            .FindHistogram("sardinelead_answer_seconds", {{"pool", "orders"}})
            ->Read();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, opening.count);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, answer.count);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.12, answer.sum, 1e-9);
  }

  void UnknownTargetsAreIgnored() {
    m_timings.Observe({FlowStep::kAnswer, 9, milliseconds(50)});
    CPPUNIT_ASSERT(m_metrics.Histograms().empty());
  }

  void PoolsAreBoundedInNumber() {
    for (std::uint64_t number = 1; number <= 1000; ++number) {
      AddTarget(number, "pool-" + std::to_string(number));
      m_timings.Observe({FlowStep::kAnswer, number, milliseconds(5)});
    }
    CPPUNIT_ASSERT(m_metrics.Histograms().size() <= 2 * (kMaxTimedPools + 1));
    const auto other =
        m_metrics
            .FindHistogram("sardinelead_answer_seconds", {{"pool", "other"}})
            ->Read();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1000 - kMaxTimedPools}, other.count);
  }

 private:
  void AddTarget(std::uint64_t number, const std::string& pool) {
    TargetAnnouncement announcement;
    announcement.number = number;
    announcement.pool = pool;
    announcement.address = {IpAddress::FromV4(0x0a000000 + number), 80};
    m_directory.Take(announcement, TimePoint{});
  }

  Metrics m_metrics;
  TargetDirectory m_directory;
  FlowTimings m_timings{&m_metrics, &m_directory};
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowTimingsTest);

}  // namespace
}  // namespace sardinelead
