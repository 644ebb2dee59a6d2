#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>

#include "sardinelead/balancer.h"
#include "sardinelead/reset.h"

namespace sardinelead {
namespace {

using SingleWriterCounter = std::atomic<std::uint64_t>;

void Increment(SingleWriterCounter* count) {
  count->store(count->load(std::memory_order_relaxed) + 1,
               std::memory_order_relaxed);
}

std::uint64_t Load(const SingleWriterCounter& count) {
  return count.load(std::memory_order_relaxed);
}

PacketOutcome Send(const Endpoint& to, ByteView head, ByteView body) {
  PacketOutcome outcome;
  outcome.is_sent = true;
  outcome.to = to;
  outcome.head = head;
  outcome.body = body;
  return outcome;
}

PacketOutcome Drop(DropReason reason) {
  PacketOutcome outcome;
  outcome.reason = reason;
  return outcome;
}

bool HasPacketLimits(const Configuration& configuration) {
  for (const auto& [name, workspace] : configuration.workspaces) {
    if (workspace.limits.packets_per_second != 0) return true;
  }
  for (const auto& [name, service] : configuration.services) {
    if (service.limits.packets_per_second != 0) return true;
  }
  return false;
}

}  // namespace

struct PacketWorker::AtomicCounts {
  std::array<SingleWriterCounter, kIngressCount> received{};
  std::array<SingleWriterCounter, static_cast<std::size_t>(DropReason::kCount)>
      dropped{};
  SingleWriterCounter to_targets{0};
  SingleWriterCounter to_callers{0};
  SingleWriterCounter relayed{0};
  SingleWriterCounter resets{0};
};

PacketWorker::PacketWorker(Balancer* balancer)
    : m_balancer(balancer),
      m_board(balancer->m_blackboard),
      m_codec(balancer->m_options.relay_key),
      m_counts(std::make_unique<AtomicCounts>()) {}

PacketWorker::~PacketWorker() { m_balancer->UnregisterWorker(this); }

PacketCounts PacketWorker::Counts() const {
  PacketCounts counts;
  std::transform(m_counts->received.begin(), m_counts->received.end(),
                 counts.received.begin(), Load);
  std::transform(m_counts->dropped.begin(), m_counts->dropped.end(),
                 counts.dropped.begin(), Load);
  counts.to_targets = Load(m_counts->to_targets);
  counts.to_callers = Load(m_counts->to_callers);
  counts.relayed = Load(m_counts->relayed);
  counts.resets = Load(m_counts->resets);
  return counts;
}

void PacketWorker::Read(std::size_t slot, Ingress ingress, ByteView datagram) {
  assert(slot < kMaxBatchSize);
  Increment(&m_counts->received[static_cast<std::size_t>(ingress)]);
  ParsedPacket& read = m_batch[slot];
  read.ingress = ingress;
  read.is_relayed = ingress == Ingress::kRelay;
  read.is_answer = ingress == Ingress::kAnswer;
  read.packet = datagram;
  if (read.is_relayed) {
    const auto relayed = m_codec.Read(datagram);
    if (!relayed) {
      read.refusal = relayed.error();
      return;
    }
    read.relay = relayed->header;
    read.packet = relayed->packet;
    read.is_answer = read.relay.direction == Direction::kToCaller;
  }
  const Direction direction =
      read.is_answer ? Direction::kToCaller : Direction::kToService;
  read.refusal = ParsePacket(read.packet, direction, &read.info);
  if (!read.refusal) m_balancer->m_director.Prefetch(read.info.flow_hash);
}

PacketOutcome PacketWorker::Decide(std::size_t slot, const Endpoint& source,
                                   TimePoint now) {
  const ParsedPacket& read = m_batch[slot];
  const PacketOutcome outcome =
      read.refusal ? Drop(*read.refusal) : Forward(read, source, now);
  if (!outcome.is_sent) {
    Increment(&m_counts->dropped[static_cast<std::size_t>(outcome.reason)]);
  }
  return outcome;
}

PacketOutcome PacketWorker::Forward(const ParsedPacket& read,
                                    const Endpoint& source, TimePoint now) {
  const PacketInfo& info = read.info;
  if (read.ingress == Ingress::kFabric && IsOverLimit(info.key, now)) {
    return Drop(DropReason::kRefused);
  }
  FlowDirector& director = m_balancer->m_director;
  const RelayHeader* relay = read.is_relayed ? &read.relay : nullptr;
  const FlowOutcome outcome =
      read.is_answer ? director.OnAnswer(&m_board, info, source, relay, now)
                     : director.OnPacket(&m_board, info, relay, now);
  // A reset is built from the caller's packet, so none can be sent in response
  // to a packet of the target.
  if (read.is_answer && outcome.action == FlowAction::kReset) {
    return Drop(outcome.reason);
  }
  return Act(outcome, info, read.packet);
}

PacketOutcome PacketWorker::Act(const FlowOutcome& outcome,
                                const PacketInfo& info, ByteView packet) {
  switch (outcome.action) {
    case FlowAction::kSendToTarget:
      Increment(&m_counts->to_targets);
      return Send(outcome.tunnel, {}, packet);
    case FlowAction::kSendToCaller:
      Increment(&m_counts->to_callers);
      return Send(m_balancer->m_options.egress, {}, packet);
    case FlowAction::kRelay:
      return Relay(outcome, packet);
    case FlowAction::kReset:
      return Reset(outcome, info, packet);
    case FlowAction::kDrop:
      break;
  }
  return Drop(outcome.reason);
}

PacketOutcome PacketWorker::Relay(const FlowOutcome& outcome, ByteView packet) {
  const Member* member = m_board.view.Get().Find(outcome.relay_to);
  if (member == nullptr) return Drop(DropReason::kUncertain);
  m_relay_header = m_codec.Write(outcome.relay, packet);
  Increment(&m_counts->relayed);
  return Send(member->relay,
              ByteView(m_relay_header.data(), m_relay_header.size()), packet);
}

PacketOutcome PacketWorker::Reset(const FlowOutcome& outcome,
                                  const PacketInfo& info, ByteView packet) {
  m_reset = BuildReset(info, packet);
  if (m_reset.empty()) return Drop(outcome.reason);
  Increment(&m_counts->resets);
  return Send(m_balancer->m_options.egress, m_reset, {});
}

bool PacketWorker::IsOverLimit(const FlowKey& key, TimePoint now) {
  // The blackboard reader keeps the last configuration alive, so a different
  // configuration always has a different address.
  const Configuration& configuration = m_board.configuration.Get();
  if (&configuration != m_known_configuration) {
    m_known_configuration = &configuration;
    m_has_packet_limits = HasPacketLimits(configuration);
  }
  if (!m_has_packet_limits) return false;
  const Service* service =
      configuration.FindByAddress({key.service, key.protocol});
  if (service == nullptr) return false;
  return !m_balancer->m_admission.AllowPacket(*service, key.caller.address,
                                              now);
}

}  // namespace sardinelead
