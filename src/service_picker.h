#ifndef SARDINELEAD_SRC_SERVICE_PICKER_H_
#define SARDINELEAD_SRC_SERVICE_PICKER_H_

// Target selection for one service, guarded by one lock: the load of each
// target and the list of targets eligible for new flows, which is rebuilt when
// a new target snapshot is published.

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "sardinelead/target_policy.h"

namespace sardinelead {

class ServicePicker {
 public:
  ServicePicker(const TargetPolicySettings& settings, const Service& service,
                const Blackboard* blackboard, Metrics* metrics);

  ServiceId service() const { return m_service; }  // NOLINT

  // Returns the target of a new flow. Does not pick `excluded`; 0 excludes
  // none.
  tl::expected<TargetId, RefuseReason> Pick(std::uint64_t random,
                                            TargetId excluded, TimePoint now);
  // Consumes one retry from the service's retry budget. Returns false if the
  // budget is exhausted.
  bool TakeRetry();

  void Observe(const FlowEvent& event);
  void OnLoad(TargetId target, const LoadReport& report, TimePoint taken_at);

  void Recount(const std::unordered_map<TargetId, std::uint64_t>& by_target);

  void TakeFlowOutcomes(std::vector<TargetFlowOutcomes>* out);
  // Publishes the imbalance and the ages of load reports.
  void Publish(TimePoint now);
  // Returns whether there are eligible targets and all of them are shedding.
  bool AllShed();

 private:
  struct TargetEntry {
    explicit TargetEntry(const Target& target)
        : load(target.slots), weight(target.weight) {}

    TargetLoad load;
    double weight = 1;
    bool takes_new = false;
    std::uint64_t last_pick = 0;
    TimePoint last_pick_at;
    FlowOutcomeCounts evidence;
  };
  struct EligibleTarget {
    TargetId id;
    TargetEntry* entry = nullptr;
  };

  void Refresh();
  void AddEligibleTargets(bool include_zero_weight);
  TargetEntry* Find(TargetId target);

  TargetPolicySettings m_settings;
  ServiceId m_service;
  const Blackboard* m_blackboard;
  std::mutex m_mutex;
  std::uint64_t m_generation = 0;       // Target snapshot generation.
  std::uint64_t m_view_generation = 0;  // View generation.
  double m_balancers = 1;
  std::unordered_map<TargetId, std::unique_ptr<TargetEntry>> m_targets;
  std::vector<EligibleTarget> m_eligible;
  std::vector<Candidate> m_candidates;  // Parallel to m_eligible.
  std::uint64_t m_picks = 0;
  double m_retry_tokens;
  Gauge* m_imbalance;
  Histogram* m_imbalances;
  Histogram* m_open_at_pick;
  Histogram* m_report_ages;
  Histogram* m_busy;
  Counter* m_retries;
  Counter* m_unanswered;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_SERVICE_PICKER_H_
