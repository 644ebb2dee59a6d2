#include "packet_loop.h"

#include <cppunit/extensions/HelperMacros.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <chrono>
#include <set>
#include <thread>

#include "asio_endpoint.h"

namespace sardinelead {
namespace {

const Endpoint kLoopback = *Endpoint::Parse("127.0.0.1:0");

class ConcurrentPacketLoopTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ConcurrentPacketLoopTest);
  CPPUNIT_TEST(ForwardsAndCountsEveryPacket);
  CPPUNIT_TEST(NamesTheAddressThatCannotBeBound);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ForwardsAndCountsEveryPacket() {
    constexpr std::uint64_t kPackets = 200;
    asio::io_context context;
    asio::ip::udp::socket socket(context, ToAsioUdp(kLoopback));
    const Endpoint sender = FromAsio(socket.local_endpoint());
    PacketLoopSettings settings;
    settings.listen.fill(kLoopback);
    settings.threads = 3;
    PacketLoop loop(
        settings,
        [&sender](std::size_t, Ingress ingress, const ReceiveBatch& packets,
                  std::size_t count, TimePoint, PacketSender* out) {
          const auto port = static_cast<std::uint8_t>(ingress);
          for (std::size_t i = 0; i < count; ++i) {
            if (packets.source(i) != sender) continue;
            out->Send(sender, ByteView(&port, 1), packets.packet(i));
          }
        });
    CPPUNIT_ASSERT(loop.Start().has_value());
    std::set<std::pair<int, int>> seen;
    for (const Ingress ingress :
         {Ingress::kFabric, Ingress::kRelay, Ingress::kAnswer}) {
      for (std::uint8_t i = 0; i < kPackets; ++i) {
        socket.send_to(asio::buffer(&i, 1), ToAsioUdp(loop.bound(ingress)));
      }
      for (std::uint64_t i = 0; i < kPackets; ++i) {
        std::array<std::uint8_t, 16> bytes{};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                             socket.receive(asio::buffer(bytes)));
        seen.emplace(bytes[0], bytes[1]);
      }
    }
    CPPUNIT_ASSERT_EQUAL(3 * kPackets, std::uint64_t{seen.size()});
    loop.Stop();
    const PacketLoopCounts counts = loop.Counts();
    for (const std::uint64_t received : counts.received) {
      CPPUNIT_ASSERT_EQUAL(kPackets, received);
    }
    CPPUNIT_ASSERT_EQUAL(3 * kPackets, counts.send.sent);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.send.failed);
  }

  void NamesTheAddressThatCannotBeBound() {
    PacketLoopSettings settings;
    settings.listen.fill(kLoopback);
    settings.listen[1] = *Endpoint::Parse("192.0.2.1:9");
    PacketLoop loop(settings, {});
    const auto started = loop.Start();
    CPPUNIT_ASSERT(!started && started.error().code == ErrorCode::kIo);
    CPPUNIT_ASSERT(started.error().message.find("192.0.2.1:9") !=
                   std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConcurrentPacketLoopTest);

}  // namespace
}  // namespace sardinelead
