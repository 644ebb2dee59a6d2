#ifndef SARDINELEAD_SRC_LOG_BUDGET_H_
#define SARDINELEAD_SRC_LOG_BUDGET_H_

// How many lines of each event may be logged: a token bucket an event, so that
// a flood of one leaves the others readable and the cost of logging is bounded.

#include <cstdint>
#include <string>
#include <unordered_map>

#include "sardinelead/types.h"

namespace sardinelead {

struct LogBudgetSettings {
  double lines_per_second = 10;  // Of one event.
  double burst = 40;
};

class LogBudget {
 public:
  explicit LogBudget(const LogBudgetSettings& settings)
      : m_settings(settings) {}

  // Whether a line of `event` may be written now; one that may not is counted.
  bool Take(const std::string& event, TimePoint now);
  // Counts a line that was taken and could not be written.
  void Lose(const std::string& event);
  // Lines of `event` left out since the last call.
  std::uint64_t TakeLeftOut(const std::string& event);

 private:
  struct Bucket {
    double tokens = 0;
    TimePoint filled_at;
    std::uint64_t left_out = 0;
  };

  LogBudgetSettings m_settings;
  std::unordered_map<std::string, Bucket> m_buckets;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_LOG_BUDGET_H_
