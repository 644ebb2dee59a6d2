#include "sardinelead/flow_placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace sardinelead {
namespace {

// So that a busy pool still tries the target.
constexpr double kMaxUnanswered = 0.9;
// Standard deviations that a count of requests lies above its mean by chance.
constexpr double kSureDeviations = 2.5;

constexpr double kMaxSpilled = 0.5;  // Of new flows.
constexpr std::uint64_t kLots = 1000;

bool Contains(const std::vector<std::uint64_t>& list, std::uint64_t number) {
  return std::find(list.begin(), list.end(), number) != list.end();
}

// What is left after `age` of a mean over `memory`.
double Faded(double value, Duration age, Duration memory) {
  return value * std::exp(-std::chrono::duration<double>(age) /
                          std::chrono::duration<double>(memory));
}

void Decrease(std::uint32_t* count) {
  if (*count > 0) --*count;
}

// The best of several candidates, ties broken by a random start.
class BestTarget {
 public:
  explicit BestTarget(std::uint64_t random) : m_random(random) {}

  void Offer(std::uint64_t number, double score) {
    if (score > m_score) return;
    const bool is_tie = score == m_score;
    m_ties = is_tie ? m_ties + 1 : 1;
    if (is_tie && m_random % m_ties != 0) return;
    m_score = score;
    m_number = number;
  }
  const std::optional<std::uint64_t>& number() const {
    return m_number;
  }  // NOLINT

 private:
  std::uint64_t m_random;
  std::uint64_t m_ties = 0;
  double m_score = std::numeric_limits<double>::max();
  std::optional<std::uint64_t> m_number;
};

}  // namespace

std::optional<std::uint64_t> FlowPlacement::Choose(
    const std::vector<PlacementTarget>& targets,
    const std::vector<std::uint64_t>& excluded, std::size_t balancers,
    std::uint64_t random, TimePoint now) {
  BestTarget local(random);
  BestTarget remote(random);
  BestTarget suspect(random);
  double local_busy = 0;
  double local_waiting = 0;
  double local_slots = 0;
  for (const PlacementTarget& target : targets) {
    if (Contains(excluded, target.number)) continue;
    TargetView& view = m_views[target.number];
    if (IsSuspect(target.number, now)) {
      const bool is_trial_due =
          target.is_local &&
          now - view.tried_at.value_or(view.unanswered_since.value_or(now)) >=
              m_settings.trial_interval;
      if (is_trial_due) {
        view.tried_at = now;
        return target.number;
      }
      suspect.Offer(target.number, Score(target, now));
      continue;
    }
    if (target.is_local) {
      local_busy += BusyAt(view, now);
      local_waiting += view.waiting;
      local_slots += target.slots;
      local.Offer(target.number, Score(target, now));
    } else {
      remote.Offer(target.number, Score(target, now));
    }
  }
  if (!local.number() || !remote.number()) {
    if (local.number()) return local.number();
    return remote.number() ? remote.number() : suspect.number();
  }
  const double busy = ExpectedBusy(local_busy, local_waiting);
  const double load = busy * static_cast<double>(balancers) / local_slots;
  return IsSpilled(load, random) ? remote.number() : local.number();
}

// Requests under way, from their mean and from how many wait at this moment: a
// burst shows before its first answers where it is beyond chance.
double FlowPlacement::ExpectedBusy(double mean, double waiting) {
  const bool is_burst = waiting > mean + kSureDeviations * std::sqrt(mean + 1);
  return is_burst ? waiting : mean;
}

// The others' own load is not known, so as many flows stay as leave at most.
bool FlowPlacement::IsSpilled(double load, std::uint64_t random) const {
  const double share = (load - m_settings.spill_from) /
                       (m_settings.spill_to - m_settings.spill_from) *
                       kMaxSpilled;
  const auto lot = static_cast<double>(random % kLots) / kLots;
  return lot < std::min(share, kMaxSpilled);
}

