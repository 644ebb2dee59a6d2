// The packet handling of FakeDataCentre: fabric, targets and callers.

#include <algorithm>
#include <sstream>

#include "fake_parts.h"

namespace sardinelead {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How long the fabric keeps sending packets to a stopped balancer.
constexpr Duration kFabricFailoverDelay = seconds(2);
constexpr Duration kFirstRetry = milliseconds(300);
constexpr int kMaxAttempts = 9;  // More than a minute of retransmissions.
constexpr std::size_t kRateWindowSeconds = 10;

}  // namespace

void FakeDataCentre::Spray(const Packet& packet) {
  std::vector<std::uint32_t> reachable;
  for (std::uint32_t i = 0; i < m_balancers.size(); ++i) {
    const Balancer& balancer = *m_balancers[i];
    const bool is_known = balancer.is_running ||
                          (balancer.starts > 0 &&
                           m_now - balancer.stopped_at < kFabricFailoverDelay);
    if (is_known) reachable.push_back(i);
  }
  if (reachable.empty()) return;
  const std::uint32_t to = reachable[m_random() % reachable.size()];
  At(Random(kMinDelay, kMaxDelay), [this, to, packet] { Handle(to, packet); });
}

void FakeDataCentre::Handle(std::uint32_t index, Packet packet) {
  Balancer* balancer = m_balancers[index].get();
  if (!balancer->is_running) return;
  const RelayHeader* relay = packet.is_relayed ? &packet.relay : nullptr;
  ++(packet.is_relayed ? m_report.relays : m_report.from_fabric);
  BlackboardReader* reader = balancer->reader.get();
  const FlowOutcome outcome =
      packet.is_answer
          ? balancer->director->OnAnswer(reader, packet.info,
                                         packet.from_tunnel, relay, m_now)
          : balancer->director->OnPacket(reader, packet.info, relay, m_now);
  if (!ApplyFault(packet, outcome)) Apply(index, packet, outcome);
}

void FakeDataCentre::Apply(std::uint32_t index, const Packet& packet,
                           const FlowOutcome& outcome) {
  const Duration delay = Random(kMinDelay, kMaxDelay);
  switch (outcome.action) {
    case FlowAction::kSendToTarget:
      At(delay, [this, packet, outcome] { Deliver(packet, outcome.tunnel); });
      break;
    case FlowAction::kSendToCaller:
      At(delay, [this, packet] { OnAnswer(packet); });
      break;
    case FlowAction::kReset:
      At(delay, [this, packet] { OnReset(packet.info.key); });
      break;
    case FlowAction::kRelay: {
      const std::uint32_t to = outcome.relay_to.value - 1;
      if (is_cut && is_cut(index, to)) break;
      Packet relayed = packet;
      relayed.is_relayed = true;
      relayed.relay = outcome.relay;
      At(delay, [this, to, relayed] { Handle(to, relayed); });
      break;
    }
    case FlowAction::kDrop:
      ++m_report.drops[Name(outcome.reason)];
      break;
  }
}

bool FakeDataCentre::ApplyFault(const Packet& packet,
                                const FlowOutcome& outcome) {
  const bool is_plain =
      !packet.is_answer && packet.info.kind == PacketKind::kTcpData;
  switch (m_settings.fault) {
    case FakeFault::kNone:
      return false;
    case FakeFault::kComputeTarget: {
      const bool is_unknown = outcome.action == FlowAction::kReset ||
                              outcome.action == FlowAction::kDrop ||
                              outcome.relay.step == RelayStep::kQuery;
      if (!is_unknown || !is_plain) return false;
      // Computes a target for a flow that the balancer does not know.
      if (outcome.action == FlowAction::kSendToTarget) return false;
      DeliverTo(packet, packet.info.key.Hash() % m_settings.targets[0]);
      return true;
    }
    case FakeFault::kSkipStore: {
      const bool is_store = outcome.action == FlowAction::kRelay &&
                            outcome.relay.step == RelayStep::kStore;
      if (!is_store) return false;
      for (std::size_t t = 0; t < m_targets.size(); ++t) {
        if (m_targets[t]->target.id == outcome.relay.target) {
          DeliverTo(packet, t);
        }
      }
      return true;
    }
    case FakeFault::kNoServiceCheck: {
      const auto last = m_last_target.find(packet.info.key);
      if (packet.is_answer || outcome.reason != DropReason::kWrongService ||
          outcome.action != FlowAction::kDrop || last == m_last_target.end()) {
        return false;
      }
      DeliverTo(packet, last->second);
      return true;
    }
  }
  return false;
}

