// JSON encoding of configurations and patches. Parsing validates types, integer
// ranges and unknown keys, and errors carry the path of the invalid field.

#include <array>
#include <limits>
#include <set>
#include <utility>

#include "sardinelead/config.h"

namespace sardinelead {
namespace {

using nlohmann::json;

std::string Join(const std::string& path, const std::string& key) {
  return path.empty() ? key : path + "." + key;
}

// Reads the fields of a JSON object and records the first error.
class ObjectReader {
 public:
  ObjectReader(const json& object, std::string path)
      : m_object(object), m_path(std::move(path)) {
    if (!object.is_object()) SetError("is not an object", m_path);
  }

  bool ok() const { return m_error.message.empty(); }  // NOLINT
  const Error& error() const { return m_error; }       // NOLINT

  void SetError(const std::string& problem, const std::string& path) {
    if (!ok()) return;
    const std::string location = path.empty() ? "document" : path;
    m_error = Error{ErrorCode::kMalformed, location + " " + problem, path};
  }

  // Returns nullptr if the key is missing.
  const json* Find(const std::string& key) {
    m_allowed.insert(key);
    if (!ok()) return nullptr;
    const auto found = m_object.find(key);
    return found == m_object.end() ? nullptr : &*found;
  }

  const json* Require(const std::string& key) {
    const json* value = Find(key);
    if (value == nullptr) SetError("is missing", Join(m_path, key));
    return value;
  }

  std::string ReadString(const std::string& key) {
    const json* value = Require(key);
    if (value == nullptr) return "";
    if (value->is_string()) return value->get<std::string>();
    SetError("is not a text", Join(m_path, key));
    return "";
  }

  // Leaves `*out` unchanged if the key is missing.
  template <typename T>
  void ReadUnsigned(const std::string& key, T* out) {
    const json* value = Find(key);
    if (value == nullptr) return;
    const bool is_valid = value->is_number_unsigned() ||
                          (value->is_number_integer() && *value >= 0);
    if (!is_valid) return SetError("is not a whole number", Join(m_path, key));
    const auto number = value->get<std::uint64_t>();
    if (number > std::numeric_limits<T>::max()) {
      return SetError("is too large", Join(m_path, key));
    }
    *out = static_cast<T>(number);
  }

  // Reports an error for a key that was never looked up.
  void RejectUnknownKeys() {
    if (!ok()) return;
    for (const auto& [key, value] : m_object.items()) {
      if (m_allowed.count(key) == 0) SetError("is unknown", Join(m_path, key));
    }
  }

  std::string FieldPath(const std::string& key) const {
    return Join(m_path, key);
  }
  // Copies the error of a nested object's reader unless one is already set.
  void MergeError(const ObjectReader& nested) {
    if (ok()) m_error = nested.error();
  }

