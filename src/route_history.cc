#include "sardinelead/route_history.h"

#include <algorithm>
#include <utility>

namespace sardinelead {

void RouteHistory::Add(RouteTable table) {
  if (version().value != 0) {
    auto encoded = std::make_shared<const Bytes>(
        EncodeRouteChange(DifferenceOf(m_table, table)));
    m_change_bytes += encoded->size();
    m_changes.push_back({version(), std::move(encoded)});
  }
  while (m_change_bytes > kMaxHistoryBytes) {
    m_change_bytes -= m_changes.front().encoded->size();
    m_changes.pop_front();
  }
  m_table = std::move(table);
  m_encoded_table.reset();
}

RouteUpdate RouteHistory::UpdateFrom(ConfigVersion held) {
  RouteUpdate update;
  auto change =
      std::find_if(m_changes.begin(), m_changes.end(),
                   [held](const Change& c) { return c.base == held; });
  for (; change != m_changes.end(); ++change) {
    update.changes.push_back(change->encoded);
  }
  if (!update.changes.empty()) return update;
  if (!m_encoded_table) {
    m_encoded_table = std::make_shared<const Bytes>(EncodeRouteTable(m_table));
  }
  update.table = m_encoded_table;
  return update;
}

}  // namespace sardinelead
