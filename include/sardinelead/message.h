#ifndef SARDINELEAD_MESSAGE_H_
#define SARDINELEAD_MESSAGE_H_

// Messages between the processes of the system. Controllers encode and decode
// their own typed messages; transports carry and authenticate the kind and the
// body without interpreting them. Bodies are CBOR arrays
// (nlohmann::json::to_cbor); decoding checks every length and type.

#include <cstdint>
#include <functional>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

// The controller that handles a message.
enum class MessageKind : std::uint8_t {
  kMembership = 1,   // Heartbeats and leases between balancers.
  kFlowRepair = 2,   // Flow records for a holder that lacks them.
  kTargets = 3,      // Announcements, health and load of targets.
  kConfigOffer = 4,  // Newest configuration version and pulls of it.
  kAgreement = 5,    // Consensus between configuration replicas.
  kFeed = 6,         // Targets and routes, from control VMs to balancers.
};
const char* Name(MessageKind kind);

struct OutgoingMessage {
  NodeId to;
  MessageKind kind = MessageKind::kMembership;
  Bytes body;
};

using Outbox = std::vector<OutgoingMessage>;

}  // namespace sardinelead

#endif  // SARDINELEAD_MESSAGE_H_
