#ifndef SARDINELEAD_ROUTE_TABLE_H_
#define SARDINELEAD_ROUTE_TABLE_H_

// Where new flows go, as a balancer that names targets by cookies needs it:
// public addresses (routes) and the pools of targets behind them. A RouteTable
// is a value that is replaced whole; Check() says whether it may be used.

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace sardinelead {

// What may be done with a request of the route that got no answer.
enum class RequestKind : std::uint8_t {
  kIdempotent,     // May run again.
  kNonIdempotent,  // Runs once at most.
  kDownload,       // May run again; its answers are long.
};
const char* Name(RequestKind kind);

// A pool's share of a route's new flows, relative to the other shares.
struct PoolShare {
  std::string pool;
  std::uint32_t weight = 1;
};

struct Route {
  std::string name;
  Endpoint address;
  RequestKind kind = RequestKind::kIdempotent;
  std::uint32_t timeout_ms = 1;    // A caller gives up after this long.
  std::uint32_t objective_ms = 0;  // Answers should come within this long.
  std::uint32_t priority = 0;      // 0 is the highest.
  std::vector<PoolShare> pools;    // Not empty.

  // The pool of a flow: the same for every packet with this hash.
  const std::string& PoolOf(std::uint64_t flow_hash) const;
};

struct Pool {
  std::string name;
  std::string health_path;
  std::uint32_t max_flows = 0;  // A target's; 0 where not limited.
};

class RouteTable {
 public:
  ConfigVersion version;
  std::vector<Route> routes;
  std::vector<Pool> pools;
  Duration idle_timeout = std::chrono::seconds(15);  // Of a flow.

  // Must be called after `routes` changed and before Find().
  void BuildIndex();
  // nullptr where no route has this address. Cost: one hash lookup.
  const Route* Find(const Endpoint& address) const;

 private:
  std::unordered_map<Endpoint, std::size_t, EndpointHash> m_by_address;
};
using RouteTablePtr = std::shared_ptr<const RouteTable>;

// Errors: kUnknownName (a route's pool), kDuplicate (address or pool),
// kOutOfRange (timeout or weights of 0), with the path of the field.
Result<void> Check(const RouteTable& table);

// Compressed; kMalformed where the bytes are no table or fail Check().
Bytes EncodeRouteTable(const RouteTable& table);
Result<RouteTable> DecodeRouteTable(ByteView bytes);

}  // namespace sardinelead

#endif  // SARDINELEAD_ROUTE_TABLE_H_
