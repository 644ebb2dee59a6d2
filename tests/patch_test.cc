#include <cppunit/extensions/HelperMacros.h>

#include "sardinelead/config.h"

namespace sardinelead {
namespace {

using nlohmann::json;

json PutService(const std::string& name, const std::string& address) {
  return {{"kind", "put-service"},
          {"service",
           {{"name", name},
            {"workspace", "linaw"},
            {"address", address},
            {"protocol", "tcp"}}}};
}

json PutWorkspace(const std::string& name) {
  return {{"kind", "put-workspace"}, {"workspace", {{"name", name}}}};
}

Result<Configuration> ApplyJson(const Configuration& current,
                                const json& operations) {
  const json patch = {
      {"id", "p"}, {"base", current.version.value}, {"operations", operations}};
  const auto read = PatchFromJson(patch);
  if (!read) return tl::unexpected<Error>(read.error());
  return Apply(current, *read);
}

class PatchTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(PatchTest);
  CPPUNIT_TEST(AppliesAndFinds);
  CPPUNIT_TEST(RefusesAnotherVersion);
  CPPUNIT_TEST(NamesTheFieldThatIsWrong);
  CPPUNIT_TEST(SwapsAddressesInOnePatch);
  CPPUNIT_TEST(NeverUsesAServiceIdAgain);
  CPPUNIT_TEST(JsonRoundTrips);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    const auto applied =
        ApplyJson(Configuration(),
                  {PutWorkspace("linaw"), PutService("orders", "192.0.2.1:80"),
                   PutService("gallery", "192.0.2.2:80")});
    CPPUNIT_ASSERT(applied);
    m_current = *applied;
  }

  void AppliesAndFinds() {
    const Service* service = m_current.FindByAddress(
        {*Endpoint::Parse("192.0.2.2:80"), Protocol::kTcp});
    CPPUNIT_ASSERT(service != nullptr);
    CPPUNIT_ASSERT_EQUAL(std::string("gallery"), service->name);
    CPPUNIT_ASSERT(m_current.FindById(service->id) == service);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_current.version.value);
  }

  void RefusesAnotherVersion() {
    Patch patch;
    patch.id = "p";
    const auto applied = Apply(m_current, patch);
    CPPUNIT_ASSERT(!applied);
    CPPUNIT_ASSERT(applied.error().code == ErrorCode::kVersionConflict);
  }

  void AssertRefused(const json& operation, ErrorCode code,
                     const std::string& path) {
    const auto applied = ApplyJson(m_current, json::array({operation}));
    CPPUNIT_ASSERT_MESSAGE(operation.dump(), !applied);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(applied.error().ToString(), path,
                                 applied.error().path);
    CPPUNIT_ASSERT_EQUAL(std::string(Name(code)),
                         std::string(Name(applied.error().code)));
  }

  void AssertServiceRefused(const std::string& key, const json& value,
                            ErrorCode code, const std::string& path) {
    json operation = PutService("new", "192.0.2.3:80");
    operation["service"][key] = value;
    AssertRefused(operation, code, "operations[0].service." + path);
  }

  void NamesTheFieldThatIsWrong() {
    const ErrorCode range = ErrorCode::kOutOfRange;
    const ErrorCode malformed = ErrorCode::kMalformed;
    AssertServiceRefused("workspace", "none", ErrorCode::kUnknownName,
                         "workspace");
    AssertServiceRefused("address", "192.0.2.1:80", ErrorCode::kDuplicate,
                         "address");
    AssertServiceRefused("address", "192.0.2.3:0", range, "address");
    AssertServiceRefused("address", "0.0.0.0:80", range, "address");
    AssertServiceRefused("address", "here", malformed, "address");
    AssertServiceRefused("protocol", "sctp", malformed, "protocol");
    AssertServiceRefused("name", "A b", range, "name");
    AssertServiceRefused("idle_timeout_s", 0, range, "idle_timeout_s");
    AssertServiceRefused("idle_timeout_s", -1, malformed, "idle_timeout_s");
    AssertServiceRefused("drain_deadline_s", 1ULL << 33, malformed,
                         "drain_deadline_s");
    AssertServiceRefused("limits", {{"flows", 2'000'000'000'000}}, range,
                         "limits.flows");
    AssertServiceRefused("caller_workspaces", {{"10.0.0.0/40", "linaw"}}, range,
                         "caller_workspaces[\"10.0.0.0/40\"]");
    AssertServiceRefused("colour", 1, malformed, "colour");
    AssertServiceRefused("id", 1, malformed, "id");
    json share = PutWorkspace("linaw");
    share["workspace"]["share"] = 1001;
    AssertRefused(share, range, "operations[0].workspace.share");
    AssertRefused(
        {{"kind", "remove-workspace"}, {"workspace", {{"name", "linaw"}}}},
        ErrorCode::kNotAllowed, "operations[0].workspace.name");
    AssertRefused({{"kind", "remove-service"},
                   {"service", {{"name", "none"}, {"workspace", "linaw"}}}},
                  ErrorCode::kUnknownName, "operations[0].service.name");
    AssertRefused({{"kind", "drop"}}, malformed, "operations[0].kind");
  }

  void SwapsAddressesInOnePatch() {
    const auto swapped =
        ApplyJson(m_current, {PutService("orders", "192.0.2.2:80"),
                              PutService("gallery", "192.0.2.1:80")});
    CPPUNIT_ASSERT(swapped);
    CPPUNIT_ASSERT(swapped->services.at("linaw/orders").id ==
                   m_current.services.at("linaw/orders").id);
  }

  void NeverUsesAServiceIdAgain() {
    const ServiceId old = m_current.services.at("linaw/gallery").id;
    const json remove = {
        {"kind", "remove-service"},
        {"service", {{"name", "gallery"}, {"workspace", "linaw"}}}};
    const auto again =
        ApplyJson(m_current, {remove, PutService("gallery", "192.0.2.2:80")});
    CPPUNIT_ASSERT(again);
    CPPUNIT_ASSERT(old < again->services.at("linaw/gallery").id);
  }

  void JsonRoundTrips() {
    json put = PutService("all", "[2001:db8::1]:53");
    put["service"]["protocol"] = "udp";
    put["service"]["answers"] = "through-balancer";
    put["service"]["limits"] = {{"flows", 5}};
    put["service"]["caller_workspaces"] = {{"10.1.0.0/16", "linaw"}};
    const auto applied = ApplyJson(m_current, json::array({put}));
    CPPUNIT_ASSERT(applied);
    const json text = ToJson(*applied);
    const auto read = ConfigurationFromJson(text);
    CPPUNIT_ASSERT(read);
    CPPUNIT_ASSERT(ToJson(*read) == text);
    CPPUNIT_ASSERT(read->FindByAddress({*Endpoint::Parse("[2001:db8::1]:53"),
                                        Protocol::kUdp}) != nullptr);
  }

 private:
  Configuration m_current;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PatchTest);

}  // namespace
}  // namespace sardinelead
