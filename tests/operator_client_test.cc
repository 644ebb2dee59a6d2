#include "operator_client.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <string>

namespace sardinelead {
namespace {

using nlohmann::json;

// Simulates control VMs that return scripted responses in order; the last one
// is repeated. Sleeping advances the simulated clock.
class OperatorClientTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(OperatorClientTest);
  CPPUNIT_TEST(ResendsAnUnknownOutcomeWithTheSameId);
  CPPUNIT_TEST(EndsAsUnknownAtTheDeadline);
  CPPUNIT_TEST(EndsAsUnreachableWhereNothingWasSent);
  CPPUNIT_TEST(RefusalsOfTheServiceAreFinal);
  CPPUNIT_TEST(NotSubmittedAfterALostAnswerStaysUnknown);
  CPPUNIT_TEST(UnrecognizedResponsesLeaveTheOutcomeUnknown);
  CPPUNIT_TEST(ReadsTheNewestOfStaleConfigurations);
  CPPUNIT_TEST_SUITE_END();

 public:
  void ResendsAnUnknownOutcomeWithTheSameId() {
    Script({LostResponse(), OutcomeResponse(503, "unknown"),
            OutcomeResponse(200, "accepted")});
    CPPUNIT_ASSERT(Submit() == SubmitOutcome::kAccepted);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_calls.size());
    for (const HttpClientRequest& call : m_calls) {
      CPPUNIT_ASSERT_EQUAL(m_calls.front().body, call.body);
    }
    CPPUNIT_ASSERT(m_nodes[0] != m_nodes[1]);
  }

  void EndsAsUnknownAtTheDeadline() {
    Script({OutcomeResponse(503, "unknown"), NotSent()});
    CPPUNIT_ASSERT(Submit() == SubmitOutcome::kUnknown);
    CPPUNIT_ASSERT(m_now >= TimePoint(std::chrono::seconds(20)));
  }

  void EndsAsUnreachableWhereNothingWasSent() {
    Script({NotSent()});
    CPPUNIT_ASSERT(Submit() == SubmitOutcome::kUnreachable);
  }

  void RefusalsOfTheServiceAreFinal() {
    Script({LostResponse(), OutcomeResponse(409, "refused")});
    CPPUNIT_ASSERT(Submit() == SubmitOutcome::kRefused);
    Script({OutcomeResponse(403, "not-submitted")});
    CPPUNIT_ASSERT(Submit() == SubmitOutcome::kRefused);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_calls.size());
  }

  void NotSubmittedAfterALostAnswerStaysUnknown() {
    Script({LostResponse(), OutcomeResponse(403, "not-submitted")});
    CPPUNIT_ASSERT(Submit() == SubmitOutcome::kUnknown);
  }

  void UnrecognizedResponsesLeaveTheOutcomeUnknown() {
    for (const HttpClientResponse& foreign :
         {HttpClientResponse{200, {}, "<html>"},
          HttpClientResponse{409, {}, "{}"},
          HttpClientResponse{200, {}, R"({"outcome": 1})"},
          HttpClientResponse{
              404, {}, R"({"error": {"code": "unknown-name"}})"}}) {
      Script({foreign});
      CPPUNIT_ASSERT(Submit() == SubmitOutcome::kUnknown);
    }
  }

  void ReadsTheNewestOfStaleConfigurations() {
    Script({ConfigurationResponse(3, true), ConfigurationResponse(5, true),
            ConfigurationResponse(4, true)});
    CPPUNIT_ASSERT(m_client.GetConfiguration().value()["version"] == 5);
    Script({ConfigurationResponse(3, true), ConfigurationResponse(4, false),
            ConfigurationResponse(9, true)});
    CPPUNIT_ASSERT(m_client.GetConfiguration().value()["version"] == 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_calls.size());
  }

 private:
  using Reply = Result<HttpClientResponse>;

  static Reply LostResponse() { return Fail(ErrorCode::kUnavailable, "lost"); }
  static Reply NotSent() { return Fail(ErrorCode::kIo, "refused"); }
  static Reply OutcomeResponse(int status, const char* outcome) {
    return HttpClientResponse{status, {}, json({{"outcome", outcome}}).dump()};
  }
  static Reply ConfigurationResponse(int version, bool stale) {
    const json body = {{"version", version}, {"stale", stale}};
    return HttpClientResponse{200, {}, body.dump()};
  }

  void Script(std::deque<Reply> script) {
    m_script = std::move(script);
    m_calls.clear();
    m_nodes.clear();
    m_now = TimePoint();
  }
  SubmitOutcome Submit() {
    return m_client.Submit("/v1/patches", {{"id", "p"}}).outcome;
  }

  OperatorClientSettings MakeSettings() const {
    OperatorClientSettings settings;
    for (const char* text : {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}) {
      settings.control.push_back(*Endpoint::Parse(text));
    }
    return settings;
  }
  OperatorClientHooks MakeHooks() {
    OperatorClientHooks hooks;
    hooks.call = [this](const Endpoint& node, const HttpClientRequest& call) {
      m_nodes.push_back(node);
      m_calls.push_back(call);
      Reply reply = m_script.front();
      if (m_script.size() > 1) m_script.pop_front();
      return reply;
    };
    hooks.now = [this] { return m_now; };
    hooks.sleep = [this](Duration pause) { m_now += pause; };
    return hooks;
  }

  std::deque<Reply> m_script;
  std::vector<HttpClientRequest> m_calls;
  std::vector<Endpoint> m_nodes;
  TimePoint m_now;
  OperatorClient m_client{MakeSettings(), MakeHooks()};
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorClientTest);

}  // namespace
}  // namespace sardinelead
