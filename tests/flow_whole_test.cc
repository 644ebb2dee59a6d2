// Checks that no flow is broken or misdelivered while balancers, targets and
// configuration change.

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "fake_data_centre.h"
#include "quick.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A simulated data centre after 30 seconds of operation.
struct RunningDataCentre : FakeDataCentre {
  explicit RunningDataCentre(int seed) : FakeDataCentre(WithSeed(seed)) {
    Begin();
    RunFor(seconds(30));
  }
  static FakeSettings WithSeed(int seed) {
    FakeSettings settings;
    settings.seed = static_cast<std::uint64_t>(seed);
    return settings;
  }
};

class FlowWholeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowWholeTest);
  CPPUNIT_TEST(TargetsAreAddedDrainedAndRemoved);
  CPPUNIT_TEST(BalancersLeaveAndRejoin);
  CPPUNIT_TEST(RollingRestartOfAllBalancers);
  CPPUNIT_TEST(ThreeHundredConfigurationChanges);
  CPPUNIT_TEST(OneBalancerKilledAtAnyMoment);
  CPPUNIT_TEST(OneBalancerKilledWhileATargetDrains);
  CPPUNIT_TEST(TwoBalancersKilledAtOnce);
  CPPUNIT_TEST(BalancerKilledRightAfterARepair);
  CPPUNIT_TEST(KilledBalancerRestartsEmpty);
  CPPUNIT_TEST(TargetCrashBreaksOnlyItsOwnFlows);
  CPPUNIT_TEST(IsolatedBalancerNeitherDecidesNorMisdelivers);
  CPPUNIT_TEST(OneWayLinkRemovesOneEndFromTheView);
  CPPUNIT_TEST(ForgottenConnectionsAreResetWithinSeconds);
  CPPUNIT_TEST(MovedAddressNeverReachesTheOldService);
  CPPUNIT_TEST(RandomFaultsOneAfterAnother);
  CPPUNIT_TEST(ChecksFindDeliberateFaults);
  CPPUNIT_TEST_SUITE_END();

 public:
  void TargetsAreAddedDrainedAndRemoved() {
    RunningDataCentre centre(1);
    centre.AddTarget(0);
    centre.SetTargetState(2, TargetState::kDraining);
    centre.RunFor(seconds(10));
    const std::size_t draining = centre.FlowsAt(2);
    centre.RunFor(seconds(310));
    CPPUNIT_ASSERT(draining > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, centre.FlowsAt(2));
    centre.SetTargetState(2, TargetState::kGone);
    centre.RunFor(seconds(20));
    AssertWhole(centre);
  }

  void BalancersLeaveAndRejoin() {
    FakeSettings settings;
    settings.balancers = 10;
    FakeDataCentre centre(settings);
    centre.Begin();
    centre.RunFor(seconds(20));
    centre.Leave(4);
    centre.RunFor(seconds(60));
    CPPUNIT_ASSERT(!centre.IsRunning(4));
    centre.Start(4);
    centre.RunFor(seconds(60));
    CPPUNIT_ASSERT(centre.IsFullyReady());
    AssertWhole(centre);
  }

  void RollingRestartOfAllBalancers() {
    RunningDataCentre centre(1);
    for (std::uint32_t i = 0; i < 9; ++i) {
      centre.Leave(i);
      centre.RunFor(seconds(40));
      CPPUNIT_ASSERT(!centre.IsRunning(i));
      centre.Start(i);
      centre.RunFor(seconds(40));
      CPPUNIT_ASSERT(centre.IsFullyReady());
    }
    AssertWhole(centre);
  }

  void ThreeHundredConfigurationChanges() {
    RunningDataCentre centre(1);
    for (int i = 0; i < 300; ++i) {
      centre.Configure([i](Configuration* configuration) {
        Service service;
        service.id = ServiceId{100 + static_cast<std::uint32_t>(i)};
        service.name = "extra" + std::to_string(i);
        service.workspace = "linaw";
        service.address = *Endpoint::Parse("198.51.100.200:443");
        service.address.port = static_cast<std::uint16_t>(500 + i);
        configuration->services["linaw/" + service.name] = service;
        configuration->next_service_id = service.id.value + 1;
        configuration->services.erase("linaw/extra" + std::to_string(i - 3));
      });
      if (i % 30 == 0) centre.AddTarget(0);
      centre.RunFor(milliseconds(400));
    }
    AssertWhole(centre);
  }

  void OneBalancerKilledAtAnyMoment() {
    for (int i = 0; i < CaseCount(12); ++i) {
      RunningDataCentre centre(10 + i);
      centre.RunFor(milliseconds(137 * i));
      centre.Kill(static_cast<std::uint32_t>(i) % 9);
      centre.RunFor(seconds(60));
      CPPUNIT_ASSERT(centre.IsFullyReady());
      AssertWhole(centre);
    }
  }

  void OneBalancerKilledWhileATargetDrains() {
    for (int i = 0; i < CaseCount(6); ++i) {
      RunningDataCentre centre(40 + i);
      centre.SetTargetState(1, TargetState::kDraining);
      centre.RunFor(milliseconds(500 * i));
      centre.Kill(static_cast<std::uint32_t>(i) % 9);
      centre.RunFor(seconds(60));
      AssertWhole(centre);
    }
  }

  void TwoBalancersKilledAtOnce() {
    for (int i = 0; i < CaseCount(12); ++i) {
      RunningDataCentre centre(60 + i);
      centre.Kill(static_cast<std::uint32_t>(i) % 9);
      centre.Kill(static_cast<std::uint32_t>(i + 1 + i / 9) % 9);
      centre.RunFor(seconds(60));
      CPPUNIT_ASSERT(centre.IsFullyReady());
      AssertWhole(centre);
    }
  }

  void BalancerKilledRightAfterARepair() {
    for (int i = 0; i < CaseCount(4); ++i) {
      RunningDataCentre centre(90 + i);
      for (std::uint32_t k = 0; k < 4; ++k) {
        centre.Kill((k * 2 + static_cast<std::uint32_t>(i)) % 9);
        // Kills the next balancer once all records lost with the previous one
        // are replicated again.
        for (int t = 0; t < 600 && !centre.IsFullyReady(); ++t) {
          centre.RunFor(milliseconds(100));
        }
        CPPUNIT_ASSERT(centre.IsFullyReady());
      }
      centre.RunFor(seconds(60));
      AssertWhole(centre);
    }
  }

  void KilledBalancerRestartsEmpty() {
    for (int i = 0; i < CaseCount(6); ++i) {
      RunningDataCentre centre(110 + i);
      centre.Kill(5);
      centre.RunFor(milliseconds(100 + 400 * i));
      centre.Start(5);
      centre.RunFor(seconds(60));
      CPPUNIT_ASSERT(centre.IsFullyReady());
      AssertWhole(centre);
    }
  }

  void TargetCrashBreaksOnlyItsOwnFlows() {
    RunningDataCentre centre(1);
    const std::size_t flows = centre.FlowsAt(3);
    centre.Crash(3);
    centre.RunFor(seconds(60));
    const FakeReport report = centre.Report();
    AssertWhole(centre);
    CPPUNIT_ASSERT(report.crashed >= flows / 2 && flows > 0);
    CPPUNIT_ASSERT_MESSAGE(report.ToString(), report.slowest_reset_s <= 3.0);
  }

  void IsolatedBalancerNeitherDecidesNorMisdelivers() {
    RunningDataCentre centre(1);
    for (int i = 0; i < 5; ++i) {
      centre.is_cut = [](std::uint32_t from, std::uint32_t to) {
        return from == 2 || to == 2;
      };
      centre.RunFor(milliseconds(1700 + 900 * i));
      CPPUNIT_ASSERT(!centre.ViewOf(2).MayDecide(centre.now()));
      centre.is_cut = nullptr;
      centre.RunFor(seconds(10));
    }
    centre.RunFor(seconds(90));
    CPPUNIT_ASSERT(centre.IsFullyReady());
    AssertWhole(centre);
  }

  void OneWayLinkRemovesOneEndFromTheView() {
    RunningDataCentre centre(1);
    centre.is_cut = [](std::uint32_t from, std::uint32_t to) {
      return from == 2 && to == 6;
    };
    centre.RunFor(seconds(10));
    CPPUNIT_ASSERT(centre.ViewOf(0).MayDecide(centre.now()));
    CPPUNIT_ASSERT(centre.ViewOf(0).Find(NodeId{7}) == nullptr);
    CPPUNIT_ASSERT(centre.ViewOf(0).Find(NodeId{3}) != nullptr);
    centre.is_cut = nullptr;
    centre.RunFor(seconds(60));
    CPPUNIT_ASSERT(centre.IsFullyReady());
    AssertWhole(centre);
  }

  void ForgottenConnectionsAreResetWithinSeconds() {
    RunningDataCentre centre(1);
    centre.ForgetConnections(4);
    centre.RunFor(seconds(60));
    const FakeReport report = centre.Report();
    AssertWhole(centre);
    CPPUNIT_ASSERT(report.crashed > 0);
    CPPUNIT_ASSERT_MESSAGE(report.ToString(), report.slowest_reset_s <= 20);
  }

  void MovedAddressNeverReachesTheOldService() {
    const FakeReport report = MoveAddress(FakeFault::kNone);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.ToString(), std::uint64_t{0},
                                 report.Violations());
    CPPUNIT_ASSERT(report.drops.count("wrong-service") > 0);
  }

  // Faults that cost a replica (a kill, a leave request, a one-way link) wait
  // until the previous loss is repaired. All other events occur at any time.
  void RandomFaultsOneAfterAnother() {
    for (int i = 0; i < CaseCount(10); ++i) {
      RunningDataCentre centre(200 + i);
      std::mt19937 random(static_cast<unsigned>(i));
      for (int step = 0; step < 40; ++step) {
        const std::uint32_t one = random() % 9;
        const std::uint32_t other = random() % 9;
        const bool may_lose = centre.IsRunning(one) && centre.IsFullyReady();
        const std::uint32_t action = random() % 6;
        if (!centre.IsRunning(one)) centre.Start(one);
        if (action == 0 && may_lose) centre.Kill(one);
        if (action == 1 && may_lose) centre.Leave(one);
        if (action == 2 && may_lose) {
          centre.is_cut = [one, other](std::uint32_t from, std::uint32_t to) {
            return from == one && to == other;
          };
        }
        if (action == 3) centre.Configure([](Configuration*) {});
        if (action == 4) centre.AddTarget(random() % 2);
        centre.RunFor(milliseconds(random() % 4000));
        centre.is_cut = nullptr;
      }
      for (std::uint32_t b = 0; b < 9; ++b) {
        if (!centre.IsRunning(b)) centre.Start(b);
      }
      centre.RunFor(seconds(180));
      CPPUNIT_ASSERT(centre.IsFullyReady());
      AssertWhole(centre);
    }
  }

  void ChecksFindDeliberateFaults() {
    const FakeReport move = MoveAddress(FakeFault::kNoServiceCheck);
    CPPUNIT_ASSERT_MESSAGE(move.ToString(), move.misdelivered > 0);
    const auto failures_after_two_kills = [](FakeFault fault) {
      FakeSettings settings;
      settings.fault = fault;
      FakeDataCentre centre(settings);
      centre.Begin();
      centre.RunFor(seconds(20));
      centre.Kill(1);
      centre.Kill(2);
      centre.RunFor(seconds(40));
      const FakeReport report = centre.Report();
      return report.Violations() + report.broken;
    };
    CPPUNIT_ASSERT(failures_after_two_kills(FakeFault::kNone) == 0);
    CPPUNIT_ASSERT(failures_after_two_kills(FakeFault::kComputeTarget) > 0);
    CPPUNIT_ASSERT(failures_after_two_kills(FakeFault::kSkipStore) > 0);
  }

 private:
  // Reassigns the address of "orders" to "gallery1" while flows are open.
  static FakeReport MoveAddress(FakeFault fault) {
    FakeSettings settings;
    settings.fault = fault;
    settings.key_reuse = 1.0;
    settings.flow_duration = seconds(15);
    FakeDataCentre centre(settings);
    centre.Begin();
    centre.RunFor(seconds(30));
    centre.Configure([](Configuration* configuration) {
      const Endpoint address = configuration->services["linaw/orders"].address;
      configuration->services["linaw/orders"].address.port = 444;
      configuration->services["linaw/gallery1"].address = address;
    });
    centre.RunFor(seconds(40));
    return centre.Report();
  }

  static void AssertWhole(const FakeDataCentre& centre) {
    const FakeReport report = centre.Report();
    CPPUNIT_ASSERT_MESSAGE(report.ToString(), report.opened > 0);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.ToString(), std::uint64_t{0},
                                 report.broken);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(report.ToString(), std::uint64_t{0},
                                 report.Violations());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowWholeTest);

}  // namespace
}  // namespace sardinelead
