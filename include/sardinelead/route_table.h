#ifndef SARDINELEAD_ROUTE_TABLE_H_
#define SARDINELEAD_ROUTE_TABLE_H_

// Routing configuration for CookieBalancer: public addresses (routes) and the
// pools of targets behind them. A RouteTable is replaced as a whole; Check()
// validates it.

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace sardinelead {

// Whether an unanswered request of the route may be retried.
enum class RequestKind : std::uint8_t {
  kIdempotent,     // May be retried.
  kNonIdempotent,  // Must run at most once.
  kDownload,       // May be retried; has long answers.
};
const char* Name(RequestKind kind);

// A pool and its weight in the distribution of a route's new flows.
struct PoolShare {
  std::string pool;
  std::uint32_t weight = 1;
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

struct Pool {
  std::string name;
  std::string health_path;
  std::uint32_t max_flows = 0;  // Per target; 0 means unlimited.
};

class RouteTable {
 public:
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Pool> pools;
  Duration idle_timeout = std::chrono::seconds(15);  // Per flow.

  // Must be called after `routes` changes and before Find().
  void BuildIndex();
  // Returns nullptr if no route has this address. Costs one hash lookup.
  const Route* Find(const Endpoint& address) const;
  std::set<std::string> PoolNames() const;

 private:
  std::unordered_map<Endpoint, std::size_t, EndpointHash> m_by_address;
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

// Errors: kUnknownName (a route's pool), kDuplicate (address or pool),
// kOutOfRange (zero timeout or no non-zero weight). Each has the field's path.
Result<void> Check(const RouteTable& table);

// The encoding is compressed CBOR. Decoding fails with kMalformed if the bytes
// are not a valid encoding, or with the error of Decompress() or Check().
Bytes EncodeRouteTable(const RouteTable& table);
Result<RouteTable> DecodeRouteTable(ByteView bytes);

}  // namespace sardinelead

#endif  // SARDINELEAD_ROUTE_TABLE_H_
