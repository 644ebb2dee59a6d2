#include "sardinelead/evacuation_filter.h"

#include <algorithm>
#include <utility>

namespace sardinelead {
namespace {

constexpr std::uint64_t kSampleSteps = 1000;
constexpr unsigned kUpperHalfShift = 32;

std::optional<Duration> AgeOf(const EvacuationReport& report,
                              const std::string& data_centre) {
  const auto found = report.ages.find(data_centre);
  if (found == report.ages.end()) return std::nullopt;
  return found->second;
}

}  // namespace

bool EvacuationFilter::Set(const EvacuationReport& report, TimePoint now,
                           TimePoint covered_time) {
  if (report.table.version() <= m_table.version()) return false;
  std::map<std::string, Times> times;
  for (const auto& [data_centre, evacuation] : report.table.entries()) {
    times[data_centre] = evacuation.is_active
                             ? StartedTimes(report, data_centre, now)
                             : FinishedTimes(report, data_centre, covered_time);
  }
  m_times = std::move(times);
  m_table = report.table;
  return true;
}

// A repeated order does not start the shift again.
EvacuationFilter::Times EvacuationFilter::StartedTimes(
    const EvacuationReport& report, const std::string& data_centre,
    TimePoint now) const {
  if (IsUnchanged(report, data_centre)) return m_times.at(data_centre);
  const auto age = AgeOf(report, data_centre);
  if (!age) return {};
  return {now - *age, std::nullopt};
}

// A finish comes into force when its table is received. For a balancer without
// a table, which has just started, it may be long past: its age counts, so that
// warm targets do not count as cold at each start.
EvacuationFilter::Times EvacuationFilter::FinishedTimes(
    const EvacuationReport& report, const std::string& data_centre,
    TimePoint covered_time) const {
  if (IsUnchanged(report, data_centre)) return m_times.at(data_centre);
  const bool was_evacuated =
      report.table.entries().at(data_centre).switched_at != 0;
  if (!was_evacuated) return {};
  if (m_table.version() != 0) return {std::nullopt, covered_time};
  const Duration age = AgeOf(report, data_centre).value_or(Duration{0});
  return {std::nullopt, covered_time - age};
}

// Whether the last order that had an effect is known already. Repeated orders
// have none.
bool EvacuationFilter::IsUnchanged(const EvacuationReport& report,
                                   const std::string& data_centre) const {
  const auto known = m_table.entries().find(data_centre);
  return known != m_table.entries().end() &&
         known->second.switched_at ==
             report.table.entries().at(data_centre).switched_at;
}

std::optional<double> EvacuationFilter::AvoidedShare(
    const std::string& data_centre, TimePoint now) const {
  if (!m_table.IsEvacuated(data_centre)) return std::nullopt;
  const auto started_at = m_times.at(data_centre).started_at;
  if (!started_at || m_shift <= Duration{0}) return 1.0;
  const double share = std::chrono::duration<double>(now - *started_at) /
                       std::chrono::duration<double>(m_shift);
  return std::clamp(share, 0.0, 1.0);
}

bool EvacuationFilter::IsCold(const std::string& data_centre,
                              TimePoint heard_at) const {
  const auto found = m_times.find(data_centre);
  return found != m_times.end() && found->second.finished_at &&
         heard_at <= *found->second.finished_at;
}

bool AvoidsEvacuated(double avoided_share, std::uint64_t random) {
  const std::uint64_t step = (random >> kUpperHalfShift) % kSampleSteps;
  return static_cast<double>(step) / kSampleSteps < avoided_share;
}

}  // namespace sardinelead
