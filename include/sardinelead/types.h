#ifndef SARDINELEAD_TYPES_H_
#define SARDINELEAD_TYPES_H_

// Basic types shared by all other headers: time, identifiers, addresses and
// flow keys. Nothing here reads a clock or opens a socket.

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

// The library's time base. Callers pass in the current time; the library never
// reads a clock. Daemons pass monotonic time and tests pass simulated time.
struct LibraryClock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LibraryClock>;
  static constexpr bool is_steady = true;  // NOLINT
};
using Duration = std::chrono::nanoseconds;
using TimePoint = LibraryClock::time_point;

// A strongly typed identifier: ids with different tags are distinct types.
template <typename Tag, typename Rep>
struct Id {
  Rep value{};

  friend bool operator==(Id a, Id b) { return a.value == b.value; }
  friend bool operator!=(Id a, Id b) { return a.value != b.value; }
  friend bool operator<(Id a, Id b) { return a.value < b.value; }
};

// Identifies a VM of the system, as configured in its settings. Never 0.
using NodeId = Id<struct NodeTag, std::uint32_t>;
// Identifies a service. Assigned by the configuration, never reused, never 0.
using ServiceId = Id<struct ServiceTag, std::uint32_t>;
// Identifies a target: a hash of its service, tunnel endpoint and incarnation,
// so a target gets a new id when it restarts. Never 0.
using TargetId = Id<struct TargetTag, std::uint64_t>;
// Identifies one run of a process; increases with every start. Never 0.
using Incarnation = Id<struct IncarnationTag, std::uint64_t>;
// The version number of a configuration; the empty configuration is version 0.
using ConfigVersion = Id<struct ConfigVersionTag, std::uint64_t>;

// An IPv4 or IPv6 address; IPv4 is stored as an IPv4-mapped IPv6 address.
struct IpAddress {
  std::array<std::uint8_t, 16> bytes{};

  static IpAddress FromV4(std::uint32_t host_order);
  // Parses "192.0.2.1" or "2001:db8::1"; returns nullopt for any other form.
  static std::optional<IpAddress> Parse(std::string_view text);

  bool IsV4() const;
  // Returns the IPv4 address in host byte order. Requires IsV4().
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

// An IP address and port.
struct Endpoint {
  IpAddress address;
  std::uint16_t port = 0;

  // Parses "192.0.2.1:80" or "[2001:db8::1]:80".
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

// The 5-tuple that identifies a flow. It is direction-independent: packets in
// both directions have the same caller and service.
struct FlowKey {
  Endpoint caller;
  Endpoint service;
  Protocol protocol = Protocol::kTcp;

  // A 64-bit hash, identical on every node. Computes one XXH3 over 40 bytes.
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

// Returns a 64-bit hash of `text` with `seed`, identical on every node.
std::uint64_t HashText(std::string_view text, std::uint64_t seed = 0);
// Combines two hashes into one, identical on every node.
std::uint64_t HashCombine(std::uint64_t a, std::uint64_t b);

using Bytes = std::vector<std::uint8_t>;

// A non-owning view of contiguous bytes.
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
