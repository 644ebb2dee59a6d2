#include "paced_sender.h"

#include <algorithm>
#include <utility>

#include "link_units.h"

namespace sardinelead {
namespace {

// Bits of ScheduledPacket::flags.
constexpr std::uint8_t kOpens = 1;
constexpr std::uint8_t kFinishes = 2;
constexpr std::uint8_t kResets = 4;
constexpr std::uint8_t kToCaller = 8;
constexpr std::uint8_t kToSuccessor = 16;

// A datagram of this size is the largest that callers send.
constexpr std::size_t kLargeDatagram = 1240;

std::uint8_t FlagsOf(const FlowPacket& packet) {
  std::uint8_t flags = 0;
  if (packet.opens) flags |= kOpens;
  if (packet.finishes) flags |= kFinishes;
  if (packet.resets) flags |= kResets;
  return flags;
}

// Whether the packet is reported to the balancer. No target answers the others.
bool IsReported(const ScheduledPacket& packet) {
  if ((packet.flags & kToSuccessor) != 0) return false;
  return (packet.flags & kOpens) != 0 || packet.length > 0;
}

}  // namespace

PacedSender::PacedSender(std::uint64_t capacity, CookieBalancer* balancer,
                         Metrics* metrics, Hooks hooks)
    : m_balancer(balancer),
      m_metrics(metrics),
      m_hooks(std::move(hooks)),
      m_link(MakeLinkSettings(capacity)),
      m_scheduler({}, &m_link, SchedulerHooks()),
      m_admission({}, {[this] { return m_link.rate(); }}) {
  PrepareMetrics();
}

LinkModelSettings PacedSender::MakeLinkSettings(std::uint64_t capacity) {
  LinkModelSettings link;
  if (capacity < kWideLink) link.capacity = static_cast<double>(capacity);
  return link;
}

PacketSchedulerHooks PacedSender::SchedulerHooks() {
  PacketSchedulerHooks hooks;
  hooks.send = [this](const Endpoint& to, ByteView head, ByteView body) {
    m_hooks.send(to, head, body);
    m_hooks.flush();
  };
  hooks.on_sent = [this](const ScheduledPacket& packet, Duration waited) {
    OnSent(packet, waited);
  };
  hooks.on_dropped = [this](const ScheduledPacket& packet,
                            ScheduleDropReason reason) {
    OnDropped(packet, reason);
  };
  return hooks;
}

void PacedSender::Forward(const FlowPacket& packet, const Endpoint& to,
                          ByteView head, ByteView body, TimePoint now) {
  if (PassesIdleLink(head.size + body.size, now)) {
    return m_hooks.send(to, head, body);
  }
  m_now = now;
  if (packet.resets) m_scheduler.RemoveFlow(packet.flow);
  Schedule(Describe(packet), to, head, body, now);
}

void PacedSender::ForwardCopy(const FlowPacket& packet, const Endpoint& to,
                              ByteView head, ByteView body, TimePoint now) {
  if (PassesIdleLink(head.size + body.size, now)) {
    return m_hooks.send(to, head, body);
  }
  m_now = now;
  ScheduledPacket scheduled = Describe(packet);
  scheduled.flags |= kToSuccessor;
  Schedule(scheduled, to, head, body, now);
}

ScheduledPacket PacedSender::Describe(const FlowPacket& packet) const {
  const Route* route = m_balancer->routes().Find(packet.flow.service);
  ScheduledPacket scheduled;
  scheduled.flow = packet.flow;
  // An acknowledgement without data must not be dropped as a copy of an earlier
  // one.
  const bool is_bare = packet.length == 0 && !packet.opens;
  scheduled.sequence = is_bare ? packet.acknowledged : packet.sequence;
  scheduled.length = packet.length;
  scheduled.flags = FlagsOf(packet);
  // A FIN must not overtake the data before it.
  const bool follows_data =
      packet.finishes && m_balancer->HasQueued(packet.flow);
  scheduled.is_urgent =
      packet.opens || packet.resets || (packet.length == 0 && !follows_data);
  if (route != nullptr) {
    scheduled.priority = route->priority;
    scheduled.max_wait = std::chrono::milliseconds(route->timeout_ms);
  }
  return scheduled;
}

void PacedSender::Reset(const Forwarding& reset, const Endpoint& to,
                        ByteView datagram, TimePoint now) {
  if (PassesIdleLink(datagram.size, now)) {
    return m_hooks.send(to, datagram, {});
  }
  ScheduledPacket scheduled;
  scheduled.flow = reset.flow;
  scheduled.sequence = reset.reset_sequence;
  scheduled.flags = kResets | kToCaller;
  scheduled.is_urgent = true;
  m_now = now;
  Schedule(scheduled, to, datagram, {}, now);
}

// Charges a datagram that can be sent at once while no other waits.
bool PacedSender::PassesIdleLink(std::size_t bytes, TimePoint now) {
  const bool is_idle = m_scheduler.packets() == 0 && m_link.CanSend(bytes, now);
  if (!is_idle) return false;
  m_link.OnSent(bytes, now);
  m_sent.Add(bytes);
  return true;
}

void PacedSender::Schedule(const ScheduledPacket& packet, const Endpoint& to,
                           ByteView head, ByteView body, TimePoint now) {
  const std::size_t bytes = head.size + body.size;
  m_added = &packet;
  const ScheduleResult result = m_scheduler.Add(packet, to, head, body, now);
  m_added = nullptr;
  switch (result) {
    case ScheduleResult::kSendNow:
      m_sent.Add(bytes);
      return m_hooks.send(to, head, body);
    case ScheduleResult::kQueued:
      m_queued.Add(bytes);
      if (IsReported(packet)) m_balancer->OnQueued(packet.flow);
      // A small urgent packet may be due before the one that OnWake() waits
      // for.
      if (!m_is_armed || packet.is_urgent) OnWake(now);
      return;
    case ScheduleResult::kDropped:
      if (!IsReported(packet)) return;
      m_balancer->OnQueued(packet.flow);
      m_balancer->OnQueueDropped(packet.flow);
      return;
    case ScheduleResult::kDuplicate:
      return;
  }
}

void PacedSender::OnWake(TimePoint now) {
  m_now = now;
  const std::optional<TimePoint> next = m_scheduler.Release(now);
  m_is_armed = next.has_value();
  if (next) m_hooks.wake_after(*next - now);
}

void PacedSender::OnOtherTraffic(std::size_t bytes, TimePoint now) {
  m_link.OnSent(bytes, now);
}

void PacedSender::OnSent(const ScheduledPacket& packet, Duration waited) {
  if (&packet == m_added) return;  // It did not wait.
  const std::size_t rank =
      packet.is_urgent
          ? 0
          : 1 + std::min<std::size_t>(packet.priority, kTimedPriorities);
  m_waits[rank]->Observe(Seconds(waited));
  if (IsReported(packet)) m_balancer->OnTransmitted(packet.flow, m_now);
}

void PacedSender::OnDropped(const ScheduledPacket& packet,
                            ScheduleDropReason reason) {
  m_dropped[static_cast<std::size_t>(reason)].Add(packet.length);
  if (reason == ScheduleDropReason::kDuplicate) return;
  m_hooks.on_dropped(packet.flow, reason);
  const bool has_waited = &packet != m_added;
  if (has_waited && IsReported(packet)) {
    m_balancer->OnQueueDropped(packet.flow);
  }
}

bool PacedSender::Admits(const Route& route, TimePoint now) {
  if (!m_link.IsLimited()) return true;
  const bool has_backlog =
      m_scheduler.packets() != 0 || !m_link.CanSend(kLargeDatagram, now);
  const Duration wait = m_scheduler.ExpectedWait(route.priority, now);
  return m_admission.Admits(route, wait, has_backlog, now);
}

void PacedSender::OnRequestSize(const Endpoint& service, std::size_t bytes) {
  if (!m_link.IsLimited()) return;
  const Route* route = m_balancer->routes().Find(service);
  if (route != nullptr) m_admission.OnRequest(*route, bytes);
}

void PacedSender::OnTiming(const FlowTiming& timing, TimePoint now) {
  if (timing.step != FlowStep::kOpening) return;
  m_link.OnRoundTrip(timing.target, timing.duration, now);
}

}  // namespace sardinelead
