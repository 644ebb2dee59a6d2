#include "link_model.h"

#include <algorithm>

namespace sardinelead {

namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

LinkModel::LinkModel(const LinkModelSettings& settings)
    : m_settings(settings), m_rate(settings.capacity) {}

Duration LinkModel::TimeFor(double bytes) const {
  if (!IsLimited()) return Duration(0);
  const double paced = m_rate * (1 - m_settings.reserve);
  return Duration(static_cast<Duration::rep>(bytes / paced * 1e9));
}

void LinkModel::OnSent(std::size_t bytes, TimePoint now) {
  if (!IsLimited()) return;
  Increase(now);
  const auto charged = static_cast<double>(bytes + m_settings.overhead_bytes);
  m_window.bytes += charged;
  m_free_at = std::min(std::max(m_free_at, now) + TimeFor(charged),
                       std::max(m_free_at, now + kMaxBacklog));
}

TimePoint LinkModel::NextSend(std::size_t bytes, TimePoint now) const {
  if (!IsLimited()) return now;
  const std::size_t charged = bytes + m_settings.overhead_bytes;
  // A datagram larger than the burst waits for an idle link.
  const std::size_t ahead =
      m_settings.burst_bytes - std::min(charged, m_settings.burst_bytes);
  return std::max(now, m_free_at - TimeFor(static_cast<double>(ahead)));
}

Duration LinkModel::Backlog(TimePoint now) const {
  return IsLimited() ? std::max(m_free_at - now, Duration(0)) : Duration(0);
}

double LinkModel::BacklogBytes(TimePoint now) const {
  return Seconds(Backlog(now)) * m_rate * (1 - m_settings.reserve);
}

void LinkModel::OnRoundTrip(std::uint64_t peer, Duration round_trip,
                            TimePoint now) {
  if (!IsLimited()) return;
  Increase(now);
  const Duration excess = ExcessOf(peer, round_trip, now);
  if (now - m_window.began > kMaxWindow) m_window = {now, 0, Duration::max()};
  ++m_window.samples;
  m_window.min_excess = std::min(m_window.min_excess, excess);
  if (m_window.samples < kMinSamples || now - m_window.began < kWindow) return;
  Evaluate(m_window, now);
  m_window = {now, 0, Duration::max()};
}

Duration LinkModel::ExcessOf(std::uint64_t peer, Duration round_trip,
                             TimePoint now) {
  if (m_peers.size() >= kMaxPeers && m_peers.count(peer) == 0) m_peers.clear();
  PeerMinimum& minimum = m_peers[peer];
  if (now - minimum.began > kLongTerm) {
    minimum.began = now;
    minimum.previous = minimum.present;
    minimum.present = Duration::max();
  }
  minimum.present = std::min(minimum.present, round_trip);
  return round_trip - std::min(minimum.present, minimum.previous);
}

void LinkModel::Evaluate(const Window& window, TimePoint now) {
  m_usual_excess = std::min(m_usual_excess, window.min_excess);
  const Duration excess = window.min_excess - m_usual_excess;
  const auto burst = static_cast<double>(m_settings.burst_bytes);
  const bool is_used =
      window.bytes >= kMinUse * m_rate * Seconds(now - window.began);
  if (!is_used || excess <= kTolerance + TimeFor(burst)) {
    m_flat_windows = m_unconfirmed = 0;
    m_last_excess = Duration(0);
    return;
  }
  const bool is_falling = excess < m_last_excess - kTolerance / 2;
  const bool is_rising =
      m_last_excess > Duration(0) && excess > m_last_excess + kTolerance;
  m_last_excess = excess;
  if (is_falling) {
    // The queue drains; an increase would keep it standing.
    m_increased_at = now + kIncreaseDelay;
  } else if (is_rising || m_unconfirmed < kUnconfirmedDecreases) {
    m_unconfirmed = is_rising ? 0 : m_unconfirmed + 1;
    m_flat_windows = 0;
    Decrease(now);
  } else if (++m_flat_windows >= kMaxFlatWindows) {
    m_usual_excess = window.min_excess;
  }
}

void LinkModel::Decrease(TimePoint now) {
  const double before = m_rate;
  m_rate = std::max(m_rate * kDecrease, m_settings.capacity * kMinShare);
  m_increased_at = now + kIncreaseDelay;
  ++m_decreases;
  const double scale = before / m_rate;
  m_free_at = now + Duration(static_cast<Duration::rep>(
                        static_cast<double>(Backlog(now).count()) * scale));
}

void LinkModel::Increase(TimePoint now) {
  if (now <= m_increased_at) return;
  const double gained = m_settings.capacity * kIncreasePerSecond;
  m_rate = std::min(m_settings.capacity,
                    m_rate + gained * Seconds(now - m_increased_at));
  m_increased_at = now;
}

}  // namespace sardinelead
