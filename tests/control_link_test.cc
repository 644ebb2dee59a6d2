#include "sardinelead/control_link.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <asio.hpp>
#include <atomic>
#include <mutex>
#include <string>
#include <thread>

#include "link_session.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;

Bytes ToBytes(const std::string& text) { return {text.begin(), text.end()}; }
const Bytes kKey = ToBytes("a shared key of the tests");

// Two sessions that have exchanged hellos.
struct SessionPair {
  explicit SessionPair(const Bytes& other_key = kKey)
      : a(LinkRole::kConnector, NodeId{1}, NodeId{2}, kKey, Nonce{1}),
        b(LinkRole::kAcceptor, NodeId{2}, NodeId{}, other_key, Nonce{2}) {
    CPPUNIT_ASSERT(a.OnFrame(b.Hello()).has_value());
    CPPUNIT_ASSERT(b.OnFrame(a.Hello()).has_value());
  }
  void Establish() {
    CPPUNIT_ASSERT(a.OnFrame(b.Proof()).has_value());
    CPPUNIT_ASSERT(b.OnFrame(a.Proof()).has_value());
  }
  LinkSession a;
  LinkSession b;
};

class LinkSessionTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LinkSessionTest);
  CPPUNIT_TEST(CarriesMessages);
  CPPUNIT_TEST(RejectsPeersWithoutTheKey);
  CPPUNIT_TEST(RefusesAlteredFrames);
  CPPUNIT_TEST(RefusesRepeatedAndReflectedFrames);
  CPPUNIT_TEST(RefusesMalformedHellos);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CarriesMessages() {
    SessionPair pair;
    pair.Establish();
    for (const char* text : {"one", "two", ""}) {
      const Bytes frame = pair.a.Seal(MessageKind::kTargets, ToBytes(text));
      const LinkEvent event = pair.b.OnFrame(frame).value();
      CPPUNIT_ASSERT(event.message == MessageKind::kTargets);
      CPPUNIT_ASSERT(Bytes(event.body.begin(), event.body.end()) ==
                     ToBytes(text));
    }
    CPPUNIT_ASSERT(pair.a.OnFrame(pair.b.SealHeartbeat()).value().kind ==
                   LinkEventKind::kNothing);
  }

  void RejectsPeersWithoutTheKey() {
    SessionPair pair(ToBytes("another key, of a stranger"));
    CPPUNIT_ASSERT(pair.a.OnFrame(pair.b.Proof()).error().code ==
                   ErrorCode::kNotAllowed);
    CPPUNIT_ASSERT(pair.b.OnFrame(pair.a.Proof()).error().code ==
                   ErrorCode::kNotAllowed);
    // A reflected proof must not authenticate the sender.
    CPPUNIT_ASSERT(!pair.a.OnFrame(pair.a.Proof()).has_value());
    LinkSession other(LinkRole::kAcceptor, NodeId{3}, {}, kKey, Nonce{3});
    LinkSession connector(LinkRole::kConnector, NodeId{1}, NodeId{2}, kKey, {});
    CPPUNIT_ASSERT(connector.OnFrame(other.Hello()).error().code ==
                   ErrorCode::kNotAllowed);
  }

  void RefusesAlteredFrames() {
    for (std::size_t bit = 0; bit < 8 * (1 + 3 + kMacBytes); ++bit) {
      SessionPair pair;
      pair.Establish();
      Bytes frame = pair.a.Seal(MessageKind::kTargets, ToBytes("abc"));
      frame[bit / 8] ^= static_cast<std::uint8_t>(1 << (bit % 8));
      CPPUNIT_ASSERT(!pair.b.OnFrame(frame).has_value());
    }
  }

  void RefusesRepeatedAndReflectedFrames() {
    SessionPair pair;
    pair.Establish();
    const Bytes frame = pair.a.Seal(MessageKind::kTargets, ToBytes("x"));
    CPPUNIT_ASSERT(!pair.a.OnFrame(frame).has_value());
    CPPUNIT_ASSERT(pair.b.OnFrame(frame).has_value());
    CPPUNIT_ASSERT(!pair.b.OnFrame(frame).has_value());
  }

  void RefusesMalformedHellos() {
    const Bytes hello =
        LinkSession(LinkRole::kAcceptor, NodeId{2}, {}, kKey, {}).Hello();
    for (std::size_t size = 0; size < hello.size(); ++size) {
      LinkSession session(LinkRole::kConnector, NodeId{1}, {}, kKey, {});
      const Bytes cut(hello.begin(), hello.begin() + size);
      CPPUNIT_ASSERT(session.OnFrame(cut).error().code ==
                     ErrorCode::kMalformed);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LinkSessionTest);

// A TCP proxy that can stall its open connections: it then discards all data
// without closing them, as a broken network path does.
class StallingProxy {
 public:
  explicit StallingProxy(std::uint16_t port) : m_port(port) {
    Accept();
    m_thread = std::thread([this] { m_context.run(); });
  }
  ~StallingProxy() {
    m_context.stop();
    m_thread.join();
  }
  Endpoint address() const {  // NOLINT
    return {IpAddress::FromV4(0x7f000001), m_acceptor.local_endpoint().port()};
  }
  void SetBackendPort(std::uint16_t port) { m_port = port; }
  // Stalls the currently open connections; later ones work.
  void StallOpenConnections() { ++m_generation; }

 private:
  using Socket = asio::ip::tcp::socket;
  using SocketPtr = std::shared_ptr<Socket>;

  void Accept() {
    const auto in = std::make_shared<Socket>(m_context);
    m_acceptor.async_accept(*in, [this, in](asio::error_code error) {
      if (error) return;
      const auto out = std::make_shared<Socket>(m_context);
      asio::error_code ignored;
      out->connect({asio::ip::address_v4::loopback(), m_port}, ignored);
      Forward(in, out, m_generation);
      Forward(out, in, m_generation);
      Accept();
    });
  }

  void Forward(const SocketPtr& from, const SocketPtr& to, int generation) {
    const auto buffer = std::make_shared<std::array<char, 4096>>();
    from->async_read_some(
        asio::buffer(*buffer), [=](asio::error_code error, std::size_t n) {
          asio::error_code ignored;
          const bool is_stalled = generation != m_generation;
          if (error && !is_stalled) to->close(ignored);
          if (error) return;
          if (!is_stalled) {
            asio::write(*to, asio::buffer(buffer->data(), n), ignored);
          }
          Forward(from, to, generation);
        });
  }

  std::atomic<std::uint16_t> m_port;
  asio::io_context m_context;
  asio::ip::tcp::acceptor m_acceptor{m_context,
                                     {asio::ip::address_v4::loopback(), 0}};
  std::atomic<int> m_generation{0};
  std::thread m_thread;
};

// A node that records the messages it receives.
class Node {
 public:
  Node(std::uint32_t id, std::vector<LinkPeer> dial, const Bytes& key = kKey)
      : m_links(Settings(id, std::move(dial), key),
                {[this](NodeId, MessageKind, ByteView body) {
                   const std::lock_guard<std::mutex> lock(m_mutex);
                   m_received.emplace_back(body.begin(), body.end());
                 },
                 {}}) {
    m_address = m_links.Start().value();
  }
  ~Node() { m_links.Stop(); }
  std::size_t received() const {  // NOLINT
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_received.size();
  }
  std::string Message(std::size_t index) const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_received[index];
  }
  ControlLinks& links() { return m_links; }              // NOLINT
  const Endpoint& address() const { return m_address; }  // NOLINT
  LinkPeer Peer(std::uint32_t id) const { return {NodeId{id}, m_address}; }

 private:
  static ControlLinkSettings Settings(std::uint32_t id,
                                      std::vector<LinkPeer> dial,
                                      const Bytes& key) {
    ControlLinkSettings settings;
    settings.self = NodeId{id};
    settings.listen = *Endpoint::Parse("127.0.0.1:0");
    settings.dial = std::move(dial);
    settings.shared_key = key;
    settings.heartbeat_interval = milliseconds(100);
    settings.silence_deadline = milliseconds(600);
    settings.handshake_deadline = milliseconds(600);
    settings.back_off_base = milliseconds(20);
    settings.back_off_cap = milliseconds(200);
    settings.max_message_bytes = 1 << 20;
    return settings;
  }

  mutable std::mutex m_mutex;
  std::vector<std::string> m_received;
  Endpoint m_address;
  ControlLinks m_links;
};

