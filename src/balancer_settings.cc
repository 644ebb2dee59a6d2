#include "balancer_settings.h"

#include <set>
#include <utility>

namespace sardinelead {
namespace {

constexpr std::int64_t kMaxNodeId = UINT32_MAX;
// Allows one heartbeat to be lost within a lease.
constexpr std::int64_t kMinHeartbeatsPerLease = 3;

Duration Seconds(std::int64_t count) { return std::chrono::seconds(count); }
Duration Milliseconds(std::int64_t count) {
  return std::chrono::milliseconds(count);
}

// Reads settings that are valid one by one and collects the inconsistencies
// between them.
class BalancerSettingsReader {
 public:
  explicit BalancerSettingsReader(const Settings& settings)
      : m_settings(settings) {}

  tl::expected<BalancerSettings, std::vector<Error>> Run() {
    ReadAddressesAndFiles();
    ReadNodes();
    ReadLimits();
    ReadDurations();
    if (!m_errors.empty()) return tl::unexpected(std::move(m_errors));
    return std::move(m_result);
  }

 private:
  void ReadAddressesAndFiles() {
    BalancerOptions& options = m_result.options;
    options.self =
        NodeId{static_cast<std::uint32_t>(m_settings.Number("node", "id"))};
    m_result.data_centre = m_settings.Text("node", "data_centre");
    m_result.fabric = ListenAddress("fabric");
    m_result.relay = ListenAddress("relay");
    m_result.answers = ListenAddress("answers");
    m_result.control = ListenAddress("control");
    m_result.http = ListenAddress("http");
    // http is TCP, so its port may equal one of these UDP ports.
    CheckDistinct({"fabric", "relay", "answers", "control"});
    CheckReachable("relay");
    CheckReachable("control");
    options.egress = m_settings.Address("fabric", "egress");
    options.membership.control = m_result.control;
    options.membership.relay = m_result.relay;
    m_result.key_file = m_settings.Text("security", "key_file");
    m_result.access_file = m_settings.Text("security", "access_file");
    m_result.log_config = m_settings.Text("log", "config");
  }

  void ReadNodes() {
    m_result.peers = m_settings.Nodes("peers", "peer");
    m_result.control_vms = m_settings.Nodes("control", "vm");
    std::set<NodeId> ids = {m_result.options.self};
    CheckNodes("peers", "peer", m_result.peers, &ids);
    CheckNodes("control", "vm", m_result.control_vms, &ids);
    for (const NodeAddress& peer : m_result.peers) {
      m_result.options.membership.seeds.push_back(peer.id);
    }
    for (const NodeAddress& vm : m_result.control_vms) {
      m_result.options.config.sources.push_back(vm.id);
    }
  }

  void ReadLimits() {
    BalancerOptions& options = m_result.options;
    options.flows.max_flows =
        static_cast<std::size_t>(m_settings.Number("limits", "flows"));
    options.flows.resets_per_second = static_cast<std::uint32_t>(
        m_settings.Number("limits", "resets_per_second"));
    options.repair.bytes_per_second = static_cast<std::uint32_t>(
        m_settings.Number("limits", "repair_bytes_per_second"));
    options.targets.bytes_per_second = static_cast<std::uint64_t>(
        m_settings.Number("limits", "target_bytes_per_second"));
    m_result.packet_threads =
        static_cast<std::size_t>(m_settings.Number("threads", "packets"));
    m_result.http_threads =
        static_cast<std::size_t>(m_settings.Number("threads", "http"));
  }

  void ReadDurations() {
    BalancerOptions& options = m_result.options;
    options.flows.reset_silent_flows = m_settings.Flag("flows", "reset_silent");
    options.flows.silent_after =
        Seconds(m_settings.Number("flows", "silent_after_s"));
    options.targets.lease = Seconds(m_settings.Number("targets", "lease_s"));
    m_result.shutdown_deadline =
        Seconds(m_settings.Number("shutdown", "deadline_s"));
    m_result.fabric_idle_period =
        Seconds(m_settings.Number("shutdown", "fabric_quiet_s"));
    const std::int64_t heartbeat =
        m_settings.Number("membership", "heartbeat_ms");
    const std::int64_t lease = m_settings.Number("membership", "lease_ms");
    options.membership.heartbeat_period = Milliseconds(heartbeat);
    options.membership.lease = Milliseconds(lease);
    if (lease >= kMinHeartbeatsPerLease * heartbeat) return;
    AddError(ErrorCode::kOutOfRange,
             "expected at least " + std::to_string(kMinHeartbeatsPerLease) +
                 " times heartbeat_ms, which is " + std::to_string(heartbeat),
             "membership", "lease_ms");
  }

  Endpoint ListenAddress(const char* key) const {
    return m_settings.Address("listen", key);
  }

  void CheckDistinct(const std::vector<const char*>& keys) {
    std::set<Endpoint> seen;
    for (const char* key : keys) {
      if (seen.insert(ListenAddress(key)).second) continue;
      AddError(ErrorCode::kDuplicate,
               "address " + ListenAddress(key).ToString() +
                   " is used more than once",
               "listen", key);
    }
  }

