#include "fake_data_centre.h"

#include <algorithm>
#include <utility>

#include "fake_parts.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTickPeriod = milliseconds(50);
constexpr std::size_t kControlHeaderBytes = 40;

bool IsLess(const FlowKey& a, const FlowKey& b) {
  return a.caller != b.caller ? a.caller < b.caller : a.service < b.service;
}

}  // namespace

FakeDataCentre::FakeDataCentre(const FakeSettings& settings)
    : m_settings(settings),
      m_random(settings.seed),
      m_now(seconds(1000)),
      m_caller_by_key(IsLess),
      m_last_target(IsLess) {
  m_flows.emplace_back();  // Flow id 0 means no flow.
  Configure([this](Configuration* configuration) {
    for (std::uint32_t s = 0; s < m_settings.targets.size(); ++s) {
      Service service;
      service.id = ServiceId{s + 1};
      service.name = s == 0 ? "orders" : "gallery" + std::to_string(s);
      service.workspace = "linaw";
      service.address = {IpAddress::FromV4(0xc6336401 + s), 443};
      service.answers =
          s == 0 ? ResponsePath::kDirect : ResponsePath::kThroughBalancer;
      configuration->services["linaw/" + service.name] = service;
      configuration->next_service_id = s + 2;
    }
  });
  for (std::uint32_t s = 0; s < m_settings.targets.size(); ++s) {
    for (std::uint32_t i = 0; i < m_settings.targets[s]; ++i) AddTarget(s);
  }
  for (std::uint32_t i = 0; i < m_settings.balancers; ++i) {
    m_balancers.push_back(std::make_unique<Balancer>());
    m_balancers[i]->id = NodeId{i + 1};
  }
}

FakeDataCentre::~FakeDataCentre() = default;

void FakeDataCentre::Begin() {
  for (std::uint32_t i = 0; i < m_settings.balancers; ++i) Start(i);
  for (int i = 0; i < 200 && !IsFullyReady(); ++i) RunFor(milliseconds(100));
  RunFor(m_settings.max_update_delay);
  m_started_at = m_now;
  m_callers.resize(m_settings.callers);
  for (std::size_t c = 0; c < m_callers.size(); ++c) {
    const auto place = static_cast<std::uint32_t>(c);
    FlowKey& key = m_callers[c].key;
    key.caller = {IpAddress::FromV4(0x0a000000 + place / 100),
                  static_cast<std::uint16_t>(1000 + place % 100 * 100)};
    std::uint32_t service = 0;
    std::uint32_t rank = place % 18;
    while (service + 1 < m_settings.targets.size() &&
           rank >= m_settings.targets[service]) {
      rank -= m_settings.targets[service++];
    }
    key.service = {IpAddress::FromV4(0xc6336401 + service), 443};
    At(Random({}, m_settings.flow_duration / 4), [this, c] { Open(c); });
  }
}

Duration FakeDataCentre::Random(Duration from, Duration to) {
  if (to <= from) return from;
  const auto span = static_cast<std::uint64_t>((to - from).count());
  return from + Duration(m_random() % span);
}

Duration FakeDataCentre::Exponential(Duration mean) {
  std::exponential_distribution<double> distribution(1.0);
  const double factor = std::min(distribution(m_random), 5.0);
  return Duration(
      static_cast<std::int64_t>(factor * static_cast<double>(mean.count())));
}

void FakeDataCentre::At(Duration from_now, std::function<void()> action) {
  m_events.push({m_now + from_now, m_order++, std::move(action)});
}

void FakeDataCentre::RunFor(Duration duration) { RunUntil(m_now + duration); }

void FakeDataCentre::RunUntil(TimePoint end) {
  while (!m_events.empty() && m_events.top().at <= end) {
    Event event = std::move(const_cast<Event&>(m_events.top()));
    m_events.pop();
    m_now = event.at;
    event.run();
  }
  m_now = end;
}

