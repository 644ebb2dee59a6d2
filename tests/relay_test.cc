#include "sardinelead/relay.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinelead {
namespace {

class RelayTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(RoundTripsHeaderAndPacket);
  CPPUNIT_TEST(RejectsOtherKeysAndChangedBytes);
  CPPUNIT_TEST_SUITE_END();

 public:
  void RoundTripsHeaderAndPacket() {
    RelayCodec codec(RelayKey{1});
    // Runs twice to check that the hash state is reset between packets.
    for (int i = 0; i < 2; ++i) {
      const Bytes sealed = Sealed(&codec);
      const auto relayed = codec.Read(sealed);
      CPPUNIT_ASSERT(relayed.has_value());
      const RelayHeader& header = relayed->header;
      CPPUNIT_ASSERT(header.sender == m_header.sender);
      CPPUNIT_ASSERT(header.direction == m_header.direction);
      CPPUNIT_ASSERT(header.hops == 2 && header.sender_rank == 1);
      CPPUNIT_ASSERT(header.step == m_header.step &&
                     header.has_incomplete_holder);
      CPPUNIT_ASSERT_EQUAL(m_header.view, header.view);
      CPPUNIT_ASSERT(header.queried_holders == 5 &&
                     header.target == m_header.target);
      CPPUNIT_ASSERT(Bytes(relayed->packet.begin(), relayed->packet.end()) ==
                     m_packet);
    }
  }

  void RejectsOtherKeysAndChangedBytes() {
    RelayCodec codec(RelayKey{1});
    RelayCodec stranger(RelayKey{2});
    CPPUNIT_ASSERT(stranger.Read(Sealed(&codec)).error() ==
                   DropReason::kUnauthenticated);
    const Bytes sealed = Sealed(&codec);
    for (std::size_t i = 0; i < kRelayHeaderBytes + 64; ++i) {
      Bytes changed = sealed;
      changed[i] ^= 1;
      CPPUNIT_ASSERT(codec.Read(changed).error() ==
                     DropReason::kUnauthenticated);
    }
    for (std::size_t size = 0; size <= kRelayHeaderBytes; ++size) {
      CPPUNIT_ASSERT(codec.Read(ByteView(sealed.data(), size)).error() ==
                     DropReason::kTruncated);
    }
  }

 private:
  static RelayHeader MakeHeader() {
    RelayHeader header;
    header.sender = NodeId{7};
    header.direction = Direction::kToCaller;
    header.hops = 2;
    header.target = TargetId{99};
    header.sender_rank = 1;
    header.queried_holders = 5;
    header.step = RelayStep::kRecordFound;
    header.has_incomplete_holder = true;
    header.view = 77;
    return header;
  }

  Bytes Sealed(RelayCodec* codec) const {
    const RelayHeaderBytes header = codec->Write(m_header, m_packet);
    Bytes datagram(header.begin(), header.end());
    datagram.insert(datagram.end(), m_packet.begin(), m_packet.end());
    return datagram;
  }

  const Bytes m_packet = Bytes(100, 0x45);
  const RelayHeader m_header = MakeHeader();
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

}  // namespace
}  // namespace sardinelead
