#include "sardinelead/balancer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "packet_counts.h"
#include "sardinelead/reset.h"

namespace sardinelead {
namespace {

constexpr Duration kSecond = std::chrono::seconds(1);

void AppendTo(Outbox* out, Outbox more) {
  std::move(more.begin(), more.end(), std::back_inserter(*out));
}

}  // namespace

BalancerOptions Balancer::CopyIdentity(BalancerOptions options) {
  options.flows.self = options.self;
  options.membership.self = options.self;
  options.membership.incarnation = options.incarnation;
  options.repair.self = options.self;
  options.targets.self = options.self;
  options.targets.incarnation = options.incarnation;
  options.config.self = options.self;
  return options;
}

Balancer::Balancer(BalancerOptions options, Blackboard* blackboard,
                   BalancerHooks hooks)
    : m_options(CopyIdentity(std::move(options))),
      m_hooks(std::move(hooks)),
      m_blackboard(blackboard),
      m_admission(m_options.admission, m_blackboard, &m_metrics),
      m_policy(m_options.policy, m_blackboard, &m_admission, &m_metrics),
      m_director(m_options.flows, m_policy.PickHook(), m_policy.ObserveHook(),
                 m_policy.PickAnotherHook()),
      m_repair(m_options.repair, &m_director, m_blackboard),
      m_membership(m_options.membership, m_blackboard,
                   [this] { return m_repair.Report(); }),
      m_health(m_options.health, m_options.self),
      m_registry(m_options.targets, m_blackboard, &m_health,
                 {m_hooks.random, m_hooks.authorize,
                  [this](ServiceId service, TargetId target,
                         const LoadReport& report, TimePoint taken_at) {
                    m_policy.OnLoad(service, target, report, taken_at);
                  }}),
      m_config(m_options.config, m_blackboard,
               {m_hooks.random, [this] { return Peers(); }}) {
  DescribeCounts(&m_metrics);
}

Balancer::~Balancer() = default;

std::unique_ptr<PacketWorker> Balancer::MakeWorker() {
  auto worker = std::make_unique<PacketWorker>(this);
  const std::lock_guard<std::mutex> lock(m_workers_mutex);
  m_workers.push_back(worker.get());
  return worker;
}

void Balancer::UnregisterWorker(const PacketWorker* worker) {
  const PacketCounts counts = worker->Counts();
  const std::lock_guard<std::mutex> lock(m_workers_mutex);
  m_workers.erase(std::remove(m_workers.begin(), m_workers.end(), worker),
                  m_workers.end());
  AddCounts(counts, &m_retired_counts);
}

PacketCounts Balancer::packets() const {
  const std::lock_guard<std::mutex> lock(m_workers_mutex);
  PacketCounts sum = m_retired_counts;
  for (const PacketWorker* worker : m_workers) {
    AddCounts(worker->Counts(), &sum);
  }
  return sum;
}

std::vector<NodeId> Balancer::Peers() const {
  std::vector<NodeId> peers;
  const auto view = m_blackboard->view.Read();
  for (const Member& member : view->members()) {
    if (member.id == m_options.self) continue;
    if (member.state == MemberState::kDead) continue;
    peers.push_back(member.id);
  }
  return peers;
}

Outbox Balancer::OnMessage(NodeId from, MessageKind kind, ByteView body,
                           TimePoint now) {
  switch (kind) {
    case MessageKind::kMembership:
      return m_membership.OnMessage(from, body, now);
    case MessageKind::kFlowRepair:
      return m_repair.OnMessage(from, body, now);
    case MessageKind::kTargets:
      return m_registry.OnMessage(from, body, now);
    case MessageKind::kConfigOffer:
      return m_config.OnMessage(from, body, now);
    case MessageKind::kAgreement:
    case MessageKind::kFeed:
      return {};  // Handled by control VMs and cookie balancers only.
  }
  return {};
}

BalancerTick Balancer::OnTick(TimePoint now) {
  BalancerTick tick;
  tick.messages = m_membership.OnTick(now);
  AppendTo(&tick.messages, m_repair.OnTick(now));
  AppendTo(&tick.messages, m_config.OnTick(now));
  TickTargets(now, &tick.messages);
  for (const FlowReset& reset : m_director.OnTick(&m_board, now)) {
    Bytes packet = BuildReset(reset);
    if (!packet.empty()) tick.to_callers.push_back(std::move(packet));
  }
  if (now >= m_next_second) {
    m_next_second = now + kSecond;
    TickSecond(now);
  }
  return tick;
}

void Balancer::TickTargets(TimePoint now, Outbox* out) {
  for (const TargetFlowOutcomes& evidence : m_policy.TakeFlowOutcomes()) {
    m_health.OnFlowEvidence(evidence.target, evidence.evidence, now);
  }
  AppendTo(out, m_registry.OnTick(now));
}

void Balancer::TickSecond(TimePoint now) {
  m_policy.OnTick(now);
  const FlowCounts counts = m_director.Counts();
  m_policy.Recount(counts.by_service, counts.by_target);
  m_metrics.FindGauge("sardinelead_flows_held", {})
      ->Set(static_cast<double>(counts.held));
  m_metrics.FindGauge("sardinelead_flow_bytes", {})
      ->Set(static_cast<double>(counts.bytes));
  m_metrics.FindGauge("sardinelead_config_version", {})
      ->Set(static_cast<double>(m_board.configuration.Get().version.value));
  PublishCounts();
}

void Balancer::PublishCounts() {
  const PacketCounts now = packets();
  AddToMetrics(m_published, now, &m_metrics);
  m_published = now;
}

void Balancer::Leave() {
  m_is_leaving = true;
  m_membership.Leave();
}

bool Balancer::IsHandoverComplete() const {
  return m_is_leaving && m_membership.IsHandoverComplete();
}

}  // namespace sardinelead