  // This address is advertised to other balancers, so it must not be the
  // wildcard address.
  void CheckReachable(const char* key) {
    const IpAddress address = ListenAddress(key).address;
    const bool is_any =
        address == IpAddress::FromV4(0) || address == IpAddress();
    if (!is_any) return;
    AddError(ErrorCode::kMalformed,
             "expected an address that other VMs can reach, not " +
                 address.ToString(),
             "listen", key);
  }

  void CheckNodes(const char* section, const char* key,
                  const std::vector<NodeAddress>& nodes,
                  std::set<NodeId>* ids) {
    for (const NodeAddress& node : nodes) {
      if (ids->insert(node.id).second) continue;
      AddError(ErrorCode::kDuplicate,
               "id " + std::to_string(node.id.value) +
                   " already belongs to another VM",
               section, key);
    }
  }

  void AddError(ErrorCode code, std::string message, const char* section,
                const char* key) {
    m_errors.push_back(
        Error{code, std::move(message), m_settings.LocationOf(section, key)});
  }

  const Settings& m_settings;
  BalancerSettings m_result;
  std::vector<Error> m_errors;
};

}  // namespace

const std::vector<SettingKey>& BalancerSettingKeys() {
  using Type = SettingType;
  using Use = SettingUse;
  static const auto* const kKeys = new std::vector<SettingKey>{
      {"node", "id", Type::kNumber, "", 1, kMaxNodeId,
       "Number of this VM; no other VM of the system has it."},
      {"node", "data_centre", Type::kText, "", 0, 0,
       "Name of the data centre, for logs and metrics."},
      {"listen", "fabric", Type::kEndpoint, "", 0, 0,
       "UDP: whole IP packets from the fabric."},
      {"listen", "relay", Type::kEndpoint, "", 0, 0,
       "UDP: packets that other balancers relay. Told to them."},
      {"listen", "answers", Type::kEndpoint, "", 0, 0,
       "UDP: answers of targets whose service sends them through a balancer."},
      {"listen", "control", Type::kEndpoint, "", 0, 0,
       "UDP: messages of other balancers. Told to them."},
      {"listen", "http", Type::kEndpoint, "", 0, 0,
       "TCP: HTTP for targets and operators."},
      {"fabric", "egress", Type::kEndpoint, "", 0, 0,
       "Where packets for callers are sent, whole, in UDP."},
      {"peers", "peer", Type::kNodeAddress, "", 0, 0,
       "Id and control address of another balancer of this data centre.",
       Use::kRepeated},
      {"control", "vm", Type::kNodeAddress, "", 0, 0,
       "Id and link address of a control VM.", Use::kRepeated},
      {"security", "key_file", Type::kText, "", 0, 0,
       "File whose first line is the key that all processes share."},
      {"security", "access_file", Type::kText, "", 0, 0,
       "File with the digests of the tokens of targets and operators."},
      {"threads", "packets", Type::kNumber, "2", 1, 64,
       "Threads that move packets."},
      {"threads", "http", Type::kNumber, "2", 1, 64,
       "Threads that serve HTTP."},
      {"limits", "flows", Type::kNumber, "1000000", 1000, 100000000,
       "Flow records held at most, copies included; 64 bytes each."},
      {"limits", "resets_per_second", Type::kNumber, "2000", 0, 1000000,
       "Resets sent to callers at most."},
      {"limits", "repair_bytes_per_second", Type::kNumber, "1000", 100,
       100000000, "What flow repair may send."},
      {"limits", "target_bytes_per_second", Type::kNumber, "2048", 100,
       100000000, "What news of targets may take."},
      {"flows", "reset_silent", Type::kFlag, "yes", 0, 0,
       "Whether flows that went silent for good are reset."},
      {"flows", "silent_after_s", Type::kNumber, "10", 1, 3600,
       "How long a caller must repeat one segment before its flow is silent."},
      {"targets", "lease_s", Type::kNumber, "15", 2, 3600,
       "How long a target counts as there after it last renewed."},
      {"membership", "heartbeat_ms", Type::kNumber, "400", 50, 10000,
       "Between two heartbeats to a balancer."},
      {"membership", "lease_ms", Type::kNumber, "1500", 150, 60000,
       "How long a balancer counts as alive after a heartbeat."},
      {"shutdown", "deadline_s", Type::kNumber, "60", 1, 86400,
       "How long a graceful shutdown may take."},
      {"shutdown", "fabric_quiet_s", Type::kNumber, "2", 1, 3600,
       "How long no packet may come before the fabric counts as off."},
      {"log", "config", Type::kText, "", 0, 0,
       "A log4cxx properties file; without it, errors and news go to stderr.",
       Use::kOptional},
  };
  return *kKeys;
}

tl::expected<BalancerSettings, std::vector<Error>> ToBalancerSettings(
    const Settings& settings) {
  return BalancerSettingsReader(settings).Run();
}

}  // namespace sardinelead
