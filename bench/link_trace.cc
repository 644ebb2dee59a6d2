#include "link_trace.h"

#include <algorithm>
#include <random>

namespace sardinelead::bench {

namespace {

using std::chrono::milliseconds;

constexpr int kUploadPackets = 16;
constexpr std::uint16_t kUploadBytes = 1200;
constexpr std::uint16_t kShortBytes = 300;
constexpr std::size_t kHeaderBytes = 40;
constexpr Duration kAnswerDelay = milliseconds(20);
constexpr Duration kUploadObjective = milliseconds(800);
constexpr Duration kShortObjective = milliseconds(150);
constexpr std::uint32_t kUploadPriority = 2;
constexpr std::uint8_t kOpeningFlag = 2;
// When callers send copies of a packet, and when they give up.
constexpr std::array<Duration, 2> kOpeningCopies = {milliseconds(200),
                                                    milliseconds(600)};
constexpr Duration kOpeningLimit = milliseconds(1400);
constexpr std::array<Duration, 4> kDataCopies = {
    milliseconds(200), milliseconds(600), milliseconds(1400),
    milliseconds(3000)};
constexpr Duration kDataLimit = milliseconds(4600);

struct Request {
  FlowKey flow;
  std::uint32_t priority = 0;
  int packets = 1;
  std::uint16_t bytes = kShortBytes;
  TimePoint began;
  std::set<std::uint32_t> carried;  // Sequence numbers; 0 is the opening.
};

class Trace {
 public:
  Trace(const TraceSettings& settings, const MakeLinkOrder& make)
      : m_settings(settings), m_random(settings.seed), m_link(Link()) {
    m_order =
        make(&m_link, [this](const ScheduledPacket& packet, Duration waited) {
          OnCarried(packet, waited);
        });
  }

  TraceResult Play() {
    const TimePoint end = m_now + m_settings.duration;
    for (TimePoint at = m_now; at < end; at += m_settings.burst_interval) {
      for (int i = 0; i < m_settings.uploads_per_burst; ++i) {
        At(at + Random(milliseconds(50)), [this, i] { StartUpload(i); });
      }
    }
    for (TimePoint at = m_now; at < end; at += m_settings.short_interval) {
      At(at + Random(m_settings.short_interval), [this] { StartShort(); });
    }
    for (; !m_events.empty(); m_now += milliseconds(1)) {
      while (!m_events.empty() && m_events.begin()->first <= m_now) {
        const auto event = std::move(m_events.begin()->second);
        m_events.erase(m_events.begin());
        event();
      }
      m_order->Release(m_now);
    }
    return std::move(m_result);
  }

 private:
  static LinkModelSettings Link() {
    LinkModelSettings settings;
    settings.capacity = kTraceCapacity;
    return settings;
  }

  void At(TimePoint at, std::function<void()> event) {
    m_events.emplace(at, std::move(event));
  }
  Duration Random(Duration below) {
    return Duration(static_cast<Duration::rep>(
        m_random() % static_cast<std::uint64_t>(below.count())));
  }

  Request* NewRequest(std::uint32_t service, std::uint32_t caller) {
    auto request = std::make_unique<Request>();
    request->flow.service = {IpAddress::FromV4(0x0a000000 + service), 80};
    request->flow.caller = {IpAddress::FromV4(0xc0000200 + caller), ++m_port};
    request->began = m_now;
    Request* added = request.get();
    m_requests[m_port] = std::move(request);
    return added;
  }

  void StartUpload(int index) {
    const auto caller = static_cast<std::uint32_t>(index % m_settings.callers);
    Request* request = NewRequest(caller % 2, caller);
    request->priority = kUploadPriority;
    request->packets = kUploadPackets;
    request->bytes = kUploadBytes;
    ++m_result.uploads;
    SendOpening(*request);
  }

  void StartShort() {
    Request* request = NewRequest(2 + m_random() % 2, 100 + m_random() % 50);
    request->priority = m_random() % 3;
    ++m_result.shorts;
    SendOpening(*request);
  }

  void SendOpening(const Request& request) {
    ScheduledPacket packet;
    packet.flow = request.flow;
    packet.flags = kOpeningFlag;
    packet.is_urgent = true;
    Send(packet);
    for (const Duration delay : kOpeningCopies) SendLater(packet, delay);
    GiveUpLater(packet, kOpeningLimit);
  }

  void SendData(const Request& request) {
    for (int i = 1; i <= request.packets; ++i) {
      ScheduledPacket packet;
      packet.flow = request.flow;
      packet.sequence = static_cast<std::uint32_t>(i);
      packet.length = request.bytes;
      packet.priority = request.priority;
      Send(packet);
      for (const Duration delay : kDataCopies) SendLater(packet, delay);
      GiveUpLater(packet, kDataLimit);
    }
  }

  bool IsCarried(const ScheduledPacket& packet) {
    return m_requests[packet.flow.caller.port]->carried.count(
               packet.sequence) != 0;
  }
  void Send(const ScheduledPacket& packet) {
    m_order->Add(packet, kHeaderBytes + packet.length, m_now);
  }
  void SendLater(const ScheduledPacket& packet, Duration delay) {
    At(m_now + delay, [this, packet] {
      if (!IsCarried(packet)) Send(packet);
    });
  }
  void GiveUpLater(const ScheduledPacket& packet, Duration limit) {
    At(m_now + limit, [this, packet] {
      if (!IsCarried(packet)) ++m_result.lost;
    });
  }

  void OnCarried(const ScheduledPacket& packet, Duration waited) {
    Request* request = m_requests[packet.flow.caller.port].get();
    if (!request->carried.insert(packet.sequence).second) {
      ++m_result.copies_sent;
      return;
    }
    const bool is_upload = request->packets > 1 && packet.sequence > 0;
    m_result.waits_ms[is_upload ? kTraceKinds - 1 : RankOf(packet)].push_back(
        std::chrono::duration<double, std::milli>(waited).count());
    if (packet.sequence == 0) {
      At(m_now + kAnswerDelay, [this, request] { SendData(*request); });
      return;
    }
    if (static_cast<int>(request->carried.size()) <= request->packets) return;
    const Duration took = m_now - request->began;
    if (is_upload) {
      ++m_result.uploads_finished;
      if (took <= kUploadObjective) ++m_result.uploads_in_time;
    } else if (took <= kShortObjective) {
      ++m_result.shorts_in_time;
    }
  }

  TraceSettings m_settings;
  std::mt19937_64 m_random;
  LinkModel m_link;
  std::unique_ptr<LinkOrder> m_order;
  TimePoint m_now = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::map<std::uint16_t, std::unique_ptr<Request>> m_requests;
  std::uint16_t m_port = 0;
  TraceResult m_result;
};

}  // namespace

TraceResult PlayTrace(const TraceSettings& settings,
                      const MakeLinkOrder& make) {
  return Trace(settings, make).Play();
}

}  // namespace sardinelead::bench
