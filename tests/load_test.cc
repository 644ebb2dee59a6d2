#include "sardinelead/load.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "../bench/balance_world.h"

namespace sardinelead {
namespace {

using std::chrono::seconds;

constexpr std::uint32_t kSlots = 3;

TimePoint At(int second) {
  return TimePoint(std::chrono::hours(1)) + seconds(second);
}

// Candidates with equal numbers of open flows, and a driver that selects
// targets for new flows.
struct CandidatePool {
  explicit CandidatePool(std::size_t count, std::uint64_t open = 100)
      : loads(count, TargetLoad(kSlots)), candidates(count) {
    for (std::size_t i = 0; i < count; ++i) {
      loads[i].SetOpen(open);
      for (int n = 0; n < 64; ++n) loads[i].OnEstablished();
      candidates[i].load = &loads[i];
    }
  }

  std::size_t Pick() {
    context.pick_number += 1;
    context.random = random();
    context.now += std::chrono::milliseconds(1);
    const std::size_t index = Choose(candidates, context);
    candidates[index].last_pick = context.pick_number;
    candidates[index].last_pick_at = context.now;
    loads[index].OnOpened();
    return index;
  }
  std::vector<int> PickMany(int count) {
    std::vector<int> picks(loads.size(), 0);
    for (int i = 0; i < count; ++i) ++picks[Pick()];
    return picks;
  }

  std::vector<TargetLoad> loads;
  std::vector<Candidate> candidates;
  ChoiceContext context{0, 0, 9, At(0), true};
  std::mt19937_64 random{1};
};

class LoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(BalancesLocallyOpenedFlows);
  CPPUNIT_TEST(EmptyTargetIsRateLimited);
  CPPUNIT_TEST(ColdTargetIsLimitedUntilFlowsAreEstablished);
  CPPUNIT_TEST(ImplausibleReportsLoseTrust);
  CPPUNIT_TEST(UnchangingReportsLoseTrust);
  CPPUNIT_TEST(ReportAdjustmentIsBounded);
  CPPUNIT_TEST(SheddingReducesShareAndRecoversGradually);
  CPPUNIT_TEST(FailingSheddingTargetReceivesAlmostNoFlows);
  CPPUNIT_TEST(BalancesThousandsOfTargets);
  CPPUNIT_TEST(ConnectionsStayBalancedAcrossChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BalancesLocallyOpenedFlows() {
    CandidatePool pool(14, 0);
    pool.loads[3].SetOpen(50);
    pool.PickMany(14 * 100);
    for (const TargetLoad& load : pool.loads) {
      CPPUNIT_ASSERT(load.open() >= 102 && load.open() <= 105);
    }
  }

  void EmptyTargetIsRateLimited() {
    CandidatePool pool(14);
    pool.loads[0].SetOpen(0);
    // The target gets at most three times its fair share of 280 / 14 = 20
    // flows.
    const std::vector<int> picks = pool.PickMany(280);
    CPPUNIT_ASSERT(picks[0] >= 50 && picks[0] <= 62);
  }

  void ColdTargetIsLimitedUntilFlowsAreEstablished() {
    CandidatePool pool(4);
    pool.loads[0] = TargetLoad(kSlots);
    pool.candidates[0].in_ramp = true;
    pool.candidates[0].weight = 0.5;
    // None of its flows is established.
    CPPUNIT_ASSERT_EQUAL(16, pool.PickMany(200)[0]);
    for (int i = 0; i < 16; ++i) pool.loads[0].OnEstablished();
    CPPUNIT_ASSERT(pool.PickMany(200)[0] > 40);
  }

  void ImplausibleReportsLoseTrust() {
    const std::vector<LoadReport> implausible = {
        {-1, 200, false},
        {1, -5, false},
        {kSlots + 1, 200, false},
        {1, 10, false}};  // Fewer connections than open here.
    for (const LoadReport& report : implausible) {
      TargetLoad load(kSlots);
      load.SetOpen(200);
      load.OnReport({1, 300, false}, At(1));
      CPPUNIT_ASSERT_EQUAL(1.0, load.Trust());
      load.OnReport(report, At(3));
      CPPUNIT_ASSERT_EQUAL(0.0, load.Trust());
      load.OnReport({1, 300, false}, At(5));
      CPPUNIT_ASSERT(load.Trust() > 0 && load.Trust() < 0.2);
    }
  }

  void UnchangingReportsLoseTrust() {
    TargetLoad load(kSlots);
    load.SetOpen(100);
    for (int i = 0; i < 5; ++i) {
      load.OnReport({1, 900, false}, At(2 * i));
      for (int n = 0; n < 20; ++n) load.OnOpened();
    }
    CPPUNIT_ASSERT(load.Trust() < 0.1);
    // A late report with an older timestamp is ignored.
    const double trust = load.Trust();
    load.OnReport({1, 950, false}, At(1));
    CPPUNIT_ASSERT_EQUAL(trust, load.Trust());
  }

  void ReportAdjustmentIsBounded() {
    CandidatePool pool(10, 200);
    for (std::size_t i = 0; i < 10; ++i) {
      const std::int64_t reported = i == 0 ? 300 : 1800;
      pool.loads[i].OnReport({0, reported, false}, At(1));
    }
    pool.PickMany(400);
    double sum = 0;
    for (const TargetLoad& load : pool.loads) sum += load.open();
    const double ratio = static_cast<double>(pool.loads[0].open()) / sum * 10;
    CPPUNIT_ASSERT_MESSAGE(std::to_string(ratio), ratio > 1.02);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(ratio),
                           ratio <= 1 + kMaxReportAdjustment + 0.02);
  }

