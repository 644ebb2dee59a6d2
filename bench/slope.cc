#include "slope.h"

#include <malloc.h>

#include <cassert>
#include <cmath>
#include <ctime>

namespace sardinelead::bench {
namespace {

// Sums for the weighted least-squares fit of y over x.
struct Sums {
  double weight = 0;
  double x = 0;
  double y = 0;
  double xx = 0;
  double xy = 0;

  void Add(double x_in, double y_in, double w) {
    weight += w;
    x += w * x_in;
    y += w * y_in;
    xx += w * x_in * x_in;
    xy += w * x_in * y_in;
  }
  double Slope() const { return (weight * xy - x * y) / (weight * xx - x * x); }
  double Offset() const { return (y - Slope() * x) / weight; }
};

}  // namespace

Line Fit(const std::vector<Point>& points) {
  assert(points.size() >= 2);
  Sums linear;
  Sums logarithmic;
  for (const Point& point : points) {
    linear.Add(point.count, point.cost, 1 / point.count);
    if (point.cost <= 0) continue;
    logarithmic.Add(std::log(point.count), std::log(point.cost), 1);
  }
  return Line{linear.Slope(), linear.Offset(), logarithmic.Slope()};
}

Line PrintSlope(const std::string& name, const std::string& unit,
                const std::vector<double>& counts,
                const std::function<double(double count)>& cost_of,
                FigureSink* sink) {
  std::vector<Point> points;
  points.reserve(counts.size());
  for (const double count : counts) {
    points.push_back(Point{count, cost_of(count)});
  }
  const Line line = Fit(points);
  sink->Print(name, line.slope, unit);
  sink->Print(name + "_offset", line.offset, unit);
  sink->Print(name + "_exponent", line.exponent, "power");
  return line;
}

std::size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double ThreadNanoseconds() {
  constexpr double kNanosecondsPerSecond = 1e9;
  timespec used{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * kNanosecondsPerSecond +
         static_cast<double>(used.tv_nsec);
}

}  // namespace sardinelead::bench
