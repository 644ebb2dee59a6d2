// Runs the benchmark areas: sardinelead_bench --area=flows --seeds=1,2,3

#include <gflags/gflags.h>

#include <cstdio>
#include <map>
#include <sstream>

#include "bench.h"

DEFINE_string(
    area, "all",
    "area to run: path, flows, config, routes, balance, link, capacity or all");
DEFINE_string(seeds, "1,2,3", "seeds, separated by commas");

namespace sardinelead::bench {
namespace {

std::multimap<std::string, AreaFunction>* Areas() {
  static auto* areas = new std::multimap<std::string, AreaFunction>;
  return areas;
}

std::vector<std::uint64_t> ParseSeeds(const std::string& text) {
  std::vector<std::uint64_t> seeds;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    seeds.push_back(std::stoull(part));
  }
  return seeds;
}

}  // namespace

Registration::Registration(const std::string& area, AreaFunction run) {
  Areas()->emplace(area, std::move(run));
}

void FigureSink::Print(const std::string& what, double value,
                       const std::string& unit) {
  std::printf("figure %s.%s %.6g %s\n", m_area.c_str(), what.c_str(), value,
              unit.c_str());
  std::fflush(stdout);
}

void FigureSink::Print(const std::string& what, double value,
                       const std::string& unit, const std::string& op,
                       double bound) {
  std::printf("figure %s.%s %.6g %s %s %.6g\n", m_area.c_str(), what.c_str(),
              value, unit.c_str(), op.c_str(), bound);
  std::fflush(stdout);
  const bool within_bound = op == "<="   ? value <= bound
                            : op == ">=" ? value >= bound
                                         : value == bound;
  if (!within_bound) ++m_missed;
}

}  // namespace sardinelead::bench

int main(int argc, char** argv) {
  gflags::SetUsageMessage("measures sardinelead; prints a line a figure");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  using sardinelead::bench::Areas;
  const auto seeds = sardinelead::bench::ParseSeeds(FLAGS_seeds);
  int missed = 0;
  int ran = 0;
  for (const auto& [area, run] : *Areas()) {
    if (FLAGS_area != "all" && FLAGS_area != area) continue;
    sardinelead::bench::FigureSink sink(area);
    run(seeds, &sink);
    missed += sink.missed();
    ++ran;
  }
  if (ran == 0) {
    std::fprintf(stderr, "area \"%s\" does not exist\n", FLAGS_area.c_str());
    return 2;
  }
  std::printf("%d areas, %d figures missed their bound\n", ran, missed);
  return 0;
}
