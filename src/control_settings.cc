#include "control_settings.h"

#include <set>
#include <utility>

namespace sardinelead {
namespace {

constexpr std::int64_t kMaxNodeId = UINT32_MAX;
constexpr std::size_t kMaxControlVms = 7;

Duration Milliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

std::vector<Error> CheckControlVms(const Settings& settings,
                                   const std::vector<NodeAddress>& vms,
                                   NodeId self) {
  std::vector<Error> errors;
  const std::string location = settings.LocationOf("control", "vm");
  std::set<NodeId> ids;
  for (const NodeAddress& vm : vms) {
    if (ids.insert(vm.id).second) continue;
    errors.push_back({ErrorCode::kDuplicate,
                      "VM " + std::to_string(vm.id.value) + " is listed twice",
                      location});
  }
  ids.insert(self);
  if (ids.size() <= kMaxControlVms) return errors;
  errors.push_back(
      {ErrorCode::kOutOfRange,
       "expected at most " + std::to_string(kMaxControlVms) + " control VMs",
       location});
  return errors;
}

}  // namespace

const std::vector<SettingKey>& ControlSettingKeys() {
  using Type = SettingType;
  using Use = SettingUse;
  static const auto* const kKeys = new std::vector<SettingKey>{
      {"node", "id", Type::kNumber, "", 1, kMaxNodeId,
       "Number of this VM; no other VM of the system has it."},
      {"node", "data_folder", Type::kText, "", 0, 0,
       "Existing folder on a disk, for this replica alone."},
      {"listen", "links", Type::kEndpoint, "", 0, 0,
       "TCP: links of other control VMs and of balancers."},
      {"listen", "http", Type::kEndpoint, "", 0, 0, "TCP: HTTP for operators."},
      {"control", "vm", Type::kNodeAddress, "", 0, 0,
       "Id and link address of a control VM; this one may be among them.",
       Use::kRepeated},
      {"security", "key_file", Type::kText, "", 0, 0,
       "File whose first line is the key that all processes share."},
      {"security", "access_file", Type::kText, "", 0, 0,
       "File with the digests of the tokens of targets and operators."},
      {"threads", "http", Type::kNumber, "2", 1, 64,
       "Threads that serve HTTP."},
      {"patches", "deadline_ms", Type::kNumber, "4000", 100, 60000,
       "How long a patch may take before its outcome is unknown."},
      {"links", "heartbeat_ms", Type::kNumber, "1000", 50, 10000,
       "Between two heartbeats on an idle link."},
      {"links", "silence_ms", Type::kNumber, "3000", 150, 60000,
       "A link that brought nothing for this long is closed."},
      {"shutdown", "deadline_s", Type::kNumber, "10", 1, 600,
       "How long a graceful shutdown waits for requests in flight."},
      {"log", "config", Type::kText, "", 0, 0,
       "A log4cxx properties file; without it, errors and news go to stderr.",
       Use::kOptional},
  };
  return *kKeys;
}

tl::expected<ControlSettings, std::vector<Error>> ToControlSettings(
    const Settings& settings) {
  ControlSettings result;
  const NodeId self{static_cast<std::uint32_t>(settings.Number("node", "id"))};
  const std::vector<NodeAddress> vms = settings.Nodes("control", "vm");
  std::vector<Error> errors = CheckControlVms(settings, vms, self);
  result.node.data_folder = settings.Text("node", "data_folder");
  result.node.replica.self = self;
  result.node.links.self = self;
  result.node.links.listen = settings.Address("listen", "links");
  for (const NodeAddress& vm : vms) {
    result.node.replica.contacts.push_back(vm.id);
    result.node.links.dial.push_back({vm.id, vm.address});
  }
  result.node.links.heartbeat_interval =
      Milliseconds(settings.Number("links", "heartbeat_ms"));
  result.node.links.silence_deadline =
      Milliseconds(settings.Number("links", "silence_ms"));
  if (result.node.links.silence_deadline <=
      result.node.links.heartbeat_interval) {
    errors.push_back({ErrorCode::kOutOfRange, "expected more than heartbeat_ms",
                      settings.LocationOf("links", "silence_ms")});
  }
  result.node.submit_deadline =
      Milliseconds(settings.Number("patches", "deadline_ms"));
  result.http.listen = settings.Address("listen", "http");
  result.http.threads =
      static_cast<std::size_t>(settings.Number("threads", "http"));
  result.key_file = settings.Text("security", "key_file");
  result.access_file = settings.Text("security", "access_file");
  result.log_config = settings.Text("log", "config");
  result.shutdown_deadline =
      std::chrono::seconds(settings.Number("shutdown", "deadline_s"));
  if (!errors.empty()) return tl::unexpected(std::move(errors));
  return result;
}

}  // namespace sardinelead
