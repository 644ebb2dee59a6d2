#include "sardinelead/packet.h"

#include <cppunit/extensions/HelperMacros.h>
#include <tins/tins.h>

#include "checksum.h"
#include "sardinelead/packet_writer.h"

namespace sardinelead {
namespace {

const Endpoint kCaller = *Endpoint::Parse("10.0.0.1:1000");
const Endpoint kService = *Endpoint::Parse("192.0.2.1:80");
const Endpoint kCaller6 = *Endpoint::Parse("[2001:db8::1]:1000");
const Endpoint kService6 = *Endpoint::Parse("[2001:db8::2]:80");

DropReason ReasonOf(const Bytes& packet) {
  const auto info = ParsePacket(packet, Direction::kToService);
  return info ? DropReason::kCount : info.error();
}

#define ASSERT_DROPPED(reason, packet)            \
  CPPUNIT_ASSERT_EQUAL(std::string(Name(reason)), \
                       std::string(Name(ReasonOf(packet))))

Bytes Tcp(std::uint8_t flags) {
  return WriteTcpPacket(kCaller, kService, TcpFields{7, 9, flags}, Bytes(5));
}

Bytes RecomputeIpChecksum(Bytes packet) {
  packet[10] = packet[11] = 0;
  const std::uint16_t sum = InternetChecksum(ByteView(packet.data(), 20));
  packet[10] = static_cast<std::uint8_t>(sum >> 8);
  packet[11] = static_cast<std::uint8_t>(sum);
  return packet;
}

class PacketTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PacketTest);
  CPPUNIT_TEST(ReadsTcpAndUdpOfBothFamilies);
  CPPUNIT_TEST(AgreesWithLibtins);
  CPPUNIT_TEST(ClassifiesTcpSegmentsByFlags);
  CPPUNIT_TEST(SwapsEndpointsForPacketsToCaller);
  CPPUNIT_TEST(RefusesEveryTruncation);
  CPPUNIT_TEST(RefusesBadHeaders);
  CPPUNIT_TEST(SkipsExtensionHeadersUpToABound);
  CPPUNIT_TEST(FindsTheFlowOfIcmpErrors);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsTcpAndUdpOfBothFamilies() {
    for (const auto& [from, to] :
         {std::pair(kCaller, kService), std::pair(kCaller6, kService6)}) {
      const auto tcp = ParsePacket(
          WriteTcpPacket(from, to, TcpFields{7, 9, kTcpAck}, Bytes(5)),
          Direction::kToService);
      CPPUNIT_ASSERT(tcp && tcp->key.caller == from && tcp->key.service == to);
      CPPUNIT_ASSERT(tcp->tcp_sequence == 7 && tcp->tcp_acknowledgment == 9);
      CPPUNIT_ASSERT(tcp->payload_bytes == 5);
      const auto udp = ParsePacket(WriteUdpPacket(from, to, Bytes(3)),
                                   Direction::kToService);
      CPPUNIT_ASSERT(udp && udp->kind == PacketKind::kUdp);
      CPPUNIT_ASSERT(udp->key.protocol == Protocol::kUdp);
      CPPUNIT_ASSERT(udp->payload_bytes == 3);
    }
  }

  void AgreesWithLibtins() {
    Tins::IP tins_packet = Tins::IP("192.0.2.1", "10.0.0.1") /
                           Tins::TCP(80, 1000) / Tins::RawPDU("12345");
    tins_packet.rfind_pdu<Tins::TCP>().seq(7);
    tins_packet.rfind_pdu<Tins::TCP>().flags(Tins::TCP::SYN);
    tins_packet.rfind_pdu<Tins::TCP>().mss(1400);
    const auto info =
        ParsePacket(tins_packet.serialize(), Direction::kToService);
    CPPUNIT_ASSERT(info && info->kind == PacketKind::kTcpOpen);
    CPPUNIT_ASSERT(info->key.caller == kCaller && info->payload_bytes == 5);
    // libtins must compute the same checksums as our writer.
    Bytes written = Tcp(kTcpAck);
    Tins::IP read(written.data(), static_cast<std::uint32_t>(written.size()));
    const std::uint16_t ip_sum = read.checksum();
    const std::uint16_t tcp_sum = read.rfind_pdu<Tins::TCP>().checksum();
    read.serialize();
    CPPUNIT_ASSERT_EQUAL(read.checksum(), ip_sum);
    CPPUNIT_ASSERT_EQUAL(read.rfind_pdu<Tins::TCP>().checksum(), tcp_sum);
  }

  void ClassifiesTcpSegmentsByFlags() {
    const std::pair<int, PacketKind> kinds[] = {
        {kTcpSyn, PacketKind::kTcpOpen},
        {kTcpSyn | kTcpAck, PacketKind::kTcpData},
        {kTcpAck, PacketKind::kTcpData},
        {kTcpFin | kTcpAck, PacketKind::kTcpClose},
        {kTcpRst, PacketKind::kTcpReset}};
    for (const auto& [flags, kind] : kinds) {
      const auto info = ParsePacket(Tcp(static_cast<std::uint8_t>(flags)),
                                    Direction::kToService);
      CPPUNIT_ASSERT(info && info->kind == kind);
    }
    for (const int flags : {0, kTcpSyn | kTcpFin, kTcpSyn | kTcpRst}) {
      ASSERT_DROPPED(DropReason::kBadHeader,
                     Tcp(static_cast<std::uint8_t>(flags)));
    }
  }

