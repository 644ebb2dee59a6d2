#include "sardinelead/evacuation.h"

#include <algorithm>

namespace sardinelead {

bool EvacuationTable::IsEvacuated(const std::string& data_centre) const {
  const auto found = m_entries.find(data_centre);
  return found != m_entries.end() && found->second.is_active;
}

std::vector<std::string> EvacuationTable::ActiveNames() const {
  std::vector<std::string> names;
  for (const auto& [data_centre, evacuation] : m_entries) {
    if (evacuation.is_active) names.push_back(data_centre);
  }
  return names;
}

std::uint64_t EvacuationTable::ChangedAt(const std::string& data_centre) const {
  const auto found = m_entries.find(data_centre);
  return found == m_entries.end() ? 0 : found->second.changed_at;
}

bool EvacuationTable::Set(const std::string& data_centre, bool is_active,
                          std::uint64_t log_index) {
  const auto found = m_entries.find(data_centre);
  Evacuation evacuation;
  if (found != m_entries.end()) evacuation = found->second;
  if (evacuation.is_active != is_active) evacuation.switched_at = log_index;
  evacuation.is_active = is_active;
  evacuation.changed_at = log_index;
  return Restore(data_centre, evacuation);
}

bool EvacuationTable::Restore(const std::string& data_centre,
                              const Evacuation& evacuation) {
  const bool is_known = m_entries.count(data_centre) != 0;
  const bool is_full = !is_known && m_entries.size() >= kMaxDataCentres;
  if (is_full || data_centre.empty()) return false;
  if (data_centre.size() > kMaxNameBytes) return false;
  m_entries[data_centre] = evacuation;
  m_version = std::max(m_version, evacuation.changed_at);
  return true;
}

bool operator==(const EvacuationTable& a, const EvacuationTable& b) {
  const auto equals = [](const auto& x, const auto& y) {
    return x.first == y.first && x.second.is_active == y.second.is_active &&
           x.second.changed_at == y.second.changed_at &&
           x.second.switched_at == y.second.switched_at;
  };
  return std::equal(a.entries().begin(), a.entries().end(), b.entries().begin(),
                    b.entries().end(), equals);
}

}  // namespace sardinelead
