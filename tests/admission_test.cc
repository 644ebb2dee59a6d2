#include "sardinelead/admission.h"

#include <cppunit/extensions/HelperMacros.h>

#include "../bench/balance_shares.h"
#include "service_shares.h"

namespace sardinelead {
namespace {

using bench::CallerOf;
using bench::JainIndex;
using bench::SharesSettings;
using bench::SharesSimulation;

constexpr std::uint64_t kCapacity = 900;  // New flows per second.

SharesSettings RateLimitedSettings(std::uint64_t seed) {
  SharesSettings settings;
  settings.seed = seed;
  settings.service_limits.new_flows_per_second = kCapacity;
  return settings;
}

class AdmissionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AdmissionTest);
  CPPUNIT_TEST(ParsesPrefixes);
  CPPUNIT_TEST(WaterFillDividesByShares);
  CPPUNIT_TEST(FloodDoesNotReduceOtherShares);
  CPPUNIT_TEST(AdmitsInProportionToShares);
  CPPUNIT_TEST(UnusedCapacityIsLentAndReclaimed);
  CPPUNIT_TEST(OpenFlowLimitKeepsReserve);
  CPPUNIT_TEST(WorkspaceLimitsApplyAcrossDataCentre);
  CPPUNIT_TEST(PacketFloodDoesNotReduceOtherShares);
  CPPUNIT_TEST(PressureReducesAndRestoresRateInSteps);
  CPPUNIT_TEST(CountsRefusalsByWorkspaceAndReason);
  CPPUNIT_TEST(ConfigurationChangeKeepsCounts);
  CPPUNIT_TEST(RecountCorrectsDrift);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesPrefixes() {
    const auto prefix = Prefix::Parse("10.1.0.0/12");
    CPPUNIT_ASSERT(prefix->Contains(*IpAddress::Parse("10.15.3.4")));
    CPPUNIT_ASSERT(!prefix->Contains(*IpAddress::Parse("10.16.3.4")));
    CPPUNIT_ASSERT(Prefix::Parse("2001:db8::/33")
                       ->Contains(*IpAddress::Parse("2001:db8:7fff::1")));
    CPPUNIT_ASSERT(
        Prefix::Parse("10.0.0.1")->Contains(*IpAddress::Parse("10.0.0.1")));
    for (const char* invalid : {"", "10.0.0.0/33", "10.0.0.0/-1", "10.0.0.0/",
                                "2001:db8::/129", "x/8", "10.0.0.0/8x"}) {
      CPPUNIT_ASSERT_MESSAGE(invalid, !Prefix::Parse(invalid).has_value());
    }
  }

  void WaterFillDividesByShares() {
    const auto allocated =
        WaterFill(100, {{10, 1}, {1000, 1}, {1000, 3}, {0, 5}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10, allocated[0], 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(22.5, allocated[1], 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(67.5, allocated[2], 1e-6);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0, allocated[3], 1e-6);
    const auto undersubscribed = WaterFill(100, {{10, 1}, {20, 9}});
    CPPUNIT_ASSERT_DOUBLES_EQUAL(30, undersubscribed[0] + undersubscribed[1],
                                 1e-6);
  }

  void FloodDoesNotReduceOtherShares() {
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
      SharesSimulation world(RateLimitedSettings(seed));
      world.Run(20, {3000, 300, 300});
      CPPUNIT_ASSERT(world.accepted()[1] >= 0.95 * 300 * 20);
      CPPUNIT_ASSERT(world.accepted()[2] >= 0.95 * 300 * 20);
      CPPUNIT_ASSERT(JainIndex(world.accepted()) >= 0.99);
      CPPUNIT_ASSERT(world.Accepted() <= 1.05 * kCapacity * 20);
    }
  }

  void AdmitsInProportionToShares() {
    SharesSettings settings = RateLimitedSettings(1);
    settings.shares = {1, 2, 6};
    SharesSimulation world(settings);
    world.Run(20, {3000, 3000, 3000});
    for (std::size_t i = 0; i < 3; ++i) {
      const double expected = settings.shares[i] * 100.0 * 20;
      const double ratio = static_cast<double>(world.accepted()[i]) / expected;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(ratio),
                             ratio > 0.95 && ratio < 1.05);
    }
  }

