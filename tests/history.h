#ifndef SARDINELEAD_TESTS_HISTORY_H_
#define SARDINELEAD_TESTS_HISTORY_H_

// Runs replicas and followers under injected faults and concurrent operators,
// and checks that the history is linearizable for a single versioned register.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "replica_cluster.h"
#include "sardinelead/config_follower.h"

namespace sardinelead {

// Deliberate defects injected at the interfaces of the code under test. The
// checks must detect each of them.
enum class InjectedFault {
  kNone,
  kRenamedResend,  // A resend uses another operator name.
  kStaleDisk,      // A replica restarts from an old disk image.
  kIgnoredSync,    // The disk reports a sync without doing it.
  // A follower restarts without its start wait, as if it reached only one stale
  // control VM.
  kNoStartWait,
};

struct HistoryPlan {
  std::uint32_t size = 3;
  std::uint32_t loss_percent = 0;
  std::uint32_t duplicate_percent = 0;
  std::uint32_t max_delay_ms = 1;
  // The number of syncs in a thousand before which the replica crashes.
  std::uint32_t crash_permille = 0;
  bool has_partitions = false;
  bool has_disk_loss = false;
  bool has_replacement = false;
  std::uint32_t patches_per_operator = 4;
};
// Returned by Run() if requests, replicas or followers do not finish in time.
constexpr char kDoesNotConverge[] = "does not settle";

// Counts of the events that a history should exercise.
struct HistoryCounts {
  int accepted = 0;
  int refused = 0;
  int resends = 0;
  int crashes = 0;
  int disk_losses = 0;
  int replacements = 0;
};

HistoryPlan MakePlan(std::uint64_t seed);

class History {
 public:
  History(std::uint64_t seed, HistoryPlan plan, InjectedFault fault);

  // Returns the first violation found, or an empty string.
  std::string Run();
  const HistoryCounts& counts() const { return m_counts; }  // NOLINT

 private:
  // A patch of an operator, including all its resends.
  struct Request {
    std::string operator_name;
    Patch patch;
    bool is_valid = true;
    TimePoint first_sent;
    TimePoint sent_at;
    TimePoint answered_at;
    bool is_answered = false;
    std::vector<Outcome> outcomes;
  };
  struct Operator {
    std::string name;
    std::uint32_t sent = 0;
    std::size_t request = 0;  // The one in progress, if is_busy.
    bool is_busy = false;
  };
  struct Follower {
    std::unique_ptr<Blackboard> blackboard;
    std::unique_ptr<ConfigFollower> follower;
    std::uint64_t highest = 0;
  };

  void SetUp();
  void Tick();
  void StepOperator(Operator* op);
  void SendRequest(std::size_t index, bool is_resend);
  void OnAnswer(const Answer& answer);
  void StepFaults();
  void CrashOrRestart();
  void EraseDisk();
  void StepReplacement();
  void StartFollower(NodeId id);
  void Observe();
  void ObserveConfiguration(const Configuration& configuration,
                            const std::string& who);
  NodeId RandomReplica();
  bool Chance(std::uint32_t permille) { return m_random() % 1000 < permille; }
  void Fail(const std::string& what);
  void StopFaults();
  bool HasConverged();
  void CheckOutcomes();
  void CheckRealTimeOrder();

  HistoryPlan m_plan;
  InjectedFault m_fault;
  std::mt19937_64 m_random;
  TestCluster m_cluster;
  std::map<NodeId, std::unique_ptr<ConfigPublisher>> m_publishers;
  std::map<NodeId, Follower> m_followers;
  std::map<NodeId, std::map<std::string, MemoryDisk::File>> m_initial_disks;
  std::vector<Request> m_requests;
  std::vector<Operator> m_operators;
  std::map<std::uint64_t, std::size_t> m_request_by_id;
  std::uint64_t m_next_request_id = 1;
  std::map<std::uint64_t, std::uint32_t> m_share_by_version;
  std::set<NodeId> m_partitioned;
  std::set<NodeId> m_members;
  NodeId m_erased_replica;
  NodeId m_removed;
  std::uint64_t m_change_id = 0;
  bool m_is_fault_free = false;
  HistoryCounts m_counts;
  std::string m_failure;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TESTS_HISTORY_H_
