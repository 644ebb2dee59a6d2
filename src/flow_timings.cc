#include "flow_timings.h"

namespace sardinelead {

FlowTimings::FlowTimings(Metrics* metrics, const TargetDirectory* directory)
    : m_metrics(metrics), m_directory(directory) {
  m_metrics->Describe("sardinelead_flow_opening_seconds",
                      "From an opening packet to the caller's next packet.");
  m_metrics->Describe("sardinelead_answer_seconds",
                      "From a request to the first word on its answer.");
}

void FlowTimings::Observe(const FlowTiming& timing) {
  const TargetDirectory::Entry* entry = m_directory->Find(timing.target);
  if (entry == nullptr) return;
  const Series& series = SeriesForPool(entry->announcement.pool);
  Histogram* histogram =
      timing.step == FlowStep::kOpening ? series.opening : series.answer;
  histogram->Observe(std::chrono::duration<double>(timing.duration).count());
}

const FlowTimings::Series& FlowTimings::SeriesForPool(const std::string& pool) {
  const bool is_listed =
      m_series.count(pool) != 0 || m_series.size() < kMaxTimedPools;
  const std::string name = is_listed ? pool : "other";
  const auto found = m_series.find(name);
  if (found != m_series.end()) return found->second;
  Series series;
  series.opening = m_metrics->FindHistogram("sardinelead_flow_opening_seconds",
                                            {{"pool", name}});
  series.answer =
      m_metrics->FindHistogram("sardinelead_answer_seconds", {{"pool", name}});
  return m_series.emplace(name, series).first->second;
}

}  // namespace sardinelead
