#ifndef SARDINELEAD_PACKET_H_
#define SARDINELEAD_PACKET_H_

// Parses the headers of an IP packet into the flow key and the packet kind that
// forwarding decisions need. The decision logic sees packets only as
// PacketInfo, so supporting another encapsulation takes one adapter.
//
// A packet is rejected, with a reason, unless it is complete and consistent:
// the IP length equals the number of bytes, the IPv4 header checksum is valid,
// and the transport header lies entirely within the packet. Fragments are
// rejected because only the first one carries ports; clients of a service are
// expected to use path MTU discovery. An ICMP error that quotes a packet of a
// flow is treated as a packet of that flow, so that it reaches the flow's
// target. All other checksums are left to the flow's endpoints to verify.

#include <cstdint>
#include <optional>
#include <tl/expected.hpp>

#include "sardinelead/types.h"

namespace sardinelead {

enum class PacketKind : std::uint8_t {
  kTcpOpen,   // SYN without ACK: requests a new flow.
  kTcpData,   // Any other segment without FIN or RST.
  kTcpClose,  // FIN.
  kTcpReset,  // RST.
  kUdp,
  kIcmpError,  // Quotes a packet of the flow; never opens or closes it.
};
const char* Name(PacketKind kind);

// Why a packet was not forwarded. Each reason has its own counter.
enum class DropReason : std::uint8_t {
  kTruncated,        // Shorter than its headers state.
  kBadHeader,        // A header field has an invalid value.
  kFragment,         // An IP fragment; only the first one has ports.
  kUnknownProtocol,  // Neither TCP nor UDP, nor an ICMP error about them.
  kUnknownService,   // No service has this address, port and protocol.
  kUnknownFlow,      // All record holders confirm there is no such flow.
  kUncertain,        // The flow's target cannot be determined reliably now.
  kNoTarget,         // The service has no target that accepts new flows.
  kRefused,          // Exceeds a limit or a fair share.
  kWrongService,     // The target does not belong to the packet's service.
  kWrongTarget,      // From a target that the flow is not assigned to.
  kStaleRelay,       // Relayed under an older membership view.
  kHopLimit,         // Relayed too many times.
  kUnauthenticated,  // Not from an authenticated process of this system.
  kNotReady,         // This node is currently not allowed to place new flows.
  kCount,
};
const char* Name(DropReason reason);

// The balancer port that a packet arrived on.
enum class Ingress : std::uint8_t {
  kFabric,  // From callers: a complete IP packet.
  kRelay,   // From another balancer: a relay header followed by the packet.
  kAnswer,  // From targets whose return traffic goes through a balancer.
};
constexpr std::size_t kIngressCount = 3;
const char* Name(Ingress ingress);

struct PacketInfo {
  FlowKey key;
  PacketKind kind = PacketKind::kTcpData;
  std::uint32_t tcp_sequence = 0;
  std::uint32_t tcp_acknowledgment = 0;
  std::uint16_t payload_bytes = 0;
  std::uint64_t flow_hash = 0;  // key.Hash(), or 0 if not yet computed.

  std::uint64_t FlowHash() const {
    return flow_hash != 0 ? flow_hash : key.Hash();
  }
};

// The direction of a packet, which determines whether its source or its
// destination is the caller.
enum class Direction : std::uint8_t { kToService, kToCaller };

// Parses a complete IPv4 or IPv6 packet. Validates every length field and never
// reads past `packet`. Does not allocate and reads only the headers.
tl::expected<PacketInfo, DropReason> ParsePacket(ByteView packet,
                                                 Direction direction);
// Same as above, but parses into `info` to avoid a copy on the packet path.
// `info` is unspecified if a reason is returned.
std::optional<DropReason> ParsePacket(ByteView packet, Direction direction,
                                      PacketInfo* info);

}  // namespace sardinelead

#endif  // SARDINELEAD_PACKET_H_
