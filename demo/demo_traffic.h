#ifndef SARDINELEAD_DEMO_DEMO_TRAFFIC_H_
#define SARDINELEAD_DEMO_DEMO_TRAFFIC_H_

// Code shared by the demo's simulated caller and target: IP packets
// encapsulated in UDP, the framing of requests (notes) and answers, and the
// ledger file in which each logs its events for demo_check to compare.

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <vector>

#include "asio_endpoint.h"
#include "sardinelead/packet.h"
#include "sardinelead/packet_writer.h"
#include "sardinelead/types.h"

namespace sardinelead {

constexpr std::size_t kMaxDatagramBytes = 65536;
constexpr std::size_t kMaxSegmentBytes = 1200;

inline std::int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

inline std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, separator);) {
    if (!part.empty()) parts.push_back(part);
  }
  return parts;
}

inline std::vector<Endpoint> ParseEndpoints(const std::string& text) {
  std::vector<Endpoint> endpoints;
  for (const std::string& part : Split(text, ',')) {
    const auto endpoint = Endpoint::Parse(part);
    if (endpoint) endpoints.push_back(*endpoint);
  }
  return endpoints;
}

// Reads endpoints from a file, one per line. The demo rewrites the file when
// the fabric's set of balancers changes.
inline std::vector<Endpoint> ReadEndpointFile(const std::string& path) {
  std::ifstream file(path);
  std::vector<Endpoint> endpoints;
  for (std::string line; std::getline(file, line);) {
    const auto endpoint = Endpoint::Parse(line);
    if (endpoint) endpoints.push_back(*endpoint);
  }
  return endpoints;
}

// A socket that sends and receives IP packets encapsulated in UDP.
class PacketSocket {
 public:
  PacketSocket(asio::io_context* context, const Endpoint& local)
      : m_socket(*context, ToAsioUdp(local)), m_buffer(kMaxDatagramBytes) {
    constexpr int kBufferBytes = 4 << 20;
    asio::error_code ignored;
    m_socket.set_option(asio::socket_base::receive_buffer_size(kBufferBytes),
                        ignored);
  }

  void Send(const Endpoint& to, const Bytes& packet) {
    asio::error_code ignored;
    m_socket.send_to(asio::buffer(packet), ToAsioUdp(to), 0, ignored);
  }

  void Close() { m_socket.close(); }

  // Calls on_packet(packet) for each packet while the context runs.
  template <typename OnPacket>
  void Receive(OnPacket on_packet) {
    m_socket.async_receive_from(
        asio::buffer(m_buffer), m_from,
        [this, on_packet](asio::error_code error, std::size_t size) {
          if (error == asio::error::operation_aborted) return;
          if (!error) on_packet(ByteView(m_buffer.data(), size));
          Receive(on_packet);
        });
  }

 private:
  asio::ip::udp::socket m_socket;
  asio::ip::udp::endpoint m_from;
  Bytes m_buffer;
};

// Returns the payload of a packet parsed by ParsePacket().
inline ByteView PayloadOf(ByteView packet, const PacketInfo& info) {
  return {packet.end() - info.payload_bytes, info.payload_bytes};
}

// Wire format of a note or an answer: the length in eight decimal digits, then
// JSON.
constexpr std::size_t kLengthDigits = 8;

inline std::string Frame(const nlohmann::json& body) {
  const std::string text = body.dump();
  std::array<char, kLengthDigits + 1> length{};
  std::snprintf(length.data(), length.size(), "%08zu", text.size());
  return length.data() + text;
}

// Returns the body, or a discarded value if `text` is incomplete.
inline nlohmann::json ParseFrame(const std::string& text) {
  if (text.size() < kLengthDigits) return nlohmann::json::value_t::discarded;
  const std::size_t length =
      std::strtoul(text.substr(0, kLengthDigits).c_str(), nullptr, 10);
  if (text.size() < kLengthDigits + length) {
    return nlohmann::json::value_t::discarded;
  }
  return nlohmann::json::parse(text.substr(kLengthDigits, length), nullptr,
                               false);
}

// Writes lines of space-separated words. Flushes every line so that a killed
// process loses none.
class Ledger {
 public:
  explicit Ledger(const std::string& path) : m_file(path) {}

  template <typename... Words>
  void Write(const Words&... words) {
    ((m_file << words << ' '), ...);
    m_file << std::endl;
  }

 private:
  std::ofstream m_file;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_DEMO_DEMO_TRAFFIC_H_
