#include "sardinelead/load.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace sardinelead {
namespace {

constexpr double kInitialRampWeight = 0.1;
// A target in its ramp may be given kInitialWindow flows, plus
// kWindowPerEstablished for each of its flows that was established.
constexpr std::uint64_t kInitialWindow = 16;
constexpr std::uint64_t kWindowPerEstablished = 4;
// Weight of a new report in the smoothed busy fraction.
constexpr double kBusySmoothing = 0.1;
// Reported connections within this fraction of the mean have no effect, because
// accurate reports of different ages differ by that much.
constexpr double kReportDeadBand = 0.03;
constexpr double kTrustStep = 0.1;
// The trust in a target is halved if it reports the same number of connections
// again although the number of flows open here changed by at least this much.
constexpr std::uint64_t kMinOpenFlowChange = 8;
constexpr double kShedDecrease = 0.5;
constexpr double kShedIncrease = 0.1;
constexpr double kMinShedFactor = 0.05;
constexpr Duration kShedInterval = std::chrono::seconds(1);
// A target that is neither shedding nor below kTrickleWeight may always
// receive a flow after this time without one.
constexpr Duration kMaxIdle = std::chrono::seconds(1);
// Weight of a new flow in the smoothed success rate.
constexpr double kSuccessSmoothing = 1.0 / 32;
constexpr double kMinSuccessRate = 0.5;
// A target with fewer open flows than this fraction of the mean does not get
// the higher minimum shed factor, because it may be failing its flows.
constexpr double kMinOpenRatio = 0.5;
// Maximum ratio of a target's new flows to its fair share, regardless of how
// few flows it has.
constexpr double kMaxCatchUp = 3;
// Below this weight, the weight limits the share of new flows instead of the
// share of open flows.
constexpr double kTrickleWeight = 0.1;

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

bool IsTrickle(const Candidate& candidate) {
  return candidate.weight < kTrickleWeight;
}

// Returns the minimum number of picks between two selections of this target.
double MinPickGap(const Candidate& candidate, double mean_open, double count) {
  if (IsTrickle(candidate)) return count / candidate.weight;
  const double shed = candidate.load->ShedFactor(mean_open);
  if (shed < 1) return count / shed;
  if (candidate.in_ramp) return std::max(count / kMaxCatchUp, 2.0);
  return count / kMaxCatchUp;
}

bool IsEligible(const Candidate& candidate, double mean_open,
                const ChoiceContext& context, std::size_t count) {
  const bool trickle = IsTrickle(candidate);
  const bool in_ramp = candidate.in_ramp && !trickle;
  if (in_ramp && candidate.load->WindowFull()) return false;
  if (candidate.last_pick == 0) return true;
  const bool exempt_when_idle = !trickle && !candidate.load->IsShedding();
  const Duration idle = context.now - candidate.last_pick_at;
  if (exempt_when_idle && idle >= kMaxIdle) return true;
  const double gap =
      MinPickGap(candidate, mean_open, static_cast<double>(count));
  const auto picks_since =
      static_cast<double>(context.pick_number - candidate.last_pick);
  // Rounds the gap randomly up or down, so that the average gap is exact.
  constexpr double kDitherRange = 4294967296.0;
  const double dither =
      static_cast<double>(context.random >> 32U) / kDitherRange;
  return picks_since + dither >= gap;
}

double LocalScore(const Candidate& candidate) {
  const double open = static_cast<double>(candidate.load->open());
  return (open + 1) / (IsTrickle(candidate) ? 1 : candidate.weight);
}

// Means over the sampled candidates. `connections` and `busy` come from load
// reports, so candidates without a report do not count for them.
struct Means {
  double local = 0;
  double open = 0;
  double connections = 0;
  double busy = 0;
};

// The candidates to evaluate: all of them up to kMaxCandidates, otherwise
// evenly spaced ones from a random start.
class Sample {
 public:
  Sample(std::size_t count, std::uint64_t random)
      : m_count(count),
        m_size(std::min(count, kMaxCandidates)),
        m_start(random % count),
        m_stride(count <= kMaxCandidates ? 1 : count / kMaxCandidates) {}

