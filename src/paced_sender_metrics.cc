// The metrics of a PacedSender. Packets are counted in plain integers, so that
// counting costs little on the path of an idle link, and published every
// second.

#include <limits>
#include <string>
#include <utility>

#include "link_units.h"
#include "paced_sender.h"

namespace sardinelead {
namespace {

constexpr char kPrefix[] = "sardinelead_link";

}  // namespace

void PacedSender::PrepareMetrics() {
  m_metrics->Describe("sardinelead_link_packets_total",
                      "Packets by what became of them at this VM's link.");
  m_metrics->Describe("sardinelead_link_wait_seconds",
                      "Waits of the packets that had to wait for the link.");
  m_received = MakeTally("sardinelead_link_received", {});
  m_sent = MakeTally(kPrefix, {{"result", "sent"}});
  m_queued = MakeTally(kPrefix, {{"result", "queued"}});
  for (std::size_t i = 0; i < m_dropped.size(); ++i) {
    const auto reason = static_cast<ScheduleDropReason>(i);
    const char* prefix =
        reason == ScheduleDropReason::kDuplicate ? "" : "dropped-";
    m_dropped[i] =
        MakeTally(kPrefix, {{"result", std::string(prefix) + Name(reason)}});
  }
  if (!m_link.IsLimited()) return;
  for (std::size_t i = 0; i < m_waits.size(); ++i) {
    std::string priority = "urgent";
    if (i > 0) priority = std::to_string(i - 1);
    if (i > kTimedPriorities) priority = "lower";
    m_waits[i] = m_metrics->FindHistogram("sardinelead_link_wait_seconds",
                                          {{"priority", priority}});
  }
}

PacedSender::Tally PacedSender::MakeTally(const std::string& prefix,
                                          const Labels& labels) {
  Tally tally;
  tally.packet_counter =
      m_metrics->FindCounter(prefix + "_packets_total", labels);
  tally.byte_counter = m_metrics->FindCounter(prefix + "_bytes_total", labels);
  return tally;
}

void PacedSender::Tally::Publish() {
  packet_counter->Add(std::exchange(packets, 0));
  byte_counter->Add(std::exchange(bytes, 0));
}

void PacedSender::Publish(TimePoint now) {
  m_received.Publish();
  m_sent.Publish();
  m_queued.Publish();
  for (Tally& tally : m_dropped) tally.Publish();
  const auto set = [this](const char* name, double value) {
    m_metrics->FindGauge(name, {})->Set(value);
  };
  // The wait of the lowest rank is the time until the link is idle.
  const Duration backlog =
      m_scheduler.ExpectedWait(std::numeric_limits<std::uint32_t>::max(), now);
  set("sardinelead_link_backlog_seconds", Seconds(backlog));
  set("sardinelead_link_capacity_bytes_per_second", m_link.capacity());
  set("sardinelead_link_rate_bytes_per_second", m_link.rate());
  set("sardinelead_link_queued_packets",
      static_cast<double>(m_scheduler.packets()));
}

}  // namespace sardinelead
