// Balancers whose knowledge of routes and targets differs: what one of them
// knows late must not end an open flow or lead its packets elsewhere.

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <random>

#include "sardinelead/cookie_balancer.h"
#include "single_route.h"

namespace sardinelead {
namespace {

const Endpoint kService = *Endpoint::Parse("198.18.0.1:8443");
const Endpoint kOtherService = *Endpoint::Parse("198.18.0.2:8443");
const Endpoint kFirstAddress = *Endpoint::Parse("10.0.0.1:80");
const Endpoint kSecondAddress = *Endpoint::Parse("10.0.0.2:80");
constexpr std::uint32_t kSequence = 1000;

// A balancer with a directory of its own.
class Node {
 public:
  explicit Node(const TimePoint* now) : m_now(now) {}

  void SetRoutes(std::uint64_t version, const Endpoint& address) {
    RouteTable table = MakeSingleRoute(address);
    table.version = ConfigVersion{version};
    m_directory.SetPools(table.PoolNames(), *m_now);
    m_balancer.SetRoutes(std::move(table));
  }
  void Announce(std::uint64_t number, const Endpoint& address,
                std::uint64_t started_ms) {
    TargetAnnouncement announcement;
    announcement.number = number;
    announcement.started_ms = started_ms;
    announcement.sequence = 1;
    announcement.pool = "orders";
    announcement.address = address;
    announcement.data_centre = "a";
    m_directory.Take(announcement, *m_now);
  }
  Forwarding OnPacket(const FlowPacket& packet) {
    return m_balancer.OnPacket(packet, *m_now);
  }

 private:
  static CookieBalancerSettings Settings() {
    CookieBalancerSettings settings;
    settings.data_centre = "a";
    return settings;
  }

  const TimePoint* m_now;
  std::mt19937_64 m_random{7};
  TargetDirectory m_directory;
  CookieBalancer m_balancer{
      Settings(),
      &m_directory,
      {[this] { return m_random(); }, [this] { return *m_now; },
       [] { return std::size_t{2}; }, [] { return false; },
       [](const TargetHealthReport&) {}, [](const FlowTiming&) {}}};
};

class OpenFlowProofTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OpenFlowProofTest);
  CPPUNIT_TEST(RemovalBeforeTheFlowOpenedDoesNotResetIt);
  CPPUNIT_TEST(LateTablesDoNotResetAFlowThatIsNewerThanThem);
  CPPUNIT_TEST(ReplacedStartDoesNotEndALaterStart);
  CPPUNIT_TEST(UnknownStartGetsNoPacketsAtTheEarlierAddress);
  CPPUNIT_TEST(TargetWithASlowClockKeepsItsFlows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (Node* node : {&m_current, &m_late}) node->SetRoutes(1, kService);
  }

  // Guards against resets of a flow that opened under version 3, at a balancer
  // that gets version 2, which lacks the route, after the flow's packets.
  void RemovalBeforeTheFlowOpenedDoesNotResetIt() {
    for (Node* node : {&m_current, &m_late}) {
      node->Announce(1, kFirstAddress, 100);
    }
    m_current.SetRoutes(2, kOtherService);
    m_current.SetRoutes(3, kService);
    const std::uint32_t cookie = OpenAt(&m_current);
    AssertForwarded(1, kFirstAddress, m_late.OnPacket(Data(cookie)));
    m_late.SetRoutes(2, kOtherService);
    CPPUNIT_ASSERT(m_late.OnPacket(Data(cookie)).action ==
                   ForwardAction::kDrop);
    m_late.SetRoutes(3, kService);
    AssertForwarded(1, kFirstAddress, m_late.OnPacket(Data(cookie)));
  }

  // Guards against resets of a flow that a balancer placed under version 1,
  // after the others had version 3, when it gets version 2.
  void LateTablesDoNotResetAFlowThatIsNewerThanThem() {
    m_late.Announce(1, kFirstAddress, 100);
    const std::uint32_t cookie = OpenAt(&m_late);
    m_late.SetRoutes(2, kOtherService);
    CPPUNIT_ASSERT(m_late.OnPacket(Data(cookie)).action ==
                   ForwardAction::kDrop);
    m_late.SetRoutes(3, kService);
    AssertForwarded(1, kFirstAddress, m_late.OnPacket(Data(cookie)));
  }

  // Guards against resets of a target's flows at a balancer that knows only an
  // earlier start of it, whose address another target has.
  void ReplacedStartDoesNotEndALaterStart() {
    m_current.Announce(1, kSecondAddress, 900);
    const std::uint32_t cookie = OpenAt(&m_current);
    m_late.Announce(1, kFirstAddress, 100);
    m_late.Announce(9, kFirstAddress, 500);
    CPPUNIT_ASSERT(m_late.OnPacket(Data(cookie)).action ==
                   ForwardAction::kHold);
    m_late.Announce(1, kSecondAddress, 900);
    AssertForwarded(1, kSecondAddress, m_late.OnPacket(Data(cookie)));
  }

  // Guards against packets of a target's flows that go to another target, at a
  // balancer that knows only an earlier start at another address.
  void UnknownStartGetsNoPacketsAtTheEarlierAddress() {
    m_current.Announce(1, kSecondAddress, 900);
    const std::uint32_t cookie = OpenAt(&m_current);
    m_late.Announce(1, kFirstAddress, 100);
    CPPUNIT_ASSERT(m_late.OnPacket(Data(cookie)).action ==
                   ForwardAction::kHold);
  }

  // Guards against resets of the flows of a target whose clock is behind that
  // of the target that had its address before.
  void TargetWithASlowClockKeepsItsFlows() {
    m_current.Announce(2, kFirstAddress, 400);
    const std::uint32_t cookie = OpenAt(&m_current);
    m_late.Announce(1, kFirstAddress, 500);
    m_late.Announce(2, kFirstAddress, 400);
    AssertForwarded(2, kFirstAddress, m_late.OnPacket(Data(cookie)));
    m_current.Announce(1, kFirstAddress, 500);
    AssertForwarded(2, kFirstAddress, m_current.OnPacket(Data(cookie)));
  }

 private:
  static FlowPacket Data(std::uint32_t cookie) {
    FlowPacket packet;
    packet.flow.caller = *Endpoint::Parse("100.64.0.1:40001");
    packet.flow.service = kService;
    packet.acknowledges = true;
    packet.acknowledged = 5000;
    packet.sequence = kSequence + 1;
    packet.cookie = cookie;
    packet.length = 10;
    return packet;
  }

  // Returns the cookie of a flow that opens through `node`.
  static std::uint32_t OpenAt(Node* node) {
    FlowPacket packet = Data(0);
    packet.opens = true;
    packet.acknowledges = false;
    packet.sequence = kSequence;
    packet.length = 0;
    const Forwarding placed = node->OnPacket(packet);
    CPPUNIT_ASSERT(placed.action == ForwardAction::kForward);
    CPPUNIT_ASSERT(node->OnPacket(Data(placed.cookie)).action ==
                   ForwardAction::kForward);
    return placed.cookie;
  }

  static void AssertForwarded(std::uint64_t target, const Endpoint& address,
                              const Forwarding& out) {
    CPPUNIT_ASSERT(out.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(target, out.target);
    CPPUNIT_ASSERT(out.address == address);
  }

  TimePoint m_now{std::chrono::seconds(100)};
  Node m_current{&m_now};
  Node m_late{&m_now};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OpenFlowProofTest);

}  // namespace
}  // namespace sardinelead
