#include "link_estimate.h"

#include <algorithm>

#include "link_units.h"

namespace sardinelead {

void ByteHistory::Add(double bytes, TimePoint now) {
  const Entry last = m_entries[m_last];
  if (now - last.at >= kSlot) m_last = (m_last + 1) % kSlots;
  Entry& entry = m_entries[m_last];
  if (now - last.at >= kSlot) entry.at = now;
  entry.total = last.total + bytes;
}

double ByteHistory::TotalAt(TimePoint time) const {
  std::size_t begin = 0;  // Entries back from the last one.
  std::size_t end = kSlots - 1;
  while (begin < end) {
    const std::size_t middle = (begin + end) / 2;
    const Entry& entry = m_entries[(m_last + kSlots - middle) % kSlots];
    if (entry.at <= time) {
      end = middle;
    } else {
      begin = middle + 1;
    }
  }
  return m_entries[(m_last + kSlots - begin) % kSlots].total;
}

void LinkEstimate::OnSent(double bytes, TimePoint now) {
  Increase(now);
  m_sent.Add(bytes, now);
}

Duration LinkEstimate::OnRoundTrip(std::uint64_t peer, Duration round_trip,
                                   Duration tolerated, TimePoint now) {
  Increase(now);
  const std::optional<Duration> excess = ExcessOf(peer, round_trip, now);
  if (!excess) return Duration(0);
  // Samples that wait in a growing queue arrive less often.
  if (now - m_window.began > kMaxWindow + round_trip) {
    m_window = {now, 0, {}};
    m_last = {};
  }
  ++m_window.samples;
  if (*excess < m_window.least.excess) {
    m_window.least = {now - round_trip, now, *excess};
  }
  if (m_window.samples < kMinSamples || now - m_window.began < kWindow) {
    return Duration(0);
  }
  const Sample least = m_window.least;
  m_window = {now, 0, {}};
  const Duration pause = Evaluate(least, tolerated, now);
  m_last = least;
  return pause;
}

std::optional<Duration> LinkEstimate::ExcessOf(std::uint64_t peer,
                                               Duration round_trip,
                                               TimePoint now) {
  if (m_peers.size() >= kMaxPeers && m_peers.count(peer) == 0) m_peers.clear();
  const auto [found, is_new] = m_peers.try_emplace(peer);
  PeerMinimum& minimum = found->second;
  if (now - minimum.began > kLongTerm) {
    minimum.began = now;
    minimum.previous = minimum.present;
    minimum.present = Duration::max();
  }
  minimum.present = std::min(minimum.present, round_trip);
  if (is_new) return std::nullopt;
  return round_trip - std::min(minimum.present, minimum.previous);
}

// Returns for how long nothing should be sent.
Duration LinkEstimate::Evaluate(const Sample& sample, Duration tolerated,
                                TimePoint now) {
  m_usual_excess = std::min(m_usual_excess, sample.excess);
  const Duration excess = sample.excess - m_usual_excess;
  if (excess <= tolerated) {
    m_flat_windows = 0;
    return Duration(0);
  }
  if (m_last.excess == Duration::max() || !IsEvidence(sample, now)) {
    return Duration(0);
  }
  m_increased_at = now + kIncreaseDelay;
  const Duration grown = sample.excess - m_last.excess;
  // A single step is not yet growth, as a peer may have become slow.
  const bool has_queued = m_last.excess - m_usual_excess > tolerated;
  const Duration between = sample.ended - m_last.ended;
  if (has_queued && grown > kMinGrowth && between >= kWindow / 2) {
    m_flat_windows = 0;
    const double sent =
        m_sent.TotalAt(sample.began) - m_sent.TotalAt(m_last.began);
    Decrease(sent / Seconds(between));
  } else if (grown >= -kMinGrowth && !MayBeQueue(sample.excess)) {
    return Duration(0);
  }
  return PauseFor(sample, excess, now);
}

bool LinkEstimate::IsEvidence(const Sample& sample, TimePoint now) const {
  const TimePoint since = std::min(m_last.ended, sample.began);
  const double seconds = Seconds(now - since);
  const double sent = m_sent.TotalAt(now) - m_sent.TotalAt(since);
  const double received = m_received.TotalAt(now) - m_received.TotalAt(since);
  return sent >= kMinUse * m_rate * seconds &&
         received <= kMaxReceived * m_capacity * seconds;
}

// Assumes a queue outside this process only in the first windows of a constant
// excess.
bool LinkEstimate::MayBeQueue(Duration excess) {
  ++m_flat_windows;
  if (m_flat_windows <= kMaxFlatDecreases) {
    Decrease(m_rate * kFlatDecrease);
    return true;
  }
  if (m_flat_windows >= kMaxFlatWindows) m_usual_excess = excess;
  return false;
}

// What was sent since the round trip began is still in the queue.
Duration LinkEstimate::PauseFor(const Sample& sample, Duration excess,
                                TimePoint now) const {
  const double bytes = m_sent.TotalAt(now) - m_sent.TotalAt(sample.began);
  const Duration queue = TransferTime(bytes, m_rate);
  const Duration window = now - m_last.ended;
  return std::min({queue, excess, window / 2, kMaxPause});
}

void LinkEstimate::Decrease(double rate) {
  const double lowest = std::max(m_rate * kMaxDecrease, m_capacity * kMinShare);
  if (rate >= m_rate) return;
  m_rate = std::max(rate, lowest);
  ++m_decreases;
}

void LinkEstimate::Increase(TimePoint now) {
  if (now <= m_increased_at) return;
  const double gained = m_capacity * kIncreasePerSecond;
  m_rate =
      std::min(m_capacity, m_rate + gained * Seconds(now - m_increased_at));
  m_increased_at = now;
}

}  // namespace sardinelead
