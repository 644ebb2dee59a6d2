#include "sardinelead/target_directory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <vector>

namespace sardinelead {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

TargetNews MakeNews(std::uint64_t number, std::uint64_t started,
                    std::uint64_t sequence, const char* address) {
  TargetNews news;
  news.number = number;
  news.started_ms = started;
  news.sequence = sequence;
  news.pool = "orders";
  news.address = *Endpoint::Parse(address);
  news.data_centre = "a";
  return news;
}

class TargetDirectoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetDirectoryTest);
  CPPUNIT_TEST(StaleNewsIsIgnored);
  CPPUNIT_TEST(OrderOfNewsDoesNotMatter);
  CPPUNIT_TEST(RestartWithTheSameNumberReplacesTheEntry);
  CPPUNIT_TEST(NewestTargetOwnsTheAddress);
  CPPUNIT_TEST(DelayedNewsDoesNotReviveAnEndedTarget);
  CPPUNIT_TEST(RenewalKeepsTheRevision);
  CPPUNIT_TEST(SilentTargetsAreForgotten);
  CPPUNIT_TEST_SUITE_END();

 public:
  void StaleNewsIsIgnored() {
    TargetNews draining = MakeNews(1, 100, 5, "10.0.0.1:80");
    draining.state = AnnouncedState::kDraining;
    CPPUNIT_ASSERT(m_directory.Take(draining, m_now) == NewsEffect::kChanged);
    const TargetNews late = MakeNews(1, 100, 4, "10.0.0.1:80");
    CPPUNIT_ASSERT(m_directory.Take(late, m_now) == NewsEffect::kStale);
    CPPUNIT_ASSERT(StateOf(1) == AnnouncedState::kDraining);
  }

  void OrderOfNewsDoesNotMatter() {
    std::vector<TargetNews> news;
    for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
      news.push_back(MakeNews(1, 100, sequence, "10.0.0.1:80"));
    }
    news[3].state = AnnouncedState::kDraining;
    std::vector<std::size_t> order = {0, 1, 2, 3};
    do {
      TargetDirectory directory;
      for (const std::size_t i : order) directory.Take(news[i], m_now);
      CPPUNIT_ASSERT(directory.Find(1)->news.state ==
                     AnnouncedState::kDraining);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, directory.Find(1)->news.sequence);
    } while (std::next_permutation(order.begin(), order.end()));
  }

  void RestartWithTheSameNumberReplacesTheEntry() {
    TargetNews ended = MakeNews(1, 100, 9, "10.0.0.1:80");
    ended.state = AnnouncedState::kEnded;
    m_directory.Take(ended, m_now);
    const TargetNews again = MakeNews(1, 200, 1, "10.0.0.1:80");
    CPPUNIT_ASSERT(m_directory.Take(again, m_now) == NewsEffect::kChanged);
    CPPUNIT_ASSERT(StateOf(1) == AnnouncedState::kReady);
    CPPUNIT_ASSERT(m_directory.Take(ended, m_now) == NewsEffect::kStale);
  }

  // The address of an old target is reused by a target of another service. The
  // result must not depend on whose announcement is received first.
  void NewestTargetOwnsTheAddress() {
    const TargetNews old_target = MakeNews(1, 100, 9, "10.0.0.1:80");
    TargetNews new_target = MakeNews(2, 300, 1, "10.0.0.1:80");
    new_target.pool = "gallery";
    for (const bool is_old_first : {true, false}) {
      TargetDirectory directory;
      directory.Take(is_old_first ? old_target : new_target, m_now);
      directory.Take(is_old_first ? new_target : old_target, m_now);
      CPPUNIT_ASSERT(directory.Find(1)->news.state == AnnouncedState::kEnded);
      CPPUNIT_ASSERT(directory.Find(2)->news.state == AnnouncedState::kReady);
      CPPUNIT_ASSERT(directory.FindByCookie(CookieOf(2))->news.number == 2);
    }
  }

  void DelayedNewsDoesNotReviveAnEndedTarget() {
    m_directory.Take(MakeNews(1, 100, 9, "10.0.0.1:80"), m_now);
    m_directory.Take(MakeNews(2, 300, 1, "10.0.0.1:80"), m_now);
    const TargetNews delayed = MakeNews(1, 100, 10, "10.0.0.1:80");
    CPPUNIT_ASSERT(m_directory.Take(delayed, m_now) == NewsEffect::kStale);
    CPPUNIT_ASSERT(StateOf(1) == AnnouncedState::kEnded);
    CPPUNIT_ASSERT(StateOf(2) == AnnouncedState::kReady);
  }

  void RenewalKeepsTheRevision() {
    m_directory.Take(MakeNews(1, 100, 1, "10.0.0.1:80"), m_now);
    const std::uint64_t revision = m_directory.revision();
    const auto effect =
        m_directory.Take(MakeNews(1, 100, 2, "10.0.0.1:80"), m_now + kSecond);
    CPPUNIT_ASSERT(effect == NewsEffect::kRenewed);
    CPPUNIT_ASSERT_EQUAL(revision, m_directory.revision());
    CPPUNIT_ASSERT(m_directory.Find(1)->heard_at == m_now + kSecond);
    m_directory.Renew(CookieOf(1), m_now + 2 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(1)->heard_at == m_now + 2 * kSecond);
    m_directory.Renew(CookieOf(1), m_now);
    CPPUNIT_ASSERT(m_directory.Find(1)->heard_at == m_now + 2 * kSecond);
  }

  void SilentTargetsAreForgotten() {
    m_directory.Take(MakeNews(1, 100, 1, "10.0.0.1:80"), m_now);
    m_directory.Forget(10 * kSecond, m_now + 9 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(1) != nullptr);
    m_directory.Forget(10 * kSecond, m_now + 10 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(1) == nullptr);
    CPPUNIT_ASSERT(m_directory.FindByCookie(CookieOf(1)) == nullptr);
  }

 private:
  AnnouncedState StateOf(std::uint64_t number) const {
    return m_directory.Find(number)->news.state;
  }

  TimePoint m_now{kSecond};
  TargetDirectory m_directory;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetDirectoryTest);

}  // namespace
}  // namespace sardinelead
