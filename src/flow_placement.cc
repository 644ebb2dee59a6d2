#include "sardinelead/flow_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "sardinelead/evacuation_filter.h"

namespace sardinelead {
namespace {

// Upper bound of the unanswered share used in a target's score, so that a busy
// pool still sends flows to the target.
constexpr double kMaxUnanswered = 0.9;
// A request count up to this many standard deviations above its mean is
// attributed to chance.
constexpr double kBurstDeviations = 2.5;

constexpr double kMaxSpillShare = 0.5;  // Fraction of new flows.
constexpr std::uint64_t kSampleSteps = 1000;

// Decays a moving average with time constant `memory` over `age`.
double Decayed(double value, Duration age, Duration memory) {
  return value * std::exp(-std::chrono::duration<double>(age) /
                          std::chrono::duration<double>(memory));
}

void DecrementIfPositive(std::uint32_t* count) {
  if (*count > 0) --*count;
}

bool IsAvoided(const PlacementTarget& target, std::uint64_t random) {
  return target.avoided_share && AvoidsEvacuated(*target.avoided_share, random);
}

// Keeps the candidate with the lowest score; breaks ties with a random number.
class BestTarget {
 public:
  explicit BestTarget(std::uint64_t random) : m_random(random) {}

  void Consider(std::uint64_t number, double score) {
    if (score > m_score) return;
    const bool is_tie = score == m_score;
    m_tie_count = is_tie ? m_tie_count + 1 : 1;
    if (is_tie && m_random % m_tie_count != 0) return;
    m_score = score;
    m_number = number;
  }
  const std::optional<std::uint64_t>& number() const {
    return m_number;
  }  // NOLINT

