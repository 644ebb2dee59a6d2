// A balancer that stalls between callers and a target, in virtual time.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "quick.h"
#include "sardinelead/cookie_balancer.h"
#include "single_route.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;

const Endpoint kService = *Endpoint::Parse("198.18.0.1:8443");
constexpr std::uint64_t kTarget = 7;
const Endpoint kTargetAddress = *Endpoint::Parse("10.0.0.1:80");
constexpr Duration kLinkDelay = milliseconds(1);
constexpr Duration kWork = milliseconds(50);
// How often the balancer reads its socket while it does not stall.
constexpr Duration kReadInterval = milliseconds(5);
constexpr Duration kRequestInterval = milliseconds(230);
constexpr Duration kSweepInterval = milliseconds(250);
constexpr std::uint16_t kRequestBytes = 300;
constexpr std::uint16_t kAnswerBytes = 600;

// Where in its loop the balancer stalls.
enum class StallPoint : std::uint8_t {
  kBeforeRead,
  kBeforeProcessing,
  kBeforeSending,
  kBeforeReport,
  kBeforeSweep,
  kCount,
};

struct Stall {
  StallPoint point = StallPoint::kBeforeRead;
  Duration begin{0};
  Duration length{0};
  // The stall repeats at this interval; zero for once.
  Duration interval{0};
};

struct World {
  std::size_t buffer_packets = 1000;  // Capacity of the balancer's socket.
  Duration target_ends{0};            // When the target crashes; 0 for never.
  bool is_swept = true;  // Whether the balancer times out requests.
};

// Two callers that send requests and one with an idle flow, a target that
// acknowledges each request at once, and a balancer.
class StallWorld {
 public:
  StallWorld(const World& world, const Stall& stall)
      : m_world(world), m_stall(stall), m_balancer(MakeBalancer()) {
    const RouteTable table = MakeSingleRoute(kService);
    m_directory.SetPools(table.PoolNames(), m_now);
    m_balancer.SetRoutes(table);
    TargetAnnouncement announcement;
    announcement.number = kTarget;
    announcement.pool = "orders";
    announcement.address = kTargetAddress;
    announcement.data_centre = "a";
    m_directory.Take(announcement, m_now);
    for (std::uint16_t port = 1; port <= 3; ++port) {
      FlowPacket opened = MakePacket(port, 0);
      SendToBalancer(opened);
    }
    for (std::uint16_t port = 1; port <= 2; ++port) {
      At(m_now + port * milliseconds(17), [this, port] { StartRequest(port); });
    }
  }

  void RunFor(Duration span) {
    const TimePoint end = m_now + span;
    while (m_now < end) {
      RunBalancer();
      AdvanceTo(m_now + kReadInterval);
    }
  }

  std::size_t resets() const { return m_resets; }                // NOLINT
  std::uint64_t answered() const { return m_answered; }          // NOLINT
  const CookieBalancer& balancer() const { return m_balancer; }  // NOLINT
  Duration elapsed() const { return m_now - kStart; }

 private:
  static constexpr TimePoint kStart{std::chrono::seconds(100)};

  struct Arrival {
    FlowPacket packet;
    std::uint32_t overflowed = 0;  // Packets dropped before this one.
  };

  struct Caller {
    std::uint32_t sequence = 1000;  // Of its next request.
    std::uint32_t acknowledged = 5000;
    std::uint64_t request = 0;  // Counts its requests.
    bool is_acknowledged = true;
    bool is_answered = true;
  };

  CookieBalancer MakeBalancer() {
    CookieBalancerSettings settings;
    settings.data_centre = "a";
    return CookieBalancer(
        settings, &m_directory,
        {[] { return std::uint64_t{1}; }, [this] { return m_now; },
         [] { return std::size_t{1}; }, [] { return false; },
         [](const TargetHealthReport&) {}, [](const FlowTiming&) {}});
  }

  void At(TimePoint at, std::function<void()> action) {
    m_events.emplace(at, std::move(action));
  }

  void AdvanceTo(TimePoint at) {
    while (!m_events.empty() && m_events.begin()->first <= at) {
      m_now = std::max(m_now, m_events.begin()->first);
      const auto action = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      action();
    }
    m_now = std::max(m_now, at);
  }

  FlowPacket MakePacket(std::uint16_t port, std::uint16_t length) {
    FlowPacket packet;
    packet.flow.caller = {IpAddress::FromV4(0x64400001), port};
    packet.flow.service = kService;
    packet.acknowledges = true;
    packet.acknowledged = m_callers[port].acknowledged;
    packet.sequence = m_callers[port].sequence;
    packet.cookie = CookieOf(kTarget, kTargetAddress);
    packet.length = length;
    return packet;
  }

