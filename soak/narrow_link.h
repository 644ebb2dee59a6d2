#ifndef SARDINELEAD_SOAK_NARROW_LINK_H_
#define SARDINELEAD_SOAK_NARROW_LINK_H_

// The link of one balancer towards the targets: a rate, and a queue of limited
// depth. What the queue cannot take is lost. Thread-safe.

#include <cstddef>
#include <mutex>
#include <optional>

#include "packet_scheduler.h"
#include "sardinelead/types.h"

namespace sardinelead::soak {

// Payload of the largest requests.
constexpr std::size_t kLargeRequest = 1200;

class NarrowLink {
 public:
  // More than a balancer sends in advance (2,600 bytes), at any rate.
  static constexpr std::size_t kDepth = 8192;  // Bytes.

  // Returns when a datagram that is sent at `now` has passed a link of
  // `bytes_per_second`, or nullopt if it is lost. A rate of 0 is no limit.
  std::optional<TimePoint> Pass(std::size_t bytes, double bytes_per_second,
                                TimePoint now);

  // The longest time between a request and its answer, as a caller sees it, if
  // the load fits into the link: the wait that PacketScheduler states for the
  // lowest rank, with the largest request at that rank's share of the link,
  // what a balancer sends in advance, and a margin for delays of the processes.
  static Duration LongestWait(double bytes_per_second);

 private:
  std::mutex m_mutex;
  TimePoint m_free_at;  // All packets have passed then.
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_NARROW_LINK_H_
