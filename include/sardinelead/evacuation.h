#ifndef SARDINELEAD_EVACUATION_H_
#define SARDINELEAD_EVACUATION_H_

// Which data centres are evacuated: their targets get no new flows, while open
// flows stay. The replicas decide the table; balancers follow it.
//
//   EvacuationTable table;
//   table.Set("luzon-a", true, log_index);
//   if (table.IsEvacuated("luzon-a")) ...
//
// Not thread-safe.

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

struct Evacuation {
  bool is_active = false;
  // Log index of the last order, also of one that found the state as wanted.
  std::uint64_t changed_at = 0;
  // Log index of the last order that changed `is_active`; 0 if none did.
  std::uint64_t switched_at = 0;
};

// A request to start or finish the evacuation of a data centre.
struct EvacuationOrder {
  std::string data_centre;
  bool is_active = false;
  // EvacuationTable::ChangedAt() when the order was given. The order is refused
  // if a later one that wanted the opposite was decided in between.
  std::uint64_t seen_change = 0;
};

class EvacuationTable {
 public:
  static constexpr std::size_t kMaxDataCentres = 64;
  static constexpr std::size_t kMaxNameBytes = 64;

  // Data centres that were never evacuated have no entry. Ended evacuations
  // keep theirs, so that an order that was overtaken is recognised.
  const std::map<std::string, Evacuation>& entries() const {  // NOLINT
    return m_entries;
  }
  bool IsEvacuated(const std::string& data_centre) const;
  // The evacuated data centres.
  std::vector<std::string> ActiveNames() const;
  // Log index of the last change of this data centre; 0 if there was none.
  std::uint64_t ChangedAt(const std::string& data_centre) const;
  // The highest log index of a change; 0 if there was none.
  std::uint64_t version() const { return m_version; }  // NOLINT

  // Records a change decided at `log_index`. Returns false, and changes
  // nothing, if a limit above is exceeded or the name is empty.
  bool Set(const std::string& data_centre, bool is_active,
           std::uint64_t log_index);
  // Sets a decoded entry. Fails like Set().
  bool Restore(const std::string& data_centre, const Evacuation& evacuation);

 private:
  std::map<std::string, Evacuation> m_entries;
  std::uint64_t m_version = 0;
};

bool operator==(const EvacuationTable& a, const EvacuationTable& b);

// The table as a control VM distributes it.
struct EvacuationReport {
  EvacuationTable table;
  // Time since the last change of a data centre was applied on that control VM.
  // A data centre is left out if the VM does not know it, as after a restart.
  std::map<std::string, Duration> ages;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_EVACUATION_H_
