#ifndef SARDINELEAD_BENCH_BALANCE_SHARES_H_
#define SARDINELEAD_BENCH_BALANCE_SHARES_H_

// Simulates, in virtual time, new flows of several workspaces that share one
// service on independent balancers, each with its own Admission.

#include <algorithm>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "sardinelead/admission.h"

namespace sardinelead::bench {

// An address in 10.<workspace>.0.0/16, the network of its callers.
inline IpAddress CallerOf(std::size_t workspace, std::uint64_t random) {
  const std::uint32_t net =
      0x0a000000U + (static_cast<std::uint32_t>(workspace) << 16U);
  return IpAddress::FromV4(net + static_cast<std::uint32_t>(random & 0xffffU));
}

struct SharesSettings {
  std::size_t balancers = 9;
  std::size_t workspaces = 3;
  std::vector<std::uint32_t> shares;  // If empty, 1 for each workspace.
  Limits service_limits;
  Limits workspace_limits;
  double flow_life_s = 0;  // If 0, admitted flows are not tracked.
  std::uint64_t seed = 1;
};

class SharesSimulation {
 public:
  explicit SharesSimulation(const SharesSettings& settings)
      : m_settings(settings), m_random(settings.seed) {
    Configuration configuration = MakeSharedConfiguration();
    m_service = configuration.services.begin()->second;
    for (std::size_t i = 0; i < settings.balancers; ++i) {
      m_nodes.push_back(std::make_unique<Node>());
      Node& node = *m_nodes.back();
      node.board.configuration.Publish(
          std::make_shared<Configuration>(configuration));
      node.board.view.Publish(std::make_shared<View>(ViewFrom(i)));
    }
    m_accepted.resize(settings.workspaces);
    m_offered.resize(settings.workspaces);
  }

  // Offers Poisson arrivals at per_second[i] new flows per second from
  // workspace i.
  void Run(double seconds, const std::vector<double>& per_second) {
    const double until = m_now_s + seconds;
    double sum = 0;
    for (const double rate : per_second) sum += rate;
    std::discrete_distribution<std::size_t> next_workspace(per_second.begin(),
                                                           per_second.end());
    std::exponential_distribution<double> interarrival(sum);
    while (true) {
      m_now_s += interarrival(m_random);
      if (m_now_s >= until) break;
      EndFlows();
      Offer(next_workspace(m_random));
      if (m_now_s < m_next_tick_s) continue;
      m_next_tick_s = m_now_s + 1;
      for (const auto& node : m_nodes) {
        node->admission.OnShedding(m_service.id, m_all_shed, Now());
      }
    }
    m_now_s = until;
  }

  void Reset() {
    std::fill(m_accepted.begin(), m_accepted.end(), 0);
    std::fill(m_offered.begin(), m_offered.end(), 0);
  }
  void SetAllShed(bool all_shed) { m_all_shed = all_shed; }

  const std::vector<std::uint64_t>& accepted() const {  // NOLINT
    return m_accepted;
  }
  const std::vector<std::uint64_t>& offered() const {  // NOLINT
    return m_offered;
  }
  double Accepted() const {
    double sum = 0;
    for (const std::uint64_t count : m_accepted) {
      sum += static_cast<double>(count);
    }
    return sum;
  }
  std::vector<std::uint64_t> Held() const {
    std::vector<std::uint64_t> held(m_settings.workspaces, 0);
    for (const Flow& flow : m_flows) held[flow.workspace] += 1;
    return held;
  }
  Admission& At(std::size_t balancer) { return m_nodes[balancer]->admission; }
  Metrics& MetricsOf(std::size_t balancer) {
    return m_nodes[balancer]->metrics;
  }
  const Service& service() const { return m_service; }  // NOLINT
  TimePoint Now() const {
    return TimePoint(std::chrono::hours(1)) +
           Duration(static_cast<std::int64_t>(m_now_s * 1e9));
  }

