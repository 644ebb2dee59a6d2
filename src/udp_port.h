#ifndef SARDINELEAD_SRC_UDP_PORT_H_
#define SARDINELEAD_SRC_UDP_PORT_H_

// A UDP socket on an Asio context that receives and sends datagrams in batches.

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
    // `datagram` is valid until the hook returns. Parts of it that the hook
    // passes to Send() remain valid until on_batch_end() has returned.
    std::function<void(ByteView datagram, const Endpoint& source)> on_datagram;
    // Called after all datagrams of a batch. Queued sends are flushed after it.
    std::function<void()> on_batch_end;
  };

  UdpPort(asio::io_context* context, Hooks hooks);

  // Returns the bound endpoint. Error: kIo if it cannot be bound.
  Result<Endpoint> Open(const Endpoint& listen);
  void Close();

  // Queues a datagram. Copies `head`, which must not exceed
  // SendBatch::kHeadBytes; `body` must remain valid until the next Flush().
  void Send(const Endpoint& to, ByteView head, ByteView body);
  void Flush();

 private:
  void WaitReadable();
  void Receive();

  asio::ip::udp::socket m_socket;
  Hooks m_hooks;
  std::unique_ptr<ReceiveBatch> m_received = std::make_unique<ReceiveBatch>();
  std::unique_ptr<SendBatch> m_queued = std::make_unique<SendBatch>();
  SendCounts m_counts;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_UDP_PORT_H_
