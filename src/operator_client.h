#ifndef SARDINELEAD_SRC_OPERATOR_CLIENT_H_
#define SARDINELEAD_SRC_OPERATOR_CLIENT_H_

// The client that sardinectl uses to query and change a system. If the response
// to a change is lost, the change is resent with the same id to each control VM
// in turn until its outcome is known or the deadline passes. The id is an
// idempotency key, so the change takes effect at most once.

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/http_client.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct OperatorClientSettings {
  std::vector<Endpoint> control;    // HTTP endpoints of the control VMs.
  std::vector<Endpoint> balancers;  // HTTP endpoints of the balancers.
  std::string token;
  Duration deadline = std::chrono::seconds(20);  // For a change, with retries.
  Duration call_deadline = std::chrono::seconds(5);  // For one HTTP request.
};

struct OperatorClientHooks {
  std::function<Result<HttpClientResponse>(const Endpoint&,
                                           const HttpClientRequest&)>
      call;
  std::function<TimePoint()> now;
  std::function<void(Duration)> sleep;
};

enum class SubmitOutcome {
  kAccepted,
  kRefused,      // Not applied.
  kUnknown,      // May have been applied; resend with the same id.
  kUnreachable,  // No control VM received it; not applied.
};
const char* Name(SubmitOutcome outcome);

struct SubmitResult {
  SubmitOutcome outcome = SubmitOutcome::kUnreachable;
  nlohmann::json body;  // The last response, or the error if there was none.
};

// The response of one VM.
struct NodeResponse {
  Endpoint node;
  Result<nlohmann::json> body;
};

class OperatorClient {
 public:
  OperatorClient(OperatorClientSettings settings, OperatorClientHooks hooks);

  // Posts a change to the control VMs. `change` must have an "id" unless it may
  // be repeated without one.
  SubmitResult Submit(const std::string& path, const nlohmann::json& change);
  // Queries the control VMs in order until one returns a configuration that is
  // not stale. Returns the newest configuration received.
  Result<nlohmann::json> GetConfiguration();
  // Returns the first successful response from a control VM.
  Result<nlohmann::json> GetFromControl(const std::string& path);
  std::vector<NodeResponse> GetFromEach(const std::vector<Endpoint>& nodes,
                                        const std::string& path);
  // Posts an idempotent request to each balancer in turn until one succeeds.
  Result<nlohmann::json> PostToBalancers(const std::string& path);

  const OperatorClientSettings& settings() const {  // NOLINT
    return m_settings;
  }

 private:
  HttpClientRequest MakeCall(HttpMethod method, const std::string& path) const;
  Result<nlohmann::json> CallJson(const Endpoint& node,
                                  const HttpClientRequest& call);

  const OperatorClientSettings m_settings;
  const OperatorClientHooks m_hooks;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_OPERATOR_CLIENT_H_
