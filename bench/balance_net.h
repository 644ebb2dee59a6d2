#ifndef SARDINELEAD_BENCH_BALANCE_NET_H_
#define SARDINELEAD_BENCH_BALANCE_NET_H_

// Simulates several balancers, each with a target registry, health checks and
// a target policy, and the network between them in virtual time.

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sardinelead/target_policy.h"
#include "sardinelead/target_registry.h"

namespace sardinelead {

inline Service MakeService(std::uint32_t id, const std::string& workspace,
                           const std::string& name) {
  Service service;
  service.id = ServiceId{id};
  service.name = name;
  service.workspace = workspace;
  service.address = *Endpoint::Parse("192.0.2." + std::to_string(id) + ":80");
  return service;
}

inline Configuration MakeConfiguration(const std::vector<Service>& services) {
  Configuration configuration;
  for (const Service& service : services) {
    Workspace workspace;
    workspace.name = service.workspace;
    configuration.workspaces[service.workspace] = workspace;
    configuration.services[service.workspace + "/" + service.name] = service;
  }
  configuration.BuildIndex();
  return configuration;
}

inline View MakeView(std::uint32_t self, std::uint32_t count) {
  std::vector<Member> members(count);
  for (std::uint32_t i = 0; i < count; ++i) {
    members[i].id = NodeId{i + 1};
    members[i].state = MemberState::kReady;
  }
  return View(NodeId{self}, members, true);
}

// The tunnel endpoint of fake target `number`.
inline Endpoint TunnelEndpointOf(std::uint32_t number) {
  return Endpoint{IpAddress::FromV4(0x0a000000 + number), 6080};
}

inline Announcement MakeAnnouncement(
    std::uint32_t number, const std::string& service = "linaw/orders",
    std::uint64_t incarnation = 1) {
  Announcement announcement;
  announcement.service = service;
  announcement.workspace = service.substr(0, service.find('/'));
  announcement.token = "token-" + announcement.workspace;
  announcement.name = "host-" + std::to_string(number);
  announcement.tunnel = TunnelEndpointOf(number);
  announcement.slots = 3;
  announcement.incarnation = Incarnation{incarnation};
  announcement.check_port = 80;
  return announcement;
}

struct NetNode {
  NetNode(std::uint32_t id, std::uint64_t incarnation,
          const Configuration& configuration, std::uint32_t count,
          TargetRegistrySettings settings)
      : random(id * std::uint64_t{1000} + incarnation),
        admission(AdmissionSettings{}, &board, &metrics),
        policy(TargetPolicySettings{}, &board, &admission, &metrics),
        health(HealthSettings{}, NodeId{id}) {
    board.configuration.Publish(std::make_shared<Configuration>(configuration));
    board.view.Publish(std::make_shared<View>(MakeView(id, count)));
    settings.self = NodeId{id};
    settings.incarnation = Incarnation{incarnation};
    TargetRegistry::Hooks hooks;
    hooks.random = [this] { return random(); };
    hooks.authorize = [](const std::string& workspace,
                         const std::string& token) {
      return token == "token-" + workspace;
    };
    hooks.on_load = [this](ServiceId service, TargetId target,
                           const LoadReport& report, TimePoint taken_at) {
      policy.OnLoad(service, target, report, taken_at);
    };
    registry =
        std::make_unique<TargetRegistry>(settings, &board, &health, hooks);
  }

  std::mt19937_64 random;
  Blackboard board;
  Metrics metrics;
  Admission admission;
  TargetPolicy policy;
  Health health;
  std::unique_ptr<TargetRegistry> registry;
};

class TargetNet {
 public:
  TargetNet(std::uint32_t count, Configuration configuration,
            std::uint64_t seed, TargetRegistrySettings settings = {})
      : m_count(count),
        m_configuration(std::move(configuration)),
        m_settings(settings),
        m_random(seed) {
    for (std::uint32_t id = 1; id <= count; ++id) Restart(id);
  }

  NetNode& At(std::uint32_t id) { return *m_nodes.at(id); }
  TargetRegistry& Registry(std::uint32_t id) { return *At(id).registry; }
  TimePoint now() const { return m_now; }  // NOLINT

