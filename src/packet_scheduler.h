#ifndef SARDINELEAD_SRC_PACKET_SCHEDULER_H_
#define SARDINELEAD_SRC_PACKET_SCHEDULER_H_

// Orders the packets that wait for a narrow link and paces them by its model.
//
// Urgent packets are first, then the priorities in order. Within a rank, the
// service addresses take turns, then their callers, then their flows; packets
// of one flow and rank stay in order. The calling code calls Release() at the
// time that the last call returned, and after an Add() that returned kQueued
// if no call is due.
//
// Each packet given to Add() is reported exactly once: through `on_sent` if it
// was sent (with a wait of 0 if Add() returned kSendNow), or through
// `on_dropped`, also for a copy or a packet that Add() drops. Hooks must not
// call the scheduler. Not thread-safe.

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <unordered_set>

#include "link_model.h"
#include "rank_queue.h"
#include "sardinelead/types.h"
#include "scheduled_packet.h"

namespace sardinelead {

enum class ScheduleResult : std::uint8_t {
  kSendNow,
  kQueued,
  kDuplicate,
  kDropped,
};
const char* Name(ScheduleResult result);

enum class ScheduleDropReason : std::uint8_t {
  kDuplicate,  // A copy of a packet that is waiting.
  kQueueFull,  // The bound in packets or bytes was reached.
  kExpired,    // It waited longer than its limit.
  kFlowEnded,
  kCount,
};
const char* Name(ScheduleDropReason reason);

struct PacketSchedulerSettings {
  std::size_t max_packets = 1024;
  std::size_t max_bytes = 1 << 20;
  Duration max_wait = std::chrono::seconds(2);
  // A packet that has waited longer is sent before data of higher ranks. Such
  // packets together take at most one of `overdue_divisor` bytes.
  Duration overdue_after = std::chrono::milliseconds(400);
  std::size_t overdue_divisor = 4;  // At least 1.
  // Bytes that a service or caller sends before the next one's turn; the
  // request that it is sending is completed. At least 1.
  std::size_t turn_bytes = 12'000;
  // Bytes that a flow sends before the caller's next flow. A request that is
  // longer shares the link with others, and all of them finish late.
  std::size_t flow_turn_bytes = 64'000;  // At least 1.
  // A service, caller or flow that begins to wait sends this much before those
  // that wait already; 0 puts it behind them.
  std::size_t first_turn_bytes = 1000;
};

struct PacketSchedulerHooks {
  // Hands a datagram to the socket. The views are valid during the call only.
  std::function<void(const Endpoint& to, ByteView head, ByteView body)> send;
  std::function<void(const ScheduledPacket& packet, Duration waited)> on_sent;
  std::function<void(const ScheduledPacket& packet, ScheduleDropReason reason)>
      on_dropped;
};

class PacketScheduler {
 public:
  using Hooks = PacketSchedulerHooks;

  // `link` is not owned. Hooks other than `send` may be empty.
  PacketScheduler(const PacketSchedulerSettings& settings, LinkModel* link,
                  Hooks hooks);
  PacketScheduler(const PacketScheduler&) = delete;
  PacketScheduler& operator=(const PacketScheduler&) = delete;

  // On kSendNow, the calling code sends the packet, which is charged to the
  // link already. Otherwise, head and body were copied or dropped.
  ScheduleResult Add(const ScheduledPacket& packet, const Endpoint& to,
                     ByteView head, ByteView body, TimePoint now);
  // Sends what the link can carry now. Returns the time of the next call if
  // packets wait.
  std::optional<TimePoint> Release(TimePoint now);
  // Drops all waiting packets of a flow. Call it before adding the packet that
  // ends the flow, such as a reset, and not for a FIN, which may arrive while
  // data of its flow waits.
  void RemoveFlow(const FlowKey& flow);

  std::size_t packets() const { return m_waiting.size(); }  // NOLINT
  std::size_t bytes() const { return m_bytes; }             // NOLINT
  bool HasUrgent() const { return m_ranks.count(kUrgentRank) != 0; }
  // How long a packet of this priority would wait if it were added at `now`
  // and nothing followed.
  Duration ExpectedWait(std::uint32_t priority, TimePoint now) const;
  // Same as above, at the time of the last Add or Release.
  Duration ExpectedWait(std::uint32_t priority) const {
    return ExpectedWait(priority, m_now);
  }

 private:
  using Ranks = std::map<PacketRank, RankQueue>;
  struct Chosen {
    Ranks::iterator rank;
    WaitingPacket* packet = nullptr;
  };

  // Whether a copy of the packet waits. Drops one that has expired.
  bool IsCopyOfWaiting(const ScheduledPacket& packet, TimePoint now);
  bool CanPass(PacketRank rank, std::size_t size, TimePoint now);
  bool MakeRoom(PacketRank rank, std::size_t size, TimePoint now);
  Ranks::iterator FindOverdueBelow(PacketRank rank, TimePoint now);
  Chosen Choose(TimePoint now);
  void Send(const Chosen& chosen, TimePoint now);
  void Drop(RankQueue* rank, WaitingPacket* packet, ScheduleDropReason reason);
  void DropExpired(TimePoint now);
  // Drops the packets of a flow up to the first one that `is_dropped` is false
  // for, in each rank.
  template <typename Predicate>
  void DropFirstOf(const FlowKey& flow, ScheduleDropReason reason,
                   Predicate is_dropped);
  bool IsExpired(const WaitingPacket& packet, TimePoint now) const;
  void RemoveFromIndex(const WaitingPacket& packet);
  void ReportDropped(const ScheduledPacket& packet, ScheduleDropReason reason);
  void CountSent(std::size_t size, TimePoint now);

  PacketSchedulerSettings m_settings;
  LinkModel* m_link;
  Hooks m_hooks;
  Ranks m_ranks;  // Without empty ones.
  std::unordered_set<PacketIdentity, PacketIdentityHash> m_waiting;
  std::size_t m_bytes = 0;
  TimePoint m_now;
  // At most 0. Overdue packets may be sent before those of higher ranks if it
  // is 0. Each packet that is sent adds its size; an overdue one deducts
  // `overdue_divisor` - 1 times its size.
  std::int64_t m_overdue_credit = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_PACKET_SCHEDULER_H_
