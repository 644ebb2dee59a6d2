#include "sardinelead/warm_up_grant.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace sardinelead {
namespace {

// Keeps the shares within the limiter's memory.
constexpr double kMaxQuota = 10'000;

}  // namespace

std::uint32_t ShareOf(NodeId balancer, const WarmUpShares& shares) {
  for (const WarmUpShare& share : shares) {
    if (share.balancer == balancer) return share.limit;
  }
  return 0;
}

bool operator==(const WarmUpGrant& a, const WarmUpGrant& b) {
  return a.target == b.target && a.started_ms == b.started_ms &&
         a.shares == b.shares;
}

std::uint32_t WarmUpQuota(double rate, const WarmUpLimit& limit) {
  const double quota = std::floor(rate * limit.rate_factor + limit.slack);
  if (!(quota > 0)) return 0;
  return static_cast<std::uint32_t>(std::min(quota, kMaxQuota));
}

WarmUpShares DivideQuota(std::uint32_t quota, std::uint64_t target,
                         const std::string& data_centre,
                         std::vector<WarmUpCandidate> candidates) {
  const auto rank = [&](const WarmUpCandidate& candidate) {
    const bool is_remote = candidate.data_centre != data_centre;
    return std::tuple(is_remote, HashCombine(target, candidate.balancer.value),
                      candidate.balancer.value);
  };
  std::sort(candidates.begin(), candidates.end(),
            [&](const WarmUpCandidate& a, const WarmUpCandidate& b) {
              return rank(a) < rank(b);
            });
  const std::size_t owners =
      std::min({candidates.size(), kMaxWarmUpOwners, std::size_t{quota}});
  WarmUpShares shares;
  for (std::size_t i = 0; i < owners; ++i) {
    const bool has_rest = i < quota % owners;
    const auto limit =
        static_cast<std::uint32_t>(quota / owners + (has_rest ? 1 : 0));
    shares.push_back({candidates[i].balancer, limit});
  }
  return shares;
}

bool WarmUpGrants::Add(WarmUpGrant grant) {
  if (Find(grant.target, grant.started_ms) != nullptr) return false;
  if (m_grants.size() == kMaxGrants) {
    const std::uint64_t oldest = m_added - m_grants.size();
    const auto [begin, end] = m_by_target.equal_range(m_grants.front().target);
    m_by_target.erase(std::find_if(
        begin, end, [&](const auto& item) { return item.second == oldest; }));
    m_grants.pop_front();
  }
  m_by_target.emplace(grant.target, m_added++);
  m_grants.push_back(std::move(grant));
  return true;
}

const WarmUpGrant* WarmUpGrants::Find(std::uint64_t target,
                                      std::uint64_t started_ms) const {
  const std::uint64_t first = m_added - m_grants.size();
  const auto [begin, end] = m_by_target.equal_range(target);
  for (auto it = begin; it != end; ++it) {
    const WarmUpGrant& grant = m_grants[it->second - first];
    if (grant.started_ms == started_ms) return &grant;
  }
  return nullptr;
}

std::vector<WarmUpGrant> WarmUpGrants::AddedSince(std::uint64_t count) const {
  const std::uint64_t added = m_added - std::min(count, m_added);
  const auto size = std::min<std::uint64_t>(added, m_grants.size());
  return {m_grants.end() - static_cast<std::ptrdiff_t>(size), m_grants.end()};
}

bool WarmUpGrants::SetAdded(std::uint64_t count) {
  if (count < m_added) return false;
  const std::uint64_t evicted = count - m_added;
  for (auto& [target, place] : m_by_target) place += evicted;
  m_added = count;
  return true;
}

}  // namespace sardinelead
