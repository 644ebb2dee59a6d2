#include "service_picker.h"

#include <algorithm>
#include <cmath>

namespace sardinelead {
namespace {

// Recount() ignores differences of up to this fraction of the flow table's
// count plus kRecountSlack flows.
constexpr double kRecountTolerance = 0.1;
constexpr std::uint64_t kRecountSlack = 16;
// Fraction of the difference corrected by each recount. The flow table's counts
// are a few seconds old, so a full correction would treat a target that just
// joined as empty.
constexpr double kRecountStep = 1.0 / 8;

// Returns the number of balancers that make decisions for new flows, at least
// 1.
double DecidingBalancers(const View& view) {
  const auto& members = view.members();
  const auto ready = std::count_if(
      members.begin(), members.end(),
      [](const Member& member) { return member.state == MemberState::kReady; });
  return std::max(1.0, static_cast<double>(ready));
}

bool Differs(std::uint64_t a, std::uint64_t b) {
  const std::uint64_t difference = a > b ? a - b : b - a;
  const double tolerance = kRecountTolerance * static_cast<double>(b);
  return static_cast<double>(difference) >
         tolerance + static_cast<double>(kRecountSlack);
}

}  // namespace

ServicePicker::ServicePicker(const TargetPolicySettings& settings,
                             const Service& service,
                             const Blackboard* blackboard, Metrics* metrics)
    : m_settings(settings),
      m_service(service.id),
      m_blackboard(blackboard),
      m_retry_tokens(settings.retry_burst) {
  const Labels labels = {{"workspace", service.workspace},
                         {"service", service.workspace + "/" + service.name}};
  m_imbalance = metrics->FindGauge("sardinelead_imbalance", labels);
  m_imbalances = metrics->FindHistogram("sardinelead_imbalance_ratio", labels);
  m_open_at_pick =
      metrics->FindHistogram("sardinelead_pick_open_flows", labels);
  m_report_ages =
      metrics->FindHistogram("sardinelead_report_age_seconds", labels);
  m_busy = metrics->FindHistogram("sardinelead_busy_fraction", labels);
  m_retries = metrics->FindCounter("sardinelead_retries_total", labels);
  m_unanswered =
      metrics->FindCounter("sardinelead_unanswered_flows_total", labels);
}

ServicePicker::TargetEntry* ServicePicker::Find(TargetId target) {
  const auto found = m_targets.find(target);
  return found == m_targets.end() ? nullptr : found->second.get();
}

void ServicePicker::AddEligibleTargets(bool include_zero_weight) {
  for (auto& [id, entry] : m_targets) {
    if (!entry->takes_new) continue;
    if (entry->weight <= 0 && !include_zero_weight) continue;
    Candidate candidate;
    candidate.load = &entry->load;
    candidate.weight = entry->weight > 0 ? entry->weight : 1;
    candidate.in_ramp = entry->weight < 1;
    candidate.last_pick = entry->last_pick;
    candidate.last_pick_at = entry->last_pick_at;
    m_eligible.push_back(EligibleTarget{id, entry.get()});
    m_candidates.push_back(candidate);
  }
}

// Updates the targets and the number of balancers if a new snapshot or View was
// published.
void ServicePicker::Refresh() {
  if (m_blackboard->view.generation() != m_view_generation) {
    m_view_generation = m_blackboard->view.generation();
    m_balancers = DecidingBalancers(*m_blackboard->view.Read());
  }
  const std::uint64_t generation = m_blackboard->targets.generation();
  if (generation == m_generation) return;
  m_generation = generation;
  const TargetSnapshotPtr snapshot = m_blackboard->targets.Read();
  std::unordered_map<TargetId, std::unique_ptr<TargetEntry>> current_targets;
  for (const Target* target : snapshot->OfService(m_service)) {
    std::unique_ptr<TargetEntry>& entry = current_targets[target->id];
    const auto previous = m_targets.find(target->id);
    if (previous != m_targets.end()) entry = std::move(previous->second);
    if (entry == nullptr) entry = std::make_unique<TargetEntry>(*target);
    entry->weight = target->weight;
    entry->takes_new = target->state == TargetState::kActive;
  }
  m_targets = std::move(current_targets);
  m_eligible.clear();
  m_candidates.clear();
  AddEligibleTargets(false);
  // If all active targets have weight 0, uses all of them: health checks must
  // never leave a service without targets.
  if (m_eligible.empty()) AddEligibleTargets(true);
}

tl::expected<TargetId, RefuseReason> ServicePicker::Pick(std::uint64_t random,
                                                         TargetId excluded,
                                                         TimePoint now) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Refresh();
  if (m_eligible.empty()) return tl::unexpected(RefuseReason::kNoTarget);
  const auto excluded_target = std::find_if(
      m_eligible.begin(), m_eligible.end(),
      [excluded](const EligibleTarget& t) { return t.id == excluded; });
  const auto excluded_index =
      static_cast<std::size_t>(excluded_target - m_eligible.begin());
  if (excluded_target != m_eligible.end()) {
    if (m_eligible.size() == 1) return tl::unexpected(RefuseReason::kNoTarget);
    std::swap(m_eligible[excluded_index], m_eligible.back());
    std::swap(m_candidates[excluded_index], m_candidates.back());
  }
  ChoiceContext context;
  context.pick_number = ++m_picks;
  context.random = random;
  context.balancers = m_balancers;
  context.now = now;
  context.use_reports = m_settings.load.use_reports;
  std::vector<Candidate>* candidates = &m_candidates;
  std::vector<Candidate> others;
  if (excluded_target != m_eligible.end()) {
    others.assign(m_candidates.begin(), m_candidates.end() - 1);
    candidates = &others;
  }
  const std::size_t index = Choose(*candidates, context);
  const EligibleTarget& chosen = m_eligible[index];
  m_candidates[index].last_pick = m_picks;
  m_candidates[index].last_pick_at = now;
  chosen.entry->last_pick = m_picks;
  chosen.entry->last_pick_at = now;
  m_retry_tokens = std::min(m_settings.retry_burst,
                            m_retry_tokens + m_settings.retry_fraction);
  return chosen.id;
}

