// Tests the table of evacuated data centres and its encoding.

#include "sardinelead/evacuation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "cbor.h"
#include "evacuation_encoding.h"

namespace sardinelead {
namespace {

class EvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EvacuationTest);
  CPPUNIT_TEST(EndedEvacuationsKeepTheirIndex);
  CPPUNIT_TEST(LimitsHold);
  CPPUNIT_TEST(EncodingRoundTrips);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Without the index of the end, a late start order would look like the first.
  void EndedEvacuationsKeepTheirIndex() {
    EvacuationTable table;
    CPPUNIT_ASSERT(table.Set("luzon-a", true, 5));
    CPPUNIT_ASSERT(table.IsEvacuated("luzon-a"));
    CPPUNIT_ASSERT(table.Set("luzon-a", false, 9));
    CPPUNIT_ASSERT(!table.IsEvacuated("luzon-a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, table.ChangedAt("luzon-a"));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, table.version());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, table.ChangedAt("luzon-b"));
  }

  // Unbounded names would make the state and each report grow without limit.
  void LimitsHold() {
    EvacuationTable table;
    CPPUNIT_ASSERT(!table.Set("", true, 1));
    CPPUNIT_ASSERT(!table.Set(std::string(65, 'x'), true, 1));
    for (std::size_t i = 0; i < EvacuationTable::kMaxDataCentres; ++i) {
      CPPUNIT_ASSERT(table.Set("dc-" + std::to_string(i), true, i + 1));
    }
    CPPUNIT_ASSERT(!table.Set("one-more", true, 100));
    CPPUNIT_ASSERT(table.Set("dc-0", false, 100));
  }

  void EncodingRoundTrips() {
    EvacuationTable table;
    table.Set("luzon-a", true, 5);
    table.Set("luzon-b", false, 9);
    const Bytes bytes = ToCbor(ToJson(table));
    const auto copy = EvacuationsFromJson(FromCbor(bytes));
    CPPUNIT_ASSERT(copy && *copy == table);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{9}, copy->version());
    CPPUNIT_ASSERT(!EvacuationsFromJson(nlohmann::json::object()));
    CPPUNIT_ASSERT(!EvacuationsFromJson({{"luzon-a", 1}}));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationTest);

}  // namespace
}  // namespace sardinelead
