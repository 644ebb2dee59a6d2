#include "warm_up_granter.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sardinelead {
namespace {

// Keeps a command within a message between replicas.
constexpr std::size_t kMaxGrantsPerCommand = 200;

}  // namespace

WarmUpGranter::WarmUpGranter(const WarmUpGranterSettings& settings, Hooks hooks)
    : m_settings(settings), m_hooks(std::move(hooks)) {}

void WarmUpGranter::OnHeartbeat(const TargetAnnouncement& target,
                                TimePoint now) {
  const Pool* pool = m_hooks.find_pool(target.pool);
  const bool needs_grant =
      target.warm_up_left > Duration{0} &&
      target.state == AnnouncedState::kReady && pool != nullptr &&
      pool->warm_up > Duration{0} &&
      !m_hooks.is_granted(target.number, target.started_ms);
  if (!needs_grant) return;
  const bool is_full =
      m_waiting.size() >= kMaxWaiting && m_waiting.count(target.number) == 0;
  if (is_full) return;
  Waiting& waiting = m_waiting[target.number];
  if (waiting.started_ms != target.started_ms) waiting = Waiting{};
  waiting.started_ms = target.started_ms;
  waiting.pool = target.pool;
  waiting.data_centre = target.data_centre;
  waiting.warm_at = now + target.warm_up_left;
}

bool WarmUpGranter::IsDue(TimePoint now) const {
  if (!m_first_candidate_at) return true;
  return std::any_of(
      m_waiting.begin(), m_waiting.end(),
      [now](const auto& item) { return item.second.propose_at <= now; });
}

std::vector<WarmUpCandidate> WarmUpGranter::Candidates(
    const std::vector<SubscriberStatus>& subscribers) const {
  std::vector<WarmUpCandidate> candidates;
  for (const SubscriberStatus& subscriber : subscribers) {
    const bool is_candidate = subscriber.has_polled && !subscriber.is_control &&
                              subscriber.silent <= m_settings.max_silence;
    if (!is_candidate) continue;
    candidates.push_back({subscriber.node, subscriber.data_centre});
  }
  return candidates;
}

std::vector<WarmUpGrant> WarmUpGranter::Propose(
    const std::vector<SubscriberStatus>& subscribers, TimePoint now) {
  std::vector<WarmUpGrant> grants;
  const std::vector<WarmUpCandidate> candidates = Candidates(subscribers);
  if (candidates.empty()) return grants;
  if (!m_first_candidate_at) m_first_candidate_at = now;
  if (now - *m_first_candidate_at < m_settings.settle_time) return grants;
  for (auto it = m_waiting.begin(); it != m_waiting.end();) {
    const std::uint64_t target = it->first;
    Waiting& waiting = it->second;
    const Pool* pool = m_hooks.find_pool(waiting.pool);
    const bool is_done = waiting.warm_at <= now || pool == nullptr ||
                         pool->warm_up <= Duration{0} ||
                         m_hooks.is_granted(target, waiting.started_ms);
    if (is_done) {
      it = m_waiting.erase(it);
      continue;
    }
    ++it;
    const bool is_due =
        waiting.propose_at <= now && grants.size() < kMaxGrantsPerCommand;
    if (!is_due) continue;
    waiting.propose_at = now + m_settings.retry_interval;
    const std::uint32_t quota =
        WarmUpQuota(pool->warm_up_rate, m_settings.limit);
    grants.push_back(
        {target, waiting.started_ms,
         DivideQuota(quota, target, waiting.data_centre, candidates)});
  }
  return grants;
}

}  // namespace sardinelead
