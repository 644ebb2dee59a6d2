// Measures the cost of the packet scheduler: ns per packet with waiting packets
// of 1, 100 and 10,000 flows, bytes per flow, and the path of an idle link
// against sending without the scheduler.

#include <malloc.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <memory>
#include <string>

#include "bench.h"
#include "packet_scheduler.h"
#include "udp_batch.h"

namespace sardinelead::bench {
namespace {

constexpr std::size_t kHeadBytes = 40;
constexpr std::size_t kBodyBytes = 1200;
constexpr std::size_t kQueuedPackets = 50'000;
constexpr std::size_t kIdlePackets = 500;
constexpr int kIdleRounds = 100;
constexpr double kMaxIdleRatio = 1.05;
constexpr std::size_t kManyFlows = 10'000;
// Passes each packet of the idle path: 1 Gbit/s.
constexpr double kIdleCapacity = 125e6;
constexpr double kNarrowCapacity = 187'500;

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

// Processor time, since the wall clock includes other processes' turns.
double ThreadNs() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e9 +
         static_cast<double>(time.tv_nsec);
}

ScheduledPacket PacketOf(std::size_t flow, std::uint32_t sequence) {
  ScheduledPacket packet;
  packet.flow.service = {IpAddress::FromV4(0x0a000001), 80};
  packet.flow.caller = {
      IpAddress::FromV4(0xc0000000 + static_cast<std::uint32_t>(flow / 10)),
      static_cast<std::uint16_t>(flow % 10 + 1000)};
  packet.sequence = sequence;
  packet.length = kBodyBytes;
  return packet;
}

// A scheduler in front of a link that is busy.
struct BusyLink {
  BusyLink()
      : link({kNarrowCapacity}),
        scheduler(Settings(), &link,
                  {[](const Endpoint&, ByteView, ByteView) {},
                   [this](const ScheduledPacket& packet, Duration) {
                     last_sent = packet;
                   },
                   {}}) {}

  static PacketSchedulerSettings Settings() {
    PacketSchedulerSettings settings;
    settings.max_packets = 2 * kManyFlows;
    settings.max_bytes = std::size_t{1} << 30;
    settings.max_wait = std::chrono::hours(10);
    return settings;
  }

  void Add(std::size_t flow) {
    scheduler.Add(PacketOf(flow, ++sequence), Endpoint(), head, body, now);
  }

  LinkModel link;
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::uint32_t sequence = 0;
  Bytes head = Bytes(kHeadBytes);
  Bytes body = Bytes(kBodyBytes);
  ScheduledPacket last_sent;
  PacketScheduler scheduler;
};

// Each packet that leaves is replaced by another one, so that `flows` flows
// wait all the time, with at least 64 packets in total.
double QueuedNs(std::size_t flows) {
  BusyLink busy;
  const std::size_t waiting = std::max<std::size_t>(flows, 64);
  for (std::size_t i = 0; i < waiting; ++i) busy.Add(i % flows);
  const double start = ThreadNs();
  for (std::size_t i = 0; i < kQueuedPackets; ++i) {
    const auto next = busy.scheduler.Release(busy.now);
    if (next) busy.now = *next;
    busy.Add(i % flows);
  }
  return (ThreadNs() - start) / kQueuedPackets;
}

// Heap bytes for each of many flows with one waiting packet, less the packet.
double BytesPerFlow() {
  BusyLink busy;
  const std::size_t before = mallinfo2().uordblks;
  for (std::size_t i = 0; i < kManyFlows; ++i) busy.Add(i);
  const double bytes =
      static_cast<double>(mallinfo2().uordblks - before) / kManyFlows;
  return bytes - static_cast<double>(kHeadBytes + kBodyBytes);
}

// Sends single datagrams to a loopback socket that is not read, as for
// packets that arrive one by one.
class LoopbackSender {
 public:
  LoopbackSender()
      : m_sink(socket(AF_INET, SOCK_DGRAM, 0)),
        m_handle(socket(AF_INET, SOCK_DGRAM, 0)) {
    SocketAddress address;
    socklen_t size =
        WriteSocketAddress(*Endpoint::Parse("127.0.0.1:0"), &address);
    (void)bind(m_sink, &address.any, size);
    getsockname(m_sink, &address.any, &size);
    m_to = ReadSocketAddress(address);
  }
  ~LoopbackSender() {
    close(m_sink);
    close(m_handle);
  }
  LoopbackSender(const LoopbackSender&) = delete;
  LoopbackSender& operator=(const LoopbackSender&) = delete;

