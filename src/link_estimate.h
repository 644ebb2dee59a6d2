#ifndef SARDINELEAD_SRC_LINK_ESTIMATE_H_
#define SARDINELEAD_SRC_LINK_ESTIMATE_H_

// Estimates the rate of a link that may be narrower than its capacity, from
// round trips through it.
//
// A queue outside this process raises every round trip. The excess of a round
// trip is the time by which it exceeds the long-term minimum of its peer. Each
// window of several samples is represented by the one with the least excess: a
// single sample may have another cause, and one idle moment restores the
// minimum, so bursts shorter than the window are never taken for a narrow link.
// A window is no evidence if the link was hardly in use, or if packets were
// received at almost its capacity, since round trips then wait in the other
// direction.
//
// If the excess grows, the link carries less than is sent: what was sent
// between the beginnings of two round trips was carried between their ends,
// which gives the rate. If the excess is constant, the cause may be a queue
// that stands or slow peers; the estimate falls by at most kMaxFlatDecreases
// small steps, and after kMaxFlatWindows the excess counts as usual. The
// estimate recovers slowly up to the capacity and is never below a tenth of it.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

// The total of bytes until any recent time, in a ring of fixed size.
class ByteHistory {
 public:
  static constexpr Duration kSlot = std::chrono::milliseconds(10);
  static constexpr std::size_t kSlots = 1024;

  void Add(double bytes, TimePoint now);
  double TotalAt(TimePoint time) const;

 private:
  struct Entry {
    TimePoint at;
    double total = 0;
  };

  std::vector<Entry> m_entries = std::vector<Entry>(kSlots);
  std::size_t m_last = 0;
};

class LinkEstimate {
 public:
  static constexpr Duration kWindow = std::chrono::milliseconds(400);
  // A window without kMinSamples within this time and the last round trip is
  // discarded.
  static constexpr Duration kMaxWindow = std::chrono::seconds(2);
  static constexpr int kMinSamples = 8;
  // A window in which less than this share of the estimate was used is no
  // evidence.
  static constexpr double kMinUse = 0.25;
  // Nor is one in which more than this share of the capacity was received.
  static constexpr double kMaxReceived = 0.85;
  // A smaller difference of the excess between windows is no change.
  static constexpr Duration kMinGrowth = std::chrono::milliseconds(15);
  static constexpr double kMaxDecrease = 0.5;  // Factor of one decrease.
  // Factor of a decrease for a constant excess.
  static constexpr double kFlatDecrease = 0.85;
  static constexpr int kMaxFlatDecreases = 2;
  static constexpr int kMaxFlatWindows = 6;
  // Of the capacity; the lowest estimate.
  static constexpr double kMinShare = 0.1;
  // Of the capacity per second, beginning kIncreaseDelay after evidence.
  static constexpr double kIncreasePerSecond = 0.04;
  static constexpr Duration kIncreaseDelay = std::chrono::seconds(1);
  // While a queue stands, nothing is sent until it has drained, for at most
  // half a window and this time.
  static constexpr Duration kMaxPause = std::chrono::milliseconds(500);
  // A long-term minimum covers one to two times this time.
  static constexpr Duration kLongTerm = std::chrono::minutes(1);
  static constexpr std::size_t kMaxPeers = 4096;

  explicit LinkEstimate(double capacity)
      : m_capacity(capacity), m_rate(capacity) {}

  void OnSent(double bytes, TimePoint now);
  void OnReceived(double bytes, TimePoint now) { m_received.Add(bytes, now); }
  // A round trip to `peer` that ended at `now`. An excess up to `tolerated` is
  // not evidence. Returns for how long nothing should be sent.
  Duration OnRoundTrip(std::uint64_t peer, Duration round_trip,
                       Duration tolerated, TimePoint now);

  double rate() const { return m_rate; }                   // NOLINT
  std::uint64_t decreases() const { return m_decreases; }  // NOLINT

 private:
  struct Sample {
    TimePoint began;
    TimePoint ended;
    Duration excess = Duration::max();
  };
  struct Window {
    TimePoint began;
    int samples = 0;
    Sample least;  // The one with the least excess.
  };
  struct PeerMinimum {
    TimePoint began;
    Duration present = Duration::max();
    Duration previous = Duration::max();
  };

  void Increase(TimePoint now);
  // Returns nullopt for the first round trip of a peer.
  std::optional<Duration> ExcessOf(std::uint64_t peer, Duration round_trip,
                                   TimePoint now);
  Duration Evaluate(const Sample& sample, Duration tolerated, TimePoint now);
  bool IsEvidence(const Sample& sample, TimePoint now) const;
  // Counts a window with a constant excess, and may decrease the rate.
  bool MayBeQueue(Duration excess);
  void Decrease(double rate);
  Duration PauseFor(const Sample& sample, Duration excess, TimePoint now) const;

  double m_capacity;
  double m_rate;
  ByteHistory m_sent;
  ByteHistory m_received;
  Window m_window;
  Sample m_last;  // Of the last complete window.
  TimePoint m_increased_at;
  std::unordered_map<std::uint64_t, PeerMinimum> m_peers;
  // The excess that is not attributed to a queue, as of peers that became slow.
  Duration m_usual_excess{0};
  int m_flat_windows = 0;  // Successive ones with a constant excess.
  std::uint64_t m_decreases = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_LINK_ESTIMATE_H_
