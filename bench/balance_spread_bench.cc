// Measures how fast target state changes spread, how many new flows draining
// and dead targets still receive, and the traffic between balancers.

#include <algorithm>
#include <string>

#include "balance_net.h"
#include "bench.h"

namespace sardinelead::bench {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kBalancers = 9;
constexpr std::uint32_t kTargets = 14;
constexpr int kFlowsPerStep = 20;  // On each balancer, every 100 ms.
constexpr double kBytesBound = 2048;

// Fourteen targets of one service that receive new flows.
struct Fixture {
  explicit Fixture(std::uint64_t seed)
      : net(kBalancers, MakeConfiguration({service}), seed),
        flows(&net, service, seed) {
    for (std::uint32_t i = 1; i <= kTargets; ++i) {
      targets.push_back(net.Add(i % kBalancers + 1, MakeAnnouncement(i)));
    }
    net.on_step = [this] { flows.Open(kFlowsPerStep); };
    net.Run(seconds(12));
  }
  std::uint64_t OpenedDuring(TargetId target, Duration duration) {
    const std::uint64_t before = flows.OpenedOn(target);
    net.Run(duration);
    return flows.OpenedOn(target) - before;
  }

  Service service = MakeService(1, "linaw", "orders");
  TargetNet net;
  FlowDriver flows;
  std::vector<TargetId> targets;
};

// Drains a target with 10% message loss and one link cut.
void MeasureLeaving(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  std::uint64_t late = 0;
  double slowest = 0;
  for (const std::uint64_t seed : seeds) {
    Fixture fixture(seed);
    fixture.net.SetLoss(0.1);
    fixture.net.CutLink(3, 8);
    const TargetId leaving = fixture.targets[seed % kTargets];
    (void)fixture.net.Registry(3).Drain(leaving, fixture.net.now());
    for (int step = 1; step <= 30; ++step) {
      if (fixture.OpenedDuring(leaving, milliseconds(100)) == 0) continue;
      slowest = std::max(slowest, step * 0.1);
    }
    late += fixture.OpenedDuring(leaving, seconds(60));
  }
  sink->Print("leaving.new_flows_after_3s", static_cast<double>(late), "flows",
              "==", 0);
  sink->Print("leaving.last_new_flow", slowest, "s", "<=", 3);
}

// Drains a target while one balancer is partitioned from all others.
void MeasureCutOff(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  const TargetRegistrySettings settings;
  double slowest = 0;
  for (const std::uint64_t seed : seeds) {
    Fixture fixture(seed);
    fixture.net.Isolate(9);
    const TargetId leaving = fixture.targets[0];
    (void)fixture.net.Registry(3).Drain(leaving, fixture.net.now());
    for (int step = 1; step <= 300; ++step) {
      if (fixture.OpenedDuring(leaving, milliseconds(100)) == 0) continue;
      slowest = std::max(slowest, step * 0.1);
    }
  }
  const double lease_seconds =
      std::chrono::duration<double>(settings.lease).count();
  sink->Print("leaving.last_new_flow_on_a_cut_off_balancer", slowest, "s",
              "<=", lease_seconds);
}

void MeasureDead(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  double with_checks = 0;
  double flows_only = 0;
  for (const std::uint64_t seed : seeds) {
    for (const bool checks_work : {true, false}) {
      Fixture fixture(seed);
      const TargetId dead = fixture.targets[seed % kTargets];
      const double flows_per_second =
          static_cast<double>(fixture.OpenedDuring(dead, seconds(10))) / 10;
      fixture.net.Run(milliseconds(100 * (seed % 10)));
      // Unless checks_work, the host passes its checks but answers no new flow.
      fixture.net.SetReachable(dead, !checks_work);
      fixture.flows.answers = [dead](TargetId id) { return id != dead; };
      const auto misdirected =
          static_cast<double>(fixture.OpenedDuring(dead, seconds(30)));
      double* worst = checks_work ? &with_checks : &flows_only;
      *worst = std::max(*worst, misdirected / flows_per_second);
    }
  }
  sink->Print("dead.work_given", with_checks, "s", "<=", 2);
  sink->Print("dead.work_given_while_its_checks_lie", flows_only, "s", "<=", 2);
}

void MeasureFailingChecks(const std::vector<std::uint64_t>& seeds,
                          FigureSink* sink) {
  double served = 1;
  for (const std::uint64_t seed : seeds) {
    Fixture fixture(seed);
    fixture.net.on_check = [](std::uint32_t, TargetId) { return false; };
    const std::uint64_t refused = fixture.flows.refused();
    constexpr int kSeconds = 30;
    fixture.net.Run(seconds(kSeconds));
    const double offered = kSeconds * 10.0 * kFlowsPerStep * kBalancers;
    const auto missed = static_cast<double>(fixture.flows.refused() - refused);
    served = std::min(served, 1 - missed / offered);
    for (const TargetId target : fixture.targets) {
      if (fixture.net.CountState(target, TargetState::kDead) > 0) served = 0;
    }
  }
  sink->Print("all_checks_lie.served", served, "part", ">=", 1);
}

struct Traffic {
  double bytes = 0;    // Per second and balancer, message bodies only.
  double records = 0;  // Part of `bytes`, as are the next three.
  double digests = 0;
  double loads = 0;
  double opinions = 0;
  double messages = 0;
};

// Traffic between balancers while `targets` report changing loads.
Traffic MeasureTraffic(std::uint32_t balancers, std::uint32_t targets,
                       std::uint64_t bytes_per_second, bool churn) {
  constexpr int kSeconds = 30;
  TargetRegistrySettings settings;
  settings.bytes_per_second = bytes_per_second;
  TargetNet net(balancers,
                MakeConfiguration({MakeService(1, "linaw", "orders")}), 1,
                settings);
  std::vector<TargetId> ids;
  for (std::uint32_t i = 1; i <= targets; ++i) {
    ids.push_back(net.Add(i % balancers + 1, MakeAnnouncement(i)));
  }
  std::uint64_t step = 0;
  net.on_step = [&] {
    ++step;
    net.load = LoadReport{static_cast<std::int64_t>(step % 4),
                          static_cast<std::int64_t>(2000 + step % 7), false};
    // One target restarts every five seconds.
    if (!churn || step % 50 != 0) return;
    const auto number = static_cast<std::uint32_t>(step / 50 % targets + 1);
    net.StopTarget(ids[number - 1]);
    ids[number - 1] = net.Add(number % balancers + 1,
                              MakeAnnouncement(number, "linaw/orders", step));
  };
  net.Run(seconds(30));
  const auto total = [&] {
    RegistryTraffic sum;
    for (auto& [id, node] : net.nodes()) {
      const RegistryTraffic& traffic = node->registry->traffic();
      sum.record_bytes += traffic.record_bytes;
      sum.digest_bytes += traffic.digest_bytes;
      sum.load_bytes += traffic.load_bytes;
      sum.opinion_bytes += traffic.opinion_bytes;
      sum.messages += traffic.messages;
    }
    return sum;
  };
  const RegistryTraffic before = total();
  net.Run(seconds(kSeconds));
  const RegistryTraffic after = total();
  const double scale = 1.0 / (kSeconds * static_cast<double>(balancers));
  Traffic traffic;
  traffic.records =
      static_cast<double>(after.record_bytes - before.record_bytes) * scale;
  traffic.digests =
      static_cast<double>(after.digest_bytes - before.digest_bytes) * scale;
  traffic.loads =
      static_cast<double>(after.load_bytes - before.load_bytes) * scale;
  traffic.opinions =
      static_cast<double>(after.opinion_bytes - before.opinion_bytes) * scale;
  traffic.messages =
      static_cast<double>(after.messages - before.messages) * scale;
  traffic.bytes =
      traffic.records + traffic.digests + traffic.loads + traffic.opinions;
  return traffic;
}

void MeasureBytes(FigureSink* sink) {
  // IPv4 and UDP headers and an authentication tag on each message.
  constexpr double kMessageOverhead = 28 + 32;
  for (const bool churn : {false, true}) {
    const Traffic current = MeasureTraffic(kBalancers, 18, 2048, churn);
    const std::string at = churn ? "bytes.today_churning" : "bytes.today";
    sink->Print(at + ".bodies", current.bytes, "B/s", "<=", kBytesBound);
    sink->Print(at + ".with_headers",
                current.bytes + current.messages * kMessageOverhead, "B/s",
                "<=", kBytesBound);
    sink->Print(at + ".records", current.records, "B/s");
    sink->Print(at + ".digests", current.digests, "B/s");
    sink->Print(at + ".loads", current.loads, "B/s");
    sink->Print(at + ".opinions", current.opinions, "B/s");
    sink->Print(at + ".messages", current.messages, "1/s");
  }
  // The cost per target without a byte budget, then the traffic under the
  // budget in one of 33 data centres.
  constexpr std::uint64_t kNoBudget = 100'000'000;
  double previous = 0;
  std::uint32_t previous_targets = 0;
  for (const std::uint32_t targets : {18, 72, 288, 1152}) {
    const Traffic traffic =
        MeasureTraffic(kBalancers, targets, kNoBudget, false);
    const std::string at = "bytes.targets_" + std::to_string(targets);
    sink->Print(at + ".unbounded", traffic.bytes, "B/s");
    if (previous_targets > 0) {
      const double slope =
          (traffic.bytes - previous) / (targets - previous_targets);
      sink->Print(at + ".slope", slope, "B/s/target");
    }
    previous = traffic.bytes;
    previous_targets = targets;
  }
  constexpr std::uint32_t kTargetsPerDataCentre = 85000 / 33;
  const Traffic bounded =
      MeasureTraffic(kBalancers, kTargetsPerDataCentre, 2048, false);
  sink->Print("bytes.targets_2575.bounded", bounded.bytes, "B/s",
              "<=", kBytesBound);
  for (const std::uint32_t balancers : {18, 36, 72}) {
    const Traffic traffic =
        MeasureTraffic(balancers, 2 * balancers, 2048, false);
    sink->Print("bytes.balancers_" + std::to_string(balancers), traffic.bytes,
                "B/s", "<=", kBytesBound);
  }
}

void Run(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  MeasureLeaving(seeds, sink);
  MeasureCutOff(seeds, sink);
  MeasureDead(seeds, sink);
  MeasureFailingChecks(seeds, sink);
  MeasureBytes(sink);
}

const Registration kRegistration("balance", Run);

}  // namespace
}  // namespace sardinelead::bench
