#ifndef SARDINELEAD_SRC_SCHEDULED_PACKET_H_
#define SARDINELEAD_SRC_SCHEDULED_PACKET_H_

// The fields of a packet that the packet scheduler needs, the packet's rank,
// and the identity by which copies of it are recognized.

#include <cstddef>
#include <cstdint>

#include "sardinelead/types.h"

namespace sardinelead {

struct ScheduledPacket {
  FlowKey flow;
  std::uint32_t sequence = 0;  // With `length` and `flags`, identifies copies.
  std::uint16_t length = 0;    // Payload bytes.
  std::uint8_t flags = 0;      // Opaque to the scheduler.
  bool is_urgent = false;      // Opening packet, no data, or a reset.
  std::uint32_t priority = 0;  // The route's priority; 0 is the highest.
  Duration max_wait{0};  // Dropped after a longer wait; 0: the general limit.
};

// Urgent packets have rank 0; the others follow by priority.
using PacketRank = std::uint64_t;
constexpr PacketRank kUrgentRank = 0;
inline PacketRank RankOfPriority(std::uint32_t priority) {
  return PacketRank{priority} + 1;
}
inline PacketRank RankOf(const ScheduledPacket& packet) {
  return packet.is_urgent ? kUrgentRank : RankOfPriority(packet.priority);
}

struct PacketIdentity {
  FlowKey flow;
  std::uint32_t sequence = 0;
  std::uint16_t length = 0;
  std::uint8_t flags = 0;

  explicit PacketIdentity(const ScheduledPacket& packet)
      : flow(packet.flow),
        sequence(packet.sequence),
        length(packet.length),
        flags(packet.flags) {}

  friend bool operator==(const PacketIdentity& a, const PacketIdentity& b) {
    return a.sequence == b.sequence && a.length == b.length &&
           a.flags == b.flags && a.flow == b.flow;
  }
};

struct PacketIdentityHash {
  std::size_t operator()(const PacketIdentity& identity) const {
    const std::uint64_t rest = std::uint64_t{identity.sequence} << 32 |
                               std::uint64_t{identity.length} << 8 |
                               identity.flags;
    return HashCombine(identity.flow.Hash(), rest);
  }
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_SCHEDULED_PACKET_H_
