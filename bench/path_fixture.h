#ifndef SARDINELEAD_BENCH_PATH_FIXTURE_H_
#define SARDINELEAD_BENCH_PATH_FIXTURE_H_

// A balancer with many open flows, and packets of those flows.

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "sardinelead/balancer.h"

namespace sardinelead::bench {

constexpr std::size_t kFlows = 500'000;
constexpr std::size_t kServices = 20;
constexpr std::size_t kTargetsPerService = 18;
constexpr std::size_t kBenchPacketBytes = 40;  // IPv4 and TCP, no data.

class PathFixture {
 public:
  // Assigns the tunnel addresses to targets in round-robin order.
  PathFixture(std::uint64_t seed, const std::vector<Endpoint>& tunnels,
              TimePoint start);

  Balancer* balancer() { return m_balancer.get(); }  // NOLINT
  // Opens and establishes kFlows flows. Returns the number of packets that were
  // not sent on.
  std::size_t OpenFlows();
  // A data packet of flow `i`.
  const std::uint8_t* packet(std::size_t i) const {  // NOLINT
    return m_packets.data() + i * kBenchPacketBytes;
  }
  TimePoint now() const { return m_now; }  // NOLINT
  // Runs the controllers for `duration` of virtual time.
  void Run(Duration duration);

 private:
  void PublishConfiguration();
  void PublishTargets(const std::vector<Endpoint>& tunnels);

  std::mt19937_64 m_random;
  TimePoint m_now;
  Blackboard m_blackboard;
  std::unique_ptr<Balancer> m_balancer;
  std::vector<std::uint8_t> m_packets;
};

}  // namespace sardinelead::bench

#endif  // SARDINELEAD_BENCH_PATH_FIXTURE_H_
