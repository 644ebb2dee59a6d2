#include "wire.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cassert>

#include "big_endian.h"
#include "packet_codec.h"
#include "udp_batch.h"

namespace sardinelead::soak {
namespace {

constexpr std::uint64_t kChecksumKey = 0x50a4;
constexpr std::size_t kChecksumOffset = 8;
constexpr std::size_t kCookieOffset = 16;

std::uint32_t ChecksumOf(Bytes bytes) {
  StoreBigEndian(std::uint32_t{0}, bytes.data() + kChecksumOffset);
  StoreBigEndian(std::uint32_t{0}, bytes.data() + kCookieOffset);
  const auto* text = reinterpret_cast<const char*>(bytes.data());
  const auto sum =
      static_cast<std::uint32_t>(HashText({text, bytes.size()}, kChecksumKey));
  return sum == 0 ? 1 : sum;
}

}  // namespace

Bytes Packet::Encode() const {
  Bytes out(kPacketHeaderBytes);
  StoreBigEndian(sequence, out.data());
  StoreBigEndian(acknowledged, out.data() + 4);
  StoreBigEndian(static_cast<std::uint16_t>(data.size()), out.data() + 12);
  out[14] = flags;
  StoreBigEndian(source.port, out.data() + 20);
  StoreBigEndian(source.address.ToV4(), out.data() + 22);
  StoreBigEndian(destination.port, out.data() + 26);
  StoreBigEndian(destination.address.ToV4(), out.data() + 28);
  out.insert(out.end(), data.begin(), data.end());
  StoreBigEndian(ChecksumOf(out), out.data() + kChecksumOffset);
  StoreBigEndian(cookie, out.data() + kCookieOffset);
  return out;
}

std::optional<Packet> Packet::Decode(ByteView bytes, bool* is_whole) {
  if (bytes.size < kPacketHeaderBytes) return std::nullopt;
  const std::uint8_t* in = bytes.data;
  Packet packet;
  packet.sequence = LoadBigEndian<std::uint32_t>(in);
  packet.acknowledged = LoadBigEndian<std::uint32_t>(in + 4);
  packet.flags = in[14];
  packet.cookie = LoadBigEndian<std::uint32_t>(in + kCookieOffset);
  packet.source = {IpAddress::FromV4(LoadBigEndian<std::uint32_t>(in + 22)),
                   LoadBigEndian<std::uint16_t>(in + 20)};
  packet.destination = {
      IpAddress::FromV4(LoadBigEndian<std::uint32_t>(in + 28)),
      LoadBigEndian<std::uint16_t>(in + 26)};
  packet.data.assign(in + kPacketHeaderBytes, in + bytes.size);
  *is_whole = LoadBigEndian<std::uint32_t>(in + kChecksumOffset) ==
              ChecksumOf(Bytes(bytes.begin(), bytes.end()));
  return packet;
}

UdpSocket::UdpSocket(const Endpoint& listen)
    : m_handle(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0)) {
  const int on = 1;
  setsockopt(m_handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  SocketAddress address;
  const socklen_t size = WriteSocketAddress(listen, &address);
  const int bound = bind(m_handle, &address.any, size);
  assert(bound == 0);
  (void)bound;
}

UdpSocket::~UdpSocket() { close(m_handle); }

void UdpSocket::Send(const Endpoint& to, const Bytes& bytes) const {
  SocketAddress address;
  const socklen_t size = WriteSocketAddress(to, &address);
  sendto(m_handle, bytes.data(), bytes.size(), 0, &address.any, size);
}

std::optional<Bytes> UdpSocket::Receive(Duration wait, Endpoint* source) const {
  pollfd in{m_handle, POLLIN, 0};
  // poll() takes a negative time for no limit.
  const Duration limit = std::max(wait, Duration{0});
  const auto ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
  if (poll(&in, 1, static_cast<int>(ms)) != 1) return std::nullopt;
  std::array<std::uint8_t, 2048> buffer;
  SocketAddress address;
  socklen_t size = sizeof(address);
  const ssize_t count =
      recvfrom(m_handle, buffer.data(), buffer.size(), 0, &address.any, &size);
  if (count < 0) return std::nullopt;
  *source = ReadSocketAddress(address);
  return Bytes(buffer.begin(), buffer.begin() + count);
}

}  // namespace sardinelead::soak
