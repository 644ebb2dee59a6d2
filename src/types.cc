#include "sardinelead/types.h"

#include <arpa/inet.h>
#include <endian.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstring>

namespace sardinelead {
namespace {

constexpr std::array<std::uint8_t, 12> kV4MappedPrefix = {
    0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

std::optional<std::uint16_t> ParsePort(std::string_view text) {
  std::uint16_t port = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, port);
  if (error != std::errc() || stop != end) return std::nullopt;
  return port;
}

}  // namespace

IpAddress IpAddress::FromV4(std::uint32_t host_order) {
  IpAddress address;
  std::copy(kV4MappedPrefix.begin(), kV4MappedPrefix.end(),
            address.bytes.begin());
  const std::uint32_t network_order = htonl(host_order);
  std::memcpy(address.bytes.data() + kV4MappedPrefix.size(), &network_order,
              sizeof(network_order));
  return address;
}

std::optional<IpAddress> IpAddress::Parse(std::string_view text) {
  const std::string terminated(text);
  in_addr v4{};
  if (inet_pton(AF_INET, terminated.c_str(), &v4) == 1) {
    return FromV4(ntohl(v4.s_addr));
  }
  IpAddress address;
  if (inet_pton(AF_INET6, terminated.c_str(), address.bytes.data()) == 1) {
    return address;
  }
  return std::nullopt;
}

bool IpAddress::IsV4() const {
  return std::memcmp(bytes.data(), kV4MappedPrefix.data(),
                     kV4MappedPrefix.size()) == 0;
}

std::uint32_t IpAddress::ToV4() const {
  assert(IsV4());
  std::uint32_t network_order = 0;
  std::memcpy(&network_order, bytes.data() + kV4MappedPrefix.size(),
              sizeof(network_order));
  return ntohl(network_order);
}

std::string IpAddress::ToString() const {
  char text[INET6_ADDRSTRLEN] = {};
  if (IsV4()) {
    inet_ntop(AF_INET, bytes.data() + kV4MappedPrefix.size(), text,
              sizeof(text));
  } else {
    inet_ntop(AF_INET6, bytes.data(), text, sizeof(text));
  }
  return text;
}

std::optional<Endpoint> Endpoint::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  const bool bracketed =
      host.size() >= 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  const bool has_colon = host.find(':') != std::string_view::npos;
  if (bracketed != has_colon) return std::nullopt;
  const auto address = IpAddress::Parse(host);
  const auto port = ParsePort(text.substr(colon + 1));
  if (!address || !port) return std::nullopt;
  return Endpoint{*address, *port};
}

std::string Endpoint::ToString() const {
  const std::string host = address.ToString();
  const std::string host_text = address.IsV4() ? host : "[" + host + "]";
  return host_text + ":" + std::to_string(port);
}

std::size_t EndpointHash::operator()(const Endpoint& endpoint) const {
  const auto* bytes =
      reinterpret_cast<const char*>(endpoint.address.bytes.data());
  return HashText({bytes, endpoint.address.bytes.size()}, endpoint.port);
}

const char* Name(Protocol protocol) {
  switch (protocol) {
    case Protocol::kTcp:
      return "tcp";
    case Protocol::kUdp:
      return "udp";
  }
  return "unknown";
}

std::optional<Protocol> ParseProtocol(std::string_view text) {
  if (text == "tcp") return Protocol::kTcp;
  if (text == "udp") return Protocol::kUdp;
  return std::nullopt;
}

std::uint64_t FlowKey::Hash() const {
  // Packs the fields into 64-bit words, the unit in which XXH3 reads its input.
  std::array<std::uint64_t, 5> words;
  std::memcpy(&words[0], caller.address.bytes.data(), 16);
  std::memcpy(&words[2], service.address.bytes.data(), 16);
  const std::uint64_t ports = std::uint64_t{caller.port} << 16 | service.port;
  words[4] = htole64(ports << 8 | static_cast<std::uint8_t>(protocol));
  return XXH3_64bits(words.data(), sizeof(words));
}

std::string FlowKey::ToString() const {
  return std::string(Name(protocol)) + " " + caller.ToString() + " > " +
         service.ToString();
}

std::uint64_t HashText(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t HashCombine(std::uint64_t a, std::uint64_t b) {
  const std::uint64_t both[2] = {a, b};
  return XXH3_64bits(both, sizeof(both));
}

}  // namespace sardinelead
