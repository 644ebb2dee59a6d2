#include "sardinelead/metrics.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinelead {
namespace {

class MetricsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(WritesPrometheusText);
  CPPUNIT_TEST(ValuesAreWithinBucketBounds);
  CPPUNIT_TEST(QuantilesAreWithinABucket);
  CPPUNIT_TEST_SUITE_END();

 public:
  void WritesPrometheusText() {
    Metrics metrics;
    metrics.Describe("picks_total", "Picks.");
    metrics.FindCounter("picks_total", {{"workspace", "a\"b"}})->Add(3);
    metrics.FindGauge("held", {})->Set(1.5);
    Histogram* histogram = metrics.FindHistogram("wait", {{"service", "s"}});
    histogram->Observe(1);
    histogram->Observe(2);
    histogram->Observe(1e7 - 3);
    const std::string expected =
        "# HELP picks_total Picks.\n# TYPE picks_total counter\n"
        "picks_total{workspace=\"a\\\"b\"} 3\n"
        "# TYPE held gauge\nheld 1.5\n"
        "# TYPE wait histogram\n"
        "wait_bucket{service=\"s\",le=\"1\"} 1\n"
        "wait_bucket{service=\"s\",le=\"2\"} 2\n"
        "wait_bucket{service=\"s\",le=\"+Inf\"} 3\n"
        "wait_sum{service=\"s\"} 10000000\nwait_count{service=\"s\"} 3\n";
    CPPUNIT_ASSERT_EQUAL(expected, metrics.PrometheusText());
  }

  void ValuesAreWithinBucketBounds() {
    for (double value = 1e-5; value < 1e7; value *= 1.07) {
      const std::size_t bucket = BucketIndex(value);
      CPPUNIT_ASSERT(value <= BucketUpperBound(bucket) * (1 + 1e-12));
      if (bucket == 0) continue;
      CPPUNIT_ASSERT(value > BucketUpperBound(bucket - 1) * (1 - 1e-12));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, BucketIndex(-1));
  }

  void QuantilesAreWithinABucket() {
    Histogram histogram;
    CPPUNIT_ASSERT_EQUAL(0.0, histogram.Read().Quantile(0.5));
    for (int i = 1; i <= 1000; ++i) histogram.Observe(i);
    const Histogram::Summary summary = histogram.Read();
    for (const double q : {0.1, 0.5, 0.9, 0.99}) {
      CPPUNIT_ASSERT(summary.Quantile(q) >= 1000 * q);
      CPPUNIT_ASSERT(summary.Quantile(q) <= 1000 * q * 1.2);
    }
    CPPUNIT_ASSERT_EQUAL(1000.0, summary.Quantile(1));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

}  // namespace
}  // namespace sardinelead