 private:
  std::uint64_t m_random;
  std::uint64_t m_tie_count = 0;
  double m_score = std::numeric_limits<double>::max();
  std::optional<std::uint64_t> m_number;
};

}  // namespace

bool FlowPlacement::HasCandidate(const std::vector<PlacementTarget>& targets) {
  return std::any_of(
      targets.begin(), targets.end(),
      [](const PlacementTarget& t) { return !t.avoided_share.has_value(); });
}

std::optional<std::uint64_t> FlowPlacement::Choose(
    const std::vector<PlacementTarget>& targets, std::size_t balancers,
    std::uint64_t random, TimePoint now) {
  if (!HasCandidate(targets)) return std::nullopt;
  BestTarget local(random);
  BestTarget remote(random);
  BestTarget suspect(random);
  double local_active = 0;
  double local_waiting = 0;
  double local_slots = 0;
  for (const PlacementTarget& target : targets) {
    // Such a target is not used even if all others are loaded or unresponsive,
    // and is not probed.
    if (IsAvoided(target, random)) continue;
    TargetStats& view = m_views[target.number];
    if (IsSuspect(target.number, now)) {
      if (IsProbeDue(target, view, now)) {
        view.probed_at = now;
        return target.number;
      }
      suspect.Consider(target.number, Score(target, now));
      continue;
    }
    if (target.is_local) {
      local_active += ActiveRequestsAt(view, now);
      local_waiting += view.waiting;
      local_slots += target.slots;
      local.Consider(target.number, Score(target, now));
    } else {
      remote.Consider(target.number, Score(target, now));
    }
  }
  if (!local.number() || !remote.number()) {
    if (local.number()) return local.number();
    return remote.number() ? remote.number() : suspect.number();
  }
  const double active_requests =
      EstimateActiveRequests(local_active, local_waiting);
  const double load =
      active_requests * static_cast<double>(balancers) / local_slots;
  return ShouldSpill(load, random) ? remote.number() : local.number();
}

// The caller of a flow that probes a dead target loses time, and a target that
// sends no heartbeats is unlikely to answer.
bool FlowPlacement::IsProbeDue(const PlacementTarget& target,
                               const TargetStats& view, TimePoint now) const {
  const TimePoint since =
      view.probed_at.value_or(view.unanswered_since.value_or(now));
  return target.is_local && target.heard_at > since &&
         now - since >= m_settings.probe_interval;
}

// Estimates the number of requests in progress. Normally the mean; if the
// current number of waiting requests is too high to be chance, that number, so
// that a burst is detected before its first answers.
double FlowPlacement::EstimateActiveRequests(double mean, double waiting) {
  const bool is_burst = waiting > mean + kBurstDeviations * std::sqrt(mean + 1);
  return is_burst ? waiting : mean;
}

// Returns whether to send a new flow to another data centre. The load there is
// unknown, so at most half of the new flows are sent there.
bool FlowPlacement::ShouldSpill(double load, std::uint64_t random) const {
  const double share =
      (load - m_settings.spill_start_load) /
      (m_settings.spill_full_load - m_settings.spill_start_load) *
      kMaxSpillShare;
  const auto sample = static_cast<double>(random % kSampleSteps) / kSampleSteps;
  return sample < std::min(share, kMaxSpillShare);
}

double FlowPlacement::Score(const PlacementTarget& target,
                            TimePoint now) const {
  const auto found = m_views.find(target.number);
  const TargetStats view =
      found == m_views.end() ? TargetStats{} : found->second;
  const double speed = target.is_warming_up ? m_settings.warm_up_speed : 1.0;
  const double flows =
      view.open + view.opening + m_settings.waiting_weight * view.waiting + 1.0;
  // A target that answers few requests has few in progress and must not look
  // idle.
  const double answered =
      1 - std::min(UnansweredShareAt(view, now), kMaxUnanswered);
  return flows / (target.slots * speed * answered * answered);
}

bool FlowPlacement::IsSuspect(std::uint64_t target, TimePoint now) const {
  const auto found = m_views.find(target);
  if (found == m_views.end()) return false;
  if (found->second.is_lost) return true;
  if (!found->second.unanswered_since) return false;
  return std::min(now, m_read_until) - *found->second.unanswered_since >
         m_settings.answer_deadline;
}

const TargetStats* FlowPlacement::Find(std::uint64_t target) const {
  const auto found = m_views.find(target);
  return found == m_views.end() ? nullptr : &found->second;
}

void FlowPlacement::OnOpening(std::uint64_t target, TimePoint now) {
  ++m_views[target].opening;
  OnOpeningSent(target, now);
}

void FlowPlacement::OnOpeningSent(std::uint64_t target, TimePoint now) {
  TargetStats& view = m_views[target];
  if (!view.unanswered_since) view.unanswered_since = now;
}

void FlowPlacement::OnOpeningQueued(std::uint64_t target,
                                    TimePoint assumed_at) {
  TargetStats& view = m_views[target];
  if (view.unanswered_since == assumed_at) view.unanswered_since.reset();
}

void FlowPlacement::OnOpened(std::uint64_t target, bool was_opening,
                             TimePoint now) {
  TargetStats& view = m_views[target];
  ++view.open;
  if (!was_opening) return;
  DecrementIfPositive(&view.opening);
  RecordAnswer(&view, now);
}

void FlowPlacement::OnOpeningCanceled(std::uint64_t target) {
  DecrementIfPositive(&m_views[target].opening);
}

double FlowPlacement::ActiveRequestsAt(const TargetStats& view,
                                       TimePoint now) const {
  return Decayed(view.active_requests, now - view.active_requests_at,
                 m_settings.load_time_constant);
}

void FlowPlacement::OnRequest(std::uint64_t target) {
  ++m_views[target].waiting;
}

void FlowPlacement::OnAnswer(std::uint64_t target, TimePoint sent_at,
                             TimePoint now) {
  TargetStats& view = m_views[target];
  DecrementIfPositive(&view.waiting);
  const std::chrono::duration<double> length = now - sent_at;
  const std::chrono::duration<double> memory = m_settings.load_time_constant;
  view.active_requests = ActiveRequestsAt(view, now) + length / memory;
  view.active_requests_at = now;
  view.unanswered -= view.unanswered * m_settings.unanswered_weight;
  RecordAnswer(&view, now);
}

double FlowPlacement::UnansweredShareAt(const TargetStats& view,
                                        TimePoint now) const {
  return Decayed(view.unanswered, now - view.unanswered_at,
                 m_settings.unanswered_time_constant);
}

void FlowPlacement::OnRequestTimeout(std::uint64_t target, TimePoint now) {
  TargetStats& view = m_views[target];
  DecrementIfPositive(&view.waiting);
  const double before = UnansweredShareAt(view, now);
  view.unanswered = before + (1 - before) * m_settings.unanswered_weight;
  view.unanswered_at = now;
}

void FlowPlacement::OnRequestEnded(std::uint64_t target) {
  DecrementIfPositive(&m_views[target].waiting);
}

void FlowPlacement::RecordAnswer(TargetStats* view, TimePoint now) {
  view->unanswered_since.reset();
  view->probed_at.reset();
  view->answered_at = now;
  view->repeats = 0;
  view->is_lost = false;
}

bool FlowPlacement::OnRetransmission(std::uint64_t target, TimePoint sent_at,
                                     TimePoint now) {
  TargetStats& view = m_views[target];
  // An answer that was read together with the request came before the target
  // can have got the request.
  const bool is_evidence = now - sent_at >= m_settings.min_retransmission_age &&
                           view.answered_at <= sent_at;
  if (!is_evidence || view.is_lost) return false;
  ++view.repeats;
  view.is_lost = view.repeats >= m_settings.retransmissions_until_lost;
  if (view.is_lost) view.probed_at = now;
  return view.is_lost;
}

bool FlowPlacement::IsLost(std::uint64_t target) const {
  const auto found = m_views.find(target);
  return found != m_views.end() && found->second.is_lost;
}

void FlowPlacement::OnClosed(std::uint64_t target) {
  DecrementIfPositive(&m_views[target].open);
}

}  // namespace sardinelead
