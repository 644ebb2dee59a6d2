// Changes of route tables, and the history that control VMs keep of them.

#include <cppunit/extensions/HelperMacros.h>

#include <random>

#include "quick.h"
#include "sardinelead/route_history.h"
#include "sardinelead/route_table.h"

namespace sardinelead {
namespace {

class RouteChangeTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteChangeTest);
  CPPUNIT_TEST(ChangeLeadsToTheNextTable);
  CPPUNIT_TEST(ChangeThatDoesNotFitChangesNothing);
  CPPUNIT_TEST(CorruptBytesAreRejected);
  CPPUNIT_TEST(SizeIsThatOfTheDifference);
  CPPUNIT_TEST(HistoryLeadsFromEachKeptVersion);
  CPPUNIT_TEST(HistoryIsBounded);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ChangeLeadsToTheNextTable() {
    RouteTable table = RandomTable(1);
    for (int i = 2; i < CaseCount(600); ++i) {
      const RouteTable next = RandomTable(static_cast<std::uint64_t>(i));
      const auto change =
          DecodeRouteChange(EncodeRouteChange(DifferenceOf(table, next)));
      CPPUNIT_ASSERT(change.has_value());
      CPPUNIT_ASSERT(table.Apply(*change).has_value());
      AssertSame(next, table);
    }
  }

  void ChangeThatDoesNotFitChangesNothing() {
    const RouteTable base = RandomTable(1);
    RouteTable table = base;
    RouteChange change = DifferenceOf(base, RandomTable(2));
    change.base = ConfigVersion{7};
    CPPUNIT_ASSERT(table.Apply(change).error().code ==
                   ErrorCode::kVersionConflict);
    change.base = base.version;
    change.version = base.version;
    CPPUNIT_ASSERT(table.Apply(change).error().code ==
                   ErrorCode::kVersionConflict);
    change.version = ConfigVersion{2};
    Route unknown = MakeRoute(500);
    unknown.pools = {{"nowhere", 1}};
    change.changed.push_back(unknown);
    CPPUNIT_ASSERT(table.Apply(change).error().code == ErrorCode::kUnknownName);
    AssertSame(base, table);
  }

  void CorruptBytesAreRejected() {
    const RouteTable base = RandomTable(1);
    const Bytes whole = EncodeRouteChange(DifferenceOf(base, RandomTable(2)));
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeRouteChange(ByteView(whole.data(), size)));
    }
    for (std::size_t at = 0; at < whole.size(); ++at) {
      Bytes changed = whole;
      changed[at] ^= 0x41;
      const auto change = DecodeRouteChange(changed);
      RouteTable table = base;
      if (change && table.Apply(*change)) {
        CPPUNIT_ASSERT(Check(table).has_value());
      }
    }
  }

  // Guards against changes that cost a balancer the whole table.
  void SizeIsThatOfTheDifference() {
    RouteTable base = MakeTable(1, 10'000);
    RouteTable next = MakeTable(2, 10'000);
    next.routes[5'000].timeout_ms = 77;
    next.BuildIndex();
    const RouteChange change = DifferenceOf(base, next);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, change.changed.size());
    CPPUNIT_ASSERT(change.removed.empty());
    CPPUNIT_ASSERT(!change.pools.has_value());
    CPPUNIT_ASSERT(EncodeRouteChange(change).size() < 200);
    CPPUNIT_ASSERT(base.Apply(change).has_value());
    AssertSame(next, base);
  }

  void HistoryLeadsFromEachKeptVersion() {
    RouteHistory history;
    std::vector<RouteTable> tables;
    for (std::uint64_t version = 1; version <= 20; ++version) {
      tables.push_back(RandomTable(version));
      history.Add(tables.back());
    }
    for (std::size_t i = 0; i + 1 < tables.size(); ++i) {
      RouteTable table = tables[i];
      const RouteUpdate update = history.UpdateFrom(table.version);
      CPPUNIT_ASSERT_EQUAL(tables.size() - 1 - i, update.changes.size());
      for (const auto& change : update.changes) {
        CPPUNIT_ASSERT(table.Apply(*DecodeRouteChange(*change)).has_value());
      }
      AssertSame(tables.back(), table);
    }
    // A version that was never in force here gets the whole table.
    for (const std::uint64_t held : {0, 700}) {
      const RouteUpdate update = history.UpdateFrom(ConfigVersion{held});
      CPPUNIT_ASSERT(update.changes.empty());
      AssertSame(tables.back(), *DecodeRouteTable(*update.table));
    }
  }

  void HistoryIsBounded() {
    RouteHistory history;
    history.Add(MakeTable(1, 1));
    for (std::uint64_t version = 2; version <= 40; ++version) {
      history.Add(MakeTable(version, version % 2 == 0 ? 2000 : 1));
    }
    CPPUNIT_ASSERT(history.UpdateFrom(ConfigVersion{1}).changes.empty());
    std::size_t bytes = 0;
    const RouteUpdate update = history.UpdateFrom(ConfigVersion{36});
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, update.changes.size());
    for (const auto& change : update.changes) bytes += change->size();
    CPPUNIT_ASSERT(bytes <= kMaxHistoryBytes);
  }

 private:
  static Route MakeRoute(std::uint32_t place) {
    Route route;
    route.name = "r-" + std::to_string(HashCombine(place, 3));
    route.address = {IpAddress::FromV4(0xc6120000 + place), 443};
    route.timeout_ms = 1000;
    route.pools = {{"orders", 1}};
    return route;
  }

  static RouteTable MakeTable(std::uint64_t version, std::uint32_t routes) {
    RouteTable table;
    table.version = ConfigVersion{version};
    table.pools = {{"orders", "/health", 0}};
    for (std::uint32_t i = 0; i < routes; ++i) {
      table.routes.push_back(MakeRoute(i));
    }
    table.BuildIndex();
    return table;
  }

  RouteTable RandomTable(std::uint64_t version) {
    RouteTable table;
    table.version = ConfigVersion{version};
    table.idle_timeout = std::chrono::milliseconds(1000 + m_random() % 3);
    table.pools = {{"orders", "/health", 0}, {"gallery", "/health", 0}};
    if (m_random() % 4 == 0) table.pools[1].max_flows = 9;
    for (std::uint32_t place = 0; place < 12; ++place) {
      if (m_random() % 3 == 0) continue;
      Route route = MakeRoute(place);
      route.timeout_ms = static_cast<std::uint32_t>(1 + m_random() % 2);
      if (m_random() % 3 == 0) route.pools.push_back({"gallery", 2});
      table.routes.push_back(route);
    }
    table.BuildIndex();
    return table;
  }

  // The order of the routes does not matter.
  static void AssertSame(const RouteTable& expected, const RouteTable& table) {
    CPPUNIT_ASSERT(expected.version == table.version);
    CPPUNIT_ASSERT(expected.pools == table.pools);
    CPPUNIT_ASSERT(expected.idle_timeout == table.idle_timeout);
    CPPUNIT_ASSERT_EQUAL(expected.routes.size(), table.routes.size());
    for (const Route& route : expected.routes) {
      const Route* found = table.Find(route.address);
      CPPUNIT_ASSERT(found != nullptr && *found == route);
    }
  }

  std::mt19937_64 m_random{5};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteChangeTest);

}  // namespace
}  // namespace sardinelead
