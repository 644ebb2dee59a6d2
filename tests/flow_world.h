#ifndef SARDINELEAD_TESTS_FLOW_WORLD_H_
#define SARDINELEAD_TESTS_FLOW_WORLD_H_

// Callers, routers, balancers and targets in virtual time, by the protocol of
// the users' platform: which target gets the packets of an open flow, and who
// resets it. Balancers exchange nothing; the routers move flows between them at
// any time, and targets answer as late as they like. Targets start again under
// their numbers or leave their addresses to others, by clocks that differ, and
// each balancer learns that as late as it likes.

#include <algorithm>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "big_endian.h"
#include "sardinelead/cookie_balancer.h"
#include "single_route.h"

namespace sardinelead::flow_world {

inline const Endpoint kService = *Endpoint::Parse("198.18.0.1:8443");
inline constexpr std::size_t kBalancers = 3;
inline constexpr std::size_t kTargets = 4;
inline constexpr std::size_t kVms = 6;  // With an address for a target each.
inline constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();
inline constexpr Duration kLongestAbsence = std::chrono::milliseconds(800);
inline constexpr Duration kLongestHold = std::chrono::milliseconds(1200);
inline constexpr std::uint16_t kCallers = 40;
inline constexpr std::uint16_t kRequestBytes = 300;
inline constexpr std::uint16_t kAnswerBytes = 600;
inline constexpr int kMaxRetransmissions = 8;  // Of a target's opening answer.
inline constexpr Duration kFirstWait = std::chrono::milliseconds(200);
inline constexpr Duration kLongestWait = std::chrono::milliseconds(1600);
inline constexpr Duration kOpeningDeadline = std::chrono::milliseconds(1400);
inline constexpr Duration kRequestDeadline = std::chrono::milliseconds(4000);

struct Scenario {
  std::uint64_t seed = 1;
  // Targets process each packet up to this much late.
  Duration target_delay{0};
  // One way between callers and all others.
  Duration caller_delay = std::chrono::milliseconds(1);
  // The routers move all flows at intervals up to this one.
  Duration move_interval = std::chrono::milliseconds(500);
  int loss_percent = 0;
  // Targets end and start at intervals up to this one, 0 for never.
  Duration restart_interval{0};
  // Each balancer learns of each announcement up to this much late.
  Duration feed_delay{0};
  // The clocks of the targets' VMs differ by up to this much.
  Duration clock_difference{0};
};

// One start of a target.
struct Process {
  std::uint64_t number = 0;
  std::uint64_t started_ms = 0;
  Endpoint address;
  bool is_running = true;
};

inline Endpoint AddressOf(std::size_t vm) {
  return {IpAddress::FromV4(0x0a000001 + static_cast<std::uint32_t>(vm)), 80};
}

class FlowWorld {
 public:
  explicit FlowWorld(const Scenario& scenario)
      : m_scenario(scenario), m_random(scenario.seed) {
    const RouteTable table = MakeSingleRoute(kService);
    for (std::size_t i = 0; i < kBalancers; ++i) {
      m_nodes.push_back(std::make_unique<Node>());
      m_nodes.back()->directory.SetPools(table.PoolNames(), m_now);
      m_nodes.back()->balancer = MakeBalancer(&m_nodes.back()->directory);
      m_nodes.back()->balancer->SetRoutes(table);
    }
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      m_clocks.push_back(UpTo(m_scenario.clock_difference));
    }
    for (std::size_t vm = 0; vm < kTargets; ++vm) StartProcess(++m_number, vm);
    if (m_scenario.restart_interval > Duration{0}) RestartTargets();
    for (std::uint16_t i = 0; i < kCallers; ++i) {
      After(UpTo(std::chrono::milliseconds(1000)), [this] { OpenFlow(); });
    }
    MoveFlows();
    ReadSockets();
  }

  void RunFor(Duration span) {
    const TimePoint end = m_now + span;
    while (!m_events.empty() && m_events.begin()->first <= end) {
      m_now = m_events.begin()->first;
      const auto action = std::move(m_events.begin()->second);
      m_events.erase(m_events.begin());
      action();
    }
    m_now = end;
  }