 private:
  const json& m_object;
  std::string m_path;
  std::set<std::string> m_allowed;
  Error m_error;
};

json LimitsToJson(const Limits& limits) {
  return {{"flows", limits.flows},
          {"new_flows_per_second", limits.new_flows_per_second},
          {"packets_per_second", limits.packets_per_second}};
}

json WorkspaceToJson(const Workspace& workspace) {
  json object = {{"name", workspace.name}, {"share", workspace.share}};
  if (!(workspace.limits == Limits{})) {
    object["limits"] = LimitsToJson(workspace.limits);
  }
  return object;
}

json ServiceToJson(const Service& service) {
  json object = {{"name", service.name},
                 {"workspace", service.workspace},
                 {"address", service.address.ToString()},
                 {"protocol", Name(service.protocol)},
                 {"answers", Name(service.answers)},
                 {"idle_timeout_s", service.idle_timeout_s},
                 {"drain_deadline_s", service.drain_deadline_s}};
  if (service.id.value != 0) object["id"] = service.id.value;
  if (!(service.limits == Limits{})) {
    object["limits"] = LimitsToJson(service.limits);
  }
  if (!service.caller_workspaces.empty()) {
    object["caller_workspaces"] = service.caller_workspaces;
  }
  return object;
}

Limits ReadLimits(ObjectReader* parent) {
  Limits limits;
  const json* object = parent->Find("limits");
  if (object == nullptr) return limits;
  ObjectReader reader(*object, parent->FieldPath("limits"));
  reader.ReadUnsigned("flows", &limits.flows);
  reader.ReadUnsigned("new_flows_per_second", &limits.new_flows_per_second);
  reader.ReadUnsigned("packets_per_second", &limits.packets_per_second);
  reader.RejectUnknownKeys();
  parent->MergeError(reader);
  return limits;
}

Workspace ReadWorkspace(const json& object, const std::string& path,
                        ObjectReader* parent) {
  ObjectReader reader(object, path);
  Workspace workspace;
  workspace.name = reader.ReadString("name");
  reader.ReadUnsigned("share", &workspace.share);
  workspace.limits = ReadLimits(&reader);
  reader.RejectUnknownKeys();
  parent->MergeError(reader);
  return workspace;
}

void ReadAddress(ObjectReader* reader, Service* service) {
  const auto address = Endpoint::Parse(reader->ReadString("address"));
  if (address) service->address = *address;
  if (!address) {
    reader->SetError("is not an address with a port",
                     reader->FieldPath("address"));
  }
  const auto protocol = ParseProtocol(reader->ReadString("protocol"));
  if (protocol) service->protocol = *protocol;
  if (!protocol) {
    reader->SetError("is neither \"tcp\" nor \"udp\"",
                     reader->FieldPath("protocol"));
  }
}

void ReadAnswers(ObjectReader* reader, Service* service) {
  if (reader->Find("answers") == nullptr) return;
  const std::string text = reader->ReadString("answers");
  for (const ResponsePath path :
       {ResponsePath::kDirect, ResponsePath::kThroughBalancer}) {
    if (text != Name(path)) continue;
    service->answers = path;
    return;
  }
  reader->SetError("is neither \"direct\" nor \"through-balancer\"",
                   reader->FieldPath("answers"));
}

void ReadCallerWorkspaces(ObjectReader* reader, Service* service) {
  const json* object = reader->Find("caller_workspaces");
  if (object == nullptr) return;
  const std::string path = reader->FieldPath("caller_workspaces");
  if (!object->is_object()) return reader->SetError("is not an object", path);
  for (const auto& [prefix, workspace] : object->items()) {
    if (!workspace.is_string()) {
      return reader->SetError("is not a text", Join(path, prefix));
    }
    service->caller_workspaces[prefix] = workspace.get<std::string>();
  }
}

// If `is_reference`, reads only the name and the workspace.
Service ReadService(const json& object, const std::string& path,
                    bool is_reference, bool has_id, ObjectReader* parent) {
  ObjectReader reader(object, path);
  Service service;
  service.name = reader.ReadString("name");
  service.workspace = reader.ReadString("workspace");
  if (has_id) reader.ReadUnsigned("id", &service.id.value);
  if (!is_reference) {
    ReadAddress(&reader, &service);
    ReadAnswers(&reader, &service);
    service.limits = ReadLimits(&reader);
    reader.ReadUnsigned("idle_timeout_s", &service.idle_timeout_s);
    reader.ReadUnsigned("drain_deadline_s", &service.drain_deadline_s);
    ReadCallerWorkspaces(&reader, &service);
  }
  reader.RejectUnknownKeys();
  parent->MergeError(reader);
  return service;
}

json OperationToJson(const Operation& operation) {
  json object = {{"kind", Name(operation.kind)}};
  switch (operation.kind) {
    case OperationKind::kPutWorkspace:
      object["workspace"] = WorkspaceToJson(operation.workspace);
      break;
    case OperationKind::kRemoveWorkspace:
      object["workspace"] = {{"name", operation.workspace.name}};
      break;
    case OperationKind::kPutService: {
      Service service = operation.service;
      service.id = ServiceId{};
      object["service"] = ServiceToJson(service);
      break;
    }
    case OperationKind::kRemoveService:
      object["service"] = {{"name", operation.service.name},
                           {"workspace", operation.service.workspace}};
      break;
  }
  return object;
}

bool ParseOperationKind(const std::string& text, OperationKind* kind) {
  for (const OperationKind candidate :
       {OperationKind::kPutWorkspace, OperationKind::kRemoveWorkspace,
        OperationKind::kPutService, OperationKind::kRemoveService}) {
    if (text != Name(candidate)) continue;
    *kind = candidate;
    return true;
  }
  return false;
}

Operation ReadOperation(const json& object, const std::string& path,
                        ObjectReader* parent) {
  ObjectReader reader(object, path);
  Operation operation;
  const std::string kind = reader.ReadString("kind");
  if (!ParseOperationKind(kind, &operation.kind)) {
    reader.SetError("\"" + kind + "\" is unknown", reader.FieldPath("kind"));
  }
  const bool is_workspace = operation.kind == OperationKind::kPutWorkspace ||
                            operation.kind == OperationKind::kRemoveWorkspace;
  const std::string key = is_workspace ? "workspace" : "service";
  const json* value = reader.Require(key);
  if (value != nullptr && is_workspace) {
    operation.workspace = ReadWorkspace(*value, reader.FieldPath(key), &reader);
  }
  if (value != nullptr && !is_workspace) {
    const bool is_reference = operation.kind == OperationKind::kRemoveService;
    operation.service = ReadService(*value, reader.FieldPath(key), is_reference,
                                    false, &reader);
  }
  reader.RejectUnknownKeys();
  parent->MergeError(reader);
  return operation;
}

// Calls `read(element, path)` for each element of the array at `key`.
template <typename Read>
void ForEachElement(ObjectReader* reader, const std::string& key, Read read) {
  const json* array = reader->Require(key);
  if (array == nullptr) return;
  const std::string path = reader->FieldPath(key);
  if (!array->is_array()) return reader->SetError("is not a list", path);
  for (std::size_t i = 0; i < array->size(); ++i) {
    read((*array)[i], path + "[" + std::to_string(i) + "]");
  }
}

}  // namespace

json ToJson(const Configuration& configuration) {
  json workspaces = json::array();
  for (const auto& [name, workspace] : configuration.workspaces) {
    workspaces.push_back(WorkspaceToJson(workspace));
  }
  json services = json::array();
  for (const auto& [key, service] : configuration.services) {
    services.push_back(ServiceToJson(service));
  }
  return {{"version", configuration.version.value},
          {"next_service_id", configuration.next_service_id},
          {"workspaces", std::move(workspaces)},
          {"services", std::move(services)}};
}

Result<Configuration> ConfigurationFromJson(const json& object) {
  ObjectReader reader(object, "");
  Configuration configuration;
  reader.Require("version");
  reader.ReadUnsigned("version", &configuration.version.value);
  reader.ReadUnsigned("next_service_id", &configuration.next_service_id);
  ForEachElement(&reader, "workspaces",
                 [&](const json& item, const std::string& path) {
                   Workspace workspace = ReadWorkspace(item, path, &reader);
                   const std::string name = workspace.name;
                   configuration.workspaces[name] = std::move(workspace);
                 });
  ForEachElement(
      &reader, "services", [&](const json& item, const std::string& path) {
        Service service = ReadService(item, path, false, true, &reader);
        const std::string key = service.workspace + "/" + service.name;
        configuration.services[key] = std::move(service);
      });
  reader.RejectUnknownKeys();
  if (!reader.ok()) return tl::unexpected<Error>(reader.error());
  configuration.BuildIndex();
  return configuration;
}

json ToJson(const Patch& patch) {
  json operations = json::array();
  for (const Operation& operation : patch.operations) {
    operations.push_back(OperationToJson(operation));
  }
  return {{"id", patch.id},
          {"base", patch.base.value},
          {"operations", std::move(operations)}};
}

Result<Patch> PatchFromJson(const json& object) {
  ObjectReader reader(object, "");
  Patch patch;
  patch.id = reader.ReadString("id");
  reader.Require("base");
  reader.ReadUnsigned("base", &patch.base.value);
  ForEachElement(
      &reader, "operations", [&](const json& item, const std::string& path) {
        patch.operations.push_back(ReadOperation(item, path, &reader));
      });
  reader.RejectUnknownKeys();
  if (!reader.ok()) return tl::unexpected<Error>(reader.error());
  return patch;
}

}  // namespace sardinelead
