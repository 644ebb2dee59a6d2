#ifndef SARDINELEAD_BENCH_SLOPE_H_
#define SARDINELEAD_BENCH_SLOPE_H_

// Fits how a cost grows with a count, for docs/CAPACITY.md.

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "bench.h"

namespace sardinelead::bench {

struct Point {
  double count = 0;
  double cost = 0;
};

// A fitted straight line and its quality of fit.
struct Line {
  double slope = 0;
  double offset = 0;
  // Exponent of cost over count on logarithmic scales: 1 is linear.
  double exponent = 0;
};

// Least squares over `points`, each weighted by 1 / count so that the small
// counts matter as much as the large ones. Requires two points or more, with
// counts and costs above 0.
Line Fit(const std::vector<Point>& points);

// Measures `cost_of` at each count and prints the slope as `name`, its offset
// as `name`_offset and its exponent as `name`_exponent. An exponent outside
// 0.8 to 1.2 means that the cost is not linear.
Line PrintSlope(const std::string& name, const std::string& unit,
                const std::vector<double>& counts,
                const std::function<double(double count)>& cost_of,
                FigureSink* sink);

// Bytes currently allocated from the heap by this process.
std::size_t HeapBytes();

// Processor time used by this thread, in nanoseconds.
double ThreadNanoseconds();

}  // namespace sardinelead::bench

#endif  // SARDINELEAD_BENCH_SLOPE_H_
