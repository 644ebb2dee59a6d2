// Control VMs and a balancer in virtual time, over a network that loses and
// delays messages.

#include "sardinelead/target_feed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <set>

#include "feed_message.h"
#include "sardinelead/feed_follower.h"
#include "sardinelead/feed_publisher.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
const NodeId kBalancer{100};

struct Control {
  TargetDirectory directory;
  EncodedRoutes routes{{}, std::make_shared<const Bytes>()};
  std::unique_ptr<FeedPublisher> publisher;
};

class TargetFeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetFeedTest);
  CPPUNIT_TEST(ChangesArriveDespiteLosses);
  CPPUNIT_TEST(RoutesArriveAndNeverGoBack);
  CPPUNIT_TEST(RestartedControlIsFollowedAnew);
  CPPUNIT_TEST(ANewSubscriberLearnsAllFromOne);
  CPPUNIT_TEST(OthersTargetsAreNotReportedAsLiving);
  CPPUNIT_TEST(AStormOfVersionsDoesNotHideLivingTargets);
  CPPUNIT_TEST(ASilentTargetIsToldAsSuch);
  CPPUNIT_TEST(ATargetThatMovesStaysAlive);
  CPPUNIT_TEST(AnEndHeardByAnotherControlArrives);
  CPPUNIT_TEST(LearnedNewsIsNotPushed);
  CPPUNIT_TEST(ThousandsOfTargetsComeInParts);
  CPPUNIT_TEST(IdleReportsDoNotGrowWithTargets);
  CPPUNIT_TEST(ASubscriberThatDoesNotAnswerIsToldMoreSeldom);
  CPPUNIT_TEST(ManySubscribersShareThePace);
  CPPUNIT_TEST(ATargetThatMovesIsNotPushed);
  CPPUNIT_TEST(ControlsThatFollowAreNamed);
  CPPUNIT_TEST(AnInvitationCarriesNoTargets);
  CPPUNIT_TEST(CoveredTimeStandsWhileControlsAreSilent);
  CPPUNIT_TEST(ReadyOnceAllOrLongEnough);
  CPPUNIT_TEST(MembersThatNoListNamesAreForgotten);
  CPPUNIT_TEST(AlienMessagesAreReported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (std::uint32_t id = 1; id <= 3; ++id) StartControl(NodeId{id});
    FeedSettings settings;
    settings.self = kBalancer;
    settings.data_centre = "a";
    FeedFollower::Hooks hooks;
    hooks.on_routes = [this](const RouteTablePtr& routes) {
      CPPUNIT_ASSERT(m_version < routes->version);
      m_version = routes->version;
    };
    hooks.on_source = [](NodeId, bool) {};
    hooks.on_error = [this](NodeId, const Error&) { ++m_errors; };
    m_follower = std::make_unique<FeedFollower>(
        settings, std::vector<NodeId>{NodeId{1}, NodeId{2}}, &m_directory,
        hooks);
  }

  void ChangesArriveDespiteLosses() {
    m_loss = 30;
    SetRoutes(1);
    Run(3 * kSecond);
    for (std::uint64_t number = 1; number <= 30; ++number) {
      const NodeId control{static_cast<std::uint32_t>(1 + number % 3)};
      Hear(control, number, 1, AnnouncedState::kReady);
    }
    Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, m_directory.entries().size());
    for (std::uint64_t number = 1; number <= 30; ++number) {
      const NodeId control{static_cast<std::uint32_t>(1 + number % 3)};
      Hear(control, number, 2, AnnouncedState::kDraining);
    }
    // A target that leaves gets no new flow after 3 s.
    Run(2 * kSecond);
    for (const auto& [number, entry] : m_directory.entries()) {
      CPPUNIT_ASSERT(entry.news.state == AnnouncedState::kDraining);
    }
  }

  void RoutesArriveAndNeverGoBack() {
    SetRoutes(3);
    Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_version.value);
    m_loss = 30;
    for (std::uint64_t version = 4; version < 30; ++version) {
      SetRoutes(version);
      Run(milliseconds(60));
    }
    Run(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{29}, m_version.value);
    // One that restarts behind the others does not take it back.
    StartControl(NodeId{1});
    m_controls[1].routes = Encode(7);
    Run(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{29}, m_version.value);
  }

  void RestartedControlIsFollowedAnew() {
    SetRoutes(1);
    Hear(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Hear(NodeId{1}, 6, 1, AnnouncedState::kReady);
    Run(kSecond);
    StartControl(NodeId{1});
    Hear(NodeId{1}, 5, 2, AnnouncedState::kDraining);
    Run(2 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(5)->news.state ==
                   AnnouncedState::kDraining);
    CPPUNIT_ASSERT(m_directory.Find(6)->news.state == AnnouncedState::kReady);
  }

  // What control 1 knows of another control's target goes with its first
  // report.
  void ANewSubscriberLearnsAllFromOne() {
    SetRoutes(1);
    Learn(NodeId{1}, 8);
    m_down = {NodeId{2}, NodeId{3}};
    Run(kSecond);
    CPPUNIT_ASSERT(m_directory.Find(8) != nullptr);
  }

  void OthersTargetsAreNotReportedAsLiving() {
    SetRoutes(1);
    Learn(NodeId{1}, 8);
    Hear(NodeId{1}, 9, 1, AnnouncedState::kReady);
    Run(kSecond);
    const TimePoint before = m_directory.Find(8)->heard_at;
    Hear(NodeId{1}, 9, 2, AnnouncedState::kReady);
    Run(2 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(8)->heard_at == before);
    CPPUNIT_ASSERT(m_directory.Find(9)->heard_at > before);
  }

  // Found by the soak: each new version put off the report of living targets.
  void AStormOfVersionsDoesNotHideLivingTargets() {
    SetRoutes(1);
    Hear(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Run(kSecond);
    for (std::uint64_t version = 2; version < 30; ++version) {
      SetRoutes(version);
      Hear(NodeId{1}, 5, version, AnnouncedState::kReady);
      Run(milliseconds(300));
      const Duration unheard =
          m_follower->CoveredTime() - m_directory.Find(5)->heard_at;
      CPPUNIT_ASSERT(unheard < milliseconds(1500));
    }
  }

  void ASilentTargetIsToldAsSuch() {
    SetRoutes(1);
    Hear(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Hear(NodeId{1}, 6, 1, AnnouncedState::kReady);
    const TimePoint last_call = m_now;
    Run(kSecond);
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence) {
      Hear(NodeId{1}, 6, sequence, AnnouncedState::kReady);
      Run(milliseconds(770));
    }
    const Duration since = m_now - last_call;
    CPPUNIT_ASSERT(Unheard(5) >= since - kSecond);
    CPPUNIT_ASSERT(Unheard(6) <= milliseconds(2000));
  }

  // Its heartbeats fail at one control VM, so it calls another one.
  void ATargetThatMovesStaysAlive() {
    SetRoutes(1);
    Hear(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Run(kSecond);
    for (std::uint64_t sequence = 2; sequence < 40; ++sequence) {
      Hear(NodeId{2}, 5, sequence, AnnouncedState::kReady);
      Run(milliseconds(770));
      CPPUNIT_ASSERT(Unheard(5) <= milliseconds(2000));
    }
    // Only the control VM that it calls speaks for it now.
    m_down = {NodeId{2}};
    const Duration before = Unheard(5);
    Run(5 * kSecond);
    CPPUNIT_ASSERT(Unheard(5) >= before + 4 * kSecond);
  }

  void AnEndHeardByAnotherControlArrives() {
    SetRoutes(1);
    Hear(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Run(kSecond);
    Hear(NodeId{2}, 5, 2, AnnouncedState::kEnded);
    Run(kSecond);
    CPPUNIT_ASSERT(m_directory.Find(5)->news.state == AnnouncedState::kEnded);
    const TimePoint heard_at = m_directory.Find(5)->heard_at;
    Run(5 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(5)->heard_at == heard_at);
  }

  // Or each change of a target would cost a report from every control VM to
  // every balancer.
  void LearnedNewsIsNotPushed() {
    SetRoutes(1);
    Run(11 * kSecond);
    const std::size_t before = m_reports;
    for (std::uint64_t number = 1; number <= 40; ++number) {
      Learn(NodeId{1}, number);
      Run(milliseconds(50));
    }
    // Two seconds of three control VMs' reports of silence.
    CPPUNIT_ASSERT(m_reports - before <= 14);
  }

  void ThousandsOfTargetsComeInParts() {
    SetRoutes(1);
    m_loss = 10;
    for (std::uint64_t number = 1; number <= 3000; ++number) {
      Hear(NodeId{static_cast<std::uint32_t>(1 + number % 3)}, number, 1,
           AnnouncedState::kReady);
    }
    Run(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3000}, m_directory.entries().size());
    CPPUNIT_ASSERT(m_largest_report <= 32 << 10);
  }

  void IdleReportsDoNotGrowWithTargets() {
    SetRoutes(1);
    for (std::uint64_t number = 1; number <= 3000; ++number) {
      Hear(NodeId{1}, number, 1, AnnouncedState::kReady);
    }
    Run(3 * kSecond);
    for (std::uint64_t number = 1; number <= 3000; ++number) {
      Hear(NodeId{1}, number, 2, AnnouncedState::kReady);
    }
    const std::size_t before = m_report_bytes;
    Run(kSecond);
    // Two reports of 100 bytes from each of three control VMs.
    CPPUNIT_ASSERT(m_report_bytes - before <= 600);
    for (const auto& [number, entry] : m_directory.entries()) {
      CPPUNIT_ASSERT(Unheard(number) <= milliseconds(2000));
    }
  }

  // Or a control VM that is behind drowns in its own repeats.
  void ASubscriberThatDoesNotAnswerIsToldMoreSeldom() {
    SetRoutes(1);
    Run(kSecond);
    m_is_deaf = true;
    Hear(NodeId{1}, 5, 1, AnnouncedState::kReady);
    const std::size_t before = m_reports;
    Run(4 * kSecond);
    // Three control VMs' reports of silence, and five repeats.
    CPPUNIT_ASSERT(m_reports - before <= 3 * 8 + 5);
    // Told at once when it is heard again: its polls come every second.
    m_is_deaf = false;
    Hear(NodeId{1}, 5, 2, AnnouncedState::kDraining);
    Run(kSecond + milliseconds(300));
    CPPUNIT_ASSERT(m_directory.Find(5)->news.state ==
                   AnnouncedState::kDraining);
  }

  // The load of a start: all targets announce themselves within a second.
  void ManySubscribersShareThePace() {
    StartControl(NodeId{4});
    FeedPublisher& publisher = *m_controls[4].publisher;
    FeedPoll poll;
    std::size_t reports = 0;
    for (std::uint32_t node = 1000; node < 1300; ++node) {
      publisher.OnMessage(NodeId{node}, poll.Encode(), m_now);
    }
    for (std::uint64_t number = 1; number <= 100; ++number) {
      m_now += milliseconds(10);
      Hear(NodeId{4}, number, 1, AnnouncedState::kReady);
      reports += publisher.OnTick(m_now).size();
    }
    // A second's worth, and one round more.
    CPPUNIT_ASSERT(reports <= 1000 / 0.7 + 300);
  }

  void ATargetThatMovesIsNotPushed() {
    SetRoutes(1);
    for (std::uint64_t number = 1; number <= 40; ++number) {
      Hear(NodeId{1}, number, 1, AnnouncedState::kReady);
      Learn(NodeId{2}, number);
    }
    Run(11 * kSecond);
    const std::size_t before = m_reports;
    for (std::uint64_t number = 1; number <= 40; ++number) {
      Hear(NodeId{2}, number, 2, AnnouncedState::kReady);
      Run(milliseconds(50));
    }
    CPPUNIT_ASSERT(m_reports - before <= 14);
    Run(kSecond);
    CPPUNIT_ASSERT(Unheard(40) <= milliseconds(2000));
  }

  // A control VM that does not vote is known through those that do.
  void ControlsThatFollowAreNamed() {
    SetRoutes(1);
    StartControl(NodeId{4});
    FeedPoll poll;
    poll.is_control = true;
    poll.data_centre = "dc-4";
    for (int i = 0; i < 6; ++i) {
      m_controls[1].publisher->OnMessage(NodeId{4}, poll.Encode(), m_now);
      Run(kSecond);
    }
    Hear(NodeId{4}, 9, 1, AnnouncedState::kReady);
    Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_follower->SourceCount());
    CPPUNIT_ASSERT(m_directory.Find(9) != nullptr);
  }

  // A node that knows all targets already is not sent them again.
  void AnInvitationCarriesNoTargets() {
    StartControl(NodeId{4});
    Hear(NodeId{4}, 9, 1, AnnouncedState::kReady);
    FeedPublisher& publisher = *m_controls[4].publisher;
    publisher.Invite(NodeId{50}, m_now);
    const Outbox invitation = publisher.OnTick(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, invitation.size());
    const auto message = DecodeFeedMessage(invitation[0].body);
    CPPUNIT_ASSERT(message.has_value());
    const auto* report = std::get_if<FeedReport>(&*message);
    CPPUNIT_ASSERT(report != nullptr && CountOf(*report) == 0);
    const Outbox reports =
        publisher.OnMessage(NodeId{50}, FeedPoll{}.Encode(), m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
    const auto answer = DecodeFeedMessage(reports[0].body);
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         CountOf(std::get<FeedReport>(*answer)));
  }

  // So that silent control VMs are not taken for silent targets.
  void CoveredTimeStandsWhileControlsAreSilent() {
    SetRoutes(1);
    Run(2 * kSecond);
    const TimePoint before = m_follower->CoveredTime();
    m_down = {NodeId{2}, NodeId{3}};
    Run(10 * kSecond);
    CPPUNIT_ASSERT(m_follower->CoveredTime() - before <= milliseconds(1500));
    m_down.clear();
    Run(3 * kSecond);
    CPPUNIT_ASSERT(m_follower->CoveredTime() - before >= kSecond);
  }

  void ReadyOnceAllOrLongEnough() {
    Run(kSecond);
    CPPUNIT_ASSERT(!m_follower->IsReady(m_now));  // No routes.
    SetRoutes(1);
    Run(kSecond);
    CPPUNIT_ASSERT(m_follower->IsReady(m_now));
    setUp();
    m_controls[1].routes = Encode(1);
    m_version = ConfigVersion{};
    m_down = {NodeId{2}, NodeId{3}};
    Run(kSecond);
    CPPUNIT_ASSERT(!m_follower->IsReady(m_now));
    Run(kSecond);
    CPPUNIT_ASSERT(m_follower->IsReady(m_now));
  }

  void MembersThatNoListNamesAreForgotten() {
    SetRoutes(1);
    Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_follower->SourceCount());
    m_members = {NodeId{1}, NodeId{2}};
    m_down = {NodeId{3}};
    Run(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_follower->SourceCount());
  }

  void AlienMessagesAreReported() {
    SetRoutes(1);
    Hear(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Run(kSecond);
    FeedReport report;
    report.changed =
        EncodeTargets({{m_directory.Find(5)->news, kSecond, true}});
    report.silence = SilenceReport{kSecond, {{7, 2 * kSecond}}};
    const Bytes whole = report.Encode();
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeFeedMessage(ByteView(whole.data(), size)));
    }
    CPPUNIT_ASSERT(!DecodeTargets(Bytes{1, 2, 3}));
    m_follower->OnMessage(NodeId{1}, Bytes{1, 2, 3}, m_now);
    m_follower->OnMessage(NodeId{1}, FeedRoutes{{9, 9}}.Encode(), m_now);
    CPPUNIT_ASSERT_EQUAL(2, m_errors);
    CPPUNIT_ASSERT(m_directory.Find(5) != nullptr);
  }

 private:
  struct InFlight {
    NodeId from;
    OutgoingMessage message;
  };

  void StartControl(NodeId id) {
    Control& control = m_controls[id.value];
    control = Control{};
    FeedSettings settings;
    settings.self = id;
    settings.data_centre = "dc-" + std::to_string(id.value);
    control.publisher = std::make_unique<FeedPublisher>(
        settings, m_random(), &control.directory,
        FeedPublisher::Hooks{[this] { return m_members; },
                             [&control] { return control.routes; }});
  }

  static EncodedRoutes Encode(std::uint64_t version) {
    RouteTable table;
    table.version = ConfigVersion{version};
    return {table.version,
            std::make_shared<const Bytes>(EncodeRouteTable(table))};
  }
  void SetRoutes(std::uint64_t version) {
    for (auto& [id, control] : m_controls) control.routes = Encode(version);
  }

  static TargetNews MakeNews(std::uint64_t number, std::uint64_t sequence,
                             AnnouncedState state) {
    TargetNews news;
    news.number = number;
    news.started_ms = 1;
    news.sequence = sequence;
    news.state = state;
    news.pool = "orders";
    news.address = {IpAddress::FromV4(0x0a000000 + number), 80};
    return news;
  }
  void Hear(NodeId id, std::uint64_t number, std::uint64_t sequence,
            AnnouncedState state) {
    Control& control = m_controls[id.value];
    const NewsEffect effect =
        control.directory.Take(MakeNews(number, sequence, state), m_now);
    control.publisher->OnHeard(number, effect == NewsEffect::kChanged, m_now);
  }
  void Learn(NodeId id, std::uint64_t number) {
    m_controls[id.value].directory.Take(
        MakeNews(number, 1, AnnouncedState::kReady), m_now);
  }

  static std::size_t CountOf(const FeedReport& report) {
    const auto targets = DecodeTargets(*report.changed);
    CPPUNIT_ASSERT(targets.has_value());
    return targets->size();
  }

  Duration Unheard(std::uint64_t number) const {
    return m_follower->CoveredTime() - m_directory.Find(number)->heard_at;
  }

  void Send(NodeId from, const Outbox& messages) {
    for (const OutgoingMessage& message : messages) {
      if (message.to == kBalancer) {
        ++m_reports;
        m_report_bytes += message.body.size();
        m_largest_report = std::max(m_largest_report, message.body.size());
      }
      if (m_random() % 100 < m_loss) continue;
      m_in_flight.emplace(m_now + milliseconds(1 + m_random() % 5),
                          InFlight{from, message});
    }
  }
  void Deliver(const InFlight& flight) {
    const bool is_down =
        m_down.count(flight.from) != 0 || m_down.count(flight.message.to) != 0;
    if (is_down) return;
    if (flight.message.to == kBalancer) {
      return Send(kBalancer, m_follower->OnMessage(flight.from,
                                                   flight.message.body, m_now));
    }
    if (m_is_deaf) return;
    Control& control = m_controls[flight.message.to.value];
    Send(flight.message.to,
         control.publisher->OnMessage(flight.from, flight.message.body, m_now));
  }
  void Run(Duration span) {
    const TimePoint end = m_now + span;
    for (; m_now < end; m_now += milliseconds(1)) {
      while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now) {
        const InFlight flight = std::move(m_in_flight.begin()->second);
        m_in_flight.erase(m_in_flight.begin());
        Deliver(flight);
      }
      if (m_now.time_since_epoch() % milliseconds(50) != Duration{0}) continue;
      for (auto& [id, control] : m_controls) {
        Send(NodeId{id}, control.publisher->OnTick(m_now));
      }
      Send(kBalancer, m_follower->OnTick(m_now));
    }
  }

  TimePoint m_now{10 * kSecond};
  std::mt19937_64 m_random{3};
  std::uint64_t m_loss = 0;  // Percent.
  std::set<NodeId> m_down;
  bool m_is_deaf = false;  // Polls get lost.
  std::vector<NodeId> m_members = {NodeId{1}, NodeId{2}, NodeId{3}};
  std::map<std::uint32_t, Control> m_controls;
  std::multimap<TimePoint, InFlight> m_in_flight;
  TargetDirectory m_directory;
  ConfigVersion m_version;
  std::size_t m_reports = 0;  // That control VMs sent to the balancer.
  std::size_t m_report_bytes = 0;
  std::size_t m_largest_report = 0;
  int m_errors = 0;
  std::unique_ptr<FeedFollower> m_follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetFeedTest);

}  // namespace
}  // namespace sardinelead
