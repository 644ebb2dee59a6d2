#ifndef SARDINELEAD_TYPES_H_
#define SARDINELEAD_TYPES_H_

// Basic values that every other header uses: time, identifiers, addresses and
// flow keys. Nothing here reads a clock, opens a socket or allocates.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sardinelead {

// Time as the library sees it: it is always handed in, never read. A daemon
// feeds a monotonic clock, a test a virtual one.
struct LibraryClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LibraryClock>;
  static constexpr bool is_steady = true;  // NOLINT
};
using Duration = std::chrono::nanoseconds;
using TimePoint = LibraryClock::time_point;

// An identifier that cannot be mixed up with one of another kind.
template <typename Tag, typename Rep>
struct Id {
  Rep value{};

  friend bool operator==(Id a, Id b) { return a.value == b.value; }
  friend bool operator!=(Id a, Id b) { return a.value != b.value; }
  friend bool operator<(Id a, Id b) { return a.value < b.value; }
};

// A VM of the system, as named in its settings. Never 0.
using NodeId = Id<struct NodeTag, std::uint32_t>;
// A service, numbered once in the configuration and never used again. Never 0.
using ServiceId = Id<struct ServiceTag, std::uint32_t>;
// A target, as the hash of its service, workspace and tunnel address, with its
// incarnation: a target that restarts is another target. Never 0.
using TargetId = Id<struct TargetTag, std::uint64_t>;
// A start of a process; greater than that of every earlier start. Never 0.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
// The number of a configuration; the empty configuration is version 0.
using ConfigVersion = Id<struct ConfigVersionTag, std::uint64_t>;

// An IPv4 or IPv6 address; IPv4 is held in its v6-mapped form.
struct IpAddress {
  std::array<std::uint8_t, 16> bytes{};

  static IpAddress FromV4(std::uint32_t host_order);
  // Reads "192.0.2.1" or "2001:db8::1"; empty where the text is neither.
  static std::optional<IpAddress> Parse(std::string_view text);

  bool IsV4() const;
  // The IPv4 address in host order. Requires IsV4().
  std::uint32_t ToV4() const;
  std::string ToString() const;

  friend bool operator==(const IpAddress& a, const IpAddress& b) {
    return a.bytes == b.bytes;
  }
  friend bool operator!=(const IpAddress& a, const IpAddress& b) {
    return !(a == b);
  }
  friend bool operator<(const IpAddress& a, const IpAddress& b) {
    return a.bytes < b.bytes;
  }
};

// An address with a port.
struct Endpoint {
  IpAddress address;
  std::uint16_t port = 0;

  // Reads "192.0.2.1:80" or "[2001:db8::1]:80".
  static std::optional<Endpoint> Parse(std::string_view text);
  std::string ToString() const;

  friend bool operator==(const Endpoint& a, const Endpoint& b) {
    return a.port == b.port && a.address == b.address;
  }
  friend bool operator!=(const Endpoint& a, const Endpoint& b) {
    return !(a == b);
  }
  friend bool operator<(const Endpoint& a, const Endpoint& b) {
    return a.address != b.address ? a.address < b.address : a.port < b.port;
  }
};

struct EndpointHash {
  std::size_t operator()(const Endpoint& endpoint) const;
};

enum class Protocol : std::uint8_t { kTcp = 6, kUdp = 17 };
const char* Name(Protocol protocol);
std::optional<Protocol> ParseProtocol(std::string_view text);

// What identifies a flow: the same in both directions, with the caller and the
// service in fixed places.
struct FlowKey {
  Endpoint caller;
  Endpoint service;
  Protocol protocol = Protocol::kTcp;

  // A 64-bit hash, the same on every node. Cost: one XXH3 over 40 bytes.
  std::uint64_t Hash() const;
  std::string ToString() const;

  friend bool operator==(const FlowKey& a, const FlowKey& b) {
    return a.protocol == b.protocol && a.caller == b.caller &&
           a.service == b.service;
  }
  friend bool operator!=(const FlowKey& a, const FlowKey& b) {
    return !(a == b);
  }
};

// A 64-bit hash of `text` under `seed`, the same on every node.
std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0);
// Mixes two hashes into one, the same on every node.
std::uint64_t HashCombine(std::uint64_t a, std::uint64_t b);

using Bytes = std::vector<std::uint8_t>;

// A view of bytes that someone else owns.
struct ByteView {
  const std::uint8_t* data = nullptr;
  std::size_t size = 0;

  ByteView() = default;
  ByteView(const std::uint8_t* data_in, std::size_t size_in)
      : data(data_in), size(size_in) {}
  ByteView(const Bytes& bytes)  // NOLINT: views convert implicitly
      : data(bytes.data()), size(bytes.size()) {}
  const std::uint8_t* begin() const { return data; }
  const std::uint8_t* end() const { return data + size; }
};

}  // namespace sardinelead

template <typename Tag, typename Rep>
struct std::hash<sardinelead::Id<Tag, Rep>> {
  std::size_t operator()(sardinelead::Id<Tag, Rep> id) const noexcept {
    return std::hash<Rep>()(id.value);
  }
};

#endif  // SARDINELEAD_TYPES_H_
