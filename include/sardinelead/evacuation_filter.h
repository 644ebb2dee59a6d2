#ifndef SARDINELEAD_EVACUATION_FILTER_H_
#define SARDINELEAD_EVACUATION_FILTER_H_

// Decides for a balancer which share of new flows avoids the targets of
// evacuated data centres, and which targets count as cold after the end of an
// evacuation.
//
// The share rises linearly from 0 to 1 over `shift`, counted from the time at
// which a control VM applied the order, so that other data centres get the load
// gradually. It is 1 at once if that time is unknown or `shift` is 0.
//
// Targets may become cold while they get no flows, and report it only in their
// next heartbeat. After the end of an evacuation they therefore count as cold
// until a later heartbeat.
//
//   EvacuationFilter filter(shift);
//   filter.Set(report, now, covered_time);
//   target.avoided_share = filter.AvoidedShare(data_centre, now);
//   target.is_warming_up = filter.IsCold(data_centre, heard_at);
//
// Not thread-safe.

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "sardinelead/evacuation.h"
#include "sardinelead/types.h"

namespace sardinelead {

class EvacuationFilter {
 public:
  explicit EvacuationFilter(Duration shift) : m_shift(shift) {}

  // Returns false, and changes nothing, if the report is not newer than the
  // current table. `covered_time` is in the time base of the directory.
  bool Set(const EvacuationReport& report, TimePoint now,
           TimePoint covered_time);
  // Empty if the data centre is not evacuated.
  std::optional<double> AvoidedShare(const std::string& data_centre,
                                     TimePoint now) const;
  // `heard_at` is the target's last heartbeat, in covered time.
  bool IsCold(const std::string& data_centre, TimePoint heard_at) const;
  const EvacuationTable& table() const { return m_table; }  // NOLINT

 private:
  struct Times {
    std::optional<TimePoint> started_at;
    std::optional<TimePoint> finished_at;  // In covered time.
  };

  Times StartedTimes(const EvacuationReport& report,
                     const std::string& data_centre, TimePoint now) const;
  Times FinishedTimes(const EvacuationReport& report,
                      const std::string& data_centre,
                      TimePoint covered_time) const;
  bool IsUnchanged(const EvacuationReport& report,
                   const std::string& data_centre) const;

  Duration m_shift;
  EvacuationTable m_table;
  std::map<std::string, Times> m_times;
};

// Whether the new flow with this random number avoids a target with this share.
// Uses the upper half of the number: FlowPlacement decides by the lower half
// whether to use another data centre, and the two must be independent.
bool AvoidsEvacuated(double avoided_share, std::uint64_t random);

}  // namespace sardinelead

#endif  // SARDINELEAD_EVACUATION_FILTER_H_
