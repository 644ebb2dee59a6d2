// Measures forwarding through sockets: one balancer with many open flows
// against a plain UDP relay with the same batch size and threads, in the same
// run and under the same load.

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <chrono>
#include <random>
#include <thread>
#include <vector>

#include "bench.h"
#include "clock.h"
#include "forward_batch.h"
#include "path_fixture.h"
#include "udp_batch.h"

namespace sardinelead::bench {
namespace {

constexpr std::size_t kForwardThreads = 2;
constexpr std::size_t kSenderThreads = 2;
constexpr std::size_t kSocketsPerSender = 32;
constexpr std::size_t kSinks = 4;
constexpr int kRounds = 5;
constexpr auto kWindow = std::chrono::milliseconds(700);
constexpr auto kSettle = std::chrono::milliseconds(200);
constexpr double kMinRatio = 0.9;
// How far the fixture advances its clock; see PathFixture.
constexpr Duration kFixtureSpan = std::chrono::seconds(23);

const Endpoint kLoopback = *Endpoint::Parse("127.0.0.1:0");

// A UDP socket on a free or a shared loopback port.
class BenchSocket {
 public:
  explicit BenchSocket(const Endpoint& at = kLoopback)
      : m_handle(socket(AF_INET, SOCK_DGRAM, 0)) {
    const int on = 1;
    const int bytes = 4 << 20;
    setsockopt(m_handle, SOL_SOCKET, SO_REUSEPORT, &on, sizeof(on));
    setsockopt(m_handle, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    SocketAddress address;
    const socklen_t size = WriteSocketAddress(at, &address);
    const int bound = bind(m_handle, &address.any, size);
    assert(bound == 0);
    (void)bound;
  }
  ~BenchSocket() { close(m_handle); }
  BenchSocket(const BenchSocket&) = delete;
  BenchSocket& operator=(const BenchSocket&) = delete;

  int handle() const { return m_handle; }  // NOLINT
  Endpoint address() const {               // NOLINT
    SocketAddress address;
    socklen_t size = sizeof(address);
    getsockname(m_handle, &address.any, &size);
    return ReadSocketAddress(address);
  }
  bool WaitReadable() const {
    pollfd wait{m_handle, POLLIN, 0};
    constexpr int kWaitMs = 20;
    return poll(&wait, 1, kWaitMs) > 0;
  }

 private:
  int m_handle;
};

using Threads = std::vector<std::thread>;

void JoinAll(Threads* threads) {
  for (std::thread& thread : *threads) thread.join();
  threads->clear();
}

// Stands in for the targets; receives and discards all packets.
class Sinks {
 public:
  Sinks() {
    m_threads.emplace_back([this] {
      ReceiveBatch batch;
      while (!m_stop) {
        std::size_t taken = 0;
        for (const BenchSocket& sink : m_sockets) {
          taken += batch.Receive(sink.handle());
        }
        if (taken == 0) m_sockets[0].WaitReadable();
      }
    });
  }
  ~Sinks() {
    m_stop = true;
    JoinAll(&m_threads);
  }
  Sinks(const Sinks&) = delete;
  Sinks& operator=(const Sinks&) = delete;

  std::vector<Endpoint> addresses() const {  // NOLINT
    std::vector<Endpoint> addresses;
    for (const BenchSocket& sink : m_sockets) {
      addresses.push_back(sink.address());
    }
    return addresses;
  }

 private:
  std::atomic<bool> m_stop{false};
  std::array<BenchSocket, kSinks> m_sockets;
  Threads m_threads;
};

// Sends packets of random flows to `to` at the maximum rate.
class Senders {
 public:
  Senders(const PathFixture* fixture, const Endpoint& to, std::uint64_t seed) {
    for (std::size_t t = 0; t < kSenderThreads; ++t) {
      m_threads.emplace_back([this, fixture, to, seed = seed + t] {
        std::mt19937_64 random(seed);
        std::array<BenchSocket, kSocketsPerSender> sockets;
        SendBatch batch;
        SendCounts counts;
        for (std::size_t turn = 0; !m_stop; ++turn) {
          while (!batch.IsFull()) {
            const std::uint8_t* packet = fixture->packet(random() % kFlows);
            batch.Add(to, {}, ByteView(packet, kBenchPacketBytes));
          }
          batch.Flush(sockets[turn % kSocketsPerSender].handle(), &counts);
        }
      });
    }
  }
  ~Senders() {
    m_stop = true;
    JoinAll(&m_threads);
  }
  Senders(const Senders&) = delete;
  Senders& operator=(const Senders&) = delete;

