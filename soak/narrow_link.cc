#include "narrow_link.h"

#include <algorithm>
#include <chrono>

#include "link_units.h"

namespace sardinelead::soak {
namespace {

constexpr Duration kMargin = std::chrono::milliseconds(100);
constexpr std::size_t kDatagramHeaders = 28;  // IPv4 and UDP.
constexpr std::size_t kPacketHeaders = 40;    // Of the packet and its target.

Duration DatagramTime(std::size_t bytes, double bytes_per_second) {
  return TransferTime(static_cast<double>(bytes + kDatagramHeaders),
                      bytes_per_second);
}

}  // namespace

std::optional<TimePoint> NarrowLink::Pass(std::size_t bytes,
                                          double bytes_per_second,
                                          TimePoint now) {
  if (bytes_per_second <= 0) return now;
  const std::lock_guard<std::mutex> lock(m_mutex);
  const TimePoint begin = std::max(m_free_at, now);
  const double waiting = Seconds(begin - now) * bytes_per_second;
  if (waiting > static_cast<double>(kDepth)) return std::nullopt;
  m_free_at = begin + DatagramTime(bytes, bytes_per_second);
  return m_free_at;
}

Duration NarrowLink::LongestWait(double bytes_per_second) {
  const PacketSchedulerSettings scheduler;
  const auto share = static_cast<Duration::rep>(scheduler.overdue_divisor);
  return scheduler.overdue_after +
         share *
             DatagramTime(kLargeRequest + kPacketHeaders, bytes_per_second) +
         DatagramTime(LinkModelSettings{}.burst_bytes, bytes_per_second) +
         kMargin;
}

}  // namespace sardinelead::soak
