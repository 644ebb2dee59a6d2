#ifndef SARDINELEAD_ROUTE_TABLE_H_
#define SARDINELEAD_ROUTE_TABLE_H_

// Routing configuration for CookieBalancer: public addresses (routes) and the
// pools of targets behind them. Check() validates a RouteTable. A newer version
// replaces it as a whole or, at the cost of what differs, by a RouteChange:
//
//   const RouteChange change = DifferenceOf(base, next);
//   auto applied = table.Apply(change);  // `table` equals `base` before.

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace sardinelead {

// The kind of a route's requests. Encoded by number, so new kinds go last.
enum class RequestKind : std::uint8_t {
  kIdempotent,     // May be retried.
  kNonIdempotent,  // Must run at most once.
  kDownload,       // May be retried; has long answers.
  kUpload,         // Must run at most once; has long requests.
  kCount,
};
const char* Name(RequestKind kind);
// Whether a request that may have run can be sent again.
bool IsRetryable(RequestKind kind);

// A pool and its weight in the distribution of a route's new flows.
struct PoolShare {
  std::string pool;
  std::uint32_t weight = 1;

  friend bool operator==(const PoolShare& a, const PoolShare& b) {
    return a.weight == b.weight && a.pool == b.pool;
  }
};

struct Route {
  std::string name;
  Endpoint address;
  RequestKind kind = RequestKind::kIdempotent;
  std::uint32_t timeout_ms = 1;    // Timeout of the callers.
  std::uint32_t objective_ms = 0;  // Response time objective.
  std::uint32_t priority = 0;      // 0 is the highest.
  std::vector<PoolShare> pools;    // Not empty.

  // Selects the pool of a flow. The same hash always gives the same pool.
  const std::string& SelectPool(std::uint64_t flow_hash) const;
};
bool operator==(const Route& a, const Route& b);

struct Pool {
  std::string name;
  std::string health_path;
  std::uint32_t max_flows = 0;  // Per target; 0 means unlimited.
  // Time after a target's start in which it is warming up; 0 if the pool states
  // none. In whole milliseconds.
  Duration warm_up{0};
  // New flows a second that a target can handle while it is warming up. In
  // whole thousandths.
  double warm_up_rate = 0;
};
bool operator==(const Pool& a, const Pool& b);

// What differs between two versions of a route table.
struct RouteChange {
  ConfigVersion base;
  ConfigVersion version;          // Of the table after the change.
  std::vector<Endpoint> removed;  // Addresses of routes.
  std::vector<Route> changed;     // New routes, or new contents of routes.
  // All pools after the change; empty if they are the same.
  std::optional<std::vector<Pool>> pools;
  Duration idle_timeout{0};  // After the change.
};

class RouteTable {
 public:
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Pool> pools;
  Duration idle_timeout = std::chrono::seconds(15);  // Per flow.

  // Must be called after `routes` changes and before Find().
  void BuildIndex();
  // Costs as much as what changes. Routes may change their places in `routes`.
  // Errors, after which the table is as it was: kVersionConflict if the change
  // is based on another version, or that of Check() for a changed route.
  Result<void> Apply(const RouteChange& change);
  // Returns nullptr if no route has this address. Costs one hash lookup.
  const Route* Find(const Endpoint& address) const;
  // Returns nullptr if no pool has this name. Costs one pass over the pools.
  const Pool* FindPool(const std::string& name) const;
  std::set<std::string> PoolNames() const;

 private:
  void Remove(const Endpoint& address);

  std::unordered_map<Endpoint, std::size_t, EndpointHash> m_by_address;
};

// Errors: kUnknownName (a route's pool), kDuplicate (address or pool),
// kOutOfRange (zero timeout or no non-zero weight). Each has the field's path.
Result<void> Check(const RouteTable& table);

// The encoding is compressed CBOR. Decoding fails with kMalformed if the bytes
// are not a valid encoding, or with the error of Decompress() or Check().
Bytes EncodeRouteTable(const RouteTable& table);
Result<RouteTable> DecodeRouteTable(ByteView bytes);

// Both tables need an index. Costs one lookup for each of their routes.
RouteChange DifferenceOf(const RouteTable& base, const RouteTable& next);
Bytes EncodeRouteChange(const RouteChange& change);
// Fails like DecodeRouteTable(). The routes are checked by RouteTable::Apply().
Result<RouteChange> DecodeRouteChange(ByteView bytes);

}  // namespace sardinelead

#endif  // SARDINELEAD_ROUTE_TABLE_H_
