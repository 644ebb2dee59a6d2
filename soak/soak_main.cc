// sardinelead_soak: runs the real programs under random faults.
//
//   sardinelead_soak --programs=build --seed=7 --seconds=20
//   sardinelead_soak --programs=build --seeds=1,2,3 --faults=false
//
// Starts control processes and balancers, each on its own loopback address, and
// simulates targets, callers, routers and operators. Injects faults from
// outside and checks the system's guarantees against what callers, targets and
// operators observe. The seed determines the faults; their effect also depends
// on scheduling. Prints "N passed, N failed" over the seeds at the end and
// keeps the logs of failed seeds.

#include <gflags/gflags.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "clock.h"
#include "plan.h"
#include "sardinelead/http_client.h"

DEFINE_string(programs, "build", "folder of the programs");
DEFINE_string(folder, "/tmp/sardinelead-soak", "for data, settings and logs");
DEFINE_string(seeds, "1", "seeds to run, one after the other");
DEFINE_int32(seconds, 20, "how long faults are drawn");
DEFINE_int32(controls, 4, "control processes");
DEFINE_int32(edges, 5, "balancers");
DEFINE_int32(targets, 10, "targets");
DEFINE_int32(callers, 8, "callers at a time");
DEFINE_int32(network, 77, "addresses are 127.NETWORK.x.x");
DEFINE_bool(faults, true,
            "false leaves only changes of the configuration and evacuations");
DEFINE_uint64(link_kbit_s, 0,
              "rate of each balancer's link to the targets; 0 for no limit");
DEFINE_bool(evacuations, true, "whether data centres are evacuated");
DEFINE_bool(target_pauses, true,
            "whether the processes of targets are paused at times");
DEFINE_double(edge_share, 1,
              "the share of each period in which each balancer runs");
DEFINE_int32(share_period_ms, 100, "the period of --edge_share");
DEFINE_uint64(idle_routes, 0, "routes that the configuration grows to");
DEFINE_uint64(change_interval_ms, 1500,
              "the longest time between two changes of the configuration");

namespace sardinelead::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time allowed for recovery after the last fault.
constexpr Duration kRecovery = seconds(12);
constexpr Duration kCheckTime = seconds(4);
constexpr double kMinServedShare = 0.97;
// Short enough to pause and continue balancers in time.
constexpr Duration kWatchInterval = milliseconds(1);

