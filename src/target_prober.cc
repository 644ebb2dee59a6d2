#include "target_prober.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "asio_endpoint.h"

namespace sardinelead {

struct TargetProber::Connection {
  explicit Connection(asio::io_context* context)
      : socket(*context), timer(*context) {}

  asio::ip::tcp::socket socket;
  asio::steady_timer timer;
};

TargetProber::TargetProber(asio::io_context* context, Duration deadline,
                           OnResult on_result)
    : m_context(context),
      m_deadline(deadline),
      m_on_result(std::move(on_result)) {}

void TargetProber::Start(const Probe& probe) {
  if (m_running >= kMaxProbes) return m_on_result(probe.target, true);
  ++m_running;
  auto connection = std::make_shared<Connection>(m_context);
  const asio::ip::udp::endpoint address = ToAsioUdp(probe.check);
  connection->timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(m_deadline));
  connection->timer.async_wait([connection](const asio::error_code& error) {
    if (error) return;
    asio::error_code ignored;
    connection->socket.close(ignored);
  });
  connection->socket.async_connect(
      {address.address(), address.port()},
      [this, connection, target = probe.target](const asio::error_code& error) {
        --m_running;
        connection->timer.cancel();
        asio::error_code ignored;
        connection->socket.close(ignored);
        m_on_result(target, !error);
      });
}

}  // namespace sardinelead
