#ifndef SARDINELEAD_FLOW_EVIDENCE_H_
#define SARDINELEAD_FLOW_EVIDENCE_H_

// What a balancer knew when it decided about a flow that may be open, for logs.
// From it one can tell whether a later table or announcement takes the decision
// back.

#include <cstdint>

#include "sardinelead/types.h"

namespace sardinelead {

struct FlowEvidence {
  // The flow's target and the start of its process that the decision is about,
  // in Unix milliseconds by the target's clock; 0 if unknown.
  std::uint64_t target = 0;
  std::uint64_t started_ms = 0;
  // A target that has the address of that process, and its start; 0 if none.
  std::uint64_t successor = 0;
  std::uint64_t successor_started_ms = 0;
  // For how long this balancer has taken the target for ended.
  Duration ended_for{0};
};

}  // namespace sardinelead

#endif  // SARDINELEAD_FLOW_EVIDENCE_H_
