#ifndef SARDINELEAD_SRC_LINK_MODEL_H_
#define SARDINELEAD_SRC_LINK_MODEL_H_

// A model of the link through which this process sends: how far it is ahead of
// what the link has carried, and when the next datagram may follow.
//
// Everything that is sent is charged at the paced rate, which is the estimated
// rate less a reserve for traffic that nobody charges. At most `burst_bytes`
// are handed over in advance. Without a capacity, nothing is ever held.
//
// The estimate starts at the capacity and follows a link that becomes narrower.
// A queue outside this process raises every round trip. The excess of a round
// trip is what it exceeds the long-term minimum of its peer by; the model
// considers the minimum excess over a window. One idle moment in the window
// restores it, hence bursts shorter than the window are never taken for a
// narrow link. A decrease needs several samples and a link that is in use. A
// constant excess, as from slow peers or a longer path, lowers the estimate by
// at most kUnconfirmedDecreases steps, since a queue of our own would grow;
// after kMaxFlatWindows it counts as usual.
//
// Not thread-safe.

#include <cstddef>
#include <cstdint>
#include <unordered_map>

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
  static constexpr Duration kWindow = std::chrono::milliseconds(400);
  // A window without kMinSamples within this time is discarded.
  static constexpr Duration kMaxWindow = std::chrono::seconds(2);
  static constexpr int kMinSamples = 4;
  // A window in which less of the rate was used is no evidence.
  static constexpr double kMinUse = 0.25;
  // The excess, beyond the time of a burst, that is tolerated.
  static constexpr Duration kTolerance = std::chrono::milliseconds(20);
  static constexpr double kDecrease = 0.75;
  static constexpr int kUnconfirmedDecreases = 2;
  static constexpr int kMaxFlatWindows = 6;
  static constexpr double kMinShare = 0.1;
  // Of the capacity per second, beginning kIncreaseDelay after a decrease.
  static constexpr double kIncreasePerSecond = 0.04;
  static constexpr Duration kIncreaseDelay = std::chrono::seconds(1);
  // A long-term minimum covers one to two times this time.
  static constexpr Duration kLongTerm = std::chrono::minutes(1);
  static constexpr std::size_t kMaxPeers = 64;

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
  // A round trip through the link to `peer`, measured at its end. Peers differ
  // in their distance, hence each has a minimum of its own.
  void OnRoundTrip(std::uint64_t peer, Duration round_trip, TimePoint now);
  void OnRoundTrip(Duration round_trip, TimePoint now) {
    OnRoundTrip(0, round_trip, now);
  }

  bool IsLimited() const { return m_settings.capacity > 0; }
  double capacity() const { return m_settings.capacity; }  // NOLINT
  // The estimate in bytes per second; 0 if the capacity is unknown.
  double rate() const { return m_rate; }                              // NOLINT
  std::size_t overhead() const { return m_settings.overhead_bytes; }  // NOLINT
  std::uint64_t decreases() const { return m_decreases; }             // NOLINT

 private:
  struct Window {
    TimePoint began;
    int samples = 0;
    Duration min_excess = Duration::max();
    double bytes = 0;
  };
  struct PeerMinimum {
    TimePoint began;
    Duration present = Duration::max();
    Duration previous = Duration::max();
  };

  void Increase(TimePoint now);
  Duration ExcessOf(std::uint64_t peer, Duration round_trip, TimePoint now);
  void Evaluate(const Window& window, TimePoint now);
  void Decrease(TimePoint now);

  LinkModelSettings m_settings;
  double m_rate;
  TimePoint m_free_at;  // When the link has carried everything charged.
  TimePoint m_increased_at;
  Window m_window;
  std::unordered_map<std::uint64_t, PeerMinimum> m_peers;
  Duration m_usual_excess{0};
  Duration m_last_excess{0};  // Of the last window that showed a queue, or 0.
  int m_flat_windows = 0;
  int m_unconfirmed = 0;
  std::uint64_t m_decreases = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_LINK_MODEL_H_
