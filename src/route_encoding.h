#ifndef SARDINELEAD_SRC_ROUTE_ENCODING_H_
#define SARDINELEAD_SRC_ROUTE_ENCODING_H_

// The parts that the encodings of a RouteTable and a RouteChange share. See
// route_table_reader.h for the form of a route and of a pool.

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

#include "sardinelead/route_table.h"

namespace sardinelead {

// Of a table or a change, before compression.
constexpr std::size_t kMaxTableBytes = 4 << 20;

nlohmann::json RoutesToJson(const std::vector<Route>& routes);
nlohmann::json PoolsToJson(const std::vector<Pool>& pools);
// Unit of encoded rates: thousandths of a flow a second.
constexpr double kRateSteps = 1000;
// In whole milliseconds.
nlohmann::json DurationToJson(Duration duration);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_ROUTE_ENCODING_H_