  // The capacity of an idle workspace is divided equally between the two others
  // although one of them requests five times as much. The idle workspace gets
  // its share again as soon as it opens flows.
  void UnusedCapacityIsLentAndReclaimed() {
    SharesSimulation world(RateLimitedSettings(1));
    world.Run(5, {5000, 1000, 0});
    world.Reset();
    world.Run(20, {5000, 1000, 0});
    CPPUNIT_ASSERT(world.Accepted() >= 0.95 * kCapacity * 20);
    const auto& got = world.accepted();
    CPPUNIT_ASSERT(JainIndex({got[0], got[1]}) >= 0.99);
    world.Reset();
    world.Run(2, {5000, 1000, 290});
    CPPUNIT_ASSERT(world.accepted()[2] >= 0.95 * 270 * 2);
  }

  void OpenFlowLimitKeepsReserve() {
    SharesSettings settings;
    settings.flow_life_s = 30;
    settings.service_limits.flows = 3000;
    SharesSimulation world(settings);
    world.Run(60, {1000, 0, 0});
    const auto lent = world.Held();
    CPPUNIT_ASSERT(lent[0] >= 0.95 * 3000);
    CPPUNIT_ASSERT(lent[0] <= 0.97 * 3000);
    // Workspaces that become active again are admitted from the reserve at
    // once, and reach their share as other flows close.
    world.Reset();
    world.Run(1, {1000, 50, 50});
    CPPUNIT_ASSERT(world.accepted()[1] >= 30);
    world.Run(90, {1000, 200, 200});
    CPPUNIT_ASSERT(JainIndex(world.Held()) >= 0.99);
  }

  void WorkspaceLimitsApplyAcrossDataCentre() {
    SharesSettings settings;
    settings.flow_life_s = 1000;
    settings.workspace_limits.flows = 900;
    settings.workspace_limits.new_flows_per_second = 90;
    SharesSimulation world(settings);
    world.Run(5, {500, 500, 50});
    CPPUNIT_ASSERT(world.accepted()[0] <= 90 * 5 * 1.15);
    CPPUNIT_ASSERT(world.accepted()[0] >= 90 * 5 * 0.85);
    CPPUNIT_ASSERT(world.accepted()[2] >= 50 * 5 * 0.7);
    world.Run(30, {500, 500, 0});
    CPPUNIT_ASSERT(world.Held()[0] <= 900);
    CPPUNIT_ASSERT(world.Held()[0] >= 800);
  }

  void PacketFloodDoesNotReduceOtherShares() {
    SharesSettings settings;
    settings.balancers = 1;
    settings.service_limits.packets_per_second = 3000;
    SharesSimulation world(settings);
    Admission& admission = world.At(0);
    std::vector<int> allowed(3, 0);
    TimePoint now = world.Now();
    // For 10 s, 30,000 packets per second from the first workspace and 900 from
    // each of the others.
    for (int step = 0; step < 10000; ++step) {
      now += std::chrono::milliseconds(1);
      for (int i = 0; i < 30; ++i) {
        allowed[0] +=
            admission.AllowPacket(world.service(), CallerOf(0, 1), now);
      }
      if (step % 10 == 0) continue;
      for (const std::size_t other : {1, 2}) {
        allowed[other] +=
            admission.AllowPacket(world.service(), CallerOf(other, 1), now);
      }
    }
    CPPUNIT_ASSERT(allowed[1] >= 0.95 * 9000 && allowed[2] >= 0.95 * 9000);
    CPPUNIT_ASSERT(allowed[0] >= 0.9 * 10000);
    CPPUNIT_ASSERT(allowed[0] + allowed[1] + allowed[2] <= 1.1 * 30000);
  }

