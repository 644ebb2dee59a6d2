// New flows to targets that are warming up, in a pool with a quota. Target 1 is
// warming up, target 2 is warm.

#include "cookie_balancer_fixture.h"

namespace sardinelead {
namespace {

const NodeId kSelf{9};

class CookieBalancerWarmUpTest : public CookieBalancerFixture {
  CPPUNIT_TEST_SUITE(CookieBalancerWarmUpTest);
  CPPUNIT_TEST(TargetWithoutAShareGetsNothing);
  CPPUNIT_TEST(ShareIsUsedUpToItsLimit);
  CPPUNIT_TEST(CopiesCountAndAreDroppedBeyondTheShare);
  CPPUNIT_TEST(OnlyColdTargetsRefuseAtOnce);
  CPPUNIT_TEST(ExpiredLeaseDoesNotOpenAColdTarget);
  CPPUNIT_TEST(WarmTargetIsNotLimited);
  CPPUNIT_TEST(TargetsOfAFinishedEvacuationNeedAShare);
  CPPUNIT_TEST(WithoutTheSettingOrTheQuotaNothingChanges);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CookieBalancerFixture::setUp();
    Start(true, 10 * kSecond);
    Announce(1, "10.0.0.1:80", 20 * kSecond);
    ReadFor(2 * kSecond);
  }

  void TargetWithoutAShareGetsNothing() {
    AssertOnlyTarget(2);
    m_directory.SetWarmUpShares(1, 200, {{NodeId{8}, 5}});
    AssertOnlyTarget(2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_balancer.CountWithheld(m_now));
  }

  void ShareIsUsedUpToItsLimit() {
    m_directory.SetWarmUpShares(1, 200, {{NodeId{8}, 5}, {kSelf, 3}});
    CPPUNIT_ASSERT_EQUAL(3, CountOpened(1, 40));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_balancer.warm_up_counts().used);
    CPPUNIT_ASSERT_EQUAL(0, CountOpened(1, 40));
    ReadFor(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_balancer.CountWithheld(m_now));
    CPPUNIT_ASSERT_EQUAL(3, CountOpened(1, 40));
    // Another start of the target has no share yet.
    Announce(1, "10.0.0.1:80", 20 * kSecond, 300);
    ReadFor(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(0, CountOpened(1, 40));
  }

  void CopiesCountAndAreDroppedBeyondTheShare() {
    OnlyTarget1();
    m_directory.SetWarmUpShares(1, 200, {{kSelf, 2}});
    CPPUNIT_ASSERT(Open(1).reason == ForwardReason::kPlaced);
    CPPUNIT_ASSERT(OpenCopy(1).reason == ForwardReason::kPlacedCopy);
    const Forwarding dropped = OpenCopy(1);
    CPPUNIT_ASSERT(dropped.action == ForwardAction::kDrop);
    CPPUNIT_ASSERT(dropped.reason == ForwardReason::kWarmUpLimit);
    ReadFor(2 * kSecond);
    CPPUNIT_ASSERT(OpenCopy(1).reason == ForwardReason::kPlacedCopy);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_balancer.warm_up_counts().refused);
  }

  // A caller that is held instead loses the time in which it could reach
  // another balancer.
  void OnlyColdTargetsRefuseAtOnce() {
    OnlyTarget1();
    for (const bool is_gathering : {false, true}) {
      m_is_gathering = is_gathering;
      const Forwarding refused = Open(m_next_port++);
      CPPUNIT_ASSERT(refused.action == ForwardAction::kReset);
      CPPUNIT_ASSERT(refused.reason == ForwardReason::kWarmUpLimit);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_balancer.flow_count());
  }

  void ExpiredLeaseDoesNotOpenAColdTarget() {
    OnlyTarget1();
    ReadFor(5 * kSecond);
    CPPUNIT_ASSERT(Open(1).reason == ForwardReason::kWarmUpLimit);
  }

  void WarmTargetIsNotLimited() {
    OnlyTarget1();
    ReadFor(16 * kSecond);
    CPPUNIT_ASSERT(Open(1).reason == ForwardReason::kWarmUpLimit);
    ReadFor(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(20, CountOpened(1, 20));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_balancer.warm_up_counts().used);
  }

  // They may have become cold and not have said so yet.
  void TargetsOfAFinishedEvacuationNeedAShare() {
    Announce(1, "10.0.0.1:80", Duration{0}, 300);
    EvacuationReport orders;
    orders.table.Set("a", true, 5);
    m_balancer.SetEvacuations(orders, m_now);
    CPPUNIT_ASSERT(Open(1).reason == ForwardReason::kEvacuated);
    m_now += milliseconds(1);
    orders.table.Set("a", false, 6);
    m_balancer.SetEvacuations(orders, m_now);
    CPPUNIT_ASSERT(Open(2).reason == ForwardReason::kWarmUpLimit);
    m_directory.Renew(1, m_now);
    ReadFor(kSecond);
    CPPUNIT_ASSERT(Open(3).reason == ForwardReason::kPlaced);
  }

  void WithoutTheSettingOrTheQuotaNothingChanges() {
    OnlyTarget1();
    Start(false, 10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(20, CountOpened(1, 20));
    Start(true, Duration{0});
    CPPUNIT_ASSERT_EQUAL(20, CountOpened(1, 20));
    Start(true, 10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(0, CountOpened(1, 20));
  }

 private:
  // Starts a balancer with the pool's warm-up of this length.
  void Start(bool limits_warm_up, Duration warm_up) {
    CookieBalancerSettings settings;
    settings.self = kSelf;
    settings.limits_warm_up = limits_warm_up;
    m_balancer = MakeBalancer(settings);
    m_routes.pools[0].warm_up = warm_up;
    m_routes.pools[0].warm_up_rate = 5;
    m_balancer.SetRoutes(m_routes);
    Drain();
  }
  void Announce(std::uint64_t number, const char* address, Duration left,
                std::uint64_t started = 200,
                AnnouncedState state = AnnouncedState::kReady) {
    TargetAnnouncement announcement = m_directory.Find(number)->announcement;
    announcement.address = *Endpoint::Parse(address);
    announcement.started_ms = started;
    announcement.warm_up_left = left;
    announcement.state = state;
    m_directory.Take(announcement, m_now);
  }
  void OnlyTarget1() {
    Announce(2, "10.0.0.2:80", Duration{0}, 200, AnnouncedState::kDraining);
  }
  Forwarding Open(std::uint16_t port) {
    m_now += milliseconds(1);
    const Forwarding out = m_balancer.OnPacket(Opening(port), m_now);
    Drain();
    return out;
  }
  Forwarding OpenCopy(std::uint16_t port) {
    return m_balancer.OnPacket(OpeningCopy(port), m_now);
  }
  // Opens flows within 40 ms, which are answered at once.
  int CountOpened(std::uint64_t target, int flows) {
    int count = 0;
    for (int i = 0; i < flows; ++i) {
      const Forwarding out = Open(m_next_port);
      if (out.action == ForwardAction::kForward) {
        m_balancer.OnPacket(Data(m_next_port, out.cookie, 0), m_now);
      }
      ++m_next_port;
      count += out.target == target ? 1 : 0;
    }
    return count;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CookieBalancerWarmUpTest);

}  // namespace
}  // namespace sardinelead
