#ifndef SARDINELEAD_SRC_ASIO_ENDPOINT_H_
#define SARDINELEAD_SRC_ASIO_ENDPOINT_H_

// Conversions between Endpoint and Asio's UDP endpoint type.

#include <algorithm>
#include <asio/ip/address.hpp>
#include <asio/ip/udp.hpp>

#include "sardinelead/types.h"

namespace sardinelead {

inline asio::ip::udp::endpoint ToAsioUdp(const Endpoint& endpoint) {
  if (endpoint.address.IsV4()) {
    return {asio::ip::address_v4(endpoint.address.ToV4()), endpoint.port};
  }
  asio::ip::address_v6::bytes_type bytes;
  std::copy(endpoint.address.bytes.begin(), endpoint.address.bytes.end(),
            bytes.begin());
  return {asio::ip::address_v6(bytes), endpoint.port};
}

inline Endpoint FromAsio(const asio::ip::udp::endpoint& endpoint) {
  if (endpoint.address().is_v4()) {
    return Endpoint{IpAddress::FromV4(endpoint.address().to_v4().to_uint()),
                    endpoint.port()};
  }
  Endpoint out;
  const auto bytes = endpoint.address().to_v6().to_bytes();
  std::copy(bytes.begin(), bytes.end(), out.address.bytes.begin());
  out.port = endpoint.port();
  return out;
}

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_ASIO_ENDPOINT_H_
