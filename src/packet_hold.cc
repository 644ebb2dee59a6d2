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

std::vector<Bytes> PacketHold::TakeAll(TimePoint now) {
  std::vector<Bytes> taken;
  for (HeldPacket& held : m_packets) {
    if (now - held.at <= m_settings.max_age) {
      taken.push_back(std::move(held.packet));
    } else {
      ++m_dropped;
    }
  }
  m_packets.clear();
  return taken;
}

}  // namespace sardinelead
