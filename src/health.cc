#include "sardinelead/health.h"

#include <algorithm>

namespace sardinelead {
namespace {

constexpr std::size_t kObserversToMarkDead = 2;
// Number of balancers that check a suspected target, including its regular
// probers.
constexpr std::size_t kSuspicionProbers = 4;
constexpr Duration kInitialDamping = std::chrono::seconds(2);
constexpr Duration kInitialTrialDelay = std::chrono::seconds(2);
// Minimum number of flows opened in a window for the ratio of established flows
// to be evaluated.
constexpr std::uint32_t kMinFlowsForRatio = 10;
// The flows of a target count as failing if the fraction of them that is
// established is below kFailingRatio while that of the service's other targets
// is above kHealthyRatio.
constexpr double kFailingRatio = 0.1;
constexpr double kHealthyRatio = 0.5;
constexpr std::uint32_t kTrialSuccesses = 3;

void AddTo(FlowOutcomeCounts* sum, const FlowOutcomeCounts& more) {
  sum->opened += more.opened;
  sum->established += more.established;
  sum->unanswered += more.unanswered;
  sum->silent += more.silent;
}

double EstablishedRatio(std::uint32_t established, std::uint32_t opened) {
  return opened == 0 ? 0 : static_cast<double>(established) / opened;
}

bool IsBad(Opinion opinion) { return opinion != Opinion::kGood; }

}  // namespace

const char* Name(Verdict verdict) {
  switch (verdict) {
    case Verdict::kUp:
      return "up";
    case Verdict::kTrial:
      return "trial";
    case Verdict::kAvoid:
      return "avoid";
    case Verdict::kDead:
      return "dead";
  }
  return "unknown";
}

const char* Name(Opinion opinion) {
  switch (opinion) {
    case Opinion::kGood:
      return "good";
    case Opinion::kSuspect:
      return "suspect";
    case Opinion::kDown:
      return "down";
    case Opinion::kFlowsFail:
      return "flows-fail";
    case Opinion::kLost:
      return "lost";
  }
  return "unknown";
}

Health::Health(const HealthSettings& settings, NodeId self)
    : m_settings(settings), m_self(self), m_members({self}) {}

void Health::SetTargets(const std::vector<HealthTarget>& targets,
                        TimePoint now) {
  std::unordered_map<TargetId, State> states;
  for (const HealthTarget& target : targets) {
    const auto known = m_states.find(target.id);
    State& state = states[target.id];
    if (known != m_states.end()) state = std::move(known->second);
    const bool is_new = known == m_states.end();
    state.target = target;
    if (is_new) state.window_start = now;
    if (is_new) state.rank = RankOf(m_self, target.id);
    AssignProbes(&state, now);
  }
  m_states = std::move(states);
}

void Health::SetMembers(const std::vector<NodeId>& members) {
  m_members = members;
  if (!IsLive(m_self)) m_members.push_back(m_self);
  for (auto& [id, state] : m_states) state.rank = RankOf(m_self, id);
}

bool Health::IsLive(NodeId member) const {
  return std::find(m_members.begin(), m_members.end(), member) !=
         m_members.end();
}

std::size_t Health::ObserversNeeded() const {
  return std::min(kObserversToMarkDead, m_members.size());
}

std::size_t Health::RankOf(NodeId member, TargetId target) const {
  const std::uint64_t own = HashCombine(target.value, member.value);
  std::size_t rank = 0;
  for (const NodeId other : m_members) {
    if (HashCombine(target.value, other.value) > own) ++rank;
  }
  return rank;
}

// Makes this balancer a prober of the target if its rank is among the first
// ones. A new prober checks a suspected target immediately. Otherwise its rank
// sets the time of its first check within the probe interval, so that the
// probers do not check at the same time.
void Health::AssignProbes(State* state, TimePoint now) const {
  const std::size_t rank = state->rank;
  const bool suspected = IsSuspected(*state, now);
  const std::size_t probers =
      suspected ? kSuspicionProbers : m_settings.probers;
  const bool should_probe = state->target.check.port != 0 && rank < probers;
  if (should_probe == state->is_prober) return;
  state->is_prober = should_probe;
  state->awaiting_result = false;
  if (!should_probe) {
    state->failures = 0;
    state->checks_failed = false;
    return;
  }
  const Duration phase = m_settings.probe_interval *
                         static_cast<std::int64_t>(rank) /
                         static_cast<std::int64_t>(m_settings.probers);
  state->next_probe = suspected ? now : now + phase;
}

bool Health::IsSuspected(const State& state, TimePoint now) const {
  if (state.failures > 0) return true;
  for (const auto& [observer, peer_opinion] : state.peers) {
    if (!IsLive(observer)) continue;
    if (now - peer_opinion.at > m_settings.opinion_lifetime) continue;
    if (IsBad(peer_opinion.opinion)) return true;
  }
  return false;
}

std::vector<Probe> Health::ProbesDue(TimePoint now) {
  std::vector<Probe> due;
  for (auto& [id, state] : m_states) {
    if (!state.is_prober || state.awaiting_result) continue;
    if (now < state.next_probe) continue;
    state.awaiting_result = true;
    due.push_back(Probe{id, state.target.check});
  }
  return due;
}

void Health::OnProbeResult(TargetId target, bool reached, TimePoint now) {
  const auto found = m_states.find(target);
  if (found == m_states.end()) return;
  State& state = found->second;
  state.awaiting_result = false;
  if (reached) {
    OnProbeSuccess(&state, now);
  } else {
    OnProbeFailure(&state, now);
  }
}

void Health::OnProbeSuccess(State* state, TimePoint now) const {
  if (state->failures > 0 || state->successes == 0) state->success_since = now;
  state->failures = 0;
  ++state->successes;
  state->next_probe = now + m_settings.probe_interval;
  if (!state->checks_failed) {
    const bool stable = now - state->recovered_at > m_settings.max_damping;
    if (stable) state->damping = Duration(0);
    return;
  }
  if (state->successes < m_settings.successes_to_rise) return;
  if (now - state->success_since < state->damping) return;
  state->checks_failed = false;
  const Duration doubled = std::max(kInitialDamping, state->damping * 2);
  state->damping = std::min(m_settings.max_damping, doubled);
  state->recovered_at = now;
}

void Health::OnProbeFailure(State* state, TimePoint now) const {
  state->successes = 0;
  ++state->failures;
  const bool below_threshold = state->failures < m_settings.failures_to_fall;
  state->next_probe = now + (below_threshold ? m_settings.reprobe_delay
                                             : m_settings.probe_interval);
  if (!below_threshold) state->checks_failed = true;
}

void Health::OnFlowEvidence(TargetId target, const FlowOutcomeCounts& evidence,
                            TimePoint) {
  const auto found = m_states.find(target);
  if (found == m_states.end()) return;
  State& state = found->second;
  AddTo(&state.window, evidence);
  if (evidence.established > 0) state.consecutive_unanswered = 0;
  if (evidence.established == 0) {
    state.consecutive_unanswered += evidence.unanswered;
  }
  if (!state.on_trial) return;
  state.trial_successes += evidence.established;
  state.trial_failures += evidence.unanswered;
}

void Health::OnPeerOpinion(NodeId observer, const TargetOpinion& opinion,
                           TimePoint now) {
  const auto found = m_states.find(opinion.target);
  if (found == m_states.end() || observer == m_self) return;
  found->second.peers[observer] = PeerOpinion{opinion.opinion, now};
  AssignProbes(&found->second, now);
}

void Health::RollWindow(State* state, TimePoint now) const {
  if (now - state->window_start < m_settings.flow_window) return;
  state->previous = state->window;
  state->window = FlowOutcomeCounts{};
  state->window_start = now;
}

void Health::MarkFlowsFailing(State* state, TimePoint now) const {
  const bool repeated = state->on_trial || state->trial_delay > Duration(0);
  const Duration next_delay =
      repeated ? state->trial_delay * 2 : kInitialTrialDelay;
  state->trial_delay = std::min(m_settings.max_damping, next_delay);
  state->trial_at = now + state->trial_delay;
  state->flows_fail = true;
  state->on_trial = false;
  state->flows_lost = state->window.silent > 0;
  state->consecutive_unanswered = 0;
  state->window = FlowOutcomeCounts{};
  state->previous = FlowOutcomeCounts{};
  state->window_start = now;
}

// `of_service` is the sum over the windows of all targets of the service.
void Health::EvaluateFlows(State* state, const FlowOutcomeCounts& of_service,
                           TimePoint now) const {
  FlowOutcomeCounts recent = state->window;
  AddTo(&recent, state->previous);
  const bool mostly_unanswered =
      recent.unanswered >= m_settings.unanswered_to_fall &&
      recent.unanswered > recent.established;
  const bool no_reply = mostly_unanswered || state->consecutive_unanswered >=
                                                 m_settings.unanswered_to_fall;
  const std::uint32_t others_opened = of_service.opened - recent.opened;
  const std::uint32_t others_established =
      of_service.established - recent.established;
  // The current window is not used for the opened count: its flows may not have
  // had time to be established.
  const FlowOutcomeCounts& previous_window = state->previous;
  const bool refused =
      previous_window.opened >= kMinFlowsForRatio &&
      EstablishedRatio(recent.established, previous_window.opened) <
          kFailingRatio &&
      EstablishedRatio(others_established, others_opened) > kHealthyRatio;
  if (!state->flows_fail && (no_reply || refused)) MarkFlowsFailing(state, now);
  if (!state->flows_fail) return;
  state->flows_lost = state->flows_lost || state->window.silent > 0;
  if (state->on_trial) {
    EvaluateTrial(state, now);
    return;
  }
  if (now < state->trial_at) return;
  state->on_trial = true;
  state->trial_successes = 0;
  state->trial_failures = 0;
}

void Health::EvaluateTrial(State* state, TimePoint now) const {
  if (state->trial_failures > 0) {
    MarkFlowsFailing(state, now);
    return;
  }
  if (state->trial_successes < kTrialSuccesses) return;
  state->flows_fail = false;
  state->flows_lost = false;
  state->on_trial = false;
  state->window = FlowOutcomeCounts{};
  state->previous = FlowOutcomeCounts{};
  state->window_start = now;
}

Opinion Health::LocalOpinion(const State& state) const {
  const bool fails = state.flows_fail && !state.on_trial;
  if (fails && state.flows_lost) return Opinion::kLost;
  if (state.checks_failed) return Opinion::kDown;
  if (fails) return Opinion::kFlowsFail;
  return state.failures > 0 ? Opinion::kSuspect : Opinion::kGood;
}

Health::OpinionCounts Health::CountOpinions(const State& state,
                                            TimePoint now) const {
  OpinionCounts count;
  const auto add = [&count](Opinion opinion) {
    if (!IsBad(opinion)) return;
    const bool lost = opinion == Opinion::kLost;
    const bool down = opinion == Opinion::kDown;
    const bool suspect = opinion == Opinion::kSuspect;
    const bool flows = opinion == Opinion::kFlowsFail;
    count.down += down ? 1 : 0;
    count.suspects += down || suspect ? 1 : 0;
    count.flows += flows || lost ? 1 : 0;
    count.lost += lost ? 1 : 0;
  };
  add(LocalOpinion(state));
  for (const auto& [observer, peer_opinion] : state.peers) {
    if (!IsLive(observer)) continue;
    if (now - peer_opinion.at > m_settings.opinion_lifetime) continue;
    add(peer_opinion.opinion);
  }
  return count;
}

// Returns whether enough balancers failed to reach the target: two, or one if
// this balancer is alone. For at least one of them, consecutive checks must
// have failed.
bool Health::ChecksSayDead(const OpinionCounts& count) const {
  return count.down >= 1 && count.suspects >= ObserversNeeded();
}

Verdict Health::ComputeVerdict(const State& state, const OpinionCounts& count,
                               bool ignore_checks) const {
  const bool lost =
      count.lost >= 1 && count.lost + count.down >= ObserversNeeded();
  if (lost) return Verdict::kDead;
  FlowOutcomeCounts recent = state.window;
  AddTo(&recent, state.previous);
  // Failed checks do not make a target dead while new flows to it are being
  // established and no flow was left unanswered in either window.
  const bool flows_prove_alive = state.window.established > 0 &&
                                 state.window.unanswered == 0 &&
                                 state.previous.unanswered == 0;
  const bool checks_say_dead = ChecksSayDead(count) && !ignore_checks;
  if (checks_say_dead && !flows_prove_alive) return Verdict::kDead;
  if (state.flows_fail) {
    return state.on_trial ? Verdict::kTrial : Verdict::kAvoid;
  }
  const bool checks_agree_with_a_peer =
      count.flows >= 1 && count.suspects >= 1 &&
      count.flows + count.suspects >= ObserversNeeded();
  if (flows_prove_alive) return Verdict::kUp;
  const bool peers_flows_fail = count.flows >= ObserversNeeded();
  return peers_flows_fail || checks_agree_with_a_peer ? Verdict::kAvoid
                                                      : Verdict::kUp;
}

void Health::EvaluateService(const std::vector<State*>& states,
                             TimePoint now) const {
  FlowOutcomeCounts sum;
  for (const State* state : states) {
    AddTo(&sum, state->window);
    AddTo(&sum, state->previous);
  }
  std::size_t dead_by_checks = 0;
  for (State* state : states) {
    EvaluateFlows(state, sum, now);
    RollWindow(state, now);
    AssignProbes(state, now);
    if (ChecksSayDead(CountOpinions(*state, now))) ++dead_by_checks;
  }
  const bool ignore_checks = dead_by_checks * 2 > states.size();
  for (State* state : states) {
    state->verdict =
        ComputeVerdict(*state, CountOpinions(*state, now), ignore_checks);
  }
}

void Health::OnTick(TimePoint now) {
  std::map<ServiceId, std::vector<State*>> by_service;
  for (auto& [id, state] : m_states) {
    by_service[state.target.service].push_back(&state);
  }
  for (auto& [service, states] : by_service) EvaluateService(states, now);
}

Verdict Health::VerdictOf(TargetId target) const {
  const auto found = m_states.find(target);
  return found == m_states.end() ? Verdict::kUp : found->second.verdict;
}

std::vector<TargetOpinion> Health::TakeOpinions(TimePoint now) {
  std::vector<TargetOpinion> opinions;
  for (auto& [id, state] : m_states) {
    const Opinion own = LocalOpinion(state);
    const bool renew = IsBad(own) && now - state.last_sent_at >=
                                         m_settings.opinion_lifetime / 3;
    if (own == state.last_sent && !renew) continue;
    state.last_sent = own;
    state.last_sent_at = now;
    opinions.push_back(TargetOpinion{id, own});
  }
  std::sort(opinions.begin(), opinions.end(),
            [](const TargetOpinion& a, const TargetOpinion& b) {
              return a.target < b.target;
            });
  return opinions;
}

}  // namespace sardinelead
