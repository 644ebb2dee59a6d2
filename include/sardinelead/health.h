#ifndef SARDINELEAD_HEALTH_H_
#define SARDINELEAD_HEALTH_H_

// Target health as determined by one balancer from three sources: its own
// active checks, the results of its own flows, and the opinions reported by its
// peers.
//
// Each target is checked by two balancers, selected by rendezvous hashing; when
// a check fails, further balancers probe the target immediately. This class
// performs no I/O: the daemon calls ProbesDue() for the targets to check and
// passes each result to OnProbeResult(). Not thread-safe.
//
// Checks make a target dead when two balancers failed to reach it, at least one
// of them in failures_to_fall consecutive checks. The checks are overruled in
// two cases: if new flows of this balancer to the target were established in
// the current flow window and none was left unanswered in the current or the
// previous one, or if checks would make more than half of the service's targets
// dead, because they are then considered unreliable.
//
// A target is also dead, which nothing overrules, when one balancer reports
// kLost and another one reports kLost or kDown. If there is only one balancer,
// its opinion alone is sufficient in both cases.
//
// A target is avoided, which leaves its existing flows alone, when this
// balancer's own new flows to it fail. It is also avoided when two balancers
// report failing flows, or when one does and another one reports a failed
// check, unless this balancer's new flows are established and answered as
// above. If every target of a service is avoided, the policy uses all of them.

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

enum class Verdict : std::uint8_t {
  kUp,
  kTrial,  // Receives a few new flows to test whether they succeed.
  kAvoid,  // Receives no new flows; existing flows continue.
  kDead,   // Its existing flows are lost.
};
const char* Name(Verdict verdict);

// One balancer's observation of one target, as reported to its peers.
enum class Opinion : std::uint8_t {
  kGood,
  kSuspect,    // One check failed.
  kDown,       // Consecutive checks failed.
  kFlowsFail,  // New flows fail, regardless of the checks.
  kLost,       // New flows fail and established ones make no progress.
};
const char* Name(Opinion opinion);

struct HealthSettings {
  Duration probe_interval = std::chrono::seconds(1);
  Duration reprobe_delay = std::chrono::milliseconds(100);
  std::uint32_t failures_to_fall = 2;
  std::uint32_t successes_to_rise = 2;
  std::size_t probers = 2;
  // Length of one of the two windows over which flow results are evaluated.
  Duration flow_window = std::chrono::seconds(2);
  std::uint32_t unanswered_to_fall = 3;
  // Upper limit of the time for which a flapping target must pass its checks
  // before it counts as up again.
  Duration max_damping = std::chrono::seconds(60);
  // Time after which a peer opinion that was not renewed is ignored.
  Duration opinion_lifetime = std::chrono::seconds(30);
};

struct HealthTarget {
  TargetId id;
  ServiceId service;
  Endpoint check;  // Port 0 if the target has no active checks.
};

struct Probe {
  TargetId target;
  Endpoint check;
};

// Results of this balancer's own flows to one target since the last call.
struct FlowOutcomeCounts {
  std::uint32_t opened = 0;
  std::uint32_t established = 0;
  std::uint32_t unanswered = 0;
  std::uint32_t silent = 0;
};

struct TargetOpinion {
  TargetId target;
  Opinion opinion = Opinion::kGood;
};

class Health {
 public:
  Health(const HealthSettings& settings, NodeId self);

  void SetTargets(const std::vector<HealthTarget>& targets, TimePoint now);
  // Sets the live balancers, including this one.
  void SetMembers(const std::vector<NodeId>& members);

  // Returns the checks to start now. A target is not returned again until the
  // result of its check has been passed to OnProbeResult().
  std::vector<Probe> ProbesDue(TimePoint now);
  void OnProbeResult(TargetId target, bool reached, TimePoint now);
  void OnFlowEvidence(TargetId target, const FlowOutcomeCounts& evidence,
                      TimePoint now);
  void OnPeerOpinion(NodeId observer, const TargetOpinion& opinion,
                     TimePoint now);
  // Recomputes the verdict of every target. Call every 100 ms.
  void OnTick(TimePoint now);

  // Returns kUp for an unknown target.
  Verdict VerdictOf(TargetId target) const;
  // Returns the local opinions to send now: those that changed, and every
  // opinion_lifetime / 3 those other than kGood.
  std::vector<TargetOpinion> TakeOpinions(TimePoint now);

 private:
  struct PeerOpinion {
    Opinion opinion = Opinion::kGood;
    TimePoint at;
  };
  struct State {
    HealthTarget target;
    std::size_t rank = 0;    // Rendezvous rank of this balancer; 0 is first.
    bool is_prober = false;  // This balancer probes the target.
    TimePoint next_probe;
    bool awaiting_result = false;
    std::uint32_t failures = 0;   // Consecutive failed probes.
    std::uint32_t successes = 0;  // Consecutive successful probes.
    bool checks_failed = false;
    Duration damping{0};
    TimePoint success_since;
    TimePoint recovered_at;
    FlowOutcomeCounts window;    // Since window_start.
    FlowOutcomeCounts previous;  // The preceding window.
    TimePoint window_start;
    std::uint32_t consecutive_unanswered = 0;  // Reset by an established flow.
    bool flows_fail = false;
    bool flows_lost = false;
    bool on_trial = false;
    std::uint32_t trial_successes = 0;
    std::uint32_t trial_failures = 0;
    TimePoint trial_at;
    Duration trial_delay{0};
    Opinion last_sent = Opinion::kGood;
    TimePoint last_sent_at;
    std::map<NodeId, PeerOpinion> peers;
    Verdict verdict = Verdict::kUp;
  };
  struct OpinionCounts {
    std::size_t down = 0;      // Observers with consecutive failed checks.
    std::size_t suspects = 0;  // Observers with at least one failed check.
    std::size_t flows = 0;     // Observers whose new flows fail.
    // Observers whose new flows fail and that found a flow silent.
    std::size_t lost = 0;
  };

  std::size_t RankOf(NodeId member, TargetId target) const;
  bool IsLive(NodeId member) const;
  std::size_t ObserversNeeded() const;
  void AssignProbes(State* state, TimePoint now) const;
  bool IsSuspected(const State& state, TimePoint now) const;
  void OnProbeSuccess(State* state, TimePoint now) const;
  void OnProbeFailure(State* state, TimePoint now) const;
  void EvaluateFlows(State* state, const FlowOutcomeCounts& of_service,
                     TimePoint now) const;
  void RollWindow(State* state, TimePoint now) const;
  void EvaluateTrial(State* state, TimePoint now) const;
  void MarkFlowsFailing(State* state, TimePoint now) const;
  Opinion LocalOpinion(const State& state) const;
  OpinionCounts CountOpinions(const State& state, TimePoint now) const;
  bool ChecksSayDead(const OpinionCounts& count) const;
  Verdict ComputeVerdict(const State& state, const OpinionCounts& count,
                         bool ignore_checks) const;
  void EvaluateService(const std::vector<State*>& states, TimePoint now) const;

  HealthSettings m_settings;
  NodeId m_self;
  std::vector<NodeId> m_members;
  std::unordered_map<TargetId, State> m_states;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_HEALTH_H_
