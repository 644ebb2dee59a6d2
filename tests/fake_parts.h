#ifndef SARDINELEAD_TESTS_FAKE_PARTS_H_
#define SARDINELEAD_TESTS_FAKE_PARTS_H_

// The private types and shared constants of FakeDataCentre.

#include "fake_data_centre.h"

namespace sardinelead {

constexpr Duration kMinDelay = std::chrono::microseconds(100);
constexpr Duration kMaxDelay = std::chrono::microseconds(600);
constexpr Duration kCrashDetectionDelay = std::chrono::milliseconds(800);

inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

struct FakeDataCentre::Balancer {
  NodeId id;
  std::uint64_t starts = 0;
  bool is_running = false;
  TimePoint stopped_at = TimePoint();
  std::unique_ptr<Blackboard> board;
  std::unique_ptr<BlackboardReader> reader;
  std::unique_ptr<FlowDirector> director;
  std::unique_ptr<FlowRepair> repair;
  std::unique_ptr<Membership> membership;
  std::vector<std::size_t> control_bytes;  // Indexed by second.
  // Order of the newest published update; older updates are ignored.
  std::uint64_t newest_targets = 0;
  std::uint64_t newest_configuration = 0;
};

struct FakeDataCentre::FakeTarget {
  Target target;
  bool is_running = true;
  TimePoint crashed_at;
  std::set<std::uint64_t> connections;  // By flow id.
  bool ignores_unknown = false;
};

// A client that opens one flow after another, each with a new flow id.
struct FakeDataCentre::Caller {
  FlowKey key;
  std::uint64_t flow_id = 0;
  bool is_open = false;     // Established.
  bool is_waiting = false;  // For the answer to `sequence`.
  TimePoint first_sent_at;  // When `sequence` was first sent.
  TimePoint opened_at;      // When the first SYN was sent.
  TimePoint ends_at;
  std::uint32_t sequence = 0;
  std::uint64_t target = 0;  // Index of the flow's target + 1.
};

struct FakeDataCentre::Packet {
  PacketInfo info;
  std::size_t caller = 0;
  std::uint64_t flow_id = 0;
  std::uint64_t transmission = 0;
  bool is_answer = false;
  Endpoint from_tunnel;
  bool is_relayed = false;
  RelayHeader relay;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TESTS_FAKE_PARTS_H_
