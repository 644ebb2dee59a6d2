#include "relay.h"

#include <array>
#include <asio.hpp>
#include <atomic>
#include <utility>

namespace sardinelead::soak {
namespace {

asio::ip::udp::endpoint UdpEndpoint(std::uint32_t node, std::uint16_t port) {
  return {asio::ip::address_v4(node), port};
}

asio::ip::tcp::endpoint TcpEndpoint(const Endpoint& endpoint) {
  return {asio::ip::address_v4(endpoint.address.ToV4()), endpoint.port};
}

}  // namespace

struct PeerRelay::Node {
  Node(asio::io_context* context, std::uint32_t id_in, std::uint16_t port)
      : id(id_in), socket(*context, UdpEndpoint(id_in, port)) {}

  std::uint32_t id;
  asio::ip::udp::socket socket;
  asio::ip::udp::endpoint source;
  std::array<std::uint8_t, 2048> buffer{};
};

PeerRelay::PeerRelay(asio::io_context* context, std::uint16_t port,
                     std::uint64_t seed)
    : m_context(context), m_port(port), m_random(seed) {}
PeerRelay::~PeerRelay() = default;

void PeerRelay::Add(std::uint32_t node) {
  auto added = std::make_unique<Node>(m_context, node, m_port);
  Wait(added.get());
  m_nodes[node] = std::move(added);
}

void PeerRelay::SetFault(std::uint32_t from, std::uint32_t to,
                         const LinkFault& fault) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_faults[{from, to}] = fault;
}

void PeerRelay::Clear() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_faults.clear();
}

void PeerRelay::Wait(Node* node) {
  node->socket.async_receive_from(
      asio::buffer(node->buffer), node->source,
      [this, node](asio::error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        if (!error) {
          OnDatagram(
              node->id, node->source.address().to_v4().to_uint(),
              Bytes(node->buffer.begin(),
                    node->buffer.begin() + static_cast<std::ptrdiff_t>(size)));
        }
        Wait(node);
      });
}

void PeerRelay::OnDatagram(std::uint32_t to, std::uint32_t from,
                           const Bytes& datagram) {
  LinkFault fault;
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_faults.find({from, to});
    if (found != m_faults.end()) fault = found->second;
  }
  const double draw = static_cast<double>(m_random() % 10'000) / 10'000;
  if (fault.is_cut || draw < fault.loss) return;
  if (fault.delay == Duration{0}) return Forward(from, to, datagram);
  const auto delay = Duration(static_cast<Duration::rep>(
      m_random() % static_cast<std::uint64_t>(fault.delay.count())));
  auto timer = std::make_shared<asio::steady_timer>(*m_context, delay);
  timer->async_wait([this, timer, from, to, datagram](asio::error_code error) {
    if (!error) Forward(from, to, datagram);
  });
}

// Sends from the sender's relay socket, so that replies pass through the relay.
void PeerRelay::Forward(std::uint32_t from, std::uint32_t to,
                        const Bytes& datagram) {
  const auto sender = m_nodes.find(from);
  if (sender == m_nodes.end()) return;
  asio::error_code ignored;
  sender->second->socket.send_to(
      asio::buffer(datagram),
      UdpEndpoint(to, static_cast<std::uint16_t>(m_port + 1)), 0, ignored);
}

struct CallRelay::Impl : std::enable_shared_from_this<CallRelay::Impl> {
  struct Pair {
    explicit Pair(asio::io_context* context)
        : caller(*context), server(*context) {}
    asio::ip::tcp::socket caller;
    asio::ip::tcp::socket server;
    std::array<char, 16384> up{};
    std::array<char, 16384> down{};
    std::uint64_t epoch = 0;  // Stalls if older than the relay's.
  };
  using PairPtr = std::shared_ptr<Pair>;

  Impl(asio::io_context* context_in, const Endpoint& listen,
       const Endpoint& target_in)
      : context(context_in),
        acceptor(*context_in, TcpEndpoint(listen)),
        target(TcpEndpoint(target_in)) {}

  void Accept() {
    auto pair = std::make_shared<Pair>(context);
    acceptor.async_accept(pair->caller, [self = shared_from_this(),
                                         pair](asio::error_code error) {
      if (error == asio::error::operation_aborted) return;
      if (!error && self->fault != CallFault::kRefuse) self->Connect(pair);
      self->Accept();
    });
  }

  void Connect(const PairPtr& pair) {
    pair->epoch = silenced.load();
    pairs.insert(pair);
    pair->server.async_connect(
        target, [self = shared_from_this(), pair](asio::error_code error) {
          if (error) return self->Close(pair);
          self->Pump(pair, true);
          self->Pump(pair, false);
        });
  }

  void Pump(const PairPtr& pair, bool is_up) {
    auto& from = is_up ? pair->caller : pair->server;
    auto& buffer = is_up ? pair->up : pair->down;
    from.async_read_some(
        asio::buffer(buffer), [self = shared_from_this(), pair, is_up](
                                  asio::error_code error, std::size_t size) {
          if (error) return self->Close(pair);
          const bool is_dropped = pair->epoch < self->silenced ||
                                  (!is_up && self->fault == CallFault::kOneWay);
          if (is_dropped) return self->Pump(pair, is_up);
          auto& to = is_up ? pair->server : pair->caller;
          const auto& sent = is_up ? pair->up : pair->down;
          asio::async_write(
              to, asio::buffer(sent.data(), size),
              [self, pair, is_up](asio::error_code failed, std::size_t) {
                if (failed) return self->Close(pair);
                self->Pump(pair, is_up);
              });
        });
  }

  void Close(const PairPtr& pair) {
    asio::error_code ignored;
    pair->caller.close(ignored);
    pair->server.close(ignored);
    pairs.erase(pair);
  }

  asio::io_context* context;
  asio::ip::tcp::acceptor acceptor;
  asio::ip::tcp::endpoint target;
  std::atomic<CallFault> fault{CallFault::kNone};
  std::atomic<std::uint64_t> silenced{0};
  std::set<PairPtr> pairs;
};

CallRelay::CallRelay(asio::io_context* context, const Endpoint& listen,
                     const Endpoint& target)
    : m_impl(std::make_shared<Impl>(context, listen, target)) {
  m_impl->Accept();
}
CallRelay::~CallRelay() {
  asio::error_code ignored;
  m_impl->acceptor.close(ignored);
}

void CallRelay::SetFault(CallFault fault) {
  if (fault == CallFault::kSilence) {
    ++m_impl->silenced;
  } else {
    m_impl->fault = fault;
  }
}

void CallRelay::ResetAll() {
  asio::post(*m_impl->context, [impl = m_impl] {
    const auto pairs = impl->pairs;
    for (const auto& pair : pairs) {
      asio::error_code ignored;
      pair->caller.set_option(asio::socket_base::linger(true, 0), ignored);
      pair->server.set_option(asio::socket_base::linger(true, 0), ignored);
      impl->Close(pair);
    }
  });
}

}  // namespace sardinelead::soak
