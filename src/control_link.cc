#include "sardinelead/control_link.h"

#include <openssl/rand.h>

#include <algorithm>
#include <asio.hpp>
#include <atomic>
#include <cassert>
#include <fstream>
#include <map>
#include <mutex>
#include <random>
#include <thread>
#include <utility>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include "link_session.h"

// The only translation unit that includes WebSocket++. All links of a process
// are confined to one I/O thread, so their state needs no lock; Send() posts
// messages to that thread.

namespace sardinelead {
namespace {

using Clock = std::chrono::steady_clock;
using WsServer = websocketpp::server<websocketpp::config::asio>;
using WsClient = websocketpp::client<websocketpp::config::asio_client>;

constexpr std::size_t kMaxHandshakeBytes = 256;
constexpr auto kTick = std::chrono::milliseconds(50);
constexpr int kMaxBackOffDoublings = 16;

Nonce MakeNonce() {
  Nonce nonce{};
  const int done = RAND_bytes(nonce.data(), static_cast<int>(nonce.size()));
  assert(done == 1);
  (void)done;
  return nonce;
}

// A connection, inbound or outbound.
struct Link {
  LinkSession session;
  Clock::time_point opened;
  Clock::time_point last_received;
  Clock::time_point last_sent;
  std::size_t dial = 0;  // Index into the dialled peers, if `dialled`.
  bool dialled = false;
  bool is_open = false;
  bool is_closed = false;
  std::function<bool(const Bytes&)> write;
  std::function<std::size_t()> queued_bytes;
  std::function<void(std::size_t)> set_max_bytes;
  std::function<void()> terminate;
};
using LinkPtr = std::shared_ptr<Link>;

// A peer to which this node maintains a link.
struct Dial {
  LinkPeer peer;
  bool in_progress = false;
  int failures = 0;
  Clock::time_point next{};
};

// WebSocket++ detects the byte order on first use and caches it without
// synchronization. Triggering the detection before any I/O thread starts avoids
// a data race.
void InitByteOrderDetection() {
  static const std::uint64_t kInitialized = websocketpp::lib::net::_htonll(0);
  (void)kInitialized;
}

asio::ip::tcp::endpoint ToAsio(const Endpoint& endpoint) {
  asio::error_code ignored;
  return {asio::ip::make_address(endpoint.address.ToString(), ignored),
          endpoint.port};
}

}  // namespace

Result<Bytes> LoadSharedKey(const std::string& path) {
  std::ifstream file(path);
  std::string line;
  if (!std::getline(file, line)) {
    return Fail(ErrorCode::kIo, "cannot read the shared key", path);
  }
  if (line.size() < kMinSharedKeyBytes) {
    return Fail(ErrorCode::kOutOfRange,
                "a shared key needs at least " +
                    std::to_string(kMinSharedKeyBytes) + " bytes",
                path);
  }
  return Bytes(line.begin(), line.end());
}

class ControlLinks::Impl {
 public:
  Impl(const ControlLinkSettings& settings, ControlLinkHooks hooks)
      : m_settings(settings), m_hooks(std::move(hooks)) {
    assert(settings.shared_key.size() >= kMinSharedKeyBytes);
    InitByteOrderDetection();
    for (const LinkPeer& peer : settings.dial) {
      if (peer.id != settings.self) m_dials.push_back({peer, false, 0, {}});
    }
  }

  Result<Endpoint> Start() {
    PrepareClient();
    Endpoint bound = m_settings.listen;
    if (!(bound == Endpoint{})) {
      auto listening = Listen();
      if (!listening) return listening;
      bound = *listening;
    }
    OnTick();
    m_thread = std::thread([this] { m_context.run(); });
    return bound;
  }

  void Stop() {
    if (!m_thread.joinable()) return;
    asio::post(m_context, [this] {
      m_stopping = true;
      const std::vector<LinkPtr> links = m_links;
      for (const LinkPtr& link : links) Close(link);
      m_context.stop();
    });
    m_thread.join();
  }