  void PressureReducesAndRestoresRateInSteps() {
    SharesSimulation world(SharesSettings{});
    const std::vector<double> offered = {3000, 300, 300};
    world.Run(5, offered);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3600 * 5, world.Accepted(), 3600 * 5 * 0.05);
    world.SetAllShed(true);
    world.Run(6, offered);
    world.Reset();
    world.Run(1, offered);
    const double reduced = world.Accepted();
    CPPUNIT_ASSERT(reduced < 2500 && reduced > 500);
    CPPUNIT_ASSERT(world.accepted()[1] > 250);
    world.SetAllShed(false);
    world.Run(2, offered);
    world.Reset();
    world.Run(1, offered);
    CPPUNIT_ASSERT(world.Accepted() > reduced && world.Accepted() < 3400);
    world.Run(30, offered);
    world.Reset();
    world.Run(1, offered);
    CPPUNIT_ASSERT(world.Accepted() > 3400);
  }

  void CountsRefusalsByWorkspaceAndReason() {
    SharesSettings settings = RateLimitedSettings(1);
    settings.balancers = 1;
    SharesSimulation world(settings);
    world.Run(10, {3000, 100, 0});
    world.At(0).OnTick();
    const std::string text = world.MetricsOf(0).PrometheusText();
    const std::string series =
        "sardinelead_refused_flows_total{workspace=\"w0\","
        "service=\"w0/classroom\",reason=\"workspace-share\"} ";
    const std::size_t at = text.find(series);
    CPPUNIT_ASSERT(at != std::string::npos);
    CPPUNIT_ASSERT(std::stoul(text.substr(at + series.size())) > 20000);
    CPPUNIT_ASSERT(text.find("workspace=\"w1\",service=\"w0/classroom\","
                             "reason=\"workspace-share\"} 0\n") !=
                   std::string::npos);
  }

  void ConfigurationChangeKeepsCounts() {
    Blackboard board;
    Metrics metrics;
    Service service;
    service.id = ServiceId{1};
    service.name = "classroom";
    service.workspace = "b";
    service.limits.flows = 10;
    Configuration configuration;
    configuration.workspaces["b"].name = "b";
    configuration.services["b/classroom"] = service;
    configuration.BuildIndex();
    board.configuration.Publish(std::make_shared<Configuration>(configuration));
    Admission admission(AdmissionSettings{}, &board, &metrics);
    const IpAddress caller = CallerOf(1, 1);
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(admission.Admit(service, caller, TimePoint()));
      admission.OnOpened(service.id, caller);
    }
    CPPUNIT_ASSERT(admission.Admit(service, caller, TimePoint()).error() ==
                   RefuseReason::kFlowLimit);
    // Adding a caller workspace must not lose the count of the ten open flows.
    service.caller_workspaces["10.0.0.0/16"] = "a";
    configuration.workspaces["a"].name = "a";
    configuration.services["b/classroom"] = service;
    configuration.BuildIndex();
    board.configuration.Publish(std::make_shared<Configuration>(configuration));
    CPPUNIT_ASSERT(!admission.Admit(service, caller, TimePoint()));
    CPPUNIT_ASSERT_EQUAL(std::string("a"),
                         admission.WorkspaceOf(service, CallerOf(0, 1)));
    for (int i = 0; i < 10; ++i) admission.OnClosed(service.id, caller);
    admission.OnClosed(service.id, caller);
    CPPUNIT_ASSERT(admission.Admit(service, caller, TimePoint()));
  }

  void RecountCorrectsDrift() {
    SharesSettings settings;
    settings.balancers = 1;
    settings.service_limits.flows = 100;
    settings.workspaces = 1;
    SharesSimulation world(settings);
    Admission& admission = world.At(0);
    const ServiceId service = world.service().id;
    const IpAddress caller = CallerOf(0, 1);
    for (int i = 0; i < 100; ++i) admission.OnOpened(service, caller);
    CPPUNIT_ASSERT(!admission.Admit(world.service(), caller, world.Now()));
    // 80 of these flows are now led by other balancers.
    for (int i = 0; i < 8; ++i) admission.Recount(service, 20);
    CPPUNIT_ASSERT(admission.Admit(world.service(), caller, world.Now()));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AdmissionTest);

}  // namespace
}  // namespace sardinelead
