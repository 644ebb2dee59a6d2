#ifndef SARDINELEAD_SOAK_LEDGER_H_
#define SARDINELEAD_SOAK_LEDGER_H_

// Records what callers, targets and operators observe, and checks it against
// the system's guarantees.
//
// Some guarantees apply only to stable nodes. A node is stable if for
// kStableTime there was no fault at the node, on its links or at a control
// node. Planned work affects only the process that it stops.
//
// Some apply whatever faults and configurations there are: an open flow whose
// target lives is reset neither by a balancer nor by another target, and its
// packets do not go to other targets in place of its own.
//
// Thread-safe.

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "evacuation_check.h"
#include "sardinelead/types.h"
#include "stray_packet_check.h"

namespace sardinelead::soak {

constexpr Duration kStableTime = std::chrono::seconds(4);
constexpr Duration kConfigApplyLimit = std::chrono::seconds(3);
constexpr Duration kDrainLimit = std::chrono::seconds(3);

class Ledger {
 public:
  // `node` is an IPv4 address in host order.
  void RecordFault(std::uint32_t node, bool is_control, const std::string& how);
  // Records that a process was instructed to exit.
  void Stop(std::uint32_t node, bool is_control);
  // The node has a fault from now until EndFault().
  void BeginFault(std::uint32_t node, bool is_control, const std::string& how);
  void EndFault(std::uint32_t node, bool is_control);

  // Configurations. `routes` maps service addresses to pools.
  void OnSent(std::uint64_t version, const std::string& text,
              const std::map<Endpoint, std::string>& routes);
  void OnAccepted(std::uint64_t version);
  std::uint64_t NewestAccepted() const;
  void OnRead(std::uint64_t newest_at_send, std::uint64_t version,
              const std::string& text);

  // Evacuations.
  void OnEvacuationAcknowledged(const std::string& data_centre);
  void OnEvacuationFinishing(const std::string& data_centre);

  // Targets. `target` is the id of one start of a target, never a number,
  // which a later start may have as well.
  void OnDrainAcknowledged(std::uint64_t target, std::uint32_t control);
  void OnTargetDown(std::uint64_t target);
  void OnOpened(std::uint64_t target, const std::string& pool,
                const Endpoint& service, std::uint32_t edge, TimePoint sent_at);
  // Records an opening packet of a flow that is new to a target, which arrived
  // at `arrived_at` or later.
  void OnNewFlow(const std::string& data_centre, std::uint32_t edge,
                 TimePoint arrived_at);
  void OnRun(std::uint64_t request, std::uint64_t target, bool may_repeat);

  // Callers.
  void OnAnswer(std::uint64_t request, std::uint64_t answered_request,
                bool is_whole, bool was_late);
  // Records the wait for an answer of a service that always has a route.
  void OnWaited(Duration waited);
  // From now on, a longer wait is a violation.
  void RequireAnswersWithin(Duration limit);
  // Records a packet that a balancer sent faster than its link carries.
  void OnLostAtLink();
  void OnFailed(std::uint64_t request);
  // Records a reset that the flow's target did not send.
  void OnReset(std::uint64_t target, bool is_open, std::uint32_t edge,
               const std::string& what);
  // Records that a target other than the flow's own reset an open flow. A
  // target resets each packet of a flow that it does not hold, so this also
  // shows packets that go to another target.
  void OnResetByOtherTarget(std::uint64_t target, const std::string& what);

  // Records a packet of a flow that is open at the target that read it, and one
  // that a target ignored since it was addressed to another.
  void OnOwnPacket(const FlowEnds& flow, std::uint64_t target);
  void OnStrayPacket(const FlowEnds& flow);
  void OnPaused(std::uint64_t target);
  void OnContinued(std::uint64_t target);

  void OnProcessEnded(const std::string& name, int status);
  void AddViolation(const std::string& what);

  // For tests: advances the clock by `span`.
  void SkipTime(Duration span);
  std::vector<std::string> violations() const;  // NOLINT
  std::string Summary() const;
  // Returns the served and failed requests since the last call.
  std::pair<std::uint64_t, std::uint64_t> TakeCounts();

 private:
  struct Config {
    std::string text;
    std::map<Endpoint, std::string> routes;
    TimePoint sent_at;
    TimePoint accepted_at;  // Zero if not accepted.
  };

  TimePoint Time() const { return SteadyNow() + m_skipped; }
  bool IsStable(std::uint32_t node, TimePoint since) const;
  void AddViolationLocked(const std::string& what);
  // Returns the newest version that every node must have applied at `at`, or 0.
  std::uint64_t NewestRequired(TimePoint at) const;
  // Returns whether no version that may be active at `at` routes `service` to
  // `pool`.
  bool IsForbidden(const Endpoint& service, const std::string& pool,
                   TimePoint at) const;

  mutable std::mutex m_mutex;
  std::map<std::uint32_t, TimePoint> m_fault_at;
  std::map<std::uint32_t, TimePoint> m_stopped_at;
  std::multiset<std::uint32_t> m_active_faults;  // Faults may overlap.
  Duration m_skipped{0};
  TimePoint m_control_fault_at = SteadyNow();
  std::map<std::uint64_t, Config> m_configs;
  EvacuationCheck m_evacuation_check;
  StrayPacketCheck m_stray_packet_check;
  std::uint64_t m_newest_accepted = 0;
  // When a stable control process acknowledged the drain, by target.
  std::map<std::uint64_t, TimePoint> m_drains;
  std::set<std::uint64_t> m_down_targets;
  std::map<std::uint64_t, std::uint64_t> m_runs;  // Request to target.
  std::vector<std::string> m_violations;
  std::uint64_t m_served = 0;
  std::uint64_t m_late = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_opened = 0;
  std::uint64_t m_resets = 0;
  std::uint64_t m_strays = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_evacuations = 0;
  std::uint64_t m_lost_at_links = 0;
  Duration m_longest_wait{0};
  Duration m_answer_limit = Duration::max();
  std::uint64_t m_taken_served = 0;
  std::uint64_t m_taken_failed = 0;
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_LEDGER_H_
