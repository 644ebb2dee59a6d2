// Compares orders of the packets that wait for a narrow link on one trace:
// waits by rank, requests within their objectives, lost packets.

#include <algorithm>
#include <cmath>
#include <deque>
#include <string>
#include <unordered_set>

#include "bench.h"
#include "link_trace.h"
#include "packet_scheduler.h"

namespace sardinelead::bench {
namespace {

struct PlainSettings {
  bool by_rank = false;  // Strict priority; otherwise first in, first out.
  bool drops_copies = false;
};

// With the bounds of the scheduler in packets and bytes; the tail is dropped.
class PlainOrder : public LinkOrder {
 public:
  PlainOrder(const PlainSettings& settings, LinkModel* link, OnSent on_sent)
      : m_settings(settings), m_link(link), m_on_sent(std::move(on_sent)) {}

  bool Add(const ScheduledPacket& packet, std::size_t size,
           TimePoint now) override {
    const PacketSchedulerSettings bounds;
    if (m_packets >= bounds.max_packets || m_bytes + size > bounds.max_bytes) {
      return false;
    }
    if (!m_waiting.emplace(packet).second && m_settings.drops_copies) {
      return true;
    }
    m_queues[m_settings.by_rank ? RankOf(packet) : 0].push_back(
        {packet, size, now});
    ++m_packets;
    m_bytes += size;
    Release(now);
    return true;
  }

  void Release(TimePoint now) override {
    for (auto& [rank, queue] : m_queues) {
      while (!queue.empty()) {
        const Waiting next = queue.front();
        if (!m_link->CanSend(next.size, now)) return;
        queue.pop_front();
        m_waiting.erase(PacketIdentity(next.packet));
        --m_packets;
        m_bytes -= next.size;
        m_link->OnSent(next.size, now);
        m_on_sent(next.packet, now - next.since);
      }
    }
  }

 private:
  struct Waiting {
    ScheduledPacket packet;
    std::size_t size = 0;
    TimePoint since;
  };

  PlainSettings m_settings;
  LinkModel* m_link;
  OnSent m_on_sent;
  std::map<PacketRank, std::deque<Waiting>> m_queues;
  std::unordered_set<PacketIdentity, PacketIdentityHash> m_waiting;
  std::size_t m_packets = 0;
  std::size_t m_bytes = 0;
};

class ScheduledOrder : public LinkOrder {
 public:
  ScheduledOrder(const PacketSchedulerSettings& settings, LinkModel* link,
                 OnSent on_sent)
      : m_scheduler(settings, link,
                    {[](const Endpoint&, ByteView, ByteView) {},
                     std::move(on_sent),
                     {}}) {}

  bool Add(const ScheduledPacket& packet, std::size_t size,
           TimePoint now) override {
    const Bytes body(size);
    return m_scheduler.Add(packet, Endpoint(), {}, body, now) !=
           ScheduleResult::kDropped;
  }
  void Release(TimePoint now) override { m_scheduler.Release(now); }

 private:
  PacketScheduler m_scheduler;
};

MakeLinkOrder Plain(const PlainSettings& settings) {
  return [settings](LinkModel* link, LinkOrder::OnSent on_sent) {
    return std::make_unique<PlainOrder>(settings, link, std::move(on_sent));
  };
}

MakeLinkOrder Scheduled(const PacketSchedulerSettings& settings) {
  return [settings](LinkModel* link, LinkOrder::OnSent on_sent) {
    return std::make_unique<ScheduledOrder>(settings, link, std::move(on_sent));
  };
}

// Turns of one packet, as in plain round robin.
PacketSchedulerSettings PacketTurns() {
  PacketSchedulerSettings settings;
  settings.turn_bytes = 1;
  settings.flow_turn_bytes = 1;
  settings.first_turn_bytes = 0;
  return settings;
}

PacketSchedulerSettings WithoutFirstTurn() {
  PacketSchedulerSettings settings;
  settings.first_turn_bytes = 0;
  return settings;
}

double Quantile(std::vector<double> values, double quantile) {
  if (values.empty()) return 0;
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[std::lround(quantile * last)];
}

void Add(const TraceResult& one, TraceResult* all) {
  for (std::size_t kind = 0; kind < kTraceKinds; ++kind) {
    auto& waits = all->waits_ms[kind];
    waits.insert(waits.end(), one.waits_ms[kind].begin(),
                 one.waits_ms[kind].end());
  }
  all->uploads += one.uploads;
  all->uploads_in_time += one.uploads_in_time;
  all->uploads_finished += one.uploads_finished;
  all->shorts += one.shorts;
  all->shorts_in_time += one.shorts_in_time;
  all->copies_sent += one.copies_sent;
  all->lost += one.lost;
}

void Print(const std::string& name, const TraceResult& result,
           FigureSink* sink) {
  static constexpr std::array<const char*, kTraceKinds> kKinds = {
      "urgent", "priority_0", "priority_1", "priority_2", "upload"};
  for (std::size_t kind = 0; kind < kTraceKinds; ++kind) {
    const std::string what = name + "." + kKinds[kind];
    sink->Print(what + "_wait_p50", Quantile(result.waits_ms[kind], 0.5), "ms");
    sink->Print(what + "_wait_p99", Quantile(result.waits_ms[kind], 0.99),
                "ms");
  }
  const auto share = [](int part, int of) {
    return static_cast<double>(part) / static_cast<double>(of);
  };
  sink->Print(name + ".uploads_within_800_ms",
              share(result.uploads_in_time, result.uploads), "share");
  sink->Print(name + ".uploads_finished",
              share(result.uploads_finished, result.uploads), "share");
  sink->Print(name + ".shorts_within_150_ms",
              share(result.shorts_in_time, result.shorts), "share");
  sink->Print(name + ".copies_sent", static_cast<double>(result.copies_sent),
              "packets");
  sink->Print(name + ".lost", static_cast<double>(result.lost), "packets");
}

void Run(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  const std::vector<std::pair<std::string, MakeLinkOrder>> orders = {
      {"fifo", Plain({})},
      {"fifo_without_copies", Plain({false, true})},
      {"strict_priority", Plain({true, false})},
      {"strict_without_copies", Plain({true, true})},
      {"packet_turns", Scheduled(PacketTurns())},
      {"no_first_turn", Scheduled(WithoutFirstTurn())},
      {"scheduler", Scheduled(PacketSchedulerSettings())},
  };
  for (const int uploads : {8, 16}) {
    for (const auto& [name, make] : orders) {
      TraceResult all;
      for (const std::uint64_t seed : seeds) {
        TraceSettings settings;
        settings.seed = seed;
        settings.uploads_per_burst = uploads;
        Add(PlayTrace(settings, make), &all);
      }
      Print("uploads_" + std::to_string(uploads) + "." + name, all, sink);
    }
  }
}

const Registration kRegistration("link", Run);

}  // namespace
}  // namespace sardinelead::bench
