#ifndef SARDINELEAD_SRC_PACKET_HOLD_H_
#define SARDINELEAD_SRC_PACKET_HOLD_H_

// A bounded buffer for packets that cannot be forwarded yet, because the
// balancer has just started or does not know a new target. They are retried
// when a routing or target update arrives. Senders retransmit with exponential
// backoff, so dropping a packet costs more than buffering it.

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

  // Drops the oldest packet if the buffer is full.
  void Add(ByteView packet, TimePoint now);
  // Removes all packets and returns those not older than `max_age`, oldest
  // first.
  std::vector<Bytes> TakeAll(TimePoint now);
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
