#include "sardinelead/target_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace sardinelead {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);
const std::set<std::string> kPools = {"orders", "gallery"};

TargetAnnouncement MakeNews(std::uint64_t number, std::uint64_t started,
                            std::uint64_t sequence, const char* address) {
  TargetAnnouncement announcement;
  announcement.number = number;
  announcement.started_ms = started;
  announcement.sequence = sequence;
  announcement.pool = "orders";
  announcement.address = *Endpoint::Parse(address);
  announcement.data_centre = "a";
  return announcement;
}

std::uint32_t CookieOf(const TargetAnnouncement& announcement) {
  return CookieOf(announcement.number, announcement.address);
}

class TargetDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetDirectoryTest);
  CPPUNIT_TEST(StaleNewsIsIgnored);
  CPPUNIT_TEST(OrderOfNewsDoesNotMatter);
  CPPUNIT_TEST(RestartWithTheSameNumberReplacesTheEntry);
  CPPUNIT_TEST(NewestTargetOwnsTheAddress);
  CPPUNIT_TEST(CookieNamesOneAddress);
  CPPUNIT_TEST(AddressOfAnUnknownPoolIsKept);
  CPPUNIT_TEST(KeepsAFewAddresses);
  CPPUNIT_TEST(DelayedNewsDoesNotReviveAnEndedTarget);
  CPPUNIT_TEST(RenewalKeepsTheRevision);
  CPPUNIT_TEST(SilentTargetsAreForgotten);
  CPPUNIT_TEST(EntryOfAnUnknownPoolEndsNoTarget);
  CPPUNIT_TEST(EntryOfAnUnknownPoolReplacesNoTarget);
  CPPUNIT_TEST(PoolThatIsConfiguredLaterTakesItsAddress);
  CPPUNIT_TEST(SharesBelongToOneStart);
  CPPUNIT_TEST(WarmUpWithoutRestartIsAChange);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { m_directory.SetPools(kPools, m_now); }

  // The shares of an earlier start may belong to other balancers.
  void SharesBelongToOneStart() {
    const WarmUpShares shares = {{NodeId{1}, 3}};
    m_directory.SetWarmUpShares(1, 100, shares);  // Not announced yet.
    m_directory.Take(MakeNews(1, 100, 1, "10.0.0.1:80"), m_now);
    m_directory.SetWarmUpShares(1, 99, shares);
    CPPUNIT_ASSERT(!m_directory.Find(1)->warm_up_shares);
    const std::uint64_t revision = m_directory.revision();
    m_directory.SetWarmUpShares(1, 100, shares);
    m_directory.SetWarmUpShares(1, 100, {});
    CPPUNIT_ASSERT(m_directory.Find(1)->warm_up_shares == shares);
    CPPUNIT_ASSERT_EQUAL(revision + 1, m_directory.revision());
    m_directory.Take(MakeNews(1, 100, 2, "10.0.0.1:80"), m_now);
    CPPUNIT_ASSERT(m_directory.Find(1)->warm_up_shares == shares);
    m_directory.Take(MakeNews(1, 101, 1, "10.0.0.1:80"), m_now);
    CPPUNIT_ASSERT(!m_directory.Find(1)->warm_up_shares);
  }

  // Balancers get heartbeats without announcements unless something changed.
  void WarmUpWithoutRestartIsAChange() {
    TargetAnnouncement news = MakeNews(1, 100, 1, "10.0.0.1:80");
    const auto take = [&](Duration left) {
      ++news.sequence;
      news.warm_up_left = left;
      m_now += kSecond;
      return m_directory.Take(news, m_now);
    };
    CPPUNIT_ASSERT(take(2 * kSecond) == AnnouncementEffect::kChanged);
    CPPUNIT_ASSERT(take(kSecond) == AnnouncementEffect::kRenewed);
    CPPUNIT_ASSERT(take(Duration{0}) == AnnouncementEffect::kRenewed);
    CPPUNIT_ASSERT(take(9 * kSecond) == AnnouncementEffect::kChanged);
    CPPUNIT_ASSERT(take(8 * kSecond) == AnnouncementEffect::kRenewed);
    CPPUNIT_ASSERT(take(9 * kSecond) == AnnouncementEffect::kChanged);
  }

  void StaleNewsIsIgnored() {
    TargetAnnouncement draining = MakeNews(1, 100, 5, "10.0.0.1:80");
    draining.state = AnnouncedState::kDraining;
    CPPUNIT_ASSERT(m_directory.Take(draining, m_now) ==
                   AnnouncementEffect::kChanged);
    const TargetAnnouncement late = MakeNews(1, 100, 4, "10.0.0.1:80");
    CPPUNIT_ASSERT(m_directory.Take(late, m_now) == AnnouncementEffect::kStale);
    CPPUNIT_ASSERT(StateOf(1) == AnnouncedState::kDraining);
  }

  void OrderOfNewsDoesNotMatter() {
    std::vector<TargetAnnouncement> announcement;
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
      announcement.push_back(MakeNews(1, 100, sequence, "10.0.0.1:80"));
    }
    announcement[3].state = AnnouncedState::kDraining;
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
      TargetDirectory directory;
      for (const std::size_t i : order) directory.Take(announcement[i], m_now);
      CPPUNIT_ASSERT(directory.Find(1)->announcement.state ==
                     AnnouncedState::kDraining);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4},
                           directory.Find(1)->announcement.sequence);
    } while (std::next_permutation(order.begin(), order.end()));
  }

  void RestartWithTheSameNumberReplacesTheEntry() {
    TargetAnnouncement ended = MakeNews(1, 100, 9, "10.0.0.1:80");
    ended.state = AnnouncedState::kEnded;
    m_directory.Take(ended, m_now);
    const TargetAnnouncement again = MakeNews(1, 200, 1, "10.0.0.1:80");
    CPPUNIT_ASSERT(m_directory.Take(again, m_now) ==
                   AnnouncementEffect::kChanged);
    CPPUNIT_ASSERT(StateOf(1) == AnnouncedState::kReady);
    CPPUNIT_ASSERT(m_directory.Take(ended, m_now) ==
                   AnnouncementEffect::kStale);
  }

  // The address of an old target is reused by a target of another service. The
  // result must not depend on whose announcement is received first.
  void NewestTargetOwnsTheAddress() {
    const TargetAnnouncement old_target = MakeNews(1, 100, 9, "10.0.0.1:80");
    TargetAnnouncement new_target = MakeNews(2, 300, 1, "10.0.0.1:80");
    new_target.pool = "gallery";
    for (const bool is_old_first : {true, false}) {
      TargetDirectory directory;
      directory.SetPools(kPools, m_now);
      directory.Take(is_old_first ? old_target : new_target, m_now);
      directory.Take(is_old_first ? new_target : old_target, m_now);
      CPPUNIT_ASSERT(directory.Find(1)->announcement.state ==
                     AnnouncedState::kEnded);
      CPPUNIT_ASSERT(directory.Find(2)->announcement.state ==
                     AnnouncedState::kReady);
      CPPUNIT_ASSERT(directory.FindByCookie(CookieOf(new_target))
                         ->entry->announcement.number == 2);
    }
  }

  // Guards against packets of flows at one address of a target that go to
  // another, whatever order the addresses become known in.
  void CookieNamesOneAddress() {
    const TargetAnnouncement first = MakeNews(1, 100, 9, "10.0.0.1:80");
    const TargetAnnouncement second = MakeNews(1, 300, 1, "10.0.0.2:80");
    for (const bool is_first_known_first : {true, false}) {
      TargetDirectory directory;
      directory.SetPools(kPools, m_now);
      directory.Take(is_first_known_first ? first : second, m_now);
      const std::uint64_t revision = directory.revision();
      directory.Take(is_first_known_first ? second : first, m_now);
      // Packets that are held for either are retried.
      CPPUNIT_ASSERT(directory.revision() > revision);
      CPPUNIT_ASSERT(directory.Find(1)->announcement.started_ms == 300);
      for (const TargetAnnouncement& announcement : {first, second}) {
        const auto location = directory.FindByCookie(CookieOf(announcement));
        CPPUNIT_ASSERT(location->address == announcement.address);
        CPPUNIT_ASSERT_EQUAL(announcement.started_ms, location->started_ms);
        CPPUNIT_ASSERT(directory.FindOccupant(*location).address ==
                       second.address);
      }
      directory.RemoveSilent(kSecond, m_now + kSecond);
      CPPUNIT_ASSERT(!directory.FindByCookie(CookieOf(first)));
      CPPUNIT_ASSERT(!directory.FindByCookie(CookieOf(second)));
    }
  }

  // Guards against a start that stays unknown when its pool is configured.
  void AddressOfAnUnknownPoolIsKept() {
    m_directory.Take(MakeNews(1, 100, 1, "10.0.0.1:80"), m_now);
    TargetAnnouncement moved = MakeNews(1, 300, 1, "10.0.0.2:80");
    moved.pool = "unknown";
    CPPUNIT_ASSERT(m_directory.Take(moved, m_now) ==
                   AnnouncementEffect::kForeign);
    CPPUNIT_ASSERT(m_directory.FindByCookie(CookieOf(moved)).has_value());
  }

  // Guards against unbounded memory for a target that moves again and again.
  void KeepsAFewAddresses() {
    TargetAnnouncement announcement = MakeNews(1, 1, 1, "10.0.0.1:80");
    const std::uint32_t first = CookieOf(announcement);
    for (; announcement.started_ms <= 100;
         ++announcement.started_ms, ++announcement.address.port) {
      m_directory.Take(announcement, m_now);
    }
    CPPUNIT_ASSERT(m_directory.Find(1)->other_addresses.size() <= 8);
    CPPUNIT_ASSERT(!m_directory.FindByCookie(first));
    announcement.address.port -= 2;
    CPPUNIT_ASSERT(
        m_directory.FindByCookie(CookieOf(announcement)).has_value());
  }

  void DelayedNewsDoesNotReviveAnEndedTarget() {
    m_directory.Take(MakeNews(1, 100, 9, "10.0.0.1:80"), m_now);
    m_directory.Take(MakeNews(2, 300, 1, "10.0.0.1:80"), m_now);
    const TargetAnnouncement delayed = MakeNews(1, 100, 10, "10.0.0.1:80");
    CPPUNIT_ASSERT(m_directory.Take(delayed, m_now) ==
                   AnnouncementEffect::kStale);
    CPPUNIT_ASSERT(StateOf(1) == AnnouncedState::kEnded);
    CPPUNIT_ASSERT(StateOf(2) == AnnouncedState::kReady);
  }

  void RenewalKeepsTheRevision() {
    m_directory.Take(MakeNews(1, 100, 1, "10.0.0.1:80"), m_now);
    const std::uint64_t revision = m_directory.revision();
    const auto effect =
        m_directory.Take(MakeNews(1, 100, 2, "10.0.0.1:80"), m_now + kSecond);
    CPPUNIT_ASSERT(effect == AnnouncementEffect::kRenewed);
    CPPUNIT_ASSERT_EQUAL(revision, m_directory.revision());
    CPPUNIT_ASSERT(m_directory.Find(1)->heard_at == m_now + kSecond);
    m_directory.Renew(1, m_now + 2 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(1)->heard_at == m_now + 2 * kSecond);
    m_directory.Renew(1, m_now);
    CPPUNIT_ASSERT(m_directory.Find(1)->heard_at == m_now + 2 * kSecond);
    // Guards against balancers that take it for warm, as it did not restart.
    TargetAnnouncement cold = MakeNews(1, 100, 3, "10.0.0.1:80");
    cold.warm_up_left = 2 * kSecond;
    CPPUNIT_ASSERT(m_directory.Take(cold, m_now + 2 * kSecond) ==
                   AnnouncementEffect::kChanged);
    cold.sequence = 4;
    CPPUNIT_ASSERT(m_directory.Take(cold, m_now + 3 * kSecond) ==
                   AnnouncementEffect::kRenewed);
  }

  void SilentTargetsAreForgotten() {
    m_directory.Take(MakeNews(1, 100, 1, "10.0.0.1:80"), m_now);
    m_directory.RemoveSilent(10 * kSecond, m_now + 9 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(1) != nullptr);
    m_directory.RemoveSilent(10 * kSecond, m_now + 10 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(1) == nullptr);
    CPPUNIT_ASSERT(!m_directory.FindByCookie(
        CookieOf(1, *Endpoint::Parse("10.0.0.1:80"))));
    // The address is free again.
    m_directory.Take(MakeNews(2, 50, 1, "10.0.0.1:80"), m_now + 10 * kSecond);
    CPPUNIT_ASSERT(StateOf(2) == AnnouncedState::kReady);
  }

  static TargetAnnouncement MakeForeignNews(std::uint64_t number,
                                            std::uint64_t started) {
    TargetAnnouncement foreign = MakeNews(number, started, 1, "10.0.0.1:80");
    foreign.pool = "batch-agent";
    return foreign;
  }

  // Guards against living targets that are ended by a heartbeat for a service
  // that is not configured, at their address (review, case 4).
  void EntryOfAnUnknownPoolEndsNoTarget() {
    const TargetAnnouncement living = MakeNews(1, 100, 9, "10.0.0.1:80");
    for (const bool is_foreign_first : {false, true}) {
      // The configuration may arrive after the announcements.
      for (const bool is_configured_first : {false, true}) {
        int replaced = 0;
        TargetDirectory directory(
            [&replaced](const TargetAnnouncement&, const TargetAnnouncement&) {
              ++replaced;
            });
        if (is_configured_first) directory.SetPools(kPools, m_now);
        if (!is_foreign_first) directory.Take(living, m_now);
        directory.Take(MakeForeignNews(2, 500), m_now);
        if (is_foreign_first) directory.Take(living, m_now);
        directory.SetPools(kPools, m_now);
        CPPUNIT_ASSERT(directory.Find(1)->announcement.state ==
                       AnnouncedState::kReady);
        const TargetAnnouncement next = MakeNews(1, 100, 10, "10.0.0.1:80");
        CPPUNIT_ASSERT(directory.Take(next, m_now) ==
                       AnnouncementEffect::kRenewed);
        CPPUNIT_ASSERT_EQUAL(0, replaced);
      }
    }
  }

  // The same fault by way of the target's own number.
  void EntryOfAnUnknownPoolReplacesNoTarget() {
    const TargetAnnouncement living = MakeNews(1, 100, 9, "10.0.0.1:80");
    m_directory.Take(living, m_now);
    CPPUNIT_ASSERT(m_directory.Take(MakeForeignNews(1, 500), m_now) ==
                   AnnouncementEffect::kForeign);
    CPPUNIT_ASSERT_EQUAL(std::string("orders"),
                         m_directory.Find(1)->announcement.pool);
    // It came first, and claims to have started later.
    m_directory.Take(MakeForeignNews(3, 500), m_now);
    m_directory.Take(MakeNews(3, 100, 1, "10.0.0.3:80"), m_now);
    CPPUNIT_ASSERT_EQUAL(std::string("orders"),
                         m_directory.Find(3)->announcement.pool);
  }

  void PoolThatIsConfiguredLaterTakesItsAddress() {
    std::vector<std::uint64_t> ended;
    TargetDirectory directory([&ended](const TargetAnnouncement& target,
                                       const TargetAnnouncement& successor) {
      ended.push_back(target.number);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, successor.number);
    });
    directory.SetPools(kPools, m_now);
    directory.Take(MakeNews(1, 100, 9, "10.0.0.1:80"), m_now);
    directory.Take(MakeForeignNews(2, 500), m_now);
    const std::uint64_t revision = directory.revision();
    directory.SetPools({"orders", "gallery", "batch-agent"}, m_now + kSecond);
    const TargetDirectory::Entry* entry = directory.Find(1);
    CPPUNIT_ASSERT(entry->announcement.state == AnnouncedState::kEnded);
    CPPUNIT_ASSERT(entry->ended_at == m_now + kSecond);
    CPPUNIT_ASSERT(entry->revision > revision);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.size());
  }

 private:
  AnnouncedState StateOf(std::uint64_t number) const {
    return m_directory.Find(number)->announcement.state;
  }

  TimePoint m_now{kSecond};
  TargetDirectory m_directory;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetDirectoryTest);

}  // namespace
}  // namespace sardinelead
