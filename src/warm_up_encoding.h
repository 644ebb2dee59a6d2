#ifndef SARDINELEAD_SRC_WARM_UP_ENCODING_H_
#define SARDINELEAD_SRC_WARM_UP_ENCODING_H_

// The CBOR forms of warm-up grants, in commands, in snapshots of the register
// and in the feed:
//
//   shares: [balancer, limit, balancer, limit...]
//   grant:  [target, started ms, shares]
//   list:   [grant...]
//   kept:   [grants ever added, list]

#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

#include "sardinelead/warm_up_grant.h"

namespace sardinelead {

nlohmann::json ToJson(const WarmUpShares& shares);
nlohmann::json ToJson(const std::vector<WarmUpGrant>& grants);
nlohmann::json ToJson(const WarmUpGrants& grants);

// Each returns nullopt if the value has another form or exceeds a limit.
std::optional<WarmUpShares> WarmUpSharesFromJson(const nlohmann::json& value);
std::optional<std::vector<WarmUpGrant>> WarmUpGrantListFromJson(
    const nlohmann::json& value);
std::optional<WarmUpGrants> WarmUpGrantsFromJson(const nlohmann::json& value);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_WARM_UP_ENCODING_H_
