#include "heartbeat.h"

#include <algorithm>

#include "cbor_fields.h"

namespace sardinelead {
namespace {

constexpr std::size_t kEndpointBytes = 18;
constexpr std::size_t kMaxHeard = 64;

void AppendEndpoint(const Endpoint& endpoint, Bytes* out) {
  const auto& address = endpoint.address.bytes;
  out->insert(out->end(), address.begin(), address.end());
  out->push_back(static_cast<std::uint8_t>(endpoint.port >> 8));
  out->push_back(static_cast<std::uint8_t>(endpoint.port));
}

Endpoint ReadEndpoint(const std::uint8_t* in) {
  Endpoint endpoint;
  std::copy_n(in, endpoint.address.bytes.size(),
              endpoint.address.bytes.begin());
  endpoint.port = static_cast<std::uint16_t>(in[16] << 8 | in[17]);
  return endpoint;
}

}  // namespace

Bytes Encode(const Heartbeat& heartbeat) {
  nlohmann::json heard = nlohmann::json::array();
  for (const NodeId id : heartbeat.heard) heard.push_back(id.value);
  Bytes endpoints;
  if (heartbeat.control && heartbeat.relay) {
    AppendEndpoint(*heartbeat.control, &endpoints);
    AppendEndpoint(*heartbeat.relay, &endpoints);
  }
  return nlohmann::json::to_cbor(nlohmann::json::array(
      {heartbeat.incarnation.value, heartbeat.epoch,
       static_cast<std::uint32_t>(heartbeat.state), heartbeat.sequence,
       heartbeat.echo, heartbeat.view, heartbeat.incomplete,
       heartbeat.rejoin_epoch, heard, nlohmann::json::binary(endpoints)}));
}

std::optional<Heartbeat> DecodeHeartbeat(ByteView body) {
  CborFields fields(body);
  Heartbeat heartbeat;
  heartbeat.incarnation = Incarnation{fields.Unsigned64()};
  heartbeat.epoch = fields.Unsigned32();
  heartbeat.state = static_cast<MemberState>(
      fields.Unsigned(static_cast<std::uint64_t>(MemberState::kDead)));
  heartbeat.sequence = fields.Unsigned32();
  heartbeat.echo = fields.Unsigned32();
  heartbeat.view = fields.Unsigned32();
  heartbeat.incomplete = fields.Unsigned32();
  heartbeat.rejoin_epoch = fields.Unsigned32();
  const auto max_id = std::numeric_limits<std::uint32_t>::max();
  for (const std::uint64_t id : fields.UnsignedArray(kMaxHeard, max_id)) {
    heartbeat.heard.push_back(NodeId{static_cast<std::uint32_t>(id)});
  }
  const Bytes endpoints = fields.Binary(2 * kEndpointBytes);
  const bool is_valid = fields.AtEnd() && heartbeat.incarnation.value != 0 &&
                        heartbeat.sequence != 0 &&
                        endpoints.size() % (2 * kEndpointBytes) == 0;
  if (!is_valid) return std::nullopt;
  if (!endpoints.empty()) {
    heartbeat.control = ReadEndpoint(endpoints.data());
    heartbeat.relay = ReadEndpoint(endpoints.data() + kEndpointBytes);
  }
  return heartbeat;
}

}  // namespace sardinelead
