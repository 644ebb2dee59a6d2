#include "sardinelead/route_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include "route_encoding.h"

namespace sardinelead {
namespace {

RouteTable MakeTable() {
  RouteTable table;
  table.version = ConfigVersion{7};
  table.pools = {{"orders", "/health", 2000}, {"gallery", "/ok", 0}};
  Route notes;
  notes.name = "notes";
  notes.address = *Endpoint::Parse("198.18.0.1:8080");
  notes.kind = RequestKind::kNonIdempotent;
  notes.timeout_ms = 2000;
  notes.objective_ms = 300;
  notes.priority = 1;
  notes.pools = {{"orders", 1}};
  Route watch = notes;
  watch.name = "watch";
  watch.address.port = 8443;
  watch.kind = RequestKind::kIdempotent;
  watch.pools = {{"orders", 90}, {"gallery", 10}};
  table.routes = {notes, watch};
  table.idle_timeout = std::chrono::seconds(12);
  table.BuildIndex();
  return table;
}

class RouteTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(RouteTableTest);
  CPPUNIT_TEST(EncodingRoundTrips);
  CPPUNIT_TEST(OnlyPoolsWithWarmUpHaveALongerForm);
  CPPUNIT_TEST(RejectsCorruptBytes);
  CPPUNIT_TEST(FindsRoutesByAddressAndPort);
  CPPUNIT_TEST(RejectsInvalidTables);
  CPPUNIT_TEST(DividesFlowsByWeight);
  CPPUNIT_TEST_SUITE_END();

 public:
  void EncodingRoundTrips() {
    const auto read = DecodeRouteTable(EncodeRouteTable(MakeTable()));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, read->version.value);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->routes.size());
    const Route& watch = read->routes[1];
    CPPUNIT_ASSERT_EQUAL(std::string("watch"), watch.name);
    CPPUNIT_ASSERT(watch.kind == RequestKind::kIdempotent);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{2000}, watch.timeout_ms);
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{10}, watch.pools[1].weight);
    CPPUNIT_ASSERT_EQUAL(std::string("/ok"), read->pools[1].health_path);
    CPPUNIT_ASSERT(read->idle_timeout == std::chrono::seconds(12));
  }

  // Earlier versions refuse the longer form.
  void OnlyPoolsWithWarmUpHaveALongerForm() {
    RouteTable table = MakeTable();
    table.pools[0].warm_up_rate = 9;  // Without a warm-up it has no effect.
    const auto pools = PoolsToJson(table.pools);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, pools[0].size());
    table.pools[1].warm_up = std::chrono::milliseconds(12'500);
    table.pools[1].warm_up_rate = 2.3;
    const auto read = DecodeRouteTable(EncodeRouteTable(table));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(read->pools[0] == MakeTable().pools[0]);
    CPPUNIT_ASSERT(read->pools[1] == table.pools[1]);
    CPPUNIT_ASSERT_EQUAL(2.3, read->FindPool("gallery")->warm_up_rate);
  }

  // Truncated input is rejected; a flipped byte is rejected or gives a table
  // that passes Check().
  void RejectsCorruptBytes() {
    const Bytes whole = EncodeRouteTable(MakeTable());
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeRouteTable(ByteView(whole.data(), size)));
    }
    for (std::size_t at = 0; at < whole.size(); ++at) {
      Bytes changed = whole;
      changed[at] ^= 0x41;
      const auto read = DecodeRouteTable(changed);
      if (read) CPPUNIT_ASSERT(Check(*read).has_value());
    }
  }

  void FindsRoutesByAddressAndPort() {
    const RouteTable table = MakeTable();
    const Route* found = table.Find(*Endpoint::Parse("198.18.0.1:8443"));
    CPPUNIT_ASSERT(found != nullptr && found->name == "watch");
    CPPUNIT_ASSERT(table.Find(*Endpoint::Parse("198.18.0.1:80")) == nullptr);
    CPPUNIT_ASSERT(table.Find(*Endpoint::Parse("198.18.0.2:8443")) == nullptr);
  }

  static void AssertRejected(const RouteTable& table, ErrorCode code,
                             const std::string& path) {
    const auto checked = Check(table);
    CPPUNIT_ASSERT(!checked);
    CPPUNIT_ASSERT(checked.error().code == code);
    CPPUNIT_ASSERT_EQUAL(path, checked.error().path);
  }

  void RejectsInvalidTables() {
    RouteTable unknown = MakeTable();
    unknown.routes[1].pools[1].pool = "nowhere";
    AssertRejected(unknown, ErrorCode::kUnknownName, "routes[1].pools");
    RouteTable twice = MakeTable();
    twice.routes[1].address = twice.routes[0].address;
    AssertRejected(twice, ErrorCode::kDuplicate, "routes[1].address");
    RouteTable no_timeout = MakeTable();
    no_timeout.routes[0].timeout_ms = 0;
    AssertRejected(no_timeout, ErrorCode::kOutOfRange, "routes[0].timeout");
    RouteTable no_weight = MakeTable();
    for (PoolShare& share : no_weight.routes[1].pools) share.weight = 0;
    AssertRejected(no_weight, ErrorCode::kOutOfRange, "routes[1].pools");
    RouteTable pools = MakeTable();
    pools.pools[1].name = "orders";
    AssertRejected(pools, ErrorCode::kDuplicate, "pools[1].name");
  }

  void DividesFlowsByWeight() {
    const RouteTable table = MakeTable();
    const Route& watch = table.routes[1];
    int gallery = 0;
    constexpr int kFlows = 10000;
    for (int i = 0; i < kFlows; ++i) {
      const std::uint64_t hash = HashCombine(static_cast<std::uint64_t>(i), 1);
      gallery += watch.SelectPool(hash) == "gallery" ? 1 : 0;
      CPPUNIT_ASSERT_EQUAL(watch.SelectPool(hash), watch.SelectPool(hash));
    }
    CPPUNIT_ASSERT(gallery > kFlows / 10 - 150 && gallery < kFlows / 10 + 150);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RouteTableTest);

}  // namespace
}  // namespace sardinelead
