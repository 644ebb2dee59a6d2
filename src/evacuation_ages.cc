#include "evacuation_ages.h"

#include <utility>

namespace sardinelead {

void EvacuationAges::Reset(const EvacuationTable& table,
                           std::uint64_t log_index) {
  m_table = table;
  m_log_index = log_index;
  m_changed_at.clear();
}

std::vector<std::string> EvacuationAges::Observe(const EvacuationTable& table,
                                                 std::uint64_t log_index,
                                                 TimePoint now) {
  const bool is_next = log_index == m_log_index + 1;
  m_log_index = log_index;
  std::vector<std::string> changed;
  if (table.version() == m_table.version()) return changed;
  for (const auto& [name, evacuation] : table.entries()) {
    if (m_table.ChangedAt(name) == evacuation.changed_at) continue;
    changed.push_back(name);
    if (m_table.IsEvacuated(name) == evacuation.is_active) continue;
    m_changed_at.erase(name);
    if (is_next) m_changed_at.emplace(name, now);
  }
  m_table = table;
  return changed;
}

std::optional<Duration> EvacuationAges::AgeOf(const std::string& data_centre,
                                              TimePoint now) const {
  const auto found = m_changed_at.find(data_centre);
  if (found == m_changed_at.end()) return std::nullopt;
  return now - found->second;
}

}  // namespace sardinelead
