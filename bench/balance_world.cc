#include "balance_world.h"

#include <algorithm>

namespace sardinelead::bench {
namespace {

constexpr double kMaxFlowWeight = 10;
constexpr double kShedQueuePerSlot = 4;  // Queued requests per slot.

}  // namespace

TimePoint BalanceSimulation::At(double seconds) {
  // Starts one hour after the epoch: a default TimePoint means "never".
  return TimePoint(std::chrono::hours(1)) +
         Duration(static_cast<std::int64_t>(seconds * 1e9));
}

BalanceSimulation::BalanceSimulation(const SimulationSettings& settings,
                                     PickerHooks hooks)
    : m_settings(settings),
      m_hooks(std::move(hooks)),
      m_arrival_random(settings.seed),
      m_request_random(settings.seed + 1000),
      m_lag_random(settings.seed + 2000),
      m_hosts(settings.hosts) {
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    m_hosts[i].slots = settings.slots;
    const double phase =
        static_cast<double>(i) / static_cast<double>(m_hosts.size());
    Push(phase * settings.report_every_s, Kind::kTakeReport, i);
  }
  Push(0, Kind::kArrive, 0);
  Push(0, Kind::kRequest, 0);
  Push(1, Kind::kSample, 0);
  PublishHosts();
}

void BalanceSimulation::Push(double at_s, Kind kind, std::size_t index) {
  m_events.push(Event{at_s, m_order++, kind, index});
}

double BalanceSimulation::DrawExponential(std::mt19937_64* random,
                                          double mean) {
  return std::exponential_distribution<double>(1 / mean)(*random);
}

// Log-normal with mean request_s.
double BalanceSimulation::DrawRequestSeconds() {
  constexpr double kSigma = 1;
  const double mu = std::log(m_settings.request_s) - kSigma * kSigma / 2;
  return std::lognormal_distribution<double>(mu, kSigma)(m_request_random);
}

void BalanceSimulation::PublishHosts() {
  std::vector<std::size_t> hosts;
  std::vector<Duration> ages;
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    if (!m_hosts[i].takes_new_flows) continue;
    hosts.push_back(i);
    ages.push_back(At(m_now_s) - At(m_hosts[i].joined_s));
  }
  m_hooks.hosts_changed(hosts, ages, At(m_now_s));
}

void BalanceSimulation::Open(double life_s) {
  const std::uint64_t hash = m_arrival_random();
  const double rate =
      std::exp(std::normal_distribution<double>()(m_arrival_random));
  const std::size_t balancer = hash % m_settings.balancers;
  const std::size_t host =
      m_hooks.pick(balancer, hash / m_settings.balancers, At(m_now_s));
  Flow flow;
  flow.host = host;
  flow.balancer = balancer;
  flow.weight = std::min(rate, kMaxFlowWeight);
  flow.is_open = true;
  ++m_hosts[host].open;
  ++m_hosts[host].opened;
  m_hooks.opened(balancer, host);
  m_flows.push_back(flow);
  Push(m_now_s + life_s / m_hosts[host].speed, Kind::kEnd, m_flows.size() - 1);
}

void BalanceSimulation::Fill() {
  const double flows =
      m_settings.flows_per_host * static_cast<double>(m_settings.hosts);
  for (int i = 0; i < static_cast<int>(flows); ++i) {
    Open(DrawExponential(&m_arrival_random, m_settings.flow_life_s));
  }
}

void BalanceSimulation::End(std::size_t index) {
  Flow& flow = m_flows[index];
  if (!flow.is_open) return;
  flow.is_open = false;
  --m_hosts[flow.host].open;
  m_hooks.closed(flow.balancer, flow.host);
}

void BalanceSimulation::IntegrateDemand(std::size_t index) {
  FakeHost& host = m_hosts[index];
  const auto demand = static_cast<double>(host.busy + host.queued);
  host.busy_seconds += demand * (m_now_s - host.changed_s);
  host.changed_s = m_now_s;
}

void BalanceSimulation::Request() {
  const double slots = static_cast<double>(m_settings.hosts) *
                       static_cast<double>(m_settings.slots);
  // A draw is rejected if its flow has ended or by weight. The rate is raised
  // by the inverse of the acceptance probability to keep the utilization.
  const double mean_weight = 1.6;
  const double rate = slots * m_settings.utilization / m_settings.request_s *
                      kMaxFlowWeight / mean_weight;
  Push(m_now_s + DrawExponential(&m_request_random, 1 / rate), Kind::kRequest,
       0);
  const auto wanted = static_cast<std::size_t>(
      m_settings.flows_per_host * static_cast<double>(m_settings.hosts));
  const std::size_t pool = std::min(m_flows.size(), wanted * 2);
  if (pool == 0) return;
  const double draw = std::uniform_real_distribution<double>(
      0, kMaxFlowWeight)(m_request_random);
  // Picks among the most recent flows; retries if the flow has ended.
  std::size_t index = m_flows.size() - 1 - m_request_random() % pool;
  for (int tries = 0; tries < 8 && !m_flows[index].is_open; ++tries) {
    index = m_flows.size() - 1 - m_request_random() % pool;
  }
  const Flow& flow = m_flows[index];
  if (!flow.is_open || draw > flow.weight) return;
  IntegrateDemand(flow.host);
  FakeHost& host = m_hosts[flow.host];
  if (host.busy >= host.slots) {
    ++host.queued;
    return;
  }
  ++host.busy;
  Push(m_now_s + DrawRequestSeconds() / host.speed, Kind::kDone, flow.host);
}