void FakeDataCentre::Deliver(const Packet& packet, const Endpoint& tunnel) {
  const auto found = m_target_by_tunnel.find(tunnel);
  if (found != m_target_by_tunnel.end()) DeliverTo(packet, found->second);
}

void FakeDataCentre::DeliverTo(const Packet& packet, std::size_t index) {
  FakeTarget* target = m_targets[index].get();
  Check(packet, index);
  if (!target->is_running) return;
  const bool opens = packet.info.kind == PacketKind::kTcpOpen;
  if (opens) target->connections.insert(packet.flow_id);
  const bool is_known = target->connections.count(packet.flow_id) > 0;
  if (!is_known && target->ignores_unknown) return;
  Answer(packet, index,
         is_known ? PacketKind::kTcpData : PacketKind::kTcpReset);
}

void FakeDataCentre::Check(const Packet& packet, std::size_t index) {
  ++m_report.delivered;
  if (m_seen[packet.transmission]) ++m_report.doubled;
  m_seen[packet.transmission] = true;
  m_last_target[packet.info.key] = index;
  auto& [sent_at, first] = m_flows[packet.flow_id];
  const bool is_lost = first != 0 && !m_targets[first - 1]->is_running;
  const bool is_other = first != 0 && first != index + 1;
  if (is_other && !is_lost) ++m_report.two_targets;
  if (first == 0 || is_lost) first = index + 1;
  const auto& owners = m_owners[packet.info.key.service];
  bool is_owner = false;
  for (std::size_t i = 0; i < owners.size(); ++i) {
    const bool is_over = i + 1 < owners.size() &&
                         owners[i + 1].first + m_settings.max_update_delay +
                                 kCrashDetectionDelay <
                             sent_at;
    is_owner = is_owner || (!is_over && owners[i].second ==
                                            m_targets[index]->target.service);
  }
  if (!is_owner) ++m_report.misdelivered;
}

void FakeDataCentre::Answer(const Packet& packet, std::size_t target,
                            PacketKind kind) {
  Packet answer = packet;
  answer.info.kind = kind;
  answer.is_answer = true;
  answer.is_relayed = false;
  answer.from_tunnel = m_targets[target]->target.tunnel;
  // The answer path is that of the service that the target belongs to now.
  const Service* service =
      m_configuration.FindById(m_targets[target]->target.service);
  const bool is_direct =
      service == nullptr || service->answers == ResponsePath::kDirect;
  if (is_direct) {
    At(Random(kMinDelay, kMaxDelay), [this, answer] { OnAnswer(answer); });
  } else {
    Spray(answer);
  }
}

void FakeDataCentre::Open(std::size_t index) {
  Caller& caller = m_callers[index];
  const bool reuses =
      static_cast<double>(m_random() % 1000) < m_settings.key_reuse * 1000;
  std::uint16_t& port = caller.key.caller.port;
  const int next_port = port / 100 * 100 + (port + 1) % 100;
  if (!reuses) port = static_cast<std::uint16_t>(next_port);
  caller.flow_id = m_flows.size();
  m_flows.emplace_back(m_now, 0);
  m_caller_by_key[caller.key] = index;
  caller.opened_at = m_now;
  caller.ends_at = m_now + Exponential(m_settings.flow_duration);
  caller.sequence = static_cast<std::uint32_t>(m_random());
  caller.is_open = false;
  caller.is_waiting = true;
  Transmit(index, PacketKind::kTcpOpen, 0);
}

void FakeDataCentre::Transmit(std::size_t index, PacketKind kind, int attempt) {
  Caller& caller = m_callers[index];
  Packet packet;
  packet.info.key = caller.key;
  packet.info.kind = kind;
  packet.info.tcp_sequence = caller.sequence;
  packet.info.payload_bytes = kind == PacketKind::kTcpData ? 100 : 0;
  packet.caller = index;
  packet.flow_id = caller.flow_id;
  packet.transmission = m_transmissions++;
  m_seen.push_back(false);
  Spray(packet);
  const std::uint64_t flow_id = caller.flow_id;
  const std::uint32_t sequence = caller.sequence;
  const Duration first = caller.is_open ? kFirstRetry : Duration(seconds(1));
  At(first * (1 << attempt), [=] {
    const Caller& later = m_callers[index];
    const bool is_same = later.flow_id == flow_id && later.sequence == sequence;
    if (!is_same || !later.is_waiting) return;
    if (attempt + 1 < kMaxAttempts) return Transmit(index, kind, attempt + 1);
    CountBroken(index);
    End(index);
  });
}

