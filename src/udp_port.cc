#include "udp_port.h"

#include <utility>

#include "asio_endpoint.h"

namespace sardinelead {
namespace {

// Batches received per wakeup before other handlers of the context may run.
constexpr int kMaxBatchesPerWakeup = 4;

}  // namespace

UdpPort::UdpPort(asio::io_context* context, Hooks hooks)
    : m_socket(*context), m_hooks(std::move(hooks)) {}

Result<Endpoint> UdpPort::Open(const Endpoint& listen) {
  asio::error_code error;
  const asio::ip::udp::endpoint endpoint = ToAsioUdp(listen);
  m_socket.open(endpoint.protocol(), error);
  if (!error) m_socket.bind(endpoint, error);
  if (!error) m_socket.non_blocking(true, error);
  if (error) {
    return Fail(ErrorCode::kIo, "cannot receive on " + listen.ToString() +
                                    ": " + error.message());
  }
  Endpoint bound = listen;
  bound.port = m_socket.local_endpoint(error).port();
  WaitReadable();
  return bound;
}

void UdpPort::Close() {
  asio::error_code ignored;
  m_socket.close(ignored);
}

void UdpPort::WaitReadable() {
  m_socket.async_wait(asio::ip::udp::socket::wait_read,
                      [this](asio::error_code error) {
                        if (error) return;
                        Receive();
                        WaitReadable();
                      });
}

void UdpPort::Receive() {
  for (int batch = 0; batch < kMaxBatchesPerWakeup; ++batch) {
    const std::size_t count = m_received->Receive(m_socket.native_handle());
    for (std::size_t i = 0; i < count; ++i) {
      if (m_received->is_cut(i)) continue;
      m_hooks.on_datagram(m_received->packet(i), m_received->source(i));
    }
    if (count > 0) m_hooks.on_batch_end();
    Flush();
    if (count < kBatchSize) return;
  }
}

void UdpPort::Send(const Endpoint& to, ByteView head, ByteView body) {
  if (m_queued->IsFull()) Flush();
  m_queued->Add(to, head, body);
}

void UdpPort::Flush() {
  if (!m_queued->empty()) m_queued->Flush(m_socket.native_handle(), &m_counts);
}

}  // namespace sardinelead