// Waits up to 10 s for `condition` and returns whether it held.
template <typename Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 1000; ++i) {
    if (condition()) return true;
    std::this_thread::sleep_for(milliseconds(10));
  }
  return false;
}

class ControlLinkConcurrentTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ControlLinkConcurrentTest);
  CPPUNIT_TEST(CarriesMessagesBothWays);
  CPPUNIT_TEST(RejectsPeersWithoutTheKey);
  CPPUNIT_TEST(DropsOversizedMessagesOnly);
  CPPUNIT_TEST(ReplacesSilentLinks);
  CPPUNIT_TEST(DialsAgainAfterARestart);
  CPPUNIT_TEST_SUITE_END();

 public:
  void CarriesMessagesBothWays() {
    Node b(2, {});
    Node a(1, {b.Peer(2)});
    CPPUNIT_ASSERT(Eventually([&] { return AreLinked(&a, &b); }));
    a.links().Send(NodeId{2}, MessageKind::kAgreement, ToBytes("to b"));
    b.links().Send(NodeId{1}, MessageKind::kAgreement, ToBytes("to a"));
    CPPUNIT_ASSERT(
        Eventually([&] { return a.received() + b.received() == 2; }));
    CPPUNIT_ASSERT_EQUAL(std::string("to b"), b.Message(0));
    CPPUNIT_ASSERT_EQUAL(std::string("to a"), a.Message(0));
  }

  void RejectsPeersWithoutTheKey() {
    Node b(2, {});
    Node unauthorized(1, {b.Peer(2)}, ToBytes("not the key of the others"));
    CPPUNIT_ASSERT(
        Eventually([&] { return b.links().Counters().links_refused >= 2; }));
    CPPUNIT_ASSERT(unauthorized.links().Peers().empty());
    CPPUNIT_ASSERT(b.links().Peers().empty());
  }

  void DropsOversizedMessagesOnly() {
    Node b(2, {});
    Node a(1, {b.Peer(2)});
    CPPUNIT_ASSERT(Eventually([&] { return AreLinked(&a, &b); }));
    a.links().Send(NodeId{2}, MessageKind::kAgreement, Bytes((1 << 20) + 1));
    a.links().Send(NodeId{2}, MessageKind::kAgreement, Bytes(1 << 20));
    CPPUNIT_ASSERT(Eventually([&] { return b.received() == 1; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1 << 20}, b.Message(0).size());
    CPPUNIT_ASSERT(a.links().Counters().messages_dropped == 1);
  }

  void ReplacesSilentLinks() {
    Node b(2, {});
    StallingProxy proxy(b.address().port);
    Node a(1, {{NodeId{2}, proxy.address()}});
    CPPUNIT_ASSERT(Eventually([&] { return AreLinked(&a, &b); }));
    proxy.StallOpenConnections();
    CPPUNIT_ASSERT(Eventually([&] {
      a.links().Send(NodeId{2}, MessageKind::kAgreement, ToBytes("again"));
      return b.received() > 0;
    }));
    CPPUNIT_ASSERT(a.links().Counters().links_timed_out >= 1);
    CPPUNIT_ASSERT(a.links().Counters().dials >= 2);
  }

  void DialsAgainAfterARestart() {
    auto b = std::make_unique<Node>(2, std::vector<LinkPeer>{});
    StallingProxy proxy(b->address().port);
    Node a(1, {{NodeId{2}, proxy.address()}});
    CPPUNIT_ASSERT(Eventually([&] { return !a.links().Peers().empty(); }));
    b.reset();
    CPPUNIT_ASSERT(Eventually([&] { return a.links().Peers().empty(); }));
    CPPUNIT_ASSERT(
        Eventually([&] { return a.links().Counters().dials_failed >= 2; }));
    b = std::make_unique<Node>(2, std::vector<LinkPeer>{});
    proxy.SetBackendPort(b->address().port);
    CPPUNIT_ASSERT(Eventually([&] { return AreLinked(&a, b.get()); }));
  }

 private:
  static bool AreLinked(Node* a, Node* b) {
    return !a->links().Peers().empty() && !b->links().Peers().empty();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ControlLinkConcurrentTest);

}  // namespace
}  // namespace sardinelead
