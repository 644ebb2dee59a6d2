// Tests of the feed's cost for a control VM with hundreds of balancers, in
// virtual time.
//
// Load pattern: targets announce themselves, or move from another control VM,
// one after the other, faster than a round of reports to all balancers takes.
// If each acknowledgment were answered with the changes that arrived meanwhile,
// every balancer and the control VM would exchange messages as fast as the
// network permits; the control VM would then answer heartbeats too late, which
// makes targets move.

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sardinelead/feed_follower.h"
#include "sardinelead/feed_publisher.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
constexpr NodeId kControl{1};
constexpr std::size_t kFollowers = 200;
constexpr std::uint64_t kTargets = 600;
constexpr Duration kTick = milliseconds(20);
constexpr Duration kAnnouncementInterval = milliseconds(2);
constexpr Duration kNetworkDelay = milliseconds(1);

struct Follower {
  TargetDirectory directory;
  std::unique_ptr<FeedFollower> feed;
};

class FeedLoadTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FeedLoadTest);
  CPPUNIT_TEST(ReportsArePacedWhileTargetsAnnounceThemselves);
  CPPUNIT_TEST(ReportsArePacedWhileTargetsMove);
  CPPUNIT_TEST(LargeReportIsContinuedAtOnce);
  CPPUNIT_TEST(ChangeDuringAReportArrivesWithTheNextBatch);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_now = TimePoint{std::chrono::seconds(100)};
    m_directory = TargetDirectory();
    m_followers.clear();
    m_in_flight.clear();
    m_settings.self = kControl;
    m_publisher = std::make_unique<FeedPublisher>(
        m_settings, 7, &m_directory,
        FeedPublisher::Hooks{[] { return std::vector<NodeId>{kControl}; },
                             [] { return ConfigVersion{0}; },
                             [](ConfigVersion) { return RouteUpdate{}; }});
    for (std::size_t i = 0; i < kFollowers; ++i) AddFollower();
    Run(2 * kSecond);
  }

  // Each follower gets at most one report a batch, besides the periodic ones,
  // and the changes still arrive soon.
  void ReportsArePacedWhileTargetsAnnounceThemselves() {
    AssertPaced([this](std::uint64_t target) { Announce(target, 1); });
    AssertAllKnow(kTargets);
  }

  // The directory knows the targets already, since this control VM follows the
  // others; their heartbeats begin to arrive here.
  void ReportsArePacedWhileTargetsMove() {
    for (std::uint64_t target = 1; target <= kTargets; ++target) {
      m_directory.Take(MakeAnnouncement(target, 1), m_now);
    }
    Run(2 * kSecond);
    AssertPaced([this](std::uint64_t target) { Announce(target, 2); });
    AssertAllKnow(kTargets);
  }

  // A follower that needs more targets than fit in a report gets the next part
  // as soon as it acknowledges one.
  void LargeReportIsContinuedAtOnce() {
    constexpr std::uint64_t kMany = 1500;
    for (std::uint64_t target = 1; target <= kMany; ++target) {
      Announce(target, 1);
    }
    Run(3 * kSecond);
    Follower* follower = AddFollower();
    Run(milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{kMany},
                         follower->directory.entries().size());
  }

  // A target that moves here while a report is on its way is not urgent, but
  // need not wait for the next periodic report either. After a loss of power
  // all targets send heartbeats again at nearly the same time.
  void ChangeDuringAReportArrivesWithTheNextBatch() {
    m_directory.Take(MakeAnnouncement(2, 1), m_now);
    Run(2 * kSecond);
    Announce(1, 1);
    while (m_in_flight.empty()) Run(kNetworkDelay);
    Announce(2, 2);
    const std::uint64_t before = m_publisher->counters().changes_sent;
    Run(std::chrono::duration_cast<Duration>(
            m_settings.interval_per_subscriber * kFollowers) +
        milliseconds(60));
    CPPUNIT_ASSERT(m_publisher->counters().changes_sent - before >= kFollowers);
  }

 private:
  struct InFlight {
    NodeId from;
    OutgoingMessage message;
  };

  static TargetAnnouncement MakeAnnouncement(std::uint64_t target,
                                             std::uint64_t sequence) {
    TargetAnnouncement announcement;
    announcement.number = target;
    announcement.started_ms = 5;
    announcement.sequence = sequence;
    announcement.pool = "orders";
    announcement.address =
        *Endpoint::Parse("10.0." + std::to_string(target / 250) + "." +
                         std::to_string(target % 250) + ":80");
    return announcement;
  }

  Follower* AddFollower() {
    const NodeId id{static_cast<std::uint32_t>(100 + m_followers.size())};
    Follower& follower = m_followers[id];
    FeedSettings settings;
    settings.self = id;
    FeedFollower::Hooks hooks;
    hooks.on_routes = [](const RouteTable&) {};
    hooks.on_route_change = [](const RouteChange&) { return Result<void>{}; };
    hooks.on_source_change = [](NodeId, bool) {};
    hooks.on_error = [](NodeId, const Error& error) {
      CPPUNIT_FAIL(error.ToString());
    };
    follower.feed = std::make_unique<FeedFollower>(
        settings, std::vector<NodeId>{kControl}, &follower.directory, hooks);
    return &follower;
  }

  void Announce(std::uint64_t target, std::uint64_t sequence) {
    const AnnouncementEffect effect =
        m_directory.Take(MakeAnnouncement(target, sequence), m_now);
    m_publisher->OnTargetAnnounced(
        target, effect == AnnouncementEffect::kChanged, m_now);
  }

  // Calls `announce` for one target every `kAnnouncementInterval` and counts
  // the reports.
  void AssertPaced(const std::function<void(std::uint64_t)>& announce) {
    const std::uint64_t before = m_publisher->counters().reports;
    const TimePoint begin = m_now;
    std::uint64_t target = 0;
    while (target < kTargets) {
      announce(++target);
      Run(kAnnouncementInterval);
    }
    const double seconds = std::chrono::duration<double>(m_now - begin).count();
    const double reports =
        static_cast<double>(m_publisher->counters().reports - before);
    const double batch_seconds =
        std::chrono::duration<double>(m_settings.interval_per_subscriber)
            .count() *
        kFollowers;
    const double periodic =
        1 / std::chrono::duration<double>(m_settings.report_interval).count();
    const double bound =
        kFollowers * (seconds + 1) * (1 / batch_seconds + periodic);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(reports) + " reports, at most " +
                               std::to_string(bound) + " expected",
                           reports <= bound);
    Run(kSecond);
  }

  void AssertAllKnow(std::size_t targets) {
    for (const auto& [id, follower] : m_followers) {
      CPPUNIT_ASSERT_EQUAL(targets, follower.directory.entries().size());
    }
  }

  void Run(Duration span) {
    const TimePoint end = m_now + span;
    while (m_now < end) {
      const TimePoint next = std::min(m_next_tick, end);
      if (!m_in_flight.empty() && m_in_flight.begin()->first <= next) {
        m_now = std::max(m_now, m_in_flight.begin()->first);
        const InFlight flight = std::move(m_in_flight.begin()->second);
        m_in_flight.erase(m_in_flight.begin());
        Deliver(flight);
        continue;
      }
      m_now = std::max(m_now, next);
      if (m_now < m_next_tick) return;
      m_next_tick = m_now + kTick;
      Send(kControl, m_publisher->OnTick(m_now));
      for (auto& [id, follower] : m_followers) {
        Send(id, follower.feed->OnTick(m_now));
      }
    }
  }

  void Send(NodeId from, Outbox messages) {
    for (OutgoingMessage& message : messages) {
      m_in_flight.emplace(m_now + kNetworkDelay,
                          InFlight{from, std::move(message)});
    }
  }

  void Deliver(const InFlight& flight) {
    const NodeId to = flight.message.to;
    if (to == kControl) {
      return Send(kControl, m_publisher->OnMessage(flight.from,
                                                   flight.message.body, m_now));
    }
    Send(to, m_followers.at(to).feed->OnMessage(flight.from,
                                                flight.message.body, m_now));
  }

  FeedSettings m_settings;
  TimePoint m_now;
  TimePoint m_next_tick;
  TargetDirectory m_directory;
  std::unique_ptr<FeedPublisher> m_publisher;
  std::map<NodeId, Follower> m_followers;
  std::multimap<TimePoint, InFlight> m_in_flight;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FeedLoadTest);

}  // namespace
}  // namespace sardinelead