void BalanceSimulation::Done(std::size_t index) {
  IntegrateDemand(index);
  FakeHost& host = m_hosts[index];
  --host.busy;
  if (host.queued == 0) return;
  --host.queued;
  ++host.busy;
  Push(m_now_s + DrawRequestSeconds() / host.speed, Kind::kDone, index);
}

void BalanceSimulation::TakeReport(std::size_t index) {
  Push(m_now_s + m_settings.report_every_s, Kind::kTakeReport, index);
  const FakeHost& host = m_hosts[index];
  LoadReport report{host.busy, host.open, false};
  report.shedding = static_cast<double>(host.queued) >
                    kShedQueuePerSlot * static_cast<double>(host.slots);
  switch (host.lie) {
    case FalseReport::kNone:
      break;
    case FalseReport::kIdle:
      report = LoadReport{0, 0, false};
      break;
    case FalseReport::kNegative:
      report = LoadReport{-1, -100, false};
      break;
    case FalseReport::kFrozen:
      report = LoadReport{
          0, static_cast<std::int64_t>(m_settings.flows_per_host / 2), false};
      break;
    case FalseReport::kFull:
      report = LoadReport{host.slots, host.open * 10, false};
      break;
  }
  for (std::size_t b = 0; b < m_settings.balancers; ++b) {
    const double lag = std::uniform_real_distribution<double>(
        0, m_settings.max_report_lag_s)(m_lag_random);
    m_reports.push_back(ReportInFlight{b, index, report, m_now_s});
    Push(m_now_s + lag, Kind::kReportArrives, m_reports.size() - 1);
  }
}

void BalanceSimulation::Handle(const Event& event,
                               const std::function<void()>& sample) {
  const double steady_flows =
      m_settings.flows_per_host * static_cast<double>(m_settings.hosts);
  switch (event.kind) {
    case Kind::kArrive:
      Push(m_now_s + DrawExponential(&m_arrival_random,
                                     m_settings.flow_life_s / steady_flows),
           Kind::kArrive, 0);
      Open(DrawExponential(&m_arrival_random, m_settings.flow_life_s));
      return;
    case Kind::kReconnect:
      Open(DrawExponential(&m_lag_random, m_settings.flow_life_s));
      return;
    case Kind::kEnd:
      End(event.index);
      return;
    case Kind::kRequest:
      Request();
      return;
    case Kind::kDone:
      Done(event.index);
      return;
    case Kind::kTakeReport:
      TakeReport(event.index);
      return;
    case Kind::kReportArrives: {
      const ReportInFlight& in_flight = m_reports[event.index];
      m_hooks.reported(in_flight.balancer, in_flight.host, in_flight.report,
                       At(in_flight.taken_s));
      return;
    }
    case Kind::kSample:
      Push(m_now_s + 1, Kind::kSample, 0);
      PublishHosts();
      sample();
      return;
  }
}

void BalanceSimulation::Run(double seconds,
                            const std::function<void()>& sample) {
  const double until = m_now_s + seconds;
  while (!m_events.empty() && m_events.top().at_s <= until) {
    const Event event = m_events.top();
    m_events.pop();
    m_now_s = event.at_s;
    Handle(event, sample);
  }
  m_now_s = until;
}

std::size_t BalanceSimulation::Join() {
  FakeHost host;
  host.slots = m_settings.slots;
  host.joined_s = m_now_s;
  host.changed_s = m_now_s;
  m_hosts.push_back(host);
  Push(m_now_s + m_settings.report_every_s, Kind::kTakeReport,
       m_hosts.size() - 1);
  PublishHosts();
  return m_hosts.size() - 1;
}

void BalanceSimulation::Drain(std::size_t host) {
  m_hosts[host].takes_new_flows = false;
  PublishHosts();
}

void BalanceSimulation::Crash(std::size_t host) {
  Drain(host);
  const std::size_t flows = m_flows.size();
  for (std::size_t i = 0; i < flows; ++i) {
    if (!m_flows[i].is_open || m_flows[i].host != host) continue;
    End(i);
    const double wait = std::uniform_real_distribution<double>()(m_lag_random);
    Push(m_now_s + wait, Kind::kReconnect, 0);
  }
}

void BalanceSimulation::HalveSpeed(std::size_t host) {
  m_hosts[host].speed = 0.5;
}

template <typename Value>
double BalanceSimulation::Imbalance(Value value) const {
  double sum = 0;
  double greatest = 0;
  double count = 0;
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    if (!m_hosts[i].takes_new_flows) continue;
    sum += value(i);
    greatest = std::max(greatest, value(i));
    count += 1;
  }
  return sum > 0 ? greatest * count / sum : 1;
}

double BalanceSimulation::ConnectionImbalance() const {
  return Imbalance(
      [this](std::size_t i) { return static_cast<double>(m_hosts[i].open); });
}

double BalanceSimulation::SlotImbalance() const {
  return Imbalance(
      [this](std::size_t i) { return static_cast<double>(m_hosts[i].busy); });
}

double BalanceSimulation::DemandImbalance() {
  m_last_busy_seconds.resize(m_hosts.size());
  for (std::size_t i = 0; i < m_hosts.size(); ++i) IntegrateDemand(i);
  const double imbalance = Imbalance([this](std::size_t i) {
    return m_hosts[i].busy_seconds - m_last_busy_seconds[i];
  });
  for (std::size_t i = 0; i < m_hosts.size(); ++i) {
    m_last_busy_seconds[i] = m_hosts[i].busy_seconds;
  }
  return imbalance;
}

}  // namespace sardinelead::bench
