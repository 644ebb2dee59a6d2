#include "sardinelead/warm_up_limiter.h"

#include <algorithm>
#include <iterator>

namespace sardinelead {

bool WarmUpLimiter::HasRoom(std::uint64_t target, std::uint32_t share,
                            TimePoint now) const {
  if (!m_usable_from || now < *m_usable_from || share == 0) return false;
  const auto found = m_targets.find(target);
  if (found == m_targets.end()) return true;
  const Packets& packets = found->second;
  const auto recent = std::lower_bound(packets.sent.begin(), packets.sent.end(),
                                       now - m_window);
  const auto count =
      static_cast<std::size_t>(std::distance(recent, packets.sent.end()));
  return packets.unsent + count < share;
}

bool WarmUpLimiter::TryTake(std::uint64_t target, std::uint32_t share,
                            TimePoint now) {
  if (!m_usable_from) m_usable_from = now + m_window;
  if (!HasRoom(target, share, now)) return false;
  Packets& packets = m_targets[target];
  while (!packets.sent.empty() && packets.sent.front() < now - m_window) {
    packets.sent.pop_front();
  }
  if (packets.unsent++ == 0) m_unsent.push_back(target);
  return true;
}

void WarmUpLimiter::OnAllSent(TimePoint sent_at) {
  if (!m_usable_from) m_usable_from = sent_at + m_window;
  for (const std::uint64_t target : m_unsent) {
    Packets& packets = m_targets[target];
    packets.sent.insert(packets.sent.end(), packets.unsent, sent_at);
    packets.unsent = 0;
  }
  m_unsent.clear();
}

void WarmUpLimiter::RemoveIdle(TimePoint now) {
  for (auto it = m_targets.begin(); it != m_targets.end();) {
    const Packets& packets = it->second;
    const bool is_idle =
        packets.unsent == 0 &&
        (packets.sent.empty() || packets.sent.back() < now - m_window);
    it = is_idle ? m_targets.erase(it) : std::next(it);
  }
}

}  // namespace sardinelead
