#include "warm_up_encoding.h"

#include <limits>
#include <utility>

#include "cbor.h"

namespace sardinelead {
namespace {

using nlohmann::json;

constexpr std::uint64_t kMaxUint32 = std::numeric_limits<std::uint32_t>::max();

template <typename List>
json ListToJson(const List& grants) {
  json list = json::array();
  for (const WarmUpGrant& grant : grants) {
    list.push_back(
        json::array({grant.target, grant.started_ms, ToJson(grant.shares)}));
  }
  return list;
}

}  // namespace

json ToJson(const WarmUpShares& shares) {
  json list = json::array();
  for (const WarmUpShare& share : shares) {
    list.push_back(share.balancer.value);
    list.push_back(share.limit);
  }
  return list;
}

json ToJson(const std::vector<WarmUpGrant>& grants) {
  return ListToJson(grants);
}

json ToJson(const WarmUpGrants& grants) {
  return json::array({grants.added(), ListToJson(grants.all())});
}

std::optional<WarmUpShares> WarmUpSharesFromJson(const json& value) {
  if (!value.is_array()) return std::nullopt;
  if (value.size() > 2 * kMaxWarmUpOwners) return std::nullopt;
  CborArrayReader fields(value);
  WarmUpShares shares;
  while (!fields.AtEnd()) {
    const std::uint64_t balancer = fields.Number();
    const std::uint64_t limit = fields.Number();
    if (!fields.ok() || balancer > kMaxUint32 || limit > kMaxUint32) {
      return std::nullopt;
    }
    shares.push_back({NodeId{static_cast<std::uint32_t>(balancer)},
                      static_cast<std::uint32_t>(limit)});
  }
  return shares;
}

std::optional<std::vector<WarmUpGrant>> WarmUpGrantListFromJson(
    const json& value) {
  const bool is_list =
      value.is_array() && value.size() <= WarmUpGrants::kMaxGrants;
  if (!is_list) return std::nullopt;
  std::vector<WarmUpGrant> grants;
  for (const json& item : value) {
    CborArrayReader fields(item);
    WarmUpGrant grant;
    grant.target = fields.Number();
    grant.started_ms = fields.Number();
    auto shares = WarmUpSharesFromJson(fields.Array());
    if (!shares || !fields.ok() || !fields.AtEnd()) return std::nullopt;
    grant.shares = std::move(*shares);
    grants.push_back(std::move(grant));
  }
  return grants;
}

std::optional<WarmUpGrants> WarmUpGrantsFromJson(const json& value) {
  CborArrayReader fields(value);
  const std::uint64_t added = fields.Number();
  auto list = WarmUpGrantListFromJson(fields.Array());
  if (!fields.ok() || !fields.AtEnd() || !list) return std::nullopt;
  WarmUpGrants grants;
  for (WarmUpGrant& grant : *list) {
    if (!grants.Add(std::move(grant))) return std::nullopt;
  }
  if (!grants.SetAdded(added)) return std::nullopt;
  return grants;
}

}  // namespace sardinelead
