#ifndef SARDINELEAD_TARGET_FEED_H_
#define SARDINELEAD_TARGET_FEED_H_

// How balancers learn of targets and routes from the control VMs, where targets
// announce themselves to those.
//
// Each balancer subscribes to every control VM: its polls, once a second, say
// what it has. Each control VM pushes what it heard itself, at once, until the
// balancer has it: changed targets as records under a revision, and the version
// of its routes, which a balancer that is behind then asks one control VM for.
// Twice a second it says which of the targets that call it are silent, and for
// how long; all others live. Control VMs follow each other in the same way, and
// are known to balancers once a control VM that they know follows them. The
// targets that a control VM only learned of go to subscribers that have just
// started: these learn all from whoever answers first, and each side of a
// partition goes by what it hears itself.
//
// Cost with c control VMs and b balancers: a report of some 90 bytes every half
// second from each control VM to each balancer, whatever the number of targets,
// and a record of some 70 bytes to each balancer for each change.
//
// Both ends are sans-I/O and for one thread.

#include <memory>
#include <string>

#include "sardinelead/types.h"

namespace sardinelead {

struct FeedSettings {
  NodeId self;
  std::string data_centre;
  Duration poll_interval = std::chrono::seconds(1);
  Duration report_interval = std::chrono::milliseconds(500);
  Duration repeat_interval = std::chrono::milliseconds(150);
  // Between two rounds of news to all subscribers, so that changes that come
  // together share one: `report_gap`, and longer with many subscribers, so that
  // one publisher sends at most a report in `report_spacing`, but not above
  // `max_report_gap`.
  Duration report_gap = std::chrono::milliseconds(40);
  Duration report_spacing = std::chrono::microseconds(700);
  Duration max_report_gap = std::chrono::seconds(1);
  // A target that called later than this ago is not listed as silent. Longer
  // than between two of its heartbeats.
  Duration unlisted_silence = std::chrono::milliseconds(1200);
  bool is_control = false;  // The follower publishes, too.
  // A subscriber that did not poll, a control VM that did not report, for this
  // long is taken to be away.
  Duration subscription = std::chrono::seconds(5);
  Duration silence = std::chrono::milliseconds(1300);
  // Whether a target's silence counts only while most control VMs are heard.
  bool counts_covered_time = true;
  // After its first report a balancer waits this long for other control VMs
  // before it goes by what it has.
  Duration gathering = std::chrono::milliseconds(1500);
};

// The routes of a control VM, encoded once for all subscribers.
struct EncodedRoutes {
  ConfigVersion version;
  std::shared_ptr<const Bytes> bytes;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TARGET_FEED_H_
