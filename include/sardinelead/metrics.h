#ifndef SARDINELEAD_METRICS_H_
#define SARDINELEAD_METRICS_H_

// The counters, gauges and histograms of a process, with labels such as
// workspace or service, and their export in the Prometheus text format.
//
//   Counter* picks = metrics.FindCounter("sardinelead_picks_total",
//                                        {{"workspace", "linaw"}});
//   picks->Add(1);
//   std::string page = metrics.PrometheusText();
//
// A series lives as long as its Metrics object, so callers may keep pointers to
// it. Updating a counter or gauge is one atomic operation; a histogram locks
// its own mutex. Memory use is about 100 bytes per counter and 700 bytes per
// histogram.

#include <array>
#include <atomic>
#include <boost/accumulators/framework/accumulator_base.hpp>
#include <boost/accumulators/framework/accumulator_set.hpp>
#include <boost/accumulators/framework/depends_on.hpp>
#include <boost/accumulators/framework/extractor.hpp>
#include <boost/accumulators/framework/parameters/sample.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/min.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace sardinelead {

// Histograms have four buckets per power of two, from 2^-10 to 2^20. The first
// and last buckets also count all values outside this range.
constexpr int kBucketsPerOctave = 4;
constexpr int kFirstOctave = -10;
constexpr int kLastOctave = 20;
constexpr std::size_t kBucketCount =
    kBucketsPerOctave * (kLastOctave - kFirstOctave) + 1;
using BucketCounts = std::array<std::uint64_t, kBucketCount>;

// Returns the index of the bucket that contains `value`.
std::size_t BucketIndex(double value);
// Returns the inclusive upper bound of a bucket; infinity for the last one.
double BucketUpperBound(std::size_t bucket);

// A Boost accumulator that counts samples in logarithmic buckets.
struct LogBucketsImpl : boost::accumulators::accumulator_base {
  using result_type = const BucketCounts&;  // NOLINT: named by Boost

  template <typename Args>
  explicit LogBucketsImpl(const Args&) {}

  template <typename Args>
  void operator()(const Args& args) {
    ++m_counts[BucketIndex(args[boost::accumulators::sample])];
  }

  template <typename Args>
  result_type result(const Args&) const {  // NOLINT: named by Boost
    return m_counts;
  }

 private:
  BucketCounts m_counts{};
};

struct LogBucketsTag : boost::accumulators::depends_on<> {
  struct impl {  // NOLINT: named by Boost
    template <typename Sample, typename Weight>
    struct apply {                  // NOLINT: named by Boost
      using type = LogBucketsImpl;  // NOLINT: named by Boost
    };
  };
};

class Counter {
 public:
  void Add(std::uint64_t amount) {
    m_value.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const {
    return m_value.load(std::memory_order_relaxed);
  }

 private:
  std::atomic<std::uint64_t> m_value{0};
};

class Gauge {
 public:
  void Set(double value) { m_value.store(value, std::memory_order_relaxed); }
  double Value() const { return m_value.load(std::memory_order_relaxed); }

 private:
  std::atomic<double> m_value{0};
};

class Histogram {
 public:
  struct Summary {
    std::uint64_t count = 0;
    double sum = 0;
    double min = 0;
    double max = 0;
    BucketCounts buckets{};

    // Estimates the `q` quantile of the samples. The result may exceed the
    // exact value by up to one bucket width (19%). Returns 0 without samples.
    double Quantile(double q) const;
  };

  void Observe(double value);
  Summary Read() const;

 private:
  using Accumulators = boost::accumulators::accumulator_set<
      double, boost::accumulators::stats<
                  boost::accumulators::tag::count,
                  boost::accumulators::tag::sum, boost::accumulators::tag::min,
                  boost::accumulators::tag::max, LogBucketsTag>>;

  mutable std::mutex m_mutex;
  Accumulators m_accumulators;
};

// Label names and values, in output order.
using Labels = std::vector<std::pair<std::string, std::string>>;

// A snapshot of one histogram.
struct HistogramSnapshot {
  std::string name;
  Labels labels;
  Histogram::Summary summary;
};

class Metrics {
 public:
  // Returns the series with this name and labels, creating it if necessary.
  Counter* FindCounter(const std::string& name, const Labels& labels);
  Gauge* FindGauge(const std::string& name, const Labels& labels);
  Histogram* FindHistogram(const std::string& name, const Labels& labels);
  // Sets the text of the `# HELP` line of `name`.
  void Describe(const std::string& name, const std::string& help);

  // Returns all counters, then all gauges, then all histograms, each sorted by
  // name and labels. Empty buckets are omitted.
  std::string PrometheusText() const;
  // Returns a snapshot of every histogram, sorted by name and labels.
  std::vector<HistogramSnapshot> Histograms() const;

 private:
  template <typename T>
  using Family = std::map<std::string, std::map<Labels, std::unique_ptr<T>>>;

  std::string HelpLines(const std::string& name, const char* type) const;

  mutable std::mutex m_mutex;
  std::map<std::string, std::string> m_help;
  Family<Counter> m_counters;
  Family<Gauge> m_gauges;
  Family<Histogram> m_histograms;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_METRICS_H_
