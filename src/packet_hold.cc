#include "packet_hold.h"

#include <utility>

namespace sardinelead {

void PacketHold::Add(ByteView packet, TimePoint now) {
  if (m_packets.size() >= m_settings.max_packets) {
    m_packets.pop_front();
    ++m_dropped;
  }
  m_packets.push_back({now, Bytes(packet.begin(), packet.end())});
}

void PacketHold::Retry(TimePoint now,
                       const std::function<bool(ByteView)>& forward,
                       const std::function<void()>& flush) {
  std::deque<HeldPacket> held = std::exchange(m_packets, {});
  for (HeldPacket& packet : held) {
    if (now - packet.at > m_settings.max_age) {
      ++m_dropped;
      continue;
    }
    if (!forward(packet.packet)) m_packets.push_back(std::move(packet));
  }
  flush();
}

}  // namespace sardinelead
