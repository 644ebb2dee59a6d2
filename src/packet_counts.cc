#include "packet_counts.h"

namespace sardinelead {
namespace {

constexpr const char* kReceived = "sardinelead_packets_received_total";
constexpr const char* kSent = "sardinelead_packets_sent_total";
constexpr const char* kDropped = "sardinelead_packets_dropped_total";

}  // namespace

void AddCounts(const PacketCounts& counts, PacketCounts* sum) {
  for (std::size_t i = 0; i < counts.received.size(); ++i) {
    sum->received[i] += counts.received[i];
  }
  for (std::size_t i = 0; i < counts.dropped.size(); ++i) {
    sum->dropped[i] += counts.dropped[i];
  }
  sum->to_targets += counts.to_targets;
  sum->to_callers += counts.to_callers;
  sum->relayed += counts.relayed;
  sum->resets += counts.resets;
}

void DescribeCounts(Metrics* metrics) {
  metrics->Describe(kReceived, "Datagrams taken, by port.");
  metrics->Describe(kSent, "Packets sent on, by whom they went to.");
  metrics->Describe(kDropped, "Packets not sent on, by reason.");
  metrics->Describe("sardinelead_flows_held", "Flow records, copies included.");
  metrics->Describe("sardinelead_flow_bytes", "Memory of the flow records.");
  metrics->Describe("sardinelead_config_version",
                    "Version of the configuration in force.");
}

void AddToMetrics(const PacketCounts& before, const PacketCounts& after,
                  Metrics* metrics) {
  for (std::size_t i = 0; i < after.received.size(); ++i) {
    metrics->FindCounter(kReceived, {{"port", Name(static_cast<Ingress>(i))}})
        ->Add(after.received[i] - before.received[i]);
  }
  for (std::size_t i = 0; i < after.dropped.size(); ++i) {
    metrics
        ->FindCounter(kDropped, {{"reason", Name(static_cast<DropReason>(i))}})
        ->Add(after.dropped[i] - before.dropped[i]);
  }
  const auto add_sent = [metrics](const char* to, std::uint64_t count) {
    metrics->FindCounter(kSent, {{"to", to}})->Add(count);
  };
  add_sent("target", after.to_targets - before.to_targets);
  add_sent("caller", after.to_callers - before.to_callers);
  add_sent("balancer", after.relayed - before.relayed);
  add_sent("caller-reset", after.resets - before.resets);
}

}  // namespace sardinelead