void FakeDataCentre::Start(std::uint32_t index) {
  Balancer* balancer = m_balancers[index].get();
  balancer->is_running = true;
  ++balancer->starts;
  balancer->board = std::make_unique<Blackboard>();
  balancer->reader = std::make_unique<BlackboardReader>(balancer->board.get());
  FlowDirectorSettings director = m_settings.director;
  director.self = balancer->id;
  balancer->director = std::make_unique<FlowDirector>(
      director,
      [this, balancer](const FlowKey&, const Service& service, TimePoint) {
        return Pick(balancer, service);
      },
      ObserveFlow());
  FlowRepairSettings repair;
  repair.self = balancer->id;
  balancer->repair = std::make_unique<FlowRepair>(
      repair, balancer->director.get(), balancer->board.get());
  MembershipSettings membership;
  membership.self = balancer->id;
  membership.incarnation = Incarnation{balancer->starts};
  membership.relay = {IpAddress::FromV4(0x0a640001 + index), 6000};
  membership.control = {membership.relay.address, 6001};
  for (const auto& other : m_balancers) membership.seeds.push_back(other->id);
  balancer->membership = std::make_unique<Membership>(
      membership, balancer->board.get(),
      [balancer] { return balancer->repair->Report(); });
  // A restarted balancer receives the current state within the update delay.
  balancer->newest_targets = 0;
  balancer->newest_configuration = 0;
  PublishTargets(m_settings.max_update_delay);
  Configure([](Configuration*) {});
  Tick(index, balancer->starts);
}

void FakeDataCentre::Tick(std::uint32_t index, std::uint64_t start) {
  Balancer* balancer = m_balancers[index].get();
  if (!balancer->is_running || balancer->starts != start) return;
  Send(index, balancer->membership->OnTick(m_now));
  Send(index, balancer->repair->OnTick(m_now));
  for (const FlowReset& reset :
       balancer->director->OnTick(balancer->reader.get(), m_now)) {
    At(Random(kMinDelay, kMaxDelay), [this, reset] { OnReset(reset.key); });
  }
  At(kTickPeriod, [this, index, start] { Tick(index, start); });
}

void FakeDataCentre::Send(std::uint32_t from, const Outbox& outbox) {
  const auto second =
      static_cast<std::size_t>(Seconds(m_now.time_since_epoch()));
  std::vector<std::size_t>& bytes = m_balancers[from]->control_bytes;
  if (bytes.size() <= second) bytes.resize(second + 1);
  for (const OutgoingMessage& message : outbox) {
    bytes[second] += message.body.size() + kControlHeaderBytes;
    const std::uint32_t to = message.to.value - 1;
    if (is_cut && is_cut(from, to)) continue;
    const NodeId sender = m_balancers[from]->id;
    At(Random(kMinDelay, kMaxDelay), [this, sender, to, message] {
      Balancer* receiver = m_balancers[to].get();
      if (!receiver->is_running) return;
      if (message.kind == MessageKind::kMembership) {
        Send(to, receiver->membership->OnMessage(sender, message.body, m_now));
      } else {
        Send(to, receiver->repair->OnMessage(sender, message.body, m_now));
      }
    });
  }
}

tl::expected<TargetId, RefuseReason> FakeDataCentre::Pick(
    Balancer* balancer, const Service& service) {
  const TargetSnapshot& targets = balancer->reader->targets.Get();
  std::vector<TargetId> usable;
  for (const Target* target : targets.OfService(service.id)) {
    if (target->state == TargetState::kActive) usable.push_back(target->id);
  }
  if (usable.empty()) return tl::unexpected(RefuseReason::kNoTarget);
  return usable[m_random() % usable.size()];
}

void FakeDataCentre::PublishLater(
    Duration max_delay, const std::function<void(Blackboard*)>& publish,
    std::uint64_t Balancer::*newest) {
  const std::uint64_t order = ++m_order;
  for (const auto& each : m_balancers) {
    Balancer* balancer = each.get();
    const std::uint64_t start = balancer->starts;
    At(Random({}, max_delay), [balancer, publish, newest, start, order] {
      const bool is_there = balancer->is_running && balancer->starts == start;
      if (!is_there || order < balancer->*newest) return;
      balancer->*newest = order;
      publish(balancer->board.get());
    });
  }
}

