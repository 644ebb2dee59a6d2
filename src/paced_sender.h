#ifndef SARDINELEAD_SRC_PACED_SENDER_H_
#define SARDINELEAD_SRC_PACED_SENDER_H_

// Sends a balancer's packets no faster than this VM's own link carries them.
//
// Connects LinkModel, PacketScheduler and LinkAdmission with the balancer and
// the packet socket. A packet is sent at once while the link is idle, without
// being copied. Otherwise the scheduler keeps it and OnWake() sends it later;
// each packet that waits, is handed over or is dropped is reported to the
// balancer, since none of that is evidence against a target.
//
// A link whose capacity is unknown, or of kWideLink and more, which cannot be
// the bottleneck of one process, delays, drops and refuses nothing.
//
// A caller's reset drops what waits for its flow and then takes its own turn.
// All other packets of an ended flow stay in the queue: data may precede its
// FIN, and a FIN frees the flow's slot at its target.
//
// Performs no I/O itself and reads no clock. Not thread-safe.

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "link_admission.h"
#include "link_model.h"
#include "packet_scheduler.h"
#include "sardinelead/cookie_balancer.h"
#include "sardinelead/metrics.h"

namespace sardinelead {

class PacedSender {
 public:
  // In bytes per second: 100 Mbit/s.
  static constexpr std::uint64_t kWideLink = 12'500'000;

  struct Hooks {
    // Queues a datagram for the socket. `body` must remain valid until the end
    // of the batch, or until flush() is called.
    std::function<void(const Endpoint& to, ByteView head, ByteView body)> send;
    // Hands all datagrams to the socket.
    std::function<void()> flush;
    // OnWake() is to be called after this time. Replaces an earlier request.
    std::function<void(Duration after)> wake_after;
    // The queue dropped a packet that is not a copy of a waiting one.
    std::function<void(const FlowKey& flow, ScheduleDropReason reason)>
        on_dropped;
  };

  // `capacity` is in bytes per second, 0 if unknown. The pointers are not owned
  // and must outlive this object.
  PacedSender(std::uint64_t capacity, CookieBalancer* balancer,
              Metrics* metrics, Hooks hooks);
  PacedSender(const PacedSender&) = delete;
  PacedSender& operator=(const PacedSender&) = delete;

  // Forwards a packet as the balancer has decided. Must be called before the
  // balancer's next OnPacket().
  void Forward(const FlowPacket& packet, const Endpoint& to, ByteView head,
               ByteView body, TimePoint now);
  // Forwards a copy of a packet to another process than the flow's target.
  void ForwardCopy(const FlowPacket& packet, const Endpoint& to, ByteView head,
                   ByteView body, TimePoint now);
  // Sends a reset to a caller.
  void Reset(const Forwarding& reset, const Endpoint& to, ByteView datagram,
             TimePoint now);
  void OnWake(TimePoint now);
  // A packet was received. While the link is full of received packets, round
  // trips are no evidence of a narrow link.
  void OnReceived(std::size_t bytes, TimePoint now) {
    m_received.Add(bytes);
    m_link.OnReceived(bytes, now);
  }
  // Traffic that is not paced, but takes its time on the link.
  void OnOtherTraffic(std::size_t bytes, TimePoint now);

  // For the balancer's hooks of the same names.
  bool Admits(const Route& route, TimePoint now);
  void OnRequestSize(const Endpoint& service, std::size_t bytes);
  void OnTiming(const FlowTiming& timing, TimePoint now);

  std::size_t queued_packets() const {  // NOLINT
    return m_scheduler.packets();
  }
  // Whether an opening packet may be among those that wait.
  bool HasUrgentQueued() const { return m_scheduler.HasUrgent(); }
  // Updates counters and gauges. Call every second.
  void Publish(TimePoint now);

 private:
  // Packets since the last Publish(), and the counters of all.
  struct Tally {
    std::uint64_t packets = 0;
    std::uint64_t bytes = 0;
    Counter* packet_counter = nullptr;
    Counter* byte_counter = nullptr;

    void Add(std::size_t size) {
      ++packets;
      bytes += size;
    }
    void Publish();
  };
  // Priorities with a histogram of their own; those below share the last one.
  static constexpr std::size_t kTimedPriorities = 8;

  static LinkModelSettings MakeLinkSettings(std::uint64_t capacity);
  PacketSchedulerHooks SchedulerHooks();
  ScheduledPacket Describe(const FlowPacket& packet) const;
  bool PassesIdleLink(std::size_t bytes, TimePoint now);
  void Schedule(const ScheduledPacket& packet, const Endpoint& to,
                ByteView head, ByteView body, TimePoint now);
  void OnSent(const ScheduledPacket& packet, Duration waited);
  void OnDropped(const ScheduledPacket& packet, ScheduleDropReason reason);
  // The counters are called `prefix`_packets_total and `prefix`_bytes_total.
  Tally MakeTally(const std::string& prefix, const Labels& labels);
  void PrepareMetrics();

  CookieBalancer* m_balancer;
  Metrics* m_metrics;
  Hooks m_hooks;
  LinkModel m_link;
  PacketScheduler m_scheduler;
  LinkAdmission m_admission;
  bool m_is_armed = false;  // OnWake() will be called.
  TimePoint m_now;          // Of the call in progress.
  // The packet that is being added to the scheduler.
  const ScheduledPacket* m_added = nullptr;
  Tally m_received;
  Tally m_sent;    // At once.
  Tally m_queued;  // Sent later, or dropped and then counted again.
  // Of the bytes, only data. Indexed by ScheduleDropReason.
  std::array<Tally, static_cast<std::size_t>(ScheduleDropReason::kCount)>
      m_dropped;
  // The first is that of urgent packets. Empty if nothing is paced.
  std::array<Histogram*, kTimedPriorities + 2> m_waits{};
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_PACED_SENDER_H_
