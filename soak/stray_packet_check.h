#ifndef SARDINELEAD_SOAK_STRAY_PACKET_CHECK_H_
#define SARDINELEAD_SOAK_STRAY_PACKET_CHECK_H_

// Decides whether the packets of an open flow go to other targets in place of
// the flow's own. Copies are allowed as long as the own target gets packets,
// too.
//
// Not thread-safe.

#include <cstdint>
#include <map>
#include <set>
#include <utility>

#include "sardinelead/types.h"

namespace sardinelead::soak {

// The platform allows three packets in two seconds. The callers here give up 3
// s after the first copy of a packet and send the last one after 1.4 s, so the
// limit is stricter.
constexpr int kStrayPacketLimit = 3;
constexpr Duration kStrayTimeLimit = std::chrono::seconds(1);

using FlowEnds = std::pair<Endpoint, Endpoint>;  // Caller, service.

class StrayPacketCheck {
 public:
  // Records that the flow's own start of a target has read one of its packets.
  void OnOwnPacket(const FlowEnds& flow, std::uint64_t target);
  // Records a packet that other targets ignore. Returns whether that is a
  // violation.
  bool OnStrayPacket(const FlowEnds& flow, TimePoint now);
  void OnTargetDown(std::uint64_t target) { m_down.insert(target); }
  // While a target is paused, packets may wait there unread.
  void OnPaused(std::uint64_t target) { m_paused.insert(target); }
  void OnContinued(std::uint64_t target) { m_paused.erase(target); }

 private:
  struct OpenFlow {
    std::uint64_t target = 0;
    int strays = 0;  // Since the last packet at the own target.
    TimePoint first_stray_at;
  };

  std::map<FlowEnds, OpenFlow> m_flows;
  std::set<std::uint64_t> m_down;
  std::set<std::uint64_t> m_paused;
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_STRAY_PACKET_CHECK_H_