void FakeDataCentre::OnAnswer(const Packet& packet) {
  const auto found = m_caller_by_key.find(packet.info.key);
  if (found == m_caller_by_key.end()) return;
  const std::size_t index = found->second;
  Caller& caller = m_callers[index];
  if (caller.flow_id != packet.flow_id) {
    ++m_report.wrong_answers;
    return;
  }
  if (packet.info.kind == PacketKind::kTcpReset) {
    return OnReset(packet.info.key);
  }
  if (!caller.is_waiting || packet.info.tcp_sequence != caller.sequence) return;
  caller.is_waiting = false;
  const std::uint64_t flow_id = caller.flow_id;
  if (!caller.is_open) {
    caller.is_open = true;
    ++m_report.opened;
    const double elapsed_s = Seconds(m_now - caller.opened_at);
    m_report.slowest_opening_s =
        std::max(m_report.slowest_opening_s, elapsed_s);
    return NextSegment(index, flow_id);
  }
  if (m_now >= caller.ends_at) return End(index);
  At(Exponential(m_settings.think_time),
     [this, index, flow_id] { NextSegment(index, flow_id); });
}

void FakeDataCentre::NextSegment(std::size_t index, std::uint64_t flow_id) {
  Caller& caller = m_callers[index];
  if (caller.flow_id != flow_id) return;
  ++caller.sequence;
  caller.is_waiting = true;
  caller.first_sent_at = m_now;
  const bool ends = m_now >= caller.ends_at;
  Transmit(index, ends ? PacketKind::kTcpClose : PacketKind::kTcpData, 0);
}

void FakeDataCentre::OnReset(const FlowKey& key) {
  const auto found = m_caller_by_key.find(key);
  if (found == m_caller_by_key.end()) return;
  const std::size_t index = found->second;
  CountBroken(index);
  End(index);
}

void FakeDataCentre::CountBroken(std::size_t index) {
  const std::size_t target = m_flows[m_callers[index].flow_id].second;
  const FakeTarget* lost = target == 0 ? nullptr : m_targets[target - 1].get();
  if (lost == nullptr || (lost->is_running && !lost->ignores_unknown)) {
    ++m_report.broken;
    return;
  }
  ++m_report.crashed;
  const TimePoint since =
      lost->ignores_unknown ? m_callers[index].first_sent_at : lost->crashed_at;
  const double elapsed_s = Seconds(m_now - since);
  m_report.slowest_reset_s = std::max(m_report.slowest_reset_s, elapsed_s);
}

void FakeDataCentre::End(std::size_t index) {
  Caller& caller = m_callers[index];
  m_caller_by_key.erase(caller.key);
  caller.is_open = false;
  caller.is_waiting = false;
  // Invalidates the pending timers of this flow.
  caller.flow_id = 0;
  At(seconds(1) + Exponential(m_settings.idle_time),
     [this, index] { Open(index); });
}

FakeReport FakeDataCentre::Report() const {
  FakeReport report = m_report;
  const auto from =
      static_cast<std::size_t>(Seconds(m_started_at.time_since_epoch()));
  for (const auto& balancer : m_balancers) {
    const std::vector<std::size_t>& bytes = balancer->control_bytes;
    for (std::size_t i = from; i + kRateWindowSeconds <= bytes.size(); ++i) {
      double sum = 0;
      for (std::size_t j = 0; j < kRateWindowSeconds; ++j) {
        sum += static_cast<double>(bytes[i + j]);
      }
      report.worst_control_rate =
          std::max(report.worst_control_rate, sum / kRateWindowSeconds);
    }
  }
  return report;
}

std::string FakeReport::ToString() const {
  std::ostringstream out;
  out << "opened " << opened << ", delivered " << delivered << ", broken "
      << broken << ", crashed " << crashed << ", at two targets " << two_targets
      << ", misdelivered " << misdelivered << ", doubled " << doubled
      << ", wrong answers " << wrong_answers << ", relays per packet "
      << static_cast<double>(relays) / static_cast<double>(from_fabric)
      << ", slowest opening " << slowest_opening_s << " s, slowest notice "
      << slowest_reset_s << " s, control " << worst_control_rate << " B/s;";
  for (const auto& [reason, count] : drops) {
    out << " " << reason << " " << count;
  }
  return out.str();
}

}  // namespace sardinelead
