#include "packet_scheduler.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace sardinelead {

const char* Name(ScheduleResult result) {
  static constexpr std::array<const char*, 4> kNames = {"send-now", "queued",
                                                        "duplicate", "dropped"};
  return kNames[static_cast<std::size_t>(result)];
}

const char* Name(ScheduleDropReason reason) {
  static constexpr std::array<const char*, static_cast<std::size_t>(
                                               ScheduleDropReason::kCount)>
      kNames = {"duplicate", "queue-full", "expired", "flow-ended"};
  return kNames[static_cast<std::size_t>(reason)];
}

PacketScheduler::PacketScheduler(const PacketSchedulerSettings& settings,
                                 LinkModel* link, Hooks hooks)
    : m_settings(settings), m_link(link), m_hooks(std::move(hooks)) {}

ScheduleResult PacketScheduler::Add(const ScheduledPacket& packet,
                                    const Endpoint& to, ByteView head,
                                    ByteView body, TimePoint now) {
  m_now = now;
  const std::size_t size = head.size + body.size;
  const PacketRank rank = RankOf(packet);
  if (IsCopyOfWaiting(packet, now)) {
    ReportDropped(packet, ScheduleDropReason::kDuplicate);
    return ScheduleResult::kDuplicate;
  }
  if (CanPass(rank, size, now)) {
    CountSent(size, now);
    if (m_hooks.on_sent) m_hooks.on_sent(packet, Duration(0));
    return ScheduleResult::kSendNow;
  }
  if (!MakeRoom(rank, size, now)) {
    ReportDropped(packet, ScheduleDropReason::kQueueFull);
    return ScheduleResult::kDropped;
  }
  WaitingPacket waiting;
  waiting.packet = packet;
  waiting.to = to;
  waiting.datagram.reserve(size);
  waiting.datagram.assign(head.begin(), head.end());
  waiting.datagram.insert(waiting.datagram.end(), body.begin(), body.end());
  waiting.head_size = head.size;
  waiting.since = now;
  m_waiting.emplace(packet);
  m_bytes += size;
  const RankQueueSettings turns{m_settings.turn_bytes,
                                m_settings.flow_turn_bytes,
                                m_settings.first_turn_bytes};
  m_ranks.try_emplace(rank, turns).first->second.Push(std::move(waiting));
  return ScheduleResult::kQueued;
}

bool PacketScheduler::IsCopyOfWaiting(const ScheduledPacket& packet,
                                      TimePoint now) {
  const PacketIdentity identity(packet);
  if (m_ranks.empty() || m_waiting.count(identity) == 0) return false;
  // A copy of a packet that will expire unsent must not be dropped.
  DropFirstOf(packet.flow, ScheduleDropReason::kExpired,
              [this, now](const WaitingPacket& waiting) {
                return IsExpired(waiting, now);
              });
  return m_waiting.count(identity) != 0;
}

bool PacketScheduler::CanPass(PacketRank rank, std::size_t size,
                              TimePoint now) {
  if (!m_ranks.empty()) {
    if (m_ranks.begin()->first <= rank) return false;
    if (FindOverdueBelow(rank, now) != m_ranks.end()) return false;
  }
  return m_link->CanSend(size, now);
}

bool PacketScheduler::MakeRoom(PacketRank rank, std::size_t size,
                               TimePoint now) {
  const auto fits = [this, size] {
    return m_waiting.size() < m_settings.max_packets &&
           m_bytes + size <= m_settings.max_bytes;
  };
  if (fits()) return true;
  DropExpired(now);
  while (!fits()) {
    if (m_ranks.empty() || m_ranks.rbegin()->first < rank) return false;
    const auto lowest = std::prev(m_ranks.end());
    Drop(&lowest->second, lowest->second.Oldest(),
         ScheduleDropReason::kQueueFull);
    if (lowest->second.empty()) m_ranks.erase(lowest);
  }
  return true;
}

std::optional<TimePoint> PacketScheduler::Release(TimePoint now) {
  m_now = now;
  DropExpired(now);
  while (!m_ranks.empty()) {
    const Chosen chosen = Choose(now);
    if (IsExpired(*chosen.packet, now)) {
      Drop(&chosen.rank->second, chosen.packet, ScheduleDropReason::kExpired);
      if (chosen.rank->second.empty()) m_ranks.erase(chosen.rank);
      continue;
    }
    const std::size_t size = chosen.packet->datagram.size();
    if (!m_link->CanSend(size, now)) return m_link->NextSend(size, now);
    Send(chosen, now);
  }
  return std::nullopt;
}

PacketScheduler::Chosen PacketScheduler::Choose(TimePoint now) {
  const auto first = m_ranks.begin();
  const auto overdue = FindOverdueBelow(first->first, now);
  const auto rank = overdue != m_ranks.end() ? overdue : first;
  return {rank, rank->second.Next()};
}

