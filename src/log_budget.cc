#include "log_budget.h"

#include <algorithm>
#include <utility>

namespace sardinelead {

bool LogRateLimiter::Take(const std::string& event, TimePoint now) {
  const auto [found, is_new] = m_buckets.try_emplace(event);
  Bucket& bucket = found->second;
  const double seconds =
      std::chrono::duration<double>(now - bucket.refilled_at).count();
  bucket.tokens =
      is_new ? m_settings.burst
             : std::min(m_settings.burst,
                        bucket.tokens + seconds * m_settings.lines_per_second);
  bucket.refilled_at = now;
  if (bucket.tokens < 1) {
    ++bucket.dropped;
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

void LogRateLimiter::CountDropped(const std::string& event) {
  ++m_buckets[event].dropped;
}

std::uint64_t LogRateLimiter::TakeDroppedCount(const std::string& event) {
  const auto found = m_buckets.find(event);
  if (found == m_buckets.end()) return 0;
  return std::exchange(found->second.dropped, 0);
}

}  // namespace sardinelead
