#ifndef SARDINELEAD_TESTS_QUICK_H_
#define SARDINELEAD_TESTS_QUICK_H_

namespace sardinelead {

// Whether long tests run only a tenth of their cases, as under sanitizers.
bool QuickTests();
void SetQuickTests(bool quick);

// Returns `full`, or a tenth of it (at least 1) in a quick run.
inline int CaseCount(int full) {
  const int quick = full / 10 > 0 ? full / 10 : 1;
  return QuickTests() ? quick : full;
}

}  // namespace sardinelead

#endif  // SARDINELEAD_TESTS_QUICK_H_