 private:
  std::atomic<bool> m_stop{false};
  Threads m_threads;
};

// Forwards each packet without any other processing.
class PlainRelay {
 public:
  explicit PlainRelay(const std::vector<Endpoint>& to) {
    for (std::size_t t = 0; t < kForwardThreads; ++t) {
      m_sockets.push_back(std::make_unique<BenchSocket>(
          t == 0 ? kLoopback : m_sockets[0]->address()));
    }
    for (const auto& socket : m_sockets) {
      m_threads.emplace_back(
          [this, &to, &socket = *socket] { Run(socket, to); });
    }
  }
  ~PlainRelay() {
    m_stop = true;
    JoinAll(&m_threads);
  }
  PlainRelay(const PlainRelay&) = delete;
  PlainRelay& operator=(const PlainRelay&) = delete;

  Endpoint address() const { return m_sockets[0]->address(); }  // NOLINT
  std::uint64_t sent() const { return m_sent; }                 // NOLINT

 private:
  void Run(const BenchSocket& in, const std::vector<Endpoint>& to) {
    const BenchSocket out;
    ReceiveBatch received;
    SendBatch batch;
    while (!m_stop) {
      const std::size_t count = received.Receive(in.handle());
      if (count == 0) {
        in.WaitReadable();
        continue;
      }
      for (std::size_t i = 0; i < count; ++i) {
        batch.Add(to[i % to.size()], {}, received.packet(i));
      }
      SendCounts counts;
      batch.Flush(out.handle(), &counts);
      m_sent += counts.sent;
    }
  }

  std::atomic<bool> m_stop{false};
  std::atomic<std::uint64_t> m_sent{0};
  std::vector<std::unique_ptr<BenchSocket>> m_sockets;
  Threads m_threads;
};

// The balancer with its packet loop and its controllers' ticks.
class RunningBalancer {
 public:
  explicit RunningBalancer(PathFixture* fixture)
      : m_loop(Settings(),
               [this](std::size_t thread, Ingress ingress,
                      const ReceiveBatch& packets, std::size_t count,
                      TimePoint now, PacketSender* out) {
                 ForwardBatch(m_workers[thread].get(), ingress, packets, count,
                              now, out);
               }) {
    for (std::size_t t = 0; t < kForwardThreads; ++t) {
      m_workers.push_back(fixture->balancer()->MakeWorker());
    }
    const auto started = m_loop.Start();
    assert(started.has_value());
    (void)started;
    m_threads.emplace_back([this, fixture] {
      while (!m_stop) {
        fixture->balancer()->OnTick(SteadyNow());
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
    });
  }
  ~RunningBalancer() {
    m_stop = true;
    JoinAll(&m_threads);
    m_loop.Stop();
  }
  RunningBalancer(const RunningBalancer&) = delete;
  RunningBalancer& operator=(const RunningBalancer&) = delete;

  Endpoint address() const { return m_loop.bound(Ingress::kFabric); }  // NOLINT
  std::uint64_t sent() const { return m_loop.Counts().send.sent; }     // NOLINT

 private:
  static PacketLoopSettings Settings() {
    PacketLoopSettings settings;
    settings.listen.fill(kLoopback);
    settings.threads = kForwardThreads;
    return settings;
  }

  std::atomic<bool> m_stop{false};
  std::vector<std::unique_ptr<PacketWorker>> m_workers;
  PacketLoop m_loop;
  Threads m_threads;
};

// Packets per second that `forwarder` forwards while the senders run.
template <typename Forwarder>
double Measure(const PathFixture& fixture, const Forwarder& forwarder,
               std::uint64_t seed) {
  const Senders senders(&fixture, forwarder.address(), seed);
  std::this_thread::sleep_for(kSettle);
  const auto start = std::chrono::steady_clock::now();
  const std::uint64_t before = forwarder.sent();
  std::this_thread::sleep_for(kWindow);
  const std::uint64_t after = forwarder.sent();
  const std::chrono::duration<double> span =
      std::chrono::steady_clock::now() - start;
  return static_cast<double>(after - before) / span.count();
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void Run(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  std::vector<double> ratios;
  std::vector<double> rates;
  std::uint64_t dropped = 0;
  for (const std::uint64_t seed : seeds) {
    const Sinks sinks;
    const std::vector<Endpoint> to = sinks.addresses();
    PathFixture fixture(seed, to, SteadyNow() - kFixtureSpan);
    fixture.OpenFlows();
    const RunningBalancer balancer(&fixture);
    const PlainRelay bare(to);
    for (int round = 0; round < kRounds; ++round) {
      const double bare_rate = Measure(fixture, bare, seed);
      const double rate = Measure(fixture, balancer, seed);
      ratios.push_back(rate / bare_rate);
      rates.push_back(rate);
    }
    for (const std::uint64_t count : fixture.balancer()->packets().dropped) {
      dropped += count;
    }
  }
  sink->Print("forward_dropped", static_cast<double>(dropped), "packets",
              "==", 0);
  sink->Print("forward_rate", Median(rates), "packets/s");
  sink->Print("forward_to_bare_relay", Median(ratios), "ratio",
              ">=", kMinRatio);
}

const Registration kRegistration("path", Run);

}  // namespace
}  // namespace sardinelead::bench
