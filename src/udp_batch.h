#ifndef SARDINELEAD_SRC_UDP_BATCH_H_
#define SARDINELEAD_SRC_UDP_BATCH_H_

// Receives and sends UDP datagrams in batches, one system call per batch. Works
// on native socket handles that the caller owns.

#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

constexpr std::size_t kBatchSize = 64;
// The longest datagram accepted: the size of a jumbo frame.
constexpr std::size_t kMaxDatagramBytes = 9216;

// A socket address of either family, in the kernel's representation.
union SocketAddress {
  sockaddr any;
  sockaddr_in v4;
  sockaddr_in6 v6;
};
// Returns the size of the address written.
socklen_t WriteSocketAddress(const Endpoint& endpoint, SocketAddress* out);
Endpoint ReadSocketAddress(const SocketAddress& address);

// The datagrams received by one recvmmsg call.
class ReceiveBatch {
 public:
  ReceiveBatch();
  ReceiveBatch(const ReceiveBatch&) = delete;
  ReceiveBatch& operator=(const ReceiveBatch&) = delete;

  // Makes the kernel report datagrams that it drops because the socket's
  // receive buffer is full. Must be called before Receive(). Without support in
  // the kernel, overflowed() remains 0.
  void CountOverflows(int handle);
  // Fills the batch without blocking. Returns the number of datagrams received,
  // or 0 if none is pending or the socket failed.
  std::size_t Receive(int handle);
  // Datagrams dropped by the kernel since the socket was opened, as of the last
  // datagram received. Wraps around.
  std::uint32_t overflowed() const { return m_overflowed; }  // NOLINT

  // Valid until the next Receive. Requires i < the result of Receive.
  ByteView packet(std::size_t i) const {  // NOLINT
    return ByteView(m_buffers.data() + i * kMaxDatagramBytes,
                    m_headers[i].msg_len);
  }
  // Whether the datagram was longer than kMaxDatagramBytes and its tail was
  // discarded.
  bool is_cut(std::size_t i) const {  // NOLINT
    return (m_headers[i].msg_hdr.msg_flags & MSG_TRUNC) != 0;
  }
  Endpoint source(std::size_t i) const {  // NOLINT
    return ReadSocketAddress(m_sources[i]);
  }

 private:
  static constexpr std::size_t kControlBytes =
      CMSG_SPACE(sizeof(std::uint32_t));
  struct alignas(cmsghdr) Control {
    std::array<std::uint8_t, kControlBytes> bytes{};
  };

  void ReadOverflows(const msghdr& header);

  std::vector<std::uint8_t> m_buffers;
  std::vector<Control> m_controls;  // Empty if overflows are not counted.
  std::uint32_t m_overflowed = 0;
  std::array<SocketAddress, kBatchSize> m_sources{};
  std::array<iovec, kBatchSize> m_iovecs{};
  std::array<mmsghdr, kBatchSize> m_headers{};
};

struct SendCounts {
  std::uint64_t sent = 0;
  std::uint64_t failed = 0;  // Rejected by the kernel.
};

// Datagrams queued for sending through one socket.
class SendBatch {
 public:
  // Enough for a relay header or for a complete reset packet.
  static constexpr std::size_t kHeadBytes = 160;

  SendBatch() = default;
  SendBatch(const SendBatch&) = delete;
  SendBatch& operator=(const SendBatch&) = delete;

  bool IsFull() const { return m_size == kBatchSize; }
  bool empty() const { return m_size == 0; }
  // Queues a datagram. Copies `head`, which must not exceed kHeadBytes; `body`
  // must remain valid until Flush. Requires !IsFull().
  void Add(const Endpoint& to, ByteView head, ByteView body);
  // Sends all queued datagrams. Those that the kernel rejects are counted and
  // dropped, as a congested link would drop them.
  void Flush(int handle, SendCounts* counts);

 private:
  struct Slot {
    std::array<std::uint8_t, kHeadBytes> head;
    std::array<iovec, 2> iovecs;
    SocketAddress to;
  };

  std::size_t m_size = 0;
  std::array<Slot, kBatchSize> m_slots{};
  std::array<mmsghdr, kBatchSize> m_headers{};
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_UDP_BATCH_H_
