#ifndef SARDINELEAD_BENCH_LINK_TRACE_H_
#define SARDINELEAD_BENCH_LINK_TRACE_H_

// Plays one trace of requests through a link of 1.5 Mbit/s in simulated time:
// bursts of uploads, several at once, among short requests of three priorities.
// Callers open a flow, then send their packets at once, and retransmit what
// was not carried yet, as the callers of entry VMs do. The order in which
// waiting packets are sent is a parameter.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "link_model.h"
#include "scheduled_packet.h"

namespace sardinelead::bench {

// Waits are counted apart for urgent packets, short requests of priorities 0 to
// 2, and uploads, which have priority 2.
constexpr std::size_t kTraceKinds = 5;
constexpr double kTraceCapacity = 187'500;

// An order of the packets that wait for the link.
class LinkOrder {
 public:
  using OnSent = std::function<void(const ScheduledPacket&, Duration waited)>;

  virtual ~LinkOrder() = default;
  // Returns false if the packet was dropped for lack of room.
  virtual bool Add(const ScheduledPacket& packet, std::size_t size,
                   TimePoint now) = 0;
  virtual void Release(TimePoint now) = 0;
};
using MakeLinkOrder = std::function<std::unique_ptr<LinkOrder>(
    LinkModel* link, LinkOrder::OnSent on_sent)>;

struct TraceSettings {
  std::uint64_t seed = 1;
  int uploads_per_burst = 8;
  int callers = 4;  // Of the uploads, spread over two services.
  Duration burst_interval = std::chrono::seconds(2);
  Duration short_interval = std::chrono::milliseconds(33);
  Duration duration = std::chrono::seconds(40);
};

struct TraceResult {
  std::array<std::vector<double>, kTraceKinds> waits_ms;  // First copies only.
  int uploads = 0;
  int uploads_in_time = 0;  // Within 800 ms.
  int uploads_finished = 0;
  int shorts = 0;
  int shorts_in_time = 0;  // Within 150 ms.
  std::uint64_t copies_sent = 0;
  std::uint64_t lost = 0;  // Packets not carried when their callers gave up.
};

TraceResult PlayTrace(const TraceSettings& settings, const MakeLinkOrder& make);

}  // namespace sardinelead::bench

#endif  // SARDINELEAD_BENCH_LINK_TRACE_H_