double FlowPlacement::Score(const PlacementTarget& target,
                            TimePoint now) const {
  const auto found = m_views.find(target.number);
  const TargetView view = found == m_views.end() ? TargetView{} : found->second;
  const double speed = target.is_cold ? m_settings.cold_speed : 1.0;
  const double flows =
      view.open + view.opening + m_settings.waiting_weight * view.waiting + 1.0;
  // One that answers few requests has few under way, and must not look idle.
  const double answered = 1 - std::min(UnansweredAt(view, now), kMaxUnanswered);
  return flows / (target.slots * speed * answered * answered);
}

bool FlowPlacement::IsSuspect(std::uint64_t target, TimePoint now) const {
  const auto found = m_views.find(target);
  if (found == m_views.end()) return false;
  if (found->second.is_lost) return true;
  if (!found->second.unanswered_since) return false;
  return now - *found->second.unanswered_since > m_settings.answer_deadline;
}

const TargetView* FlowPlacement::Find(std::uint64_t target) const {
  const auto found = m_views.find(target);
  return found == m_views.end() ? nullptr : &found->second;
}

void FlowPlacement::OnOpening(std::uint64_t target, TimePoint now) {
  TargetView& view = m_views[target];
  ++view.opening;
  if (!view.unanswered_since) view.unanswered_since = now;
}

void FlowPlacement::OnOpened(std::uint64_t target, bool was_opening,
                             TimePoint now) {
  TargetView& view = m_views[target];
  ++view.open;
  if (!was_opening) return;
  Decrease(&view.opening);
  NoteAnswer(&view, now);
}

void FlowPlacement::OnOpeningEnded(std::uint64_t target) {
  Decrease(&m_views[target].opening);
}

double FlowPlacement::BusyAt(const TargetView& view, TimePoint now) const {
  return Faded(view.busy, now - view.busy_at, m_settings.busy_memory);
}

void FlowPlacement::OnRequest(std::uint64_t target) {
  ++m_views[target].waiting;
}

void FlowPlacement::OnAnswer(std::uint64_t target, TimePoint sent_at,
                             TimePoint now) {
  TargetView& view = m_views[target];
  Decrease(&view.waiting);
  const std::chrono::duration<double> length = now - sent_at;
  const std::chrono::duration<double> memory = m_settings.busy_memory;
  view.busy = BusyAt(view, now) + length / memory;
  view.busy_at = now;
  view.unanswered -= view.unanswered * m_settings.unanswered_weight;
  NoteAnswer(&view, now);
}

double FlowPlacement::UnansweredAt(const TargetView& view,
                                   TimePoint now) const {
  return Faded(view.unanswered, now - view.unanswered_at,
               m_settings.unanswered_memory);
}

void FlowPlacement::OnUnanswered(std::uint64_t target, TimePoint now) {
  TargetView& view = m_views[target];
  Decrease(&view.waiting);
  const double before = UnansweredAt(view, now);
  view.unanswered = before + (1 - before) * m_settings.unanswered_weight;
  view.unanswered_at = now;
}

void FlowPlacement::OnRequestEnded(std::uint64_t target) {
  Decrease(&m_views[target].waiting);
}

void FlowPlacement::NoteAnswer(TargetView* view, TimePoint now) {
  view->unanswered_since.reset();
  view->tried_at.reset();
  view->answered_at = now;
  view->repeats = 0;
  view->is_lost = false;
}

bool FlowPlacement::OnRepeat(std::uint64_t target, TimePoint sent_at,
                             TimePoint now) {
  TargetView& view = m_views[target];
  const bool is_evidence =
      now - sent_at >= m_settings.repeat_age && view.answered_at < sent_at;
  if (!is_evidence || view.is_lost) return false;
  ++view.repeats;
  view.is_lost = view.repeats >= m_settings.repeats_to_lose;
  if (view.is_lost) view.tried_at = now;
  return view.is_lost;
}

bool FlowPlacement::IsLost(std::uint64_t target) const {
  const auto found = m_views.find(target);
  return found != m_views.end() && found->second.is_lost;
}

void FlowPlacement::OnClosed(std::uint64_t target) {
  Decrease(&m_views[target].open);
}

}  // namespace sardinelead