// Returns the rank below `rank` whose oldest packet is overdue and has waited
// for the longest time, if the share of overdue packets allows one now. None
// is sent before urgent packets.
PacketScheduler::Ranks::iterator PacketScheduler::FindOverdueBelow(
    PacketRank rank, TimePoint now) {
  auto found = m_ranks.end();
  if (rank == kUrgentRank || m_overdue_credit < 0) return found;
  TimePoint oldest = now - m_settings.overdue_after;
  for (auto i = m_ranks.upper_bound(rank); i != m_ranks.end(); ++i) {
    const TimePoint since = i->second.Oldest()->since;
    if (since >= oldest) continue;
    oldest = since;
    found = i;
  }
  return found;
}

void PacketScheduler::Send(const Chosen& chosen, TimePoint now) {
  WaitingPacket* packet = chosen.packet;
  const std::size_t size = packet->datagram.size();
  const bool is_overdue = chosen.rank != m_ranks.begin();
  CountSent(size, now);
  if (is_overdue) {
    m_overdue_credit -=
        static_cast<std::int64_t>(size * (m_settings.overdue_divisor - 1));
  }
  const ByteView head(packet->datagram.data(), packet->head_size);
  const ByteView body(packet->datagram.data() + packet->head_size,
                      size - packet->head_size);
  m_hooks.send(packet->to, head, body);
  if (m_hooks.on_sent) m_hooks.on_sent(packet->packet, now - packet->since);
  RemoveFromIndex(*packet);
  chosen.rank->second.RemoveSent(packet);
  if (chosen.rank->second.empty()) m_ranks.erase(chosen.rank);
}

void PacketScheduler::CountSent(std::size_t size, TimePoint now) {
  m_link->OnSent(size, now);
  m_overdue_credit = std::min<std::int64_t>(
      m_overdue_credit + static_cast<std::int64_t>(size), 0);
}

void PacketScheduler::RemoveFlow(const FlowKey& flow) {
  DropFirstOf(flow, ScheduleDropReason::kFlowEnded,
              [](const WaitingPacket&) { return true; });
}

template <typename Predicate>
void PacketScheduler::DropFirstOf(const FlowKey& flow,
                                  ScheduleDropReason reason,
                                  Predicate is_dropped) {
  for (auto rank = m_ranks.begin(); rank != m_ranks.end();) {
    WaitingPacket* packet = rank->second.FirstOf(flow);
    while (packet != nullptr && is_dropped(*packet)) {
      Drop(&rank->second, packet, reason);
      packet = rank->second.FirstOf(flow);
    }
    rank = rank->second.empty() ? m_ranks.erase(rank) : std::next(rank);
  }
}

void PacketScheduler::DropExpired(TimePoint now) {
  for (auto rank = m_ranks.begin(); rank != m_ranks.end();) {
    WaitingPacket* oldest = rank->second.Oldest();
    while (oldest != nullptr && IsExpired(*oldest, now)) {
      Drop(&rank->second, oldest, ScheduleDropReason::kExpired);
      oldest = rank->second.Oldest();
    }
    rank = oldest == nullptr ? m_ranks.erase(rank) : std::next(rank);
  }
}

void PacketScheduler::Drop(RankQueue* rank, WaitingPacket* packet,
                           ScheduleDropReason reason) {
  ReportDropped(packet->packet, reason);
  RemoveFromIndex(*packet);
  rank->RemoveDropped(packet);
}

bool PacketScheduler::IsExpired(const WaitingPacket& packet,
                                TimePoint now) const {
  const Duration own = packet.packet.max_wait;
  const Duration limit = own > Duration(0) ? own : m_settings.max_wait;
  return now - packet.since > limit;
}

void PacketScheduler::RemoveFromIndex(const WaitingPacket& packet) {
  m_waiting.erase(PacketIdentity(packet.packet));
  m_bytes -= packet.datagram.size();
}

void PacketScheduler::ReportDropped(const ScheduledPacket& packet,
                                    ScheduleDropReason reason) {
  if (m_hooks.on_dropped) m_hooks.on_dropped(packet, reason);
}

Duration PacketScheduler::ExpectedWait(std::uint32_t priority,
                                       TimePoint now) const {
  std::size_t ahead = 0;
  bool has_lower = false;
  for (const auto& [rank, queue] : m_ranks) {
    if (rank > RankOfPriority(priority)) {
      has_lower = true;
      break;
    }
    ahead += queue.bytes() + queue.packets() * m_link->overhead();
  }
  auto bytes = static_cast<double>(ahead);
  if (has_lower && m_settings.overdue_divisor > 1) {
    const auto divisor = static_cast<double>(m_settings.overdue_divisor);
    bytes *= divisor / (divisor - 1);
  }
  return m_link->Backlog(now) + m_link->TimeFor(bytes);
}

}  // namespace sardinelead
