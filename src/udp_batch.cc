#include "udp_batch.h"

#include <algorithm>
#include <cassert>
#include <cstring>

namespace sardinelead {

socklen_t WriteSocketAddress(const Endpoint& endpoint, SocketAddress* out) {
  const std::uint8_t* bytes = endpoint.address.bytes.data();
  if (endpoint.address.IsV4()) {
    out->v4 = sockaddr_in{};
    out->v4.sin_family = AF_INET;
    out->v4.sin_port = htons(endpoint.port);
    std::memcpy(&out->v4.sin_addr, bytes + 12, sizeof(in_addr));
    return sizeof(sockaddr_in);
  }
  out->v6 = sockaddr_in6{};
  out->v6.sin6_family = AF_INET6;
  out->v6.sin6_port = htons(endpoint.port);
  std::memcpy(&out->v6.sin6_addr, bytes, sizeof(in6_addr));
  return sizeof(sockaddr_in6);
}

Endpoint ReadSocketAddress(const SocketAddress& address) {
  if (address.any.sa_family == AF_INET) {
    return Endpoint{IpAddress::FromV4(ntohl(address.v4.sin_addr.s_addr)),
                    ntohs(address.v4.sin_port)};
  }
  Endpoint endpoint;
  endpoint.port = ntohs(address.v6.sin6_port);
  std::memcpy(endpoint.address.bytes.data(), &address.v6.sin6_addr,
              sizeof(in6_addr));
  return endpoint;
}

ReceiveBatch::ReceiveBatch() : m_buffers(kBatchSize * kMaxDatagramBytes) {
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    m_iovecs[i].iov_base = m_buffers.data() + i * kMaxDatagramBytes;
    m_iovecs[i].iov_len = kMaxDatagramBytes;
    m_headers[i].msg_hdr.msg_iov = &m_iovecs[i];
    m_headers[i].msg_hdr.msg_iovlen = 1;
    m_headers[i].msg_hdr.msg_name = &m_sources[i];
  }
}

void ReceiveBatch::CountOverflows(int handle) {
  const int enabled = 1;
  const int result =
      setsockopt(handle, SOL_SOCKET, SO_RXQ_OVFL, &enabled, sizeof(enabled));
  if (result != 0) return;
  m_controls.resize(kBatchSize);
  for (std::size_t i = 0; i < kBatchSize; ++i) {
    m_headers[i].msg_hdr.msg_control = m_controls[i].bytes.data();
  }
}

std::size_t ReceiveBatch::Receive(int handle) {
  for (mmsghdr& header : m_headers) {
    header.msg_hdr.msg_namelen = sizeof(SocketAddress);
    header.msg_hdr.msg_controllen = m_controls.empty() ? 0 : kControlBytes;
  }
  const int received =
      recvmmsg(handle, m_headers.data(), kBatchSize, MSG_DONTWAIT, nullptr);
  if (received <= 0) return 0;
  const auto count = static_cast<std::size_t>(received);
  ReadOverflows(m_headers[count - 1].msg_hdr);
  return count;
}

// The count of the last datagram includes those of the ones before it. A
// datagram that arrived before the first overflow has none.
void ReceiveBatch::ReadOverflows(const msghdr& header) {
  if (m_controls.empty()) return;
  const cmsghdr* control = CMSG_FIRSTHDR(&header);
  const bool has_count = control != nullptr &&
                         control->cmsg_level == SOL_SOCKET &&
                         control->cmsg_type == SO_RXQ_OVFL &&
                         control->cmsg_len == CMSG_LEN(sizeof(m_overflowed));
  if (!has_count) return;
  std::memcpy(&m_overflowed, CMSG_DATA(control), sizeof(m_overflowed));
}

void SendBatch::Add(const Endpoint& to, ByteView head, ByteView body) {
  assert(!IsFull() && head.size <= kHeadBytes);
  Slot& slot = m_slots[m_size];
  std::copy(head.begin(), head.end(), slot.head.begin());
  msghdr& header = m_headers[m_size].msg_hdr;
  std::size_t iovecs = 0;
  if (head.size > 0) {
    slot.iovecs[iovecs++] = iovec{slot.head.data(), head.size};
  }
  if (body.size > 0) {
    slot.iovecs[iovecs++] =
        iovec{const_cast<std::uint8_t*>(body.data), body.size};
  }
  header.msg_namelen = WriteSocketAddress(to, &slot.to);
  header.msg_name = &slot.to;
  header.msg_iov = slot.iovecs.data();
  header.msg_iovlen = iovecs;
  ++m_size;
}

void SendBatch::Flush(int handle, SendCounts* counts) {
  std::size_t next = 0;
  while (next < m_size) {
    const int sent =
        sendmmsg(handle, m_headers.data() + next,
                 static_cast<unsigned>(m_size - next), MSG_DONTWAIT);
    if (sent > 0) {
      counts->sent += static_cast<std::uint64_t>(sent);
      next += static_cast<std::size_t>(sent);
      continue;
    }
    // The first datagram was rejected; the remaining ones may still succeed.
    ++counts->failed;
    ++next;
  }
  m_size = 0;
}

}  // namespace sardinelead
