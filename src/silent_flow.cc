#include "silent_flow.h"

#include <limits>

namespace sardinelead {
namespace {

// Value of `repeats` once silence has been reported.
constexpr std::uint8_t kSilenceReported =
    std::numeric_limits<std::uint8_t>::max();

}  // namespace

SilenceStatus RecordSegment(const FlowDirectorSettings& settings,
                            const PacketInfo& packet, TimePoint now,
                            TargetProgress* progress, FlowRecord* record) {
  if (packet.key.protocol != Protocol::kTcp) return SilenceStatus::kNone;
  // Unchanged values are not written, so that the cache line stays shared
  // between cores.
  if (record->acknowledgment != packet.tcp_acknowledgment) {
    record->acknowledgment = packet.tcp_acknowledgment;
  }
  const bool needs_acknowledgment =
      packet.payload_bytes > 0 || packet.kind == PacketKind::kTcpClose;
  if (!needs_acknowledgment) return SilenceStatus::kNone;
  if (packet.tcp_sequence != record->sequence) {
    record->sequence = packet.tcp_sequence;
    record->repeats = 0;
    record->repeat_since_s = ToSeconds(now);
    progress->RecordProgress(record->target(), now);
    return SilenceStatus::kNone;
  }
  if (record->repeats == kSilenceReported) return SilenceStatus::kOngoing;
  if (record->repeats < kSilenceReported - 1) ++record->repeats;
  const auto repeated_s =
      static_cast<std::uint16_t>(ToSeconds(now) - record->repeat_since_s);
  if (record->repeats < settings.silent_repeats) return SilenceStatus::kNone;
  const Duration limit = progress->HasRecentProgress(record->target(), now)
                             ? settings.silent_after
                             : settings.silent_without_progress_after;
  // Both timestamps are truncated to whole seconds, so an equal difference may
  // still be short of the limit.
  if (std::chrono::seconds(repeated_s) <= limit) return SilenceStatus::kNone;
  record->repeats = kSilenceReported;
  return SilenceStatus::kDetected;
}

void RecordAnswer(FlowRecord* record) {
  if (record->repeats == 0 || record->repeats == kSilenceReported) return;
  record->repeats = 0;
}

}  // namespace sardinelead
