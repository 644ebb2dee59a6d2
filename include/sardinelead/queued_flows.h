#ifndef SARDINELEAD_QUEUED_FLOWS_H_
#define SARDINELEAD_QUEUED_FLOWS_H_

// The flows that have packets in the queue for this VM's own link.
//
// While a packet waits there, the target cannot have got it, so neither the
// caller's retransmissions nor the missing answer are evidence against the
// target. Always empty in a deployment without a paced link.
//
// Performs no I/O and reads no clock. Not thread-safe. Each function costs one
// hash lookup, or none if the object is empty.

#include <cstddef>
#include <unordered_map>

#include "sardinelead/types.h"

namespace sardinelead {

class QueuedFlows {
 public:
  // A packet of the flow was queued. `is_first` if no copy of it was handed to
  // the socket before.
  void Add(const FlowKey& flow, bool is_first);
  // A packet of the flow left the queue. Returns whether one for which
  // `is_first` was true was among those that waited.
  bool Remove(const FlowKey& flow);
  bool Contains(const FlowKey& flow) const {
    return !m_flows.empty() && m_flows.count(flow) != 0;
  }

 private:
  struct Packets {
    std::size_t count = 0;
    bool has_first = false;
  };
  struct HashFlowKey {
    std::size_t operator()(const FlowKey& key) const { return key.Hash(); }
  };

  std::unordered_map<FlowKey, Packets, HashFlowKey> m_flows;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_QUEUED_FLOWS_H_
