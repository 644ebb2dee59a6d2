#include "sardinelead/access.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace sardinelead {
namespace {

constexpr char kAmina[] = "amina-0123456789";
constexpr char kRoot[] = "root--0123456789";
constexpr char kTargets[] = "targets-01234567";

std::string FileText() {
  return "[operator amina]\ntoken_sha256 = " + ToHex(DigestOf(kAmina)) +
         "\nworkspaces = linaw\n[operator root]\ntoken_sha256 = " +
         ToHex(DigestOf(kRoot)) + "\nworkspaces = *\n[targets linaw]\n" +
         "token_sha256 = " + ToHex(DigestOf(kTargets)) + "\n";
}

class AccessTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(AccessTest);
  CPPUNIT_TEST(FindsOperatorsByToken);
  CPPUNIT_TEST(RefusesOtherWorkspaces);
  CPPUNIT_TEST(ChecksTargetTokens);
  CPPUNIT_TEST(ReportsErrorLocations);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindsOperatorsByToken() {
    CPPUNIT_ASSERT(m_access.FindOperator(kAmina).value().name == "amina");
    CPPUNIT_ASSERT(m_access.FindOperator(kRoot).value().all_workspaces);
    for (const char* token : {"", "x", "stranger-0123456789", kTargets}) {
      CPPUNIT_ASSERT(m_access.FindOperator(token).error().code ==
                     ErrorCode::kNotAllowed);
    }
  }

  void RefusesOtherWorkspaces() {
    const Operator amina = m_access.FindOperator(kAmina).value();
    const Operator root = m_access.FindOperator(kRoot).value();
    Patch patch;
    patch.operations = {PutService("linaw"), PutService("sabaq")};
    const auto refused = CheckPatch(amina, patch);
    CPPUNIT_ASSERT(refused.error().code == ErrorCode::kNotAllowed);
    CPPUNIT_ASSERT_EQUAL(std::string("operations[1].service.workspace"),
                         refused.error().path);
    CPPUNIT_ASSERT(CheckPatch(root, patch).has_value());
    patch.operations.pop_back();
    CPPUNIT_ASSERT(CheckPatch(amina, patch).has_value());
    Operation share;
    share.workspace.name = "linaw";
    patch.operations.push_back(share);
    CPPUNIT_ASSERT(!CheckPatch(amina, patch).has_value());
    CPPUNIT_ASSERT(CheckPatch(root, patch).has_value());
  }

  void ChecksTargetTokens() {
    CPPUNIT_ASSERT(m_access.AuthorizeTarget(kTargets, "linaw").has_value());
    CPPUNIT_ASSERT(m_access.AuthorizeTarget(kAmina, "linaw").has_value());
    CPPUNIT_ASSERT(!m_access.AuthorizeTarget(kTargets, "sabaq").has_value());
    CPPUNIT_ASSERT(!m_access.AuthorizeTarget("", "linaw").has_value());
  }

  void ReportsErrorLocations() {
    const auto error_path = [](const std::string& text) {
      return Access::Parse(text, "a.ini").error().path;
    };
    CPPUNIT_ASSERT_EQUAL(std::string("a.ini [operator x] token_sha256"),
                         error_path("[operator x]\nworkspaces = *\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("a.ini [strangers]"),
                         error_path("[strangers]\nx = 1\n"));
    const std::string digest = "token_sha256=" + ToHex(DigestOf("x"));
    CPPUNIT_ASSERT_EQUAL(std::string("a.ini [operator x] workspaces"),
                         error_path("[operator x]\n" + digest + "\n"));
    CPPUNIT_ASSERT_EQUAL(std::string("a.ini [targets x] port"),
                         error_path("[targets x]\n" + digest + "\nport=1\n"));
  }

 private:
  static Operation PutService(const std::string& workspace) {
    Operation operation;
    operation.kind = OperationKind::kPutService;
    operation.service.workspace = workspace;
    return operation;
  }

  const Access m_access = Access::Parse(FileText(), "access.ini").value();
};

CPPUNIT_TEST_SUITE_REGISTRATION(AccessTest);

}  // namespace
}  // namespace sardinelead
