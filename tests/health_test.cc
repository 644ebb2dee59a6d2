#include "sardinelead/health.h"

#include <cppunit/extensions/HelperMacros.h>

#include "../bench/balance_net.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kBalancers = 9;
constexpr std::uint32_t kTargets = 6;
constexpr int kFlowsPerStep = 5;  // Per balancer, every 100 ms.

// Six targets of one service with a constant rate of new flows.
struct Simulation {
  explicit Simulation(std::uint64_t seed)
      : net(kBalancers, MakeConfiguration({service}), seed),
        flows(&net, service, seed) {
    for (std::uint32_t i = 1; i <= kTargets; ++i) {
      targets.push_back(net.Add(i, MakeAnnouncement(i)));
    }
    net.on_step = [this] { flows.Open(kFlowsPerStep); };
    net.Run(seconds(12));
  }

  // Runs for `duration` and returns the number of new flows that `target`
  // received.
  std::uint64_t FlowsOpenedDuring(TargetId target, Duration duration) {
    const std::uint64_t before = flows.OpenedOn(target);
    net.Run(duration);
    return flows.OpenedOn(target) - before;
  }
  void MakeUnreachable(TargetId target) {
    net.SetReachable(target, false);
    flows.answers = [target](TargetId id) { return id != target; };
  }

  Service service = MakeService(1, "linaw", "orders");
  TargetNet net;
  FlowDriver flows;
  std::vector<TargetId> targets;
};

class HealthTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HealthTest);
  CPPUNIT_TEST(DeadTargetReceivesAtMostTwoSecondsOfFlows);
  CPPUNIT_TEST(OneFailingObserverDoesNotMarkTargetDead);
  CPPUNIT_TEST(SmallGroupsMarkTargetDead);
  CPPUNIT_TEST(UnansweredFlowsOverrideSuccessfulChecks);
  CPPUNIT_TEST(TargetResettingFlowsIsAvoided);
  CPPUNIT_TEST(ServesWhenAllChecksFail);
  CPPUNIT_TEST(ServesWhenAllFlowsFail);
  CPPUNIT_TEST(FlappingIsDamped);
  CPPUNIT_TEST(RecoveredTargetReceivesFlows);
  CPPUNIT_TEST(PartitionSidesReachIndependentVerdicts);
  CPPUNIT_TEST(EachTargetHasTwoProbers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void DeadTargetReceivesAtMostTwoSecondsOfFlows() {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      Simulation simulation(seed);
      const TargetId target = simulation.targets[2];
      // Flows that the target receives in two seconds while it is healthy.
      const std::uint64_t normal_flows =
          simulation.FlowsOpenedDuring(target, seconds(2));
      simulation.net.Run(milliseconds(100 * seed));
      simulation.MakeUnreachable(target);
      const std::uint64_t lost_flows =
          simulation.FlowsOpenedDuring(target, seconds(60));
      CPPUNIT_ASSERT(normal_flows > 100);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(lost_flows),
                             lost_flows <= normal_flows);
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{kBalancers},
          simulation.net.CountState(target, TargetState::kDead));
    }
  }

  void OneFailingObserverDoesNotMarkTargetDead() {
    Simulation simulation(1);
    simulation.net.on_check = [](std::uint32_t node, TargetId) {
      return node != 3;
    };
    simulation.net.Run(seconds(30));
    for (const TargetId target : simulation.targets) {
      CPPUNIT_ASSERT_EQUAL(
          std::size_t{kBalancers},
          simulation.net.CountState(target, TargetState::kActive));
      CPPUNIT_ASSERT(simulation.FlowsOpenedDuring(target, seconds(1)) > 50);
    }
  }

  void SmallGroupsMarkTargetDead() {
    for (const std::uint32_t balancers : {1, 2}) {
      TargetNet net(balancers,
                    MakeConfiguration({MakeService(1, "linaw", "orders")}), 1);
      std::vector<TargetId> targets;
      for (std::uint32_t i = 1; i <= 3; ++i) {
        targets.push_back(net.Add(1, MakeAnnouncement(i)));
      }
      net.Run(seconds(5));
      net.SetReachable(targets[0], false);
      net.Run(seconds(3));
      CPPUNIT_ASSERT_EQUAL(std::size_t{balancers},
                           net.CountState(targets[0], TargetState::kDead));
      CPPUNIT_ASSERT_EQUAL(std::size_t{balancers},
                           net.CountState(targets[1], TargetState::kActive));
    }
  }

  // The checks succeed but new flows stay unanswered: the target receives only
  // a few trial flows, and its existing flows continue.
  void UnansweredFlowsOverrideSuccessfulChecks() {
    Simulation simulation(1);
    const TargetId target = simulation.targets[0];
    simulation.flows.answers = [target](TargetId id) { return id != target; };
    const std::uint64_t normal_flows =
        simulation.FlowsOpenedDuring(simulation.targets[1], seconds(2));
    simulation.net.Run(seconds(2));
    const std::uint64_t later =
        simulation.FlowsOpenedDuring(target, seconds(120));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(later), later <= normal_flows);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         simulation.net.CountState(target, TargetState::kDead));
  }

  // The target resets new flows, so callers do not retransmit the first packet;
  // the flows are just never established.
  void TargetResettingFlowsIsAvoided() {
    Simulation simulation(1);
    const TargetId target = simulation.targets[0];
    simulation.flows.answers = [target](TargetId id) { return id != target; };
    simulation.flows.repeats = false;
    simulation.net.Run(seconds(6));
    const std::uint64_t later =
        simulation.FlowsOpenedDuring(target, seconds(10));
    const std::uint64_t others =
        simulation.FlowsOpenedDuring(simulation.targets[1], seconds(10));
    CPPUNIT_ASSERT_MESSAGE(std::to_string(later), later * 10 <= others);
  }

  void ServesWhenAllChecksFail() {
    Simulation simulation(1);
    simulation.net.on_check = [](std::uint32_t, TargetId) { return false; };
    const std::uint64_t refused = simulation.flows.refused();
    simulation.net.Run(seconds(60));
    CPPUNIT_ASSERT_EQUAL(refused, simulation.flows.refused());
    for (const TargetId target : simulation.targets) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, simulation.net.CountState(
                                               target, TargetState::kDead));
      CPPUNIT_ASSERT(simulation.FlowsOpenedDuring(target, seconds(1)) > 50);
    }
  }

  void ServesWhenAllFlowsFail() {
    Simulation simulation(1);
    simulation.flows.answers = [](TargetId) { return false; };
    const std::uint64_t refused = simulation.flows.refused();
    simulation.net.Run(seconds(30));
    CPPUNIT_ASSERT_EQUAL(refused, simulation.flows.refused());
  }

  void FlappingIsDamped() {
    Simulation simulation(1);
    const TargetId target = simulation.targets[0];
    simulation.net.on_step = nullptr;
    int changes = 0;
    bool was_dead = false;
    for (int i = 0; i < 200; ++i) {
      simulation.net.SetReachable(target, i % 2 == 1);
      simulation.net.Run(seconds(3));
      const bool dead = simulation.net.CountState(target, TargetState::kDead) >
                        kBalancers / 2;
      if (dead != was_dead) ++changes;
      was_dead = dead;
    }
    // Without damping the state would change 200 times in these ten minutes.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(changes), changes <= 20);
  }

  void RecoveredTargetReceivesFlows() {
    Simulation simulation(1);
    const TargetId target = simulation.targets[0];
    simulation.MakeUnreachable(target);
    simulation.net.Run(seconds(20));
    simulation.net.SetReachable(target, true);
    simulation.flows.answers = [](TargetId) { return true; };
    simulation.net.Run(seconds(40));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{kBalancers},
        simulation.net.CountState(target, TargetState::kActive));
    CPPUNIT_ASSERT(simulation.FlowsOpenedDuring(target, seconds(2)) > 50);
  }

  void PartitionSidesReachIndependentVerdicts() {
    Simulation simulation(1);
    simulation.net.on_step = nullptr;
    const TargetId target = simulation.targets[0];
    constexpr std::uint32_t kLeftSide = 4;
    const auto is_left = [](std::uint32_t id) { return id <= kLeftSide; };
    for (auto& [id, node] : simulation.net.nodes()) {
      std::vector<Member> members = node->board.view.Read()->members();
      for (Member& member : members) {
        const bool same = is_left(member.id.value) == is_left(id);
        if (!same) member.state = MemberState::kDead;
        if (same) continue;
        simulation.net.CutLink(id, member.id.value);
      }
      node->board.view.Publish(
          std::make_shared<View>(NodeId{id}, members, true));
    }
    simulation.net.on_check = [&](std::uint32_t node, TargetId id) {
      return id != target || is_left(node);
    };
    simulation.net.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(
        std::size_t{kLeftSide},
        simulation.net.CountState(target, TargetState::kActive));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kBalancers - kLeftSide},
                         simulation.net.CountState(target, TargetState::kDead));
  }

  void EachTargetHasTwoProbers() {
    Simulation simulation(1);
    simulation.net.on_step = nullptr;
    std::map<TargetId, int> checks;
    std::map<TargetId, std::set<std::uint32_t>> checkers;
    simulation.net.on_check = [&](std::uint32_t node, TargetId id) {
      ++checks[id];
      checkers[id].insert(node);
      return true;
    };
    constexpr int kSeconds = 20;
    simulation.net.Run(seconds(kSeconds));
    for (const TargetId target : simulation.targets) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{2}, checkers[target].size());
      CPPUNIT_ASSERT(checks[target] <= 2 * kSeconds + 2);
      CPPUNIT_ASSERT(checks[target] >= 2 * kSeconds - 4);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HealthTest);

}  // namespace
}  // namespace sardinelead
