#include "operator_client.h"

#include <utility>

namespace sardinelead {
namespace {

using nlohmann::json;

constexpr Duration kRetryInterval = std::chrono::milliseconds(200);
constexpr int kOk = 200;
constexpr int kConflict = 409;
constexpr int kFirstError = 400;
constexpr int kFirstServerError = 500;

// Builds an error from the HTTP status and the error object in the body, if
// any.
Error ErrorFromResponse(const HttpClientResponse& answer, const json& body) {
  const auto error = body.is_object() ? body.find("error") : body.end();
  const ErrorCode code = answer.status >= kFirstServerError
                             ? ErrorCode::kUnavailable
                             : ErrorCode::kNotAllowed;
  if (error != body.end() && error->is_object()) {
    return {code, error->value("message", ""), error->value("path", "")};
  }
  return {code, "status " + std::to_string(answer.status), ""};
}

json ErrorBody(const Error& error) { return {{"error", ToJson(error)}}; }

// The outcome of a change according to one response.
enum class Outcome { kAccepted, kRefused, kNotSubmitted, kUnrecognized };

// Requires the "outcome" field that the service sends: a status code alone may
// come from an intermediary such as a proxy.
Outcome ParseOutcome(const HttpClientResponse& answer, const json& body) {
  const bool has_outcome = body.is_object() && body.contains("outcome") &&
                           body["outcome"].is_string();
  const auto outcome = has_outcome ? body["outcome"].get<std::string>() : "";
  if (answer.status == kOk && outcome == "accepted") return Outcome::kAccepted;
  if (answer.status == kConflict && outcome == "refused") {
    return Outcome::kRefused;
  }
  return outcome == "not-submitted" ? Outcome::kNotSubmitted
                                    : Outcome::kUnrecognized;
}

}  // namespace

const char* Name(SubmitOutcome outcome) {
  switch (outcome) {
    case SubmitOutcome::kAccepted:
      return "accepted";
    case SubmitOutcome::kRefused:
      return "refused";
    case SubmitOutcome::kUnknown:
      return "unknown";
    case SubmitOutcome::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

OperatorClient::OperatorClient(OperatorClientSettings settings,
                               OperatorClientHooks hooks)
    : m_settings(std::move(settings)), m_hooks(std::move(hooks)) {}

HttpClientRequest OperatorClient::MakeCall(HttpMethod method,
                                           const std::string& path) const {
  HttpClientRequest call;
  call.method = method;
  call.path = path;
  call.token = m_settings.token;
  call.deadline = m_settings.call_deadline;
  return call;
}

SubmitResult OperatorClient::Submit(const std::string& path,
                                    const json& change) {
  HttpClientRequest call = MakeCall(HttpMethod::kPost, path);
  call.body = change.dump();
  const TimePoint end = m_hooks.now() + m_settings.deadline;
  SubmitResult last;
  last.body = ErrorBody({ErrorCode::kIo, "no control VM is configured", ""});
  // Once an attempt may have been applied, "not-submitted" from a later one is
  // not conclusive: only "accepted" or "refused" is.
  bool may_have_been_applied = false;
  while (m_hooks.now() < end && !m_settings.control.empty()) {
    for (const Endpoint& node : m_settings.control) {
      const auto answer = m_hooks.call(node, call);
      if (!answer) {
        may_have_been_applied |= answer.error().code != ErrorCode::kIo;
        last.body = ErrorBody(answer.error());
        continue;
      }
      last.body = json::parse(answer->body, nullptr, false);
      const Outcome outcome = ParseOutcome(*answer, last.body);
      may_have_been_applied |= outcome == Outcome::kUnrecognized;
      const bool is_refused =
          outcome == Outcome::kRefused ||
          (outcome == Outcome::kNotSubmitted && !may_have_been_applied);
      if (outcome != Outcome::kAccepted && !is_refused) continue;
      last.outcome =
          is_refused ? SubmitOutcome::kRefused : SubmitOutcome::kAccepted;
      return last;
    }
    m_hooks.sleep(kRetryInterval);
  }
  last.outcome = may_have_been_applied ? SubmitOutcome::kUnknown
                                       : SubmitOutcome::kUnreachable;
  return last;
}

Result<json> OperatorClient::CallJson(const Endpoint& node,
                                      const HttpClientRequest& call) {
  const auto answer = m_hooks.call(node, call);
  if (!answer) return tl::unexpected<Error>(answer.error());
  json body = json::parse(answer->body, nullptr, false);
  if (answer->status >= kFirstError) {
    return tl::unexpected<Error>(ErrorFromResponse(*answer, body));
  }
  if (body.is_discarded()) {
    return Fail(ErrorCode::kMalformed, node.ToString() + " sent no valid JSON");
  }
  return body;
}

Result<json> OperatorClient::GetConfiguration() {
  Result<json> best = Fail(ErrorCode::kIo, "no control VM is configured");
  for (const Endpoint& node : m_settings.control) {
    auto body = CallJson(node, MakeCall(HttpMethod::kGet, "/v1/configuration"));
    if (!body) {
      if (!best) best = std::move(body);
      continue;
    }
    const bool newer =
        !best || body->value("version", 0ULL) > best->value("version", 0ULL);
    const bool stale = body->value("stale", true);
    if (newer) best = std::move(body);
    if (!stale) return best;
  }
  return best;
}

Result<json> OperatorClient::GetFromControl(const std::string& path) {
  Result<json> last = Fail(ErrorCode::kIo, "no control VM is configured");
  for (const Endpoint& node : m_settings.control) {
    last = CallJson(node, MakeCall(HttpMethod::kGet, path));
    if (last) return last;
  }
  return last;
}

std::vector<NodeResponse> OperatorClient::GetFromEach(
    const std::vector<Endpoint>& nodes, const std::string& path) {
  std::vector<NodeResponse> answers;
  answers.reserve(nodes.size());
  for (const Endpoint& node : nodes) {
    answers.push_back({node, CallJson(node, MakeCall(HttpMethod::kGet, path))});
  }
  return answers;
}

Result<json> OperatorClient::PostToBalancers(const std::string& path) {
  Result<json> last = Fail(ErrorCode::kIo, "no balancer is configured");
  for (const Endpoint& node : m_settings.balancers) {
    auto answer = CallJson(node, MakeCall(HttpMethod::kPost, path));
    if (answer) return answer;
    // An error returned by a balancer is more useful than a connection error.
    if (last || last.error().code == ErrorCode::kIo) last = std::move(answer);
  }
  return last;
}

}  // namespace sardinelead
