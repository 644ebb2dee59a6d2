#include "sardinelead/target_policy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <thread>

#include "../bench/balance_net.h"

namespace sardinelead {
namespace {

constexpr std::uint32_t kTargets = 4;

FlowKey KeyOf(std::uint32_t number) {
  FlowKey key;
  key.caller = Endpoint{IpAddress::FromV4(0x0a010000 + number), 1000};
  return key;
}

// The target policy of one balancer with a published target snapshot.
struct PolicyFixture {
  explicit PolicyFixture(TargetPolicySettings settings = {})
      : policy(settings, &board, &admission, &metrics) {
    board.configuration.Publish(
        std::make_shared<Configuration>(MakeConfiguration({service})));
    Publish(kTargets, TargetState::kActive);
  }

  void Publish(std::uint32_t count, TargetState first_state) {
    std::vector<Target> targets(count);
    for (std::uint32_t i = 0; i < count; ++i) {
      targets[i].id = TargetId{i + 1};
      targets[i].service = service.id;
      targets[i].slots = 3;
    }
    if (count > 0) targets[0].state = first_state;
    board.targets.Publish(std::make_shared<TargetSnapshot>(targets));
  }
  TargetId Open(std::uint32_t number) {
    const TargetId id = *policy.Pick(KeyOf(number), service, now);
    ReportEvent(FlowEventKind::kOpened, id);
    ReportEvent(FlowEventKind::kEstablished, id);
    return id;
  }
  void ReportEvent(FlowEventKind kind, TargetId target) {
    FlowEvent event;
    event.kind = kind;
    event.service = service.id;
    event.target = target;
    policy.Observe(event);
  }

  Service service = MakeService(1, "linaw", "orders");
  TimePoint now{std::chrono::hours(1)};
  Blackboard board;
  Metrics metrics;
  Admission admission{AdmissionSettings{}, &board, &metrics};
  TargetPolicy policy;
};

class TargetPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetPolicyTest);
  CPPUNIT_TEST(PicksOnlyActiveTargets);
  CPPUNIT_TEST(RetriesOnAnotherTargetWithinBudget);
  CPPUNIT_TEST(UsesAllTargetsWhenAllWeightsAreZero);
  CPPUNIT_TEST(RefusesFlowsWhileAllTargetsShed);
  CPPUNIT_TEST(RecountCorrectsDriftOnly);
  CPPUNIT_TEST(PublishesHistogramsByService);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PicksOnlyActiveTargets() {
    PolicyFixture fixture;
    for (const TargetState state :
         {TargetState::kDraining, TargetState::kDead, TargetState::kGone}) {
      fixture.Publish(kTargets, state);
      for (std::uint32_t i = 0; i < 100; ++i) {
        CPPUNIT_ASSERT(fixture.Open(i) != TargetId{1});
      }
    }
    fixture.Publish(1, TargetState::kDraining);
    CPPUNIT_ASSERT(
        fixture.policy.Pick(KeyOf(1), fixture.service, fixture.now).error() ==
        RefuseReason::kNoTarget);
    fixture.Publish(0, TargetState::kActive);
    CPPUNIT_ASSERT(
        fixture.policy.Pick(KeyOf(1), fixture.service, fixture.now).error() ==
        RefuseReason::kNoTarget);
  }

  void RetriesOnAnotherTargetWithinBudget() {
    TargetPolicySettings settings;
    settings.retry_burst = 10;
    settings.retry_fraction = 0.1;
    PolicyFixture fixture(settings);
    const auto retry = [&fixture](std::uint32_t i) {
      return fixture.policy.PickAnother(KeyOf(i), fixture.service, TargetId{2},
                                        fixture.now);
    };
    int retried = 0;
    for (std::uint32_t i = 0; i < 50; ++i) {
      const auto other = retry(i);
      if (!other) {
        CPPUNIT_ASSERT(other.error() == RefuseReason::kOverloaded);
        continue;
      }
      CPPUNIT_ASSERT(*other != TargetId{2});
      ++retried;
    }
    // Every pick earns 0.1 retry, including the retries themselves.
    CPPUNIT_ASSERT(retried >= 10 && retried <= 12);
    for (std::uint32_t i = 0; i < 20; ++i) fixture.Open(i);
    CPPUNIT_ASSERT(retry(1).has_value());
    // The only remaining target is the one that failed.
    fixture.Publish(2, TargetState::kDead);
    CPPUNIT_ASSERT(retry(2).error() == RefuseReason::kNoTarget);
  }

  void UsesAllTargetsWhenAllWeightsAreZero() {
    PolicyFixture fixture;
    std::vector<Target> targets(2);
    for (std::uint32_t i = 0; i < 2; ++i) {
      targets[i].id = TargetId{i + 1};
      targets[i].service = fixture.service.id;
      targets[i].weight = 0;
    }
    fixture.board.targets.Publish(std::make_shared<TargetSnapshot>(targets));
    std::map<TargetId, int> picks;
    for (std::uint32_t i = 0; i < 100; ++i) ++picks[fixture.Open(i)];
    CPPUNIT_ASSERT_EQUAL(50, picks[TargetId{1}]);
  }

