#ifndef SARDINELEAD_SRC_PACKET_HOLD_H_
#define SARDINELEAD_SRC_PACKET_HOLD_H_

// A bounded buffer for packets that cannot be forwarded yet, because the
// balancer has just started or does not know a new target. They are retried
// when a routing or target update arrives. Senders retransmit with exponential
// backoff, so dropping a packet costs more than buffering it.

#include <cstddef>
#include <deque>
#include <functional>

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

  // Drops the oldest packet if the buffer is full.
  void Add(ByteView packet, TimePoint now);
  // Passes the packets that were added at most `max_age` ago to `forward`,
  // oldest first, and keeps those for which it returns false. Drops the others.
  // Calls `flush` while all packets that were passed are still valid. Neither
  // function may call this object.
  void Retry(TimePoint now, const std::function<bool(ByteView)>& forward,
             const std::function<void()>& flush);
  bool empty() const { return m_packets.empty(); }
  std::size_t dropped() const { return m_dropped; }  // NOLINT

 private:
  struct HeldPacket {
    TimePoint at;
    Bytes packet;
  };

  PacketHoldSettings m_settings;
  std::deque<HeldPacket> m_packets;
  std::size_t m_dropped = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_PACKET_HOLD_H_