  std::size_t size() const { return m_size; }
  std::size_t At(std::size_t i) const {
    return (m_start + i * m_stride) % m_count;
  }

 private:
  std::size_t m_count;
  std::size_t m_size;
  std::size_t m_start;
  std::size_t m_stride;
};

// Weights each report by its trust, so that false reports do not shift the
// means.
Means ComputeMeans(const std::vector<Candidate>& candidates,
                   const Sample& sample, const ChoiceContext& context) {
  Means means;
  double trusted = 0;
  for (std::size_t i = 0; i < sample.size(); ++i) {
    const Candidate& candidate = candidates[sample.At(i)];
    const TargetLoad& load = *candidate.load;
    means.local += LocalScore(candidate);
    means.open += static_cast<double>(load.open());
    if (!context.use_reports || !load.HasReport()) continue;
    const double trust = load.Trust();
    means.connections += trust * *load.EstimatedConnections(context.balancers);
    means.busy += trust * *load.BusyFraction();
    trusted += trust;
  }
  means.local /= static_cast<double>(sample.size());
  means.open /= static_cast<double>(sample.size());
  if (trusted <= 0) return means;
  means.connections /= trusted;
  means.busy /= trusted;
  return means;
}

// Returns the score adjustment from a candidate's report: at most
// kMaxReportAdjustment of the mean or half a flow, whichever is greater. Half a
// flow only decides between equal candidates.
double ReportAdjustment(const Candidate& candidate, const Means& means,
                        double balancers) {
  const TargetLoad& load = *candidate.load;
  const auto connections = load.EstimatedConnections(balancers);
  if (!connections) return 0;
  const double max_adjustment =
      std::max(kMaxReportAdjustment * means.local, 0.5);
  const double deviation = *connections - means.connections;
  const double dead_band = kReportDeadBand * means.connections;
  const double excess =
      (deviation - std::clamp(deviation, -dead_band, dead_band)) / balancers;
  const double busy_adjustment =
      (*load.BusyFraction() - means.busy) * max_adjustment;
  return load.Trust() *
         std::clamp(excess + busy_adjustment, -max_adjustment, max_adjustment);
}

// The candidate with the lowest score is selected. The load of a candidate
// whose weight is below kTrickleWeight is not compared: its score is 0 while it
// is eligible, which normally is the lowest.
double Score(const Candidate& candidate, const Means& means, bool eligible,
             const ChoiceContext& context) {
  constexpr double kNever = std::numeric_limits<double>::max();
  if (IsTrickle(candidate)) return eligible ? 0 : kNever;
  const double local = LocalScore(candidate);
  if (!context.use_reports) return local;
  return local + ReportAdjustment(candidate, means, context.balancers);
}

}  // namespace

double RampWeight(Duration age, const LoadSettings& settings) {
  if (age >= settings.ramp) return 1;
  const double progress =
      std::max(0.0, ToSeconds(age)) / ToSeconds(settings.ramp);
  return kInitialRampWeight + (1 - kInitialRampWeight) * progress;
}

void TargetLoad::OnOpened() {
  ++m_open;
  ++m_opened;
  m_success_rate *= 1 - kSuccessSmoothing;
}

void TargetLoad::OnEstablished() {
  ++m_established;
  m_success_rate += kSuccessSmoothing;
}

void TargetLoad::OnClosed() {
  // A flow that another balancer opened may be closed here.
  if (m_open > 0) --m_open;
}

void TargetLoad::OnUnanswered() { ++m_unanswered; }

