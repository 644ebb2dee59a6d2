#include "sardinelead/cookie_balancer.h"

#include "cookie_balancer_fixture.h"
#include "packet_hold.h"

namespace sardinelead {
namespace {

class CookieBalancerTest : public CookieBalancerFixture {
  CPPUNIT_TEST_SUITE(CookieBalancerTest);
  CPPUNIT_TEST(AnyBalancerForwardsByTheCookie);
  CPPUNIT_TEST(AddressReuseLeadsNoPacketAstray);
  CPPUNIT_TEST(RestartAtTheSameAddressKeepsTheCookie);
  CPPUNIT_TEST(OpeningCopyGoesToNoOtherStart);
  CPPUNIT_TEST(UnknownCookieIsHeldNotReset);
  CPPUNIT_TEST(CopiesOfAnOpeningPacketGoToItsTarget);
  CPPUNIT_TEST(CopiesAreNotPlacedByOtherBalancers);
  CPPUNIT_TEST(PacketsAfterTheEndOpenNoFlow);
  CPPUNIT_TEST(PortThatIsUsedAgainFollowsTheNewCookie);
  CPPUNIT_TEST(DrainingAndSilentTargetsTakeNoNewFlows);
  CPPUNIT_TEST(SilentTargetsAreUsedWhereThereAreNoOthers);
  CPPUNIT_TEST(AnnouncedEndResetsNoFlow);
  CPPUNIT_TEST(PacketsOfAnEndedTargetAlsoGoToItsSuccessor);
  CPPUNIT_TEST(PacketsOfAnEarlierStartAlsoGoToTheLaterOne);
  CPPUNIT_TEST(IdleFlowsAreProbedOnceForEachOccupant);
  CPPUNIT_TEST(EntryOfAnUnknownPoolResetsNoFlow);
  CPPUNIT_TEST(NewFlowsWithoutARouteAreRefusedAtOnce);
  CPPUNIT_TEST(PacketsWithoutARouteAreDropped);
  CPPUNIT_TEST(ChangeOfRoutesActsAsTheWholeTable);
  CPPUNIT_TEST(OlderRoutesAreIgnored);
  CPPUNIT_TEST(GatheringBalancerHoldsPackets);
  CPPUNIT_TEST(ReportsFlowTimings);
  CPPUNIT_TEST(RequestAnsweredViaAnotherBalancerIsNotLoad);
  CPPUNIT_TEST(ForgetsIdleFlows);
  CPPUNIT_TEST(PacketHoldIsBounded);
  CPPUNIT_TEST(HeldPacketsExpireThoughTheyAreRetried);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AnyBalancerForwardsByTheCookie() {
    const Forwarding opened = m_balancer.OnPacket(Opening(1), m_now);
    CPPUNIT_ASSERT(opened.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(CookieOf(opened.target), opened.cookie);
    CookieBalancer other = MakeBalancer();
    other.SetRoutes(m_routes);
    const Forwarding next = other.OnPacket(Data(1, opened.cookie, 1), m_now);
    CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(opened.target, next.target);
    CPPUNIT_ASSERT(next.address == opened.address);
    CPPUNIT_ASSERT_EQUAL(opened.cookie, next.cookie);
  }

  // The target that now has the address gets packets of the old flow only under
  // its own number, so that it resets what it does not hold.
  void AddressReuseLeadsNoPacketAstray() {
    // Where the reuse is not known yet, the old number keeps them away.
    CPPUNIT_ASSERT_EQUAL(
        std::uint64_t{1},
        m_balancer.OnPacket(Data(1, CookieOf(1), 1), m_now).target);
    AddTarget(9, "10.0.0.1:80", 500, "gallery");
    const Forwarding next = m_balancer.OnPacket(Data(1, CookieOf(1), 1), m_now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, next.copy->target);
    for (std::uint16_t port = 100; port < 150; ++port) {
      const Forwarding opened = m_balancer.OnPacket(Opening(port), m_now);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, opened.target);
    }
  }

