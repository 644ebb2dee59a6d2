#include "sardinelead/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include "sardinelead/log.h"

namespace sardinelead {
namespace {

const std::vector<SettingKey> kTable = {
    {"node", "id", SettingType::kNumber, "", 1, 9, "number of this VM"},
    {"node", "name", SettingType::kText, "a", 0, 0, "name"},
    {"net", "listen", SettingType::kEndpoint, "", 0, 0, "where to listen"},
    {"net", "peer", SettingType::kNodeAddress, "", 0, 0, "another node",
     SettingUse::kRepeated},
    {"net", "exit", SettingType::kEndpoint, "", 0, 0, "exit",
     SettingUse::kOptional},
    {"net", "fast", SettingType::kFlag, "no", 0, 0, "fast"},
};

class SettingsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsEveryTypeAndDefaults);
  CPPUNIT_TEST(ReportsEveryErrorWithItsLocation);
  CPPUNIT_TEST(HelpTextParses);
  CPPUNIT_TEST(QuotesLogValues);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ReadsEveryTypeAndDefaults() {
    const auto settings = ParseSettings(kTable,
                                        "; a comment\n[node]\nid = 3\n"
                                        "[net]\nlisten = [::1]:5\n"
                                        "peer = 2 10.0.0.2:7\n"
                                        "peer = 4 10.0.0.4:7 ; inline\n",
                                        "n.ini");
    CPPUNIT_ASSERT(settings.has_value());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3}, settings->Number("node", "id"));
    CPPUNIT_ASSERT_EQUAL(std::string("a"), settings->Text("node", "name"));
    CPPUNIT_ASSERT(!settings->Has("net", "exit"));
    CPPUNIT_ASSERT(!settings->Flag("net", "fast"));
    const auto peers = settings->Nodes("net", "peer");
    CPPUNIT_ASSERT(peers.size() == 2 && peers[1].id == NodeId{4});
    CPPUNIT_ASSERT_EQUAL(std::string("n.ini:5 [net] listen"),
                         settings->LocationOf("net", "listen"));
  }

  void ReportsEveryErrorWithItsLocation() {
    const std::pair<const char*, const char*> cases[] = {
        {"[node]\nid = 10\n",
         "n.ini:2 [node] id: expected a whole number from 1 to 9, not \"10\" "
         "(out-of-range)"},
        {"[node]\nid = 1x\n", "not \"1x\" (malformed)"},
        {"[node]\nid = 1\nid = 2\n",
         "n.ini:3 [node] id: key \"id\" is already set in line 2 (duplicate)"},
        {"[node]\nit = 1\n",
         "n.ini:2 [node] it: key \"it\" does not exist in section \"node\", "
         "expected one of id, name (unknown-name)"},
        {"[gone]\nid = 1\n", "section \"gone\" does not exist"},
        {"[net]\nlisten = 1.2.3.4\n",
         "n.ini:2 [net] listen: expected an address with a port, as "
         "192.0.2.1:80 or [2001:db8::1]:80, not \"1.2.3.4\" (malformed)"},
        {"[net]\npeer = 10.0.0.1:3\n", "[net] peer: expected an id and an"},
        {"[net]\nfast = maybe\n", "expected yes or no"},
        {"[node\n", "n.ini:1: expected [section] or key = value (malformed)"},
        {"", "n.ini [node] id: key \"id\" is missing in section \"node\""},
    };
    for (const auto& [text, expected] : cases) {
      const auto settings = ParseSettings(kTable, text, "n.ini");
      CPPUNIT_ASSERT(!settings.has_value());
      std::string all;
      for (const Error& error : settings.error()) {
        all += error.ToString() + "\n";
      }
      CPPUNIT_ASSERT_MESSAGE(all, all.find(expected) != std::string::npos);
      // Most cases also lack the required endpoint, which must be reported too.
      if (std::string(text).find("listen") != std::string::npos) continue;
      CPPUNIT_ASSERT(all.find("\"listen\" is missing") != std::string::npos);
    }
    const auto long_line = ParseSettings(
        kTable, "[node]\nid = 1 ;" + std::string(300, 'x'), "n.ini");
    CPPUNIT_ASSERT_EQUAL(std::string("n.ini:2"), long_line.error()[0].path);
  }

  void HelpTextParses() {
    const auto settings = ParseSettings(
        kTable,
        SampleSettingsFile(kTable) + "[node]\nid=1\n[net]\nlisten=1.1.1.1:1",
        "help");
    CPPUNIT_ASSERT(settings.has_value());
  }

  void QuotesLogValues() {
    CPPUNIT_ASSERT_EQUAL(std::string("a-b"), LogValue("a-b"));
    CPPUNIT_ASSERT_EQUAL(std::string("\"\""), LogValue(""));
    CPPUNIT_ASSERT_EQUAL(std::string("\"a b=\\\"c\\x0a\""),
                         LogValue("a b=\"c\n"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);

}  // namespace
}  // namespace sardinelead
