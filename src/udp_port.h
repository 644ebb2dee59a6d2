#ifndef SARDINELEAD_SRC_UDP_PORT_H_
#define SARDINELEAD_SRC_UDP_PORT_H_

// A UDP socket on an Asio context that receives and sends datagrams in batches.
//
// Reports how far it has read: a process that stalls finds datagrams that have
// waited, and what it concludes from their times must allow for that; see
// sardinelead/read_progress.h.

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
    // A read that began at `read_at` found the socket empty. All datagrams
    // before have been handled, and what was sent for them had been passed to
    // the kernel by `sent_at`. May be empty.
    std::function<void(TimePoint read_at, TimePoint sent_at)> on_drained = {};
    // The kernel dropped received datagrams or rejected sent ones. Called
    // before the hooks above for datagrams that were received after it. May be
    // empty.
    std::function<void()> on_dropped = {};
  };

  UdpPort(asio::io_context* context, Hooks hooks);

  // Returns the bound endpoint. Error: kIo if it cannot be bound.
  Result<Endpoint> Open(const Endpoint& listen);
  void Close();

  // Queues a datagram. Copies `head`, which must not exceed
  // SendBatch::kHeadBytes; `body` must remain valid until the next Flush().
  void Send(const Endpoint& to, ByteView head, ByteView body);
  void Flush();
  // Handles the datagrams that have arrived, without waiting for others. Must
  // not be called from a hook.
  void Poll() { Receive(); }

  // Received datagrams that the kernel dropped because they were not read in
  // time.
  std::uint64_t overflowed() const { return m_overflowed; }   // NOLINT
  const SendCounts& send_counts() const { return m_counts; }  // NOLINT

 private:
  void WaitReadable();
  void Receive();
  void NoticeOverflows();

  asio::ip::udp::socket m_socket;
  Hooks m_hooks;
  std::unique_ptr<ReceiveBatch> m_received = std::make_unique<ReceiveBatch>();
  std::unique_ptr<SendBatch> m_queued = std::make_unique<SendBatch>();
  SendCounts m_counts;
  std::uint64_t m_overflowed = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_UDP_PORT_H_
