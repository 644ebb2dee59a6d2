#include "evacuation_check.h"

#include <algorithm>

namespace sardinelead::soak {
namespace {

// Time for a balancer that starts to reach each control process.
constexpr Duration kStartTime = std::chrono::seconds(2);

}  // namespace

void EvacuationCheck::BeginFault(std::uint32_t edge, TimePoint now) {
  Faults& faults = m_faults[edge];
  if (faults.active++ == 0) faults.spans.emplace_back(now, TimePoint::max());
}

void EvacuationCheck::EndFault(std::uint32_t edge, TimePoint now) {
  Faults& faults = m_faults[edge];
  if (--faults.active == 0) faults.spans.back().second = now;
}

void EvacuationCheck::OnAcknowledged(const std::string& data_centre,
                                     TimePoint now) {
  m_acknowledged_at.try_emplace(data_centre, now);
}

void EvacuationCheck::OnFinishing(const std::string& data_centre) {
  m_acknowledged_at.erase(data_centre);
}

bool EvacuationCheck::IsForbidden(const std::string& data_centre,
                                  std::uint32_t edge,
                                  TimePoint arrived_at) const {
  const auto order = m_acknowledged_at.find(data_centre);
  if (order == m_acknowledged_at.end()) return false;
  // The beginning of the time in which the balancer can learn the order. What
  // an earlier process of the balancer learned does not count.
  TimePoint begin = order->second;
  TimePoint started;
  const auto restart = m_restarted_at.find(edge);
  if (restart != m_restarted_at.end()) {
    started = restart->second;
    begin = std::max(begin, started - kEvacuationLimit);
  }
  const auto faults = m_faults.find(edge);
  if (faults == m_faults.end()) return arrived_at - begin > kEvacuationLimit;
  for (const auto& [fault_begin, fault_end] : faults->second.spans) {
    if (fault_end < begin) continue;
    const bool was_learned = fault_begin - begin > kEvacuationLimit &&
                             fault_begin - started > kStartTime;
    if (was_learned) break;
    if (fault_begin >= arrived_at) break;
    if (fault_end >= arrived_at) return false;
    begin = fault_end;
  }
  return arrived_at - begin > kEvacuationLimit;
}

}  // namespace sardinelead::soak
