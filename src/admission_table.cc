#include "admission_table.h"

#include <algorithm>

namespace sardinelead {
namespace {

// Moves the open flow counts of the remaining workspaces to their new indices.
void CarryOverCounts(SharesState* state,
                     const std::vector<CallerWorkspace>& caller_workspaces) {
  std::vector<std::uint64_t> held(caller_workspaces.size(), 0);
  std::vector<double> shares;
  std::vector<std::string> names;
  for (std::size_t i = 0; i < caller_workspaces.size(); ++i) {
    const std::string& name = caller_workspaces[i].workspace->name;
    const auto found =
        std::find(state->names.begin(), state->names.end(), name);
    const auto index = static_cast<std::size_t>(found - state->names.begin());
    if (found != state->names.end()) held[i] = state->shares.Held(index);
    shares.push_back(caller_workspaces[i].share);
    names.push_back(name);
  }
  const bool same = names == state->names;
  if (!same) {
    for (std::size_t i = 0; i < state->names.size(); ++i) {
      state->shares.SetHeld(i, 0);
    }
  }
  state->shares.SetShares(shares);
  state->names = names;
  if (same) return;
  for (std::size_t i = 0; i < held.size(); ++i) {
    state->shares.SetHeld(i, held[i]);
  }
}

}  // namespace

ServiceAdmission::ServiceAdmission(
    const Service& service, std::vector<CallerWorkspace> caller_workspaces,
    std::shared_ptr<SharesState> state, Metrics* metrics)
    : m_limits(service.limits),
      m_caller_workspaces(std::move(caller_workspaces)),
      m_state(std::move(state)) {
  m_has_packet_limit = m_limits.packets_per_second > 0;
  for (CallerWorkspace& caller_workspace : m_caller_workspaces) {
    m_share_sum += caller_workspace.share;
    const Limits& limits = caller_workspace.workspace->limits;
    m_has_packet_limit = m_has_packet_limit || limits.packets_per_second > 0;
    Labels labels = {{"workspace", caller_workspace.workspace->name},
                     {"service", service.workspace + "/" + service.name}};
    caller_workspace.admitted =
        metrics->FindCounter("sardinelead_new_flows_total", labels);
    caller_workspace.held =
        metrics->FindGauge("sardinelead_flows_held", labels);
    labels.emplace_back("reason", "");
    for (std::size_t i = 0; i < kRefuseReasons; ++i) {
      labels.back().second = Name(static_cast<RefuseReason>(i));
      caller_workspace.refused[i] =
          metrics->FindCounter("sardinelead_refused_flows_total", labels);
    }
  }
  SortPrefixes(service);
  const std::lock_guard<std::mutex> lock(m_state->mutex);
  m_epoch = ++m_state->epoch;
  CarryOverCounts(m_state.get(), m_caller_workspaces);
}

void ServiceAdmission::SortPrefixes(const Service& service) {
  for (const auto& [text, workspace] : service.caller_workspaces) {
    const auto prefix = Prefix::Parse(text);
    if (!prefix) continue;
    for (std::size_t i = 0; i < m_caller_workspaces.size(); ++i) {
      if (m_caller_workspaces[i].workspace->name != workspace) continue;
      m_prefixes.push_back(CallerPrefix{*prefix, i});
    }
  }
  std::stable_sort(m_prefixes.begin(), m_prefixes.end(),
                   [](const CallerPrefix& a, const CallerPrefix& b) {
                     return a.prefix.bits > b.prefix.bits;
                   });
}

std::size_t ServiceAdmission::CallerWorkspaceIndex(
    const IpAddress& caller) const {
  for (const CallerPrefix& entry : m_prefixes) {
    if (entry.prefix.Contains(caller)) return entry.workspace_index;
  }
  return 0;
}

AdmissionTable::AdmissionTable(const Configuration& configuration,
                               const AdmissionTable* previous,
                               const AdmissionSettings& settings,
                               Metrics* metrics) {
  for (const auto& [name, workspace] : configuration.workspaces) {
    AddWorkspace(workspace, previous);
  }
  for (const auto& [name, service] : configuration.services) {
    AddService(configuration, service, previous, settings, metrics);
  }
}

void AdmissionTable::AddWorkspace(const Workspace& workspace,
                                  const AdmissionTable* previous) {
  auto admission = std::make_shared<WorkspaceAdmission>();
  admission->name = workspace.name;
  admission->limits = workspace.limits;
  if (previous != nullptr) {
    const auto found = previous->m_workspaces.find(workspace.name);
    if (found != previous->m_workspaces.end()) {
      admission->held.store(found->second->held.load());
    }
  }
  m_workspaces[workspace.name] = admission;
}

CallerWorkspace AdmissionTable::MakeCallerWorkspace(
    const Configuration& configuration, const std::string& workspace) {
  CallerWorkspace caller_workspace;
  caller_workspace.packets = std::make_shared<RateMeter>();
  const auto found = configuration.workspaces.find(workspace);
  if (found != configuration.workspaces.end()) {
    caller_workspace.share = found->second.share;
  }
  WorkspaceAdmissionPtr& admission = m_workspaces[workspace];
  if (admission == nullptr) {
    admission = std::make_shared<WorkspaceAdmission>();
    admission->name = workspace;
  }
  caller_workspace.workspace = admission;
  return caller_workspace;
}

void AdmissionTable::AddService(const Configuration& configuration,
                                const Service& service,
                                const AdmissionTable* previous,
                                const AdmissionSettings& settings,
                                Metrics* metrics) {
  std::vector<std::string> names = {service.workspace};
  for (const auto& [prefix, workspace] : service.caller_workspaces) {
    const bool found =
        std::find(names.begin(), names.end(), workspace) != names.end();
    if (!found) names.push_back(workspace);
  }
  std::vector<CallerWorkspace> caller_workspaces;
  caller_workspaces.reserve(names.size());
  for (const std::string& name : names) {
    caller_workspaces.push_back(MakeCallerWorkspace(configuration, name));
  }
  const ServiceAdmission* previous_admission =
      previous == nullptr ? nullptr : previous->Find(service.id);
  auto state = previous_admission == nullptr
                   ? std::make_shared<SharesState>(settings.burst)
                   : previous_admission->StatePtr();
  auto admission = std::make_unique<ServiceAdmission>(
      service, std::move(caller_workspaces), std::move(state), metrics);
  m_has_packet_limits = m_has_packet_limits || admission->HasPacketLimit();
  m_services.emplace(service.id, std::move(admission));
}

ServiceAdmission* AdmissionTable::Find(ServiceId service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? nullptr : found->second.get();
}

}  // namespace sardinelead