  void Send(NodeId to, MessageKind kind, Bytes body) {
    const std::size_t size = body.size();
    // Limits the bytes posted but not yet queued on a link; the link queues
    // have a limit of their own.
    if (m_posted_bytes.fetch_add(size) + size > m_settings.max_queue_bytes) {
      m_posted_bytes -= size;
      Count([](LinkCounters& c) { ++c.messages_dropped; });
      return;
    }
    asio::post(m_context, [this, to, kind, size, body = std::move(body)] {
      m_posted_bytes -= size;
      SendOnIoThread(to, kind, body);
    });
  }

  std::vector<NodeId> Peers() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_peers;
  }

  LinkCounters Counters() const {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_counters;
  }

 private:
  template <typename Change>
  void Count(Change change) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    change(m_counters);
  }

  template <typename WsEndpoint>
  void Prepare(WsEndpoint* endpoint) {
    endpoint->clear_access_channels(websocketpp::log::alevel::all);
    endpoint->clear_error_channels(websocketpp::log::elevel::all);
    endpoint->init_asio(&m_context);
    endpoint->set_tcp_post_init_handler(
        [endpoint](const websocketpp::connection_hdl& handle) {
          websocketpp::lib::error_code code;
          const auto connection = endpoint->get_con_from_hdl(handle, code);
          if (code) return;
          asio::error_code ignored;
          connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true),
                                                  ignored);
        });
  }

  void PrepareClient() { Prepare(&m_client); }

  Result<Endpoint> Listen() {
    Prepare(&m_server);
    m_server.set_reuse_addr(true);
    m_server.set_validate_handler([this](const websocketpp::connection_hdl&) {
      return m_links.size() < m_settings.max_links;
    });
    m_server.set_open_handler([this](
                                  const websocketpp::connection_hdl& handle) {
      const auto connection = m_server.get_con_from_hdl(handle);
      const LinkPtr link = Attach(connection, LinkRole::kAcceptor, NodeId{});
      OnOpen(link);
    });
    websocketpp::lib::error_code code;
    m_server.listen(ToAsio(m_settings.listen), code);
    if (!code) m_server.start_accept(code);
    if (code) {
      return Fail(ErrorCode::kIo, "cannot listen on " +
                                      m_settings.listen.ToString() + ": " +
                                      code.message());
    }
    Endpoint bound = m_settings.listen;
    asio::error_code ignored;
    bound.port = m_server.get_local_endpoint(ignored).port();
    return bound;
  }

  // Creates the link of a connection and installs the connection's handlers.
  // The link holds only a weak reference to the connection, which avoids a
  // reference cycle.
  template <typename Connection>
  LinkPtr Attach(const std::shared_ptr<Connection>& connection, LinkRole role,
                 NodeId expected) {
    auto link = std::make_shared<Link>(
        Link{LinkSession(role, m_settings.self, expected, m_settings.shared_key,
                         MakeNonce()),
             Clock::now(),
             Clock::now(),
             Clock::now(),
             0,
             false,
             false,
             false,
             {},
             {},
             {},
             {}});
    const std::weak_ptr<Connection> weak = connection;
    link->write = [weak](const Bytes& frame) {
      const auto strong = weak.lock();
      return strong != nullptr &&
             !strong->send(frame.data(), frame.size(),
                           websocketpp::frame::opcode::binary);
    };
    link->queued_bytes = [weak] {
      const auto strong = weak.lock();
      return strong == nullptr ? 0 : strong->get_buffered_amount();
    };
    link->set_max_bytes = [weak](std::size_t size) {
      const auto strong = weak.lock();
      if (strong != nullptr) strong->set_max_message_size(size);
    };
    link->terminate = [weak] {
      const auto strong = weak.lock();
      if (strong != nullptr) strong->terminate({});
    };
    connection->set_max_message_size(kMaxHandshakeBytes);
    connection->set_message_handler(
        [this, link](const websocketpp::connection_hdl&, const auto& message) {
          const std::string& payload = message->get_payload();
          OnFrame(link, {reinterpret_cast<const std::uint8_t*>(payload.data()),
                         payload.size()});
        });
    connection->set_close_handler(
        [this, link](const websocketpp::connection_hdl&) { Close(link); });
    connection->set_fail_handler(
        [this, link](const websocketpp::connection_hdl&) { Close(link); });
    m_links.push_back(link);
    return link;
  }

  void StartDial(std::size_t index) {
    Dial& dial = m_dials[index];
    dial.in_progress = true;
    Count([](LinkCounters& c) { ++c.dials; });
    websocketpp::lib::error_code code;
    const auto connection = m_client.get_connection(
        "ws://" + dial.peer.address.ToString() + "/v1/link", code);
    assert(!code);
    const LinkPtr link = Attach(connection, LinkRole::kConnector, dial.peer.id);
    link->dial = index;
    link->dialled = true;
    connection->set_open_handler(
        [this, link](const websocketpp::connection_hdl&) { OnOpen(link); });
    m_client.connect(connection);
  }

  void OnOpen(const LinkPtr& link) {
    if (link->is_closed) return link->terminate();
    link->is_open = true;
    Write(link, link->session.Hello());
  }

  void OnFrame(const LinkPtr& link, ByteView frame) {
    if (link->is_closed) return;
    Count([&](LinkCounters& c) { c.bytes_received += frame.size; });
    const auto event = link->session.OnFrame(frame);
    if (!event) {
      Count([](LinkCounters& c) { ++c.links_refused; });
      return Close(link);
    }
    link->last_received = Clock::now();
    switch (event->kind) {
      case LinkEventKind::kNothing:
        return;
      case LinkEventKind::kHello:
        return Write(link, link->session.Proof());
      case LinkEventKind::kEstablished:
        return OnEstablished(link);
      case LinkEventKind::kMessage:
        Count([](LinkCounters& c) { ++c.messages_received; });
        m_hooks.on_message(link->session.peer(), event->message, event->body);
        return;
    }
  }

  void OnEstablished(const LinkPtr& link) {
    link->set_max_bytes(m_settings.max_message_bytes + 1 + kMacBytes);
    if (link->dialled) m_dials[link->dial].failures = 0;
    std::vector<LinkPtr>& links = m_established[link->session.peer()];
    links.push_back(link);
    if (links.size() == 1) NotifyLinkChange(link->session.peer(), true);
  }

  void NotifyLinkChange(NodeId peer, bool up) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_peers.erase(std::remove(m_peers.begin(), m_peers.end(), peer),
                    m_peers.end());
      if (up) m_peers.push_back(peer);
    }
    if (m_hooks.on_link && !m_stopping) m_hooks.on_link(peer, up);
  }

  void SendOnIoThread(NodeId to, MessageKind kind, const Bytes& body) {
    const auto found = m_established.find(to);
    const LinkPtr link =
        found == m_established.end() ? nullptr : found->second.back();
    const bool fits = body.size() <= m_settings.max_message_bytes;
    if (link == nullptr || !fits ||
        link->queued_bytes() + body.size() > m_settings.max_queue_bytes) {
      Count([](LinkCounters& c) { ++c.messages_dropped; });
      return;
    }
    Count([](LinkCounters& c) { ++c.messages_sent; });
    Write(link, link->session.Seal(kind, body));
  }

  void Write(const LinkPtr& link, const Bytes& frame) {
    link->last_sent = Clock::now();
    Count([&](LinkCounters& c) { c.bytes_sent += frame.size(); });
    if (!link->write(frame)) Close(link);
  }

  // Removes the link immediately, without waiting for a closing handshake.
  void Close(const LinkPtr& link) {
    if (link->is_closed) return;
    link->is_closed = true;
    m_links.erase(std::remove(m_links.begin(), m_links.end(), link),
                  m_links.end());
    if (link->is_open) link->terminate();
    if (link->dialled) BackOff(&m_dials[link->dial], *link);
    const auto found = m_established.find(link->session.peer());
    if (found == m_established.end()) return;
    std::vector<LinkPtr>& links = found->second;
    links.erase(std::remove(links.begin(), links.end(), link), links.end());
    if (!links.empty()) return;
    m_established.erase(found);
    NotifyLinkChange(link->session.peer(), false);
  }

  void BackOff(Dial* dial, const Link& link) {
    dial->in_progress = false;
    if (!link.session.established()) {
      Count([](LinkCounters& c) { ++c.dials_failed; });
    }
    const int doublings = std::min(dial->failures++, kMaxBackOffDoublings);
    const Duration max_delay = std::min<Duration>(
        m_settings.back_off_base * (1LL << doublings), m_settings.back_off_cap);
    std::uniform_int_distribution<Duration::rep> jitter(max_delay.count() / 2,
                                                        max_delay.count());
    dial->next = Clock::now() + Duration(jitter(m_random));
  }

  void OnTick() {
    const auto now = Clock::now();
    const std::vector<LinkPtr> links = m_links;
    for (const LinkPtr& link : links) CheckDeadlines(link, now);
    for (std::size_t i = 0; i < m_dials.size(); ++i) {
      if (!m_dials[i].in_progress && m_dials[i].next <= now) StartDial(i);
    }
    m_timer.expires_after(kTick);
    m_timer.async_wait([this](asio::error_code error) {
      if (!error && !m_stopping) OnTick();
    });
  }

  void CheckDeadlines(const LinkPtr& link, Clock::time_point now) {
    const bool established = link->session.established();
    const bool timed_out =
        established ? now - link->last_received > m_settings.silence_deadline
                    : now - link->opened > m_settings.handshake_deadline;
    if (timed_out) {
      Count([](LinkCounters& c) { ++c.links_timed_out; });
      return Close(link);
    }
    if (established && now - link->last_sent > m_settings.heartbeat_interval) {
      Write(link, link->session.SealHeartbeat());
    }
  }

  const ControlLinkSettings m_settings;
  const ControlLinkHooks m_hooks;
  asio::io_context m_context;
  asio::steady_timer m_timer{m_context};
  WsServer m_server;
  WsClient m_client;
  std::minstd_rand m_random{std::random_device{}()};
  std::vector<Dial> m_dials;
  std::vector<LinkPtr> m_links;
  std::map<NodeId, std::vector<LinkPtr>> m_established;
  bool m_stopping = false;
  std::atomic<std::size_t> m_posted_bytes{0};
  mutable std::mutex m_mutex;
  std::vector<NodeId> m_peers;  // Guarded by m_mutex.
  LinkCounters m_counters;      // Guarded by m_mutex.
  std::thread m_thread;
};

ControlLinks::ControlLinks(const ControlLinkSettings& settings,
                           ControlLinkHooks hooks)
    : m_impl(std::make_unique<Impl>(settings, std::move(hooks))) {}
ControlLinks::~ControlLinks() { Stop(); }
Result<Endpoint> ControlLinks::Start() { return m_impl->Start(); }
void ControlLinks::Stop() { m_impl->Stop(); }

void ControlLinks::Send(NodeId to, MessageKind kind, Bytes body) {
  m_impl->Send(to, kind, std::move(body));
}

void ControlLinks::Send(Outbox outbox) {
  for (OutgoingMessage& message : outbox) {
    m_impl->Send(message.to, message.kind, std::move(message.body));
  }
}

std::vector<NodeId> ControlLinks::Peers() const { return m_impl->Peers(); }
LinkCounters ControlLinks::Counters() const { return m_impl->Counters(); }

}  // namespace sardinelead
