#ifndef SARDINELEAD_SOAK_EVACUATION_CHECK_H_
#define SARDINELEAD_SOAK_EVACUATION_CHECK_H_

// Decides whether a new flow may reach a data centre that is evacuated.
//
// An acknowledged order must be in force at a balancer once the balancer was
// without faults of its own for kEvacuationLimit after the acknowledgement. It
// stays in force there whatever fails later. A balancer that starts after that
// follows it at once, unless a fault at the balancer prevents it from learning
// the order. Faults at control processes permit no exception.
//
// Not thread-safe.

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead::soak {

// "evacuateMs" in the settings of the processes.
constexpr Duration kEvacuationLimit = std::chrono::seconds(5);

class EvacuationCheck {
 public:
  // Faults of the balancer `edge` may overlap.
  void BeginFault(std::uint32_t edge, TimePoint now);
  void EndFault(std::uint32_t edge, TimePoint now);
  // Records that a process of the balancer starts.
  void OnRestart(std::uint32_t edge, TimePoint now) {
    m_restarted_at[edge] = now;
  }

  void OnAcknowledged(const std::string& data_centre, TimePoint now);
  // Records that an operator is about to withdraw the order.
  void OnFinishing(const std::string& data_centre);

  // Returns whether an order requires that no opening packet of a new flow
  // reaches `data_centre` through `edge` at `arrived_at`.
  bool IsForbidden(const std::string& data_centre, std::uint32_t edge,
                   TimePoint arrived_at) const;

 private:
  struct Faults {
    int active = 0;
    // Begin and end; the last one has not ended while `active` is positive.
    std::vector<std::pair<TimePoint, TimePoint>> spans;
  };

  std::map<std::uint32_t, Faults> m_faults;
  std::map<std::uint32_t, TimePoint> m_restarted_at;
  std::map<std::string, TimePoint> m_acknowledged_at;
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_EVACUATION_CHECK_H_
