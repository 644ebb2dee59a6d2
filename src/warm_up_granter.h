#ifndef SARDINELEAD_SRC_WARM_UP_GRANTER_H_
#define SARDINELEAD_SRC_WARM_UP_GRANTER_H_

// Decides when a control VM proposes warm-up grants, and which.
//
// A target that is warming up, in a pool with a quota, needs one grant for each
// start of its process. It is proposed with the next tick after a heartbeat, so
// that the targets of a tick share a log entry, and again while it is
// undecided. Several control VMs may propose different grants for one start;
// the register keeps the first.
//
//   granter.OnHeartbeat(announcement, now);
//   if (granter.IsDue(now)) Submit(granter.Propose(subscribers, now));
//
// Performs no I/O. Not thread-safe. Memory: one entry for each target that is
// warming up without a grant, up to kMaxWaiting.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/feed_publisher.h"
#include "sardinelead/route_table.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/types.h"
#include "sardinelead/warm_up_grant.h"

namespace sardinelead {

struct WarmUpGranterSettings {
  WarmUpLimit limit;
  // An undecided grant is proposed again after this long.
  Duration retry_interval = std::chrono::seconds(1);
  // A balancer that has not polled for this long gets no share.
  Duration max_silence = std::chrono::seconds(2);
  // Time from the first poll of a balancer to the first grant. Balancers poll
  // once a second, and a grant that is decided while few of them are known
  // leaves out the others.
  Duration settle_time = std::chrono::milliseconds(1200);
};

class WarmUpGranter {
 public:
  static constexpr std::size_t kMaxWaiting = 4096;

  struct Hooks {
    // Returns nullptr if the pool is not configured.
    std::function<const Pool*(const std::string& name)> find_pool;
    std::function<bool(std::uint64_t target, std::uint64_t started_ms)>
        is_granted;
  };

  WarmUpGranter(const WarmUpGranterSettings& settings, Hooks hooks);

  void OnHeartbeat(const TargetAnnouncement& target, TimePoint now);
  // Whether Propose() must be called: grants may be due, or no balancer is
  // known yet.
  bool IsDue(TimePoint now) const;
  // Returns the grants to propose now. Call only while a quorum is reachable.
  std::vector<WarmUpGrant> Propose(
      const std::vector<SubscriberStatus>& subscribers, TimePoint now);

 private:
  struct Waiting {
    std::uint64_t started_ms = 0;
    std::string pool;
    std::string data_centre;
    TimePoint warm_at;
    TimePoint propose_at;
  };

  std::vector<WarmUpCandidate> Candidates(
      const std::vector<SubscriberStatus>& subscribers) const;

  WarmUpGranterSettings m_settings;
  Hooks m_hooks;
  std::map<std::uint64_t, Waiting> m_waiting;  // By target.
  std::optional<TimePoint> m_first_candidate_at;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_WARM_UP_GRANTER_H_
