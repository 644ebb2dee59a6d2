#ifndef SARDINELEAD_WARM_UP_LIMITER_H_
#define SARDINELEAD_WARM_UP_LIMITER_H_

// Enforces this balancer's shares of the quotas of targets that are warming up:
// at most `share` opening packets are sent to a target within any window.
//
//   if (limiter.TryTake(target, share, now)) Forward(packet);
//   limiter.OnAllSent(sent_at);  // Everything taken so far has been sent.
//
// The limiter stores the time of each packet within the window. A token bucket
// would allow twice its depth at the edge of a window. A packet counts from the
// moment at which it was certainly sent: a process that stalls between the
// decision and the sending must not send a second share right afterwards.
//
// The previous process of this balancer may have used up its shares, so nothing
// may be taken in the first window after the first call.
//
// Not thread-safe. TryTake() costs one hash lookup. Memory: 8 bytes for each
// packet sent to such targets within the window.

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

class WarmUpLimiter {
 public:
  explicit WarmUpLimiter(Duration window) : m_window(window) {}

  // Whether a packet may be sent to the target now.
  bool HasRoom(std::uint64_t target, std::uint32_t share, TimePoint now) const;
  // Counts a packet that is about to be sent. Returns false, and counts
  // nothing, if there is no room.
  bool TryTake(std::uint64_t target, std::uint32_t share, TimePoint now);
  // Every packet taken so far had been sent by `sent_at`. Must be called
  // regularly also while nothing is taken.
  void OnAllSent(TimePoint sent_at);
  // Removes targets that were sent no packet within the window.
  void RemoveIdle(TimePoint now);

  std::size_t target_count() const { return m_targets.size(); }  // NOLINT

 private:
  struct Packets {
    std::deque<TimePoint> sent;  // Oldest first.
    std::uint32_t unsent = 0;    // Taken, but not known to be sent.
  };

  Duration m_window;
  std::optional<TimePoint> m_usable_from;
  std::unordered_map<std::uint64_t, Packets> m_targets;
  std::vector<std::uint64_t> m_unsent;  // Targets with unsent packets.
};

}  // namespace sardinelead

#endif  // SARDINELEAD_WARM_UP_LIMITER_H_
