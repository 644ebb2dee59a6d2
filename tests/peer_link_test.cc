#include "peer_link.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinelead {
namespace {

const Endpoint kA = *Endpoint::Parse("127.0.0.1:1");
const Endpoint kB = *Endpoint::Parse("127.0.0.1:2");

PeerLink MakeLink(std::uint32_t self, std::uint64_t incarnation,
                  std::uint8_t key = 1) {
  PeerLinkSettings settings;
  settings.self = NodeId{self};
  settings.incarnation = Incarnation{incarnation};
  settings.key[0] = key;
  if (self == 1) settings.addresses[NodeId{2}] = kB;
  return PeerLink(settings);
}

OutgoingMessage ToB(Bytes body) {
  return OutgoingMessage{NodeId{2}, MessageKind::kTargets, std::move(body)};
}

class PeerLinkTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PeerLinkTest);
  CPPUNIT_TEST(CarriesMessagesAfterAHello);
  CPPUNIT_TEST(TakesEachDatagramOnce);
  CPPUNIT_TEST(SplitsLongBodies);
  CPPUNIT_TEST(RejectsWrongKeysAndOtherReceivers);
  CPPUNIT_TEST(RejectsDatagramsToAnEarlierIncarnation);
  CPPUNIT_TEST(RejectsDatagramsFromAnEarlierIncarnation);
  CPPUNIT_TEST(AdvancesIncarnationAfterClockStepsBack);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CarriesMessagesAfterAHello() {
    ExchangeHellos();
    const auto datagrams = m_a.Send(ToB({1, 2, 3}), m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, datagrams.size());
    CPPUNIT_ASSERT_EQUAL(3 + kLinkOverheadBytes, datagrams[0].bytes.size());
    const DatagramResult input = m_b.OnDatagram(datagrams[0].bytes, kA, m_now);
    CPPUNIT_ASSERT(input.message && input.message->from == NodeId{1});
    CPPUNIT_ASSERT(input.message->kind == MessageKind::kTargets);
    CPPUNIT_ASSERT(input.message->body == Bytes({1, 2, 3}));
    // B has no configured address for A and has learned it from the datagram.
    CPPUNIT_ASSERT(
        m_b.Send({NodeId{1}, MessageKind::kTargets, {4}}, m_now)[0].to == kA);
  }

  void TakesEachDatagramOnce() {
    ExchangeHellos();
    std::vector<Bytes> sent(1100);
    for (Bytes& datagram : sent) {
      datagram = m_a.Send(ToB({1}), m_now)[0].bytes;
    }
    // Deliver out of order, so that the oldest fall out of the replay window,
    // and then deliver each once more.
    for (std::size_t i = sent.size(); i > 0; --i) {
      const DatagramResult input = m_b.OnDatagram(sent[i - 1], kA, m_now);
      const bool in_window = sent.size() - i < 1024;
      CPPUNIT_ASSERT_EQUAL(in_window, input.message.has_value());
    }
    for (const Bytes& datagram : sent) {
      const DatagramResult input = m_b.OnDatagram(datagram, kA, m_now);
      CPPUNIT_ASSERT(input.refusal == DatagramRejection::kReplayed);
    }
  }

  void SplitsLongBodies() {
    ExchangeHellos();
    Bytes body(kMaxLinkBodyBytes);
    for (std::size_t i = 0; i < body.size(); ++i) {
      body[i] = static_cast<std::uint8_t>(i * 7 / 5);
    }
    auto datagrams = m_a.Send(ToB(body), m_now);
    CPPUNIT_ASSERT(datagrams.size() > 50);
    std::swap(datagrams.front(), datagrams.back());
    for (std::size_t i = 0; i < datagrams.size(); ++i) {
      const DatagramResult input =
          m_b.OnDatagram(datagrams[i].bytes, kA, m_now);
      CPPUNIT_ASSERT(!input.refusal);
      CPPUNIT_ASSERT_EQUAL(i + 1 == datagrams.size(),
                           input.message.has_value());
      if (input.message) CPPUNIT_ASSERT(input.message->body == body);
    }
    CPPUNIT_ASSERT(m_a.Send(ToB(Bytes(kMaxLinkBodyBytes + 1)), m_now).empty());
  }

  void RejectsWrongKeysAndOtherReceivers() {
    ExchangeHellos();
    const Bytes good = m_a.Send(ToB({1}), m_now)[0].bytes;
    PeerLink other_key_link = MakeLink(2, 20, 9);
    CPPUNIT_ASSERT(other_key_link.OnDatagram(good, kA, m_now).refusal ==
                   DatagramRejection::kUnauthenticated);
    for (std::size_t i = 0; i < good.size(); ++i) {
      Bytes changed = good;
      changed[i] ^= 1;
      CPPUNIT_ASSERT(m_b.OnDatagram(changed, kA, m_now).refusal ==
                     DatagramRejection::kUnauthenticated);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{good.size()},
                         m_b.refused(DatagramRejection::kUnauthenticated));
    PeerLink other = MakeLink(3, 20);
    CPPUNIT_ASSERT(other.OnDatagram(good, kA, m_now).refusal ==
                   DatagramRejection::kWrongReceiver);
    CPPUNIT_ASSERT(
        m_b.OnDatagram(ByteView(good.data(), 43), kA, m_now).refusal ==
        DatagramRejection::kMalformed);
  }

  void RejectsDatagramsToAnEarlierIncarnation() {
    ExchangeHellos();
    const Bytes recorded = m_a.Send(ToB({1}), m_now)[0].bytes;
    m_b = MakeLink(2, 21);
    m_now += std::chrono::seconds(1);
    const DatagramResult input = m_b.OnDatagram(recorded, kA, m_now);
    CPPUNIT_ASSERT(input.refusal == DatagramRejection::kOtherIncarnation);
    CPPUNIT_ASSERT(!input.message && input.reply);
    // The reply gives A the new incarnation, and its next datagram is accepted.
    m_a.OnDatagram(input.reply->bytes, kB, m_now);
    const Bytes next = m_a.Send(ToB({2}), m_now)[0].bytes;
    CPPUNIT_ASSERT(m_b.OnDatagram(next, kA, m_now).message.has_value());
  }

  // Datagrams of an earlier incarnation of A are rejected once B knows the new
  // one.
  void RejectsDatagramsFromAnEarlierIncarnation() {
    ExchangeHellos();
    const Bytes stale = m_a.Send(ToB({3}), m_now)[0].bytes;
    m_a = MakeLink(1, 11);
    m_now += std::chrono::seconds(1);
    ExchangeHellos();
    CPPUNIT_ASSERT(m_b.OnDatagram(stale, kA, m_now).refusal ==
                   DatagramRejection::kOtherIncarnation);
  }

  // A's clock stepped back while A was down, so its new incarnation is lower
  // than the one that B knows. B must still accept its messages.
  void AdvancesIncarnationAfterClockStepsBack() {
    ExchangeHellos();
    m_a = MakeLink(1, 7);
    m_now += std::chrono::seconds(1);
    const auto hello = m_a.Send(ToB({}), m_now);
    const DatagramResult refused = m_b.OnDatagram(hello[0].bytes, kA, m_now);
    CPPUNIT_ASSERT(refused.refusal == DatagramRejection::kOtherIncarnation);
    CPPUNIT_ASSERT(refused.reply.has_value());
    const DatagramResult told = m_a.OnDatagram(refused.reply->bytes, kB, m_now);
    CPPUNIT_ASSERT(Incarnation{10} < m_a.incarnation());
    CPPUNIT_ASSERT(told.reply.has_value());
    const DatagramResult accepted =
        m_b.OnDatagram(told.reply->bytes, kA, m_now);
    CPPUNIT_ASSERT(!accepted.refusal);
    const Bytes next = m_a.Send(ToB({2}), m_now)[0].bytes;
    CPPUNIT_ASSERT(m_b.OnDatagram(next, kA, m_now).message.has_value());
  }

 private:
  // A's first message is replaced by a hello, to which B replies with its own.
  void ExchangeHellos() {
    const auto hello = m_a.Send(ToB({}), m_now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, hello.size());
    const DatagramResult first = m_b.OnDatagram(hello[0].bytes, kA, m_now);
    CPPUNIT_ASSERT(!first.message && !first.refusal && first.reply);
    const DatagramResult second = m_a.OnDatagram(first.reply->bytes, kB, m_now);
    CPPUNIT_ASSERT(!second.message && !second.refusal);
  }

  TimePoint m_now{std::chrono::seconds(1)};
  PeerLink m_a = MakeLink(1, 10);
  PeerLink m_b = MakeLink(2, 20);
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerLinkTest);

}  // namespace
}  // namespace sardinelead
