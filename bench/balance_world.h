#ifndef SARDINELEAD_BENCH_BALANCE_WORLD_H_
#define SARDINELEAD_BENCH_BALANCE_WORLD_H_

// Discrete-event simulation of one service and its targets in virtual time, the
// workload of the load-balancing benchmarks and tests. Several balancers pick
// targets independently; each flow arrives at one of them. Load reports reach
// each balancer with an independent random delay.
//
// The arrivals and lifetimes of flows depend on the seed only, not on what the
// picker does, so that pickers can be compared. Requests are drawn from the
// flows open at the time and therefore differ between pickers.

#include <cmath>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "sardinelead/load.h"
#include "sardinelead/types.h"

namespace sardinelead::bench {

struct SimulationSettings {
  std::size_t balancers = 9;
  std::size_t hosts = 14;
  std::int64_t slots = 3;
  double flows_per_host = 2000;
  double flow_life_s = 60;
  double utilization = 0.6;  // Of the slots.
  double request_s = 0.2;
  double report_every_s = 2;
  double max_report_lag_s = 5;
  std::uint64_t seed = 1;
};

// Interface of a picker. Host indices start at 0 and are never reused.
struct PickerHooks {
  std::function<std::size_t(std::size_t balancer, std::uint64_t hash,
                            TimePoint now)>
      pick;
  std::function<void(std::size_t balancer, std::size_t host)> opened;
  std::function<void(std::size_t balancer, std::size_t host)> closed;
  std::function<void(std::size_t balancer, std::size_t host,
                     const LoadReport& report, TimePoint taken_at)>
      reported;
  // The hosts that accept new flows and the time since each joined.
  std::function<void(const std::vector<std::size_t>& hosts,
                     const std::vector<Duration>& ages, TimePoint now)>
      hosts_changed;
  // The balancer restarted and lost its state.
  std::function<void(std::size_t balancer)> restarted;
};

enum class FalseReport : std::uint8_t {
  kNone,
  kIdle,
  kNegative,
  kFrozen,
  kFull
};

struct FakeHost {
  std::int64_t slots = 3;
  bool takes_new_flows = true;
  double speed = 1;
  FalseReport lie = FalseReport::kNone;
  double joined_s = -1e6;
  std::int64_t open = 0;
  std::int64_t busy = 0;
  std::int64_t queued = 0;
  double busy_seconds = 0;  // Demand (busy and queued) integrated over time.
  double changed_s = 0;
  std::int64_t opened = 0;
};

class BalanceSimulation {
 public:
  BalanceSimulation(const SimulationSettings& settings, PickerHooks hooks);

  // Opens the steady-state number of flows.
  void Fill();
  // Advances the virtual time by `seconds`; `sample` is called every second.
  void Run(double seconds, const std::function<void()>& sample);

  std::size_t Join();
  // Stops new flows to the host; open flows continue.
  void Drain(std::size_t host);
  // Closes all flows of the host; their callers reconnect within a second.
  void Crash(std::size_t host);
  // Halves the speed of the host: flows and requests take twice as long.
  void HalveSpeed(std::size_t host);
  void RestartBalancer(std::size_t balancer) { m_hooks.restarted(balancer); }
  void SetFalseReport(std::size_t host, FalseReport lie) {
    m_hosts[host].lie = lie;
  }

  // Ratio of maximum to mean open connections over hosts that accept new flows.
  double ConnectionImbalance() const;
  // The same ratio for slots busy now.
  double SlotImbalance() const;
  // The same ratio for slot demand (busy and queued) since the last call.
  double DemandImbalance();
  double now_s() const { return m_now_s; }                        // NOLINT
  const std::vector<FakeHost>& hosts() const { return m_hosts; }  // NOLINT

 private:
  enum class Kind : std::uint8_t {
    kArrive,
    kReconnect,
    kEnd,
    kRequest,
    kDone,
    kTakeReport,
    kReportArrives,
    kSample
  };
  struct Event {
    double at_s = 0;
    std::uint64_t order = 0;
    Kind kind = Kind::kArrive;
    std::size_t index = 0;

    bool operator<(const Event& other) const {
      return at_s != other.at_s ? at_s > other.at_s : order > other.order;
    }
  };
  struct Flow {
    std::size_t host = 0;
    std::size_t balancer = 0;
    double weight = 1;
    bool is_open = false;
  };
  struct ReportInFlight {
    std::size_t balancer = 0;
    std::size_t host = 0;
    LoadReport report;
    double taken_s = 0;
  };

  static TimePoint At(double seconds);
  void Push(double at_s, Kind kind, std::size_t index);
  void Handle(const Event& event, const std::function<void()>& sample);
  void Open(double life_s);
  void End(std::size_t flow);
  void Request();
  void Done(std::size_t host);
  void IntegrateDemand(std::size_t host);
  void TakeReport(std::size_t host);
  void PublishHosts();
  double DrawExponential(std::mt19937_64* random, double mean);
  double DrawRequestSeconds();
  template <typename Value>
  double Imbalance(Value value) const;

  SimulationSettings m_settings;
  PickerHooks m_hooks;
  std::mt19937_64 m_arrival_random;
  std::mt19937_64 m_request_random;
  std::mt19937_64 m_lag_random;
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  double m_now_s = 0;
  std::vector<FakeHost> m_hosts;
  std::vector<Flow> m_flows;
  std::vector<ReportInFlight> m_reports;
  std::vector<double> m_last_busy_seconds;
};

// Baseline pickers.
PickerHooks RoundRobin(const SimulationSettings& settings);
PickerHooks ConsistentHashing(const SimulationSettings& settings);
PickerHooks LeastReported(const SimulationSettings& settings);
PickerHooks TwoChoices(const SimulationSettings& settings);
// The production policy: one TargetPolicy per balancer.
PickerHooks ProductionPolicy(const SimulationSettings& settings,
                             bool use_reports);

}  // namespace sardinelead::bench

#endif  // SARDINELEAD_BENCH_BALANCE_WORLD_H_
