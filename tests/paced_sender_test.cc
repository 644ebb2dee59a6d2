// A balancer in front of its own narrow link, in virtual time. The link carries
// 187,500 bytes per second (1.5 Mbit/s).

#include "paced_sender.h"

#include <optional>

#include "cookie_balancer_fixture.h"

namespace sardinelead {
namespace {

class PacedSenderTest : public CookieBalancerFixture {
  CPPUNIT_TEST_SUITE(PacedSenderTest);
  CPPUNIT_TEST(WideOrUnknownLinkHoldsNothing);
  CPPUNIT_TEST(BurstOfUploadsIsSentAtTheRateOfTheLink);
  CPPUNIT_TEST(CopiesBehindABurstMarkNoTargetLost);
  CPPUNIT_TEST(FinStaysBehindItsDataAndAResetDropsIt);
  CPPUNIT_TEST(CopyForASuccessorIsAPacketOfItsOwn);
  CPPUNIT_TEST(LaterAcknowledgementIsNoCopy);
  CPPUNIT_TEST(OtherTrafficDelaysPackets);
  CPPUNIT_TEST(BacklogRefusesUploadsOnly);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    CookieBalancerFixture::setUp();
    RouteTable routes = m_routes;
    routes.version = ConfigVersion{2};
    for (Route& route : routes.routes) route.timeout_ms = 2000;
    routes.routes[0].kind = RequestKind::kUpload;
    routes.routes[0].objective_ms = 300;
    routes.routes[0].priority = 3;
    routes.routes[1].objective_ms = 100;
    m_balancer.SetRoutes(routes);
  }

  void WideOrUnknownLinkHoldsNothing() {
    for (const std::uint64_t capacity :
         {std::uint64_t{0}, kOfNarrowLink * 100}) {
      Start(capacity);
      for (std::uint32_t i = 0; i < 200; ++i) SendData(1, i * 1200, 1200);
      CPPUNIT_ASSERT_EQUAL(std::size_t{200}, m_sent.size());
    }
  }

  void BurstOfUploadsIsSentAtTheRateOfTheLink() {
    Start(kOfNarrowLink);
    for (std::uint32_t i = 0; i < 16; ++i) SendData(1, i * 1200, 1200);
    CPPUNIT_ASSERT(m_sent.size() <= 3);
    const TimePoint began = m_now;
    RunUntilIdle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{16}, m_sent.size());
    CPPUNIT_ASSERT(m_now - began > milliseconds(85));
    CPPUNIT_ASSERT(m_now - began < milliseconds(115));
    for (std::uint32_t i = 0; i < 16; ++i) {
      CPPUNIT_ASSERT_EQUAL(kSequence + i * 1200, m_sent[i].sequence);
    }
  }

