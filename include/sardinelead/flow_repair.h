#ifndef SARDINELEAD_FLOW_REPAIR_H_
#define SARDINELEAD_FLOW_REPAIR_H_

// Copies missing flow records to a member that has become a holder.
//
// A member that enters the chain of a partition receives every flow decided
// from then on through the chain. It pulls older records from another holder in
// batches, in hash order. The member is complete once a complete holder has
// sent all its records. While the view permits decisions, the member is also
// complete once every other holder has sent all its records but was incomplete
// itself, or if there is no other holder.

#include <cstdint>
#include <memory>

#include "sardinelead/blackboard.h"
#include "sardinelead/flow_director.h"
#include "sardinelead/membership.h"
#include "sardinelead/message.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct FlowRepairSettings {
  NodeId self;
  // Send rate limit of this node for batches and requests together, counting 40
  // bytes of headers for each message.
  std::uint32_t bytes_per_second = 1200;
  std::uint32_t max_body_bytes = 1200;
  Duration retry_after = std::chrono::seconds(2);
};

class FlowRepair {
 public:
  FlowRepair(FlowRepairSettings settings, FlowDirector* director,
             Blackboard* blackboard);
  ~FlowRepair();
  FlowRepair(const FlowRepair&) = delete;
  FlowRepair& operator=(const FlowRepair&) = delete;

  // Ignores and counts a malformed body.
  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  // Must be called every 50 ms, after Membership::OnTick.
  Outbox OnTick(TimePoint now);

  // The number of incomplete partitions in the view of the last OnTick, for
  // Membership.
  RecordCompleteness Report() const;
  bool Complete() const { return Report().incomplete == 0; }

  std::uint64_t malformed() const;       // NOLINT
  std::uint64_t records_pulled() const;  // NOLINT

 private:
  class State;
  std::unique_ptr<State> m_state;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_FLOW_REPAIR_H_
