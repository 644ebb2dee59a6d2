// Applies an operator's patch. Each operation is validated against the
// configuration that results from the preceding operations. Addresses are
// validated against the final configuration, so that a single patch can swap
// the addresses of two services.

#include <algorithm>
#include <charconv>
#include <set>

#include "sardinelead/config.h"

namespace sardinelead {
namespace {

using Status = tl::expected<void, Error>;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kMaxPatchIdLength = 128;
constexpr std::size_t kMaxOperations = 1000;
constexpr std::size_t kMaxCallerWorkspaces = 256;
constexpr std::uint32_t kMaxShare = 1000;
constexpr std::uint64_t kMaxLimit = 1'000'000'000'000;
constexpr std::uint32_t kMaxTimeoutSeconds = 7 * 24 * 3600;

std::string Quoted(const std::string& text) { return "\"" + text + "\""; }

std::string ServiceKey(const Service& service) {
  return service.workspace + "/" + service.name;
}

bool IsNameChar(char c) {
  const bool is_letter = c >= 'a' && c <= 'z';
  const bool is_digit = c >= '0' && c <= '9';
  return is_letter || is_digit || c == '-' || c == '_';
}

Status CheckName(const std::string& name, const std::string& path) {
  const bool size_ok = !name.empty() && name.size() <= kMaxNameLength;
  if (size_ok && std::all_of(name.begin(), name.end(), IsNameChar)) return {};
  return Fail(ErrorCode::kOutOfRange,
              "name " + Quoted(name) +
                  " is not 1 to 64 characters of a-z, 0-9, \"-\" and \"_\"",
              path);
}

Status CheckRange(std::uint64_t value, std::uint64_t low, std::uint64_t high,
                  const std::string& path) {
  if (value >= low && value <= high) return {};
  return Fail(ErrorCode::kOutOfRange,
              std::to_string(value) + " is not within " + std::to_string(low) +
                  " to " + std::to_string(high),
              path);
}

Status CheckLimits(const Limits& limits, const std::string& path) {
  const std::pair<std::uint64_t, const char*> fields[] = {
      {limits.flows, ".flows"},
      {limits.new_flows_per_second, ".new_flows_per_second"},
      {limits.packets_per_second, ".packets_per_second"},
  };
  for (const auto& [value, name] : fields) {
    Status status = CheckRange(value, 0, kMaxLimit, path + name);
    if (!status) return status;
  }
  return {};
}

// Returns whether `text` is an address with a prefix length, such as
// "10.1.0.0/16".
bool IsAddressPrefix(const std::string& text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string::npos) return false;
  const auto address = IpAddress::Parse(text.substr(0, slash));
  if (!address) return false;
  int bits = -1;
  const char* end = text.data() + text.size();
  const auto [parsed_end, error] =
      std::from_chars(text.data() + slash + 1, end, bits);
  if (error != std::errc() || parsed_end != end) return false;
  return bits >= 0 && bits <= (address->IsV4() ? 32 : 128);
}

Status UnknownWorkspaceError(const std::string& name, const std::string& path) {
  return Fail(ErrorCode::kUnknownName,
              "workspace " + Quoted(name) + " does not exist", path);
}

Status CheckCallerWorkspaces(const Configuration& next, const Service& service,
                             const std::string& path) {
  Status count = CheckRange(service.caller_workspaces.size(), 0,
                            kMaxCallerWorkspaces, path);
  if (!count) return count;
  for (const auto& [prefix, workspace] : service.caller_workspaces) {
    const std::string field_path = path + "[" + Quoted(prefix) + "]";
    if (!IsAddressPrefix(prefix)) {
      return Fail(ErrorCode::kOutOfRange,
                  Quoted(prefix) + " is not an address prefix", field_path);
    }
    if (next.workspaces.count(workspace) == 0) {
      return UnknownWorkspaceError(workspace, field_path);
    }
  }
  return {};
}

Status CheckService(const Configuration& next, const Service& service,
                    const std::string& path) {
  if (next.workspaces.count(service.workspace) == 0) {
    return UnknownWorkspaceError(service.workspace, path + ".workspace");
  }
  const IpAddress& host = service.address.address;
  const bool has_host = host != IpAddress{} && host != IpAddress::FromV4(0);
  if (service.address.port == 0 || !has_host) {
    return Fail(ErrorCode::kOutOfRange,
                "address " + Quoted(service.address.ToString()) +
                    " has no host or no port",
                path + ".address");
  }
  const Status statuses[] = {
      CheckName(service.name, path + ".name"),
      CheckLimits(service.limits, path + ".limits"),
      CheckRange(service.idle_timeout_s, 1, kMaxTimeoutSeconds,
                 path + ".idle_timeout_s"),
      CheckRange(service.drain_deadline_s, 0, kMaxTimeoutSeconds,
                 path + ".drain_deadline_s"),
      CheckCallerWorkspaces(next, service, path + ".caller_workspaces"),
  };
  for (const Status& status : statuses) {
    if (!status) return status;
  }
  return {};
}

Status PutWorkspace(Configuration* next, const Workspace& workspace,
                    const std::string& path) {
  const Status statuses[] = {
      CheckName(workspace.name, path + ".name"),
      CheckRange(workspace.share, 1, kMaxShare, path + ".share"),
      CheckLimits(workspace.limits, path + ".limits"),
  };
  for (const Status& status : statuses) {
    if (!status) return status;
  }
  next->workspaces[workspace.name] = workspace;
  return {};
}

Status RemoveWorkspace(Configuration* next, const Workspace& workspace,
                       const std::string& path) {
  const std::string field_path = path + ".name";
  if (next->workspaces.count(workspace.name) == 0) {
    return UnknownWorkspaceError(workspace.name, field_path);
  }
  for (const auto& [key, service] : next->services) {
    bool is_used = service.workspace == workspace.name;
    for (const auto& [prefix, caller_workspace] : service.caller_workspaces) {
      is_used = is_used || caller_workspace == workspace.name;
    }
    if (!is_used) continue;
    return Fail(ErrorCode::kNotAllowed,
                "workspace " + Quoted(workspace.name) +
                    " is still used by service " + Quoted(key),
                field_path);
  }
  next->workspaces.erase(workspace.name);
  return {};
}

Status PutService(Configuration* next, const Service& service,
                  const std::string& path) {
  Status status = CheckService(*next, service, path);
  if (!status) return status;
  const auto [entry, is_new] = next->services.try_emplace(ServiceKey(service));
  const ServiceId id =
      is_new ? ServiceId{next->next_service_id++} : entry->second.id;
  entry->second = service;
  entry->second.id = id;
  return {};
}

Status RemoveService(Configuration* next, const Service& service,
                     const std::string& path) {
  if (next->services.erase(ServiceKey(service)) > 0) return {};
  return Fail(ErrorCode::kUnknownName,
              "service " + Quoted(service.name) +
                  " does not exist in workspace " + Quoted(service.workspace),
              path + ".name");
}

Status ApplyOperation(Configuration* next, const Operation& operation,
                      const std::string& path) {
  switch (operation.kind) {
    case OperationKind::kPutWorkspace:
      return PutWorkspace(next, operation.workspace, path + ".workspace");
    case OperationKind::kRemoveWorkspace:
      return RemoveWorkspace(next, operation.workspace, path + ".workspace");
    case OperationKind::kPutService:
      return PutService(next, operation.service, path + ".service");
    case OperationKind::kRemoveService:
      return RemoveService(next, operation.service, path + ".service");
  }
  return Fail(ErrorCode::kMalformed, "unknown kind of operation", path);
}

std::string OperationPath(std::size_t position) {
  return "operations[" + std::to_string(position) + "]";
}

// Rejects a patch that leaves two services with the same address.
Status CheckAddresses(const Configuration& next, const Patch& patch) {
  std::unordered_map<ServiceAddress, std::set<std::string>, ServiceAddressHash>
      services_by_address;
  for (const auto& [key, service] : next.services) {
    services_by_address[{service.address, service.protocol}].insert(key);
  }
  for (std::size_t i = 0; i < patch.operations.size(); ++i) {
    const Operation& operation = patch.operations[i];
    if (operation.kind != OperationKind::kPutService) continue;
    const std::string key = ServiceKey(operation.service);
    const auto found = next.services.find(key);
    if (found == next.services.end()) continue;
    const Service& service = found->second;
    for (const std::string& other :
         services_by_address[{service.address, service.protocol}]) {
      if (other == key) continue;
      return Fail(ErrorCode::kDuplicate,
                  "address " + Quoted(service.address.ToString()) + " " +
                      Name(service.protocol) + " belongs to service " +
                      Quoted(other),
                  OperationPath(i) + ".service.address");
    }
  }
  return {};
}

Status CheckPatch(const Configuration& current, const Patch& patch) {
  Status id = CheckRange(patch.id.size(), 1, kMaxPatchIdLength, "id.length");
  if (!id) return id;
  if (patch.base != current.version) {
    return Fail(ErrorCode::kVersionConflict,
                "patch is against version " + std::to_string(patch.base.value) +
                    ", the current one is " +
                    std::to_string(current.version.value),
                "base");
  }
  return CheckRange(patch.operations.size(), 1, kMaxOperations,
                    "operations.length");
}

}  // namespace

Result<Configuration> Apply(const Configuration& current, const Patch& patch) {
  Status status = CheckPatch(current, patch);
  if (!status) return tl::unexpected<Error>(status.error());
  Configuration next = current;
  for (std::size_t i = 0; i < patch.operations.size(); ++i) {
    const Status applied =
        ApplyOperation(&next, patch.operations[i], OperationPath(i));
    if (!applied) return tl::unexpected<Error>(applied.error());
  }
  const Status addresses = CheckAddresses(next, patch);
  if (!addresses) return tl::unexpected<Error>(addresses.error());
  next.version = ConfigVersion{current.version.value + 1};
  next.BuildIndex();
  return next;
}

}  // namespace sardinelead
