#include "sardinelead/types.h"

#include <cppunit/extensions/HelperMacros.h>

namespace sardinelead {
namespace {

class TypesTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(TypesTest);
  CPPUNIT_TEST(ParsesAndFormatsEndpoints);
  CPPUNIT_TEST(RejectsMalformedEndpoints);
  CPPUNIT_TEST(HashDependsOnPortAndProtocol);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ParsesAndFormatsEndpoints() {
    for (const char* text : {"192.0.2.1:80", "[2001:db8::1]:443"}) {
      const auto endpoint = Endpoint::Parse(text);
      CPPUNIT_ASSERT(endpoint.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string(text), endpoint->ToString());
    }
  }

  void RejectsMalformedEndpoints() {
    for (const char* text : {"", "192.0.2.1", "192.0.2.1:", "192.0.2.1:70000",
                             "2001:db8::1:80", "[192.0.2.1]:80", "a:1"}) {
      CPPUNIT_ASSERT_MESSAGE(text, !Endpoint::Parse(text).has_value());
    }
  }

  void HashDependsOnPortAndProtocol() {
    FlowKey key;
    key.caller = *Endpoint::Parse("10.0.0.1:1000");
    key.service = *Endpoint::Parse("10.0.0.2:80");
    FlowKey other = key;
    other.caller.port = 1001;
    CPPUNIT_ASSERT(key.Hash() != other.Hash());
    other = key;
    other.protocol = Protocol::kUdp;
    CPPUNIT_ASSERT(key.Hash() != other.Hash());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TypesTest);

}  // namespace
}  // namespace sardinelead
