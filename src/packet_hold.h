#ifndef SARDINELEAD_SRC_PACKET_HOLD_H_
#define SARDINELEAD_SRC_PACKET_HOLD_H_

// Packets that cannot be forwarded yet because their balancer has only just
// started, or does not know a new target: they are kept for a moment and tried
// again when news comes. Their senders repeat them at ever longer intervals, so
// dropping one costs more than keeping it.

#include <cstddef>
#include <deque>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

struct PacketHoldSettings {
  Duration max_age = std::chrono::milliseconds(1200);
  std::size_t max_packets = 512;
};

class PacketHold {
 public:
  explicit PacketHold(const PacketHoldSettings& settings)
      : m_settings(settings) {}

  // Drops the oldest packet where there is no room.
  void Add(ByteView packet, TimePoint now);
  // All that are young enough, oldest first; none is kept.
  std::vector<Bytes> TakeAll(TimePoint now);
  bool empty() const { return m_packets.empty(); }
  std::size_t dropped() const { return m_dropped; }  // NOLINT

 private:
  struct Held {
    TimePoint at;
    Bytes packet;
  };

  PacketHoldSettings m_settings;
  std::deque<Held> m_packets;
  std::size_t m_dropped = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_PACKET_HOLD_H_
