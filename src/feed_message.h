#ifndef SARDINELEAD_SRC_FEED_MESSAGE_H_
#define SARDINELEAD_SRC_FEED_MESSAGE_H_

// The messages between FeedPublisher and FeedFollower. Each is encoded as a
// CBOR array whose first element is its type.

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/evacuation.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/types.h"

namespace sardinelead {

enum class FeedType : std::uint8_t {
  kPoll = 1,
  kReport = 2,
  kRoutes = 3,
  kRouteChanges = 4,
};

// Sent by a subscriber to state what it has.
struct FeedPoll {
  std::uint64_t epoch = 0;     // Epoch of the control VM polled.
  std::uint64_t revision = 0;  // Last revision received from that VM.
  ConfigVersion version;
  bool wants_routes = false;
  // Also requests the targets that send heartbeats only to other control VMs.
  // Set by a subscriber that has just started.
  bool wants_all_targets = false;
  bool is_control = false;  // The subscriber is a control VM.
  std::string data_centre;
  // The subscriber reads FeedRouteChanges; earlier versions do not send this
  // field.
  bool accepts_changes = false;
  // Version of the evacuations that the subscriber has. Not sent if 0, as by
  // earlier versions.
  std::uint64_t evacuations = 0;

  Bytes Encode() const;
};

// A target in a report.
struct ReportedTarget {
  TargetAnnouncement announcement;
  Duration silent{0};  // Time since the control VM received its heartbeat.
  // Whether the target sends heartbeats to that control VM now. If so, the VM
  // includes it in its SilenceReport.
  bool is_heard = false;
  // The grant for this start of the target, if there is one. Earlier versions
  // ignore it.
  std::optional<WarmUpShares> warm_up_shares = {};
};

struct SilentTarget {
  std::uint32_t short_number = 0;  // See ShortNumberOf().
  Duration silent{0};
};

// How long ago a control VM received the last heartbeat of each target that
// sends it heartbeats.
struct SilenceReport {
  Duration max_unlisted{0};  // Upper bound for targets not in `listed`.
  std::vector<SilentTarget> listed;
};

// Size of a target's encoding in bytes, at most.
std::size_t EncodedSizeLimit(const TargetAnnouncement& announcement);

std::shared_ptr<const Bytes> EncodeTargets(
    const std::vector<ReportedTarget>& targets);

// A list of targets as decoded. An entry that cannot be read is left out, so
// that it does not hide the others.
struct DecodedTargets {
  std::vector<ReportedTarget> targets;
  std::size_t unreadable = 0;  // Number of entries left out.
};
// Returns kMalformed if the bytes are not a list.
Result<DecodedTargets> DecodeTargets(ByteView bytes);

Bytes EncodeEvacuations(const EvacuationReport& evacuations);
Result<EvacuationReport> DecodeEvacuations(ByteView bytes);

// Sent by a control VM to a subscriber.
struct FeedReport {
  std::uint64_t epoch = 0;
  // All changes after `base` up to `revision` are in this report; those up to
  // `base` were acknowledged before.
  std::uint64_t revision = 0;
  std::uint64_t base = 0;
  bool has_more = false;        // Changes after `revision` follow.
  ConfigVersion version;        // Of the control VM's routes.
  std::string data_centre;      // Of the control VM.
  std::uint64_t balancers = 0;  // In the subscriber's data centre.
  std::vector<NodeId> members;  // Control VMs; empty if omitted.
  // EncodeTargets() of the changed targets, shared by many subscribers.
  std::shared_ptr<const Bytes> changed = EncodeTargets({});
  std::optional<SilenceReport> silence;
  // Output of EncodeEvacuations(); empty if omitted. It is decoded separately,
  // so that evacuations that cannot be read do not hide the targets.
  Bytes evacuations;

  Bytes Encode() const;
};

// `table` is the output of EncodeRouteTable().
struct FeedRoutes {
  Bytes table;

  Bytes Encode() const;
};

// Each element is the output of EncodeRouteChange(), based on the one before.
struct FeedRouteChanges {
  std::vector<std::shared_ptr<const Bytes>> changes;

  Bytes Encode() const;
};

using FeedMessage =
    std::variant<FeedPoll, FeedReport, FeedRoutes, FeedRouteChanges>;
Result<FeedMessage> DecodeFeedMessage(ByteView body);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FEED_MESSAGE_H_
