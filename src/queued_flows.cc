#include "sardinelead/queued_flows.h"

namespace sardinelead {

void QueuedFlows::Add(const FlowKey& flow, bool is_first) {
  Packets& packets = m_flows[flow];
  ++packets.count;
  packets.has_first = packets.has_first || is_first;
}

bool QueuedFlows::Remove(const FlowKey& flow) {
  const auto found = m_flows.find(flow);
  if (found == m_flows.end()) return false;
  const bool has_first = found->second.has_first;
  if (--found->second.count == 0) m_flows.erase(found);
  return has_first;
}

}  // namespace sardinelead
