#ifndef REVIEW_STANDINS_PACKET_H_
#define REVIEW_STANDINS_PACKET_H_

// The packets that clients and hosts exchange, and a UDP socket.
// Layout and flags are those of PROTOCOL.md, "Packets".

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace review {

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;

struct Address {
  std::uint32_t ip = 0;  // Host order.
  std::uint16_t port = 0;

  std::string Text() const;
  friend bool operator<(const Address& a, const Address& b) {
    return std::tie(a.ip, a.port) < std::tie(b.ip, b.port);
  }
  friend bool operator==(const Address& a, const Address& b) {
    return a.ip == b.ip && a.port == b.port;
  }
};

constexpr std::uint8_t kSyn = 64;
constexpr std::uint8_t kAck = 4;
constexpr std::uint8_t kFin = 8;
constexpr std::uint8_t kRst = 1;
constexpr std::size_t kHeadBytes = 32;
constexpr std::size_t kMaxData = 1200;

struct Packet {
  std::uint32_t seq = 0;
  std::uint32_t ack = 0;
  std::uint32_t sum = 0;
  std::uint8_t flags = 0;
  std::uint32_t echo = 0;
  Address source;
  Address destination;
  std::string data;

  // Writes the keyed sum, as the two ends of a flow do.
  std::string Encode() const;
  // `is_sealed` is whether the keyed sum is right. A reset of the system
  // carries the sum 0.
  static std::optional<Packet> Decode(const std::string& bytes,
                                      bool* is_sealed);
};

class UdpSocket {
 public:
  explicit UdpSocket(const Address& listen);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  bool is_open() const { return m_handle >= 0; }
  void Send(const Address& to, const std::string& bytes) const;
  // Returns nullopt if nothing arrives within `wait_ms`.
  std::optional<std::string> Receive(int wait_ms, Address* from) const;

 private:
  int m_handle = -1;
};

}  // namespace review

#endif  // REVIEW_STANDINS_PACKET_H_