  // Open flows that another target or a balancer reset.
  std::size_t resets() const { return m_resets; }  // NOLINT
  // Packets of open flows that reached another target.
  std::size_t misdirected() const { return m_misdirected; }  // NOLINT
  std::size_t answered() const { return m_answered; }        // NOLINT

 private:
  struct Caller {
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint32_t cookie = 0;  // The last one received on the flow.
    // Whose answer opened the flow, for the caller.
    std::size_t process = kNone;
    bool is_open = false;
    bool is_over = false;
    bool is_acknowledged = true;  // Its request, by the target.
    int requests = 0;
    TimePoint deadline;  // Of its request.
  };
  // A flow at a target.
  struct HeldFlow {
    std::uint32_t sequence = 0;
    std::uint32_t next = 0;
    std::uint32_t cookie = 0;  // The last one received on the flow.
    bool is_open = false;
    int retransmissions = 0;
  };

  struct Node {
    TargetDirectory directory;
    std::unique_ptr<CookieBalancer> balancer;
    std::vector<std::pair<TimePoint, FlowPacket>> held;
  };

  std::unique_ptr<CookieBalancer> MakeBalancer(TargetDirectory* directory) {
    CookieBalancerSettings settings;
    settings.data_centre = "a";
    return std::make_unique<CookieBalancer>(
        settings, directory,
        CookieBalancer::Hooks{
            [this] { return m_random(); }, [this] { return m_now; },
            [] { return kBalancers; }, [] { return false; },
            [](const TargetHealthReport&) {}, [](const FlowTiming&) {}});
  }

