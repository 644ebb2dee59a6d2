#include "sardinelead/packet.h"

#include <arpa/inet.h>
#include <netinet/icmp6.h>
#include <netinet/ip.h>
#include <netinet/ip6.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include <array>
#include <cstring>
#include <optional>

#include "checksum.h"

namespace sardinelead {
namespace {

// Fields are written directly to their final location. Copying a structure
// whose smaller fields have just been stored would cost more than all the
// checks together.

constexpr int kMaxExtensionHeaders = 4;
constexpr std::size_t kIcmpHeaderBytes = 8;
// An ICMP error quotes at least this much of the transport header: the ports
// and the TCP sequence number.
constexpr std::size_t kQuotedTransportBytes = 8;

// The reason for dropping a packet, or empty if the packet is accepted.
using OptionalDropReason = std::optional<DropReason>;

// The payload of an IP packet and its protocol number.
struct Transport {
  std::uint8_t protocol = 0;
  ByteView bytes;
};

// Whether an IP packet is complete, or is only the leading part that an ICMP
// error quotes.
enum class Extent { kWhole, kQuoted };

// Copies a header out of `bytes`, which need not be aligned. Requires
// bytes.size >= sizeof(Header).
template <typename Header>
Header CopyHeader(ByteView bytes) {
  Header header;
  std::memcpy(&header, bytes.data, sizeof(header));
  return header;
}

ByteView RemovePrefix(ByteView bytes, std::size_t count) {
  return ByteView(bytes.data + count, bytes.size - count);
}

// Writes `address`, in network byte order, as an IPv4-mapped IPv6 address.
void WriteV4Mapped(std::uint32_t address, IpAddress* out) {
  constexpr std::array<std::uint8_t, 4> kMappedPrefix = {0, 0, 0xff, 0xff};
  std::array<std::uint32_t, 2> low;
  std::memcpy(low.data(), kMappedPrefix.data(), kMappedPrefix.size());
  low[1] = address;
  std::memset(out->bytes.data(), 0, 8);
  std::memcpy(out->bytes.data() + 8, low.data(), 8);
}

OptionalDropReason ParseIpv4(ByteView packet, Extent extent, IpAddress* source,
                             IpAddress* destination, Transport* out) {
  if (packet.size < sizeof(iphdr)) return DropReason::kTruncated;
  const auto header = CopyHeader<iphdr>(packet);
  const std::size_t header_bytes = std::size_t{4} * header.ihl;
  const std::size_t total_bytes = ntohs(header.tot_len);
  if (header_bytes < sizeof(iphdr)) return DropReason::kBadHeader;
  if (total_bytes < header_bytes) return DropReason::kBadHeader;
  if (packet.size < header_bytes) return DropReason::kTruncated;
  if (extent == Extent::kWhole) {
    if (packet.size < total_bytes) return DropReason::kTruncated;
    if (packet.size > total_bytes) return DropReason::kBadHeader;
    if (!HasValidChecksum(packet.data, header_bytes)) {
      return DropReason::kBadHeader;
    }
  }
  const std::uint16_t fragment = ntohs(header.frag_off);
  const bool has_more = extent == Extent::kWhole && (fragment & IP_MF) != 0;
  if ((fragment & IP_OFFMASK) != 0 || has_more) return DropReason::kFragment;
  WriteV4Mapped(header.saddr, source);
  WriteV4Mapped(header.daddr, destination);
  out->protocol = header.protocol;
  out->bytes = RemovePrefix(packet, header_bytes);
  return std::nullopt;
}

// Advances `out` past any extension headers that precede the transport header.
OptionalDropReason SkipExtensionHeaders(Transport* out) {
  for (int i = 0; i <= kMaxExtensionHeaders; ++i) {
    if (out->protocol == IPPROTO_FRAGMENT) return DropReason::kFragment;
    const bool is_extension = out->protocol == IPPROTO_HOPOPTS ||
                              out->protocol == IPPROTO_DSTOPTS ||
                              out->protocol == IPPROTO_ROUTING;
    if (!is_extension) return std::nullopt;
    if (out->bytes.size < sizeof(ip6_rthdr)) return DropReason::kTruncated;
    const auto header = CopyHeader<ip6_rthdr>(out->bytes);
    const std::size_t header_bytes = std::size_t{8} * (header.ip6r_len + 1U);
    if (out->bytes.size < header_bytes) return DropReason::kTruncated;
    const bool has_further_hop =
        out->protocol == IPPROTO_ROUTING && header.ip6r_segleft != 0;
    if (has_further_hop) return DropReason::kBadHeader;
    out->protocol = header.ip6r_nxt;
    out->bytes = RemovePrefix(out->bytes, header_bytes);
  }
  return DropReason::kBadHeader;
}

OptionalDropReason ParseIpv6(ByteView packet, Extent extent, IpAddress* source,
                             IpAddress* destination, Transport* out) {
  if (packet.size < sizeof(ip6_hdr)) return DropReason::kTruncated;
  const auto header = CopyHeader<ip6_hdr>(packet);
  const std::size_t total_bytes = sizeof(ip6_hdr) + ntohs(header.ip6_plen);
  if (extent == Extent::kWhole) {
    if (packet.size < total_bytes) return DropReason::kTruncated;
    if (packet.size > total_bytes) return DropReason::kBadHeader;
  }
  std::memcpy(source->bytes.data(), &header.ip6_src, sizeof(in6_addr));
  std::memcpy(destination->bytes.data(), &header.ip6_dst, sizeof(in6_addr));
  // An IPv4-mapped address in an IPv6 packet would be mistaken for an IPv4 one.
  if (source->IsV4() || destination->IsV4()) return DropReason::kBadHeader;
  out->protocol = header.ip6_nxt;
  out->bytes = RemovePrefix(packet, sizeof(ip6_hdr));
  return SkipExtensionHeaders(out);
}

OptionalDropReason ParseIp(ByteView packet, Extent extent, IpAddress* source,
                           IpAddress* destination, Transport* out) {
  if (packet.size == 0) return DropReason::kTruncated;
  const int version = packet.data[0] >> 4;
  if (version == 4) {
    return ParseIpv4(packet, extent, source, destination, out);
  }
  if (version == 6) {
    return ParseIpv6(packet, extent, source, destination, out);
  }
  return DropReason::kBadHeader;
}

// Return the endpoint of `key` that is the source or the destination of a
// packet in `direction`.
Endpoint* SourceOf(FlowKey* key, Direction direction) {
  return direction == Direction::kToService ? &key->caller : &key->service;
}
Endpoint* DestinationOf(FlowKey* key, Direction direction) {
  return direction == Direction::kToService ? &key->service : &key->caller;
}

OptionalDropReason ParseTcpKind(const tcphdr& header, PacketKind* kind) {
  const bool has_no_flag =
      !header.syn && !header.ack && !header.fin && !header.rst;
  if (has_no_flag) return DropReason::kBadHeader;
  if (header.syn && (header.fin || header.rst)) return DropReason::kBadHeader;
  *kind = PacketKind::kTcpData;
  if (header.syn && !header.ack) *kind = PacketKind::kTcpOpen;
  if (header.fin) *kind = PacketKind::kTcpClose;
  if (header.rst) *kind = PacketKind::kTcpReset;
  return std::nullopt;
}

OptionalDropReason ParseTcp(ByteView segment, Direction direction,
                            PacketInfo* info) {
  if (segment.size < sizeof(tcphdr)) return DropReason::kTruncated;
  const auto header = CopyHeader<tcphdr>(segment);
  const std::size_t header_bytes = std::size_t{4} * header.doff;
  if (header_bytes < sizeof(tcphdr)) return DropReason::kBadHeader;
  if (segment.size < header_bytes) return DropReason::kTruncated;
  const OptionalDropReason drop_reason = ParseTcpKind(header, &info->kind);
  if (drop_reason) return drop_reason;
  SourceOf(&info->key, direction)->port = ntohs(header.source);
  DestinationOf(&info->key, direction)->port = ntohs(header.dest);
  info->key.protocol = Protocol::kTcp;
  info->tcp_sequence = ntohl(header.seq);
  info->tcp_acknowledgment = ntohl(header.ack_seq);
  info->payload_bytes = static_cast<std::uint16_t>(segment.size - header_bytes);
  return std::nullopt;
}

OptionalDropReason ParseUdp(ByteView datagram, Direction direction,
                            PacketInfo* info) {
  if (datagram.size < sizeof(udphdr)) return DropReason::kTruncated;
  const auto header = CopyHeader<udphdr>(datagram);
  const std::size_t udp_bytes = ntohs(header.len);
  if (udp_bytes < sizeof(udphdr)) return DropReason::kBadHeader;
  if (datagram.size < udp_bytes) return DropReason::kTruncated;
  SourceOf(&info->key, direction)->port = ntohs(header.source);
  DestinationOf(&info->key, direction)->port = ntohs(header.dest);
  info->key.protocol = Protocol::kUdp;
  info->kind = PacketKind::kUdp;
  info->tcp_sequence = 0;
  info->tcp_acknowledgment = 0;
  info->payload_bytes = static_cast<std::uint16_t>(udp_bytes - sizeof(udphdr));
  return std::nullopt;
}

bool IsIcmpError(std::uint8_t protocol, std::uint8_t type) {
  if (protocol == IPPROTO_ICMP) {
    return type == ICMP_DEST_UNREACH || type == ICMP_TIME_EXCEEDED ||
           type == ICMP_PARAMETERPROB;
  }
  return type == ICMP6_DST_UNREACH || type == ICMP6_PACKET_TOO_BIG ||
         type == ICMP6_TIME_EXCEEDED || type == ICMP6_PARAM_PROB;
}

// The quoted packet travelled in the opposite direction to the error.
OptionalDropReason ParseIcmp(const Transport& icmp, Direction direction,
                             PacketInfo* info) {
  if (icmp.bytes.size < kIcmpHeaderBytes) return DropReason::kTruncated;
  if (!IsIcmpError(icmp.protocol, icmp.bytes.data[0])) {
    return DropReason::kUnknownProtocol;
  }
  Endpoint source;
  Endpoint destination;
  Transport quoted;
  const OptionalDropReason drop_reason =
      ParseIp(RemovePrefix(icmp.bytes, kIcmpHeaderBytes), Extent::kQuoted,
              &source.address, &destination.address, &quoted);
  if (drop_reason) return drop_reason;
  // An error is addressed to the source of the packet that it quotes.
  const Endpoint& error_receiver = *DestinationOf(&info->key, direction);
  if (source.address != error_receiver.address) return DropReason::kBadHeader;
  const bool is_tcp = quoted.protocol == IPPROTO_TCP;
  if (!is_tcp && quoted.protocol != IPPROTO_UDP) {
    return DropReason::kUnknownProtocol;
  }
  if (quoted.bytes.size < kQuotedTransportBytes) return DropReason::kTruncated;
  const auto ports = CopyHeader<udphdr>(quoted.bytes);
  source.port = ntohs(ports.source);
  destination.port = ntohs(ports.dest);
  *DestinationOf(&info->key, direction) = source;
  *SourceOf(&info->key, direction) = destination;
  info->key.protocol = is_tcp ? Protocol::kTcp : Protocol::kUdp;
  info->kind = PacketKind::kIcmpError;
  info->tcp_sequence = 0;
  info->tcp_acknowledgment = 0;
  info->payload_bytes = 0;
  return std::nullopt;
}

OptionalDropReason ParseTransport(const Transport& transport,
                                  Direction direction, PacketInfo* info) {
  switch (transport.protocol) {
    case IPPROTO_TCP:
      return ParseTcp(transport.bytes, direction, info);
    case IPPROTO_UDP:
      return ParseUdp(transport.bytes, direction, info);
    case IPPROTO_ICMP:
    case IPPROTO_ICMPV6:
      return ParseIcmp(transport, direction, info);
    default:
      return DropReason::kUnknownProtocol;
  }
}

}  // namespace

const char* Name(PacketKind kind) {
  switch (kind) {
    case PacketKind::kTcpOpen:
      return "tcp-open";
    case PacketKind::kTcpData:
      return "tcp-data";
    case PacketKind::kTcpClose:
      return "tcp-close";
    case PacketKind::kTcpReset:
      return "tcp-reset";
    case PacketKind::kUdp:
      return "udp";
    case PacketKind::kIcmpError:
      return "icmp-error";
  }
  return "unknown";
}

const char* Name(DropReason reason) {
  switch (reason) {
    case DropReason::kTruncated:
      return "truncated";
    case DropReason::kBadHeader:
      return "bad-header";
    case DropReason::kFragment:
      return "fragment";
    case DropReason::kUnknownProtocol:
      return "unknown-protocol";
    case DropReason::kUnknownService:
      return "unknown-service";
    case DropReason::kUnknownFlow:
      return "unknown-flow";
    case DropReason::kUncertain:
      return "uncertain";
    case DropReason::kNoTarget:
      return "no-target";
    case DropReason::kRefused:
      return "refused";
    case DropReason::kWrongService:
      return "wrong-service";
    case DropReason::kWrongTarget:
      return "wrong-target";
    case DropReason::kStaleRelay:
      return "stale-relay";
    case DropReason::kHopLimit:
      return "hop-limit";
    case DropReason::kUnauthenticated:
      return "unauthenticated";
    case DropReason::kNotReady:
      return "not-ready";
    case DropReason::kCount:
      break;
  }
  return "unknown";
}

const char* Name(Ingress ingress) {
  switch (ingress) {
    case Ingress::kFabric:
      return "fabric";
    case Ingress::kRelay:
      return "relay";
    case Ingress::kAnswer:
      return "answer";
  }
  return "unknown";
}

std::optional<DropReason> ParsePacket(ByteView packet, Direction direction,
                                      PacketInfo* info) {
  Transport transport;
  const OptionalDropReason drop_reason =
      ParseIp(packet, Extent::kWhole, &SourceOf(&info->key, direction)->address,
              &DestinationOf(&info->key, direction)->address, &transport);
  if (drop_reason) return drop_reason;
  const OptionalDropReason transport_drop_reason =
      ParseTransport(transport, direction, info);
  if (transport_drop_reason) return transport_drop_reason;
  info->flow_hash = info->key.Hash();
  return std::nullopt;
}

tl::expected<PacketInfo, DropReason> ParsePacket(ByteView packet,
                                                 Direction direction) {
  PacketInfo info;
  const OptionalDropReason drop_reason = ParsePacket(packet, direction, &info);
  if (drop_reason) return tl::unexpected<DropReason>(*drop_reason);
  return info;
}

}  // namespace sardinelead
