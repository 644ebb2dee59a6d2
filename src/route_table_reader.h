#ifndef SARDINELEAD_SRC_ROUTE_TABLE_READER_H_
#define SARDINELEAD_SRC_ROUTE_TABLE_READER_H_

// Decodes the CBOR form of a route table in one pass, without an intermediate
// tree of values, which would cost several times the time and memory. The form
// is an array of nested arrays:
//
//   [version, [route...], [pool...], idle timeout in ms]
//   route: [name, address, kind, timeout ms, objective ms, priority,
//           [share...]]
//   share: [pool, weight]
//   pool:  [name, health path, most flows]
//       or [name, health path, most flows, warm-up ms, thousandths of a flow a
//           second during the warm-up]

#include <optional>

#include "sardinelead/route_table.h"

namespace sardinelead {

// Returns nullopt if the bytes have another form. Does not check the table and
// does not build its index.
std::optional<RouteTable> ReadRouteTable(ByteView cbor);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_ROUTE_TABLE_READER_H_
