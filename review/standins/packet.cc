#include "packet.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>

namespace review {
namespace {

constexpr std::uint64_t kSumKey = 0x9e3779b97f4a7c15ULL;

void Put(std::string* out, std::size_t at, std::uint64_t value, int bytes) {
  for (int i = 0; i < bytes; ++i) {
    (*out)[at + static_cast<std::size_t>(i)] =
        static_cast<char>(value >> (8 * (bytes - 1 - i)));
  }
}

std::uint64_t Get(const std::string& in, std::size_t at, int bytes) {
  std::uint64_t value = 0;
  for (int i = 0; i < bytes; ++i) {
    value = value << 8 |
            static_cast<std::uint8_t>(in[at + static_cast<std::size_t>(i)]);
  }
  return value;
}

// A keyed sum (FNV-1a) over all fields except echo, pad and BOUNCED.
std::uint32_t SumOf(std::string bytes) {
  Put(&bytes, 8, 0, 4);
  Put(&bytes, 15, 0, 5);
  bytes[14] = static_cast<char>(bytes[14] & ~32);
  std::uint64_t hash = kSumKey;
  for (const char c : bytes) {
    hash = (hash ^ static_cast<std::uint8_t>(c)) * 0x100000001b3ULL;
  }
  const auto sum = static_cast<std::uint32_t>(hash ^ hash >> 32);
  return sum == 0 ? 1 : sum;
}

sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.ip);
  out.sin_port = htons(address.port);
  return out;
}

}  // namespace

std::string Address::Text() const {
  return std::to_string(ip >> 24) + "." + std::to_string(ip >> 16 & 255) + "." +
         std::to_string(ip >> 8 & 255) + "." + std::to_string(ip & 255) + ":" +
         std::to_string(port);
}

std::string Packet::Encode() const {
  std::string out(kHeadBytes, '\0');
  Put(&out, 0, seq, 4);
  Put(&out, 4, ack, 4);
  Put(&out, 12, data.size(), 2);
  Put(&out, 14, flags, 1);
  Put(&out, 16, echo, 4);
  Put(&out, 20, source.port, 2);
  Put(&out, 22, source.ip, 4);
  Put(&out, 26, destination.port, 2);
  Put(&out, 28, destination.ip, 4);
  out += data;
  Put(&out, 8, SumOf(out), 4);
  return out;
}

std::optional<Packet> Packet::Decode(const std::string& bytes,
                                     bool* is_sealed) {
  if (bytes.size() < kHeadBytes) return std::nullopt;
  Packet packet;
  packet.seq = static_cast<std::uint32_t>(Get(bytes, 0, 4));
  packet.ack = static_cast<std::uint32_t>(Get(bytes, 4, 4));
  packet.sum = static_cast<std::uint32_t>(Get(bytes, 8, 4));
  packet.flags = static_cast<std::uint8_t>(bytes[14]);
  packet.echo = static_cast<std::uint32_t>(Get(bytes, 16, 4));
  packet.source = {static_cast<std::uint32_t>(Get(bytes, 22, 4)),
                   static_cast<std::uint16_t>(Get(bytes, 20, 2))};
  packet.destination = {static_cast<std::uint32_t>(Get(bytes, 28, 4)),
                        static_cast<std::uint16_t>(Get(bytes, 26, 2))};
  packet.data = bytes.substr(kHeadBytes);
  if (Get(bytes, 12, 2) != packet.data.size()) return std::nullopt;
  *is_sealed = packet.sum == SumOf(bytes);
  return packet;
}

UdpSocket::UdpSocket(const Address& listen)
    : m_handle(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in address = ToSocketAddress(listen);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address);
  if (bind(m_handle, raw, sizeof(address)) == 0) return;
  close(m_handle);
  m_handle = -1;
}

UdpSocket::~UdpSocket() {
  if (m_handle >= 0) close(m_handle);
}

void UdpSocket::Send(const Address& to, const std::string& bytes) const {
  const sockaddr_in address = ToSocketAddress(to);
  sendto(m_handle, bytes.data(), bytes.size(), 0,
         reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

std::optional<std::string> UdpSocket::Receive(int wait_ms,
                                              Address* from) const {
  pollfd ready{m_handle, POLLIN, 0};
  if (poll(&ready, 1, wait_ms) != 1) return std::nullopt;
  char buffer[2048];
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  const ssize_t count =
      recvfrom(m_handle, buffer, sizeof(buffer), MSG_DONTWAIT,
               reinterpret_cast<sockaddr*>(&address), &size);
  if (count < 0) return std::nullopt;
  *from = {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
  return std::string(buffer, static_cast<std::size_t>(count));
}

}  // namespace review
