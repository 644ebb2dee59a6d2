#ifndef SARDINELEAD_LOAD_H_
#define SARDINELEAD_LOAD_H_

// Selection of the target of a service that receives the next new flow.
//
// A balancer has exact counts of the flows that it opened and of those that are
// still open. Everything else comes from load reports, which are up to five
// seconds old and may be wrong. Choose() therefore balances the locally opened
// flows first. A report adjusts a target's score by at most
// kMaxReportAdjustment of the mean, scaled by the trust in that target's
// reports. docs/design/balance.md compares the alternatives.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

// Load as reported by a target. Untrusted: no value is used
// unchecked.
struct LoadReport {
  std::int64_t busy_slots = 0;
  std::int64_t connections = 0;
  bool shedding = false;
};

struct LoadSettings {
  // Time for which a newly announced target receives a reduced share.
  Duration ramp = std::chrono::seconds(8);
  // Whether load reports influence the selection.
  bool use_reports = true;
};

// Returns the share of new flows for a target of this age, from 0.1 to 1.
double RampWeight(Duration age, const LoadSettings& settings);

// One balancer's load data for one target. Not thread-safe.
class TargetLoad {
 public:
  explicit TargetLoad(std::uint32_t slots) : m_slots(slots) {}

  void OnOpened();
  void OnEstablished();
  void OnClosed();
  // Records that the opening packet was retransmitted without an answer.
  void OnUnanswered();
  void OnReport(const LoadReport& report, TimePoint taken_at);
  // Replaces the local count of open flows after partitions moved between
  // balancers.
  void SetOpen(std::uint64_t open) { m_open = open; }

  // Returns the number of open flows that this balancer opened.
  std::uint64_t open() const { return m_open; }  // NOLINT
  // Returns the trust in the reports, 0 to 1.
  double Trust() const { return m_trust; }
  // Returns the fraction of its fair share of new flows that a shedding target
  // receives: 0.05 to 1, but at least kHealthyMinShedFactor while more than
  // half of its new flows are established and its open flows number at least
  // half of `mean_open`, the mean number of open flows of the candidates.
  double ShedFactor(double mean_open) const;
  bool IsShedding() const { return m_shed_factor < 1; }
  // Whether this balancer has opened as many flows to the target as a target in
  // its ramp may be given: 16, plus 4 for each flow that was established. Both
  // counts start when the target becomes known.
  bool WindowFull() const;
  // Estimates the current connections: the last reported value plus the local
  // change since then multiplied by `balancers`, on the assumption that the
  // other balancers changed alike. Empty without a report.
  std::optional<double> EstimatedConnections(double balancers) const;
  // Returns the smoothed ratio of busy slots to slots. Empty without a report.
  std::optional<double> BusyFraction() const;
  TimePoint reported_at() const { return m_reported_at; }  // NOLINT
  bool HasReport() const { return m_has_report; }

 private:
  bool IsPlausible(const LoadReport& report) const;
  void UpdateTrust(const LoadReport& report);
  void UpdateShedFactor(bool shedding, TimePoint at);

  std::uint32_t m_slots;
  std::uint64_t m_open = 0;
  std::uint64_t m_opened = 0;       // Since the target became known.
  std::uint64_t m_established = 0;  // Since the target became known.
  std::uint64_t m_unanswered = 0;   // Since the target became known.
  bool m_has_report = false;
  LoadReport m_report;
  TimePoint m_reported_at;
  std::uint64_t m_open_at_report = 0;
  std::uint32_t m_reports = 0;
  double m_busy_fraction = 0;
  double m_trust = 1;
  double m_shed_factor = 1;
  // Smoothed fraction of new flows that were established.
  double m_success_rate = 1;
  TimePoint m_shed_updated_at;
};

// A target eligible for the flow.
struct Candidate {
  const TargetLoad* load = nullptr;
  double weight = 1;            // Product of ramp and health weights, above 0.
  bool in_ramp = false;         // Still in its ramp.
  std::uint64_t last_pick = 0;  // Pick number of its last selection; 0 if none.
  TimePoint last_pick_at;
};

struct ChoiceContext {
  std::uint64_t pick_number = 0;  // Sequence number within the service.
  std::uint64_t random = 0;       // For sampling, ties and rounding.
  double balancers = 1;  // Number of balancers that serve this service.
  TimePoint now;
  bool use_reports = true;
};

// Returns the index of the eligible candidate with the lowest score, or of the
// candidate with the lowest score if none is eligible. The score is the number
// of open flows plus one, divided by the weight; load reports adjust it if
// `context.use_reports` is set. A candidate is not eligible if too few picks
// have passed since its last selection, or if WindowFull() holds during its
// ramp. The number of picks does not matter after 1 s without a selection,
// unless the candidate is shedding. For a candidate with a weight below 0.1,
// the weight alone determines how many picks must pass, however long that
// takes; the ramp sets no limit; and the score is the lowest possible one while
// the candidate is eligible and the highest possible one otherwise.
// Requires at least one candidate. Cost: two passes over at most kMaxCandidates
// candidates; a larger set is sampled at random.
std::size_t Choose(const std::vector<Candidate>& candidates,
                   const ChoiceContext& context);

constexpr std::size_t kMaxCandidates = 16;
constexpr double kHealthyMinShedFactor = 0.9;
// Maximum effect of a report on a score, as a fraction of the mean.
constexpr double kMaxReportAdjustment = 0.08;

}  // namespace sardinelead

#endif  // SARDINELEAD_LOAD_H_
