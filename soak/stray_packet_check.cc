#include "stray_packet_check.h"

namespace sardinelead::soak {

void StrayPacketCheck::OnOwnPacket(const FlowEnds& flow, std::uint64_t target) {
  m_flows[flow] = {target, 0, {}};
}

bool StrayPacketCheck::OnStrayPacket(const FlowEnds& flow, TimePoint now) {
  const auto found = m_flows.find(flow);
  if (found == m_flows.end()) return false;
  OpenFlow& open = found->second;
  if (m_down.count(open.target) != 0) return false;
  if (m_paused.count(open.target) != 0) open.strays = 0;
  if (open.strays++ == 0) open.first_stray_at = now;
  return open.strays >= kStrayPacketLimit &&
         now - open.first_stray_at >= kStrayTimeLimit;
}

}  // namespace sardinelead::soak
