#ifndef SARDINELEAD_SOAK_ACTORS_H_
#define SARDINELEAD_SOAK_ACTORS_H_

// Simulated actors around the system under test, each on its own threads:
// targets that register themselves, callers with long-lived flows, routers that
// probe readiness, and operators.

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "ledger.h"
#include "narrow_link.h"
#include "sardinelead/types.h"

namespace sardinelead::soak {

constexpr std::uint16_t kPacketPort = 8172;
constexpr std::uint16_t kReadinessPort = 8167;
constexpr std::uint16_t kControlPort = 8166;
constexpr std::uint16_t kCallRelayPort = 9166;
constexpr std::uint16_t kMetricsPort = 7735;
constexpr Duration kHeartbeat = std::chrono::milliseconds(400);

constexpr std::uint64_t kDataCentres = 3;
inline std::string DataCentreName(std::uint64_t place) {
  return "dc-" + std::to_string(place % kDataCentres);
}

struct ConfigPlan {
  // Routes without traffic that the configuration grows to.
  std::size_t idle_routes = 0;
  // The longest time between two changes.
  Duration max_interval = std::chrono::milliseconds(1500);
};

// One start of a target. A target may start again under its number, and then
// has no flow of before.
struct TargetStart {
  std::uint64_t id = 0;  // Of this start only, from 1.
  std::uint64_t number = 0;
};

// State shared by all actors.
struct SoakState {
  Ledger ledger;
  std::vector<std::uint32_t> controls;
  std::vector<std::uint32_t> edges;
  std::atomic<bool> is_over{false};
  // Faults have ended.
  std::atomic<bool> is_healing{false};
  // How the configuration grows and changes.
  ConfigPlan config_plan;
  // Whether the process of a target is paused at times, as by a scheduler.
  bool do_targets_pause = true;

  // The rate of each balancer's link towards the targets, 0 for no limit.
  double link_bytes_per_second = 0;
  // By balancer. Entries are added before the targets start.
  std::map<std::uint32_t, NarrowLink> links;

  // Edges that the routers currently send traffic to.
  std::vector<std::uint32_t> InRotation() const;
  void SetInRotation(std::vector<std::uint32_t> edges);
  // The most recent start at an address; its id is 0 if there was none.
  TargetStart TargetAt(const Endpoint& address) const;
  void SetTargetAt(const Endpoint& address, const TargetStart& start);
  // All addresses that were in use, with the most recent start at each.
  std::vector<std::pair<Endpoint, TargetStart>> Targets() const;
  std::uint64_t NextRequest() { return ++m_last_request; }
  std::uint64_t NextStart() { return ++m_last_start; }

 private:
  mutable std::mutex m_mutex;
  std::vector<std::uint32_t> m_in_rotation;
  std::map<Endpoint, TargetStart> m_targets;
  std::atomic<std::uint64_t> m_last_request{0};
  std::atomic<std::uint64_t> m_last_start{0};
};

// One start of a target.
class TargetActor {
 public:
  TargetActor(SoakState* world, std::uint64_t number, std::string pool,
              const Endpoint& address, std::string data_centre,
              std::uint64_t seed);
  ~TargetActor();

  void Crash();  // Stops without deregistering.
  void Leave();  // Drains, then deregisters.
  // Whether the process has ended and its address is free.
  bool HasEnded() const { return m_has_ended; }
  const Endpoint& address() const { return m_address; }    // NOLINT
  std::uint64_t number() const { return m_start.number; }  // NOLINT
  const std::string& pool() const { return m_pool; }       // NOLINT

 private:
  struct Flow {
    std::uint32_t next = 0;  // Next sequence number expected from the caller.
    std::uint32_t sequence = 0;  // Next sequence number to send.
    Bytes answer;                // The last answer, kept for retransmission.
    // Whether the caller has acknowledged `sequence`. Until then, the answer to
    // the opening packet is retransmitted.
    bool is_open = false;
    Bytes opening_answer;
    Duration retransmission_wait{0};
    TimePoint retransmit_at;
    int retransmissions = 0;
  };

  void Serve();
  void ServeOnce(const class UdpSocket& socket);
  // Takes a datagram that `edge` has sent and its link has not carried yet.
  void Hold(std::uint32_t edge, Bytes datagram);
  void OnDatagram(std::uint32_t edge, const Bytes& datagram,
                  const class UdpSocket& socket);
  void OnPacket(const struct Packet& packet, std::uint32_t edge,
                const class UdpSocket& socket);
  void OnOpening(const struct Packet& packet, std::uint32_t edge,
                 const class UdpSocket& socket);
  void RetransmitOpeningAnswers(const class UdpSocket& socket);
  void PauseAtTimes();
  void Announce();
  bool PostInstance(const char* call, const char* state);

  SoakState* m_state;
  const TargetStart m_start;
  const std::string m_pool;
  const Endpoint m_address;
  const std::string m_data_centre;
  std::mt19937_64 m_random;
  const std::uint64_t m_started_ms;
  std::uint64_t m_sequence = 0;
  TimePoint m_read_all_at;  // Packets read later arrived later.
  std::size_t m_control = 0;
  // By the time at which the link has carried them, with the balancer.
  std::multimap<TimePoint, std::pair<std::uint32_t, Bytes>> m_held;
  std::atomic<bool> m_is_down{false};
  std::atomic<bool> m_is_leaving{false};
  std::atomic<bool> m_has_ended{false};
  std::map<std::pair<Endpoint, Endpoint>, Flow> m_flows;
  std::thread m_server;
  std::thread m_announcer;
};

// Runs flows of several requests each, one flow at a time, until the run ends.
void RunCaller(SoakState* world, std::uint32_t address, std::uint64_t seed);
// Sends the packets of callers to the balancers that answer readiness checks in
// time. Some answers come late, so that flows move while all balancers run.
void RunRouters(SoakState* world, std::uint64_t seed);
// Changes the configuration at random intervals, sometimes with two concurrent
// updates.
void RunOperator(SoakState* world, std::uint64_t seed);
// Evacuates data centres, one at a time. When the faults have ended, checks
// that the order of that time is still in force, and withdraws it.
void RunEvacuator(SoakState* world, std::uint64_t seed);
void RunReader(SoakState* world, std::uint64_t seed);
// Sends heartbeats that name no target to use, some with the address or the id
// of a target. No control VM may end or stop serving because of them, and no
// target may be lost.
void RunOddWriter(SoakState* world, std::uint64_t seed);
// Retries one configuration until it is accepted or `limit` has elapsed.
bool SendConfig(SoakState* world, std::uint64_t version, Duration limit,
                std::mt19937_64* random);
// Reads the configuration from `control`. Returns its version, or 0 if the read
// failed.
std::uint64_t ReadConfig(SoakState* world, std::uint32_t control);

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_ACTORS_H_
