#ifndef SARDINELEAD_SRC_EVACUATION_ENCODING_H_
#define SARDINELEAD_SRC_EVACUATION_ENCODING_H_

// The CBOR form of an EvacuationTable, in snapshots of the register and in the
// feed: an array of [data centre, 1 if evacuated, changed_at, switched_at].

#include <nlohmann/json.hpp>
#include <optional>

#include "sardinelead/evacuation.h"

namespace sardinelead {

nlohmann::json ToJson(const EvacuationTable& table);
// Returns nullopt if `list` is not the form above or exceeds a limit.
std::optional<EvacuationTable> EvacuationsFromJson(const nlohmann::json& list);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_EVACUATION_ENCODING_H_
