#ifndef SARDINELEAD_TARGET_FEED_H_
#define SARDINELEAD_TARGET_FEED_H_

// The protocol that distributes targets and routes from the control VMs to the
// balancers. Targets announce themselves to the control VMs.
//
// Each balancer subscribes to every control VM by polling it once a second; a
// poll states which revisions the balancer has. Each control VM pushes updates
// that it received from targets itself, immediately, and retransmits each until
// the balancer acknowledges it: changed targets as records with a revision, and
// the version of its routes. A balancer with older routes then requests what
// has changed since its version, or the whole table, from one control VM. Twice
// a second a control VM reports which of the targets that send heartbeats to it
// are silent, and for how long; all others are alive. Control VMs subscribe to
// each other in the same way. A report lists the control VMs that are
// subscribed to its sender, so a balancer that knows one of them learns of the
// others.
//
// A poll also states the version of the evacuations that the balancer has. A
// control VM with a newer version adds its whole table to each report, at once
// after a change and again until a poll acknowledges it. Balancers keep the
// table with the highest version.
//
// Targets that a control VM knows only from other control VMs are sent only to
// subscribers that have just started. Thus a new subscriber gets all targets
// from whichever control VM answers first, while each side of a partition
// relies on what it receives itself.
//
// Cost: each control VM sends each balancer a report of about 90 bytes every
// half second, regardless of the number of targets, and a record of about 70
// bytes for each change.
//
// FeedPublisher and FeedFollower perform no I/O and are not thread-safe.

#include <memory>
#include <string>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

struct FeedSettings {
  NodeId self;
  std::string data_centre;
  Duration poll_interval = std::chrono::seconds(1);
  Duration report_interval = std::chrono::milliseconds(500);
  Duration retransmit_interval = std::chrono::milliseconds(150);
  // Changes are sent to all subscribers in batches, so that simultaneous
  // changes share a report. The interval between batches is
  // `interval_per_subscriber` times the number of subscribers, which limits the
  // publisher to one report per `interval_per_subscriber`, clamped to
  // [`min_batch_interval`, `max_batch_interval`].
  Duration min_batch_interval = std::chrono::milliseconds(40);
  Duration interval_per_subscriber = std::chrono::microseconds(700);
  Duration max_batch_interval = std::chrono::seconds(1);
  // A target whose heartbeat was received within this time is not listed as
  // silent. Must exceed the heartbeat interval of targets.
  Duration silence_list_threshold = std::chrono::milliseconds(1200);
  bool is_control = false;  // The follower is a control VM, so also publishes.
  // A subscriber that has not polled for this long is removed.
  Duration subscriber_timeout = std::chrono::seconds(5);
  // A control VM that has not reported for this long is considered silent.
  Duration source_timeout = std::chrono::milliseconds(1300);
  // Whether a target's silence is measured in FeedFollower::CoveredTime(),
  // which advances only while a majority of control VMs is reachable.
  bool counts_covered_time = true;
  // After the first report a balancer waits at most this long for the other
  // control VMs before it is ready.
  Duration startup_wait = std::chrono::milliseconds(1500);
};

// What brings a subscriber's routes up to date, encoded once for all
// subscribers.
struct RouteUpdate {
  // Outputs of EncodeRouteChange(), each based on the one before. Empty if the
  // whole table is needed.
  std::vector<std::shared_ptr<const Bytes>> changes;
  // The output of EncodeRouteTable() if `changes` is empty.
  std::shared_ptr<const Bytes> table;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TARGET_FEED_H_
