#include "udp_port.h"

#include <utility>

#include "asio_endpoint.h"
#include "clock.h"

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
  m_received->CountOverflows(m_socket.native_handle());
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
    const TimePoint read_at = SteadyNow();
    const std::size_t count = m_received->Receive(m_socket.native_handle());
    NoticeOverflows();
    for (std::size_t i = 0; i < count; ++i) {
      if (m_received->is_cut(i)) continue;
      m_hooks.on_datagram(m_received->packet(i), m_received->source(i));
    }
    if (count > 0) m_hooks.on_batch_end();
    Flush();
    if (count == kBatchSize) continue;
    if (m_hooks.on_drained) m_hooks.on_drained(read_at, SteadyNow());
    return;
  }
}

void UdpPort::NoticeOverflows() {
  // Unsigned subtraction allows for the counter's wrap-around.
  const std::uint32_t added =
      m_received->overflowed() - static_cast<std::uint32_t>(m_overflowed);
  if (added == 0) return;
  m_overflowed += added;
  if (m_hooks.on_dropped) m_hooks.on_dropped();
}

void UdpPort::Send(const Endpoint& to, ByteView head, ByteView body) {
  if (m_queued->IsFull()) Flush();
  m_queued->Add(to, head, body);
}

void UdpPort::Flush() {
  if (m_queued->empty()) return;
  const std::uint64_t failed = m_counts.failed;
  m_queued->Flush(m_socket.native_handle(), &m_counts);
  if (m_counts.failed != failed && m_hooks.on_dropped) m_hooks.on_dropped();
}

}  // namespace sardinelead
