#include "sardinelead/cookie_balancer.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "packet_hold.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
const Endpoint kService = *Endpoint::Parse("198.18.0.1:8443");
const Endpoint kNotes = *Endpoint::Parse("198.18.0.1:8080");
const Bytes kSyn = {1, 2, 3};

class CookieBalancerTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CookieBalancerTest);
  CPPUNIT_TEST(AnyBalancerForwardsByTheCookie);
  CPPUNIT_TEST(PacketsKeepTheTargetNumberAfterAddressReuse);
  CPPUNIT_TEST(RestartUnderTheSameNumberKeepsTheCookie);
  CPPUNIT_TEST(UnknownCookieIsHeldNotReset);
  CPPUNIT_TEST(UnansweredOpeningPacketGoesToAnotherTarget);
  CPPUNIT_TEST(LateAnswerOfASecondTargetDoesNotMoveTheFlow);
  CPPUNIT_TEST(RetransmittedOpeningPacketGoesToAnotherTarget);
  CPPUNIT_TEST(OpeningCopiesThatWaitedHereGoToOneTarget);
  CPPUNIT_TEST(FlowsOfALostTargetAreReset);
  CPPUNIT_TEST(ReportsLeaseExpiryAndRenewal);
  CPPUNIT_TEST(NonIdempotentRequestsUnderWayAreNotReset);
  CPPUNIT_TEST(StalledBalancerDoesNotMarkTargetsLost);
  CPPUNIT_TEST(TwoLostRequestsResetNoFlow);
  CPPUNIT_TEST(UnreadAnswerKeepsTheFlowsOfALostTarget);
  CPPUNIT_TEST(SilenceAloneResetsNoFlow);
  CPPUNIT_TEST(PacketsDroppedHereAreNoEvidence);
  CPPUNIT_TEST(HeldCopiesAreNoEvidence);
  CPPUNIT_TEST(LateBalancerDoesNotResendAnAnsweredOpeningPacket);
  CPPUNIT_TEST(DrainingAndSilentTargetsTakeNoNewFlows);
  CPPUNIT_TEST(SilentTargetsAreUsedWhereThereAreNoOthers);
  CPPUNIT_TEST(EndedTargetResetsAfterItsGrace);
  CPPUNIT_TEST(EntryOfAnUnknownPoolResetsNoFlow);
  CPPUNIT_TEST(NewFlowsWithoutARouteAreRefusedAtOnce);
  CPPUNIT_TEST(RemovedRouteEndsItsFlowsUnknownOneDoesNot);
  CPPUNIT_TEST(ChangeOfRoutesActsAsTheWholeTable);
  CPPUNIT_TEST(OlderRoutesAreIgnored);
  CPPUNIT_TEST(GatheringBalancerHoldsPackets);
  CPPUNIT_TEST(ReportsFlowTimings);
  CPPUNIT_TEST(RequestAnsweredViaAnotherBalancerIsNotLoad);
  CPPUNIT_TEST(ForgetsIdleFlows);
  CPPUNIT_TEST(PacketHoldIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    SetRoutes(1, {kService, kNotes});
    AddTarget(1, "10.0.0.1:80", 100);
    AddTarget(2, "10.0.0.2:80", 100);
    Drain();
  }

  void AnyBalancerForwardsByTheCookie() {
    const Forwarding opened = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    CPPUNIT_ASSERT(opened.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(CookieOf(opened.target), opened.cookie);
    CookieBalancer other = MakeBalancer();
    other.SetRoutes(m_routes);
    const Forwarding next =
        other.OnPacket(Data(1, opened.cookie, 1), {}, m_now);
    CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(opened.target, next.target);
    CPPUNIT_ASSERT(next.address == opened.address);
    CPPUNIT_ASSERT_EQUAL(opened.cookie, next.cookie);
  }

  // Packets of the old flow keep the old target number, so the target that now
  // has the address drops them.
  void PacketsKeepTheTargetNumberAfterAddressReuse() {
    AddTarget(9, "10.0.0.1:80", 500, "gallery");
    const Forwarding next =
        m_balancer.OnPacket(Data(1, CookieOf(1), 1), {}, m_now);
    CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
    for (std::uint16_t port = 100; port < 150; ++port) {
      const Forwarding opened = m_balancer.OnPacket(Opening(port), kSyn, m_now);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, opened.target);
    }
  }

  void RestartUnderTheSameNumberKeepsTheCookie() {
    AddTarget(1, "10.0.0.1:80", 900);
    const Forwarding next =
        m_balancer.OnPacket(Data(1, CookieOf(1), 1), {}, m_now);
    CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
  }

  void UnknownCookieIsHeldNotReset() {
    const Forwarding unknown =
        m_balancer.OnPacket(Data(1, CookieOf(77), 1), {}, m_now);
    CPPUNIT_ASSERT(unknown.action == ForwardAction::kHold);
    const Forwarding none = m_balancer.OnPacket(Data(1, 0, 1), {}, m_now);
    CPPUNIT_ASSERT(none.action == ForwardAction::kDrop);
  }

  void UnansweredOpeningPacketGoesToAnotherTarget() {
    const Forwarding first = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    Drain();
    DrainAt(m_now + milliseconds(59));
    CPPUNIT_ASSERT(m_balancer.OnTick(m_now + milliseconds(59)).empty());
    CPPUNIT_ASSERT(m_balancer.NextTick() == m_now + milliseconds(60));
    DrainAt(m_now + milliseconds(60));
    const auto due = m_balancer.OnTick(m_now + milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, due.size());
    CPPUNIT_ASSERT(due[0].target != first.target);
    CPPUNIT_ASSERT(due[0].held == kSyn);
    // It is resent only once; after that the caller retransmits.
    m_now += kSecond;
    Drain();
    CPPUNIT_ASSERT(m_balancer.OnTick(m_now).empty());
    // An answered opening packet is not resent.
    const Forwarding other = m_balancer.OnPacket(Opening(2), kSyn, m_now);
    m_balancer.OnPacket(Data(2, other.cookie, 1), {}, m_now);
    Drain();
    DrainAt(m_now + kSecond);
    CPPUNIT_ASSERT(m_balancer.OnTick(m_now + kSecond).empty());
  }

  void LateAnswerOfASecondTargetDoesNotMoveTheFlow() {
    const Forwarding first = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    Drain();
    DrainAt(m_now + milliseconds(60));
    const std::uint64_t second =
        m_balancer.OnTick(m_now + milliseconds(60))[0].target;
    m_now += milliseconds(70);
    m_balancer.OnPacket(Data(1, first.cookie, 1), {}, m_now);
    const Forwarding next =
        m_balancer.OnPacket(Data(1, CookieOf(second), 2), {}, m_now);
    CPPUNIT_ASSERT_EQUAL(first.target, next.target);
    CPPUNIT_ASSERT_EQUAL(first.cookie, next.cookie);
  }

  void RetransmittedOpeningPacketGoesToAnotherTarget() {
    const Forwarding first = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    ReadFor(milliseconds(200));
    const Forwarding copy = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    CPPUNIT_ASSERT(copy.reason == ForwardReason::kPlacedAgain);
    CPPUNIT_ASSERT(copy.target != first.target);
  }

  // Guards against flows that two targets answer because the copies of their
  // opening packet waited in the socket while this process stalled.
  void OpeningCopiesThatWaitedHereGoToOneTarget() {
    Drain();
    m_now += kSecond;
    const Forwarding first = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    for (int i = 0; i < 2; ++i) {
      const Forwarding copy = m_balancer.OnPacket(Opening(1), kSyn, m_now);
      CPPUNIT_ASSERT(copy.action == ForwardAction::kForward);
      CPPUNIT_ASSERT_EQUAL(first.target, copy.target);
      CPPUNIT_ASSERT_EQUAL(first.cookie, copy.cookie);
    }
    CPPUNIT_ASSERT_EQUAL(1U,
                         m_balancer.placement().Find(first.target)->opening);
    Drain();
    CPPUNIT_ASSERT_EQUAL(first.target,
                         m_balancer.OnPacket(Opening(1), kSyn, m_now).target);
  }

  void FlowsOfALostTargetAreReset() {
    const std::uint32_t cookie = CookieOf(1);
    for (std::uint16_t port = 1; port <= 4; ++port) OpenAt(port, kService, 1);
    Request(1, cookie);
    Request(2, cookie);
    ReadFor(milliseconds(200));
    CPPUNIT_ASSERT(Retransmit(1, cookie).action == ForwardAction::kForward);
    CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
    Retransmit(2, cookie);
    CPPUNIT_ASSERT(m_balancer.placement().IsLost(1));
    CPPUNIT_ASSERT(!m_balancer.NextTick().has_value());
    ReadFor(milliseconds(400));
    CPPUNIT_ASSERT(Retransmit(1, cookie).action == ForwardAction::kForward);
    // The two flows that retransmit and the two idle ones are reset, once
    // everything that had arrived was read.
    CPPUNIT_ASSERT(m_balancer.NextTick() <= m_now);
    CPPUNIT_ASSERT(m_balancer.OnTick(m_now).empty());
    Drain();
    const auto resets = m_balancer.OnTick(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, resets.size());
    for (const Forwarding& reset : resets) {
      CPPUNIT_ASSERT(reset.action == ForwardAction::kReset);
      CPPUNIT_ASSERT(reset.reason == ForwardReason::kTargetLost);
      CPPUNIT_ASSERT_EQUAL(kAcknowledged, reset.reset_sequence);
    }
    for (std::uint16_t port = 100; port < 120; ++port) {
      const Forwarding opened = m_balancer.OnPacket(Opening(port), kSyn, m_now);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, opened.target);
    }
    CPPUNIT_ASSERT(m_reported ==
                   std::vector<TargetHealthEvent>{TargetHealthEvent::kLost});
  }

  // An expired lease and a renewed one are each reported once.
  void ReportsLeaseExpiryAndRenewal() {
    ReadFor(4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_reported.size());
    CPPUNIT_ASSERT(m_reported[0] == TargetHealthEvent::kLeaseExpired);
    m_directory.Renew(CookieOf(1), m_now);
    ReadFor(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_reported.size());
    CPPUNIT_ASSERT(m_reported[2] == TargetHealthEvent::kLeaseRenewed);
  }

  void NonIdempotentRequestsUnderWayAreNotReset() {
    const std::uint32_t cookie = CookieOf(1);
    OpenAt(1, kNotes, 1);
    OpenAt(2, kNotes, 1);
    Request(1, cookie, kNotes);
    Request(2, cookie, kNotes);
    ReadFor(milliseconds(200));
    Retransmit(1, cookie, kNotes);
    Retransmit(2, cookie, kNotes);
    CPPUNIT_ASSERT(GiveUpLostTargets().empty());
    ReadFor(milliseconds(400));
    CPPUNIT_ASSERT(Retransmit(1, cookie, kNotes).action ==
                   ForwardAction::kForward);
    CPPUNIT_ASSERT(GiveUpLostTargets().empty());
    CPPUNIT_ASSERT(m_balancer.placement().IsLostConfirmed(1));
    ReadFor(milliseconds(800));
    CPPUNIT_ASSERT(Retransmit(1, cookie, kNotes).action ==
                   ForwardAction::kForward);
  }

  void StalledBalancerDoesNotMarkTargetsLost() {
    const std::uint32_t cookie = CookieOf(1);
    OpenAt(1, kService, 1);
    OpenAt(2, kService, 1);
    Request(1, cookie);
    Request(2, cookie);
    // The process stalls, then all packets arrive at once.
    m_now += 4 * kSecond;
    for (std::uint16_t port = 1; port <= 2; ++port) {
      for (int i = 0; i < 3; ++i) Retransmit(port, cookie);
    }
    CPPUNIT_ASSERT(GiveUpLostTargets().empty());
    CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
  }

  // Guards against resets of a living target's flows after two datagrams were
  // lost at one moment (review, case 5).
  void TwoLostRequestsResetNoFlow() {
    const std::uint32_t cookie = CookieOf(1);
    for (std::uint16_t port = 1; port <= 4; ++port) OpenAt(port, kService, 1);
    Request(1, cookie);
    Request(2, cookie);
    ReadFor(milliseconds(200));
    Retransmit(1, cookie);
    Retransmit(2, cookie);
    CPPUNIT_ASSERT(m_balancer.placement().IsLost(1));
    CPPUNIT_ASSERT(GiveUpLostTargets().empty());
    // The target answers the retransmitted requests.
    ReadFor(milliseconds(100));
    Acknowledge(1, cookie);
    CPPUNIT_ASSERT(GiveUpLostTargets().empty());
    CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
    CPPUNIT_ASSERT(Retransmit(2, cookie).action == ForwardAction::kForward);
    CPPUNIT_ASSERT(!m_balancer.NextTick().has_value());
  }

  // Guards against resets of a living target's flows whose answers waited in
  // the socket while this process stalled (review, case 3).
  void UnreadAnswerKeepsTheFlowsOfALostTarget() {
    const std::uint32_t cookie = CookieOf(1);
    for (std::uint16_t port = 1; port <= 3; ++port) OpenAt(port, kService, 1);
    Request(1, cookie);
    Request(2, cookie);
    ReadFor(milliseconds(200));
    Retransmit(1, cookie);
    Retransmit(2, cookie);
    Drain();
    // The process stalls. The target answers the second copies; the answer
    // waits behind another copy.
    m_now += milliseconds(190);
    CPPUNIT_ASSERT(m_balancer.OnTick(m_now).empty());
    Retransmit(1, cookie);
    CPPUNIT_ASSERT(m_balancer.OnTick(m_now).empty());
    Acknowledge(1, cookie);
    Drain();
    CPPUNIT_ASSERT(m_balancer.OnTick(m_now).empty());
    CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
  }

  // Guards against resets after this balancer left the rotation: callers and
  // their answers then reach other balancers.
  void SilenceAloneResetsNoFlow() {
    const std::uint32_t cookie = CookieOf(1);
    for (std::uint16_t port = 1; port <= 3; ++port) OpenAt(port, kService, 1);
    Request(1, cookie);
    Request(2, cookie);
    ReadFor(milliseconds(200));
    Retransmit(1, cookie);
    Retransmit(2, cookie);
    for (int i = 0; i < 20; ++i) {
      ReadFor(milliseconds(50));
      CPPUNIT_ASSERT(m_balancer.OnTick(m_now).empty());
    }
  }

  // Guards against resets after packets that this process or its kernel
  // dropped: a full receive buffer, a failed send.
  void PacketsDroppedHereAreNoEvidence() {
    const std::uint32_t cookie = CookieOf(1);
    for (std::uint16_t port = 1; port <= 3; ++port) OpenAt(port, kService, 1);
    Request(1, cookie);
    Request(2, cookie);
    for (const int wait_ms : {200, 400, 800}) {
      // Each copy is dropped on its way out.
      m_balancer.OnPacketsDropped();
      ReadFor(milliseconds(wait_ms));
      Retransmit(1, cookie);
      Retransmit(2, cookie);
      CPPUNIT_ASSERT(GiveUpLostTargets().empty());
      CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
    }
    // Copies that were not dropped count again.
    ReadFor(milliseconds(1000));
    Retransmit(1, cookie);
    ReadFor(milliseconds(1000));
    Retransmit(1, cookie);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, GiveUpLostTargets().size());
  }

  // Copies that this process held did not arrive when they are processed.
  void HeldCopiesAreNoEvidence() {
    const std::uint32_t cookie = CookieOf(1);
    OpenAt(1, kService, 1);
    Request(1, cookie);
    FlowPacket copy = Data(1, cookie, 300);
    copy.is_held = true;
    for (int i = 0; i < 4; ++i) {
      ReadFor(milliseconds(400));
      m_balancer.OnPacket(copy, {}, m_now);
    }
    CPPUNIT_ASSERT(!m_balancer.placement().IsLost(1));
  }

  // Guards against copies to a second target, and against avoiding the first
  // one, because its answer waited in the socket while this process stalled.
  void LateBalancerDoesNotResendAnAnsweredOpeningPacket() {
    const Forwarding first = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    Drain();
    m_now += milliseconds(500);
    CPPUNIT_ASSERT(m_balancer.OnTick(m_now).empty());
    CPPUNIT_ASSERT(!m_balancer.placement().IsSuspect(first.target, m_now));
    m_balancer.OnPacket(Data(1, first.cookie, 1), {}, m_now);
    Drain();
    CPPUNIT_ASSERT(m_balancer.OnTick(m_now + kSecond).empty());
    CPPUNIT_ASSERT(!m_balancer.placement().IsSuspect(first.target, m_now));
  }

  void DrainingAndSilentTargetsTakeNoNewFlows() {
    TargetAnnouncement draining = m_directory.Find(1)->announcement;
    draining.state = AnnouncedState::kDraining;
    ++draining.sequence;
    m_directory.Take(draining, m_now);
    AssertOnlyTarget(2);
    AddTarget(3, "10.0.0.3:80", 100);
    m_now += 4 * kSecond;  // The leases of targets 2 and 3 have expired.
    AddTarget(4, "10.0.0.4:80", 100);
    AssertOnlyTarget(4);
    // Existing flows of a draining target continue.
    const Forwarding next =
        m_balancer.OnPacket(Data(1, CookieOf(1), 1), {}, m_now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
  }

  // If all leases expire at once, the likely cause is the path of the
  // heartbeats, not the targets.
  void SilentTargetsAreUsedWhereThereAreNoOthers() {
    m_now += 10 * kSecond;
    const Forwarding opened = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    CPPUNIT_ASSERT(opened.action == ForwardAction::kForward);
    AddTarget(3, "10.0.0.3:80", 100);
    AssertOnlyTarget(3);
  }

  void EndedTargetResetsAfterItsGrace() {
    TargetAnnouncement ended = m_directory.Find(1)->announcement;
    ended.state = AnnouncedState::kEnded;
    ++ended.sequence;
    m_directory.Take(ended, m_now);
    const FlowPacket packet = Data(1, CookieOf(1), 1);
    m_now += milliseconds(1500);
    CPPUNIT_ASSERT(m_balancer.OnPacket(packet, {}, m_now).action ==
                   ForwardAction::kForward);
    m_now += milliseconds(1);
    const Forwarding late = m_balancer.OnPacket(packet, {}, m_now);
    CPPUNIT_ASSERT(late.action == ForwardAction::kReset);
    CPPUNIT_ASSERT(late.reason == ForwardReason::kTargetEnded);
  }

  // Guards against resets of a living target's flows after a heartbeat for a
  // service that is not configured, at its address (review, case 4).
  void EntryOfAnUnknownPoolResetsNoFlow() {
    AddTarget(9, "10.0.0.1:80", 500, "batch-agent");
    m_now += 2 * kSecond;
    const Forwarding next =
        m_balancer.OnPacket(Data(1, CookieOf(1), 1), {}, m_now);
    CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
    std::set<std::uint64_t> used;
    for (std::uint16_t port = 100; port < 150; ++port) {
      used.insert(m_balancer.OnPacket(Opening(port), kSyn, m_now).target);
    }
    CPPUNIT_ASSERT(used == (std::set<std::uint64_t>{1, 2}));
  }

  void NewFlowsWithoutARouteAreRefusedAtOnce() {
    FlowPacket packet = Opening(1);
    packet.flow.service.port = 9;
    const Forwarding refused = m_balancer.OnPacket(packet, kSyn, m_now);
    CPPUNIT_ASSERT(refused.action == ForwardAction::kReset);
    CPPUNIT_ASSERT(refused.reason == ForwardReason::kNoRoute);
  }

  void RemovedRouteEndsItsFlowsUnknownOneDoesNot() {
    SetRoutes(2, {kService});
    FlowPacket removed = Data(1, CookieOf(1), 1, kNotes);
    CPPUNIT_ASSERT(m_balancer.OnPacket(removed, {}, m_now).reason ==
                   ForwardReason::kRouteRemoved);
    // Another balancer may have a newer table that contains this route.
    FlowPacket unknown = removed;
    unknown.flow.service.port = 9;
    CPPUNIT_ASSERT(m_balancer.OnPacket(unknown, {}, m_now).action ==
                   ForwardAction::kDrop);
    SetRoutes(3, {kService, kNotes});
    CPPUNIT_ASSERT(m_balancer.OnPacket(removed, {}, m_now).action ==
                   ForwardAction::kForward);
  }

  void ChangeOfRoutesActsAsTheWholeTable() {
    RouteChange change;
    change.base = ConfigVersion{1};
    change.version = ConfigVersion{2};
    change.removed = {kNotes};
    Route added = m_routes.routes[0];
    added.address.port = 9;
    change.changed = {added};
    CPPUNIT_ASSERT(m_balancer.ApplyRouteChange(change).has_value());
    const FlowPacket removed = Data(1, CookieOf(1), 1, kNotes);
    CPPUNIT_ASSERT(m_balancer.OnPacket(removed, {}, m_now).reason ==
                   ForwardReason::kRouteRemoved);
    CPPUNIT_ASSERT(
        m_balancer.OnPacket(Opening(2, added.address), kSyn, m_now).action ==
        ForwardAction::kForward);
    CPPUNIT_ASSERT(m_balancer.OnPacket(Opening(3), kSyn, m_now).action ==
                   ForwardAction::kForward);
    // The same change does not fit a second time.
    CPPUNIT_ASSERT(!m_balancer.ApplyRouteChange(change).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_balancer.routes().version.value);
  }

  void OlderRoutesAreIgnored() {
    SetRoutes(5, {kService, kNotes});
    SetRoutes(4, {kService});
    CPPUNIT_ASSERT(
        m_balancer.OnPacket(Opening(1, kNotes), kSyn, m_now).action ==
        ForwardAction::kForward);
  }

  void GatheringBalancerHoldsPackets() {
    CookieBalancer fresh = MakeBalancer();
    CPPUNIT_ASSERT(fresh.OnPacket(Opening(1), kSyn, m_now).action ==
                   ForwardAction::kHold);
    m_directory = TargetDirectory();
    m_is_gathering = true;
    CPPUNIT_ASSERT(m_balancer.OnPacket(Opening(1), kSyn, m_now).action ==
                   ForwardAction::kHold);
    m_is_gathering = false;
    const Forwarding refused = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    CPPUNIT_ASSERT(refused.action == ForwardAction::kReset);
    CPPUNIT_ASSERT(refused.reason == ForwardReason::kNoTarget);
  }

  void ReportsFlowTimings() {
    const Forwarding opened = m_balancer.OnPacket(Opening(1), kSyn, m_now);
    m_balancer.OnPacket(Opening(1), kSyn, m_now + milliseconds(200));
    m_now += milliseconds(210);
    m_balancer.OnPacket(Data(1, opened.cookie, 100), {}, m_now);
    FlowPacket answered = Data(1, opened.cookie, 0);
    answered.acknowledged += 500;
    m_now += milliseconds(60);
    m_balancer.OnPacket(answered, {}, m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_timings.size());
    CPPUNIT_ASSERT(m_timings[0].step == FlowStep::kOpening);
    CPPUNIT_ASSERT(m_timings[0].duration == milliseconds(210));
    CPPUNIT_ASSERT(m_timings[1].step == FlowStep::kAnswer);
    CPPUNIT_ASSERT(m_timings[1].duration == milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(opened.target, m_timings[1].target);
  }

  // During a rolling restart, each change of the set of active balancers moves
  // all flows, with their pending requests, to other balancers. Those requests
  // must not count as load here.
  void RequestAnsweredViaAnotherBalancerIsNotLoad() {
    for (std::uint16_t port = 1; port <= 20; ++port) {
      OpenAt(port, kService, 1);
      Request(port, CookieOf(1));
    }
    CPPUNIT_ASSERT_EQUAL(20U, m_balancer.placement().Find(1)->waiting);
    m_now += 3 * kSecond;
    Drain();
    m_balancer.Sweep(m_now);
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->waiting);
    CPPUNIT_ASSERT_EQUAL(std::size_t{20}, m_balancer.flow_count());
    // An answer after the timeout does not decrement the count again.
    FlowPacket answered = Data(1, CookieOf(1), 0);
    answered.acknowledged += 500;
    m_balancer.OnPacket(answered, {}, m_now);
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->waiting);
  }

  void ForgetsIdleFlows() {
    OpenAt(1, kService, 1);
    Request(1, CookieOf(1));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{1},
                         m_balancer.placement().Find(1)->open);
    DrainAt(m_now + 21 * kSecond);
    m_balancer.Sweep(m_now + 21 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_balancer.flow_count());
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0},
                         m_balancer.placement().Find(1)->open);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{0},
                         m_balancer.placement().Find(1)->waiting);
  }

  void PacketHoldIsBounded() {
    PacketHoldSettings settings;
    settings.max_packets = 2;
    PacketHold hold(settings);
    for (std::uint8_t i = 0; i < 3; ++i) hold.Add(Bytes{i}, m_now);
    auto taken = hold.TakeAll(m_now);
    CPPUNIT_ASSERT(taken == std::vector<Bytes>({{1}, {2}}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold.dropped());
    hold.Add(Bytes{7}, m_now);
    CPPUNIT_ASSERT(hold.TakeAll(m_now + 2 * kSecond).empty());
  }

 private:
  static constexpr std::uint32_t kAcknowledged = 5000;
  static constexpr std::uint32_t kSequence = 1000;
  CookieBalancer MakeBalancer() {
    CookieBalancerSettings settings;
    settings.data_centre = "a";
    return CookieBalancer(
        settings, &m_directory,
        {[this] { return m_random(); }, [this] { return m_now; },
         [] { return std::size_t{1}; }, [this] { return m_is_gathering; },
         [this](const TargetHealthReport& health_report) {
           m_reported.push_back(health_report.health_event);
         },
         [this](const FlowTiming& timing) { m_timings.push_back(timing); }});
  }

  void SetRoutes(std::uint64_t version,
                 const std::vector<Endpoint>& addresses) {
    RouteTable table;
    table.version = ConfigVersion{version};
    table.pools = {{"orders", "/health", 0}, {"gallery", "/health", 0}};
    for (const Endpoint& address : addresses) {
      Route route;
      route.address = address;
      route.kind = address == kNotes ? RequestKind::kNonIdempotent
                                     : RequestKind::kIdempotent;
      route.pools = {{"orders", 1}};
      table.routes.push_back(route);
    }
    table.BuildIndex();
    m_routes = table;
    m_directory.SetPools(table.PoolNames(), m_now);
    m_balancer.SetRoutes(m_routes);
  }

  void AddTarget(std::uint64_t number, const char* address,
                 std::uint64_t started, const char* pool = "orders") {
    TargetAnnouncement announcement;
    announcement.number = number;
    announcement.started_ms = started;
    announcement.sequence = 1;
    announcement.pool = pool;
    announcement.address = *Endpoint::Parse(address);
    announcement.data_centre = "a";
    m_directory.Take(announcement, m_now);
  }

  static FlowKey MakeFlowKey(std::uint16_t port, const Endpoint& service) {
    FlowKey key;
    key.caller = {IpAddress::FromV4(0x64400001), port};
    key.service = service;
    return key;
  }

  static FlowPacket Opening(std::uint16_t port,
                            const Endpoint& service = kService) {
    FlowPacket packet;
    packet.flow = MakeFlowKey(port, service);
    packet.opens = true;
    packet.sequence = kSequence;
    return packet;
  }

  static FlowPacket Data(std::uint16_t port, std::uint32_t cookie,
                         std::uint16_t length,
                         const Endpoint& service = kService) {
    FlowPacket packet;
    packet.flow = MakeFlowKey(port, service);
    packet.acknowledges = true;
    packet.acknowledged = kAcknowledged;
    packet.sequence = kSequence;
    packet.cookie = cookie;
    packet.length = length;
    return packet;
  }

  // Adds a flow that was opened through another balancer.
  void OpenAt(std::uint16_t port, const Endpoint& service,
              std::uint64_t target) {
    m_balancer.OnPacket(Data(port, CookieOf(target), 0, service), {}, m_now);
    m_now += milliseconds(1);
  }
  void Request(std::uint16_t port, std::uint32_t cookie,
               const Endpoint& service = kService) {
    m_balancer.OnPacket(Data(port, cookie, 300, service), {}, m_now);
  }
  Forwarding Retransmit(std::uint16_t port, std::uint32_t cookie,
                        const Endpoint& service = kService) {
    return m_balancer.OnPacket(Data(port, cookie, 300, service), {}, m_now);
  }
  // The caller has got an answer.
  void Acknowledge(std::uint16_t port, std::uint32_t cookie) {
    FlowPacket packet = Data(port, cookie, 0);
    packet.acknowledged = kAcknowledged + 300;
    m_balancer.OnPacket(packet, {}, m_now);
  }
  // Everything that arrived until now has been read.
  void DrainAt(TimePoint at) { m_balancer.OnDrained(at, at); }
  void Drain() { DrainAt(m_now); }
  // Ends the round and returns the resets of targets that are given up.
  std::vector<Forwarding> GiveUpLostTargets() {
    Drain();
    return m_balancer.OnTick(m_now);
  }
  // Lets time pass as a process without stalls and without packets does.
  void ReadFor(Duration span) {
    Drain();
    const TimePoint end = m_now + span;
    while (m_now < end) {
      m_now = std::min<TimePoint>(end, m_now + milliseconds(50));
      Drain();
      m_balancer.Sweep(m_now);
    }
  }

  void AssertOnlyTarget(std::uint64_t number) {
    for (int i = 0; i < 20; ++i) {
      m_now += milliseconds(10);
      const Forwarding opened =
          m_balancer.OnPacket(Opening(m_next_port++), kSyn, m_now);
      CPPUNIT_ASSERT_EQUAL(number, opened.target);
    }
  }

  TimePoint m_now{std::chrono::seconds(100)};
  std::mt19937_64 m_random{11};
  bool m_is_gathering = false;
  std::vector<TargetHealthEvent> m_reported;
  std::uint16_t m_next_port = 1000;
  std::vector<FlowTiming> m_timings;
  TargetDirectory m_directory;
  RouteTable m_routes;  // As last passed to m_balancer.
  CookieBalancer m_balancer = MakeBalancer();
};

CPPUNIT_TEST_SUITE_REGISTRATION(CookieBalancerTest);

}  // namespace
}  // namespace sardinelead
