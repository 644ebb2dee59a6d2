#include "sardinelead/packet_writer.h"

#include <netinet/icmp6.h>
#include <netinet/in.h>
#include <netinet/ip_icmp.h>

#include <algorithm>
#include <cassert>

#include "checksum.h"

namespace sardinelead {
namespace {

constexpr std::uint8_t kTimeToLive = 64;
constexpr std::size_t kIpv4HeaderBytes = 20;
constexpr std::size_t kTcpHeaderBytes = 20;
constexpr std::size_t kUdpHeaderBytes = 8;
constexpr std::size_t kTcpChecksumOffset = 16;
constexpr std::size_t kUdpChecksumOffset = 6;
constexpr std::size_t kIcmpChecksumOffset = 2;
constexpr std::uint16_t kReceiveWindow = 65535;
// The longest IPv4 header (60 bytes) and the first 8 bytes of the transport
// header, which hold the ports.
constexpr std::size_t kMaxQuotedBytes = 68;

void Put8(Bytes* out, std::uint8_t value) { out->push_back(value); }

void Put16(Bytes* out, std::uint16_t value) {
  out->push_back(static_cast<std::uint8_t>(value >> 8));
  out->push_back(static_cast<std::uint8_t>(value));
}

void Put32(Bytes* out, std::uint32_t value) {
  Put16(out, static_cast<std::uint16_t>(value >> 16));
  Put16(out, static_cast<std::uint16_t>(value));
}

void PutBytes(Bytes* out, ByteView bytes) {
  out->insert(out->end(), bytes.begin(), bytes.end());
}

void Set16(Bytes* out, std::size_t offset, std::uint16_t value) {
  (*out)[offset] = static_cast<std::uint8_t>(value >> 8);
  (*out)[offset + 1] = static_cast<std::uint8_t>(value);
}

ByteView AddressBytes(const IpAddress& address) {
  const ByteView all(address.bytes.data(), address.bytes.size());
  return address.IsV4() ? ByteView(all.data + 12, 4) : all;
}

Bytes IpHeader(const IpAddress& source, const IpAddress& destination,
               std::uint8_t protocol, std::size_t payload_bytes) {
  assert(source.IsV4() == destination.IsV4());
  const auto length = static_cast<std::uint16_t>(payload_bytes);
  Bytes out;
  if (!source.IsV4()) {
    Put32(&out, 0x60000000);
    Put16(&out, length);
    Put8(&out, protocol);
    Put8(&out, kTimeToLive);
    PutBytes(&out, AddressBytes(source));
    PutBytes(&out, AddressBytes(destination));
    return out;
  }
  constexpr std::uint16_t kDontFragment = 0x4000;
  Put16(&out, 0x4500);
  Put16(&out, static_cast<std::uint16_t>(length + kIpv4HeaderBytes));
  Put16(&out, 0);
  Put16(&out, kDontFragment);
  Put8(&out, kTimeToLive);
  Put8(&out, protocol);
  Put16(&out, 0);
  PutBytes(&out, AddressBytes(source));
  PutBytes(&out, AddressBytes(destination));
  Set16(&out, 10, InternetChecksum(out));
  return out;
}

// Prepends an IP header to `transport` and fills in the transport checksum,
// which covers the pseudo-header (except for ICMP) and `transport`.
Bytes FinishPacket(const IpAddress& source, const IpAddress& destination,
                   std::uint8_t protocol, Bytes transport,
                   std::size_t checksum_offset) {
  const bool has_pseudo_header = protocol != IPPROTO_ICMP;
  ChecksumAccumulator sum;
  if (has_pseudo_header) {
    sum.Add(AddressBytes(source));
    sum.Add(AddressBytes(destination));
    sum.Add(protocol);
    sum.Add(static_cast<std::uint32_t>(transport.size()));
  }
  sum.Add(ByteView(transport));
  const std::uint16_t checksum = sum.Finish();
  const bool is_zero_udp_checksum = protocol == IPPROTO_UDP && checksum == 0;
  Set16(&transport, checksum_offset, is_zero_udp_checksum ? 0xffff : checksum);
  Bytes packet = IpHeader(source, destination, protocol, transport.size());
  PutBytes(&packet, transport);
  return packet;
}

}  // namespace

Bytes WriteTcpPacket(const Endpoint& source, const Endpoint& destination,
                     const TcpFields& fields, ByteView payload) {
  constexpr std::uint8_t kDataOffset = (kTcpHeaderBytes / 4) << 4;
  Bytes out;
  Put16(&out, source.port);
  Put16(&out, destination.port);
  Put32(&out, fields.sequence);
  Put32(&out, fields.acknowledgment);
  Put8(&out, kDataOffset);
  Put8(&out, fields.flags);
  Put16(&out, kReceiveWindow);
  Put16(&out, 0);
  Put16(&out, 0);
  PutBytes(&out, payload);
  return FinishPacket(source.address, destination.address, IPPROTO_TCP,
                      std::move(out), kTcpChecksumOffset);
}

Bytes WriteUdpPacket(const Endpoint& source, const Endpoint& destination,
                     ByteView payload) {
  Bytes out;
  Put16(&out, source.port);
  Put16(&out, destination.port);
  Put16(&out, static_cast<std::uint16_t>(kUdpHeaderBytes + payload.size));
  Put16(&out, 0);
  PutBytes(&out, payload);
  return FinishPacket(source.address, destination.address, IPPROTO_UDP,
                      std::move(out), kUdpChecksumOffset);
}

Bytes WritePortUnreachable(const IpAddress& source,
                           const IpAddress& destination, ByteView quoted) {
  const bool is_v4 = source.IsV4();
  Bytes out;
  if (is_v4) {
    Put8(&out, ICMP_DEST_UNREACH);
    Put8(&out, ICMP_PORT_UNREACH);
  } else {
    Put8(&out, ICMP6_DST_UNREACH);
    Put8(&out, ICMP6_DST_UNREACH_NOPORT);
  }
  Put16(&out, 0);
  Put32(&out, 0);
  PutBytes(&out, ByteView(quoted.data, std::min(quoted.size, kMaxQuotedBytes)));
  const auto protocol = static_cast<std::uint8_t>(is_v4 ? int{IPPROTO_ICMP}
                                                        : int{IPPROTO_ICMPV6});
  return FinishPacket(source, destination, protocol, std::move(out),
                      kIcmpChecksumOffset);
}

}  // namespace sardinelead
