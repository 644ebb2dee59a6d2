#include "packet_loop.h"

#include <sys/socket.h>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/post.hpp>
#include <asio/socket_base.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "asio_endpoint.h"
#include "clock.h"

namespace sardinelead {
namespace {

using ReusePort =
    asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

// Batches that a thread receives from one port before it serves the others.
constexpr int kMaxBatchesPerWakeup = 4;

}  // namespace

// The sockets, buffers and event loop of one thread.
class PacketLoop::Worker : public PacketSender {
 public:
  Worker(std::size_t thread_index, const PacketLoopSettings& settings,
         const PacketHandler* handler)
      : m_thread_index(thread_index),
        m_settings(settings),
        m_handler(handler) {}

  Result<void> Open(const std::array<Endpoint, kIngressCount>& listen) {
    for (std::size_t i = 0; i < kIngressCount; ++i) {
      auto opened = OpenPort(listen[i]);
      if (!opened) return tl::unexpected(std::move(opened.error()));
      m_ports.push_back(std::move(*opened));
    }
    asio::error_code ignored;
    m_send_v4.open(asio::ip::udp::v4(), ignored);
    m_send_v6.open(asio::ip::udp::v6(), ignored);
    const asio::socket_base::send_buffer_size size(
        m_settings.socket_buffer_bytes);
    if (m_send_v4.is_open()) m_send_v4.set_option(size, ignored);
    if (m_send_v6.is_open()) m_send_v6.set_option(size, ignored);
    return {};
  }

  void Run() {
    for (std::size_t i = 0; i < kIngressCount; ++i) WaitReadable(i);
    m_context.run();
  }

  void Stop() { m_context.stop(); }

  Endpoint Bound(std::size_t port) const {
    return FromAsio(m_ports[port].local_endpoint());
  }

  void Send(const Endpoint& to, ByteView head, ByteView body) override {
    const bool is_v4 = to.address.IsV4();
    SendBatch& batch = is_v4 ? m_batch_v4 : m_batch_v6;
    if (batch.IsFull()) Flush(&batch, is_v4 ? &m_send_v4 : &m_send_v6);
    batch.Add(to, head, body);
  }

  void AddCounts(PacketLoopCounts* sum) const {
    for (std::size_t i = 0; i < kIngressCount; ++i) {
      sum->received[i] += m_received[i].load(std::memory_order_relaxed);
    }
    sum->cut += m_cut.load(std::memory_order_relaxed);
    sum->send.sent += m_sent.load(std::memory_order_relaxed);
    sum->send.failed += m_failed.load(std::memory_order_relaxed);
  }

 private:
  using Socket = asio::ip::udp::socket;

  Result<Socket> OpenPort(const Endpoint& listen) {
    asio::error_code error;
    const asio::ip::udp::endpoint address = ToAsioUdp(listen);
    Socket socket(m_context);
    const asio::socket_base::receive_buffer_size size(
        m_settings.socket_buffer_bytes);
    if (!socket.open(address.protocol(), error) &&
        !socket.set_option(ReusePort(true), error) &&
        !socket.set_option(size, error) && !socket.non_blocking(true, error) &&
        !socket.bind(address, error)) {
      return socket;
    }
    return Fail(ErrorCode::kIo, "address " + listen.ToString() +
                                    " cannot be bound: " + error.message());
  }

  void WaitReadable(std::size_t port) {
    m_ports[port].async_wait(Socket::wait_read,
                             [this, port](const asio::error_code& error) {
                               if (error) return;
                               ReceiveBatches(port);
                               WaitReadable(port);
                             });
  }

  void ReceiveBatches(std::size_t port) {
    for (int batch = 0; batch < kMaxBatchesPerWakeup; ++batch) {
      const std::size_t count =
          m_receive.Receive(m_ports[port].native_handle());
      if (count > 0) Handle(port, count);
      if (count < kBatchSize) return;
    }
  }

  void Handle(std::size_t port, std::size_t count) {
    const TimePoint now = SteadyNow();
    for (std::size_t i = 0; i < count; ++i) {
      if (m_receive.is_cut(i)) m_cut.fetch_add(1, std::memory_order_relaxed);
    }
    (*m_handler)(m_thread_index, static_cast<Ingress>(port), m_receive, count,
                 now, this);
    m_received[port].fetch_add(count, std::memory_order_relaxed);
    Flush(&m_batch_v4, &m_send_v4);
    Flush(&m_batch_v6, &m_send_v6);
  }

  void Flush(SendBatch* batch, Socket* socket) {
    if (batch->empty()) return;
    SendCounts counts;
    batch->Flush(socket->native_handle(), &counts);
    m_sent.fetch_add(counts.sent, std::memory_order_relaxed);
    m_failed.fetch_add(counts.failed, std::memory_order_relaxed);
  }

  const std::size_t m_thread_index;
  const PacketLoopSettings& m_settings;
  const PacketHandler* m_handler;
  asio::io_context m_context{1};
  std::vector<Socket> m_ports;
  Socket m_send_v4{m_context};
  Socket m_send_v6{m_context};
  ReceiveBatch m_receive;
  SendBatch m_batch_v4;
  SendBatch m_batch_v6;
  std::array<std::atomic<std::uint64_t>, kIngressCount> m_received{};
  std::atomic<std::uint64_t> m_cut{0};
  std::atomic<std::uint64_t> m_sent{0};
  std::atomic<std::uint64_t> m_failed{0};
};

PacketLoop::PacketLoop(const PacketLoopSettings& settings,
                       PacketHandler handler)
    : m_settings(settings), m_handler(std::move(handler)) {}

PacketLoop::~PacketLoop() { Stop(); }

Result<void> PacketLoop::Start() {
  std::array<Endpoint, kIngressCount> listen = m_settings.listen;
  for (std::size_t i = 0; i < m_settings.threads; ++i) {
    auto worker = std::make_unique<Worker>(i, m_settings, &m_handler);
    auto opened = worker->Open(listen);
    if (!opened) return opened;
    for (std::size_t port = 0; port < kIngressCount; ++port) {
      listen[port] = worker->Bound(port);
    }
    m_workers.push_back(std::move(worker));
  }
  for (const auto& worker : m_workers) {
    m_threads.emplace_back([&worker = *worker] { worker.Run(); });
  }
  return {};
}

void PacketLoop::Stop() {
  for (const auto& worker : m_workers) worker->Stop();
  for (std::thread& thread : m_threads) thread.join();
  m_threads.clear();
}

PacketLoopCounts PacketLoop::Counts() const {
  PacketLoopCounts sum;
  for (const auto& worker : m_workers) worker->AddCounts(&sum);
  return sum;
}

Endpoint PacketLoop::bound(Ingress ingress) const {
  return m_workers.front()->Bound(static_cast<std::size_t>(ingress));
}

}  // namespace sardinelead
