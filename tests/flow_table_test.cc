#include "flow_table.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <random>

#include "quick.h"

namespace sardinelead {
namespace {

FlowRecord MakeRecord(std::uint32_t hash, FlowState state) {
  FlowRecord record;
  record.hash = hash;
  record.caller = IpAddress::FromV4(hash);
  record.caller_port = 9;
  record.state = state;
  return record;
}

class FlowTableTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FlowTableTest);
  CPPUNIT_TEST(BehavesLikeAMapSortedByHash);
  CPPUNIT_TEST(UsesAtMost64BytesPerFlowOnAverage);
  CPPUNIT_TEST(OpeningFloodKeepsEstablishedFlows);
  CPPUNIT_TEST_SUITE_END();

 public:
  void BehavesLikeAMapSortedByHash() {
    std::mt19937 random(1);
    for (int run = 0; run < CaseCount(20); ++run) {
      FlowBudget budget(1000000, 1000000);
      FlowTableHint hint;
      FlowTable table(&budget, &hint);
      std::map<std::uint32_t, std::uint64_t> model;
      for (int step = 0; step < 3000; ++step) {
        // Either few, closely spaced hashes, or hashes that are spread over the
        // range up to its very end.
        const std::uint32_t hash = random() % 900 * (run % 2 ? 1 : 4772185);
        const Endpoint caller{IpAddress::FromV4(hash), 9};
        FlowRecord* found = table.Find(hash, caller);
        CPPUNIT_ASSERT_EQUAL(model.count(hash) > 0, found != nullptr);
        if (found == nullptr) {
          FlowRecord record = MakeRecord(hash, FlowState::kEstablished);
          record.set_target(TargetId{random()});
          model[hash] = record.target().value;
          CPPUNIT_ASSERT(table.Insert(record, 0) != nullptr);
        } else if (random() % 3 == 0) {
          CPPUNIT_ASSERT(found->target().value == model[hash]);
          model.erase(hash);
          table.RemoveIf(
              [hash](FlowRecord* record) { return record->hash == hash; });
        }
      }
      auto next = model.lower_bound(500);
      table.VisitFrom(500, [&next](const FlowRecord& record) {
        CPPUNIT_ASSERT_EQUAL(next->first, record.hash);
        ++next;
        return true;
      });
      CPPUNIT_ASSERT(next == model.end());
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{model.size()}, budget.records.load());
    }
  }

  void UsesAtMost64BytesPerFlowOnAverage() {
    FlowBudget budget(1000000, 1000000);
    FlowTableHint hint;
    FlowTable table(&budget, &hint);
    std::mt19937 random(2);
    double bytes_per_flow = 0;
    constexpr int kFlows = 20000;
    for (int i = 0; i < kFlows; ++i) {
      const FlowRecord record = MakeRecord(random(), FlowState::kEstablished);
      CPPUNIT_ASSERT(table.Insert(record, 0) != nullptr);
      bytes_per_flow += static_cast<double>(budget.bytes.load()) / (i + 1);
    }
    CPPUNIT_ASSERT(bytes_per_flow / kFlows <= 64);
  }

  void OpeningFloodKeepsEstablishedFlows() {
    FlowBudget budget(1000, 250);
    FlowTableHint hint;
    FlowTable table(&budget, &hint);
    std::mt19937 random(3);
    for (int i = 0; i < 700; ++i) {
      table.Insert(MakeRecord(random(), FlowState::kEstablished), 0);
    }
    for (int i = 0; i < 20000; ++i) {
      FlowRecord record = MakeRecord(random(), FlowState::kOpening);
      record.seen_ms = 5000 + i;
      table.Insert(record, record.seen_ms - 1000);
    }
    int established = 0;
    table.VisitFrom(0, [&established](const FlowRecord& record) {
      established += record.state == FlowState::kEstablished;
      return true;
    });
    CPPUNIT_ASSERT_EQUAL(700, established);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{250}, budget.opening.load());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FlowTableTest);

}  // namespace
}  // namespace sardinelead
