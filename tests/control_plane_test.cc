#include "control_plane.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <atomic>
#include <random>
#include <thread>

#include "clock.h"
#include "evacuation_api.h"
#include "feed_message.h"
#include "log_budget.h"
#include "replica_cluster.h"
#include "sardinelead/http_client.h"
#include "status_page.h"
#include "target_store.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);

class ControlPlaneTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlPlaneTest);
  CPPUNIT_TEST(AcceptedDocumentIsPublishedInFeed);
  CPPUNIT_TEST(ReplicaRestartsAfterDiskFailure);
  CPPUNIT_TEST(StartsWithAFullDisk);
  CPPUNIT_TEST(TargetsOutliveARestart);
  CPPUNIT_TEST(TargetsAreStoredOnceAFullDiskHasRoom);
  CPPUNIT_TEST(CorruptTargetFileIsReported);
  CPPUNIT_TEST(SubmitWithoutQuorumFailsImmediately);
  CPPUNIT_TEST(ColdTargetsAreGrantedOnceForAStart);
  CPPUNIT_TEST(WithoutAQuorumNothingIsGranted);
  CPPUNIT_TEST(JoiningReplicaNamesReachableVoter);
  CPPUNIT_TEST(EvacuationIsOrderedAndItsAgeIsKnown);
  CPPUNIT_TEST(AbandonedEvacuationIsNotSubmitted);
  CPPUNIT_TEST(EvacuationIsNotSubmittedAfterTheDeadline);
  CPPUNIT_TEST(EvacuationCallsAreAnswered);
  CPPUNIT_TEST(StatusShowsVersionsAndTargets);
  CPPUNIT_TEST(FloodOfOneEventDoesNotSuppressOthers);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override { Start(true); }

  void AcceptedDocumentIsPublishedInFeed() {
    CPPUNIT_ASSERT(SubmitNow(4) == OutcomeKind::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, m_routes_version);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, m_plane->document().version.value);
  }

  // The replica recovers without a manual restart once a full disk has space
  // again.
  void ReplicaRestartsAfterDiskFailure() {
    CPPUNIT_ASSERT(SubmitNow(1) == OutcomeKind::kAccepted);
    m_disk.is_full = true;
    CPPUNIT_ASSERT(SubmitNow(2) == OutcomeKind::kUnknown);
    Run(5 * kSecond);
    CPPUNIT_ASSERT(m_plane->Status(m_now).role == ReplicaRole::kFaulty);
    m_disk.is_full = false;
    Run(3 * kSecond);
    CPPUNIT_ASSERT(m_plane->Status(m_now).role == ReplicaRole::kVoting);
    CPPUNIT_ASSERT(SubmitNow(3) == OutcomeKind::kAccepted);
  }

  void TargetsOutliveARestart() {
    TargetAnnouncement report;
    report.number = 5;
    report.started_ms = 7;
    report.sequence = 3;
    report.pool = "orders";
    report.address = *Endpoint::Parse("10.0.0.5:80");
    m_plane->Take(report, m_now);
    TargetAnnouncement ended = report;
    ended.number = 6;
    ended.address.port = 81;
    ended.state = AnnouncedState::kEnded;
    m_plane->Take(ended, m_now);
    Run(kSecond);
    Start(false);
    const auto* entry = m_plane->directory().Find(5);
    CPPUNIT_ASSERT(entry != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, entry->announcement.sequence);
    CPPUNIT_ASSERT(m_plane->directory().Find(6) == nullptr);
    // A newer report from the target overrides the stored state.
    report.state = AnnouncedState::kDraining;
    report.sequence = 4;
    CPPUNIT_ASSERT(m_plane->Take(report, m_now) ==
                   AnnouncementEffect::kChanged);
  }

  // Guards against a process that ends again and again while its disk is full.
  void StartsWithAFullDisk() {
    CPPUNIT_ASSERT(SubmitNow(1) == OutcomeKind::kAccepted);
    m_disk.is_full = true;
    Start(false);
    CPPUNIT_ASSERT(m_plane->Status(m_now).role == ReplicaRole::kFaulty);
    CPPUNIT_ASSERT(SubmitNow(2) == OutcomeKind::kUnknown);
    m_disk.is_full = false;
    Run(3 * kSecond);
    CPPUNIT_ASSERT(m_plane->Status(m_now).role == ReplicaRole::kVoting);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_plane->document().version.value);
    CPPUNIT_ASSERT(SubmitNow(3) == OutcomeKind::kAccepted);
  }

  // Guards against targets that are missing after a restart because their list
  // could not be written for some seconds and did not change afterwards.
  void TargetsAreStoredOnceAFullDiskHasRoom() {
    m_disk.is_full = true;
    TargetAnnouncement report;
    report.number = 5;
    report.pool = "orders";
    report.address = *Endpoint::Parse("10.0.0.5:80");
    m_plane->Take(report, m_now);
    Run(3 * kSecond);
    m_disk.is_full = false;
    Run(3 * kSecond);
    Start(false);
    CPPUNIT_ASSERT(m_plane->directory().Find(5) != nullptr);
  }

  void CorruptTargetFileIsReported() {
    TargetAnnouncement report;
    report.number = 5;
    m_plane->Take(report, m_now);
    Run(kSecond);
    Bytes& file = m_disk.files()["targets"].synced;
    CPPUNIT_ASSERT(!file.empty());
    file.back() ^= 1;
    m_errors = 0;
    Start(false);
    CPPUNIT_ASSERT_EQUAL(1, m_errors);
    CPPUNIT_ASSERT(m_plane->directory().entries().empty());
    Run(kSecond);
    CPPUNIT_ASSERT(SubmitNow(1) == OutcomeKind::kAccepted);
  }

  void SubmitWithoutQuorumFailsImmediately() {
    LoseQuorum();
    std::optional<Outcome> outcome;
    m_plane->Submit(
        MakeDocument(9), [&](const Outcome& o) { outcome = o; }, m_now);
    CPPUNIT_ASSERT(outcome.has_value());
    CPPUNIT_ASSERT(outcome->kind == OutcomeKind::kUnknown);
  }

  // Further grants for one start would let more balancers send than the quota
  // allows.
  void ColdTargetsAreGrantedOnceForAStart() {
    Start(false, NodeId{1}, true);
    CPPUNIT_ASSERT(SubmitNow(1) == OutcomeKind::kAccepted);
    RunWithColdTarget(4 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_grants.size());
    const WarmUpShares shares = {{NodeId{7}, 9}};
    CPPUNIT_ASSERT(m_grants[0].shares == shares);
    CPPUNIT_ASSERT(m_plane->directory().Find(5)->warm_up_shares == shares);
    const std::uint64_t log_index = m_plane->Status(m_now).log_index;
    Start(false, NodeId{1}, true);
    RunWithColdTarget(4 * kSecond);
    CPPUNIT_ASSERT(m_plane->directory().Find(5)->warm_up_shares == shares);
    CPPUNIT_ASSERT_EQUAL(log_index, m_plane->Status(m_now).log_index);
  }

  void WithoutAQuorumNothingIsGranted() {
    Start(false, NodeId{1}, true);
    CPPUNIT_ASSERT(SubmitNow(1) == OutcomeKind::kAccepted);
    LoseQuorum();
    RunWithColdTarget(4 * kSecond);
    CPPUNIT_ASSERT(m_grants.empty());
  }

  // A repeated order must not restart the balancers' gradual shift.
  void EvacuationIsOrderedAndItsAgeIsKnown() {
    CPPUNIT_ASSERT(Order(true) == OutcomeKind::kAccepted);
    const std::uint64_t first = m_plane->evacuations().ChangedAt("luzon-a");
    Run(kSecond);
    CPPUNIT_ASSERT(Order(true) == OutcomeKind::kAccepted);
    CPPUNIT_ASSERT(m_plane->evacuations().ChangedAt("luzon-a") > first);
    CPPUNIT_ASSERT(*m_plane->EvacuationAge("luzon-a", m_now) >= kSecond);
    Start(false);
    CPPUNIT_ASSERT(m_plane->evacuations().IsEvacuated("luzon-a"));
    CPPUNIT_ASSERT(!m_plane->EvacuationAge("luzon-a", m_now));
    CPPUNIT_ASSERT(Order(false) == OutcomeKind::kAccepted);
    CPPUNIT_ASSERT(!m_plane->evacuations().IsEvacuated("luzon-a"));
    CPPUNIT_ASSERT(m_plane->EvacuationAge("luzon-a", m_now).has_value());
  }

  void AbandonedEvacuationIsNotSubmitted() {
    CPPUNIT_ASSERT(Order(true, true) == OutcomeKind::kUnknown);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_plane->evacuations().version());
  }

  // This process freezes while it waits for the confirmation of its read.
  void EvacuationIsNotSubmittedAfterTheDeadline() {
    TestCluster other(3, 2);
    other.settings.allow_automatic_join = true;
    other.settings.contacts = {NodeId{1}};
    other.Start(NodeId{2});
    for (int step = 0; step < 300; ++step) {
      Run(milliseconds(10));
      ExchangeMessages(&other);
    }
    for (const Duration pause : {Duration{0}, kSecond}) {
      std::optional<Outcome> outcome;
      m_plane->OrderEvacuation(
          "luzon-a", true, [] { return false; },
          [&](const Outcome& o) { outcome = o; }, m_now);
      CPPUNIT_ASSERT(!outcome);
      m_now += pause;
      for (int step = 0; step < 20; ++step) {
        ExchangeMessages(&other);
        Run(milliseconds(10));
      }
      CPPUNIT_ASSERT(outcome.has_value());
      const bool is_late = pause > Duration{0};
      CPPUNIT_ASSERT(outcome->kind == (is_late ? OutcomeKind::kUnknown
                                               : OutcomeKind::kAccepted));
    }
  }

  void EvacuationCallsAreAnswered() {
    asio::io_context context{1};
    HttpServerSettings settings;
    settings.listen = *Endpoint::Parse("127.0.0.1:0");
    HttpServer server(settings);
    // A call that follows a stall is refused.
    ClockReadings clocks{m_now, m_now};
    EvacuationApi api({"luzon-a"}, m_plane.get(),
                      {[&] { return clocks; },
                       [](const HttpRequest&) { return std::nullopt; }});
    api.AddRoutes(&server);
    const Endpoint bound = server.StartOn(&context).value();
    const auto call = [&](const char* path) {
      HttpClientRequest request;
      request.method = HttpMethod::kPost;
      request.path = path;
      std::atomic<int> status{0};
      std::thread caller(
          [&] { status = SendHttpRequest(bound, request).value().status; });
      const TimePoint end = SteadyNow() + 5 * kSecond;
      while (SteadyNow() < end && !(status != 0 && server.IsIdle())) {
        context.run_one_for(milliseconds(10));
        context.restart();
      }
      caller.join();
      return status.load();
    };
    CPPUNIT_ASSERT_EQUAL(404, call("/evacuations/luzon-b/start"));
    CPPUNIT_ASSERT_EQUAL(200, call("/evacuations/luzon-a/start"));
    CPPUNIT_ASSERT(m_plane->evacuations().IsEvacuated("luzon-a"));
    clocks.boot += kSecond;
    CPPUNIT_ASSERT_EQUAL(503, call("/evacuations/luzon-a/finish"));
    clocks.steady += milliseconds(50);
    CPPUNIT_ASSERT_EQUAL(200, call("/evacuations/luzon-a/finish"));
    CPPUNIT_ASSERT(!m_plane->evacuations().IsEvacuated("luzon-a"));
  }

  void JoiningReplicaNamesReachableVoter() {
    CPPUNIT_ASSERT(
        !m_plane->FindReachableVoter(m_now));  // This replica is a voter.
    TestCluster other(3, 2);
    other.settings.contacts = {NodeId{2}};
    other.settings.allow_automatic_join = true;
    other.settings.max_members = 1;
    other.Start(NodeId{2}, true);
    m_disk.Erase();
    Start(false, NodeId{2});
    for (int step = 0; step < 300; ++step) {
      Run(milliseconds(10));
      ExchangeMessages(&other);
    }
    CPPUNIT_ASSERT(m_plane->Status(m_now).role == ReplicaRole::kJoining);
    CPPUNIT_ASSERT(
        !m_plane->FindReachableVoter(m_now));  // No reachable voter yet.
    m_plane->OnMessage(NodeId{2}, MessageKind::kFeed, FeedReport{}.Encode(),
                       m_now);
    CPPUNIT_ASSERT(m_plane->FindReachableVoter(m_now) == NodeId{2});
    Run(3 * kSecond);
    CPPUNIT_ASSERT(!m_plane->FindReachableVoter(m_now));
  }

  void StatusShowsVersionsAndTargets() {
    CPPUNIT_ASSERT(SubmitNow(4) == OutcomeKind::kAccepted);
    CPPUNIT_ASSERT(Order(true) == OutcomeKind::kAccepted);
    TargetAnnouncement report;
    report.number = 5;
    report.pool = "orders";
    report.address = *Endpoint::Parse("10.0.0.5:80");
    m_plane->Take(report, m_now);
    FeedPoll poll;
    poll.version = ConfigVersion{3};
    poll.data_centre = "a";
    m_plane->OnMessage(NodeId{0x0a000008}, MessageKind::kFeed, poll.Encode(),
                       m_now);
    poll.evacuations = m_plane->evacuations().version();
    m_plane->OnMessage(NodeId{0x0a000007}, MessageKind::kFeed, poll.Encode(),
                       m_now);
    const nlohmann::json status = ControlStatus(
        *m_plane,
        [](NodeId node) { return IpAddress::FromV4(node.value).ToString(); },
        m_now);
    CPPUNIT_ASSERT_EQUAL(std::string("voting"),
                         status["role"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(4, status["version"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.7"),
                         status["balancers"][0]["address"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(3, status["balancers"][0]["version"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::string("10.0.0.5:80"),
                         status["targets"][0]["address"].get<std::string>());
    CPPUNIT_ASSERT(status["controls"].empty());
    CPPUNIT_ASSERT_EQUAL(1,
                         status.value("balancers_with_newest_evacuations", -1));
  }

  void FloodOfOneEventDoesNotSuppressOthers() {
    LogRateLimiter budget(LogRateLimitSettings{});
    int written = 0;
    for (int i = 0; i < 10'000; ++i) {
      written += budget.Take("flood", m_now + milliseconds(i)) ? 1 : 0;
    }
    CPPUNIT_ASSERT(written >= 130 && written <= 145);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t(10'000 - written),
                         budget.TakeDroppedCount("flood"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.TakeDroppedCount("flood"));
    CPPUNIT_ASSERT(budget.Take("rare", m_now));
    budget.CountDropped("rare");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, budget.TakeDroppedCount("rare"));
  }

 private:
  static Document MakeDocument(std::uint64_t version) {
    return {ConfigVersion{version}, std::make_shared<const Bytes>(Bytes{1})};
  }

  void LoseQuorum() {
    // Another replica joins and then stops responding.
    TestCluster other(3, 2);
    other.settings.allow_automatic_join = true;
    other.settings.contacts = {NodeId{1}};
    other.Start(NodeId{2});
    for (int step = 0; step < 300; ++step) {
      Run(milliseconds(10));
      ExchangeMessages(&other);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_plane->Status(m_now).members.size());
    Run(2 * kSecond);
  }

  // Balancer 7 polls and target 5 is warming up.
  void RunWithColdTarget(Duration span) {
    TargetAnnouncement target;
    target.number = 5;
    target.started_ms = 7;
    target.pool = "orders";
    target.address = *Endpoint::Parse("10.0.0.5:80");
    for (const TimePoint end = m_now + span; m_now < end;) {
      target.warm_up_left = 60 * kSecond - m_now.time_since_epoch();
      ++target.sequence;
      m_plane->Take(target, m_now);
      m_plane->OnMessage(NodeId{7}, MessageKind::kFeed, FeedPoll{}.Encode(),
                         m_now);
      Run(milliseconds(500));
    }
  }

  void Start(bool is_first, NodeId contact = NodeId{1},
             bool limits_warm_up = false) {
    ControlPlaneSettings settings;
    settings.replica.self = NodeId{1};
    settings.replica.contacts = {contact};
    settings.replica.bootstrap = is_first;
    settings.replica.allow_automatic_join = true;
    settings.feed.self = NodeId{1};
    settings.feed.counts_covered_time = false;
    settings.epoch = m_random();
    if (limits_warm_up) settings.warm_up.emplace().limit = {1.5, 2};
    ControlPlane::Hooks hooks;
    hooks.random = [this] { return m_random(); };
    hooks.open_files = [this] { return m_disk.Hooks(); };
    hooks.read_routes = [](const Document& document) -> Result<RouteTable> {
      RouteTable table;
      table.version = document.version;
      table.pools = {{"orders", "/health", 0, 10 * kSecond, 5}};
      return table;
    };
    hooks.send = [this](const Outbox& messages) {
      m_sent.insert(m_sent.end(), messages.begin(), messages.end());
    };
    hooks.on_role = [](ReplicaRole) {};
    hooks.on_members = [](const ReplicaStatus&) {};
    hooks.on_evacuation = [](const std::string&, const Evacuation&) {};
    hooks.on_target_replaced = [](const TargetAnnouncement&,
                                  const TargetAnnouncement&) {};
    hooks.on_warm_up_granted = [this](const WarmUpGrant& grant,
                                      const TargetAnnouncement&) {
      m_grants.push_back(grant);
    };
    hooks.on_routes = [this](const RouteTable& routes) {
      m_routes_version = routes.version.value;
    };
    hooks.on_error = [this](const Error&) { ++m_errors; };
    m_plane = std::make_unique<ControlPlane>(settings, hooks);
    CPPUNIT_ASSERT(m_plane->Start(m_now).has_value());
    Run(milliseconds(100));
  }

  void Run(Duration span) {
    const TimePoint end = m_now + span;
    for (; m_now < end; m_now += milliseconds(10)) m_plane->OnTick(m_now);
  }

  OutcomeKind SubmitNow(std::uint64_t version) {
    std::optional<Outcome> outcome;
    m_plane->Submit(
        MakeDocument(version), [&](const Outcome& o) { outcome = o; }, m_now);
    Run(kSecond);
    CPPUNIT_ASSERT(outcome.has_value());
    return outcome->kind;
  }

  OutcomeKind Order(bool is_active, bool is_abandoned = false) {
    std::optional<Outcome> outcome;
    m_plane->OrderEvacuation(
        "luzon-a", is_active, [=] { return is_abandoned; },
        [&](const Outcome& o) { outcome = o; }, m_now);
    CPPUNIT_ASSERT(outcome.has_value());
    return outcome->kind;
  }

  // Delivers messages between this control plane and replica 2.
  void ExchangeMessages(TestCluster* other) {
    TestNode& node = other->nodes[NodeId{2}];
    for (const OutgoingMessage& message : std::exchange(m_sent, {})) {
      if (message.kind != MessageKind::kAgreement) continue;
      if (message.to != NodeId{2}) continue;
      Deliver(node.replica->OnMessage(NodeId{1}, message.body, m_now));
    }
    Deliver(node.replica->OnTick(m_now));
    while (node.replica->NeedsSync()) Deliver(node.replica->Sync(m_now));
  }
  void Deliver(const ReplicaOutput& output) {
    for (const OutgoingMessage& message : output.messages) {
      m_plane->OnMessage(NodeId{2}, message.kind, message.body, m_now);
    }
    m_plane->Flush(m_now);
  }

  TimePoint m_now{std::chrono::seconds(10)};
  std::mt19937_64 m_random{5};
  MemoryDisk m_disk;
  Outbox m_sent;
  std::uint64_t m_routes_version = 0;
  int m_errors = 0;
  std::vector<WarmUpGrant> m_grants;  // As reported.
  std::unique_ptr<ControlPlane> m_plane;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlPlaneTest);

}  // namespace
}  // namespace sardinelead
