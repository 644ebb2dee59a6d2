#ifndef SARDINELEAD_SRC_FLOW_TIMINGS_H_
#define SARDINELEAD_SRC_FLOW_TIMINGS_H_

// Latency histograms of the steps of a balancer's flows, one for each pool and
// step.
//
// Not thread-safe. Uses about 2 KB of memory per pool.

#include <string>
#include <unordered_map>

#include "sardinelead/cookie_balancer.h"
#include "sardinelead/metrics.h"
#include "sardinelead/target_directory.h"

namespace sardinelead {

// Further pools share the series "other".
constexpr std::size_t kMaxTimedPools = 100;

class FlowTimings {
 public:
  // Both arguments must outlive this object.
  FlowTimings(Metrics* metrics, const TargetDirectory* directory);

  // Ignores timings of targets that are no longer in the directory.
  void Observe(const FlowTiming& timing);

 private:
  struct Series {
    Histogram* opening = nullptr;
    Histogram* answer = nullptr;
  };

  const Series& SeriesForPool(const std::string& pool);

  Metrics* m_metrics;
  const TargetDirectory* m_directory;
  std::unordered_map<std::string, Series> m_series;  // By pool.
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FLOW_TIMINGS_H_
