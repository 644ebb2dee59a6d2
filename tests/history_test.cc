#include "history.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

#include "quick.h"

namespace sardinelead {
namespace {

class HistoryTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(HistoryTest);
  CPPUNIT_TEST(HistoriesAreLinearizable);
  CPPUNIT_TEST(ResendUnderAnotherNameIsCaught);
  CPPUNIT_TEST(RolledBackDiskIsCaught);
  CPPUNIT_TEST(LyingDiskIsCaught);
  CPPUNIT_TEST(RevertedFollowerIsCaught);
  CPPUNIT_TEST_SUITE_END();

 public:
  void HistoriesAreLinearizable() {
    const int count = CaseCount(2000);
    HistoryCounts sum;
    for (std::uint64_t seed = 1; seed <= static_cast<std::uint64_t>(count);
         ++seed) {
      History history(seed, MakePlan(seed), InjectedFault::kNone);
      const std::string failure = history.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(seed),
                                   std::string(), failure);
      const HistoryCounts& counts = history.counts();
      sum.accepted += counts.accepted;
      sum.refused += counts.refused;
      sum.resends += counts.resends;
      sum.crashes += counts.crashes;
      sum.disk_losses += counts.disk_losses;
      sum.replacements += counts.replacements;
    }
    // The histories prove little unless they exercise each kind of event.
    CPPUNIT_ASSERT(sum.accepted > 2 * count);
    CPPUNIT_ASSERT(sum.refused > count);
    CPPUNIT_ASSERT(sum.resends > 2 * count);
    CPPUNIT_ASSERT(sum.crashes > 2 * count);
    CPPUNIT_ASSERT(sum.disk_losses > count / 10);
    CPPUNIT_ASSERT(sum.replacements > count / 10);
  }

  // `adjust` makes the plans exercise the fault more often. One plan in some
  // hundreds shows the rarest fault, so that 3,000 plans miss it once in e^10.
  static void AssertDetected(
      InjectedFault fault,
      const std::function<void(HistoryPlan*)>& adjust = [](HistoryPlan*) {}) {
    constexpr std::uint64_t kMaxSeeds = 3000;
    for (std::uint64_t seed = 1; seed <= kMaxSeeds; ++seed) {
      HistoryPlan plan = MakePlan(seed);
      plan.has_disk_loss = true;
      plan.has_replacement = false;
      adjust(&plan);
      const std::string failure = History(seed, plan, fault).Run();
      // A run that does not converge does not show that the fault was detected.
      if (!failure.empty() && failure != kDoesNotConverge) return;
    }
    CPPUNIT_FAIL("not caught");
  }

  void ResendUnderAnotherNameIsCaught() {
    AssertDetected(InjectedFault::kRenamedResend);
  }
  // A rolled-back disk does harm only if the replica forms a quorum with one
  // that has missed the same values.
  void RolledBackDiskIsCaught() {
    AssertDetected(InjectedFault::kStaleDisk, [](HistoryPlan* plan) {
      plan->size = 3;
      plan->crash_permille = 60;
      plan->has_partitions = true;
    });
  }
  void LyingDiskIsCaught() { AssertDetected(InjectedFault::kIgnoredSync); }
  void RevertedFollowerIsCaught() {
    AssertDetected(InjectedFault::kNoStartWait);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HistoryTest);

}  // namespace
}  // namespace sardinelead
