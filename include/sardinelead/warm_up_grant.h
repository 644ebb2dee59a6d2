#ifndef SARDINELEAD_WARM_UP_GRANT_H_
#define SARDINELEAD_WARM_UP_GRANT_H_

// How many new flows each balancer may send to a target that is warming up.
//
// The quota of a target is divided among a few balancers, its owners. The
// replicated register decides the division once for each start of the target's
// process, so that there is one set of owners, whatever balancers and control
// VMs know of each other:
//
//   WarmUpGrant grant{number, started_ms, {}};
//   const std::uint32_t quota = WarmUpQuota(rate, limit);
//   grant.shares = DivideQuota(quota, number, data_centre, candidates);
//   grants.Add(grant);  // When it is decided; a later one changes nothing.
//   const WarmUpGrant* decided = grants.Find(number, started_ms);
//
// Not thread-safe.

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

constexpr std::size_t kMaxWarmUpOwners = 4;

// Limit on new flows a second to a target that is warming up: the rate of its
// pool times the factor, plus the slack.
struct WarmUpLimit {
  double rate_factor = 1;
  double slack = 0;  // Flows a second.
};

// Opening packets that one balancer may send to the target in any one second.
struct WarmUpShare {
  NodeId balancer;
  std::uint32_t limit = 0;

  friend bool operator==(const WarmUpShare& a, const WarmUpShare& b) {
    return a.balancer == b.balancer && a.limit == b.limit;
  }
};
using WarmUpShares = std::vector<WarmUpShare>;

// The share of `balancer`; 0 if it has none.
std::uint32_t ShareOf(NodeId balancer, const WarmUpShares& shares);

struct WarmUpGrant {
  std::uint64_t target = 0;      // Number of the target.
  std::uint64_t started_ms = 0;  // Start of its process.
  WarmUpShares shares;           // Empty if the quota is 0.
};
bool operator==(const WarmUpGrant& a, const WarmUpGrant& b);

// A balancer that may own a share.
struct WarmUpCandidate {
  NodeId balancer;
  std::string data_centre;
};

// Flows a second from all balancers, in whole flows; `rate` is that of the
// target's pool.
std::uint32_t WarmUpQuota(double rate, const WarmUpLimit& limit);

// Divides the quota among at most kMaxWarmUpOwners candidates: those of the
// target's data centre first, then by a hash of the target and the candidate,
// which spreads ownership over the balancers. Shares differ by at most 1, are
// at least 1 and add up to the quota, unless there is no candidate.
WarmUpShares DivideQuota(std::uint32_t quota, std::uint64_t target,
                         const std::string& data_centre,
                         std::vector<WarmUpCandidate> candidates);

// The newest decided grants, in the order in which they were decided.
class WarmUpGrants {
 public:
  static constexpr std::size_t kMaxGrants = 4096;

  // Returns false, and changes nothing, if there is a grant for this start of
  // the target already.
  bool Add(WarmUpGrant grant);
  // Returns nullptr if there is none, or it was evicted by newer ones.
  const WarmUpGrant* Find(std::uint64_t target, std::uint64_t started_ms) const;

  // Number of grants ever added, those that were evicted included.
  std::uint64_t added() const { return m_added; }                  // NOLINT
  const std::deque<WarmUpGrant>& all() const { return m_grants; }  // NOLINT
  // The kept grants among those added after `added()` was `count`.
  std::vector<WarmUpGrant> AddedSince(std::uint64_t count) const;
  // Sets the number of grants ever added, which must include the kept ones.
  bool SetAdded(std::uint64_t count);

 private:
  std::deque<WarmUpGrant> m_grants;  // Oldest first.
  // Number of grants added before each kept one, by the target's number. A
  // target may have grants for several starts.
  std::unordered_multimap<std::uint64_t, std::uint64_t> m_by_target;
  std::uint64_t m_added = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_WARM_UP_GRANT_H_
