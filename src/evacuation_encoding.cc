#include "evacuation_encoding.h"

#include <string>

#include "cbor.h"

namespace sardinelead {

using nlohmann::json;

json ToJson(const EvacuationTable& table) {
  json list = json::array();
  for (const auto& [data_centre, evacuation] : table.entries()) {
    list.push_back(
        json::array({data_centre, std::uint64_t{evacuation.is_active ? 1U : 0U},
                     evacuation.changed_at, evacuation.switched_at}));
  }
  return list;
}

std::optional<EvacuationTable> EvacuationsFromJson(const json& list) {
  if (!list.is_array()) return std::nullopt;
  EvacuationTable table;
  for (const json& item : list) {
    CborArrayReader fields(item);
    const std::string data_centre = fields.Text();
    Evacuation evacuation;
    evacuation.is_active = fields.Number() != 0;
    evacuation.changed_at = fields.Number();
    evacuation.switched_at = fields.Number();
    if (!fields.ok() || !fields.AtEnd()) return std::nullopt;
    if (!table.Restore(data_centre, evacuation)) return std::nullopt;
  }
  return table;
}

}  // namespace sardinelead
