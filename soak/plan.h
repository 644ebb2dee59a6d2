#ifndef SARDINELEAD_SOAK_PLAN_H_
#define SARDINELEAD_SOAK_PLAN_H_

// The system under test: its processes, the relays between them, the targets,
// and the faults injected from a random seed.

#include <asio/io_context.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "actors.h"
#include "child.h"
#include "relay.h"

namespace sardinelead::soak {

struct SoakSettings {
  std::uint64_t seed = 1;
  std::string programs;  // Directory of the programs.
  std::string folder;    // For data, settings and logs.
  int controls = 4;
  int edges = 5;
  int targets = 10;
  int network = 77;  // 127.NETWORK.x.x
  // How long faults are injected. Afterwards all faults are cleared and the
  // system must serve again.
  Duration faults = std::chrono::seconds(20);
  bool has_faults = true;
  // The share of each period in which each balancer runs; it is paused for the
  // rest, as by a scheduler that grants it a share of a processor.
  double edge_share = 1.0;
  Duration share_period = std::chrono::milliseconds(100);
};

// What a target keeps when it starts again.
struct TargetIdentity {
  std::uint64_t number = 0;
  std::string pool;
};

class System {
 public:
  System(const SoakSettings& settings, SoakState* world);
  ~System();

  void Start();
  // Injects one random fault or planned operation, changes a target, and at
  // times cuts a balancer off from some control nodes. Some faults continue in
  // the background and overlap with later ones.
  void InjectFault();
  // Ends all faults and restarts what is down.
  void ClearFaults();
  void KillAllControls();
  // Balancers run all the time from now on.
  void EndShares();
  // Runs due actions, pauses and continues balancers according to their share,
  // and reaps and restarts processes. An unexpected exit is a violation.
  void Watch();

 private:
  struct Process {
    std::uint32_t node = 0;
    bool is_control = false;
    std::unique_ptr<Child> child;
    bool is_expected_to_end = false;
    bool is_killed = false;   // By SIGKILL, so it has no grace to end in.
    bool is_stopped = false;  // By a fault.
    bool is_paused = false;   // Has had its share.
    bool is_full = false;
    int starts = 0;
    TimePoint start_at;  // When to restart it; zero for never.
  };
  struct ScheduledAction {
    TimePoint at;
    std::function<void()> action;
  };

  void AddProcess(std::uint32_t node, bool is_control);
  void Launch(Process* process);
  void WriteSettings(const Process& process, bool is_first);
  Endpoint AddressOfTarget(std::size_t place) const;
  TargetIdentity NewIdentity(std::size_t place);
  void AddTarget(std::size_t place, const TargetIdentity& identity);
  // Adds a target once no other process has its address or its number.
  void AddSuccessor(std::size_t place, const TargetIdentity& identity);
  void ScheduleTarget(std::size_t place, const TargetIdentity& identity,
                      Duration delay);
  Process* PickProcess(bool is_control);
  Duration RandomSpan(int from_ms, int to_ms);
  static Duration RandomSpan(int from_ms, int to_ms, std::mt19937_64* random);
  void Schedule(Duration delay, std::function<void()> action);
  bool CanLoseDisk() const;

  void Kill(Process* process, bool wipe);
  void Terminate(Process* process);
  void Freeze(Process* process);
  void Isolate(Process* process, bool one_way);
  void CutFromSomeControls(Process* edge);
  void SplitControls();
  void DegradeLinks();
  void FillDisk(Process* process);
  void CorruptDisk(Process* process);
  void DisruptCalls(Process* process);
  void ChangeTarget();
  void ChangeTarget(std::size_t place);
  std::size_t PickPlaceAfter(std::size_t place);
  void RestartEdges();
  void ApplyShares(TimePoint now);

  SoakSettings m_settings;
  SoakState* m_state;
  std::mt19937_64 m_random;
  // For targets and what comes with each fault.
  std::mt19937_64 m_change_random;
  asio::io_context m_context;
  PeerRelay m_relay;
  std::map<std::uint32_t, std::unique_ptr<CallRelay>> m_call_relays;
  std::vector<std::unique_ptr<Process>> m_processes;
  // By place. Some of the last places are free for targets that start again.
  std::vector<std::unique_ptr<TargetActor>> m_targets;
  std::vector<std::unique_ptr<TargetActor>> m_retired_targets;
  std::vector<ScheduledAction> m_scheduled;
  std::uint64_t m_last_target = 0;
  std::uint64_t m_last_incarnation = 0;
  std::thread m_relay_thread;
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_PLAN_H_
