#include "sardinelead/read_progress.h"

#include <algorithm>

namespace sardinelead {

void ReadProgress::OnDrained(TimePoint read_at, TimePoint sent_at) {
  m_read_until = std::max(m_read_until, read_at);
  m_sent_at.push_back(sent_at);
  ++m_round;
  // One older round is kept, so that its age is known to exceed kMaxAge.
  const auto is_old = [this](TimePoint sent) {
    return m_read_until - sent >= kMaxAge;
  };
  while (m_sent_at.size() > 1 && is_old(m_sent_at[1])) m_sent_at.pop_front();
}

void ReadProgress::OnPacketsDropped() { m_first_reliable_round = m_round + 1; }

Duration ReadProgress::ShortestAge(std::uint64_t round) const {
  if (round >= m_round || !IsReliable(round)) return Duration{0};
  const std::uint64_t first_kept = m_round - m_sent_at.size();
  const std::uint64_t place = std::max(round, first_kept) - first_kept;
  const Duration age = m_read_until - m_sent_at[place];
  return std::clamp(age, Duration{0}, kMaxAge);
}

}  // namespace sardinelead
