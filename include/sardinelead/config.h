#ifndef SARDINELEAD_CONFIG_H_
#define SARDINELEAD_CONFIG_H_

// The configuration that operators change with patches: workspaces and their
// services. Configuration is a value type; Apply() returns the configuration
// that results from a patch, or an error. All functions are deterministic.

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace sardinelead {

// How responses of a target reach the caller.
enum class ResponsePath : std::uint8_t {
  kDirect,           // Sent by the target directly to the caller.
  kThroughBalancer,  // Sent through any balancer, which validates the flow.
};
const char* Name(ResponsePath path);

// Upper bounds; 0 means unlimited.
struct Limits {
  std::uint64_t flows = 0;  // Concurrent flows, in the data centre.
  std::uint64_t new_flows_per_second = 0;  // In the data centre.
  std::uint64_t packets_per_second = 0;    // In the data centre.

  friend bool operator==(const Limits& a, const Limits& b) {
    return a.flows == b.flows &&
           a.new_flows_per_second == b.new_flows_per_second &&
           a.packets_per_second == b.packets_per_second;
  }
};

struct Workspace {
  std::string name;
  // Weight of the workspace when capacity is contended, 1 to 1,000.
  std::uint32_t share = 1;
  Limits limits;
};

struct Service {
  ServiceId id;  // Assigned by Apply(), never by an operator; never reused.
  std::string name;
  std::string workspace;
  Endpoint address;
  Protocol protocol = Protocol::kTcp;
  ResponsePath answers = ResponsePath::kDirect;
  Limits limits;
  // Idle time after which the record of an established flow may be removed.
  std::uint32_t idle_timeout_s = 6 * 3600;
  // How long flows on a draining target may continue; 0 means no limit.
  std::uint32_t drain_deadline_s = 0;
  // Maps caller prefixes to workspaces other than the owner ("10.1.0.0/16" to
  // "multan"). Flows of such callers are charged to the mapped workspace's
  // share of this service.
  std::map<std::string, std::string> caller_workspaces;
};

struct ServiceAddress {
  Endpoint address;
  Protocol protocol = Protocol::kTcp;

  friend bool operator==(const ServiceAddress& a, const ServiceAddress& b) {
    return a.protocol == b.protocol && a.address == b.address;
  }
};
struct ServiceAddressHash {
  std::size_t operator()(const ServiceAddress& address) const;
};

class Configuration {
 public:
  ConfigVersion version;
  std::map<std::string, Workspace> workspaces;
  // Keyed by "workspace/service".
  std::map<std::string, Service> services;
  std::uint32_t next_service_id = 1;

  // Returns nullptr if no service has this address. Cost: one hash lookup.
  const Service* FindByAddress(const ServiceAddress& address) const;
  // Returns nullptr if no service has this id. Cost: one hash lookup.
  const Service* FindById(ServiceId id) const;
  // Must be called after `services` changes and before the next Find call.
  void BuildIndex();

 private:
  std::unordered_map<ServiceAddress, const Service*, ServiceAddressHash>
      m_by_address;
  std::unordered_map<std::uint32_t, const Service*> m_by_id;

 public:
  Configuration() = default;
  Configuration(const Configuration& other);
  Configuration& operator=(const Configuration& other);
  // Moving a map does not relocate its elements, so the index stays valid.
  Configuration(Configuration&& other) = default;
  Configuration& operator=(Configuration&& other) = default;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

enum class OperationKind : std::uint8_t {
  kPutWorkspace,
  kRemoveWorkspace,  // Rejected while services refer to it.
  kPutService,       // Creates or updates a service; an update keeps its id.
  kRemoveService,
};
const char* Name(OperationKind kind);

struct Operation {
  OperationKind kind = OperationKind::kPutWorkspace;
  // Used by kPutWorkspace and kRemoveWorkspace (name only).
  Workspace workspace;
  // Used by kPutService and kRemoveService (name and workspace only).
  Service service;
};

// A change that an operator submits against a base version.
struct Patch {
  std::string id;  // Chosen by the operator; identical on a retry.
  ConfigVersion base;
  std::vector<Operation> operations;
};

// Returns the configuration that results from `patch`, with version base + 1.
// Errors: kVersionConflict, kUnknownName, kDuplicate, kOutOfRange, with the
// path of the invalid field.
Result<Configuration> Apply(const Configuration& current, const Patch& patch);

// Conversion to and from the operators' JSON. Parsing rejects unknown keys.
nlohmann::json ToJson(const Configuration& configuration);
Result<Configuration> ConfigurationFromJson(const nlohmann::json& json);
nlohmann::json ToJson(const Patch& patch);
Result<Patch> PatchFromJson(const nlohmann::json& json);

}  // namespace sardinelead

#endif  // SARDINELEAD_CONFIG_H_
