// The pickers compared by the load-balancing benchmarks.

#include <algorithm>
#include <memory>

#include "balance_world.h"
#include "sardinelead/target_policy.h"

namespace sardinelead::bench {
namespace {

// State of the baseline pickers.
struct BaselineState {
  std::vector<std::size_t> hosts;
  std::vector<std::size_t> next;                       // Per balancer.
  std::vector<std::vector<std::int64_t>> connections;  // Per balancer and host.

  std::int64_t Reported(std::size_t balancer, std::size_t host) const {
    const auto& known = connections[balancer];
    return host < known.size() ? known[host] : 0;
  }
};

PickerHooks MakeBaseline(
    const SimulationSettings& settings,
    const std::function<std::size_t(BaselineState*, std::size_t balancer,
                                    std::uint64_t hash)>& pick) {
  auto state = std::make_shared<BaselineState>();
  state->next.resize(settings.balancers);
  state->connections.resize(settings.balancers);
  PickerHooks hooks;
  hooks.pick = [state, pick](std::size_t balancer, std::uint64_t hash,
                             TimePoint) {
    return pick(state.get(), balancer, hash);
  };
  hooks.opened = [](std::size_t, std::size_t) {};
  hooks.closed = [](std::size_t, std::size_t) {};
  hooks.reported = [state](std::size_t balancer, std::size_t host,
                           const LoadReport& report, TimePoint) {
    auto& known = state->connections[balancer];
    known.resize(std::max(known.size(), host + 1));
    known[host] = report.connections;
  };
  hooks.hosts_changed = [state](const std::vector<std::size_t>& hosts,
                                const std::vector<Duration>&,
                                TimePoint) { state->hosts = hosts; };
  hooks.restarted = [state](std::size_t balancer) {
    state->connections[balancer].clear();
  };
  return hooks;
}

TargetId IdOf(std::size_t host) { return TargetId{host + 1}; }
std::size_t HostOf(TargetId id) { return id.value - 1; }

// One balancer with the production policy.
struct Balancer {
  explicit Balancer(const TargetPolicySettings& settings)
      : admission(AdmissionSettings{}, &board, &metrics),
        policy(settings, &board, &admission, &metrics) {}

  Blackboard board;
  Metrics metrics;
  Admission admission;
  TargetPolicy policy;
};

View ViewOf(std::size_t balancers) {
  std::vector<Member> members(balancers);
  for (std::size_t i = 0; i < balancers; ++i) {
    members[i].id = NodeId{static_cast<std::uint32_t>(i + 1)};
    members[i].state = MemberState::kReady;
  }
  return View(NodeId{1}, members, true);
}

Service MakeTestService() {
  Service service;
  service.id = ServiceId{1};
  service.name = "orders";
  service.workspace = "linaw";
  return service;
}

}  // namespace

PickerHooks RoundRobin(const SimulationSettings& settings) {
  return MakeBaseline(
      settings, [](BaselineState* state, std::size_t balancer, std::uint64_t) {
        return state->hosts[state->next[balancer]++ % state->hosts.size()];
      });
}

PickerHooks ConsistentHashing(const SimulationSettings& settings) {
  return MakeBaseline(
      settings, [](BaselineState* state, std::size_t, std::uint64_t hash) {
        return *std::max_element(state->hosts.begin(), state->hosts.end(),
                                 [hash](std::size_t a, std::size_t b) {
                                   return HashCombine(hash, a) <
                                          HashCombine(hash, b);
                                 });
      });
}

PickerHooks LeastReported(const SimulationSettings& settings) {
  return MakeBaseline(settings, [](BaselineState* state, std::size_t balancer,
                                   std::uint64_t) {
    return *std::min_element(state->hosts.begin(), state->hosts.end(),
                             [state, balancer](std::size_t a, std::size_t b) {
                               return state->Reported(balancer, a) <
                                      state->Reported(balancer, b);
                             });
  });
}

PickerHooks TwoChoices(const SimulationSettings& settings) {
  return MakeBaseline(settings, [](BaselineState* state, std::size_t balancer,
                                   std::uint64_t hash) {
    const std::size_t count = state->hosts.size();
    const std::size_t a = state->hosts[hash % count];
    const std::size_t b = state->hosts[hash / count % count];
    return state->Reported(balancer, a) <= state->Reported(balancer, b) ? a : b;
  });
}

PickerHooks ProductionPolicy(const SimulationSettings& settings,
                             bool use_reports) {
  TargetPolicySettings policy_settings;
  policy_settings.load.use_reports = use_reports;
  auto balancers = std::make_shared<std::vector<std::unique_ptr<Balancer>>>();
  const auto make_balancer = [policy_settings, settings] {
    auto balancer = std::make_unique<Balancer>(policy_settings);
    balancer->board.view.Publish(
        std::make_shared<View>(ViewOf(settings.balancers)));
    return balancer;
  };
  for (std::size_t i = 0; i < settings.balancers; ++i) {
    balancers->push_back(make_balancer());
  }
  const auto service = std::make_shared<Service>(MakeTestService());
  PickerHooks hooks;
  hooks.restarted = [balancers, make_balancer](std::size_t balancer) {
    const auto targets = (*balancers)[balancer]->board.targets.Read();
    (*balancers)[balancer] = make_balancer();
    (*balancers)[balancer]->board.targets.Publish(targets);
  };
  hooks.pick = [balancers, service](std::size_t balancer, std::uint64_t hash,
                                    TimePoint now) {
    FlowKey key;
    key.caller.address =
        IpAddress::FromV4(static_cast<std::uint32_t>(hash >> 16));
    key.caller.port = static_cast<std::uint16_t>(hash);
    return HostOf(*(*balancers)[balancer]->policy.Pick(key, *service, now));
  };
  const auto observe = [balancers, service](FlowEventKind kind,
                                            std::size_t balancer,
                                            std::size_t host) {
    FlowEvent event;
    event.kind = kind;
    event.service = service->id;
    event.target = IdOf(host);
    (*balancers)[balancer]->policy.Observe(event);
  };
  hooks.opened = [observe](std::size_t balancer, std::size_t host) {
    observe(FlowEventKind::kOpened, balancer, host);
    observe(FlowEventKind::kEstablished, balancer, host);
  };
  hooks.closed = [observe](std::size_t balancer, std::size_t host) {
    observe(FlowEventKind::kClosed, balancer, host);
  };
  hooks.reported = [balancers, service](std::size_t balancer, std::size_t host,
                                        const LoadReport& report,
                                        TimePoint taken_at) {
    (*balancers)[balancer]->policy.OnLoad(service->id, IdOf(host), report,
                                          taken_at);
  };
  const std::int64_t slots = settings.slots;
  hooks.hosts_changed = [balancers, service, slots](
                            const std::vector<std::size_t>& hosts,
                            const std::vector<Duration>& ages, TimePoint) {
    std::vector<Target> targets;
    for (std::size_t i = 0; i < hosts.size(); ++i) {
      Target target;
      target.id = IdOf(hosts[i]);
      target.service = service->id;
      target.slots = static_cast<std::uint32_t>(slots);
      target.weight = RampWeight(ages[i], LoadSettings{});
      targets.push_back(target);
    }
    const auto snapshot = std::make_shared<TargetSnapshot>(targets);
    for (const auto& balancer : *balancers) {
      balancer->board.targets.Publish(snapshot);
    }
  };
  return hooks;
}

}  // namespace sardinelead::bench
