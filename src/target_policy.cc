#include "sardinelead/target_policy.h"

#include <mutex>

#include "service_picker.h"

namespace sardinelead {

TargetPolicy::TargetPolicy(const TargetPolicySettings& settings,
                           const Blackboard* blackboard, Admission* admission,
                           Metrics* metrics)
    : m_settings(settings),
      m_blackboard(blackboard),
      m_admission(admission),
      m_metrics(metrics) {
  m_metrics->Describe("sardinelead_imbalance",
                      "Greatest over mean of this balancer's open flows "
                      "across the service's targets, now.");
  m_metrics->Describe("sardinelead_imbalance_ratio",
                      "The same, sampled every second.");
  m_metrics->Describe("sardinelead_pick_open_flows",
                      "Open flows of the target that a new flow went to.");
  m_metrics->Describe("sardinelead_report_age_seconds",
                      "Age of the load reports in use, sampled every second.");
  m_metrics->Describe("sardinelead_busy_fraction",
                      "Busy slots over slots in each load report.");
  m_metrics->Describe("sardinelead_retries_total",
                      "Flows given a second target, the first being dead.");
  m_metrics->Describe("sardinelead_unanswered_flows_total",
                      "New flows whose first packet was repeated.");
}

TargetPolicy::~TargetPolicy() = default;

std::shared_ptr<ServicePicker> TargetPolicy::FindExisting(ServiceId service) {
  const std::shared_lock<std::shared_mutex> lock(m_mutex);
  const auto found = m_pickers.find(service);
  return found == m_pickers.end() ? nullptr : found->second;
}

std::shared_ptr<ServicePicker> TargetPolicy::Find(const Service& service) {
  auto picker = FindExisting(service.id);
  if (picker != nullptr) return picker;
  const std::unique_lock<std::shared_mutex> lock(m_mutex);
  std::shared_ptr<ServicePicker>& created = m_pickers[service.id];
  if (created == nullptr) {
    created = std::make_shared<ServicePicker>(m_settings, service, m_blackboard,
                                              m_metrics);
  }
  return created;
}

std::vector<std::shared_ptr<ServicePicker>> TargetPolicy::All() {
  const std::shared_lock<std::shared_mutex> lock(m_mutex);
  std::vector<std::shared_ptr<ServicePicker>> all;
  all.reserve(m_pickers.size());
  for (const auto& [id, picker] : m_pickers) all.push_back(picker);
  return all;
}

tl::expected<TargetId, RefuseReason> TargetPolicy::Pick(const FlowKey& key,
                                                        const Service& service,
                                                        TimePoint now) {
  const auto admitted = m_admission->Admit(service, key.caller.address, now);
  if (!admitted) return tl::unexpected(admitted.error());
  const auto picked = Find(service)->Pick(key.Hash(), TargetId{}, now);
  if (picked) return picked;
  m_admission->CountRefusal(service, key.caller.address, picked.error());
  return picked;
}

tl::expected<TargetId, RefuseReason> TargetPolicy::PickAnother(
    const FlowKey& key, const Service& service, TargetId first, TimePoint now) {
  const std::shared_ptr<ServicePicker> picker = Find(service);
  if (!picker->TakeRetry()) {
    m_admission->CountRefusal(service, key.caller.address,
                              RefuseReason::kOverloaded);
    return tl::unexpected(RefuseReason::kOverloaded);
  }
  return picker->Pick(key.Hash(), first, now);
}

void TargetPolicy::Observe(const FlowEvent& event) {
  if (event.kind == FlowEventKind::kOpened) {
    m_admission->OnOpened(event.service, event.caller);
  }
  const bool ended = event.kind == FlowEventKind::kClosed ||
                     event.kind == FlowEventKind::kReset;
  if (ended) m_admission->OnClosed(event.service, event.caller);
  const auto picker = FindExisting(event.service);
  if (picker != nullptr) picker->Observe(event);
}

void TargetPolicy::OnLoad(ServiceId service, TargetId target,
                          const LoadReport& report, TimePoint taken_at) {
  const auto picker = FindExisting(service);
  if (picker != nullptr) picker->OnLoad(target, report, taken_at);
}

void TargetPolicy::Recount(
    const std::unordered_map<ServiceId, std::uint64_t>& by_service,
    const std::unordered_map<TargetId, std::uint64_t>& by_target) {
  for (const auto& picker : All()) picker->Recount(by_target);
  for (const auto& [service, held] : by_service) {
    m_admission->Recount(service, held);
  }
}

std::vector<TargetFlowOutcomes> TargetPolicy::TakeFlowOutcomes() {
  std::vector<TargetFlowOutcomes> evidence;
  for (const auto& picker : All()) picker->TakeFlowOutcomes(&evidence);
  return evidence;
}

void TargetPolicy::OnTick(TimePoint now) {
  for (const auto& picker : All()) {
    picker->Publish(now);
    m_admission->OnShedding(picker->service(), picker->AllShed(), now);
  }
  m_admission->OnTick();
}

PickTarget TargetPolicy::PickHook() {
  return [this](const FlowKey& key, const Service& service, TimePoint now) {
    return Pick(key, service, now);
  };
}

ObserveFlow TargetPolicy::ObserveHook() {
  return [this](const FlowEvent& event) { Observe(event); };
}

PickAnotherTarget TargetPolicy::PickAnotherHook() {
  return
      [this](const FlowKey& key, const Service& service, TargetId first,
             TimePoint now) { return PickAnother(key, service, first, now); };
}

}  // namespace sardinelead