  // Restarts the balancer without state.
  void Restart(std::uint32_t id) {
    m_nodes[id] = std::make_unique<NetNode>(
        id, ++m_incarnation, m_configuration, m_count, m_settings);
  }
  void Kill(std::uint32_t id) { m_nodes.erase(id); }
  bool IsUp(std::uint32_t id) const { return m_nodes.count(id) > 0; }
  // Drops all messages from `from` to `to`.
  void CutLink(std::uint32_t from, std::uint32_t to) {
    m_cut.insert({from, to});
  }
  void Isolate(std::uint32_t id) {
    for (std::uint32_t other = 1; other <= m_count; ++other) {
      CutLink(id, other);
      CutLink(other, id);
    }
  }
  void Heal() { m_cut.clear(); }
  void SetLoss(double loss) { m_loss = loss; }

  // Announces a fake target to balancer `home`. It renews its lease there or,
  // if that balancer is down, with the next one that is up.
  TargetId Add(std::uint32_t home, const Announcement& announcement) {
    const auto reply = Registry(home).Announce(announcement, m_now);
    if (!reply) return TargetId{};
    m_targets[reply->id] = FakeTarget{home, announcement, m_now, true};
    return reply->id;
  }
  // Stops the renewals and health check replies of the fake target.
  void StopTarget(TargetId id) { m_targets.erase(id); }
  void SetReachable(TargetId id, bool reachable) {
    m_targets.at(id).reachable = reachable;
  }

  // Result of a health check of `id` by balancer `node`; by default whether the
  // target is reachable.
  std::function<bool(std::uint32_t node, TargetId id)> on_check;
  // Called every 100 ms.
  std::function<void()> on_step;
  LoadReport load;

  void Run(Duration duration) {
    const TimePoint until = m_now + duration;
    while (m_now < until) {
      m_now += std::chrono::milliseconds(100);
      Step();
    }
  }

  // Whether all running balancers have the same target table.
  bool HasConverged() {
    std::set<std::uint64_t> hashes;
    for (auto& [id, node] : m_nodes) {
      hashes.insert(node->registry->TableHash(m_now));
    }
    return hashes.size() == 1;
  }
  // The number of balancers that publish the target in this state.
  std::size_t CountState(TargetId id, TargetState state) {
    std::size_t count = 0;
    for (auto& [node_id, node] : m_nodes) {
      const auto snapshot = node->board.targets.Read();
      const Target* target = snapshot->Find(id);
      if (target != nullptr && target->state == state) ++count;
    }
    return count;
  }
  std::map<std::uint32_t, std::unique_ptr<NetNode>>& nodes() {  // NOLINT
    return m_nodes;
  }

 private:
  struct FakeTarget {
    std::uint32_t home = 1;
    Announcement announcement;
    TimePoint renewed_at;
    bool reachable = true;
  };

  void Step() {
    for (auto& [id, target] : m_targets) RenewIfDue(id, &target);
    for (auto& [id, node] : m_nodes) {
      Check(id, node.get());
      for (const TargetFlowOutcomes& seen : node->policy.TakeFlowOutcomes()) {
        node->health.OnFlowEvidence(seen.target, seen.evidence, m_now);
      }
      Deliver(id, node->registry->OnTick(m_now));
    }
    if (on_step) on_step();
  }

  void RenewIfDue(TargetId id, FakeTarget* target) {
    if (m_now - target->renewed_at < m_settings.lease / 6) return;
    if (!IsUp(target->home)) {
      target->home = target->home % m_count + 1;
      return;
    }
    target->renewed_at = m_now;
    const Renewal renewal{id, target->announcement.token, load};
    const auto renewed = Registry(target->home).Renew(renewal, m_now);
    if (renewed || renewed.error().code != ErrorCode::kUnknownName) return;
    Registry(target->home).Announce(target->announcement, m_now).has_value();
  }

  void Check(std::uint32_t id, NetNode* node) {
    constexpr Duration kTimeout = std::chrono::milliseconds(300);
    for (const Probe& probe : node->health.ProbesDue(m_now)) {
      const bool ok = on_check ? on_check(id, probe.target)
                               : m_targets.count(probe.target) > 0 &&
                                     m_targets.at(probe.target).reachable;
      const Duration delay = ok ? Duration(0) : kTimeout;
      m_checks.push_back(PendingCheck{id, probe.target, ok, m_now + delay});
    }
    for (auto it = m_checks.begin(); it != m_checks.end();) {
      if (it->node != id || it->due > m_now) {
        ++it;
        continue;
      }
      node->health.OnProbeResult(it->target, it->ok, m_now);
      it = m_checks.erase(it);
    }
  }