  void SwapsEndpointsForPacketsToCaller() {
    const auto info =
        ParsePacket(WriteUdpPacket(kService, kCaller), Direction::kToCaller);
    CPPUNIT_ASSERT(info && info->key.caller == kCaller);
    CPPUNIT_ASSERT(info->key.service == kService);
  }

  void RefusesEveryTruncation() {
    for (const Bytes& whole :
         {Tcp(kTcpSyn), WriteUdpPacket(kCaller6, kService6, Bytes(3)),
          WritePortUnreachable(kCaller.address, kService.address,
                               WriteUdpPacket(kService, kCaller))}) {
      CPPUNIT_ASSERT(ParsePacket(whole, Direction::kToService).has_value());
      for (std::size_t size = 0; size < whole.size(); ++size) {
        const Bytes part(whole.begin(), whole.begin() + size);
        ASSERT_DROPPED(DropReason::kTruncated, part);
      }
    }
  }

  void RefusesBadHeaders() {
    const auto with = [](std::size_t offset, std::uint8_t value) {
      Bytes packet = Tcp(kTcpAck);
      packet[offset] = value;
      return RecomputeIpChecksum(packet);
    };
    ASSERT_DROPPED(DropReason::kBadHeader, with(0, 0x55));
    ASSERT_DROPPED(DropReason::kBadHeader, with(0, 0x44));
    ASSERT_DROPPED(DropReason::kBadHeader, with(32, 0x40));
    ASSERT_DROPPED(DropReason::kTruncated, with(32, 0xf0));
    ASSERT_DROPPED(DropReason::kFragment, with(6, 0x20));
    ASSERT_DROPPED(DropReason::kFragment, with(7, 0x01));
    ASSERT_DROPPED(DropReason::kUnknownProtocol, with(9, 47));
    Bytes wrong_checksum = Tcp(kTcpAck);
    wrong_checksum[12] ^= 1;
    ASSERT_DROPPED(DropReason::kBadHeader, wrong_checksum);
    Bytes trailing = Tcp(kTcpAck);
    trailing.push_back(0);
    ASSERT_DROPPED(DropReason::kBadHeader, trailing);
    Bytes udp = WriteUdpPacket(kCaller, kService, Bytes(3));
    udp[25] = 7;
    ASSERT_DROPPED(DropReason::kBadHeader, udp);
    udp[25] = 12;
    ASSERT_DROPPED(DropReason::kTruncated, udp);
  }

  void SkipsExtensionHeadersUpToABound() {
    const auto with_extensions = [](int count, std::uint8_t type) {
      Bytes packet = WriteTcpPacket(kCaller6, kService6, TcpFields{});
      for (int i = 0; i < count; ++i) {
        const Bytes extension = {packet[6], 0, 0, 0, 0, 0, 0, 0};
        packet.insert(packet.begin() + 40, extension.begin(), extension.end());
        packet[6] = type;
        packet[5] = static_cast<std::uint8_t>(packet[5] + 8);
      }
      return packet;
    };
    for (const std::uint8_t type : {0, 43, 60}) {
      const auto info =
          ParsePacket(with_extensions(4, type), Direction::kToService);
      CPPUNIT_ASSERT(info && info->key.service == kService6);
      ASSERT_DROPPED(DropReason::kBadHeader, with_extensions(5, type));
    }
    ASSERT_DROPPED(DropReason::kFragment, with_extensions(1, 44));
    Bytes routed = with_extensions(1, 43);
    routed[43] = 1;
    ASSERT_DROPPED(DropReason::kBadHeader, routed);
  }

  void FindsTheFlowOfIcmpErrors() {
    const Endpoint router = *Endpoint::Parse("10.9.9.9:0");
    const Endpoint router6 = *Endpoint::Parse("[2001:db8::9]:0");
    const Bytes answer = WriteTcpPacket(kService, kCaller, TcpFields{});
    const Bytes answer6 = WriteUdpPacket(kService6, kCaller6, Bytes(90));
    const auto info = ParsePacket(
        WritePortUnreachable(router.address, kService.address, answer),
        Direction::kToService);
    CPPUNIT_ASSERT(info && info->kind == PacketKind::kIcmpError);
    CPPUNIT_ASSERT(info->key.caller == kCaller &&
                   info->key.service == kService);
    const auto info6 = ParsePacket(
        WritePortUnreachable(router6.address, kService6.address, answer6),
        Direction::kToService);
    CPPUNIT_ASSERT(info6 && info6->key.protocol == Protocol::kUdp);
    CPPUNIT_ASSERT(info6->key.caller == kCaller6);
    // The error must be addressed to the source of the quoted packet.
    ASSERT_DROPPED(
        DropReason::kBadHeader,
        WritePortUnreachable(router.address, kCaller.address, answer));
    Bytes echo = WritePortUnreachable(router.address, kService.address, answer);
    echo[20] = 8;
    ASSERT_DROPPED(DropReason::kUnknownProtocol, echo);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacketTest);

}  // namespace
}  // namespace sardinelead