  void StartProcess(std::uint64_t number, std::size_t vm) {
    Process process;
    process.number = number;
    process.address = AddressOf(vm);
    const Duration clock = m_now.time_since_epoch() + m_clocks[vm];
    process.started_ms = static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(clock).count());
    m_processes.push_back(process);
    Announce(m_processes.size() - 1);
  }

  void Announce(std::size_t place) {
    const Process& process = m_processes[place];
    if (!process.is_running) return;
    TargetAnnouncement announcement;
    announcement.number = process.number;
    announcement.started_ms = process.started_ms;
    announcement.sequence = ++m_heartbeats;
    announcement.pool = "orders";
    announcement.address = process.address;
    announcement.data_centre = "a";
    for (const auto& node : m_nodes) {
      After(UpTo(m_scenario.feed_delay), [this, announcement, &node = *node] {
        const std::uint64_t revision = node.directory.revision();
        node.directory.Take(announcement, m_now);
        if (node.directory.revision() != revision) RetryHeld(&node);
      });
    }
    After(std::chrono::milliseconds(700), [this, place] { Announce(place); });
  }

  // A target ends. After a while it starts again on the same VM, or on another
  // one, and another target gets its address.
  void RestartTargets() {
    std::vector<std::size_t> running;
    std::vector<std::size_t> vms;
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
      if (m_processes[i].is_running) running.push_back(i);
    }
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (!IsTaken(AddressOf(vm))) vms.push_back(vm);
    }
    if (running.size() > kTargets / 2 && !vms.empty()) {
      Process& ended = m_processes[running[m_random() % running.size()]];
      ended.is_running = false;
      const std::uint64_t number = ended.number;
      const bool stays = m_random() % 3 == 0;
      const std::size_t vm =
          stays ? VmOf(ended.address) : vms[m_random() % vms.size()];
      After(UpTo(kLongestAbsence), [this, number, vm] {
        if (!IsTaken(AddressOf(vm))) StartProcess(number, vm);
      });
      After(UpTo(kLongestAbsence), [this, address = ended.address] {
        if (!IsTaken(address)) StartProcess(++m_number, VmOf(address));
      });
    }
    After(UpTo(m_scenario.restart_interval), [this] { RestartTargets(); });
  }

  static std::size_t VmOf(const Endpoint& address) {
    return address.address.ToV4() - AddressOf(0).address.ToV4();
  }

  bool IsTaken(const Endpoint& address) const {
    return std::any_of(
        m_processes.begin(), m_processes.end(), [&](const Process& process) {
          return process.is_running && process.address == address;
        });
  }

  // Returns the process that takes a packet, or kNone.
  std::size_t Receiver(std::uint64_t number, const Endpoint& address) const {
    for (std::size_t i = 0; i < m_processes.size(); ++i) {
      const Process& process = m_processes[i];
      const bool is_receiver = process.is_running && process.number == number &&
                               process.address == address;
      if (is_receiver) return i;
    }
    return kNone;
  }

  void RetryHeld(Node* node) {
    const auto held = std::exchange(node->held, {});
    for (const auto& [at, packet] : held) {
      if (m_now - at <= kLongestHold) OnPacket(node, packet, at);
    }
  }

  // `arrived_at` may be earlier than now.
  void OnPacket(Node* node, const FlowPacket& packet, TimePoint arrived_at) {
    Bytes bytes(sizeof packet.acknowledged);
    StoreBigEndian(packet.acknowledged, bytes.data());
    FlowPacket received = packet;
    received.bytes = bytes;
    const Forwarding out = node->balancer->OnPacket(received, m_now);
    if (out.action == ForwardAction::kHold) {
      node->held.emplace_back(arrived_at, packet);
    }
    Apply(out, packet);
  }

  void After(Duration delay, std::function<void()> action) {
    m_events.emplace(m_now + delay, std::move(action));
  }
  Duration UpTo(Duration most) {
    const auto count = static_cast<std::uint64_t>(most.count());
    return Duration(static_cast<std::int64_t>(m_random() % (count + 1)));
  }
  bool IsLost() {
    return m_random() % 100 <
           static_cast<std::uint64_t>(m_scenario.loss_percent);
  }

  void MoveFlows() {
    ++m_moves;
    After(UpTo(m_scenario.move_interval), [this] { MoveFlows(); });
  }

  void ReadSockets() {
    for (const auto& node : m_nodes) {
      node->balancer->OnDrained(m_now, m_now);
      for (const FlowProbe& probe : node->balancer->Sweep(m_now)) {
        SendProbe(probe);
      }
    }
    After(std::chrono::milliseconds(5), [this] { ReadSockets(); });
  }

  // Callers.

  FlowPacket MakePacket(std::uint16_t port) {
    const Caller& caller = m_callers[port];
    FlowPacket packet;
    packet.flow.caller = {IpAddress::FromV4(0x64400001), port};
    packet.flow.service = kService;
    packet.sequence = caller.sequence;
    packet.acknowledges = true;
    packet.acknowledged = caller.acknowledged;
    packet.cookie = caller.cookie;
    return packet;
  }

  void SendToBalancer(const FlowPacket& packet) {
    if (IsLost()) return;
    const std::size_t place = (packet.flow.Hash() + m_moves) % kBalancers;
    After(m_scenario.caller_delay, [this, packet, place] {
      OnPacket(m_nodes[place].get(), packet, m_now);
    });
  }

  void OpenFlow() {
    const std::uint16_t port = ++m_last_port;
    m_callers[port].sequence = static_cast<std::uint32_t>(m_random());
    const Duration copies[] = {Duration{0}, std::chrono::milliseconds(200),
                               std::chrono::milliseconds(600)};
    for (std::uint32_t copy = 0; copy < 3; ++copy) {
      After(copies[copy], [this, port, copy] { SendOpening(port, copy); });
    }
    After(kOpeningDeadline, [this, port] {
      if (!m_callers[port].is_open) EndFlow(port);
    });
  }

  void SendOpening(std::uint16_t port, std::uint32_t copy) {
    const Caller& caller = m_callers[port];
    if (caller.is_open || caller.is_over) return;
    FlowPacket packet = MakePacket(port);
    packet.opens = true;
    packet.acknowledges = false;
    packet.is_copy = copy > 0;
    SendToBalancer(packet);
  }

  void EndFlow(std::uint16_t port) {
    Caller& caller = m_callers[port];
    if (caller.is_over) return;
    if (caller.is_open) {
      FlowPacket packet = MakePacket(port);
      packet.finishes = true;
      SendToBalancer(packet);
    }
    caller.is_over = true;
    After(UpTo(std::chrono::milliseconds(100)), [this] { OpenFlow(); });
  }

  void StartRequest(std::uint16_t port) {
    Caller& caller = m_callers[port];
    if (caller.is_over) return;
    if (caller.requests++ == 6) return EndFlow(port);
    caller.is_acknowledged = false;
    caller.deadline = m_now + kRequestDeadline;
    SendRequest(port, caller.requests, kFirstWait);
  }

  void SendRequest(std::uint16_t port, int request, Duration wait) {
    const Caller& caller = m_callers[port];
    const bool is_due = !caller.is_over && !caller.is_acknowledged &&
                        caller.requests == request;
    if (!is_due) return;
    if (m_now >= caller.deadline) return EndFlow(port);
    FlowPacket packet = MakePacket(port);
    packet.length = kRequestBytes;
    SendToBalancer(packet);
    After(wait, [this, port, request, wait] {
      SendRequest(port, request, std::min(wait * 2, kLongestWait));
    });
  }

  // The caller gets a packet of a target with the cookie that this has.
  void TakeOpeningAnswer(std::uint16_t port, std::size_t process,
                         std::uint32_t sequence, std::uint32_t cookie) {
    Caller& caller = m_callers[port];
    if (caller.is_over) return;
    caller.cookie = cookie;
    if (caller.is_open) return;
    caller.is_open = true;
    caller.process = process;
    caller.sequence += 1;
    caller.acknowledged = sequence + 1;
    SendToBalancer(MakePacket(port));
    After(UpTo(std::chrono::milliseconds(400)),
          [this, port] { StartRequest(port); });
  }

  void TakeAnswer(std::uint16_t port, std::uint32_t acknowledged,
                  std::uint32_t cookie) {
    Caller& caller = m_callers[port];
    if (caller.is_over) return;
    caller.cookie = cookie;
    const bool is_new = !caller.is_acknowledged &&
                        acknowledged == caller.sequence + kRequestBytes;
    if (!is_new) return;
    caller.is_acknowledged = true;
    caller.sequence += kRequestBytes;
    caller.acknowledged += kAnswerBytes;
    ++m_answered;
    SendToBalancer(MakePacket(port));
    After(UpTo(std::chrono::milliseconds(600)),
          [this, port] { StartRequest(port); });
  }

  // `sender` is a process, or kNone for a balancer.
  void TakeReset(std::uint16_t port, std::size_t sender) {
    Caller& caller = m_callers[port];
    if (caller.is_over) return;
    if (IsOpen(port) && sender != caller.process) ++m_resets;
    caller.is_open = false;
    EndFlow(port);
  }

  // Whether the caller has a flow that is open at a running process.
  bool IsOpen(std::uint16_t port) {
    const Caller& caller = m_callers[port];
    const bool is_running =
        caller.is_open && m_processes[caller.process].is_running;
    if (!is_running) return false;
    const auto held = m_held.find({caller.process, port});
    return held != m_held.end() && held->second.is_open;
  }

  // Balancers.

  void Apply(const Forwarding& out, const FlowPacket& packet) {
    const std::uint16_t port = out.flow.caller.port;
    if (out.action == ForwardAction::kReset) {
      After(m_scenario.caller_delay, [this, port] { TakeReset(port, kNone); });
    }
    if (out.action != ForwardAction::kForward || IsLost()) return;
    if (!packet.opens) CountIfMisdirected(port, out);
    SendToTarget(out.target, out.address, packet, out.cookie);
    if (!out.copy) return;
    SendToTarget(out.copy->target, out.copy->address, packet, out.cookie);
  }

  void SendProbe(const FlowProbe& probe) {
    FlowPacket packet;
    packet.flow = probe.flow;
    packet.acknowledges = true;
    packet.acknowledged = LoadBigEndian<std::uint32_t>(probe.packet.data());
    SendToTarget(probe.copy.target, probe.copy.address, packet, probe.cookie);
  }

  void SendToTarget(std::uint64_t number, const Endpoint& address,
                    const FlowPacket& packet, std::uint32_t cookie) {
    After(std::chrono::milliseconds(1) + UpTo(m_scenario.target_delay),
          [this, number, address, packet, cookie] {
            const std::size_t process = Receiver(number, address);
            if (process != kNone) DeliverToTarget(process, packet, cookie);
          });
  }

  // Targets.

  void DeliverToTarget(std::size_t process, const FlowPacket& packet,
                       std::uint32_t cookie) {
    const std::uint16_t port = packet.flow.caller.port;
    if (packet.opens) return TakeOpening(process, port, packet, cookie);
    const auto found = m_held.find({process, port});
    const bool is_held = found != m_held.end() &&
                         (found->second.is_open ||
                          packet.acknowledged == found->second.sequence + 1);
    if (!is_held) {
      if (packet.resets) return;
      return ToCaller([this, port, process] { TakeReset(port, process); });
    }
    HeldFlow& flow = found->second;
    flow.is_open = true;
    flow.cookie = cookie;
    if (packet.finishes) {
      m_held.erase(found);
      return;
    }
    if (packet.length == 0) return;
    if (packet.sequence == flow.next) flow.next += packet.length;
    ToCaller([this, port, next = flow.next, cookie = flow.cookie] {
      TakeAnswer(port, next, cookie);
    });
  }

  void CountIfMisdirected(std::uint16_t port, const Forwarding& out) {
    if (!IsOpen(port)) return;
    const Process& own = m_processes[m_callers[port].process];
    if (out.target != own.number || out.address != own.address) ++m_misdirected;
  }

  void TakeOpening(std::size_t target, std::uint16_t port,
                   const FlowPacket& packet, std::uint32_t cookie) {
    const auto [found, is_new] =
        m_held.try_emplace(std::make_pair(target, port));
    HeldFlow& flow = found->second;
    flow.cookie = cookie;
    if (!is_new) return SendOpeningAnswer(target, port);
    flow.sequence = static_cast<std::uint32_t>(m_random());
    flow.next = packet.sequence + 1;
    SendOpeningAnswer(target, port);
    After(kFirstWait, [this, target, port] {
      RetransmitOpeningAnswer(target, port, kFirstWait * 2);
    });
  }

  void SendOpeningAnswer(std::size_t target, std::uint16_t port) {
    const HeldFlow& flow = m_held.at({target, port});
    ToCaller(
        [this, target, port, sequence = flow.sequence, cookie = flow.cookie] {
          TakeOpeningAnswer(port, target, sequence, cookie);
        });
  }

  void RetransmitOpeningAnswer(std::size_t target, std::uint16_t port,
                               Duration wait) {
    const auto found = m_held.find({target, port});
    if (found == m_held.end() || found->second.is_open) return;
    if (!m_processes[target].is_running) return;
    if (found->second.retransmissions++ == kMaxRetransmissions) {
      m_held.erase(found);
      return;
    }
    SendOpeningAnswer(target, port);
    After(std::min(wait, kLongestWait), [this, target, port, wait] {
      RetransmitOpeningAnswer(target, port, wait * 2);
    });
  }

  void ToCaller(std::function<void()> action) {
    if (IsLost()) return;
    After(m_scenario.caller_delay + UpTo(m_scenario.target_delay),
          std::move(action));
  }

  const Scenario m_scenario;
  std::mt19937_64 m_random;
  TimePoint m_now{std::chrono::seconds(100)};
  std::multimap<TimePoint, std::function<void()>> m_events;
  std::uint64_t m_moves = 0;
  std::uint64_t m_heartbeats = 0;
  std::uint16_t m_last_port = 0;
  std::uint64_t m_number = 0;        // Of the latest new target.
  std::vector<Duration> m_clocks;    // By VM.
  std::vector<Process> m_processes;  // Of targets, also those that ended.
  std::vector<std::unique_ptr<Node>> m_nodes;
  std::map<std::uint16_t, Caller> m_callers;  // By port.
  // By process and caller's port.
  std::map<std::pair<std::size_t, std::uint16_t>, HeldFlow> m_held;
  std::size_t m_resets = 0;
  std::size_t m_misdirected = 0;
  std::size_t m_answered = 0;
};

}  // namespace sardinelead::flow_world

#endif  // SARDINELEAD_TESTS_FLOW_WORLD_H_
