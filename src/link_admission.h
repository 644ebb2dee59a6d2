#ifndef SARDINELEAD_SRC_LINK_ADMISSION_H_
#define SARDINELEAD_SRC_LINK_ADMISSION_H_

// Decides whether this VM's link can carry a new flow's request in time.
//
// A flow is refused only if the link has a backlog, and the expected wait plus
// the time to transfer a request of its route exceeds the route's objective.
// The wait grows from rank to rank, so the lowest rank is refused first. The
// caller of a refused flow retries at once from another port and so most likely
// through another VM. That helps only if this link's backlog is the cause: an
// objective that a request could hardly meet on an idle link refuses nothing
// until the wait exceeds the transfer.
//
// Requests follow one round trip after their opening packets, so a burst of
// opening packets would be admitted before the first request reaches the queue.
// An admitted request therefore counts towards the wait of its rank and of
// lower ones until it must have arrived.
//
//   if (!admission.Admits(route, scheduler.ExpectedWait(route.priority),
//                         has_backlog, now)) {
//     // Reset the flow.
//   }
//   admission.OnRequest(route, bytes);  // For each request that was answered.
//
// Performs no I/O and reads no clock. Not thread-safe. Admits() costs one hash
// lookup and one pass over the requests that are expected. Memory: about 100
// bytes per route.

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

#include "sardinelead/route_table.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct LinkAdmissionSettings {
  // Assumed bytes of a request before one of its route was seen, by
  // RequestKind.
  std::array<double, static_cast<std::size_t>(RequestKind::kCount)> start_bytes{
      600, 600, 400, 20'000};
  double average_weight = 0.125;  // Of one request in the moving average.
  // A request that was not received this long after its flow was admitted is no
  // longer expected. Covers a few round trips to the caller.
  Duration arrival_time = std::chrono::milliseconds(50);
};

class LinkAdmission {
 public:
  struct Hooks {
    // The estimated capacity of the link; 0 if unknown.
    std::function<double()> bytes_per_second;
  };

  LinkAdmission(const LinkAdmissionSettings& settings, Hooks hooks);

  // Whether to admit a new flow of the route. `expected_wait` is that of the
  // route's priority. If it is admitted, its request is expected from now on.
  bool Admits(const Route& route, Duration expected_wait, bool link_has_backlog,
              TimePoint now);
  // A request of the route had this many bytes.
  void OnRequest(const Route& route, std::size_t bytes);
  // The moving average of the bytes of a request.
  double ExpectedBytes(const Route& route) const;

 private:
  struct ExpectedRequest {
    TimePoint admitted_at;
    std::uint32_t priority = 0;
    double bytes = 0;
  };

  double BytesAhead(std::uint32_t priority, TimePoint now);

  LinkAdmissionSettings m_settings;
  Hooks m_hooks;
  std::unordered_map<Endpoint, double, EndpointHash> m_average_bytes;
  std::deque<ExpectedRequest> m_expected;  // The oldest is first.
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_LINK_ADMISSION_H_