  // Guards against packets that are held or dropped where a balancer knows
  // another start than the one that the flow is at.
  void RestartAtTheSameAddressKeepsTheCookie() {
    const std::uint32_t cookie = CookieOf(1);
    AddTarget(1, "10.0.0.1:80", 900);
    CPPUNIT_ASSERT_EQUAL(cookie, CookieOf(1));
    const Forwarding next = m_balancer.OnPacket(Data(1, cookie, 1), m_now);
    CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
    CPPUNIT_ASSERT(!next.copy.has_value());
  }

  // Guards against a flow that has two targets, the second one of another pool.
  void OpeningCopyGoesToNoOtherStart() {
    const std::uint64_t target = m_balancer.OnPacket(Opening(1), m_now).target;
    AddTarget(target, "10.0.0.7:80", 900, "gallery");
    CPPUNIT_ASSERT(m_balancer.OnPacket(OpeningCopy(1), m_now).action ==
                   ForwardAction::kDrop);
  }

  void UnknownCookieIsHeldNotReset() {
    const Forwarding unknown =
        m_balancer.OnPacket(Data(1, CookieOf(77), 1), m_now);
    CPPUNIT_ASSERT(unknown.action == ForwardAction::kHold);
    const Forwarding none = m_balancer.OnPacket(Data(1, 0, 1), m_now);
    CPPUNIT_ASSERT(none.action == ForwardAction::kDrop);
  }

  // Guards against flows at two targets: the one that answers later would
  // replace the cookie that leads to the flow's own (issue 38).
  void CopiesOfAnOpeningPacketGoToItsTarget() {
    const Forwarding first = m_balancer.OnPacket(Opening(1), m_now);
    for (const int wait_ms : {61, 139, 400, 2000}) {
      ReadFor(milliseconds(wait_ms));
      const Forwarding copy = m_balancer.OnPacket(OpeningCopy(1), m_now);
      CPPUNIT_ASSERT(copy.action == ForwardAction::kForward);
      CPPUNIT_ASSERT(copy.reason == ForwardReason::kPlacedCopy);
      CPPUNIT_ASSERT_EQUAL(first.target, copy.target);
      CPPUNIT_ASSERT_EQUAL(first.cookie, copy.cookie);
    }
    CPPUNIT_ASSERT_EQUAL(1U,
                         m_balancer.placement().Find(first.target)->opening);
    // A copy that was overtaken by the packet that opens the flow.
    m_balancer.OnPacket(Data(1, first.cookie, 1), m_now);
    CPPUNIT_ASSERT_EQUAL(first.target,
                         m_balancer.OnPacket(OpeningCopy(1), m_now).target);
  }

  // Guards against flows at two targets that two balancers selected (issue 38).
  void CopiesAreNotPlacedByOtherBalancers() {
    m_balancer.OnPacket(Opening(1), m_now);
    CookieBalancer other = MakeBalancer();
    other.SetRoutes(m_routes);
    const Forwarding copy = other.OnPacket(OpeningCopy(1), m_now);
    CPPUNIT_ASSERT(copy.action == ForwardAction::kDrop);
    CPPUNIT_ASSERT(copy.reason == ForwardReason::kUnplacedCopy);
    // Nor is it reset, since the flow may be open by now.
    FlowPacket unrouted = OpeningCopy(1);
    unrouted.flow.service.port = 9;
    CPPUNIT_ASSERT(other.OnPacket(unrouted, m_now).action ==
                   ForwardAction::kDrop);
    m_directory = TargetDirectory();
    CPPUNIT_ASSERT(other.OnPacket(OpeningCopy(1), m_now).action ==
                   ForwardAction::kDrop);
  }

