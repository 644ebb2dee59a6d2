// The difference between two route tables, and its encoding: compressed CBOR,
//
//   [base, [removed address...], 1 if the pools differ, table]
//
// where `table` is the CBOR form of a table that holds only the changed routes
// and, if they differ, the pools. Using the form of a table keeps one reader
// for both.

#include <utility>

#include "cbor.h"
#include "compress.h"
#include "route_encoding.h"
#include "route_table_reader.h"
#include "sardinelead/route_table.h"

namespace sardinelead {
namespace {

using nlohmann::json;

tl::unexpected<Error> UnreadableError() {
  return Fail(ErrorCode::kMalformed, "the change of routes cannot be read");
}

}  // namespace

RouteChange DifferenceOf(const RouteTable& base, const RouteTable& next) {
  RouteChange change;
  change.base = base.version;
  change.version = next.version;
  change.idle_timeout = next.idle_timeout;
  for (const Route& route : base.routes) {
    if (next.Find(route.address) != nullptr) continue;
    change.removed.push_back(route.address);
  }
  for (const Route& route : next.routes) {
    const Route* known = base.Find(route.address);
    if (known != nullptr && *known == route) continue;
    change.changed.push_back(route);
  }
  if (!(base.pools == next.pools)) change.pools = next.pools;
  return change;
}

Bytes EncodeRouteChange(const RouteChange& change) {
  json removed = json::array();
  for (const Endpoint& address : change.removed) {
    removed.push_back(address.ToString());
  }
  const bool has_pools = change.pools.has_value();
  json table =
      json::array({change.version.value, RoutesToJson(change.changed),
                   PoolsToJson(has_pools ? *change.pools : std::vector<Pool>{}),
                   DurationToJson(change.idle_timeout)});
  return Compress(ToCbor(json::array({change.base.value, std::move(removed),
                                      std::uint64_t{has_pools ? 1U : 0U},
                                      Binary(ToCbor(table))})));
}

Result<RouteChange> DecodeRouteChange(ByteView bytes) {
  const auto plain = Decompress(bytes, kMaxTableBytes);
  if (!plain) return tl::unexpected<Error>(plain.error());
  const json root = FromCbor(*plain);
  CborArrayReader fields(root);
  RouteChange change;
  change.base = ConfigVersion{fields.Number()};
  for (const json& item : fields.Array()) {
    const auto address = item.is_string()
                             ? Endpoint::Parse(item.get<std::string>())
                             : std::nullopt;
    if (!address) return UnreadableError();
    change.removed.push_back(*address);
  }
  const bool has_pools = fields.Number() != 0;
  const Bytes encoded = fields.Blob();
  if (!fields.ok()) return UnreadableError();
  auto table = ReadRouteTable(encoded);
  if (!table) return UnreadableError();
  change.version = table->version;
  change.changed = std::move(table->routes);
  if (has_pools) change.pools = std::move(table->pools);
  change.idle_timeout = table->idle_timeout;
  return change;
}

}  // namespace sardinelead
