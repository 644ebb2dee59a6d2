#ifndef SARDINELEAD_SRC_FEED_MESSAGE_H_
#define SARDINELEAD_SRC_FEED_MESSAGE_H_

// The messages between FeedPublisher and FeedFollower, as CBOR arrays that
// begin with their type.

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/types.h"

namespace sardinelead {

enum class FeedType : std::uint8_t { kPoll = 1, kReport = 2, kRoutes = 3 };

// From a subscriber: what it has.
struct FeedPoll {
  std::uint64_t epoch = 0;     // Of the control process that it speaks of.
  std::uint64_t revision = 0;  // Of that process's reports.
  ConfigVersion version;
  bool wants_routes = false;
  // Whether it also needs the targets that others of the control processes
  // hear: it has just started.
  bool wants_all = false;
  bool is_control = false;  // Publishes, too.
  std::string data_centre;

  Bytes Encode() const;
};

// A target in a report.
struct ReportedTarget {
  TargetNews news;
  Duration silent{0};  // Since the control process heard it.
  // Whether the target calls that control process now, so that the process
  // tells how long the target is silent.
  bool is_heard = false;
};

struct SilentTarget {
  std::uint32_t cookie = 0;
  Duration silent{0};
};

// How long the targets that call a control process are silent.
struct SilenceReport {
  Duration unlisted{0};  // At most, of all that are not in the list.
  std::vector<SilentTarget> listed;
};

std::shared_ptr<const Bytes> EncodeTargets(
    const std::vector<ReportedTarget>& targets);
Result<std::vector<ReportedTarget>> DecodeTargets(ByteView bytes);

// From a control process.
struct FeedReport {
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;   // All changes up to here are in this report or
  std::uint64_t base = 0;       // were acknowledged up to here before.
  bool has_more = false;        // Changes beyond `revision` follow.
  ConfigVersion version;        // Of the control process's routes.
  std::string data_centre;      // Of the control process.
  std::uint64_t balancers = 0;  // Of the subscriber's data centre.
  std::vector<NodeId> members;  // Control VMs; empty where not told.
  // EncodeTargets() of what changed: encoded once for many subscribers.
  std::shared_ptr<const Bytes> changed = EncodeTargets({});
  std::optional<SilenceReport> silence;

  Bytes Encode() const;
};

// EncodeRouteTable() of the routes.
struct FeedRoutes {
  Bytes table;

  Bytes Encode() const;
};

using FeedMessage = std::variant<FeedPoll, FeedReport, FeedRoutes>;
Result<FeedMessage> DecodeFeedMessage(ByteView body);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_FEED_MESSAGE_H_
