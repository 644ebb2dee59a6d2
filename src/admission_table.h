#ifndef SARDINELEAD_SRC_ADMISSION_TABLE_H_
#define SARDINELEAD_SRC_ADMISSION_TABLE_H_

// Admission state of each workspace and service for one configuration version.
// A new version creates a new table, which inherits the counts and token
// buckets of the services that remain.

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

#include "rate_meter.h"
#include "sardinelead/admission.h"
#include "sardinelead/config.h"
#include "service_shares.h"

namespace sardinelead {

constexpr std::size_t kRefuseReasons = 6;

// Admission state of one workspace across all services.
struct WorkspaceAdmission {
  std::string name;
  Limits limits;
  RateMeter packets;
  RateMeter new_flows;
  std::atomic<std::int64_t> held{0};
};
using WorkspaceAdmissionPtr = std::shared_ptr<WorkspaceAdmission>;

// Admission state of one caller workspace on one service.
struct CallerWorkspace {
  WorkspaceAdmissionPtr workspace;
  double share = 1;
  std::array<Counter*, kRefuseReasons> refused{};
  Counter* admitted = nullptr;
  Gauge* held = nullptr;
  // Meters packets against the workspace's share of the service's limit.
  std::shared_ptr<RateMeter> packets;
};

struct CallerPrefix {
  Prefix prefix;
  std::size_t workspace_index = 0;
};

// Flow counts and token buckets of one service, shared by successive
// configuration versions of it.
struct SharesState {
  explicit SharesState(Duration burst) : shares(burst) {}

  std::mutex mutex;
  ServiceShares shares;
  std::uint64_t epoch = 0;         // Incremented for each table.
  std::vector<std::string> names;  // Workspace names, by index.
};

class ServiceAdmission {
 public:
  ServiceAdmission(const Service& service,
                   std::vector<CallerWorkspace> caller_workspaces,
                   std::shared_ptr<SharesState> state, Metrics* metrics);

  // Returns the index of the workspace that `caller` is charged to.
  std::size_t CallerWorkspaceIndex(const IpAddress& caller) const;
  const CallerWorkspace& At(std::size_t index) const {
    return m_caller_workspaces[index];
  }
  const std::vector<CallerWorkspace>& caller_workspaces() const {  // NOLINT
    return m_caller_workspaces;
  }
  const Limits& limits() const { return m_limits; }  // NOLINT
  bool HasPacketLimit() const { return m_has_packet_limit; }
  // Returns the workspace's fraction of the service's capacity, from 0 to 1.
  double ShareOf(std::size_t index) const {
    return m_caller_workspaces[index].share / m_share_sum;
  }
  // Returns whether this table's workspace indices are still those of state().
  // Requires the lock of state(). False once a newer table was created.
  bool IsCurrent() const { return m_epoch == m_state->epoch; }
  RateMeter* packets() { return &m_packets; }     // NOLINT
  SharesState* state() { return m_state.get(); }  // NOLINT
  std::shared_ptr<SharesState> StatePtr() const { return m_state; }

 private:
  void SortPrefixes(const Service& service);

  Limits m_limits;
  std::vector<CallerWorkspace> m_caller_workspaces;  // The owner comes first.
  std::vector<CallerPrefix> m_prefixes;              // Longest prefix first.
  std::shared_ptr<SharesState> m_state;
  RateMeter m_packets;
  double m_share_sum = 0;
  std::uint64_t m_epoch = 0;
  bool m_has_packet_limit = false;
};

class AdmissionTable {
 public:
  // Inherits the counts and token buckets of `previous`, which may be null.
  AdmissionTable(const Configuration& configuration,
                 const AdmissionTable* previous,
                 const AdmissionSettings& settings, Metrics* metrics);

  // Returns nullptr if the service does not exist.
  ServiceAdmission* Find(ServiceId service) const;
  bool HasPacketLimits() const { return m_has_packet_limits; }
  const std::unordered_map<ServiceId, std::unique_ptr<ServiceAdmission>>&
  services() const {  // NOLINT
    return m_services;
  }
  const std::map<std::string, WorkspaceAdmissionPtr>& workspaces()  // NOLINT
      const {
    return m_workspaces;
  }

 private:
  void AddWorkspace(const Workspace& workspace, const AdmissionTable* previous);
  void AddService(const Configuration& configuration, const Service& service,
                  const AdmissionTable* previous,
                  const AdmissionSettings& settings, Metrics* metrics);
  CallerWorkspace MakeCallerWorkspace(const Configuration& configuration,
                                      const std::string& workspace);

  std::map<std::string, WorkspaceAdmissionPtr> m_workspaces;
  std::unordered_map<ServiceId, std::unique_ptr<ServiceAdmission>> m_services;
  bool m_has_packet_limits = false;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_ADMISSION_TABLE_H_
