#ifndef SARDINELEAD_SRC_FLOW_TIMINGS_H_
#define SARDINELEAD_SRC_FLOW_TIMINGS_H_

// Histograms of how long the steps of a balancer's flows take, one for each
// pool and step.
//
// Not for several threads. Memory: about 2 KB a pool.

#include <string>
#include <unordered_map>

#include "sardinelead/cookie_balancer.h"
#include "sardinelead/metrics.h"
#include "sardinelead/target_directory.h"

namespace sardinelead {

// Pools beyond share the series "other".
constexpr std::size_t kMaxTimedPools = 100;

class FlowTimings {
 public:
  // Keeps both.
  FlowTimings(Metrics* metrics, const TargetDirectory* directory);

  // Timings at targets that the directory has forgotten are left out.
  void Observe(const FlowTiming& timing);

 private:
  struct Series {
    Histogram* opening = nullptr;
    Histogram* answer = nullptr;
  };

  const Series& SeriesOf(const std::string& pool);

  Metrics* m_metrics;
  const TargetDirectory* m_directory;
  std::unordered_map<std::string, Series> m_series;  // By pool.
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FLOW_TIMINGS_H_