  // The caller acknowledges the target's last packets after its own end.
  void PacketsAfterTheEndOpenNoFlow() {
    OpenAt(1, kService, 1);
    FlowPacket end = Data(1, CookieOf(1), 0);
    end.finishes = true;
    m_balancer.OnPacket(end, m_now);
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->open);
    const Forwarding last = m_balancer.OnPacket(Data(1, CookieOf(1), 0), m_now);
    CPPUNIT_ASSERT(last.action == ForwardAction::kForward);
    CPPUNIT_ASSERT(last.reason == ForwardReason::kByCookie);
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->open);
    DrainAt(m_now + 21 * kSecond);
    m_balancer.Sweep(m_now + 21 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_balancer.flow_count());
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->open);
  }

  // Guards against packets that follow the record of an earlier flow with the
  // same addresses to a target that does not hold the new one (issue 38).
  void PortThatIsUsedAgainFollowsTheNewCookie() {
    OpenAt(1, kService, 1);
    // The new flow opened through another balancer.
    const Forwarding next = m_balancer.OnPacket(Data(1, CookieOf(2), 1), m_now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, next.target);
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->open);
    CPPUNIT_ASSERT_EQUAL(1U, m_balancer.placement().Find(2)->open);
    // A first opening packet with another sequence number is a new flow as
    // well.
    FlowPacket again = Opening(1);
    again.sequence += 777;
    CPPUNIT_ASSERT(m_balancer.OnPacket(again, m_now).reason ==
                   ForwardReason::kPlaced);
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
    const Forwarding next = m_balancer.OnPacket(Data(1, CookieOf(1), 1), m_now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
  }

  // If all leases expire at once, the likely cause is the path of the
  // heartbeats, not the targets.
  void SilentTargetsAreUsedWhereThereAreNoOthers() {
    m_now += 10 * kSecond;
    const Forwarding opened = m_balancer.OnPacket(Opening(1), m_now);
    CPPUNIT_ASSERT(opened.action == ForwardAction::kForward);
    AddTarget(3, "10.0.0.3:80", 100);
    AssertOnlyTarget(3);
  }

  // Guards against resets of the flows of a target that has announced its end
  // and takes its time to exit, or has started again under its number, which is
  // not known here yet.
  void AnnouncedEndResetsNoFlow() {
    OpenAt(1, kService, 1);
    TargetAnnouncement ended = m_directory.Find(1)->announcement;
    ended.state = AnnouncedState::kEnded;
    ++ended.sequence;
    m_directory.Take(ended, m_now);
    for (int i = 0; i < 20; ++i) {
      m_now += kSecond;
      CPPUNIT_ASSERT(m_balancer.Sweep(m_now).empty());
      const Forwarding next =
          m_balancer.OnPacket(Data(1, CookieOf(1), 1), m_now);
      CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
    }
    // It gets no new ones.
    m_directory.Renew(2, m_now);
    AssertOnlyTarget(2);
  }

  // Guards against the reset of a flow whose target exists, though another one
  // at its address seems to have started later, and against callers that wait
  // for a target whose address another one has.
  void PacketsOfAnEndedTargetAlsoGoToItsSuccessor() {
    OpenAt(1, kService, 1);
    OpenAt(2, kService, 2);
    AddTarget(9, "10.0.0.1:80", 500, "gallery");
    FlowPacket packet = Data(1, CookieOf(1), 1);
    const Forwarding next = m_balancer.OnPacket(packet, m_now);
    CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
    CPPUNIT_ASSERT(next.reason == ForwardReason::kTargetEnded);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
    CPPUNIT_ASSERT(next.copy.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, next.copy->target);
    CPPUNIT_ASSERT(next.copy->address == next.address);
    CPPUNIT_ASSERT(
        !m_balancer.OnPacket(Data(2, CookieOf(2), 1), m_now).copy.has_value());
    // It counts as load of neither target.
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_balancer.flow_count());
    packet.resets = true;
    CPPUNIT_ASSERT(!m_balancer.OnPacket(packet, m_now).copy.has_value());
  }

  // Guards against callers that learn only with their next request, which may
  // not be sent twice, that their target is gone.
  void IdleFlowsAreProbedOnceForEachOccupant() {
    const Bytes bare(32, 7);
    for (const std::uint64_t target : {1, 2}) {
      const auto port = static_cast<std::uint16_t>(target);
      FlowPacket packet = Data(port, CookieOf(target), 0);
      packet.bytes = bare;
      m_balancer.OnPacket(packet, m_now);
    }
    CPPUNIT_ASSERT(m_balancer.Sweep(m_now).empty());
    AddTarget(9, "10.0.0.1:80", 500, "gallery");
    const auto probes = m_balancer.Sweep(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, probes.size());
    CPPUNIT_ASSERT(probes[0].flow == MakeFlowKey(1, kService));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, probes[0].copy.target);
    CPPUNIT_ASSERT(probes[0].packet == bare);
    AddTarget(8, "10.0.0.8:80", 500);
    CPPUNIT_ASSERT(m_balancer.Sweep(m_now).empty());
    AddTarget(7, "10.0.0.1:80", 700, "gallery");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7},
                         m_balancer.Sweep(m_now).at(0).copy.target);
    AddTarget(2, "10.0.0.2:80", 900);  // In place.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2},
                         m_balancer.Sweep(m_now).at(0).copy.target);
    CPPUNIT_ASSERT(m_balancer.Sweep(m_now).empty());
    // The flow may be open all the same.
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_balancer.flow_count());
  }

  // Guards against callers that wait for the earlier start of a target that has
  // started again elsewhere.
  void PacketsOfAnEarlierStartAlsoGoToTheLaterOne() {
    const std::uint32_t earlier = CookieOf(1);
    AddTarget(1, "10.0.0.3:80", 900);
    const Forwarding next = m_balancer.OnPacket(Data(1, earlier, 1), m_now);
    CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
    CPPUNIT_ASSERT(next.address == *Endpoint::Parse("10.0.0.1:80"));
    CPPUNIT_ASSERT_EQUAL(earlier, next.cookie);
    CPPUNIT_ASSERT(next.copy.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.copy->target);
    CPPUNIT_ASSERT(next.copy->address == *Endpoint::Parse("10.0.0.3:80"));
  }

  // Guards against resets of a living target's flows after a heartbeat for a
  // service that is not configured, at its address (review, case 4).
  void EntryOfAnUnknownPoolResetsNoFlow() {
    AddTarget(9, "10.0.0.1:80", 500, "batch-agent");
    m_now += 2 * kSecond;
    const Forwarding next = m_balancer.OnPacket(Data(1, CookieOf(1), 1), m_now);
    CPPUNIT_ASSERT(next.action == ForwardAction::kForward);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, next.target);
    std::set<std::uint64_t> used;
    for (std::uint16_t port = 100; port < 150; ++port) {
      used.insert(m_balancer.OnPacket(Opening(port), m_now).target);
    }
    CPPUNIT_ASSERT(used == (std::set<std::uint64_t>{1, 2}));
  }

  void NewFlowsWithoutARouteAreRefusedAtOnce() {
    FlowPacket packet = Opening(1);
    packet.flow.service.port = 9;
    const Forwarding refused = m_balancer.OnPacket(packet, m_now);
    CPPUNIT_ASSERT(refused.action == ForwardAction::kReset);
    CPPUNIT_ASSERT(refused.reason == ForwardReason::kNoRoute);
    // A copy may be of a flow that has opened under a newer table.
    packet.is_copy = true;
    CPPUNIT_ASSERT(m_balancer.OnPacket(packet, m_now).action ==
                   ForwardAction::kDrop);
  }

  void AssertDropped(ForwardReason reason, const FlowPacket& packet) {
    const Forwarding out = m_balancer.OnPacket(packet, m_now);
    CPPUNIT_ASSERT(out.action == ForwardAction::kDrop);
    CPPUNIT_ASSERT(out.reason == reason);
  }

  void PacketsWithoutARouteAreDropped() {
    const FlowPacket removed = Data(1, OpenHere(1, kNotes), 1, kNotes);
    SetRoutes(2, {kService});
    AssertDropped(ForwardReason::kRouteRemoved, removed);
    // Another balancer may have a newer table that contains this route.
    FlowPacket unknown = removed;
    unknown.flow.service.port = 9;
    AssertDropped(ForwardReason::kNoRoute, unknown);
    // So may it contain the removed route again, for flows that are new here.
    const FlowPacket opened_later = Data(2, CookieOf(1), 1, kNotes);
    AssertDropped(ForwardReason::kRouteRemoved, opened_later);
    SetRoutes(3, {kService, kNotes});
    CPPUNIT_ASSERT(m_balancer.OnPacket(removed, m_now).action ==
                   ForwardAction::kForward);
  }

  void ChangeOfRoutesActsAsTheWholeTable() {
    const FlowPacket removed = Data(1, OpenHere(1, kNotes), 1, kNotes);
    RouteChange change;
    change.base = ConfigVersion{1};
    change.version = ConfigVersion{2};
    change.removed = {kNotes};
    Route added = m_routes.routes[0];
    added.address.port = 9;
    change.changed = {added};
    CPPUNIT_ASSERT(m_balancer.ApplyRouteChange(change).has_value());
    AssertDropped(ForwardReason::kRouteRemoved, removed);
    CPPUNIT_ASSERT(
        m_balancer.OnPacket(Opening(2, added.address), m_now).action ==
        ForwardAction::kForward);
    CPPUNIT_ASSERT(m_balancer.OnPacket(Opening(3), m_now).action ==
                   ForwardAction::kForward);
    // The same change does not fit a second time.
    CPPUNIT_ASSERT(!m_balancer.ApplyRouteChange(change).has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_balancer.routes().version.value);
  }

  void OlderRoutesAreIgnored() {
    SetRoutes(5, {kService, kNotes});
    SetRoutes(4, {kService});
    CPPUNIT_ASSERT(m_balancer.OnPacket(Opening(1, kNotes), m_now).action ==
                   ForwardAction::kForward);
  }

  void GatheringBalancerHoldsPackets() {
    CookieBalancer fresh = MakeBalancer();
    CPPUNIT_ASSERT(fresh.OnPacket(Opening(1), m_now).action ==
                   ForwardAction::kHold);
    m_directory = TargetDirectory();
    m_is_gathering = true;
    CPPUNIT_ASSERT(m_balancer.OnPacket(Opening(1), m_now).action ==
                   ForwardAction::kHold);
    m_is_gathering = false;
    const Forwarding refused = m_balancer.OnPacket(Opening(1), m_now);
    CPPUNIT_ASSERT(refused.action == ForwardAction::kReset);
    CPPUNIT_ASSERT(refused.reason == ForwardReason::kNoTarget);
  }

  void ReportsFlowTimings() {
    const Forwarding opened = m_balancer.OnPacket(Opening(1), m_now);
    m_balancer.OnPacket(OpeningCopy(1), m_now + milliseconds(200));
    m_now += milliseconds(210);
    m_balancer.OnPacket(Data(1, opened.cookie, 100), m_now);
    FlowPacket answered = Data(1, opened.cookie, 0);
    answered.acknowledged += 500;
    m_now += milliseconds(60);
    m_balancer.OnPacket(answered, m_now);
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
    m_balancer.OnPacket(answered, m_now);
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
    const std::vector<std::uint8_t> both{1, 2};
    CPPUNIT_ASSERT(Retry(&hold, true) == both);
    CPPUNIT_ASSERT(hold.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold.dropped());
  }

  // Guards against packets that are sent many seconds late, since each retry
  // restarted their age.
  void HeldPacketsExpireThoughTheyAreRetried() {
    PacketHold hold{PacketHoldSettings{}};
    hold.Add(Bytes{7}, m_now);
    const std::vector<std::uint8_t> one{7};
    for (int i = 0; i < 2; ++i) {
      m_now += milliseconds(600);
      CPPUNIT_ASSERT(Retry(&hold, false) == one);
    }
    m_now += milliseconds(1);
    CPPUNIT_ASSERT(Retry(&hold, false).empty());
    CPPUNIT_ASSERT(hold.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hold.dropped());
  }

 private:
  // Returns the first bytes of the packets that are retried, as read when the
  // batch is flushed. Guards against packets that are freed before that.
  std::vector<std::uint8_t> Retry(PacketHold* hold, bool is_forwarded) const {
    std::vector<std::uint8_t> retried;
    std::vector<ByteView> batch;
    hold->Retry(
        m_now,
        [&](ByteView packet) {
          batch.push_back(packet);
          return is_forwarded;
        },
        [&] {
          for (const ByteView packet : batch) {
            retried.push_back(packet.data[0]);
          }
        });
    return retried;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CookieBalancerTest);

}  // namespace
}  // namespace sardinelead
