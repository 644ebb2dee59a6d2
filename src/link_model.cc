#include "link_model.h"

#include <algorithm>

#include "link_units.h"

namespace sardinelead {

LinkModel::LinkModel(const LinkModelSettings& settings)
    : m_settings(settings), m_estimate(settings.capacity) {}

Duration LinkModel::TimeFor(double bytes) const {
  if (!IsLimited()) return Duration(0);
  return TransferTime(bytes, rate() * (1 - m_settings.reserve));
}

void LinkModel::OnSent(std::size_t bytes, TimePoint now) {
  if (!IsLimited()) return;
  const auto charged = static_cast<double>(bytes + m_settings.overhead_bytes);
  m_estimate.OnSent(charged, now);
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
  return Seconds(Backlog(now)) * rate() * (1 - m_settings.reserve);
}

void LinkModel::OnReceived(std::size_t bytes, TimePoint now) {
  if (!IsLimited()) return;
  m_estimate.OnReceived(static_cast<double>(bytes + m_settings.overhead_bytes),
                        now);
}

void LinkModel::OnRoundTrip(std::uint64_t peer, Duration round_trip,
                            TimePoint now) {
  if (!IsLimited()) return;
  const auto burst = static_cast<double>(m_settings.burst_bytes);
  const Duration pause = m_estimate.OnRoundTrip(
      peer, round_trip, kTolerance + TimeFor(burst), now);
  m_free_at = std::max(m_free_at, now + pause);
}

}  // namespace sardinelead
