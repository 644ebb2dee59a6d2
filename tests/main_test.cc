// Runs all registered CppUnit tests and prints "N passed, N failed" at the end.
//
//   --filter=TEXT  runs only tests whose name contains TEXT
//   --quick        runs fewer cases in long property tests
//   --list         lists the test names

#include <cppunit/Exception.h>
#include <cppunit/SourceLine.h>
#include <cppunit/Test.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "quick.h"

namespace {

void CollectLeaves(CppUnit::Test* test, std::vector<CppUnit::Test*>* leaves) {
  if (test->getChildTestCount() == 0) {
    leaves->push_back(test);
    return;
  }
  for (int i = 0; i < test->getChildTestCount(); ++i) {
    CollectLeaves(test->getChildTestAt(i), leaves);
  }
}

// Returns the names of the tests that KNOWN-RED.txt lists as known failures, in
// lines that start with "test: ".
std::vector<std::string> ReadKnownFailures() {
  std::vector<std::string> names;
  std::ifstream file("KNOWN-RED.txt");
  const std::string prefix = "test: ";
  for (std::string line; std::getline(file, line);) {
    if (line.rfind(prefix, 0) != 0) continue;
    names.push_back(line.substr(prefix.size()));
  }
  return names;
}

class FailurePrinter : public CppUnit::TestListener {
 public:
  void startTest(CppUnit::Test* test) override {  // NOLINT
    std::cerr << "run  " << test->getName() << std::endl;
  }
  void addFailure(const CppUnit::TestFailure& failure) override {  // NOLINT
    m_failed = true;
    std::cout << "FAIL " << failure.failedTestName() << " "
              << failure.sourceLine().fileName() << ":"
              << failure.sourceLine().lineNumber() << "\n"
              << failure.thrownException()->what() << std::endl;
  }
  bool failed() const { return m_failed; }  // NOLINT

 private:
  bool m_failed = false;
};

}  // namespace

int main(int argc, char** argv) {
  std::string filter;
  bool list = false;
  for (int i = 1; i < argc; ++i) {
    const std::string arg = argv[i];
    if (arg.rfind("--filter=", 0) == 0) filter = arg.substr(9);
    if (arg == "--quick") sardinelead::SetQuickTests(true);
    if (arg == "--list") list = true;
  }
  std::vector<CppUnit::Test*> tests;
  const std::unique_ptr<CppUnit::Test> root(
      CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  CollectLeaves(root.get(), &tests);
  const std::vector<std::string> known_failures = ReadKnownFailures();
  int passed = 0;
  int failed = 0;
  for (CppUnit::Test* test : tests) {
    if (test->getName().find(filter) == std::string::npos) continue;
    if (list) {
      std::cout << test->getName() << "\n";
      continue;
    }
    CppUnit::TestResult result;
    FailurePrinter printer;
    result.addListener(&printer);
    test->run(&result);
    if (!printer.failed()) {
      ++passed;
      continue;
    }
    const bool is_known =
        std::find(known_failures.begin(), known_failures.end(),
                  test->getName()) != known_failures.end();
    if (is_known) {
      std::cout << "KNOWN RED " << test->getName() << std::endl;
      continue;
    }
    ++failed;
  }
  if (list) return EXIT_SUCCESS;
  std::cout << passed << " passed, " << failed << " failed" << std::endl;
  return failed == 0 && passed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
