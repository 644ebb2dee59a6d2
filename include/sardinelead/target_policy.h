#ifndef SARDINELEAD_TARGET_POLICY_H_
#define SARDINELEAD_TARGET_POLICY_H_

// Combines admission control, target state and load into the hooks of the flow
// director.
//
//   TargetPolicy policy(settings, &blackboard, &admission, &metrics);
//   FlowDirector director(..., policy.PickHook(), policy.ObserveHook());
//
// Thread-safe: the state of each service is guarded by its own lock. Pick()
// takes less than a microsecond for up to kMaxCandidates targets.

#include <cstdint>
#include <memory>
#include <shared_mutex>
#include <unordered_map>
#include <vector>

#include "sardinelead/admission.h"
#include "sardinelead/blackboard.h"
#include "sardinelead/flow_director.h"
#include "sardinelead/health.h"
#include "sardinelead/load.h"
#include "sardinelead/metrics.h"

namespace sardinelead {

struct TargetPolicySettings {
  LoadSettings load;
  // Retry budget for flows whose first target was found dead: the retries
  // earned per new flow of the service, and the maximum number accumulated.
  double retry_fraction = 0.2;
  double retry_burst = 100;
};

// Flow outcomes on one target since the previous call of TakeFlowOutcomes().
struct TargetFlowOutcomes {
  TargetId target;
  FlowOutcomeCounts evidence;
};

class ServicePicker;  // Defined in src/service_picker.h.

class TargetPolicy {
 public:
  TargetPolicy(const TargetPolicySettings& settings,
               const Blackboard* blackboard, Admission* admission,
               Metrics* metrics);
  ~TargetPolicy();

  // Returns the target of a new flow, or the reason for refusing the flow.
  tl::expected<TargetId, RefuseReason> Pick(const FlowKey& key,
                                            const Service& service,
                                            TimePoint now);
  // Returns another target for a flow that never got an answer from `first`,
  // which is dead. Fails with kOverloaded if the service's retry budget is
  // exhausted.
  tl::expected<TargetId, RefuseReason> PickAnother(const FlowKey& key,
                                                   const Service& service,
                                                   TargetId first,
                                                   TimePoint now);
  void Observe(const FlowEvent& event);
  // Handles a load report that `target` made at `taken_at`, received directly
  // or through a peer balancer.
  void OnLoad(ServiceId service, TargetId target, const LoadReport& report,
              TimePoint taken_at);
  // Reconciles the open flow counts with those of the flow table, which are a
  // few seconds old: a per-target count that differs by more than 10% plus a
  // fixed slack is corrected by 1/8 of the difference; see also
  // Admission::Recount(). The counts drift because flow events go to the
  // balancer that leads the flow, which changes when balancers join or leave.
  // Must be called every second.
  void Recount(const std::unordered_map<ServiceId, std::uint64_t>& by_service,
               const std::unordered_map<TargetId, std::uint64_t>& by_target);

  // Returns and resets the flow outcomes since the last call, for Health.
  std::vector<TargetFlowOutcomes> TakeFlowOutcomes();
  // Publishes the imbalance and open flow metrics, and notifies admission for
  // which services all targets are shedding. Must be called every second.
  void OnTick(TimePoint now);

  PickTarget PickHook();
  ObserveFlow ObserveHook();
  PickAnotherTarget PickAnotherHook();

 private:
  std::shared_ptr<ServicePicker> Find(const Service& service);
  std::shared_ptr<ServicePicker> FindExisting(ServiceId service);
  std::vector<std::shared_ptr<ServicePicker>> All();

  TargetPolicySettings m_settings;
  const Blackboard* m_blackboard;
  Admission* m_admission;
  Metrics* m_metrics;
  std::shared_mutex m_mutex;  // Guards m_pickers only.
  std::unordered_map<ServiceId, std::shared_ptr<ServicePicker>> m_pickers;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TARGET_POLICY_H_
