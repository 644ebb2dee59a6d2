#ifndef SARDINELEAD_SRC_PACKET_COUNTS_H_
#define SARDINELEAD_SRC_PACKET_COUNTS_H_

// Aggregates packet counts and exports them as metrics.

#include "sardinelead/balancer.h"
#include "sardinelead/metrics.h"

namespace sardinelead {

void AddCounts(const PacketCounts& counts, PacketCounts* sum);
void DescribeCounts(Metrics* metrics);
// Adds the difference between `before` and `after` to the metrics.
void AddToMetrics(const PacketCounts& before, const PacketCounts& after,
                  Metrics* metrics);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_PACKET_COUNTS_H_