double TargetLoad::ShedFactor(double mean_open) const {
  const bool flows_succeed = m_success_rate > kMinSuccessRate;
  const bool has_enough_open =
      static_cast<double>(m_open) >= kMinOpenRatio * mean_open;
  const double floor =
      flows_succeed && has_enough_open ? kHealthyMinShedFactor : kMinShedFactor;
  return std::max(floor, m_shed_factor);
}

bool TargetLoad::WindowFull() const {
  const std::uint64_t allowed =
      kInitialWindow + kWindowPerEstablished * m_established;
  return m_opened >= allowed;
}

bool TargetLoad::IsPlausible(const LoadReport& report) const {
  if (report.busy_slots < 0 || report.connections < 0) return false;
  if (report.busy_slots > static_cast<std::int64_t>(m_slots)) return false;
  // The target should report at least half of the flows that are open here,
  // less kMinOpenFlowChange flows whose packets may still be in transit.
  const double open_here = static_cast<double>(m_open);
  const double reported = static_cast<double>(report.connections);
  return reported + kMinOpenFlowChange >= open_here * 0.5;
}

void TargetLoad::UpdateTrust(const LoadReport& report) {
  if (!IsPlausible(report)) {
    m_trust = 0;
    return;
  }
  const std::uint64_t change = m_open > m_open_at_report
                                   ? m_open - m_open_at_report
                                   : m_open_at_report - m_open;
  const bool frozen = m_has_report && change >= kMinOpenFlowChange &&
                      report.connections == m_report.connections;
  m_trust = frozen ? m_trust / 2 : std::min(1.0, m_trust + kTrustStep);
}

void TargetLoad::UpdateShedFactor(bool shedding, TimePoint at) {
  if (at - m_shed_updated_at < kShedInterval) return;
  m_shed_updated_at = at;
  m_shed_factor = shedding
                      ? std::max(kMinShedFactor, m_shed_factor * kShedDecrease)
                      : std::min(1.0, m_shed_factor + kShedIncrease);
}

void TargetLoad::OnReport(const LoadReport& report, TimePoint taken_at) {
  if (m_has_report && taken_at <= m_reported_at) return;
  UpdateTrust(report);
  UpdateShedFactor(report.shedding, taken_at);
  const double busy =
      std::clamp(static_cast<double>(report.busy_slots) / m_slots, 0.0, 1.0);
  ++m_reports;
  const double smoothing = std::max(kBusySmoothing, 1.0 / m_reports);
  m_busy_fraction += smoothing * (busy - m_busy_fraction);
  m_report = report;
  m_reported_at = taken_at;
  m_open_at_report = m_open;
  m_has_report = true;
}

std::optional<double> TargetLoad::EstimatedConnections(double balancers) const {
  if (!m_has_report) return std::nullopt;
  const double change =
      static_cast<double>(m_open) - static_cast<double>(m_open_at_report);
  const double reported = static_cast<double>(m_report.connections);
  return std::max(0.0, reported + balancers * change);
}

std::optional<double> TargetLoad::BusyFraction() const {
  if (!m_has_report) return std::nullopt;
  return m_busy_fraction;
}

std::size_t Choose(const std::vector<Candidate>& candidates,
                   const ChoiceContext& context) {
  assert(!candidates.empty());
  const Sample sample(candidates.size(), context.random);
  const Means means = ComputeMeans(candidates, sample, context);
  std::size_t best = sample.At(0);
  double best_score = 0;
  bool best_eligible = false;
  for (std::size_t i = 0; i < sample.size(); ++i) {
    const std::size_t index = sample.At(i);
    const Candidate& candidate = candidates[index];
    const bool eligible =
        IsEligible(candidate, means.open, context, candidates.size());
    if (best_eligible && !eligible) continue;
    const double score = Score(candidate, means, eligible, context);
    const bool better =
        i == 0 || (eligible && !best_eligible) || score < best_score;
    if (!better) continue;
    best = index;
    best_score = score;
    best_eligible = eligible;
  }
  return best;
}

}  // namespace sardinelead
