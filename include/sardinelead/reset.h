#ifndef SARDINELEAD_RESET_H_
#define SARDINELEAD_RESET_H_

// Builds the packets that notify a caller that its flow no longer exists: a TCP
// reset, or an ICMP "port unreachable" for UDP. Rate limiting is up to the
// code that sends them.

#include "sardinelead/flow_director.h"
#include "sardinelead/packet.h"
#include "sardinelead/types.h"

namespace sardinelead {

// Returns the reset in response to `packet`, a packet from the caller that was
// parsed into `info`. Empty if none may be sent: in response to a reset or an
// ICMP error.
Bytes BuildReset(const PacketInfo& info, ByteView packet);

// Returns an unsolicited reset for a flow whose target died. Empty for UDP,
// which has no such packet.
Bytes BuildReset(const FlowReset& reset);

}  // namespace sardinelead

#endif  // SARDINELEAD_RESET_H_
