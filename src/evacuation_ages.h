#ifndef SARDINELEAD_SRC_EVACUATION_AGES_H_
#define SARDINELEAD_SRC_EVACUATION_AGES_H_

// How long ago each data centre's evacuation started or finished, as far as
// this replica saw the change being decided. A change that it read from disk,
// got in a snapshot or together with other log values may be older, so its age
// is unknown. An order that found the state as wanted changes no age.
// Sans-I/O; not thread-safe.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/evacuation.h"
#include "sardinelead/types.h"

namespace sardinelead {

class EvacuationAges {
 public:
  // Takes over the table of a replica that has just been started.
  void Reset(const EvacuationTable& table, std::uint64_t log_index);
  // Must be called after each step of the replica. Returns the data centres
  // whose entry differs, also in its log index only.
  std::vector<std::string> Observe(const EvacuationTable& table,
                                   std::uint64_t log_index, TimePoint now);
  std::optional<Duration> AgeOf(const std::string& data_centre,
                                TimePoint now) const;

 private:
  EvacuationTable m_table;
  std::uint64_t m_log_index = 0;
  std::map<std::string, TimePoint> m_changed_at;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_EVACUATION_AGES_H_
