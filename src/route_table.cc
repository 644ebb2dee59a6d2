#include "sardinelead/route_table.h"

#include <algorithm>
#include <numeric>
#include <set>
#include <unordered_set>
#include <utility>

#include "cbor.h"
#include "compress.h"
#include "route_encoding.h"
#include "route_table_reader.h"

namespace sardinelead {
namespace {

using nlohmann::json;

std::string FieldPath(const char* list, std::size_t index, const char* field) {
  return std::string(list) + "[" + std::to_string(index) + "]." + field;
}

Result<void> CheckRoute(const Route& route, std::size_t index,
                        const std::set<std::string>& pools) {
  if (route.timeout_ms == 0) {
    return Fail(ErrorCode::kOutOfRange,
                "route \"" + route.name + "\" has a timeout of 0",
                FieldPath("routes", index, "timeout"));
  }
  std::uint64_t weights = 0;
  for (const PoolShare& share : route.pools) {
    weights += share.weight;
    if (pools.count(share.pool) != 0) continue;
    return Fail(ErrorCode::kUnknownName,
                "route \"" + route.name + "\" names the unknown pool \"" +
                    share.pool + "\"",
                FieldPath("routes", index, "pools"));
  }
  if (weights > 0) return {};
  return Fail(ErrorCode::kOutOfRange,
              "route \"" + route.name + "\" has no pool with a weight",
              FieldPath("routes", index, "pools"));
}

}  // namespace

const char* Name(RequestKind kind) {
  switch (kind) {
    case RequestKind::kIdempotent:
      return "idempotent";
    case RequestKind::kNonIdempotent:
      return "non-idempotent";
    case RequestKind::kDownload:
      return "download";
    case RequestKind::kUpload:
      return "upload";
    case RequestKind::kCount:
      break;
  }
  return "unknown";
}

bool IsRetryable(RequestKind kind) {
  return kind == RequestKind::kIdempotent || kind == RequestKind::kDownload;
}

bool operator==(const Route& a, const Route& b) {
  return a.name == b.name && a.address == b.address && a.kind == b.kind &&
         a.timeout_ms == b.timeout_ms && a.objective_ms == b.objective_ms &&
         a.priority == b.priority && a.pools == b.pools;
}

bool operator==(const Pool& a, const Pool& b) {
  return a.name == b.name && a.health_path == b.health_path &&
         a.max_flows == b.max_flows && a.warm_up == b.warm_up &&
         a.warm_up_rate == b.warm_up_rate;
}

const std::string& Route::SelectPool(std::uint64_t flow_hash) const {
  if (pools.size() == 1) return pools.front().pool;
  const std::uint64_t total = std::accumulate(
      pools.begin(), pools.end(), std::uint64_t{0},
      [](std::uint64_t sum, const PoolShare& s) { return sum + s.weight; });
  std::uint64_t at = flow_hash % total;
  for (const PoolShare& share : pools) {
    if (at < share.weight) return share.pool;
    at -= share.weight;
  }
  return pools.back().pool;
}

void RouteTable::BuildIndex() {
  m_by_address.clear();
  m_by_address.reserve(routes.size());
  for (std::size_t i = 0; i < routes.size(); ++i) {
    m_by_address.emplace(routes[i].address, i);
  }
}

Result<void> RouteTable::Apply(const RouteChange& change) {
  const bool is_next = change.base == version && version < change.version;
  if (!is_next) {
    return Fail(ErrorCode::kVersionConflict,
                "the change is based on version " +
                    std::to_string(change.base.value) + ", not on " +
                    std::to_string(version.value));
  }
  const std::vector<Pool>& next_pools = change.pools ? *change.pools : pools;
  std::set<std::string> names;
  for (const Pool& pool : next_pools) names.insert(pool.name);
  for (std::size_t i = 0; i < change.changed.size(); ++i) {
    auto checked = CheckRoute(change.changed[i], i, names);
    if (!checked) return checked;
  }
  for (const Endpoint& address : change.removed) Remove(address);
  for (const Route& route : change.changed) {
    const auto [found, is_new] =
        m_by_address.try_emplace(route.address, routes.size());
    if (is_new) {
      routes.push_back(route);
    } else {
      routes[found->second] = route;
    }
  }
  if (change.pools) pools = *change.pools;
  idle_timeout = change.idle_timeout;
  version = change.version;
  return {};
}

// The last route takes the place of the removed one.
void RouteTable::Remove(const Endpoint& address) {
  const auto found = m_by_address.find(address);
  if (found == m_by_address.end()) return;
  const std::size_t place = found->second;
  m_by_address.erase(found);
  if (place + 1 != routes.size()) {
    routes[place] = std::move(routes.back());
    m_by_address[routes[place].address] = place;
  }
  routes.pop_back();
}

const Route* RouteTable::Find(const Endpoint& address) const {
  const auto found = m_by_address.find(address);
  return found == m_by_address.end() ? nullptr : &routes[found->second];
}

const Pool* RouteTable::FindPool(const std::string& name) const {
  const auto found =
      std::find_if(pools.begin(), pools.end(),
                   [&](const Pool& pool) { return pool.name == name; });
  return found == pools.end() ? nullptr : &*found;
}

std::set<std::string> RouteTable::PoolNames() const {
  std::set<std::string> names;
  for (const Pool& pool : pools) names.insert(pool.name);
  return names;
}

Result<void> Check(const RouteTable& table) {
  std::set<std::string> pools;
  for (std::size_t i = 0; i < table.pools.size(); ++i) {
    if (pools.insert(table.pools[i].name).second) continue;
    return Fail(ErrorCode::kDuplicate,
                "pool \"" + table.pools[i].name + "\" stands twice",
                FieldPath("pools", i, "name"));
  }
  std::unordered_set<Endpoint, EndpointHash> addresses;
  addresses.reserve(table.routes.size());
  for (std::size_t i = 0; i < table.routes.size(); ++i) {
    const Route& route = table.routes[i];
    if (!addresses.insert(route.address).second) {
      return Fail(ErrorCode::kDuplicate,
                  "address " + route.address.ToString() + " has two routes",
                  FieldPath("routes", i, "address"));
    }
    auto checked = CheckRoute(route, i, pools);
    if (!checked) return checked;
  }
  return {};
}

Bytes EncodeRouteTable(const RouteTable& table) {
  return Compress(ToCbor(json::array(
      {table.version.value, RoutesToJson(table.routes),
       PoolsToJson(table.pools), DurationToJson(table.idle_timeout)})));
}

Result<RouteTable> DecodeRouteTable(ByteView bytes) {
  const auto plain = Decompress(bytes, kMaxTableBytes);
  if (!plain) return tl::unexpected<Error>(plain.error());
  auto read = ReadRouteTable(*plain);
  if (!read) {
    return Fail(ErrorCode::kMalformed, "the route table cannot be read");
  }
  RouteTable& table = *read;
  const auto checked = Check(table);
  if (!checked) return tl::unexpected<Error>(checked.error());
  table.BuildIndex();
  return std::move(table);
}

}  // namespace sardinelead
