// The status document and transport metrics of a balancer.

#include <chrono>
#include <utility>

#include "balancer_node.h"
#include "clock.h"

namespace sardinelead {
namespace {

using nlohmann::json;

json ToJson(const PacketCounts& counts) {
  json received = json::object();
  for (std::size_t i = 0; i < counts.received.size(); ++i) {
    received[Name(static_cast<Ingress>(i))] = counts.received[i];
  }
  json dropped = json::object();
  for (std::size_t i = 0; i < counts.dropped.size(); ++i) {
    if (counts.dropped[i] == 0) continue;
    dropped[Name(static_cast<DropReason>(i))] = counts.dropped[i];
  }
  return {{"received", received},
          {"dropped", dropped},
          {"to_targets", counts.to_targets},
          {"to_callers", counts.to_callers},
          {"relayed", counts.relayed},
          {"resets", counts.resets}};
}

json ToJson(const FlowCounts& counts) {
  return {{"held", counts.held},     {"opening", counts.opening},
          {"bytes", counts.bytes},   {"decided", counts.decided},
          {"stored", counts.stored}, {"refused_stores", counts.refused_stores},
          {"resets", counts.resets}, {"silent", counts.silent}};
}

}  // namespace

json BalancerNode::Status() const {
  const TimePoint now = SteadyNow();
  const auto view = m_balancer.blackboard().view.Read();
  json control_vms = json::array();
  for (const NodeId vm : m_control_links.Peers()) {
    control_vms.push_back(vm.value);
  }
  return {{"role", "balancer"},
          {"incarnation", m_balancer.options().incarnation.value},
          {"leaving", m_balancer.is_leaving()},
          {"handed_over", m_balancer.IsHandoverComplete()},
          {"may_decide", view->MayDecide(now)},
          {"incomplete_partitions", m_balancer.holdings().incomplete},
          {"config_stale_ms", Milliseconds(m_balancer.config().Staleness(now))},
          {"control_links", std::move(control_vms)},
          {"flows", ToJson(m_balancer.flows())},
          {"packets", ToJson(m_balancer.packets())}};
}

void BalancerNode::PublishTransportMetrics() {
  Metrics* metrics = m_balancer.metrics();
  const auto set = [metrics](const char* name, const Labels& labels,
                             std::uint64_t value) {
    metrics->FindGauge(name, labels)->Set(static_cast<double>(value));
  };
  const PacketLoopCounts loop = m_packet_loop.Counts();
  set("sardinelead_datagrams_cut", {}, loop.cut);
  set("sardinelead_sends_failed", {}, loop.send.failed);
  set("sardinelead_peer_bytes_sent", {}, m_peer_link.bytes_sent());
  for (std::size_t i = 0;
       i < static_cast<std::size_t>(DatagramRejection::kCount); ++i) {
    const auto refusal = static_cast<DatagramRejection>(i);
    set("sardinelead_peer_datagrams_refused", {{"reason", Name(refusal)}},
        m_peer_link.refused(refusal));
  }
}

}  // namespace sardinelead
