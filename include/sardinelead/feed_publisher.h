#ifndef SARDINELEAD_FEED_PUBLISHER_H_
#define SARDINELEAD_FEED_PUBLISHER_H_

// The control VM's end of the feed; target_feed.h says how both work together.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sardinelead/message.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/target_feed.h"
#include "sardinelead/types.h"

namespace sardinelead {

// A balancer, or another control VM, that follows a control VM.
struct SubscriberStatus {
  NodeId node;
  std::string data_centre;
  bool is_control = false;
  ConfigVersion version;  // Of the routes that it has.
  Duration silent{0};     // Since its last poll.
};

class FeedPublisher {
 public:
  struct Hooks {
    // The control VMs that agree on the configuration.
    std::function<std::vector<NodeId>()> members;
    std::function<EncodedRoutes()> routes;
  };

  // `epoch` tells starts of this process apart. Keeps `directory`.
  FeedPublisher(FeedSettings settings, std::uint64_t epoch,
                const TargetDirectory* directory, Hooks hooks);

  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  // The target called this control VM; the directory has what it said, and
  // `is_changed` where balancers act on that.
  void OnHeard(std::uint64_t target, bool is_changed, TimePoint now);
  // Reports that are due. To be called every 20 ms, and at once after a change
  // of the routes.
  Outbox OnTick(TimePoint now);

  // Makes itself known to a node that followed an earlier start of this
  // process, so that it learns of this one without having its address.
  void Invite(NodeId node, TimePoint now);
  std::vector<NodeId> Subscribers() const;

  std::size_t subscriber_count() const {
    return m_subscribers.size();
  }  // NOLINT
  // What each subscriber said last, by node.
  std::vector<SubscriberStatus> Status(TimePoint now) const;

 private:
  struct Subscriber {
    std::string data_centre;
    bool has_polled = false;  // This start of this process.
    bool wants_all = false;
    bool is_control = false;
    std::uint64_t acknowledged = 0;  // Revision that it has.
    ConfigVersion version;           // Of the routes that it has.
    TimePoint polled_at;
    TimePoint reported_at;
    TimePoint silence_at;  // When it was last told which targets are silent.
    TimePoint members_at;  // When it was last told the control VMs.
    std::uint64_t sent_revision = 0;
    ConfigVersion sent_version;
    // Of the last report with changes, which the subscriber acknowledges.
    std::uint64_t awaited_revision = 0;
    // Reports in a row that were not acknowledged; the next one waits longer.
    std::uint32_t repeats = 0;
  };

  // What is told of one target of the directory.
  struct Record {
    std::uint64_t revision = 0;  // Of the last change.
    bool is_heard = false;       // It calls this control VM now.
    bool was_heard = false;      // It did, once.
    TimePoint heard_at;
  };

  OutgoingMessage ReportTo(NodeId id, Subscriber* subscriber, TimePoint now);
  // `is_round` where news may go out now.
  bool IsDue(const Subscriber& subscriber, ConfigVersion version, bool is_round,
             TimePoint now) const;
  Duration ReportGap() const;
  // The revision that the subscriber should have.
  std::uint64_t GoalOf(const Subscriber& subscriber) const {
    return subscriber.wants_all ? m_revision : m_heard_revision;
  }
  // Takes over what changed in the directory.
  void Refresh();
  // Gives the target's record a new revision. What is not urgent goes with the
  // next report of silence.
  void Touch(std::uint64_t target, bool is_urgent);
  // Once a second: targets that call another control VM now, or are forgotten.
  void DropSilent(TimePoint now);
  void RefreshMembers(TimePoint now);
  struct SilenceReport MakeSilence(TimePoint now) const;
  // Changes that a subscriber does not have, encoded.
  struct Changes {
    std::uint64_t revision = 0;  // All changes up to here are in it.
    std::size_t count = 0;
    bool has_more = false;
    std::shared_ptr<const Bytes> encoded;
  };
  const Changes& ChangesFor(const Subscriber& subscriber, TimePoint now);
  Changes MakeChanges(const Subscriber& subscriber, TimePoint now) const;
  std::size_t BalancersIn(const std::string& data_centre) const;

  FeedSettings m_settings;
  std::uint64_t m_epoch;
  const TargetDirectory* m_directory;
  Hooks m_hooks;
  std::map<NodeId, Subscriber> m_subscribers;
  std::map<std::uint64_t, Record> m_records;         // By target.
  std::map<std::uint64_t, std::uint64_t> m_changes;  // Target by revision.
  // 0 is a subscriber's that was told nothing.
  std::uint64_t m_revision = 1;
  std::uint64_t m_urgent_revision = 1;     // Of those to be pushed at once.
  std::uint64_t m_heard_revision = 1;      // Of targets that were ever heard.
  std::uint64_t m_directory_revision = 0;  // That was taken over.
  std::vector<NodeId> m_members;
  TimePoint m_members_changed_at;
  TimePoint m_dropped_at;
  TimePoint m_round_at;  // When news went out last.
  // Subscribers mostly have the same: by what they have, and whether they want
  // all. Until the next change, and for one tick.
  std::map<std::pair<std::uint64_t, bool>, Changes> m_changes_made;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_FEED_PUBLISHER_H_
