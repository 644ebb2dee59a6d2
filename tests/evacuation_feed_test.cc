// Two control VMs that distribute evacuations to a balancer, in virtual time.

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <set>

#include "cbor.h"
#include "feed_message.h"
#include "sardinelead/feed_follower.h"
#include "sardinelead/feed_publisher.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
constexpr Duration kSecond = std::chrono::seconds(1);
const NodeId kBalancer{100};
const std::vector<NodeId> kControls = {NodeId{1}, NodeId{2}};

class EvacuationFeedTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationFeedTest);
  CPPUNIT_TEST(OlderVersionsSkipTheNewFields);
  CPPUNIT_TEST(LostReportIsSentAgain);
  CPPUNIT_TEST(StartingBalancerGetsTheTableFirst);
  CPPUNIT_TEST(CutOffBalancerKeepsItsTable);
  CPPUNIT_TEST(LaggingControlVmDoesNotRevert);
  CPPUNIT_TEST(TableIsNotRepeatedOnceAcknowledged);
  CPPUNIT_TEST(OlderBalancersAreNotFlooded);
  CPPUNIT_TEST(ControlVmsIgnoreTheTable);
  CPPUNIT_TEST(UnreadableTableDoesNotHideTargets);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    for (const NodeId id : kControls) StartControlVm(id);
    StartBalancer(false);
    Run(kSecond);
  }

  // Without the trailing field, messages are those of the version before.
  void OlderVersionsSkipTheNewFields() {
    FeedPoll poll;
    poll.evacuations = 7;
    FeedReport report;
    report.evacuations = EncodeEvacuations(m_controls[1].report);
    AssertTrailing(poll.Encode(), FeedPoll{}.Encode(), 9);
    AssertTrailing(report.Encode(), FeedReport{}.Encode(), 11);
  }

  void LostReportIsSentAgain() {
    Order("a", true, 5);
    m_loses_reports = true;
    Run(milliseconds(400));
    m_loses_reports = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, InForce());
    Run(milliseconds(700));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_held.table.version());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, InForce());
    const SubscriberStatus status = m_controls[1].publisher->Status(m_now)[0];
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, status.evacuations);
  }

  // Guards against a balancer that is ready before it knows the order.
  void StartingBalancerGetsTheTableFirst() {
    Order("a", true, 5);
    m_controls[1].report.ages["a"] = 3 * kSecond;
    StartBalancer(false);
    Run(milliseconds(10));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_held.table.version());
    CPPUNIT_ASSERT(m_held.ages.at("a") == 3 * kSecond);
  }

  void CutOffBalancerKeepsItsTable() {
    Order("a", true, 5);
    Run(kSecond);
    m_cut_off = {kBalancer};
    Order("b", true, 9);
    Run(10 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_held.table.version());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, InForce());
    m_cut_off.clear();
    Run(kSecond + milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, m_held.table.version());
  }

  void LaggingControlVmDoesNotRevert() {
    Order("a", true, 5);
    m_controls[1].report.table.Set("a", false, 9);
    Run(kSecond);
    CPPUNIT_ASSERT(!m_held.table.IsEvacuated("a"));
    StartControlVm(NodeId{2});
    Run(2 * kSecond);
    CPPUNIT_ASSERT(!m_held.table.IsEvacuated("a"));
    StartBalancer(false);
    m_cut_off = {NodeId{1}};
    Run(kSecond);
    CPPUNIT_ASSERT(m_held.table.IsEvacuated("a"));
    m_cut_off.clear();
    Run(2 * kSecond);
    CPPUNIT_ASSERT(!m_held.table.IsEvacuated("a"));
  }

  void TableIsNotRepeatedOnceAcknowledged() {
    CPPUNIT_ASSERT_EQUAL(0, m_tables_sent);
    Order("a", true, 5);
    Run(5 * kSecond);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, m_held.table.version());
    CPPUNIT_ASSERT(m_tables_sent <= 2);
  }

  // A balancer of an older version never acknowledges the table.
  void OlderBalancersAreNotFlooded() {
    Order("a", true, 5);
    m_follower.reset();
    FeedPublisher& publisher = *m_controls[1].publisher;
    for (int second = 0; second < 4; ++second) {
      publisher.OnMessage(kBalancer, FeedPoll{}.Encode(), m_now);
      Run(kSecond);
    }
    CPPUNIT_ASSERT(m_tables_sent <= 4 * 5);
  }

  // A control VM must not override what it gets by replication.
  void ControlVmsIgnoreTheTable() {
    StartBalancer(true);
    Order("a", true, 5);
    Run(2 * kSecond);
    CPPUNIT_ASSERT_EQUAL(0, m_tables_sent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, InForce());
    FeedReport report;
    report.evacuations = EncodeEvacuations(m_controls[1].report);
    m_follower->OnMessage(NodeId{1}, report.Encode(), m_now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_held.table.version());
  }

  void UnreadableTableDoesNotHideTargets() {
    FeedReport report;
    report.evacuations = {1, 2, 3};
    report.changed = EncodeTargets({{{8}, {}, true}});
    m_follower->OnMessage(NodeId{1}, report.Encode(), m_now);
    CPPUNIT_ASSERT_EQUAL(1, m_errors);
    CPPUNIT_ASSERT(m_directory.Find(8) != nullptr);
  }

 private:
  struct ControlVm {
    TargetDirectory directory;
    EvacuationReport report;
    std::unique_ptr<FeedPublisher> publisher;
  };

  static void AssertTrailing(const Bytes& newer, const Bytes& older,
                             std::size_t older_fields) {
    nlohmann::json fields = FromCbor(newer);
    fields.push_back("of a later version");
    CPPUNIT_ASSERT(DecodeFeedMessage(ToCbor(fields)).has_value());
    CPPUNIT_ASSERT_EQUAL(older_fields + 2, fields.size());
    fields.erase(older_fields + 1);
    fields.erase(older_fields);
    CPPUNIT_ASSERT(ToCbor(fields) == older);
    CPPUNIT_ASSERT(DecodeFeedMessage(older).has_value());
  }
  void Order(const char* data_centre, bool is_active, std::uint64_t log_index) {
    for (auto& [id, control] : m_controls) {
      control.report.table.Set(data_centre, is_active, log_index);
    }
  }
  // Number of balancers at which the order is in force, by a control VM.
  std::size_t InForce() {
    return m_controls[1].publisher->BalancersWithNewestEvacuations();
  }

  void StartControlVm(NodeId id) {
    ControlVm& control = m_controls[id.value];
    FeedSettings settings;
    settings.self = id;
    control.publisher = std::make_unique<FeedPublisher>(
        settings, ++m_epoch, &control.directory,
        FeedPublisher::Hooks{
            [] { return kControls; }, [] { return ConfigVersion{0}; },
            [](ConfigVersion) { return RouteUpdate{}; },
            [&control] { return control.report.table.version(); },
            [&control](TimePoint) { return control.report; }});
  }
  void StartBalancer(bool is_control) {
    m_held = {};
    FeedSettings settings;
    settings.is_control = is_control;
    m_follower = std::make_unique<FeedFollower>(
        settings, kControls, &m_directory,
        FeedFollower::Hooks{
            {},
            {},
            [](NodeId, bool) {},
            [this](NodeId, const Error&) { ++m_errors; },
            [this](const EvacuationReport& report) { m_held = report; }});
  }

  void Send(NodeId from, const Outbox& messages) {
    for (const OutgoingMessage& message : messages) {
      const auto decoded = DecodeFeedMessage(message.body);
      const auto* report = std::get_if<FeedReport>(&*decoded);
      const bool is_report = report != nullptr;
      m_tables_sent += is_report && !report->evacuations.empty() ? 1 : 0;
      const bool is_lost = (m_loses_reports && is_report) ||
                           m_cut_off.count(from) + m_cut_off.count(message.to);
      if (is_lost || (is_report && !m_follower)) continue;
      Send(message.to, is_report
                           ? m_follower->OnMessage(from, message.body, m_now)
                           : m_controls[message.to.value].publisher->OnMessage(
                                 from, message.body, m_now));
    }
  }
  void Run(Duration span) {
    constexpr Duration kStep = milliseconds(10);
    for (const TimePoint end = m_now + span; m_now < end; m_now += kStep) {
      if (m_follower) Send(kBalancer, m_follower->OnTick(m_now));
      for (auto& [id, control] : m_controls) {
        Send(NodeId{id}, control.publisher->OnTick(m_now));
      }
    }
  }

  TimePoint m_now{100 * kSecond};
  std::uint64_t m_epoch = 0;
  std::map<std::uint32_t, ControlVm> m_controls;
  std::set<NodeId> m_cut_off;
  bool m_loses_reports = false;
  int m_tables_sent = 0;
  int m_errors = 0;
  EvacuationReport m_held;
  TargetDirectory m_directory;
  std::unique_ptr<FeedFollower> m_follower;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationFeedTest);

}  // namespace
}  // namespace sardinelead
