#ifndef SARDINELEAD_SRC_HEARTBEAT_H_
#define SARDINELEAD_SRC_HEARTBEAT_H_

// The only message type of Membership. Its encoding takes about 45 bytes, or 85
// with the endpoints of the sender. The endpoints are included until the
// addressee has answered, and in every kEndpointPeriods-th heartbeat after
// that.

#include <optional>
#include <vector>

#include "sardinelead/types.h"
#include "sardinelead/view.h"

namespace sardinelead {

struct Heartbeat {
  Incarnation incarnation;
  std::uint32_t epoch = 0;
  MemberState state = MemberState::kJoining;
  std::uint32_t sequence = 0;
  // The last sequence number received from the addressee, or 0 if none.
  std::uint32_t echo = 0;
  // View::tag() of the sender's view, or 0 if it has none.
  std::uint32_t view = 0;
  // Number of partitions for which the sender lacks records in that view.
  std::uint32_t incomplete = 0;
  // If the addressee was removed from the view, the minimum epoch with which it
  // must rejoin; otherwise 0.
  std::uint32_t rejoin_epoch = 0;
  // Nodes that the sender receives heartbeats from and considers alive.
  std::vector<NodeId> heard;
  // Absent if the message does not include the endpoints.
  std::optional<Endpoint> control;
  std::optional<Endpoint> relay;
};

Bytes Encode(const Heartbeat& heartbeat);
// Returns nullopt if `body` is malformed.
std::optional<Heartbeat> DecodeHeartbeat(ByteView body);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_HEARTBEAT_H_