  void Deliver(std::uint32_t from, const Outbox& out) {
    std::vector<std::pair<std::uint32_t, OutgoingMessage>> queue;
    for (const OutgoingMessage& message : out) {
      queue.emplace_back(from, message);
    }
    for (std::size_t i = 0; i < queue.size(); ++i) {
      const auto [sender, message] = queue[i];
      const std::uint32_t to = message.to.value;
      const bool lost =
          std::uniform_real_distribution<double>()(m_random) < m_loss;
      if (lost || m_cut.count({sender, to}) > 0 || !IsUp(to)) continue;
      Outbox answers =
          Registry(to).OnMessage(NodeId{sender}, message.body, m_now);
      for (OutgoingMessage& answer : answers) {
        queue.emplace_back(to, std::move(answer));
      }
    }
  }

  struct PendingCheck {
    std::uint32_t node = 0;
    TargetId target;
    bool ok = true;
    TimePoint due;
  };

  std::uint32_t m_count;
  Configuration m_configuration;
  TargetRegistrySettings m_settings;
  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::hours(1)};
  std::uint64_t m_incarnation = 0;
  double m_loss = 0;
  std::set<std::pair<std::uint32_t, std::uint32_t>> m_cut;
  std::map<std::uint32_t, std::unique_ptr<NetNode>> m_nodes;
  std::map<TargetId, FakeTarget> m_targets;
  std::vector<PendingCheck> m_checks;
};

// Opens new flows for one service on all balancers of a TargetNet. A caller
// retransmits an unanswered first packet after one second.
class FlowDriver {
 public:
  FlowDriver(TargetNet* net, Service service, std::uint64_t seed)
      : m_net(net), m_service(std::move(service)), m_random(seed) {}

  // Whether the target answers new flows; by default it does.
  std::function<bool(TargetId)> answers = [](TargetId) { return true; };
  // Whether callers retransmit an unanswered first packet.
  bool repeats = true;

  // Opens `per_balancer` new flows on each balancer.
  void Open(int per_balancer) {
    for (auto& [id, node] : m_net->nodes()) {
      for (int i = 0; i < per_balancer; ++i) OpenOne(id, node.get());
    }
    RetransmitUnanswered();
  }

  const std::map<TargetId, std::uint64_t>& opened() const {  // NOLINT
    return m_opened;
  }
  std::uint64_t OpenedOn(TargetId id) const {
    const auto found = m_opened.find(id);
    return found == m_opened.end() ? 0 : found->second;
  }
  std::uint64_t refused() const { return m_refused; }  // NOLINT

 private:
  struct UnansweredFlow {
    std::uint32_t node = 0;
    TargetId target;
    TimePoint due;
  };

  void ReportEvent(NetNode* node, FlowEventKind kind, TargetId target) {
    FlowEvent event;
    event.kind = kind;
    event.service = m_service.id;
    event.target = target;
    event.at = m_net->now();
    node->policy.Observe(event);
  }

  void OpenOne(std::uint32_t id, NetNode* node) {
    FlowKey key;
    key.caller.address =
        IpAddress::FromV4(static_cast<std::uint32_t>(m_random()));
    const auto picked = node->policy.Pick(key, m_service, m_net->now());
    if (!picked) {
      ++m_refused;
      return;
    }
    ++m_opened[*picked];
    ReportEvent(node, FlowEventKind::kOpened, *picked);
    if (answers(*picked)) {
      ReportEvent(node, FlowEventKind::kEstablished, *picked);
      return;
    }
    if (!repeats) return;
    m_unanswered.push_back(
        UnansweredFlow{id, *picked, m_net->now() + std::chrono::seconds(1)});
  }

  void RetransmitUnanswered() {
    std::vector<UnansweredFlow> not_due;
    for (const UnansweredFlow& flow : m_unanswered) {
      if (flow.due > m_net->now()) {
        not_due.push_back(flow);
        continue;
      }
      if (!m_net->IsUp(flow.node)) continue;
      ReportEvent(&m_net->At(flow.node), FlowEventKind::kUnanswered,
                  flow.target);
    }
    m_unanswered = std::move(not_due);
  }

  TargetNet* m_net;
  Service m_service;
  std::mt19937_64 m_random;
  std::map<TargetId, std::uint64_t> m_opened;
  std::uint64_t m_refused = 0;
  std::vector<UnansweredFlow> m_unanswered;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_BENCH_BALANCE_NET_H_