bool ServicePicker::TakeRetry() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (m_retry_tokens < 1) return false;
  m_retry_tokens -= 1;
  m_retries->Add(1);
  return true;
}

void ServicePicker::Observe(const FlowEvent& event) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Refresh();
  TargetEntry* entry = Find(event.target);
  if (entry == nullptr) return;
  switch (event.kind) {
    case FlowEventKind::kOpened:
      m_open_at_pick->Observe(static_cast<double>(entry->load.open()));
      entry->load.OnOpened();
      ++entry->evidence.opened;
      return;
    case FlowEventKind::kEstablished:
      entry->load.OnEstablished();
      ++entry->evidence.established;
      return;
    case FlowEventKind::kClosed:
    case FlowEventKind::kReset:
      entry->load.OnClosed();
      return;
    case FlowEventKind::kUnanswered:
      m_unanswered->Add(1);
      ++entry->evidence.unanswered;
      return;
    case FlowEventKind::kSilent:
      ++entry->evidence.silent;
      return;
  }
}

void ServicePicker::OnLoad(TargetId target, const LoadReport& report,
                           TimePoint taken_at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Refresh();
  TargetEntry* entry = Find(target);
  if (entry == nullptr) return;
  entry->load.OnReport(report, taken_at);
  m_busy->Observe(*entry->load.BusyFraction());
}

void ServicePicker::Recount(
    const std::unordered_map<TargetId, std::uint64_t>& by_target) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (auto& [id, entry] : m_targets) {
    const auto found = by_target.find(id);
    const std::uint64_t held = found == by_target.end() ? 0 : found->second;
    if (!Differs(entry->load.open(), held)) continue;
    const auto open = static_cast<double>(entry->load.open());
    const double difference = static_cast<double>(held) - open;
    const double corrected = std::round(open + kRecountStep * difference);
    entry->load.SetOpen(static_cast<std::uint64_t>(corrected));
  }
}

void ServicePicker::TakeFlowOutcomes(std::vector<TargetFlowOutcomes>* out) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (auto& [id, entry] : m_targets) {
    const FlowOutcomeCounts& seen = entry->evidence;
    const bool any = seen.opened > 0 || seen.established > 0 ||
                     seen.unanswered > 0 || seen.silent > 0;
    if (!any) continue;
    out->push_back(TargetFlowOutcomes{id, seen});
    entry->evidence = FlowOutcomeCounts{};
  }
}

void ServicePicker::Publish(TimePoint now) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Refresh();
  double sum = 0;
  double maximum = 0;
  for (const EligibleTarget& target : m_eligible) {
    const TargetLoad& load = target.entry->load;
    const double open = static_cast<double>(load.open());
    sum += open;
    maximum = std::max(maximum, open);
    if (!load.HasReport()) continue;
    const Duration age = now - load.reported_at();
    m_report_ages->Observe(std::chrono::duration<double>(age).count());
  }
  if (sum <= 0) return;
  const double mean = sum / static_cast<double>(m_eligible.size());
  m_imbalance->Set(maximum / mean);
  m_imbalances->Observe(maximum / mean);
}

bool ServicePicker::AllShed() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Refresh();
  const auto is_shedding = [](const EligibleTarget& target) {
    return target.entry->load.IsShedding();
  };
  return !m_eligible.empty() &&
         std::all_of(m_eligible.begin(), m_eligible.end(), is_shedding);
}

}  // namespace sardinelead
