#ifndef SARDINELEAD_SRC_LINK_MODEL_H_
#define SARDINELEAD_SRC_LINK_MODEL_H_

// A model of the link through which this process sends: how far it is ahead of
// what the link has carried, and when the next datagram may follow.
//
// Everything that is sent is charged at the paced rate, which is the estimated
// rate less a reserve for traffic that is not charged. At most `burst_bytes`
// are handed over in advance. Without a capacity, nothing is ever held.
//
// The estimate starts at the capacity and follows a link that becomes narrower;
// see link_estimate.h.
//
// Not thread-safe.

#include <cstddef>
#include <cstdint>

#include "link_estimate.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct LinkModelSettings {
  double capacity = 0;  // Bytes per second; 0 means unknown.
  // IPv4 and UDP headers, which the link carries with each datagram.
  std::size_t overhead_bytes = 28;
  std::size_t burst_bytes = 2600;  // Two full packets.
  // Share of the rate that is left to traffic that is not charged.
  double reserve = 0.03;
};

class LinkModel {
 public:
  // Bytes charged in excess of this time delay nothing further, since the
  // kernel's own flow control keeps them off the link.
  static constexpr Duration kMaxBacklog = std::chrono::milliseconds(500);
  // The excess of round trips, beyond the time of a burst, that is tolerated.
  static constexpr Duration kTolerance = std::chrono::milliseconds(20);

  explicit LinkModel(const LinkModelSettings& settings);

  // Charges a datagram of `bytes` (without `overhead_bytes`). The packet
  // scheduler charges what it releases or lets pass; call this for all other
  // traffic.
  void OnSent(std::size_t bytes, TimePoint now);
  bool CanSend(std::size_t bytes, TimePoint now) const {
    return !IsLimited() || NextSend(bytes, now) <= now;
  }
  // The earliest time, not before `now`, at which a datagram of `bytes` may be
  // sent.
  TimePoint NextSend(std::size_t bytes, TimePoint now) const;
  // The time that the link needs for what it was already given.
  Duration Backlog(TimePoint now) const;
  double BacklogBytes(TimePoint now) const;
  // The time that the link needs for `bytes`, headers included, at the paced
  // rate.
  Duration TimeFor(double bytes) const;
  // A datagram that was received through the link.
  void OnReceived(std::size_t bytes, TimePoint now);
  // A round trip through the link to `peer`, measured at its end. Peers differ
  // in their distance, so each has a minimum of its own.
  void OnRoundTrip(std::uint64_t peer, Duration round_trip, TimePoint now);
  void OnRoundTrip(Duration round_trip, TimePoint now) {
    OnRoundTrip(0, round_trip, now);
  }

  bool IsLimited() const { return m_settings.capacity > 0; }
  double capacity() const { return m_settings.capacity; }  // NOLINT
  // The estimate in bytes per second; 0 if the capacity is unknown.
  double rate() const { return m_estimate.rate(); }                   // NOLINT
  std::size_t overhead() const { return m_settings.overhead_bytes; }  // NOLINT
  std::uint64_t decreases() const { return m_estimate.decreases(); }  // NOLINT

 private:
  LinkModelSettings m_settings;
  LinkEstimate m_estimate;
  TimePoint m_free_at;  // When the link has carried everything charged.
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_LINK_MODEL_H_