  void RefusesFlowsWhileAllTargetsShed() {
    PolicyFixture fixture;
    std::uint32_t number = 0;
    int refused = 0;
    const auto run_second = [&](bool shedding) {
      refused = 0;
      for (int i = 0; i < 200; ++i) {
        fixture.now += std::chrono::milliseconds(5);
        const auto picked =
            fixture.policy.Pick(KeyOf(++number), fixture.service, fixture.now);
        if (picked) continue;
        CPPUNIT_ASSERT(picked.error() == RefuseReason::kOverloaded);
        ++refused;
      }
      for (std::uint64_t id = 1; id <= kTargets; ++id) {
        fixture.policy.OnLoad(fixture.service.id, TargetId{id},
                              LoadReport{3, number, shedding}, fixture.now);
      }
      fixture.policy.OnTick(fixture.now);
    };
    for (int i = 0; i < 3; ++i) run_second(false);
    CPPUNIT_ASSERT_EQUAL(0, refused);
    for (int i = 0; i < 5; ++i) run_second(true);
    CPPUNIT_ASSERT(refused > 50);
    for (int i = 0; i < 40; ++i) run_second(false);
    CPPUNIT_ASSERT_EQUAL(0, refused);
  }

  void RecountCorrectsDriftOnly() {
    PolicyFixture fixture;
    for (std::uint32_t i = 0; i < 400; ++i) fixture.Open(i);
    // The flow table reports 95 flows for target 1, which is within the
    // tolerance of about 100, and none for target 2.
    for (int i = 0; i < 24; ++i) {
      fixture.policy.Recount(
          {}, {{TargetId{1}, 95}, {TargetId{3}, 100}, {TargetId{4}, 100}});
    }
    std::map<TargetId, int> picks;
    for (std::uint32_t i = 0; i < 40; ++i) ++picks[fixture.Open(i)];
    CPPUNIT_ASSERT(picks[TargetId{2}] > picks[TargetId{1}]);
    CPPUNIT_ASSERT(picks[TargetId{2}] >= 25);
  }

  void PublishesHistogramsByService() {
    PolicyFixture fixture;
    for (std::uint32_t i = 0; i < 10; ++i) fixture.Open(i);
    fixture.policy.OnLoad(fixture.service.id, TargetId{1},
                          LoadReport{1, 3, false}, fixture.now);
    fixture.policy.OnTick(fixture.now + std::chrono::seconds(2));
    const std::string text = fixture.metrics.PrometheusText();
    const std::string labels = "{workspace=\"linaw\",service=\"linaw/orders\"}";
    for (const char* line :
         {"sardinelead_pick_open_flows_count", "sardinelead_new_flows_total"}) {
      CPPUNIT_ASSERT(text.find(line + labels + " 10\n") != std::string::npos);
    }
    for (const char* line : {"sardinelead_imbalance_ratio_count",
                             "sardinelead_report_age_seconds_count",
                             "sardinelead_busy_fraction_count"}) {
      CPPUNIT_ASSERT(text.find(line + labels + " 1\n") != std::string::npos);
    }
  }
};

class ConcurrentTargetPolicyTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConcurrentTargetPolicyTest);
  CPPUNIT_TEST(PicksDuringConcurrentUpdates);
  CPPUNIT_TEST_SUITE_END();

 public:
  void PicksDuringConcurrentUpdates() {
    PolicyFixture fixture;
    fixture.service.limits.packets_per_second = 1000000;
    const Configuration limited = MakeConfiguration({fixture.service});
    constexpr int kThreads = 4;
    constexpr std::uint32_t kFlows = 3000;
    std::atomic<int> wrong{0};
    std::atomic<int> running{kThreads};
    std::vector<std::thread> threads;
    threads.reserve(kThreads);
    for (std::uint32_t t = 0; t < kThreads; ++t) {
      threads.emplace_back([&fixture, &wrong, &running, t] {
        for (std::uint32_t i = 0; i < kFlows; ++i) {
          const FlowKey key = KeyOf(t * kFlows + i);
          fixture.admission.AllowPacket(fixture.service, key.caller.address,
                                        fixture.now);
          const auto id =
              fixture.policy.Pick(key, fixture.service, fixture.now);
          if (!id || id->value < 1 || id->value > kTargets) ++wrong;
          if (!id) continue;
          fixture.ReportEvent(FlowEventKind::kOpened, *id);
          if (i % 2 == 0) fixture.ReportEvent(FlowEventKind::kClosed, *id);
        }
        --running;
      });
    }
    for (std::int64_t i = 0; running > 0; ++i) {
      fixture.Publish(
          kTargets, i % 2 == 0 ? TargetState::kDraining : TargetState::kActive);
      fixture.board.configuration.Publish(
          std::make_shared<Configuration>(limited));
      fixture.board.view.Publish(std::make_shared<View>(MakeView(1, 3)));
      fixture.policy.OnLoad(fixture.service.id, TargetId{2},
                            LoadReport{1, i, false},
                            fixture.now + std::chrono::seconds(i));
      fixture.policy.TakeFlowOutcomes();
      fixture.policy.OnTick(fixture.now);
    }
    for (std::thread& thread : threads) thread.join();
    CPPUNIT_ASSERT_EQUAL(0, wrong.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetPolicyTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrentTargetPolicyTest);

}  // namespace
}  // namespace sardinelead
