#ifndef SARDINELEAD_FLOW_PLACEMENT_H_
#define SARDINELEAD_FLOW_PLACEMENT_H_

// Selects the target of a pool that takes a new flow. Uses only the balancer's
// own flows: the open flows per target, the requests that await an answer, and
// the unanswered opening packets. Prefers targets in the local data centre.
//
// Handles these cases, each covered in tests/flow_placement_test.cc: an even
// distribution over targets and slots; targets that become slow; a target that
// is warming up; a target that crashed; a target that accepts requests but
// answers none; random load peaks that look like a full data centre; more load
// in the data centre than its targets have slots; no local targets; and all
// targets unresponsive at once, for example when the balancer is partitioned;
// an evacuated data centre, whose flows move to the others.
//
// Performs no I/O and reads no clock. Not thread-safe. Choose() costs one pass
// over the pool's targets.

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

struct PlacementSettings {
  // A target that leaves an opening packet unanswered for this long becomes
  // suspect. An answer normally takes a round trip to the caller, a few
  // milliseconds.
  Duration answer_deadline = std::chrono::milliseconds(60);
  // Callers retransmit unacknowledged data after 200 ms; an apparent
  // retransmission earlier than this is a reordered packet.
  Duration min_retransmission_age = std::chrono::milliseconds(150);
  // A target is marked as lost after this many retransmissions, of one or
  // several flows, without any answer from it. A single retransmission may be
  // due to packet loss.
  std::uint32_t retransmissions_until_lost = 2;
  // An unresponsive target is probed with one new flow at this interval, if it
  // has sent a heartbeat since the last one.
  Duration probe_interval = std::chrono::milliseconds(700);
  // Load of the local data centre, as a fraction of its slots, at which other
  // data centres start to take new flows, and at which they take half of them.
  // The load is averaged over `load_time_constant` because a single balancer
  // has only a few requests at a time, which makes a momentary count noisy.
  double spill_start_load = 0.6;
  double spill_full_load = 0.9;
  Duration load_time_constant = std::chrono::seconds(1);
  // Speed of a target during warm-up, relative to full speed.
  double warm_up_speed = 0.6;
  // Weight of one request in the moving average of unanswered requests, and the
  // time constant with which that average decays.
  double unanswered_weight = 0.1;
  Duration unanswered_time_constant = std::chrono::seconds(5);
  // Number of open flows that one flow awaiting an answer counts as.
  double waiting_weight = 4.0;
};

// A candidate target for a new flow.
struct PlacementTarget {
  std::uint64_t number = 0;
  std::uint32_t slots = 1;
  bool is_local = false;  // In the balancer's data centre.
  bool is_warming_up = false;
  TimePoint heard_at;  // Last heartbeat, or earlier.
  // Share of new flows that avoid this target; empty if its data centre is not
  // evacuated. See EvacuationFilter.
  std::optional<double> avoided_share;
};

// Statistics on one target, from this balancer's flows.
struct TargetStats {
  std::uint32_t opening = 0;  // Flows with an unanswered opening packet.
  std::uint32_t open = 0;
  std::uint32_t waiting = 0;  // Open flows with an unanswered request.
  // Mean number of requests in progress, as of `active_requests_at`, computed
  // from the durations of answered requests. Unlike `waiting`, it excludes
  // requests that are answered through another balancer.
  double active_requests = 0;
  TimePoint active_requests_at;
  // Moving average of the share of unanswered requests, as of
  // `unanswered_at`.
  double unanswered = 0;
  TimePoint unanswered_at;
  // When the first opening packet was sent since the last answer.
  std::optional<TimePoint> unanswered_since;
  std::optional<TimePoint> probed_at;  // Last probe, while unresponsive.
  TimePoint answered_at;               // Last answer on any flow.
  std::uint32_t repeats = 0;           // Retransmissions since then.
  bool is_lost = false;                // Unreachable or dead.
};

class FlowPlacement {
 public:
  explicit FlowPlacement(const PlacementSettings& settings)
      : m_settings(settings) {}

  // Whether any of the targets is outside the evacuated data centres.
  static bool HasCandidate(const std::vector<PlacementTarget>& targets);
  // Returns nothing if there is no candidate. `balancers` is the number of
  // balancers that share the data centre's flows.
  std::optional<std::uint64_t> Choose(
      const std::vector<PlacementTarget>& targets, std::size_t balancers,
      std::uint64_t random, TimePoint now);

  // A flow was placed at the target and its opening packet sent.
  void OnOpening(std::uint64_t target, TimePoint now);
  // The opening packet for which OnOpening() was called last, at `assumed_at`,
  // was queued instead of sent. OnOpeningSent() follows if it is sent later.
  void OnOpeningQueued(std::uint64_t target, TimePoint assumed_at);
  void OnOpeningSent(std::uint64_t target, TimePoint now);
  // The flow opened at the target. `was_opening` is true if OnOpening() was
  // called for the flow and not canceled.
  void OnOpened(std::uint64_t target, bool was_opening, TimePoint now);
  // The flow did not open, as far as this balancer knows.
  void OnOpeningCanceled(std::uint64_t target);
  void OnRequest(std::uint64_t target);
  // The target answered a request that was sent at `sent_at`.
  void OnAnswer(std::uint64_t target, TimePoint sent_at, TimePoint now);
  // The flow of a pending request ended.
  void OnRequestEnded(std::uint64_t target);
  // A request timed out: no answer is expected, at least not through this
  // balancer.
  void OnRequestTimeout(std::uint64_t target, TimePoint now);
  // A request sent at `sent_at` was retransmitted. Returns true once, when the
  // target becomes lost.
  bool OnRetransmission(std::uint64_t target, TimePoint sent_at, TimePoint now);
  void OnClosed(std::uint64_t target);

  bool IsLost(std::uint64_t target) const;
  // All answers that arrived before `at` have been reported. Until this is
  // called, answers are assumed to be reported at once.
  void OnReadUntil(TimePoint at) { m_read_until = at; }
  // Whether the target leaves opening packets unanswered or is lost.
  bool IsSuspect(std::uint64_t target, TimePoint now) const;
  const TargetStats* Find(std::uint64_t target) const;

 private:
  static void RecordAnswer(TargetStats* view, TimePoint now);
  double ActiveRequestsAt(const TargetStats& view, TimePoint now) const;
  bool IsProbeDue(const PlacementTarget& target, const TargetStats& view,
                  TimePoint now) const;
  double Score(const PlacementTarget& target, TimePoint now) const;
  double UnansweredShareAt(const TargetStats& view, TimePoint now) const;
  static double EstimateActiveRequests(double mean, double waiting);
  bool ShouldSpill(double load, std::uint64_t random) const;

  PlacementSettings m_settings;
  TimePoint m_read_until = TimePoint::max();
  std::unordered_map<std::uint64_t, TargetStats> m_views;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_FLOW_PLACEMENT_H_