 private:
  struct Node {
    Blackboard board;
    Metrics metrics;
    Admission admission{AdmissionSettings{}, &board, &metrics};
  };
  struct Flow {
    double ends_s = 0;
    std::size_t balancer = 0;
    std::size_t workspace = 0;
    IpAddress caller;
  };

  Configuration MakeSharedConfiguration() const {
    Configuration configuration;
    Service service;
    service.id = ServiceId{1};
    service.name = "classroom";
    service.workspace = "w0";
    service.limits = m_settings.service_limits;
    for (std::size_t i = 0; i < m_settings.workspaces; ++i) {
      Workspace workspace;
      workspace.name = "w" + std::to_string(i);
      workspace.limits = m_settings.workspace_limits;
      if (!m_settings.shares.empty()) workspace.share = m_settings.shares[i];
      configuration.workspaces[workspace.name] = workspace;
      service.caller_workspaces["10." + std::to_string(i) + ".0.0/16"] =
          workspace.name;
    }
    configuration.services["w0/classroom"] = service;
    configuration.BuildIndex();
    return configuration;
  }

  View ViewFrom(std::size_t self) const {
    std::vector<Member> members(m_settings.balancers);
    for (std::size_t i = 0; i < members.size(); ++i) {
      members[i].id = NodeId{static_cast<std::uint32_t>(i + 1)};
      members[i].state = MemberState::kReady;
    }
    return View(NodeId{static_cast<std::uint32_t>(self + 1)}, members, true);
  }

  // The first holder of a random partition.
  std::size_t DrawBalancer() {
    const auto partition =
        static_cast<PartitionId>(m_random() % kPartitionCount);
    const auto view = m_nodes[0]->board.view.Read();
    return view->HoldersOf(partition).front().value - 1;
  }

  void Offer(std::size_t workspace) {
    const std::size_t balancer = DrawBalancer();
    const IpAddress caller = CallerOf(workspace, m_random());
    ++m_offered[workspace];
    Admission& admission = m_nodes[balancer]->admission;
    if (!admission.Admit(m_service, caller, Now())) return;
    ++m_accepted[workspace];
    if (m_settings.flow_life_s <= 0) return;
    admission.OnOpened(m_service.id, caller);
    std::exponential_distribution<double> lifetime(1 / m_settings.flow_life_s);
    m_flows.push_back(
        Flow{m_now_s + lifetime(m_random), balancer, workspace, caller});
    std::push_heap(m_flows.begin(), m_flows.end(), EndsLater);
  }

  static bool EndsLater(const Flow& a, const Flow& b) {
    return a.ends_s > b.ends_s;
  }

  void EndFlows() {
    while (!m_flows.empty() && m_flows.front().ends_s <= m_now_s) {
      std::pop_heap(m_flows.begin(), m_flows.end(), EndsLater);
      const Flow flow = m_flows.back();
      m_flows.pop_back();
      m_nodes[flow.balancer]->admission.OnClosed(m_service.id, flow.caller);
    }
  }

  SharesSettings m_settings;
  std::mt19937_64 m_random;
  Service m_service;
  std::vector<std::unique_ptr<Node>> m_nodes;
  double m_now_s = 0;
  double m_next_tick_s = 0;
  bool m_all_shed = false;
  std::vector<std::uint64_t> m_accepted;
  std::vector<std::uint64_t> m_offered;
  std::vector<Flow> m_flows;
};

// Jain's fairness index: 1 if all values are equal.
inline double JainIndex(const std::vector<std::uint64_t>& values) {
  double sum = 0;
  double squares = 0;
  for (const std::uint64_t value : values) {
    const auto v = static_cast<double>(value);
    sum += v;
    squares += v * v;
  }
  const auto count = static_cast<double>(values.size());
  return squares > 0 ? sum * sum / (count * squares) : 1;
}

}  // namespace sardinelead::bench

#endif  // SARDINELEAD_BENCH_BALANCE_SHARES_H_
