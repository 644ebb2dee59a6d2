// Measures the forwarding decision of the packet path without sockets, from the
// bytes of a packet to its destination.

#include <algorithm>
#include <chrono>
#include <cstring>
#include <random>
#include <thread>
#include <unordered_map>
#include <vector>

#include "bench.h"
#include "path_fixture.h"

namespace sardinelead::bench {
namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kBatch = 64;
constexpr std::size_t kBatchesPerRound = 3000;
constexpr int kRounds = 7;
constexpr std::size_t kThreads = 8;
constexpr double kMaxDecisionNs = 150;
constexpr double kMinSpeedUp = 6;
constexpr double kMaxFlowBytes = 64;

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

double Nanoseconds(Clock::duration duration) {
  return std::chrono::duration<double, std::nano>(duration).count();
}

// Copies a batch of packets of random flows into memory as a receive call
// would.
class BatchSource {
 public:
  BatchSource(const PathFixture* fixture, std::uint64_t seed)
      : m_fixture(fixture),
        m_random(seed),
        m_bytes(kBatch * kBenchPacketBytes) {}

  void Fill() {
    for (std::size_t i = 0; i < kBatch; ++i) {
      std::memcpy(m_bytes.data() + i * kBenchPacketBytes,
                  m_fixture->packet(m_random() % kFlows), kBenchPacketBytes);
    }
  }
  ByteView packet(std::size_t i) const {  // NOLINT
    return ByteView(m_bytes.data() + i * kBenchPacketBytes, kBenchPacketBytes);
  }

 private:
  const PathFixture* m_fixture;
  std::mt19937_64 m_random;
  std::vector<std::uint8_t> m_bytes;
};

struct Measured {
  std::vector<double> ns;  // Per packet, one value per batch.
  std::uint64_t lost = 0;
};

// Decides batch after batch; only the decisions are timed.
Measured Decide(PathFixture* fixture, std::uint64_t seed, std::size_t batches) {
  const auto worker = fixture->balancer()->MakeWorker();
  BatchSource source(fixture, seed);
  const TimePoint now = fixture->now();
  Measured measured;
  measured.ns.reserve(batches);
  for (std::size_t b = 0; b < batches; ++b) {
    source.Fill();
    const auto start = Clock::now();
    for (std::size_t i = 0; i < kBatch; ++i) {
      worker->Read(i, Ingress::kFabric, source.packet(i));
    }
    for (std::size_t i = 0; i < kBatch; ++i) {
      const PacketOutcome outcome = worker->Decide(i, Endpoint(), now);
      if (!outcome.is_sent) ++measured.lost;
    }
    measured.ns.push_back(Nanoseconds(Clock::now() - start) / kBatch);
  }
  return measured;
}

// Baseline for the current machine load: lookups in a plain hash table with the
// same number of keys.
class PlainLookup {
 public:
  explicit PlainLookup(const PathFixture* fixture) : m_fixture(fixture) {
    m_table.reserve(kFlows);
    for (std::size_t i = 0; i < kFlows; ++i) {
      const ByteView packet(fixture->packet(i), kBenchPacketBytes);
      m_table.emplace(ParsePacket(packet, Direction::kToService)->key.Hash(),
                      i);
    }
  }

  double MedianNs(std::uint64_t seed, std::size_t batches) {
    BatchSource source(m_fixture, seed);
    std::vector<double> ns;
    std::uint64_t sum = 0;
    for (std::size_t b = 0; b < batches; ++b) {
      source.Fill();
      const auto start = Clock::now();
      for (std::size_t i = 0; i < kBatch; ++i) {
        const auto info = ParsePacket(source.packet(i), Direction::kToService);
        sum += m_table.find(info->key.Hash())->second;
      }
      ns.push_back(Nanoseconds(Clock::now() - start) / kBatch);
    }
    m_sum = sum;
    return Median(std::move(ns));
  }

 private:
  const PathFixture* m_fixture;
  std::unordered_map<std::uint64_t, std::uint64_t> m_table;
  volatile std::uint64_t m_sum = 0;
};

// Packets per second over `threads` threads in wall-clock time.
double Throughput(PathFixture* fixture, std::uint64_t seed,
                  std::size_t threads) {
  std::vector<std::thread> running;
  const auto start = Clock::now();
  running.reserve(threads);
  for (std::size_t t = 0; t < threads; ++t) {
    running.emplace_back([fixture, seed, t] {
      Decide(fixture, seed * 100 + t, kBatchesPerRound);
    });
  }
  for (std::thread& thread : running) thread.join();
  const double seconds = Nanoseconds(Clock::now() - start) / 1e9;
  return static_cast<double>(threads * kBatchesPerRound * kBatch) / seconds;
}

// Baseline for the current machine load: speed-up of kThreads threads that
// share no data.
double SpinSpeedUp() {
  constexpr std::uint64_t kTurns = 20'000'000;
  const auto spin = [](std::size_t threads) {
    std::vector<std::thread> running;
    running.reserve(threads);
    const auto start = Clock::now();
    for (std::size_t t = 0; t < threads; ++t) {
      running.emplace_back([] {
        volatile std::uint64_t value = 1;
        for (std::uint64_t i = 0; i < kTurns; ++i) value = value * 3 + 1;
      });
    }
    for (std::thread& thread : running) thread.join();
    return Nanoseconds(Clock::now() - start);
  };
  const double one = spin(1);
  return static_cast<double>(kThreads) * one / spin(kThreads);
}

void Run(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  std::vector<double> decision;
  std::vector<double> lookup;
  std::vector<double> speed_up;
  std::vector<double> spin;
  std::uint64_t lost = 0;
  double flow_bytes = 0;
  for (const std::uint64_t seed : seeds) {
    PathFixture fixture(seed, {*Endpoint::Parse("127.0.0.1:9")},
                        TimePoint(std::chrono::hours(1)));
    lost += fixture.OpenFlows();
    const FlowCounts counts = fixture.balancer()->flows();
    flow_bytes = std::max(flow_bytes, static_cast<double>(counts.bytes) /
                                          static_cast<double>(counts.held));
    PlainLookup plain(&fixture);
    for (int round = 0; round < kRounds; ++round) {
      Measured measured = Decide(&fixture, seed + round, kBatchesPerRound);
      lost += measured.lost;
      decision.push_back(Median(std::move(measured.ns)));
      lookup.push_back(plain.MedianNs(seed + round, kBatchesPerRound));
      spin.push_back(SpinSpeedUp());
      const double one = Throughput(&fixture, seed, 1);
      speed_up.push_back(Throughput(&fixture, seed, kThreads) / one);
    }
  }
  sink->Print("decision_not_forwarded", static_cast<double>(lost), "packets",
              "==", 0);
  sink->Print("decision_ns", Median(decision), "ns", "<=", kMaxDecisionNs);
  sink->Print("parse_and_plain_lookup_ns", Median(lookup), "ns");
  sink->Print("decision_to_plain_lookup", Median(decision) / Median(lookup),
              "ratio");
  sink->Print("decision_speed_up_8_threads", Median(speed_up), "ratio",
              ">=", kMinSpeedUp);
  sink->Print("spin_speed_up_8_threads", Median(spin), "ratio");
  sink->Print("flow_bytes", flow_bytes, "bytes", "<=", kMaxFlowBytes);
}

const Registration kRegistration("path", Run);

}  // namespace
}  // namespace sardinelead::bench
