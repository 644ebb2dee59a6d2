#ifndef SARDINELEAD_FLOW_PLACEMENT_H_
#define SARDINELEAD_FLOW_PLACEMENT_H_

// Which target of a pool takes a new flow, from what this balancer sees of its
// own flows alone: how many it has open at a target, how many of them wait for
// an answer, and which opening packets nobody answered. Targets of the own data
// centre go first.
//
// The loads that it answers, each with a test in tests/flow_placement_test.cc:
// even flows over targets and slots; targets that turn slow; a target that just
// started; one that ended without a word; one that takes requests and answers
// none; chance that looks like a full data centre; more work in the data centre
// than its targets' slots; nobody left there; every target silent at once, as
// when the balancer itself is cut off.
//
// No I/O and no clock; not for several threads. Cost of a choice: one pass over
// the pool's targets.

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

struct PlacementSettings {
  // An opening packet without an answer for this long speaks against the
  // target. Answers take a round trip to the caller, some milliseconds.
  Duration answer_deadline = std::chrono::milliseconds(60);
  // A caller repeats what the target did not acknowledge after 200 ms; a repeat
  // sooner than this came out of order.
  Duration repeat_age = std::chrono::milliseconds(150);
  // So many flows that repeat, or repeats of one flow, while the target answers
  // nothing, show that it is lost. One may be a lost packet.
  std::uint32_t repeats_to_lose = 2;
  // A target that answers nothing is tried with one flow this often.
  Duration trial_interval = std::chrono::milliseconds(700);
  // The share of the data centre's slots that are busy from which on other data
  // centres' targets take new flows, and at which they take half of them. A
  // mean over `busy_memory`: a balancer has a few requests at a time, so that a
  // moment tells little.
  double spill_from = 0.6;
  double spill_to = 0.9;
  Duration busy_memory = std::chrono::seconds(1);
  // Speed of a target in its warm-up relative to a warm one.
  double cold_speed = 0.6;
  // Weight of one request in the share of those without an answer, and how long
  // that share is held against a target.
  double unanswered_weight = 0.1;
  Duration unanswered_memory = std::chrono::seconds(5);
  // How many open flows a waiting one counts for.
  double waiting_weight = 4.0;
};

// One target that may take the flow.
struct PlacementTarget {
  std::uint64_t number = 0;
  std::uint32_t slots = 1;
  bool is_local = false;  // In the balancer's data centre.
  bool is_cold = false;
};

// What a balancer sees of one target.
struct TargetView {
  std::uint32_t opening = 0;  // Flows whose opening packet has no answer yet.
  std::uint32_t open = 0;
  std::uint32_t waiting = 0;  // Of `open`: with a request that has no answer.
  // Requests under way on average, from the time that each answered one took;
  // as of `busy_at`. Other than `waiting` it does not hold what is answered
  // through another balancer.
  double busy = 0;
  TimePoint busy_at;
  // Share of the last requests that had no answer, as of `unanswered_at`.
  double unanswered = 0;
  TimePoint unanswered_at;
  // When the oldest opening packet was sent that nothing answered since.
  std::optional<TimePoint> unanswered_since;
  std::optional<TimePoint> tried_at;  // While it answers nothing.
  TimePoint answered_at;              // By whatever flow, last.
  std::uint32_t repeats = 0;          // Of requests, since the last answer.
  bool is_lost = false;               // Nothing reaches it, or it is dead.
};

class FlowPlacement {
 public:
  explicit FlowPlacement(const PlacementSettings& settings)
      : m_settings(settings) {}

  // Empty where `targets` is, or holds only those in `excluded`. `balancers` is
  // how many share the data centre's flows.
  std::optional<std::uint64_t> Choose(
      const std::vector<PlacementTarget>& targets,
      const std::vector<std::uint64_t>& excluded, std::size_t balancers,
      std::uint64_t random, TimePoint now);

  void OnOpening(std::uint64_t target, TimePoint now);
  // The flow opened at the target. `was_opening` where OnOpening() was called
  // for it and not taken back.
  void OnOpened(std::uint64_t target, bool was_opening, TimePoint now);
  // The opening packet goes elsewhere, or its caller gave up.
  void OnOpeningEnded(std::uint64_t target);
  void OnRequest(std::uint64_t target);
  // The target answered a request that was sent at `sent_at`.
  void OnAnswer(std::uint64_t target, TimePoint sent_at, TimePoint now);
  // A request is not under way here any more: its flow ended.
  void OnRequestEnded(std::uint64_t target);
  // A request had no answer for so long that none will come, or not this way.
  void OnUnanswered(std::uint64_t target, TimePoint now);
  // A request sent at `sent_at` was repeated. Whether that shows that the
  // target is lost, which is told once.
  bool OnRepeat(std::uint64_t target, TimePoint sent_at, TimePoint now);
  void OnClosed(std::uint64_t target);

  bool IsLost(std::uint64_t target) const;
  // Whether opening packets to the target go unanswered, or it is lost.
  bool IsSuspect(std::uint64_t target, TimePoint now) const;
  const TargetView* Find(std::uint64_t target) const;

 private:
  static void NoteAnswer(TargetView* view, TimePoint now);
  double BusyAt(const TargetView& view, TimePoint now) const;
  double Score(const PlacementTarget& target, TimePoint now) const;
  double UnansweredAt(const TargetView& view, TimePoint now) const;
  static double ExpectedBusy(double mean, double waiting);
  bool IsSpilled(double load, std::uint64_t random) const;

  PlacementSettings m_settings;
  std::unordered_map<std::uint64_t, TargetView> m_views;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_FLOW_PLACEMENT_H_
