#ifndef SARDINELEAD_BENCH_BENCH_H_
#define SARDINELEAD_BENCH_BENCH_H_

// Framework of `make bench`. Each area registers functions that print their
// figures through a FigureSink:
//
//   figure <area>.<what> <value> <unit> <op> <bound>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sardinelead::bench {

// Prints figures and counts those that miss their bound.
class FigureSink {
 public:
  explicit FigureSink(std::string area) : m_area(std::move(area)) {}

  // Prints a figure without a bound.
  void Print(const std::string& what, double value, const std::string& unit);
  // Prints a figure with a bound; `op` is "<=", ">=" or "==".
  void Print(const std::string& what, double value, const std::string& unit,
             const std::string& op, double bound);

  int missed() const { return m_missed; }  // NOLINT

 private:
  std::string m_area;
  int m_missed = 0;
};

using AreaFunction =
    std::function<void(const std::vector<std::uint64_t>& seeds, FigureSink*)>;

// Registers `run` under `area` before main starts.
struct Registration {
  Registration(const std::string& area, AreaFunction run);
};

}  // namespace sardinelead::bench

#endif  // SARDINELEAD_BENCH_BENCH_H_