  void SheddingReducesShareAndRecoversGradually() {
    CandidatePool pool(10);
    TargetLoad& load = pool.loads[0];
    load.OnReport({kSlots, 900, true}, At(2));
    const double shed = load.ShedFactor(100);
    CPPUNIT_ASSERT_EQUAL(kHealthyMinShedFactor, shed);
    const std::vector<int> picks = pool.PickMany(1000);
    CPPUNIT_ASSERT(picks[0] <= 100 * (kHealthyMinShedFactor + 0.03));
    double before = 0;
    for (int i = 0; i < 10; ++i) {
      load.OnReport({1, 900 + i, false}, At(4 + 2 * i));
      CPPUNIT_ASSERT(load.ShedFactor(100) >= before);
      CPPUNIT_ASSERT(load.ShedFactor(100) - before <= 0.11 || before == 0);
      before = load.ShedFactor(100);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, load.ShedFactor(100));
    CPPUNIT_ASSERT(!load.IsShedding());
  }

  // The target resets its flows, so its count of open flows stays low.
  void FailingSheddingTargetReceivesAlmostNoFlows() {
    CandidatePool pool(10);
    TargetLoad& load = pool.loads[0];
    for (int i = 0; i < 5; ++i) {
      load.OnReport({kSlots, 900 + i, true}, At(2 * i + 1));
    }
    int taken = 0;
    for (int i = 0; i < 5000; ++i) {
      const std::size_t index = pool.Pick();
      if (index != 0) {
        pool.loads[index].OnEstablished();
        continue;
      }
      ++taken;
      pool.loads[0].OnClosed();
    }
    // A fair share would be 500.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(taken), taken < 100);
  }

  void BalancesThousandsOfTargets() {
    CandidatePool pool(3000, 0);
    pool.PickMany(30000);
    std::uint64_t greatest = 0;
    for (const TargetLoad& load : pool.loads) {
      greatest = std::max(greatest, load.open());
    }
    CPPUNIT_ASSERT(greatest <= 12);  // The mean is 10.
  }

  // Runs the real policy on independent balancers, at the size of one service.
  void ConnectionsStayBalancedAcrossChanges() {
    bench::SimulationSettings settings;
    settings.flows_per_host = 500;
    settings.flow_life_s = 20;
    bench::BalanceSimulation world(settings,
                                   bench::ProductionPolicy(settings, true));
    world.Fill();
    world.Run(10, [] {});
    const auto check = [&world](double bound) {
      world.Run(10, [&] {
        const double imbalance = world.ConnectionImbalance();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(imbalance), imbalance <= bound);
      });
    };
    check(1.10);
    const std::vector<std::function<void()>> changes = {
        [&] { world.Join(); },
        [&] { world.Drain(1); },
        [&] { world.HalveSpeed(2); },
        [&] { world.Crash(3); },
        [&] { world.SetFalseReport(4, bench::FalseReport::kIdle); },
        [&] { world.RestartBalancer(0); }};
    for (const auto& change : changes) {
      change();
      world.Run(10, [] {});
      check(1.25);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

}  // namespace
}  // namespace sardinelead
