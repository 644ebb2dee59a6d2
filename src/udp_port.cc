#include "udp_port.h"

#include <utility>

#include "asio_endpoint.h"

namespace sardinelead {
namespace {

// Batches taken before other work of the context has its turn.
constexpr int kBatchesAtOnce = 4;

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
  Wait();
  return bound;
}

void UdpPort::Close() {
  asio::error_code ignored;
  m_socket.close(ignored);
}

void UdpPort::Wait() {
  m_socket.async_wait(asio::ip::udp::socket::wait_read,
                      [this](asio::error_code error) {
                        if (error) return;
                        Receive();
                        Wait();
                      });
}

void UdpPort::Receive() {
  for (int batch = 0; batch < kBatchesAtOnce; ++batch) {
    const std::size_t count = m_in->Receive(m_socket.native_handle());
    for (std::size_t i = 0; i < count; ++i) {
      if (m_in->is_cut(i)) continue;
      m_hooks.on_datagram(m_in->packet(i), m_in->source(i));
    }
    if (count > 0) m_hooks.on_batch_end();
    Flush();
    if (count < kBatchSize) return;
  }
}

void UdpPort::Send(const Endpoint& to, ByteView head, ByteView body) {
  if (m_out->IsFull()) Flush();
  m_out->Add(to, head, body);
}

void UdpPort::Flush() {
  if (!m_out->empty()) m_out->Flush(m_socket.native_handle(), &m_counts);
}

}  // namespace sardinelead
