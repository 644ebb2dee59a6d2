// What a balancer concludes about targets while packets wait for its own link.

#include "cookie_balancer_fixture.h"

namespace sardinelead {
namespace {

class BalancerQueueTest : public CookieBalancerFixture {
  CPPUNIT_TEST_SUITE(BalancerQueueTest);
  CPPUNIT_TEST(RequestsAndCopiesThatWait300MsMarkNoTargetLost);
  CPPUNIT_TEST(RequestsLostBehindTheLinkMarkTheTargetLost);
  CPPUNIT_TEST(OpeningPacketThatWaitsMakesNoTargetSuspect);
  CPPUNIT_TEST(DroppedPacketsCountFromTheirReplacement);
  CPPUNIT_TEST(RequestsThatNeverLeftAreNotUnanswered);
  CPPUNIT_TEST(DurationsCountFromTheHandOver);
  CPPUNIT_TEST(FullLinkRefusesOnlyFlowsThatAreNotPlaced);
  CPPUNIT_TEST(LinkExpectsNoRequestOfFlowsWithoutATarget);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against avoiding a target because of a burst on our own link: the
  // callers' copies arrive while the requests wait.
  void RequestsAndCopiesThatWait300MsMarkNoTargetLost() {
    OpenTwoFlows();
    SendBoth();
    ReadFor(milliseconds(200));
    SendBoth();
    ReadFor(milliseconds(100));
    HandOverBoth();  // The requests.
    ReadFor(milliseconds(200));
    HandOverBoth();  // Their first copies.
    ReadFor(milliseconds(100));
    SendBoth();
    ReadFor(milliseconds(300));
    HandOverBoth();
    CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->repeats);
    Acknowledge(1, CookieOf(1));
    CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
  }

  // Guards against a queue that hides a target that is gone.
  void RequestsLostBehindTheLinkMarkTheTargetLost() {
    OpenTwoFlows();
    SendBoth();
    ReadFor(milliseconds(300));
    HandOverBoth();
    ReadFor(milliseconds(100));
    SendBoth();  // Too early after the hand-over to count.
    HandOverBoth();
    CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
    ReadFor(milliseconds(200));
    SendBoth();
    CPPUNIT_ASSERT(m_balancer.placement().IsLost(1));
  }

  // The deadline of the answer counts from the hand-over, and it counts.
  void OpeningPacketThatWaitsMakesNoTargetSuspect() {
    const Forwarding first = m_balancer.OnPacket(Opening(1), m_now);
    m_balancer.OnQueued(first.flow);
    ReadFor(milliseconds(300));
    CPPUNIT_ASSERT(!m_balancer.placement().IsSuspect(first.target, m_now));
    m_balancer.OnTransmitted(first.flow, m_now);
    ReadFor(milliseconds(50));
    CPPUNIT_ASSERT(!m_balancer.placement().IsSuspect(first.target, m_now));
    ReadFor(milliseconds(50));
    CPPUNIT_ASSERT(m_balancer.placement().IsSuspect(first.target, m_now));
  }

  void DroppedPacketsCountFromTheirReplacement() {
    const Forwarding opened = m_balancer.OnPacket(Opening(9), m_now);
    m_balancer.OnQueued(opened.flow);
    m_balancer.OnQueueDropped(opened.flow);
    OpenTwoFlows();
    SendBoth();
    for (const std::uint16_t port : {1, 2}) {
      m_balancer.OnQueueDropped(MakeFlowKey(port, kService));
    }
    ReadFor(milliseconds(200));
    CPPUNIT_ASSERT(!m_balancer.placement().IsSuspect(opened.target, m_now));
    m_balancer.OnPacket(OpeningCopy(9), m_now);
    for (const std::uint16_t port : {1, 2}) Retransmit(port, CookieOf(1));
    CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
    ReadFor(milliseconds(200));
    CPPUNIT_ASSERT(m_balancer.placement().IsSuspect(opened.target, m_now));
    for (const std::uint16_t port : {1, 2}) Retransmit(port, CookieOf(1));
    CPPUNIT_ASSERT(m_balancer.placement().IsLost(1));
  }

