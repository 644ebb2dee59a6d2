#ifndef SARDINELEAD_SRC_HEARTBEAT_H_
#define SARDINELEAD_SRC_HEARTBEAT_H_

// The only message type of Membership. Its encoding takes about 45 bytes, or 85
// with the endpoints of the sender. The endpoints are included until the
// receiver has echoed a heartbeat of the sender, and in every
// kEndpointPeriods-th heartbeat after that.

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
  // The sequence number of the last heartbeat from the receiver of this one, or
  // 0 if the receiver is not a member of the sender's view.
  std::uint32_t echo = 0;
  // View::tag() of the sender's view, or 0 if the sender is in no view or
  // decides no new flows because removed nodes may still hold leases.
  std::uint32_t view = 0;
  // Number of partitions for which the sender lacks records in that view.
  std::uint32_t incomplete = 0;
  // If the receiver was removed from the view, the minimum epoch with which it
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
