#ifndef SARDINELEAD_MESSAGE_H_
#define SARDINELEAD_MESSAGE_H_

// What the system's own processes send each other. A controller turns a
// received body into its own typed message and back; a transport carries the
// kind and the bytes, authenticates them and knows nothing of their meaning.
// Bodies are CBOR arrays (nlohmann::json::to_cbor), read with every length and
// type checked.

#include <cstdint>
#include <functional>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

// Which controller a message is for.
enum class MessageKind : std::uint8_t {
  kMembership = 1,   // Heartbeats and promises between balancers.
  kFlowRepair = 2,   // Flow records for a holder that lacks them.
  kTargets = 3,      // Announcements, health and load of targets.
  kConfigOffer = 4,  // Newest configuration version and pulls of it.
  kAgreement = 5,    // The configuration service's replicas among themselves.
  kFeed = 6,         // Targets and routes, from control VMs to balancers.
};
const char* Name(MessageKind kind);

// A message on its way out.
struct OutgoingMessage {
  NodeId to;
  MessageKind kind = MessageKind::kMembership;
  Bytes body;
};

using Outbox = std::vector<OutgoingMessage>;

}  // namespace sardinelead

#endif  // SARDINELEAD_MESSAGE_H_