void FakeDataCentre::PublishTargets(Duration max_delay) {
  std::vector<Target> all;
  for (const auto& target : m_targets) {
    if (target->target.state != TargetState::kGone) {
      all.push_back(target->target);
    }
  }
  const auto value = std::make_shared<TargetSnapshot>(all);
  PublishLater(
      max_delay, [value](Blackboard* board) { board->targets.Publish(value); },
      &Balancer::newest_targets);
}

void FakeDataCentre::Configure(
    const std::function<void(Configuration*)>& change) {
  change(&m_configuration);
  ++m_configuration.version.value;
  m_configuration.BuildIndex();
  for (const auto& [name, service] : m_configuration.services) {
    auto& owners = m_owners[service.address];
    const bool is_new = owners.empty() || owners.back().second != service.id;
    if (is_new) owners.emplace_back(m_now, service.id);
  }
  const auto value = std::make_shared<Configuration>(m_configuration);
  PublishLater(
      m_settings.max_update_delay,
      [value](Blackboard* board) { board->configuration.Publish(value); },
      &Balancer::newest_configuration);
}

void FakeDataCentre::Kill(std::uint32_t balancer) {
  m_balancers[balancer]->is_running = false;
  m_balancers[balancer]->stopped_at = m_now;
}

void FakeDataCentre::Leave(std::uint32_t index) {
  Balancer* balancer = m_balancers[index].get();
  balancer->membership->Leave();
  if (balancer->membership->IsHandoverComplete()) {
    // Delayed so that the leave message is sent first.
    At(milliseconds(200), [this, index] { Kill(index); });
    return;
  }
  At(kTickPeriod, [this, index] { Leave(index); });
}

bool FakeDataCentre::IsRunning(std::uint32_t balancer) const {
  return m_balancers[balancer]->is_running;
}

bool FakeDataCentre::IsFullyReady() const {
  std::size_t running = 0;
  for (const auto& balancer : m_balancers) running += balancer->is_running;
  for (const auto& balancer : m_balancers) {
    if (!balancer->is_running) continue;
    const auto view = balancer->board->view.Read();
    if (!view->MayDecide(m_now) || !balancer->repair->Complete()) return false;
    std::size_t ready = 0;
    for (const Member& member : view->members()) {
      ready += member.state == MemberState::kReady;
    }
    if (ready != running) return false;
  }
  return true;
}

const View& FakeDataCentre::ViewOf(std::uint32_t balancer) {
  return m_balancers[balancer]->reader->view.Get();
}

FlowDirector* FakeDataCentre::DirectorOf(std::uint32_t balancer) {
  return m_balancers[balancer]->director.get();
}

std::size_t FakeDataCentre::AddTarget(std::uint32_t service) {
  const std::size_t index = m_targets.size();
  m_targets.push_back(std::make_unique<FakeTarget>());
  Target& target = m_targets.back()->target;
  target.service = ServiceId{service + 1};
  target.incarnation = Incarnation{index + 1};
  const auto place = static_cast<std::uint32_t>(index);
  target.tunnel = {IpAddress::FromV4(0x0ac80001 + place), 4789};
  target.id = MakeTargetId(target.service, target.tunnel, target.incarnation);
  m_target_by_tunnel[target.tunnel] = index;
  PublishTargets(m_settings.max_update_delay);
  return index;
}

void FakeDataCentre::SetTargetState(std::size_t target, TargetState state) {
  m_targets[target]->target.state = state;
  PublishTargets(m_settings.max_update_delay);
}

void FakeDataCentre::Crash(std::size_t target) {
  m_targets[target]->is_running = false;
  m_targets[target]->crashed_at = m_now;
  At(kCrashDetectionDelay, [this, target] {
    m_targets[target]->target.state = TargetState::kDead;
    PublishTargets(milliseconds(100));
  });
}

void FakeDataCentre::ForgetConnections(std::size_t target) {
  m_targets[target]->connections.clear();
  m_targets[target]->crashed_at = m_now;
  m_targets[target]->ignores_unknown = true;
}

std::size_t FakeDataCentre::FlowsAt(std::size_t target) const {
  return static_cast<std::size_t>(
      std::count_if(m_callers.begin(), m_callers.end(), [&](const Caller& c) {
        return c.is_open && m_flows[c.flow_id].second == target + 1;
      }));
}

}  // namespace sardinelead
