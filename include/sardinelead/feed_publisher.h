#ifndef SARDINELEAD_FEED_PUBLISHER_H_
#define SARDINELEAD_FEED_PUBLISHER_H_

// The control VM side of the feed; target_feed.h describes the protocol.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sardinelead/evacuation.h"
#include "sardinelead/message.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/target_feed.h"
#include "sardinelead/types.h"

namespace sardinelead {

// A balancer or another control VM that is subscribed to this control VM.
struct SubscriberStatus {
  NodeId node;
  std::string data_centre;
  bool is_control = false;
  ConfigVersion version;    // Of the routes that it has.
  Duration silent{0};       // Time since its last poll, or its invitation.
  bool has_polled = false;  // Since this process started.
  std::uint64_t evacuations = 0;  // Version of those in force there.
};

// What a publisher has done since its start.
struct FeedCounters {
  std::uint64_t polls = 0;            // Received.
  std::uint64_t reports = 0;          // Sent, retransmissions included.
  std::uint64_t retransmissions = 0;  // Reports whose changes were sent before.
  std::uint64_t report_bytes = 0;
  std::uint64_t changes_sent = 0;    // Targets in reports.
  std::uint64_t targets_gained = 0;  // Heartbeats began to arrive here,
  std::uint64_t targets_lost = 0;    // or no longer do.
};

class FeedPublisher {
 public:
  struct Hooks {
    // The voting control VMs.
    std::function<std::vector<NodeId>()> members;
    std::function<ConfigVersion()> routes_version;
    // What a subscriber with version `held` lacks; 0 asks for the whole table.
    std::function<RouteUpdate(ConfigVersion held)> routes_since;
    // Version of the evacuations; 0 if none was ever ordered.
    std::function<std::uint64_t()> evacuations_version = [] {
      return std::uint64_t{0};
    };
    // Called only if that version is not 0.
    std::function<EvacuationReport(TimePoint now)> evacuations = [](TimePoint) {
      return EvacuationReport{};
    };
  };

  // `epoch` must differ between starts of this process. `directory` must
  // outlive this object.
  FeedPublisher(FeedSettings settings, std::uint64_t epoch,
                const TargetDirectory* directory, Hooks hooks);

  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  // Must be called for each message from a target to this control VM, after the
  // directory was updated. `is_changed` is set if the update affects balancers.
  void OnTargetAnnounced(std::uint64_t target, bool is_changed, TimePoint now);
  // Returns the reports that are due. Must be called every 20 ms, and
  // immediately after a change of the routes or the evacuations.
  Outbox OnTick(TimePoint now);

  // Sends reports to a node that was subscribed before this process restarted,
  // so that the node can resume without knowing this VM's address.
  void Invite(NodeId node, TimePoint now);
  std::vector<NodeId> Subscribers() const;

  std::size_t subscriber_count() const {
    return m_subscribers.size();
  }                                                            // NOLINT
  const FeedCounters& counters() const { return m_counters; }  // NOLINT
  // Number of balancers at which the newest evacuations are in force.
  std::size_t BalancersWithNewestEvacuations() const;
  // The last known state of each subscriber, sorted by node.
  std::vector<SubscriberStatus> Status(TimePoint now) const;

 private:
  struct Subscriber {
    std::string data_centre;
    bool has_polled = false;  // Since this process started.
    bool wants_all_targets = false;
    bool is_control = false;
    std::uint64_t acknowledged = 0;  // Last revision that it has.
    ConfigVersion version;           // Of the routes that it has.
    TimePoint polled_at;
    TimePoint reported_at;
    TimePoint silence_at;       // When it was last sent a SilenceReport.
    TimePoint members_sent_at;  // When it was last sent the member list.
    std::uint64_t sent_revision = 0;
    ConfigVersion sent_version;
    std::uint64_t evacuations = 0;  // Version of those that it has.
    std::uint64_t sent_evacuations = 0;
    // Revision of the last report with changes; awaits an acknowledgment.
    std::uint64_t awaited_revision = 0;
    bool has_more = false;  // The last report did not hold all changes.
    // Targets changed while the last report was on its way.
    bool awaits_batch = false;
    // Consecutive unacknowledged reports; each doubles the wait for the next.
    std::uint32_t retransmissions = 0;
  };

  // Feed state of one target in the directory.
  struct Record {
    std::uint64_t revision = 0;  // Of the last change.
    bool is_heard = false;       // Sends heartbeats to this control VM now.
    // Whether the target has sent this control VM at least one message.
    bool ever_heard = false;
    TimePoint heard_at;
  };

  OutgoingMessage MakeRoutes(NodeId id, const struct FeedPoll& poll) const;
  OutgoingMessage MakeReport(NodeId id, Subscriber* subscriber, TimePoint now);
  // `is_batch_due`: whether the batch interval permits sending changes now.
  bool IsDue(const Subscriber& subscriber, ConfigVersion version,
             bool is_batch_due, TimePoint now) const;
  // Control VMs get the evacuations by replication. What a node that was only
  // invited has is unknown; its first poll states it.
  bool LacksEvacuations(const Subscriber& subscriber) const;
  Duration BatchInterval() const;
  // The newest revision that is relevant to the subscriber.
  std::uint64_t LatestRevisionFor(const Subscriber& subscriber) const {
    return subscriber.wants_all_targets ? m_revision : m_heard_revision;
  }
  // Assigns revisions to the targets that changed in the directory.
  void SyncWithDirectory();
  // Assigns the next revision to the target's record. A change that is not
  // urgent is sent with the next SilenceReport.
  void AssignRevision(std::uint64_t target, bool is_urgent);
  // Once a second: removes records of targets that the directory has forgotten,
  // and marks targets whose heartbeats this process no longer receives.
  void ExpireTargets(TimePoint now);
  void RefreshMembers(TimePoint now);
  struct SilenceReport MakeSilence(TimePoint now) const;
  // Changes that a subscriber does not have yet, encoded.
  struct Changes {
    std::uint64_t revision = 0;  // All changes up to this one are included.
    std::size_t count = 0;
    bool has_more = false;
    std::shared_ptr<const Bytes> encoded;
  };
  const Changes& ChangesFor(const Subscriber& subscriber, TimePoint now);
  Changes EncodeChanges(const Subscriber& subscriber, TimePoint now) const;
  std::size_t BalancersIn(const std::string& data_centre) const;

  FeedSettings m_settings;
  std::uint64_t m_epoch;
  const TargetDirectory* m_directory;
  Hooks m_hooks;
  std::map<NodeId, Subscriber> m_subscribers;
  std::map<std::uint64_t, Record> m_records;  // By target.
  std::map<std::uint64_t, std::uint64_t> m_targets_by_revision;
  // Starts at 1: 0 means that a subscriber has received nothing.
  std::uint64_t m_revision = 1;
  std::uint64_t m_urgent_revision = 1;  // Last urgent change.
  // The revision of the last change of a target that has sent this control VM
  // at least one message.
  std::uint64_t m_heard_revision = 1;
  std::uint64_t m_directory_revision = 0;  // Last one synced.
  FeedCounters m_counters;
  std::vector<NodeId> m_members;
  TimePoint m_members_changed_at;
  TimePoint m_expired_at;
  TimePoint m_batch_at;  // When the last batch was sent.
  // Most subscribers need the same changes, so they are encoded once. Keyed by
  // acknowledged revision and `wants_all_targets`; cleared at each change and
  // each tick.
  std::map<std::pair<std::uint64_t, bool>, Changes> m_encoded_changes;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_FEED_PUBLISHER_H_