  void SendToBalancer(const FlowPacket& packet) {
    At(m_now + kLinkDelay, [this, packet] {
      if (m_socket.size() < m_world.buffer_packets) {
        m_socket.push_back({packet, m_overflowed});
      } else {
        ++m_overflowed;
      }
    });
  }

  void StartRequest(std::uint16_t port) {
    Caller& caller = m_callers[port];
    ++caller.request;
    caller.is_acknowledged = false;
    caller.is_answered = false;
    SendRequest(port, caller.request, milliseconds(200));
  }

  // Sends a copy of the request, and the next one after `wait` unless it is
  // acknowledged by then.
  void SendRequest(std::uint16_t port, std::uint64_t request, Duration wait) {
    Caller& caller = m_callers[port];
    if (caller.request != request || caller.is_acknowledged) return;
    SendToBalancer(MakePacket(port, kRequestBytes));
    At(m_now + wait, [this, port, request, wait] {
      SendRequest(port, request,
                  std::min<Duration>(wait * 2, milliseconds(1600)));
    });
  }

  // The target has got a request: it acknowledges at once and answers later,
  // both directly to the caller.
  void DeliverToTarget(std::uint16_t port, std::uint32_t sequence) {
    const Duration ends = m_world.target_ends;
    if (ends != Duration{0} && elapsed() >= ends) return;
    Caller& caller = m_callers[port];
    const bool is_current = sequence == caller.sequence && !caller.is_answered;
    if (!is_current) return;
    const std::uint64_t request = caller.request;
    At(m_now + kLinkDelay, [this, port, request] {
      Caller& acknowledged = m_callers[port];
      if (acknowledged.request == request) acknowledged.is_acknowledged = true;
    });
    At(m_now + kWork + kLinkDelay,
       [this, port, request] { TakeAnswer(port, request); });
  }

  void TakeAnswer(std::uint16_t port, std::uint64_t request) {
    Caller& caller = m_callers[port];
    if (caller.request != request || caller.is_answered) return;
    caller.is_answered = true;
    caller.is_acknowledged = true;
    caller.sequence += kRequestBytes;
    caller.acknowledged += kAnswerBytes;
    ++m_answered;
    SendToBalancer(MakePacket(port, 0));
    At(m_now + kRequestInterval, [this, port] { StartRequest(port); });
  }

  void Reach(StallPoint point) {
    const bool is_due = m_stall.point == point && m_stall.length.count() > 0 &&
                        elapsed() >= m_stall.begin;
    if (!is_due) return;
    const Duration length = m_stall.length;
    if (m_stall.interval.count() > 0) {
      m_stall.begin += m_stall.interval;
    } else {
      m_stall.length = Duration{0};
    }
    AdvanceTo(m_now + length);
  }

  // Reads the socket once, as UdpPort does.
  void RunBalancer() {
    Reach(StallPoint::kBeforeRead);
    const TimePoint read_at = m_now;
    const std::deque<Arrival> packets = std::exchange(m_socket, {});
    if (!packets.empty() && packets.back().overflowed != m_known_overflowed) {
      m_known_overflowed = packets.back().overflowed;
      m_balancer.OnPacketsDropped();
    }
    Reach(StallPoint::kBeforeProcessing);
    std::vector<Forwarding> out;
    out.reserve(packets.size());
    for (const Arrival& arrival : packets) {
      out.push_back(m_balancer.OnPacket(arrival.packet, m_now));
    }
    Reach(StallPoint::kBeforeSending);
    for (std::size_t i = 0; i < out.size(); ++i) {
      Apply(out[i], packets[i].packet.sequence, packets[i].packet.length);
    }
    const TimePoint sent_at = m_now;
    Reach(StallPoint::kBeforeReport);
    m_balancer.OnDrained(read_at, sent_at);
    if (!m_world.is_swept || m_now - m_swept_at < kSweepInterval) return;
    Reach(StallPoint::kBeforeSweep);
    m_swept_at = m_now;
    // A probe may end a flow.
    CPPUNIT_ASSERT(m_balancer.Sweep(m_now).empty());
  }

  void Apply(const Forwarding& out, std::uint32_t sequence,
             std::uint16_t length) {
    if (out.action == ForwardAction::kReset) {
      ++m_resets;
      // The caller gives the flow up.
      m_callers[out.flow.caller.port].is_acknowledged = true;
      return;
    }
    if (out.action != ForwardAction::kForward || length == 0) return;
    const std::uint16_t port = out.flow.caller.port;
    At(m_now + kLinkDelay,
       [this, port, sequence] { DeliverToTarget(port, sequence); });
  }

