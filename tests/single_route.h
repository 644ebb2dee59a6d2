#ifndef SARDINELEAD_TESTS_SINGLE_ROUTE_H_
#define SARDINELEAD_TESTS_SINGLE_ROUTE_H_

#include "sardinelead/route_table.h"

namespace sardinelead {

// Version 1 of a table with one route, to the pool "orders".
inline RouteTable MakeSingleRoute(const Endpoint& address) {
  RouteTable table;
  table.version = ConfigVersion{1};
  table.pools = {{"orders", "/health", 0}};
  Route route;
  route.address = address;
  route.pools = {{"orders", 1}};
  table.routes.push_back(route);
  table.BuildIndex();
  return table;
}

}  // namespace sardinelead

#endif  // SARDINELEAD_TESTS_SINGLE_ROUTE_H_
