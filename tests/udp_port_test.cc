#include "udp_port.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "asio_endpoint.h"
#include "clock.h"

namespace sardinelead {
namespace {

// Exceeds the receive buffer of a socket.
constexpr int kOverflowDatagrams = 20'000;

class UdpPortTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(UdpPortTest);
  CPPUNIT_TEST(ReportsWhenEverythingWasRead);
  CPPUNIT_TEST(ReportsOverflowBeforeLaterDatagrams);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    const auto bound = m_port.Open(*Endpoint::Parse("127.0.0.1:0"));
    CPPUNIT_ASSERT(bound.has_value());
    m_address = *bound;
    m_port.Poll();
    m_drained = 0;
  }

  // More datagrams than one batch: the report comes once, after all of them.
  void ReportsWhenEverythingWasRead() {
    for (std::size_t i = 0; i < kBatchSize + 5; ++i) SendDatagram(1);
    const TimePoint before = SteadyNow();
    m_port.Poll();
    CPPUNIT_ASSERT_EQUAL(kBatchSize + 5, m_received);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_drained);
    CPPUNIT_ASSERT_EQUAL(kBatchSize + 5, m_received_when_drained);
    CPPUNIT_ASSERT(before <= m_read_at && m_read_at <= m_sent_at);
    CPPUNIT_ASSERT(m_sent_at <= SteadyNow());
    m_port.Poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_drained);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_dropped);
  }

  // Guards against conclusions from datagrams that this process lost itself.
  void ReportsOverflowBeforeLaterDatagrams() {
    for (int i = 0; i < kOverflowDatagrams; ++i) SendDatagram(1000);
    while (m_drained == 0) m_port.Poll();
    CPPUNIT_ASSERT(m_received < kOverflowDatagrams);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_dropped);
    SendDatagram(1);
    m_port.Poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dropped);
    CPPUNIT_ASSERT_EQUAL(m_received - 1, m_received_when_dropped);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{kOverflowDatagrams + 1},
                         m_received + m_port.overflowed());
  }

 private:
  void SendDatagram(std::size_t size) {
    static const std::array<char, 1000> kBytes{};
    m_sender.send_to(asio::buffer(kBytes.data(), size), ToAsioUdp(m_address));
  }

  asio::io_context m_context;
  asio::ip::udp::socket m_sender{m_context,
                                 ToAsioUdp(*Endpoint::Parse("127.0.0.1:0"))};
  std::size_t m_received = 0;
  std::size_t m_drained = 0;
  std::size_t m_dropped = 0;
  std::size_t m_received_when_drained = 0;
  std::size_t m_received_when_dropped = 0;
  TimePoint m_read_at;
  TimePoint m_sent_at;
  Endpoint m_address;
  UdpPort m_port{&m_context,
                 {[this](ByteView, const Endpoint&) { ++m_received; }, [] {},
                  [this](TimePoint read_at, TimePoint sent_at) {
                    ++m_drained;
                    m_received_when_drained = m_received;
                    m_read_at = read_at;
                    m_sent_at = sent_at;
                  },
                  [this] {
                    ++m_dropped;
                    m_received_when_dropped = m_received;
                  }}};
};

CPPUNIT_TEST_SUITE_REGISTRATION(UdpPortTest);

}  // namespace
}  // namespace sardinelead