  void Send(ByteView head, ByteView body) {
    m_batch.Add(m_to, head, body);
    m_batch.Flush(m_handle, &m_counts);
  }
  const Endpoint& to() const { return m_to; }  // NOLINT

 private:
  int m_sink;
  int m_handle;
  Endpoint m_to;
  SendBatch m_batch;
  SendCounts m_counts;
};

class IdlePath {
 public:
  IdlePath()
      : m_link({kIdleCapacity}),
        m_scheduler({}, &m_link,
                    {[](const Endpoint&, ByteView, ByteView) {},
                     [this](const ScheduledPacket&, Duration waited) {
                       m_waited += waited;
                     },
                     {}}) {}

  // The decision alone.
  double AddRound() {
    const double start = ThreadNs();
    for (std::size_t i = 0; i < kIdlePackets; ++i) {
      m_now += std::chrono::microseconds(20);
      const ScheduledPacket packet =
          PacketOf(i % 100, static_cast<std::uint32_t>(i));
      const auto result =
          m_scheduler.Add(packet, m_sender->to(), m_head, m_body, m_now);
      if (result != ScheduleResult::kSendNow) ++m_held;
    }
    return (ThreadNs() - start) / kIdlePackets;
  }

  // Sends packets with or without the scheduler.
  double Round(bool is_scheduled) {
    const double start = ThreadNs();
    for (std::size_t i = 0; i < kIdlePackets; ++i) {
      m_now += std::chrono::microseconds(20);
      const ScheduledPacket packet =
          PacketOf(i % 100, static_cast<std::uint32_t>(i));
      if (is_scheduled &&
          m_scheduler.Add(packet, m_sender->to(), m_head, m_body, m_now) !=
              ScheduleResult::kSendNow) {
        ++m_held;
        continue;
      }
      m_sender->Send(m_head, m_body);
    }
    return (ThreadNs() - start) / kIdlePackets;
  }
  std::size_t held() const { return m_held; }  // NOLINT

 private:
  LinkModel m_link;
  TimePoint m_now = TimePoint(std::chrono::hours(1));
  Duration m_waited{0};
  std::size_t m_held = 0;
  Bytes m_head = Bytes(kHeadBytes);
  Bytes m_body = Bytes(kBodyBytes);
  std::unique_ptr<LoopbackSender> m_sender = std::make_unique<LoopbackSender>();
  PacketScheduler m_scheduler;
};

// The rounds alternate, so that both ways see the same load of the machine.
void MeasureIdlePath(FigureSink* sink) {
  IdlePath path;
  std::vector<double> without;
  std::vector<double> with;
  std::vector<double> add;
  for (int round = 0; round < kIdleRounds; ++round) {
    without.push_back(path.Round(false));
    with.push_back(path.Round(true));
    with.push_back(path.Round(true));
    without.push_back(path.Round(false));
    add.push_back(path.AddRound());
  }
  sink->Print("idle_ns_without", Median(without), "ns");
  sink->Print("idle_ns", Median(with), "ns");
  sink->Print("idle_held", static_cast<double>(path.held()), "packets",
              "==", 0);
  sink->Print("idle_add_ns", Median(add), "ns");
  sink->Print("idle_ratio", Median(with) / Median(without), "ratio",
              "<=", kMaxIdleRatio);
}

void Run(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  for (const std::size_t flows :
       {std::size_t{1}, std::size_t{100}, kManyFlows}) {
    std::vector<double> ns;
    ns.reserve(seeds.size());
    for (std::size_t round = 0; round < seeds.size(); ++round) {
      ns.push_back(QueuedNs(flows));
    }
    sink->Print("queued_ns_flows_" + std::to_string(flows), Median(ns), "ns");
  }
  sink->Print("bytes_per_flow", BytesPerFlow(), "bytes");
  MeasureIdlePath(sink);
}

const Registration kRegistration("link", Run);

}  // namespace
}  // namespace sardinelead::bench
