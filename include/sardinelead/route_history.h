#ifndef SARDINELEAD_ROUTE_HISTORY_H_
#define SARDINELEAD_ROUTE_HISTORY_H_

// The routes of a control VM and their latest changes, as subscribers need
// them.
//
// A subscriber whose version is in the history gets the changes since then;
// others get the whole table, which is encoded only when one asks for it.
//
// Not thread-safe. Memory: the table, its encoding once requested, and at most
// kMaxHistoryBytes of changes.

#include <cstddef>
#include <deque>
#include <memory>

#include "sardinelead/route_table.h"
#include "sardinelead/target_feed.h"

namespace sardinelead {

// All kept changes fit into one message between processes.
constexpr std::size_t kMaxHistoryBytes = 200'000;

class RouteHistory {
 public:
  // `table` must be newer than the present one and have an index.
  void Add(RouteTable table);
  // 0 before the first table.
  ConfigVersion version() const { return m_table.version; }  // NOLINT
  const RouteTable& table() const { return m_table; }        // NOLINT
  // What a subscriber with version `held` lacks. `held` must be older than
  // version(); 0 gives the whole table.
  RouteUpdate UpdateFrom(ConfigVersion held);

 private:
  struct Change {
    ConfigVersion base;
    std::shared_ptr<const Bytes> encoded;
  };

  RouteTable m_table;
  std::shared_ptr<const Bytes> m_encoded_table;  // Empty until requested.
  // Each change leads to the base of the next one, the last one to m_table.
  std::deque<Change> m_changes;
  std::size_t m_change_bytes = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_ROUTE_HISTORY_H_