  const World m_world;
  Stall m_stall;
  TimePoint m_now = kStart;
  TimePoint m_swept_at = kStart;
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::map<std::uint16_t, Caller> m_callers;
  std::deque<Arrival> m_socket;  // Arrived and not read yet.
  std::uint32_t m_overflowed = 0;
  std::uint32_t m_known_overflowed = 0;  // To the balancer.
  std::size_t m_resets = 0;
  std::uint64_t m_answered = 0;
  TargetDirectory m_directory;
  CookieBalancer m_balancer;
};

class BalancerStallTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(BalancerStallTest);
  CPPUNIT_TEST(CookieBalancerStallsLookLikeNoLostTarget);
  CPPUNIT_TEST(ShortShareOfAProcessorLooksLikeNoLostTarget);
  CPPUNIT_TEST(OverflowWhileStalledLooksLikeNoLostTarget);
  CPPUNIT_TEST(DeadTargetIsLostDespiteStalls);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against resets of flows whose target serves after a stall of the
  // balancer, as when it reads a large route table (review, case 3): stalls of
  // any length, at every phase of a request, its copies and its answer.
  void CookieBalancerStallsLookLikeNoLostTarget() {
    for (const Stall& stall : Stalls()) AssertNothingIsLost(World{}, stall);
  }

  // A scheduler holds the process to its share by pauses.
  void ShortShareOfAProcessorLooksLikeNoLostTarget() {
    for (const int interval_ms : {100, 190, 230, 333, 460}) {
      for (int begin_ms = 0; begin_ms < 240; begin_ms += 7) {
        for (const StallPoint point : Points()) {
          Stall stall;
          stall.point = point;
          stall.begin = milliseconds(begin_ms);
          stall.interval = milliseconds(interval_ms);
          stall.length = stall.interval - milliseconds(6);
          AssertNothingIsLost(World{}, stall);
        }
      }
    }
  }

  // The kernel drops what the process does not read in time, answers included.
  void OverflowWhileStalledLooksLikeNoLostTarget() {
    for (std::size_t packets = 1; packets <= 4; ++packets) {
      World world;
      world.buffer_packets = packets;
      for (const Stall& stall : Stalls()) AssertNothingIsLost(world, stall);
    }
  }

  // A stall must not hide a failure either: the target gets no new flows at the
  // latest when the caller has sent the copy after the next one. Its flows are
  // not reset, since a target that is paused looks the same (issue 38). Without
  // timeouts: a stall beyond CookieBalancerSettings::request_timeout ends the
  // requests before it, and only later ones are evidence.
  void DeadTargetIsLostDespiteStalls() {
    for (const Stall& stall : Stalls()) {
      World world;
      world.is_swept = false;
      world.target_ends = milliseconds(400);
      StallWorld simulation(world, stall);
      simulation.RunFor(milliseconds(400) + kRequestInterval + kWork +
                        stall.length + milliseconds(200 + 400 + 800 + 1600));
      CPPUNIT_ASSERT_MESSAGE(Text(stall),
                             simulation.balancer().placement().IsLost(kTarget));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(stall), std::size_t{0},
                                   simulation.resets());
    }
  }

 private:
  static std::vector<StallPoint> Points() {
    std::vector<StallPoint> points;
    points.reserve(static_cast<std::size_t>(StallPoint::kCount));
    for (int i = 0; i < static_cast<int>(StallPoint::kCount); ++i) {
      points.push_back(static_cast<StallPoint>(i));
    }
    return points;
  }

  static std::vector<Stall> Stalls() {
    const int step_ms = QuickTests() ? 50 : 5;
    std::vector<Stall> stalls;
    for (const StallPoint point : Points()) {
      for (const int length_ms : {20, 60, 100, 149, 151, 190, 199, 201, 250,
                                  390, 410, 600, 900, 1300, 2500}) {
        for (int begin_ms = 100; begin_ms < 400; begin_ms += step_ms) {
          stalls.push_back({point, milliseconds(begin_ms),
                            milliseconds(length_ms), Duration{0}});
        }
      }
    }
    return stalls;
  }

  static void AssertNothingIsLost(const World& world, const Stall& stall) {
    StallWorld simulation(world, stall);
    simulation.RunFor(std::chrono::seconds(3) + stall.length);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(stall), std::size_t{0},
                                 simulation.resets());
    CPPUNIT_ASSERT_MESSAGE(Text(stall),
                           !simulation.balancer().placement().IsLost(kTarget));
    CPPUNIT_ASSERT_MESSAGE(Text(stall), simulation.answered() > 0);
  }

  static std::string Text(const Stall& stall) {
    const auto ms = [](Duration duration) {
      return std::to_string(
          std::chrono::duration_cast<milliseconds>(duration).count());
    };
    return "stall at point " + std::to_string(static_cast<int>(stall.point)) +
           " from " + ms(stall.begin) + " ms for " + ms(stall.length) +
           " ms every " + ms(stall.interval) + " ms";
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(BalancerStallTest);

}  // namespace
}  // namespace sardinelead
