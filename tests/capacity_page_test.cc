// Checks docs/CAPACITY.md against docs/capacity-results.txt: slopes must match
// the recorded ones, products and sums must be correct, and each mechanism must
// be a file in the source tree or marked as not built. Must be run from the
// root of the source tree.

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace sardinelead {
namespace {

constexpr double kRelativeTolerance = 1e-4;  // The page shows six digits.

using Cells = std::vector<std::string>;

std::string RemoveChars(const std::string& text, const std::string& unwanted) {
  std::string result;
  for (const char c : text) {
    if (unwanted.find(c) == std::string::npos) result.push_back(c);
  }
  return result;
}

double Number(const std::string& cell) {
  const std::string digits = RemoveChars(cell, " ,*");
  return digits.empty() ? 0 : std::stod(digits);
}

bool Near(double a, double b) {
  return std::abs(a - b) <=
         kRelativeTolerance * std::max(std::abs(a), std::abs(b));
}

Cells SplitRow(const std::string& line) {
  Cells cells;
  std::istringstream in(line);
  for (std::string cell; std::getline(in, cell, '|');) cells.push_back(cell);
  return cells;
}

std::map<std::string, double> ReadSlopes() {
  std::map<std::string, double> slopes;
  std::ifstream file("docs/capacity-results.txt");
  std::string word;
  std::string name;
  double value = 0;
  for (std::string line; std::getline(file, line);) {
    std::istringstream in(line);
    if (!(in >> word >> name >> value) || word != "figure") continue;
    slopes[name] = value;
  }
  return slopes;
}

// Returns the errors found in `page`, which is Markdown text, and adds the
// number of rows with a slope to `rows`.
std::vector<std::string> FindFaults(const std::string& page,
                                    const std::map<std::string, double>& slopes,
                                    int* rows) {
  std::vector<std::string> faults;
  double sum = 0;
  double budget = 0;
  std::istringstream in(page);
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("| ---", 0) == 0) sum = 0;
    const Cells cells = SplitRow(line);
    if (cells.size() < 7) continue;
    if (cells[1] == " **sum** ") {
      if (!Near(Number(cells[5]), sum)) faults.push_back("sum: " + line);
    }
    if (cells[1] == " **budget** ") budget = Number(cells[5]);
    if (cells[1] == " **left** ") {
      const double slack = kRelativeTolerance * std::max(std::abs(sum), budget);
      const bool agrees = std::abs(Number(cells[5]) - (budget - sum)) <= slack;
      if (!agrees) faults.push_back("left: " + line);
    }
    const std::string name = RemoveChars(cells[2], " `");
    if (name.rfind("capacity.", 0) != 0) continue;
    ++*rows;
    const auto slope = slopes.find(name);
    if (slope == slopes.end()) {
      faults.push_back("slope not recorded: " + line);
      continue;
    }
    if (!Near(Number(cells[3]), slope->second)) {
      faults.push_back("slope differs from the record: " + line);
    }
    const double product = slope->second * Number(cells[4]);
    if (!Near(Number(cells[5]), product)) faults.push_back("product: " + line);
    sum += product;
    const std::string mechanism = RemoveChars(cells[6], " `");
    const bool exists = std::ifstream(mechanism).good();
    if (!exists && mechanism.find("notbuilt") == std::string::npos) {
      faults.push_back("mechanism does not exist: " + line);
    }
  }
  return faults;
}

std::string ReadPage() {
  std::ifstream file("docs/CAPACITY.md");
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

class CapacityPageTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CapacityPageTest);
  CPPUNIT_TEST(AgreesWithTheRecordAndAddsUp);
  CPPUNIT_TEST(FindsEachKindOfFault);
  CPPUNIT_TEST_SUITE_END();

 public:
  void AgreesWithTheRecordAndAddsUp() {
    constexpr int kMinRows = 20;
    int rows = 0;
    const auto faults = FindFaults(ReadPage(), ReadSlopes(), &rows);
    CPPUNIT_ASSERT_MESSAGE(faults.empty() ? "" : faults.front(),
                           faults.empty());
    CPPUNIT_ASSERT(rows >= kMinRows);
  }

  void FindsEachKindOfFault() {
    const std::map<std::string, double> slopes = {{"capacity.a", 2}};
    const auto count = [&slopes](const std::string& row) {
      int rows = 0;
      return FindFaults("| --- |\n" + row + "\n", slopes, &rows).size();
    };
    const std::string end = " | docs/CAPACITY.md |";
    CPPUNIT_ASSERT(count("| x | `capacity.a` | 2 | 3 | 6" + end) == 0);
    CPPUNIT_ASSERT(count("| x | `capacity.b` | 2 | 3 | 6" + end) == 1);
    CPPUNIT_ASSERT(count("| x | `capacity.a` | 1 | 3 | 6" + end) == 1);
    CPPUNIT_ASSERT(count("| x | `capacity.a` | 2 | 3 | 7" + end) == 1);
    CPPUNIT_ASSERT(count("| x | `capacity.a` | 2 | 3 | 6 | nowhere.cc |") == 1);
    CPPUNIT_ASSERT(count("| x | `capacity.a` | 2 | 3 | 6 | not built |") == 0);
    CPPUNIT_ASSERT(count("| **sum** | | | | 5 | |") == 1);
    CPPUNIT_ASSERT(count("| **left** | | | | 5 | |") == 1);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CapacityPageTest);

}  // namespace
}  // namespace sardinelead
