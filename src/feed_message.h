#ifndef SARDINELEAD_SRC_FEED_MESSAGE_H_
#define SARDINELEAD_SRC_FEED_MESSAGE_H_

// The messages between FeedPublisher and FeedFollower, as CBOR arrays that
// begin with their type.

#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/types.h"

namespace sardinelead {

enum class FeedType : std::uint8_t { kPoll = 1, kReport = 2, kRoutes = 3 };

// From a balancer: what it has.
struct FeedPoll {
  std::uint64_t epoch = 0;     // Of the control process that it speaks of.
  std::uint64_t revision = 0;  // Of that process's directory.
  ConfigVersion version;
  bool wants_routes = false;
  std::string data_centre;

  Bytes Encode() const;
};

// A target in a report.
struct ReportedTarget {
  TargetNews news;
  Duration silent{0};  // Since the control process heard it.
};

struct LivingTarget {
  std::uint32_t cookie = 0;
  Duration silent{0};
};

// From a control process.
struct FeedReport {
  std::uint64_t epoch = 0;
  std::uint64_t revision = 0;  // All changes up to here are in this report or
  std::uint64_t base = 0;      // were acknowledged up to here before.
  ConfigVersion version;       // Of the control process's routes.
  std::string data_centre;     // Of the control process.
  std::uint64_t balancers = 0;
  std::vector<NodeId> members;
  std::vector<ReportedTarget> changed;
  std::vector<LivingTarget> living;

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
