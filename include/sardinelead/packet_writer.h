#ifndef SARDINELEAD_PACKET_WRITER_H_
#define SARDINELEAD_PACKET_WRITER_H_

// Builds complete IP packets with correct lengths and checksums: the resets
// that a balancer sends, and the traffic of simulated callers and targets.

#include <cstdint>

#include "sardinelead/types.h"

namespace sardinelead {

// Bits of the flags byte of a TCP header.
enum TcpFlags : std::uint8_t {
  kTcpFin = 0x01,
  kTcpSyn = 0x02,
  kTcpRst = 0x04,
  kTcpPsh = 0x08,
  kTcpAck = 0x10,
};

struct TcpFields {
  std::uint32_t sequence = 0;
  std::uint32_t acknowledgment = 0;
  std::uint8_t flags = kTcpAck;
};

// `source` and `destination` must have the same address family.
Bytes WriteTcpPacket(const Endpoint& source, const Endpoint& destination,
                     const TcpFields& fields, ByteView payload = {});
Bytes WriteUdpPacket(const Endpoint& source, const Endpoint& destination,
                     ByteView payload = {});
// Builds an ICMP or ICMPv6 "port unreachable" error from `source` to
// `destination`, which should be the source of `quoted`. `quoted` is a complete
// IP packet; the error quotes its headers.
Bytes WritePortUnreachable(const IpAddress& source,
                           const IpAddress& destination, ByteView quoted);

}  // namespace sardinelead

#endif  // SARDINELEAD_PACKET_WRITER_H_
