#ifndef SARDINELEAD_SRC_FORWARD_BATCH_H_
#define SARDINELEAD_SRC_FORWARD_BATCH_H_

// Passes received packet batches to a PacketWorker and sends the results.

#include "packet_loop.h"
#include "sardinelead/balancer.h"

namespace sardinelead {

// Parses all packets of one receive call, then decides and sends each.
inline void ForwardBatch(PacketWorker* worker, Ingress ingress,
                         const ReceiveBatch& packets, std::size_t count,
                         TimePoint now, PacketSender* out) {
  static_assert(kBatchSize <= PacketWorker::kMaxBatchSize);
  for (std::size_t i = 0; i < count; ++i) {
    worker->Read(i, ingress, packets.packet(i));
  }
  for (std::size_t i = 0; i < count; ++i) {
    // The sender is checked only for return traffic from targets.
    const Endpoint source =
        ingress == Ingress::kAnswer ? packets.source(i) : Endpoint();
    const PacketOutcome outcome = worker->Decide(i, source, now);
    if (outcome.is_sent) out->Send(outcome.to, outcome.head, outcome.body);
  }
}

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FORWARD_BATCH_H_
