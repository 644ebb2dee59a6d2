// Measures the cost of picking a target and of the per-packet rate limit check
// on the packet path.

#include <chrono>
#include <functional>
#include <string>

#include "balance_net.h"
#include "bench.h"

namespace sardinelead::bench {
namespace {

constexpr int kRounds = 200'000;
constexpr double kPickBound = 1000;  // ns

double NanosecondsPerCall(const std::function<void(std::uint32_t)>& work) {
  const auto start = std::chrono::steady_clock::now();
  for (std::uint32_t i = 0; i < kRounds; ++i) work(i);
  const std::chrono::duration<double, std::nano> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / kRounds;
}

// One balancer with `target_count` targets, all of which have reported load.
struct BalancerFixture {
  BalancerFixture(std::uint32_t target_count, std::uint64_t packet_limit) {
    service.limits.packets_per_second = packet_limit;
    board.configuration.Publish(
        std::make_shared<Configuration>(MakeConfiguration({service})));
    board.view.Publish(std::make_shared<View>(MakeView(1, 9)));
    std::vector<Target> targets(target_count);
    for (std::uint32_t i = 0; i < target_count; ++i) {
      targets[i].id = TargetId{i + 1};
      targets[i].service = service.id;
    }
    board.targets.Publish(std::make_shared<TargetSnapshot>(targets));
    Pick(0);
    for (std::uint32_t i = 0; i < target_count; ++i) {
      policy.OnLoad(service.id, TargetId{i + 1}, LoadReport{1, 100, false},
                    now);
    }
  }

  void Pick(std::uint32_t number) {
    FlowKey key;
    key.caller.address = IpAddress::FromV4(number);
    now += std::chrono::microseconds(10);
    FlowEvent event;
    event.service = service.id;
    event.target = *policy.Pick(key, service, now);
    policy.Observe(event);
  }
  void Check(std::uint32_t number) {
    now += std::chrono::microseconds(10);
    admission.AllowPacket(service, IpAddress::FromV4(number), now);
  }

  Service service = MakeService(1, "linaw", "orders");
  TimePoint now{std::chrono::hours(1)};
  Blackboard board;
  Metrics metrics;
  Admission admission{AdmissionSettings{}, &board, &metrics};
  TargetPolicy policy{TargetPolicySettings{}, &board, &admission, &metrics};
};

void Run(const std::vector<std::uint64_t>&, FigureSink* sink) {
  for (const std::uint32_t targets : {4, 14, 32, 1000}) {
    BalancerFixture balancer(targets, 0);
    const double cost =
        NanosecondsPerCall([&balancer](std::uint32_t i) { balancer.Pick(i); });
    sink->Print("cost.pick_and_observe.targets_" + std::to_string(targets),
                cost, "ns", "<=", kPickBound);
  }
  for (const std::uint64_t limit : {0, 1'000'000}) {
    BalancerFixture balancer(4, limit);
    const std::string variant = limit == 0 ? "without_limit" : "with_limit";
    const double cost =
        NanosecondsPerCall([&balancer](std::uint32_t i) { balancer.Check(i); });
    sink->Print("cost.packet." + variant, cost, "ns");
  }
}

const Registration kRegistration("balance", Run);

}  // namespace
}  // namespace sardinelead::bench
