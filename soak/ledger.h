#ifndef SARDINELEAD_SOAK_LEDGER_H_
#define SARDINELEAD_SOAK_LEDGER_H_

// What callers, targets and operators saw, and which promise that broke.
//
// Some promises hold only where nothing went wrong nearby of late: a node is in
// touch while for kContact neither it nor its links nor a control node was
// disturbed. Planned work disturbs nothing but the process that it stops.
//
// Used by all threads of the soak.

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "clock.h"
#include "sardinelead/types.h"

namespace sardinelead::soak {

constexpr Duration kContact = std::chrono::seconds(4);
constexpr Duration kConfigApply = std::chrono::seconds(3);
constexpr Duration kDrain = std::chrono::seconds(3);

class Ledger {
 public:
  // `node` is an IPv4 address in host order.
  void Disturb(std::uint32_t node, bool is_control, const std::string& how);
  // A process was told to end.
  void Stop(std::uint32_t node, bool is_control);
  // The node is disturbed from now on until Undisturb().
  void BeginDisturbance(std::uint32_t node, bool is_control,
                        const std::string& how);
  void EndDisturbance(std::uint32_t node, bool is_control);

  // Configurations. `routes` maps the service addresses to their pools.
  void OnSent(std::uint64_t version, const std::string& text,
              const std::map<Endpoint, std::string>& routes);
  void OnAccepted(std::uint64_t version);
  std::uint64_t NewestAccepted() const;
  void OnRead(std::uint64_t newest_at_send, std::uint64_t version,
              const std::string& text);

  // Targets.
  void OnDrainAcknowledged(std::uint64_t target, std::uint32_t control);
  void OnTargetDown(std::uint64_t target);
  void OnOpened(std::uint64_t target, const std::string& pool,
                const Endpoint& service, std::uint32_t edge, TimePoint sent_at);
  void OnRun(std::uint64_t request, std::uint64_t target, bool may_repeat);

  // Callers.
  void OnAnswer(std::uint64_t request, std::uint64_t answered_request,
                bool is_whole, bool was_late);
  void OnFailed(std::uint64_t request);
  // A reset that the flow's target did not send.
  void OnReset(std::uint64_t target, bool is_open, std::uint32_t edge,
               const Endpoint& service, const std::string& what);

  void OnProcessEnded(const std::string& name, int status);
  void Break(const std::string& what);

  // For tests: as if so much time had passed.
  void SkipTime(Duration span);
  std::vector<std::string> broken() const;  // NOLINT
  std::string Summary() const;
  // Served and failed requests since the last call.
  std::pair<std::uint64_t, std::uint64_t> TakeCounts();

 private:
  struct Config {
    std::string text;
    std::map<Endpoint, std::string> routes;
    TimePoint sent_at;
    TimePoint accepted_at;  // Zero where it was not.
  };

  TimePoint Time() const { return SteadyNow() + m_skipped; }
  bool IsInTouch(std::uint32_t node, TimePoint since) const;
  void BreakLocked(const std::string& what);
  // The newest version that must be in force everywhere at `at`; 0 for none.
  std::uint64_t NewestInForce(TimePoint at) const;
  // Whether no version that may be in force at `at` has this route to `pool`.
  bool IsForbidden(const Endpoint& service, const std::string& pool,
                   TimePoint at) const;

  mutable std::mutex m_mutex;
  std::map<std::uint32_t, TimePoint> m_disturbed_at;
  std::map<std::uint32_t, TimePoint> m_stopped_at;
  std::set<std::uint32_t> m_disturbed_now;
  Duration m_skipped{0};
  TimePoint m_core_disturbed_at = SteadyNow();
  std::map<std::uint64_t, Config> m_configs;
  std::uint64_t m_newest_accepted = 0;
  // When a control process in touch acknowledged that they leave.
  std::map<std::uint64_t, TimePoint> m_drains;
  std::set<std::uint64_t> m_down_targets;
  std::map<std::uint64_t, std::uint64_t> m_runs;  // Request to target.
  std::vector<std::string> m_broken;
  std::uint64_t m_served = 0;
  std::uint64_t m_late = 0;
  std::uint64_t m_failed = 0;
  std::uint64_t m_opened = 0;
  std::uint64_t m_resets = 0;
  std::uint64_t m_reads = 0;
  std::uint64_t m_taken_served = 0;
  std::uint64_t m_taken_failed = 0;
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_LEDGER_H_
