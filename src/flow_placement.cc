#include "sardinelead/flow_placement.h"

#include <algorithm>
#include <limits>

namespace sardinelead {
namespace {

bool Contains(const std::vector<std::uint64_t>& list, std::uint64_t number) {
  return std::find(list.begin(), list.end(), number) != list.end();
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
      suspect.Offer(target.number, Score(target));
      continue;
    }
    if (target.is_local) {
      local_waiting += view.waiting;
      local_slots += target.slots;
      local.Offer(target.number, Score(target));
    } else {
      remote.Offer(target.number, Score(target));
    }
  }
  const bool is_full = local_waiting * static_cast<double>(balancers) >=
                       m_settings.spill_load * local_slots;
  if (local.number() && !(is_full && remote.number())) return local.number();
  if (!local.number()) {
    return remote.number() ? remote.number() : suspect.number();
  }
  // Full here; the others' own load is not known, so as many flows stay.
  return random % 2 == 0 ? local.number() : remote.number();
}

double FlowPlacement::Score(const PlacementTarget& target) const {
  const auto found = m_views.find(target.number);
  const TargetView view = found == m_views.end() ? TargetView{} : found->second;
  const double speed = target.is_cold ? m_settings.cold_speed : 1.0;
  const double flows =
      view.open + view.opening + m_settings.waiting_weight * view.waiting + 1.0;
  return flows / (target.slots * speed);
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

void FlowPlacement::OnRequest(std::uint64_t target) {
  ++m_views[target].waiting;
}

void FlowPlacement::OnAnswer(std::uint64_t target, bool is_answered,
                             TimePoint now) {
  TargetView& view = m_views[target];
  Decrease(&view.waiting);
  if (is_answered) NoteAnswer(&view, now);
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
