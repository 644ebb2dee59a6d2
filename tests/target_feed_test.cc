// Runs three control VMs and a balancer in virtual time, over a simulated
// network that drops and delays messages.

#include "sardinelead/target_feed.h"

#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <random>
#include <set>

#include "cbor.h"
#include "feed_message.h"
#include "sardinelead/feed_follower.h"
#include "sardinelead/feed_publisher.h"
#include "sardinelead/route_history.h"
#include "warm_up_encoding.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
const NodeId kBalancer{100};

struct ControlVm {
  TargetDirectory directory;
  RouteHistory routes;
  std::unique_ptr<FeedPublisher> publisher;
};

class TargetFeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TargetFeedTest);
  CPPUNIT_TEST(ChangesArriveDespiteLosses);
  CPPUNIT_TEST(RoutesArriveAndNeverGoBack);
  CPPUNIT_TEST(FollowsARestartedControlVm);
  CPPUNIT_TEST(ChangesOfRoutesReplaceNoTable);
  CPPUNIT_TEST(ChangeThatCannotBeAppliedIsFollowedByTheTable);
  CPPUNIT_TEST(NewSubscriberGetsAllTargetsFromOneControlVm);
  CPPUNIT_TEST(TargetsOfOtherControlVmsAreNotRenewed);
  CPPUNIT_TEST(AStormOfVersionsDoesNotHideLivingTargets);
  CPPUNIT_TEST(SilentTargetIsReportedAsSilent);
  CPPUNIT_TEST(TargetThatChangesControlVmStaysAlive);
  CPPUNIT_TEST(EndReportedByAnotherControlVmArrives);
  CPPUNIT_TEST(NewsFromOtherControlVmsIsNotPushed);
  CPPUNIT_TEST(ThousandsOfTargetsAreSplitAcrossReports);
  CPPUNIT_TEST(IdleReportsDoNotGrowWithTargets);
  CPPUNIT_TEST(ReportsToAnUnresponsiveSubscriberBackOff);
  CPPUNIT_TEST(ReportRateIsLimitedWithManySubscribers);
  CPPUNIT_TEST(ChangeOfControlVmIsNotPushed);
  CPPUNIT_TEST(FollowingControlVmsAreListedAsMembers);
  CPPUNIT_TEST(InvitationCarriesNoTargets);
  CPPUNIT_TEST(CoveredTimeStopsWhileControlVmsAreSilent);
  CPPUNIT_TEST(ReadyAfterAllSourcesReportOrTimeout);
  CPPUNIT_TEST(UnlistedSilentSourcesAreRemoved);
  CPPUNIT_TEST(MalformedMessagesAreReported);
  CPPUNIT_TEST(UnreadableTargetDoesNotHideTheOthers);
  CPPUNIT_TEST(TargetsWithLongNamesAreSplitAcrossReports);
  CPPUNIT_TEST(SharesFollowAtOnceWithoutChangingOldEntries);
  CPPUNIT_TEST(WarmUpEndsNoEarlierThanTheTargetSaid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (std::uint32_t id = 1; id <= 3; ++id) StartControlVm(NodeId{id});
    FeedSettings settings;
    settings.self = kBalancer;
    settings.data_centre = "a";
    FeedFollower::Hooks hooks;
    hooks.on_routes = [this](RouteTable routes) {
      CPPUNIT_ASSERT(m_version < routes.version);
      m_version = routes.version;
      m_routes = std::move(routes);
      ++m_whole_tables;
    };
    hooks.on_route_change = [this](const RouteChange& change) -> Result<void> {
      if (m_refuses_changes) return Fail(ErrorCode::kVersionConflict, "test");
      CPPUNIT_ASSERT(m_version < change.version);
      auto applied = m_routes.Apply(change);
      if (applied) m_version = change.version;
      return applied;
    };
    hooks.on_source_change = [](NodeId, bool) {};
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
      ReceiveNews(control, number, 1, AnnouncedState::kReady);
    }
    Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, m_directory.entries().size());
    for (std::uint64_t number = 1; number <= 30; ++number) {
      const NodeId control{static_cast<std::uint32_t>(1 + number % 3)};
      ReceiveNews(control, number, 2, AnnouncedState::kDraining);
    }
    // Balancers must assign no new flows to a leaving target after 3 s.
    Run(2 * kSecond);
    for (const auto& [number, entry] : m_directory.entries()) {
      CPPUNIT_ASSERT(entry.announcement.state == AnnouncedState::kDraining);
    }
  }

  // Guards against stalls of a balancer that reads a large table with each
  // change (review, case 3).
  void ChangesOfRoutesReplaceNoTable() {
    SetRoutes(1);
    Run(kSecond);
    m_loss = 30;
    for (std::uint64_t version = 2; version < 40; ++version) {
      SetRoutes(version);
      Run(milliseconds(90));
    }
    Run(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{39}, m_version.value);
    CPPUNIT_ASSERT_EQUAL(1, m_whole_tables);
    const RouteTable expected = MakeRoutes(39);
    CPPUNIT_ASSERT_EQUAL(expected.routes.size(), m_routes.routes.size());
    for (const Route& route : expected.routes) {
      CPPUNIT_ASSERT(m_routes.Find(route.address) != nullptr);
    }
  }

  void ChangeThatCannotBeAppliedIsFollowedByTheTable() {
    SetRoutes(1);
    Run(kSecond);
    m_refuses_changes = true;
    SetRoutes(2);
    Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, m_version.value);
    CPPUNIT_ASSERT_EQUAL(2, m_whole_tables);
    m_refuses_changes = false;
    SetRoutes(3);
    Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, m_version.value);
    CPPUNIT_ASSERT_EQUAL(2, m_whole_tables);
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
    // A control VM that restarts with older routes must not revert them.
    StartControlVm(NodeId{1});
    m_controls[1].routes.Add(MakeRoutes(7));
    Run(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{29}, m_version.value);
  }

  void FollowsARestartedControlVm() {
    SetRoutes(1);
    ReceiveNews(NodeId{1}, 5, 1, AnnouncedState::kReady);
    ReceiveNews(NodeId{1}, 6, 1, AnnouncedState::kReady);
    Run(kSecond);
    StartControlVm(NodeId{1});
    ReceiveNews(NodeId{1}, 5, 2, AnnouncedState::kDraining);
    Run(2 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(5)->announcement.state ==
                   AnnouncedState::kDraining);
    CPPUNIT_ASSERT(m_directory.Find(6)->announcement.state ==
                   AnnouncedState::kReady);
  }

  // The first report of a control VM to a new subscriber includes the targets
  // that it knows only from other control VMs.
  void NewSubscriberGetsAllTargetsFromOneControlVm() {
    SetRoutes(1);
    LearnFromPeer(NodeId{1}, 8);
    m_down = {NodeId{2}, NodeId{3}};
    Run(kSecond);
    CPPUNIT_ASSERT(m_directory.Find(8) != nullptr);
  }

  void TargetsOfOtherControlVmsAreNotRenewed() {
    SetRoutes(1);
    LearnFromPeer(NodeId{1}, 8);
    ReceiveNews(NodeId{1}, 9, 1, AnnouncedState::kReady);
    Run(kSecond);
    const TimePoint before = m_directory.Find(8)->heard_at;
    ReceiveNews(NodeId{1}, 9, 2, AnnouncedState::kReady);
    Run(2 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(8)->heard_at == before);
    CPPUNIT_ASSERT(m_directory.Find(9)->heard_at > before);
  }

  // Guards against a fault found by the soak test: each new version of the
  // routes postponed the SilenceReport that renews the living targets.
  void AStormOfVersionsDoesNotHideLivingTargets() {
    SetRoutes(1);
    ReceiveNews(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Run(kSecond);
    for (std::uint64_t version = 2; version < 30; ++version) {
      SetRoutes(version);
      ReceiveNews(NodeId{1}, 5, version, AnnouncedState::kReady);
      Run(milliseconds(300));
      const Duration unheard =
          m_follower->CoveredTime() - m_directory.Find(5)->heard_at;
      CPPUNIT_ASSERT(unheard < milliseconds(1500));
    }
  }

  void SilentTargetIsReportedAsSilent() {
    SetRoutes(1);
    ReceiveNews(NodeId{1}, 5, 1, AnnouncedState::kReady);
    ReceiveNews(NodeId{1}, 6, 1, AnnouncedState::kReady);
    const TimePoint last_heartbeat = m_now;
    Run(kSecond);
    for (std::uint64_t sequence = 2; sequence < 20; ++sequence) {
      ReceiveNews(NodeId{1}, 6, sequence, AnnouncedState::kReady);
      Run(milliseconds(770));
    }
    const Duration since = m_now - last_heartbeat;
    CPPUNIT_ASSERT(TimeSinceHeard(5) >= since - kSecond);
    CPPUNIT_ASSERT(TimeSinceHeard(6) <= milliseconds(2000));
  }

  // A target whose heartbeats fail at one control VM switches to another one.
  void TargetThatChangesControlVmStaysAlive() {
    SetRoutes(1);
    ReceiveNews(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Run(kSecond);
    for (std::uint64_t sequence = 2; sequence < 40; ++sequence) {
      ReceiveNews(NodeId{2}, 5, sequence, AnnouncedState::kReady);
      Run(milliseconds(770));
      CPPUNIT_ASSERT(TimeSinceHeard(5) <= milliseconds(2000));
    }
    // Only the control VM that gets its heartbeats may renew it now.
    m_down = {NodeId{2}};
    const Duration before = TimeSinceHeard(5);
    Run(5 * kSecond);
    CPPUNIT_ASSERT(TimeSinceHeard(5) >= before + 4 * kSecond);
  }

  void EndReportedByAnotherControlVmArrives() {
    SetRoutes(1);
    ReceiveNews(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Run(kSecond);
    ReceiveNews(NodeId{2}, 5, 2, AnnouncedState::kEnded);
    Run(kSecond);
    CPPUNIT_ASSERT(m_directory.Find(5)->announcement.state ==
                   AnnouncedState::kEnded);
    const TimePoint heard_at = m_directory.Find(5)->heard_at;
    Run(5 * kSecond);
    CPPUNIT_ASSERT(m_directory.Find(5)->heard_at == heard_at);
  }

  // A control VM must push changes only of targets that have announced
  // themselves to it. Otherwise each change would cost a report from every
  // control VM to every balancer.
  void NewsFromOtherControlVmsIsNotPushed() {
    SetRoutes(1);
    Run(11 * kSecond);
    const std::size_t before = m_reports;
    for (std::uint64_t number = 1; number <= 40; ++number) {
      LearnFromPeer(NodeId{1}, number);
      Run(milliseconds(50));
    }
    // Silence reports of three control VMs over two seconds, plus a margin
    // of 2.
    CPPUNIT_ASSERT(m_reports - before <= 14);
  }

  void ThousandsOfTargetsAreSplitAcrossReports() {
    SetRoutes(1);
    m_loss = 10;
    for (std::uint64_t number = 1; number <= 3000; ++number) {
      ReceiveNews(NodeId{static_cast<std::uint32_t>(1 + number % 3)}, number, 1,
                  AnnouncedState::kReady);
    }
    Run(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3000}, m_directory.entries().size());
    CPPUNIT_ASSERT(m_largest_report <= 32 << 10);
  }

  void IdleReportsDoNotGrowWithTargets() {
    SetRoutes(1);
    for (std::uint64_t number = 1; number <= 3000; ++number) {
      ReceiveNews(NodeId{1}, number, 1, AnnouncedState::kReady);
    }
    Run(3 * kSecond);
    for (std::uint64_t number = 1; number <= 3000; ++number) {
      ReceiveNews(NodeId{1}, number, 2, AnnouncedState::kReady);
    }
    const std::size_t before = m_report_bytes;
    Run(kSecond);
    // Two reports of 100 bytes from each of three control VMs.
    CPPUNIT_ASSERT(m_report_bytes - before <= 600);
    for (const auto& [number, entry] : m_directory.entries()) {
      CPPUNIT_ASSERT(TimeSinceHeard(number) <= milliseconds(2000));
    }
  }

  // Without backoff, a control VM that is behind in processing polls would be
  // overloaded by its own retransmissions.
  void ReportsToAnUnresponsiveSubscriberBackOff() {
    SetRoutes(1);
    Run(kSecond);
    m_drops_polls = true;
    ReceiveNews(NodeId{1}, 5, 1, AnnouncedState::kReady);
    const std::size_t before = m_reports;
    Run(4 * kSecond);
    // Silence reports of three control VMs, and five retransmissions.
    CPPUNIT_ASSERT(m_reports - before <= 3 * 8 + 5);
    // The change is reported as soon as the next poll is received, at most a
    // second later.
    m_drops_polls = false;
    ReceiveNews(NodeId{1}, 5, 2, AnnouncedState::kDraining);
    Run(kSecond + milliseconds(300));
    CPPUNIT_ASSERT(m_directory.Find(5)->announcement.state ==
                   AnnouncedState::kDraining);
  }

  // After a start, all targets announce themselves within a second. The rate of
  // the resulting reports to 300 subscribers must be limited.
  void ReportRateIsLimitedWithManySubscribers() {
    StartControlVm(NodeId{4});
    FeedPublisher& publisher = *m_controls[4].publisher;
    FeedPoll poll;
    std::size_t reports = 0;
    for (std::uint32_t node = 1000; node < 1300; ++node) {
      publisher.OnMessage(NodeId{node}, poll.Encode(), m_now);
    }
    for (std::uint64_t number = 1; number <= 100; ++number) {
      m_now += milliseconds(10);
      ReceiveNews(NodeId{4}, number, 1, AnnouncedState::kReady);
      reports += publisher.OnTick(m_now).size();
    }
    // One report per 0.7 ms over a second, plus one batch to all subscribers.
    CPPUNIT_ASSERT(reports <= 1000 / 0.7 + 300);
  }

  void ChangeOfControlVmIsNotPushed() {
    SetRoutes(1);
    for (std::uint64_t number = 1; number <= 40; ++number) {
      ReceiveNews(NodeId{1}, number, 1, AnnouncedState::kReady);
      LearnFromPeer(NodeId{2}, number);
    }
    Run(11 * kSecond);
    const std::size_t before = m_reports;
    for (std::uint64_t number = 1; number <= 40; ++number) {
      ReceiveNews(NodeId{2}, number, 2, AnnouncedState::kReady);
      Run(milliseconds(50));
    }
    CPPUNIT_ASSERT(m_reports - before <= 14);
    Run(kSecond);
    CPPUNIT_ASSERT(TimeSinceHeard(40) <= milliseconds(2000));
  }

  // Balancers learn of a non-voting control VM from a voting one that it
  // subscribes to.
  void FollowingControlVmsAreListedAsMembers() {
    SetRoutes(1);
    StartControlVm(NodeId{4});
    FeedPoll poll;
    poll.is_control = true;
    poll.data_centre = "dc-4";
    for (int i = 0; i < 6; ++i) {
      m_controls[1].publisher->OnMessage(NodeId{4}, poll.Encode(), m_now);
      Run(kSecond);
    }
    ReceiveNews(NodeId{4}, 9, 1, AnnouncedState::kReady);
    Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, m_follower->SourceCount());
    CPPUNIT_ASSERT(m_directory.Find(9) != nullptr);
  }

  // A node that has all targets already must not be sent them again, so targets
  // are sent only after it has polled.
  void InvitationCarriesNoTargets() {
    StartControlVm(NodeId{4});
    ReceiveNews(NodeId{4}, 9, 1, AnnouncedState::kReady);
    FeedPublisher& publisher = *m_controls[4].publisher;
    publisher.Invite(NodeId{50}, m_now);
    const Outbox invitation = publisher.OnTick(m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, invitation.size());
    const auto message = DecodeFeedMessage(invitation[0].body);
    CPPUNIT_ASSERT(message.has_value());
    const auto* report = std::get_if<FeedReport>(&*message);
    CPPUNIT_ASSERT(report != nullptr && TargetCount(*report) == 0);
    const Outbox reports =
        publisher.OnMessage(NodeId{50}, FeedPoll{}.Encode(), m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, reports.size());
    const auto answer = DecodeFeedMessage(reports[0].body);
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         TargetCount(std::get<FeedReport>(*answer)));
  }

  // Covered time must not advance while most control VMs are silent. Otherwise
  // silent control VMs would be mistaken for silent targets.
  void CoveredTimeStopsWhileControlVmsAreSilent() {
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

  void ReadyAfterAllSourcesReportOrTimeout() {
    Run(kSecond);
    CPPUNIT_ASSERT(!m_follower->IsReady(m_now));  // No routes.
    SetRoutes(1);
    Run(kSecond);
    CPPUNIT_ASSERT(m_follower->IsReady(m_now));
    setUp();
    m_controls[1].routes.Add(MakeRoutes(1));
    m_version = ConfigVersion{};
    m_down = {NodeId{2}, NodeId{3}};
    Run(kSecond);
    CPPUNIT_ASSERT(!m_follower->IsReady(m_now));
    Run(kSecond);
    CPPUNIT_ASSERT(m_follower->IsReady(m_now));
  }

  void UnlistedSilentSourcesAreRemoved() {
    SetRoutes(1);
    Run(kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_follower->SourceCount());
    m_members = {NodeId{1}, NodeId{2}};
    m_down = {NodeId{3}};
    Run(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_follower->SourceCount());
  }

  void MalformedMessagesAreReported() {
    SetRoutes(1);
    ReceiveNews(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Run(kSecond);
    FeedReport report;
    report.changed =
        EncodeTargets({{m_directory.Find(5)->announcement, kSecond, true}});
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

  // Guards against balancers that stop following a control VM because of one
  // entry in its list that they cannot read.
  void UnreadableTargetDoesNotHideTheOthers() {
    SetRoutes(1);
    Run(kSecond);
    ReportedTarget odd{MakeNews(6, 1, AnnouncedState::kReady), {}, true};
    odd.announcement.slots = 0;
    ReportedTarget late{MakeNews(7, 1, AnnouncedState::kReady), {}, true};
    late.silent = std::chrono::hours(1000);
    FeedReport report;
    report.epoch = 99;
    report.revision = 4;
    report.changed =
        EncodeTargets({{MakeNews(5, 1, AnnouncedState::kReady), {}, true},
                       odd,
                       late,
                       {MakeNews(8, 1, AnnouncedState::kReady), {}, true}});
    const Outbox polls =
        m_follower->OnMessage(NodeId{1}, report.Encode(), m_now);
    CPPUNIT_ASSERT_EQUAL(1, m_errors);
    CPPUNIT_ASSERT(m_directory.Find(5) != nullptr);
    CPPUNIT_ASSERT(m_directory.Find(8) != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_directory.entries().size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, polls.size());
    const auto poll = DecodeFeedMessage(polls[0].body);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, std::get<FeedPoll>(*poll).revision);
  }

  // A balancer that learns its share late refuses flows meanwhile.
  void SharesFollowAtOnceWithoutChangingOldEntries() {
    SetRoutes(1);
    ReceiveNews(NodeId{1}, 5, 1, AnnouncedState::kReady);
    Run(2 * kSecond);
    CPPUNIT_ASSERT(!m_directory.Find(5)->warm_up_shares);
    const WarmUpShares shares = {{kBalancer, 7}, {NodeId{101}, 6}};
    m_controls[1].directory.SetWarmUpShares(5, 1, shares);
    Run(milliseconds(120));
    CPPUNIT_ASSERT(m_directory.Find(5)->warm_up_shares == shares);
    const ReportedTarget plain{
        MakeNews(5, 1, AnnouncedState::kReady), {}, true};
    ReportedTarget with = plain;
    with.warm_up_shares = shares;
    nlohmann::json old = FromCbor(*EncodeTargets({plain}));
    CPPUNIT_ASSERT_EQUAL(std::size_t{11}, old[0].size());
    const auto read = DecodeTargets(*EncodeTargets({with, plain}));
    CPPUNIT_ASSERT(read->targets[0].warm_up_shares == shares);
    CPPUNIT_ASSERT(!read->targets[1].warm_up_shares);
    // Earlier versions read the first elements and ignore the others.
    old[0].push_back(ToJson(shares));
    old[0].push_back(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         DecodeTargets(ToCbor(old))->unreadable);
  }

  // The report is made some time after the heartbeat that it is based on.
  void WarmUpEndsNoEarlierThanTheTargetSaid() {
    SetRoutes(1);
    TargetAnnouncement news = MakeNews(5, 1, AnnouncedState::kReady);
    news.warm_up_left = 5 * kSecond;
    ControlVm& control = m_controls[1];
    control.directory.Take(news, m_now);
    control.publisher->OnTargetAnnounced(5, true, m_now);
    const TimePoint warm_at = m_now + news.warm_up_left;
    m_now += 2 * kSecond;
    Run(kSecond);
    const Duration left =
        m_directory.Find(5)->warm_at - m_follower->CoveredTime();
    CPPUNIT_ASSERT(m_now + left >= warm_at - milliseconds(1));
  }

  // A report that exceeds the largest message would never arrive.
  void TargetsWithLongNamesAreSplitAcrossReports() {
    constexpr std::uint64_t kTargets = 300;
    constexpr std::size_t kNameBytes = 1024;
    SetRoutes(1);
    for (std::uint64_t number = 1; number <= kTargets; ++number) {
      TargetAnnouncement announcement =
          MakeNews(number, 1, AnnouncedState::kReady);
      announcement.pool = std::string(kNameBytes, 'p');
      announcement.data_centre = std::string(kNameBytes, 'd');
      ControlVm& control = m_controls[1];
      control.directory.Take(announcement, m_now);
      control.publisher->OnTargetAnnounced(number, true, m_now);
    }
    Run(3 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{kTargets}, m_directory.entries().size());
    CPPUNIT_ASSERT(m_largest_report <= 40 << 10);
  }

 private:
  struct InFlight {
    NodeId from;
    OutgoingMessage message;
  };

  void StartControlVm(NodeId id) {
    ControlVm& control = m_controls[id.value];
    control = ControlVm{};
    FeedSettings settings;
    settings.self = id;
    settings.data_centre = "dc-" + std::to_string(id.value);
    control.publisher = std::make_unique<FeedPublisher>(
        settings, m_random(), &control.directory,
        FeedPublisher::Hooks{[this] { return m_members; },
                             [&control] { return control.routes.version(); },
                             [&control](ConfigVersion held) {
                               return control.routes.UpdateFrom(held);
                             }});
  }

  // Each version has one route of its own, besides a common one.
  static RouteTable MakeRoutes(std::uint64_t version) {
    RouteTable table;
    table.version = ConfigVersion{version};
    table.pools = {{"orders", "/health", 0}};
    for (const std::uint64_t port : {std::uint64_t{9}, 1000 + version}) {
      Route route;
      route.address = {IpAddress::FromV4(0xc6120001),
                       static_cast<std::uint16_t>(port)};
      route.pools = {{"orders", 1}};
      table.routes.push_back(route);
    }
    table.BuildIndex();
    return table;
  }
  void SetRoutes(std::uint64_t version) {
    for (auto& [id, control] : m_controls) {
      control.routes.Add(MakeRoutes(version));
    }
  }

  static TargetAnnouncement MakeNews(std::uint64_t number,
                                     std::uint64_t sequence,
                                     AnnouncedState state) {
    TargetAnnouncement announcement;
    announcement.number = number;
    announcement.started_ms = 1;
    announcement.sequence = sequence;
    announcement.state = state;
    announcement.pool = "orders";
    announcement.address = {IpAddress::FromV4(0x0a000000 + number), 80};
    return announcement;
  }
  void ReceiveNews(NodeId id, std::uint64_t number, std::uint64_t sequence,
                   AnnouncedState state) {
    ControlVm& control = m_controls[id.value];
    const AnnouncementEffect effect =
        control.directory.Take(MakeNews(number, sequence, state), m_now);
    control.publisher->OnTargetAnnounced(
        number, effect == AnnouncementEffect::kChanged, m_now);
  }
  void LearnFromPeer(NodeId id, std::uint64_t number) {
    m_controls[id.value].directory.Take(
        MakeNews(number, 1, AnnouncedState::kReady), m_now);
  }

  static std::size_t TargetCount(const FeedReport& report) {
    const auto targets = DecodeTargets(*report.changed);
    CPPUNIT_ASSERT(targets.has_value());
    return targets->targets.size();
  }

  Duration TimeSinceHeard(std::uint64_t number) const {
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
  void Deliver(const InFlight& in_flight) {
    const bool is_down = m_down.count(in_flight.from) != 0 ||
                         m_down.count(in_flight.message.to) != 0;
    if (is_down) return;
    if (in_flight.message.to == kBalancer) {
      return Send(
          kBalancer,
          m_follower->OnMessage(in_flight.from, in_flight.message.body, m_now));
    }
    if (m_drops_polls) return;
    ControlVm& control = m_controls[in_flight.message.to.value];
    Send(in_flight.message.to,
         control.publisher->OnMessage(in_flight.from, in_flight.message.body,
                                      m_now));
  }
  void Run(Duration span) {
    const TimePoint end = m_now + span;
    for (; m_now < end; m_now += milliseconds(1)) {
      while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now) {
        const InFlight in_flight = std::move(m_in_flight.begin()->second);
        m_in_flight.erase(m_in_flight.begin());
        Deliver(in_flight);
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
  bool m_drops_polls = false;
  std::vector<NodeId> m_members = {NodeId{1}, NodeId{2}, NodeId{3}};
  std::map<std::uint32_t, ControlVm> m_controls;
  std::multimap<TimePoint, InFlight> m_in_flight;
  TargetDirectory m_directory;
  ConfigVersion m_version;
  RouteTable m_routes;  // In use by the balancer.
  int m_whole_tables = 0;
  bool m_refuses_changes = false;
  std::size_t m_reports = 0;  // Sent by control VMs to the balancer.
  std::size_t m_report_bytes = 0;
  std::size_t m_largest_report = 0;
  int m_errors = 0;
  std::unique_ptr<FeedFollower> m_follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(TargetFeedTest);

}  // namespace
}  // namespace sardinelead