void RunFor(System* system, Duration span, bool disturb,
            std::mt19937_64* random) {
  const TimePoint end = SteadyNow() + span;
  TimePoint next = SteadyNow() + milliseconds(500);
  while (SteadyNow() < end) {
    system->Watch();
    if (disturb && SteadyNow() >= next) {
      system->InjectFault();
      next = SteadyNow() + milliseconds((*random)() % 2500);
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

// Checks that some control process returns the newest acknowledged version.
void CheckReadBack(SoakState* world) {
  for (int round = 0; round < 20; ++round) {
    for (const std::uint32_t control : world->controls) {
      if (ReadConfig(world, control) >= world->ledger.NewestAccepted()) return;
    }
    std::this_thread::sleep_for(milliseconds(200));
  }
  world->ledger.AddViolation(
      "the newest acknowledged configuration cannot be read");
}

void CheckMetrics(SoakState* world) {
  for (const std::uint32_t edge : world->edges) {
    HttpClientRequest call;
    call.path = "/metrics";
    const auto page =
        SendHttpRequest({IpAddress::FromV4(edge), kMetricsPort}, call);
    const bool is_page =
        page && page->status == 200 &&
        page->body.find("sardinelead_packets_total") != std::string::npos;
    if (!is_page) world->ledger.AddViolation("a balancer serves no metrics");
  }
}

// Without faults and pauses of targets all targets answer at once, so a
// balancer that takes one for lost was misled by its own pauses.
void CheckNoTargetWasLost(const std::string& folder, SoakState* world) {
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    const std::string name = entry.path().filename().string();
    if (name.rfind("edge-", 0) != 0) continue;
    std::ifstream log(entry.path() / "log");
    for (std::string line; std::getline(log, line);) {
      if (line.find("event=target-lost") == std::string::npos) continue;
      std::string what = name;
      what += " took a living target for lost: ";
      what += line;
      world->ledger.AddViolation(what);
    }
  }
}

SoakSettings MakeSettings(std::uint64_t seed) {
  SoakSettings settings;
  settings.seed = seed;
  settings.programs = FLAGS_programs;
  settings.folder = FLAGS_folder + "/seed-" + std::to_string(seed);
  settings.controls = FLAGS_controls;
  settings.edges = FLAGS_edges;
  settings.targets = FLAGS_targets;
  settings.network = FLAGS_network;
  settings.edge_share = FLAGS_edge_share;
  settings.share_period = milliseconds(FLAGS_share_period_ms);
  return settings;
}

// Whether faults or pauses of targets may delay answers.
bool IsDisturbed() { return FLAGS_faults || FLAGS_target_pauses; }

void ApplyFlags(SoakState* world) {
  world->link_bytes_per_second = static_cast<double>(FLAGS_link_kbit_s) * 125;
  if (FLAGS_link_kbit_s > 0 && !IsDisturbed()) {
    world->ledger.RequireAnswersWithin(
        NarrowLink::LongestWait(world->link_bytes_per_second));
  }
  world->do_targets_pause = FLAGS_target_pauses;
  world->config_plan.idle_routes = FLAGS_idle_routes;
  world->config_plan.max_interval = milliseconds(FLAGS_change_interval_ms);
}

void StartActors(SoakState* world, std::uint64_t seed,
                 std::vector<std::thread>* actors) {
  for (int i = 0; i < FLAGS_callers; ++i) {
    const std::uint32_t address = (world->edges.front() & 0xffff0000) + 0x401 +
                                  static_cast<std::uint32_t>(i);
    actors->emplace_back([world, address, i, seed] {
      RunCaller(world, address, seed * 100 + static_cast<std::uint64_t>(i));
    });
  }
  actors->emplace_back([world, seed] { RunOperator(world, seed); });
  if (FLAGS_evacuations) {
    actors->emplace_back([world, seed] { RunEvacuator(world, seed); });
  }
  actors->emplace_back([world, seed] { RunReader(world, seed); });
  actors->emplace_back([world, seed] { RunOddWriter(world, seed); });
}

void CheckServedShare(SoakState* world) {
  const auto [served, failed] = world->ledger.TakeCounts();
  const double share =
      static_cast<double>(served) /
      static_cast<double>(std::max<std::uint64_t>(served + failed, 1));
  if (share < kMinServedShare) {
    world->ledger.AddViolation("only " + std::to_string(served) + " of " +
                               std::to_string(served + failed) +
                               " requests were served after all was healed");
  }
}

bool RunSeed(std::uint64_t seed) {
  const SoakSettings settings = MakeSettings(seed);
  std::filesystem::remove_all(settings.folder);
  std::printf("seed %llu\n", static_cast<unsigned long long>(seed));  // NOLINT
  SoakState world;
  ApplyFlags(&world);
  std::vector<std::thread> actors;
  std::mt19937_64 random(seed + 1);
  {
    System system(settings, &world);
    system.Start();
    if (!SendConfig(&world, 1, seconds(10), &random)) {
      world.ledger.AddViolation("the first configuration was not accepted");
    }
    actors.emplace_back([&world, seed] { RunRouters(&world, seed); });
    RunFor(&system, seconds(2), false, &random);
    StartActors(&world, seed, &actors);
    RunFor(&system, seconds(FLAGS_seconds), FLAGS_faults, &random);
    if (FLAGS_faults) system.KillAllControls();
    system.ClearFaults();
    world.is_healing = true;
    RunFor(&system, kRecovery, false, &random);
    world.ledger.TakeCounts();
    RunFor(&system, kCheckTime, false, &random);
    CheckServedShare(&world);
    if (!IsDisturbed()) CheckNoTargetWasLost(settings.folder, &world);
    system.EndShares();
    CheckReadBack(&world);
    CheckMetrics(&world);
    world.is_over = true;
    for (std::thread& actor : actors) actor.join();
  }
  const bool has_passed = world.ledger.violations().empty();
  std::printf("seed %llu: %s; %s\n",
              static_cast<unsigned long long>(seed),  // NOLINT
              has_passed ? "kept" : "BROKEN", world.ledger.Summary().c_str());
  if (has_passed) std::filesystem::remove_all(settings.folder);
  return has_passed;
}

int Main() {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  int passed = 0;
  int failed = 0;
  std::istringstream seeds(FLAGS_seeds);
  for (std::string seed; std::getline(seeds, seed, ',');) {
    ++(RunSeed(std::stoull(seed)) ? passed : failed);
  }
  std::printf("%d passed, %d failed\n", passed, failed);
  return failed == 0 && passed > 0 ? 0 : 1;
}

}  // namespace
}  // namespace sardinelead::soak

int main(int argc, char** argv) {
  gflags::SetUsageMessage("runs the programs under random faults");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return sardinelead::soak::Main();
}
