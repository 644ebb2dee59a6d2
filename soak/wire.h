#ifndef SARDINELEAD_SOAK_WIRE_H_
#define SARDINELEAD_SOAK_WIRE_H_

// Encoding of the platform's packets as callers and targets use it, and a UDP
// socket with a receive timeout, for the simulated callers and targets.

#include <cstdint>
#include <optional>

#include "sardinelead/types.h"

namespace sardinelead::soak {

constexpr std::uint8_t kReset = 1;
constexpr std::uint8_t kAcknowledge = 4;
constexpr std::uint8_t kFinish = 8;
constexpr std::uint8_t kOpen = 64;

struct Packet {
  Endpoint source;
  Endpoint destination;
  std::uint8_t flags = 0;
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;
  std::uint32_t cookie = 0;
  Bytes data;

  // The checksum covers everything but the cookie.
  Bytes Encode() const;
  // Returns nullopt if the bytes are not a packet. Sets `is_whole` to whether
  // the checksum matches.
  static std::optional<Packet> Decode(ByteView bytes, bool* is_whole);
};

class UdpSocket {
 public:
  explicit UdpSocket(const Endpoint& listen);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  void Send(const Endpoint& to, const Bytes& bytes) const;
  std::optional<Bytes> Receive(Duration wait, Endpoint* source) const;

 private:
  int m_handle;
};

}  // namespace sardinelead::soak

#endif  // SARDINELEAD_SOAK_WIRE_H_
