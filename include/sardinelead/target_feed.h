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

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sardinelead/message.h"
#include "sardinelead/route_table.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct ReportedTarget;

struct FeedSettings {
  NodeId self;
  std::string data_centre;
  Duration poll_interval = std::chrono::seconds(1);
  Duration report_interval = std::chrono::milliseconds(500);
  Duration repeat_interval = std::chrono::milliseconds(150);
  // Between two reports to one subscriber, so that changes that come together
  // share one: `report_gap`, and longer with many subscribers, so that one
  // publisher sends at most one in `report_spacing`, but not above
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

// A balancer, or another control VM, that follows a control VM.
struct SubscriberStatus {
  NodeId node;
  std::string data_centre;
  bool is_control = false;
  ConfigVersion version;  // Of the routes that it has.
  Duration silent{0};     // Since its last poll.
};

// A control VM that is followed.
struct SourceStatus {
  NodeId node;
  std::string data_centre;
  ConfigVersion version;  // Of the routes that it offers.
  bool is_heard = false;
};

// The control VM's end.
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
  // Reports that are due. To be called after each change, at once, and every
  // 50 ms.
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

  Outbox ReportTo(NodeId id, Subscriber* subscriber, TimePoint now);
  bool IsDue(const Subscriber& subscriber, ConfigVersion version,
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
  // Subscribers mostly have the same: by what they have, and whether they want
  // all. Until the next change, and for one tick.
  std::map<std::pair<std::uint64_t, bool>, Changes> m_changes_made;
  std::uint64_t m_changes_made_for = 0;  // m_revision.
};

// The balancer's end: keeps its directory and its routes up to date.
class FeedFollower {
 public:
  struct Hooks {
    std::function<void(RouteTablePtr routes)> on_routes;
    // A control VM is heard again, or no longer.
    std::function<void(NodeId source, bool is_heard)> on_source;
    // A message that cannot be read.
    std::function<void(NodeId from, const Error& error)> on_error;
  };

  FeedFollower(FeedSettings settings, std::vector<NodeId> contacts,
               TargetDirectory* directory, Hooks hooks);

  void SetContacts(std::vector<NodeId> contacts);
  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  // A control VM started, or this one is new to it.
  Outbox OnMet(NodeId from, TimePoint now);
  // To be called every 50 ms.
  Outbox OnTick(TimePoint now);

  // Whether new flows can be sent right: routes and targets were heard from
  // all control VMs, or from some for long enough.
  bool IsReady(TimePoint now) const;
  // Grows only while most control VMs are heard: a target's silence in it is
  // the target's own.
  TimePoint CoveredTime() const { return m_covered; }
  std::size_t SourceCount() const { return m_sources.size(); }
  std::size_t HeardCount(TimePoint now) const;
  bool Hears(NodeId source, TimePoint now) const;
  // By node.
  std::vector<SourceStatus> Status(TimePoint now) const;
  // Balancers of this data centre, this one included; 1 where not told.
  std::size_t balancers() const { return m_balancers; }  // NOLINT
  ConfigVersion version() const { return m_version; }    // NOLINT

 private:
  struct Source {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    ConfigVersion version;
    std::string data_centre;
    bool was_heard = false;           // Ever.
    bool is_heard = false;            // As last told to the hook.
    bool has_told_all = false;        // What it heard and what it learned.
    std::set<std::uint64_t> targets;  // That call it.
    TimePoint heard_at;
    TimePoint poll_at;
  };

  TimePoint DirectoryTime(TimePoint now) const {
    return m_settings.counts_covered_time ? m_covered : now;
  }
  void OnReport(NodeId from, const struct FeedReport& report, TimePoint now,
                Outbox* out);
  void TakeTargets(const std::vector<ReportedTarget>& targets, Source* source,
                   TimePoint now);
  void TakeSilence(const struct SilenceReport& report, const Source& source,
                   TimePoint now);
  void OnRoutes(NodeId from, ByteView bytes);
  void AddSource(NodeId id);
  OutgoingMessage MakePoll(NodeId to, bool wants_routes, TimePoint now) const;
  bool WantsAll(NodeId from, const Source& source, TimePoint now) const;
  bool IsHeard(const Source& source, TimePoint now) const;
  NodeId BestSourceOfRoutes(TimePoint now) const;
  void TellSources(TimePoint now);
  void ForgetSources(TimePoint now);

  FeedSettings m_settings;
  std::vector<NodeId> m_contacts;
  std::vector<NodeId> m_members;  // As last reported.
  TargetDirectory* m_directory;
  Hooks m_hooks;
  std::map<NodeId, Source> m_sources;
  ConfigVersion m_version;  // Of the routes in force.
  std::optional<TimePoint> m_first_report_at;
  TimePoint m_routes_asked_at;
  TimePoint m_ticked_at;
  TimePoint m_covered;
  std::size_t m_balancers = 1;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TARGET_FEED_H_
