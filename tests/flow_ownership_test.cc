// Which target gets the packets of an open flow, and who resets it, in the
// world of flow_world.h.

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

#include "flow_world.h"
#include "quick.h"

namespace sardinelead {
namespace {

using flow_world::FlowWorld;
using flow_world::Scenario;
using std::chrono::milliseconds;

class FlowOwnershipTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowOwnershipTest);
  CPPUNIT_TEST(LateTargetsLoseNoOpenFlow);
  CPPUNIT_TEST(DistantCallersLoseNoOpenFlow);
  CPPUNIT_TEST(LostPacketsLoseNoOpenFlow);
  CPPUNIT_TEST(PausedTargetsLoseNoOpenFlow);
  CPPUNIT_TEST(LateKnowledgeLosesNoOpenFlow);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against open flows that a second target resets, because it got the
  // opening packet too and answered it later than the first.
  void LateTargetsLoseNoOpenFlow() {
    for (const int delay_ms : {0, 30, 70, 150, 400}) {
      Scenario scenario;
      scenario.target_delay = milliseconds(delay_ms);
      AssertFlowsStay(scenario);
    }
  }

  // The same where the answers of all targets take long to arrive.
  void DistantCallersLoseNoOpenFlow() {
    for (const int delay_ms : {20, 35, 50, 120, 250}) {
      Scenario scenario;
      scenario.caller_delay = milliseconds(delay_ms);
      scenario.target_delay = milliseconds(20);
      AssertFlowsStay(scenario);
    }
  }

  // The same where the first opening packet or its answer is lost.
  void LostPacketsLoseNoOpenFlow() {
    for (const int loss_percent : {2, 10, 30}) {
      Scenario scenario;
      scenario.loss_percent = loss_percent;
      scenario.target_delay = milliseconds(20);
      AssertFlowsStay(scenario);
    }
  }

  // Guards against resets, and packets to another target, by balancers that
  // know a target's start, its successor or its clock late or wrongly.
  void LateKnowledgeLosesNoOpenFlow() {
    for (const int clock_ms : {0, 2400}) {
      for (const int delay_ms : {0, 300, 3000}) {
        Scenario scenario;
        scenario.restart_interval = milliseconds(1500);
        scenario.feed_delay = milliseconds(delay_ms);
        scenario.clock_difference = milliseconds(clock_ms);
        AssertFlowsStay(scenario);
      }
    }
  }

  // Guards against resets of the flows of a target that acknowledges nothing
  // for seconds, as one that gets no processor.
  void PausedTargetsLoseNoOpenFlow() {
    for (const int delay_ms : {700, 1500, 3000}) {
      Scenario scenario;
      scenario.target_delay = milliseconds(delay_ms);
      scenario.move_interval = milliseconds(5000);
      AssertFlowsStay(scenario);
    }
  }

 private:
  static void AssertFlowsStay(Scenario scenario) {
    const std::uint64_t seeds = QuickTests() ? 2 : 10;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      scenario.seed = seed;
      FlowWorld world(scenario);
      world.RunFor(std::chrono::seconds(20));
      const std::string text = Text(scenario);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, world.resets());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, world.misdirected());
      CPPUNIT_ASSERT_MESSAGE(text, world.answered() > 0);
    }
  }

  static std::string Text(const Scenario& scenario) {
    const auto ms = [](Duration duration) {
      return std::to_string(
          std::chrono::duration_cast<milliseconds>(duration).count());
    };
    return "seed " + std::to_string(scenario.seed) + ", targets up to " +
           ms(scenario.target_delay) + " ms late, callers " +
           ms(scenario.caller_delay) + " ms away, " +
           std::to_string(scenario.loss_percent) + " % lost, feed up to " +
           ms(scenario.feed_delay) + " ms late, clocks up to " +
           ms(scenario.clock_difference) + " ms apart";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowOwnershipTest);

}  // namespace
}  // namespace sardinelead