  // Guards against avoiding targets because requests wait here: their copies
  // are dropped, and their ages count from the hand-over.
  void CopiesBehindABurstMarkNoTargetLost() {
    Start(kOfNarrowLink);
    m_paced->OnOtherTraffic(45'000, m_now);
    SendData(2, 0, 300);
    SendData(3, 0, 300);
    RunFor(milliseconds(200));
    SendData(2, 0, 300);
    SendData(3, 0, 300);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_paced->queued_packets());
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->repeats);
    RunUntilIdle();
    RunFor(milliseconds(140));
    SendData(2, 0, 300);
    SendData(3, 0, 300);
    CPPUNIT_ASSERT_EQUAL(0U, m_balancer.placement().Find(1)->repeats);
    // The target is gone indeed.
    RunFor(milliseconds(200));
    SendData(2, 0, 300);
    SendData(3, 0, 300);
    CPPUNIT_ASSERT(m_balancer.placement().IsLost(1));
  }

  // Guards against a FIN that ends the flow before its data arrives, and
  // against data that arrives after a reset.
  void FinStaysBehindItsDataAndAResetDropsIt() {
    Start(kOfNarrowLink);
    SendUploads();
    FlowPacket end = Data(1, CookieOf(1), 0);
    end.finishes = true;
    Send(end);
    RunUntilIdle();
    CPPUNIT_ASSERT(m_sent.back().finishes);
    CPPUNIT_ASSERT_EQUAL(kUploadPackets + 1, m_sent.size());
    SendUploads();
    FlowPacket reset = Data(1, CookieOf(1), 0);
    reset.resets = true;
    Send(reset);
    CPPUNIT_ASSERT(m_paced->queued_packets() <= 1);
    RunUntilIdle();
    CPPUNIT_ASSERT(m_sent.back().resets);
    CPPUNIT_ASSERT(!m_balancer.HasQueued(reset.flow));
  }

  // Guards against a packet that is lost because its copy for another process
  // waits, or the other way round, and against a copy that counts as another
  // request of the flow's target.
  void CopyForASuccessorIsAPacketOfItsOwn() {
    Start(kOfNarrowLink);
    m_paced->OnOtherTraffic(20'000, m_now);
    const FlowPacket packet = Data(1, CookieOf(1), 300);
    Send(packet);
    const Bytes head{0};  // Names the packet that was sent first.
    const Bytes body(300);
    m_paced->ForwardCopy(packet, *Endpoint::Parse("10.0.0.1:80"), head, body,
                         m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_paced->queued_packets());
    RunUntilIdle();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_sent.size());
    CPPUNIT_ASSERT(!m_balancer.HasQueued(packet.flow));
  }

  // Guards against a caller's acknowledgement that is lost because an earlier
  // one waits.
  void LaterAcknowledgementIsNoCopy() {
    Start(kOfNarrowLink);
    m_paced->OnOtherTraffic(20'000, m_now);
    FlowPacket packet = Data(1, CookieOf(1), 0);
    Send(packet);
    Send(packet);
    packet.acknowledged += 1200;
    Send(packet);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_paced->queued_packets());
    RunUntilIdle();
    CPPUNIT_ASSERT_EQUAL(kAcknowledged + 1200, m_sent.back().acknowledged);
  }

  void OtherTrafficDelaysPackets() {
    Start(kOfNarrowLink);
    m_paced->OnOtherTraffic(20'000, m_now);
    const TimePoint began = m_now;
    SendData(1, 0, 1200);
    RunUntilIdle();
    CPPUNIT_ASSERT(m_now - began > milliseconds(80));
  }

  void BacklogRefusesUploadsOnly() {
    Start(kOfNarrowLink);
    const Route& upload = m_balancer.routes().routes[0];
    const Route& notes = m_balancer.routes().routes[1];
    CPPUNIT_ASSERT(m_paced->Admits(upload, m_now));
    for (int i = 0; i < 3; ++i) SendUploads();
    CPPUNIT_ASSERT(!m_paced->Admits(upload, m_now));
    CPPUNIT_ASSERT(m_paced->Admits(notes, m_now));
    RunUntilIdle();
    CPPUNIT_ASSERT(m_paced->Admits(upload, m_now));
  }

 private:
  static constexpr std::uint64_t kOfNarrowLink = 187'500;
  static constexpr std::size_t kUploadPackets = 16;

  void Start(std::uint64_t capacity) {
    PacedSender::Hooks hooks;
    hooks.send = [this](const Endpoint&, ByteView head, ByteView) {
      m_sent.push_back(m_packets[head.data[0]]);
    };
    hooks.flush = [] {};
    hooks.wake_after = [this](Duration after) { m_wake_at = m_now + after; };
    hooks.on_dropped = [](const FlowKey&, ScheduleDropReason) {};
    m_sent.clear();
    m_paced.emplace(capacity, &m_balancer, &m_metrics, hooks);
  }

  void Send(const FlowPacket& packet) {
    const Forwarding out = m_balancer.OnPacket(packet, m_now);
    CPPUNIT_ASSERT(out.action == ForwardAction::kForward);
    m_packets.push_back(packet);
    const Bytes head{static_cast<std::uint8_t>(m_packets.size() - 1)};
    m_paced->Forward(packet, out.address, head, Bytes(packet.length), m_now);
  }
  void SendData(std::uint16_t port, std::uint32_t offset,
                std::uint16_t length) {
    FlowPacket packet = Data(port, CookieOf(1), length);
    packet.sequence += offset;
    Send(packet);
  }
  void SendUploads() {
    for (std::uint32_t i = 0; i < kUploadPackets; ++i) {
      SendData(1, m_upload_offset, 1200);
      m_upload_offset += 1200;
    }
  }
  void RunFor(Duration span) {
    const TimePoint end = m_now + span;
    while (m_now < end) {
      m_now += milliseconds(1);
      if (m_wake_at && *m_wake_at <= m_now) {
        m_wake_at.reset();
        m_paced->OnWake(m_now);
      }
      Drain();
    }
  }
  void RunUntilIdle() {
    while (m_paced->queued_packets() != 0) RunFor(milliseconds(1));
  }

  Metrics m_metrics;
  std::vector<FlowPacket> m_packets;
  std::vector<FlowPacket> m_sent;
  std::uint32_t m_upload_offset = 0;
  std::optional<TimePoint> m_wake_at;
  std::optional<PacedSender> m_paced;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacedSenderTest);

}  // namespace
}  // namespace sardinelead
