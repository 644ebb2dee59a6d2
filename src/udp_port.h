#ifndef SARDINELEAD_SRC_UDP_PORT_H_
#define SARDINELEAD_SRC_UDP_PORT_H_

// One UDP socket on an Asio context: datagrams come and go in batches.

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <functional>
#include <memory>

#include "sardinelead/error.h"
#include "sardinelead/types.h"
#include "udp_batch.h"

namespace sardinelead {

class UdpPort {
 public:
  struct Hooks {
    // The view is valid until the hook returns or, for what it passes to
    // Send(), until on_batch_end() has returned.
    std::function<void(ByteView datagram, const Endpoint& source)> on_datagram;
    // After the datagrams that came together. What was sent goes out after it.
    std::function<void()> on_batch_end;
  };

  UdpPort(asio::io_context* context, Hooks hooks);

  // kIo where the endpoint cannot be bound.
  Result<Endpoint> Open(const Endpoint& listen);
  void Close();

  // `head` is copied, at most SendBatch::kHeadBytes of it; `body` must stay
  // until the next Flush().
  void Send(const Endpoint& to, ByteView head, ByteView body);
  void Flush();

 private:
  void Wait();
  void Receive();

  asio::ip::udp::socket m_socket;
  Hooks m_hooks;
  std::unique_ptr<ReceiveBatch> m_in = std::make_unique<ReceiveBatch>();
  std::unique_ptr<SendBatch> m_out = std::make_unique<SendBatch>();
  SendCounts m_counts;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_UDP_PORT_H_