  void RequestsThatNeverLeftAreNotUnanswered() {
    OpenTwoFlows();
    SendBoth();
    ReadFor(milliseconds(1300));
    // The target is not busy with them.
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->waiting);
    for (const std::uint16_t port : {1, 2}) {
      m_balancer.OnQueueDropped(MakeFlowKey(port, kService));
    }
    ReadFor(milliseconds(1300));
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->waiting);
    CPPUNIT_ASSERT_EQUAL(0.0, m_balancer.placement().Find(1)->unanswered);
  }

  // Guards against taking targets for busy, and so sending flows to another
  // data centre, because requests waited here.
  void DurationsCountFromTheHandOver() {
    const Forwarding opened = m_balancer.OnPacket(Opening(1), m_now);
    m_balancer.OnQueued(opened.flow);
    ReadFor(milliseconds(300));
    m_balancer.OnTransmitted(opened.flow, m_now);
    m_now += milliseconds(5);
    Request(1, opened.cookie);
    m_balancer.OnQueued(opened.flow);
    ReadFor(milliseconds(300));
    const TargetStats& view = *m_balancer.placement().Find(opened.target);
    CPPUNIT_ASSERT_EQUAL(0U, view.waiting);
    m_balancer.OnTransmitted(opened.flow, m_now);
    CPPUNIT_ASSERT_EQUAL(1U, view.waiting);
    m_now += milliseconds(20);
    Acknowledge(1, opened.cookie);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_timings.size());
    CPPUNIT_ASSERT(m_timings[0].duration == milliseconds(5));
    CPPUNIT_ASSERT(m_timings[1].duration == milliseconds(20));
    CPPUNIT_ASSERT_DOUBLES_EQUAL(0.02, view.active_requests, 1e-9);
    CPPUNIT_ASSERT_EQUAL(0U, view.waiting);
  }

  // Guards against resets of flows that may be open: of a copy whose first
  // packet was forwarded here or elsewhere, and of an open flow.
  void FullLinkRefusesOnlyFlowsThatAreNotPlaced() {
    bool is_full = false;
    CookieBalancer balancer(
        {}, &m_directory,
        {[this] { return m_random(); }, [this] { return m_now; },
         [] { return std::size_t{1}; }, [] { return false; },
         [](const TargetHealthReport&) {}, [](const FlowTiming&) {},
         [&](const Route& route, TimePoint) {
           CPPUNIT_ASSERT(route.address == kService);
           return !is_full;
         }});
    balancer.SetRoutes(m_routes);
    const Forwarding placed = balancer.OnPacket(Opening(1), m_now);
    CPPUNIT_ASSERT(placed.action == ForwardAction::kForward);
    is_full = true;
    const Forwarding refused = balancer.OnPacket(Opening(2), m_now);
    CPPUNIT_ASSERT(refused.action == ForwardAction::kReset);
    CPPUNIT_ASSERT(refused.reason == ForwardReason::kLinkFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, balancer.flow_count());
    CPPUNIT_ASSERT(balancer.OnPacket(OpeningCopy(1), m_now).reason ==
                   ForwardReason::kPlacedCopy);
    CPPUNIT_ASSERT(balancer.OnPacket(OpeningCopy(3), m_now).action ==
                   ForwardAction::kDrop);
    CPPUNIT_ASSERT(
        balancer.OnPacket(Data(1, placed.cookie, 300), m_now).action ==
        ForwardAction::kForward);
  }

  // Guards against refusals of other flows because of requests that the link
  // expects from flows that are held, or refused for want of a target.
  void LinkExpectsNoRequestOfFlowsWithoutATarget() {
    int admitted = 0;
    TargetDirectory directory;
    directory.SetPools(m_routes.PoolNames(), m_now);
    CookieBalancer balancer(
        {}, &directory,
        {[this] { return m_random(); }, [this] { return m_now; },
         [] { return std::size_t{1}; }, [] { return true; },
         [](const TargetHealthReport&) {}, [](const FlowTiming&) {},
         [&](const Route&, TimePoint) { return ++admitted > 0; }});
    balancer.SetRoutes(m_routes);
    CPPUNIT_ASSERT(balancer.OnPacket(Opening(1), m_now).action ==
                   ForwardAction::kHold);
    directory.Take(m_directory.entries().at(1).announcement, m_now);
    EvacuationReport evacuations;
    evacuations.table.Set("a", true, 1);
    balancer.SetEvacuations(evacuations, m_now);
    CPPUNIT_ASSERT(balancer.OnPacket(Opening(1), m_now).reason ==
                   ForwardReason::kEvacuated);
    CPPUNIT_ASSERT_EQUAL(0, admitted);
    evacuations.table.Set("a", false, 2);
    balancer.SetEvacuations(evacuations, m_now);
    CPPUNIT_ASSERT(balancer.OnPacket(Opening(1), m_now).reason ==
                   ForwardReason::kPlaced);
    CPPUNIT_ASSERT_EQUAL(1, admitted);
  }

 private:
  void OpenTwoFlows() {
    for (const std::uint16_t port : {1, 2}) OpenAt(port, kService, 1);
  }
  // Both flows' requests, or copies of them, are queued.
  void SendBoth() {
    for (const std::uint16_t port : {1, 2}) {
      Request(port, CookieOf(1));
      m_balancer.OnQueued(MakeFlowKey(port, kService));
    }
  }
  void HandOverBoth() {
    for (const std::uint16_t port : {1, 2}) {
      m_balancer.OnTransmitted(MakeFlowKey(port, kService), m_now);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerQueueTest);

}  // namespace
}  // namespace sardinelead
