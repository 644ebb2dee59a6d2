#ifndef SARDINELEAD_TARGET_FEED_H_
#define SARDINELEAD_TARGET_FEED_H_

// How balancers learn of targets and routes from the control VMs, where targets
// announce themselves to those.
//
// Each balancer subscribes to every control VM: its polls, once a second, say
// what it has. Each control VM pushes what it heard itself, at once, until the
// balancer has it: changed targets as records under a revision, targets that
// live as cookies with their age, and the version of its routes, which a
// balancer that is behind then asks one control VM for. Control VMs follow each
// other in the same way, but pass on another's target only in the first report
// to a subscriber: one that has just started learns all from whoever answers
// first, and each side of a partition goes by what it hears itself.
//
// Cost at t targets, c control VMs and b balancers: a report every half second
// of some 40 bytes and 7 for each of t / c targets, to each of b subscribers.
//
// Both ends are sans-I/O and for one thread.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/message.h"
#include "sardinelead/route_table.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct FeedSettings {
  NodeId self;
  std::string data_centre;
  Duration poll_interval = std::chrono::seconds(1);
  Duration report_interval = std::chrono::milliseconds(500);
  Duration repeat_interval = std::chrono::milliseconds(150);
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

// The control VM's end.
class FeedPublisher {
 public:
  struct Hooks {
    // The control VMs that balancers should listen to.
    std::function<std::vector<NodeId>()> members;
    std::function<EncodedRoutes()> routes;
    // When this control VM heard the target itself, if it did.
    std::function<std::optional<TimePoint>(std::uint64_t target)> heard_at;
  };

  // `epoch` tells starts of this process apart. Keeps `directory`.
  FeedPublisher(FeedSettings settings, std::uint64_t epoch,
                const TargetDirectory* directory, Hooks hooks);

  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  // Reports that are due. To be called after each change, at once, and every
  // 50 ms.
  Outbox OnTick(TimePoint now);

  // Reports to a node that followed an earlier start of this process, so that
  // it learns of this one without having its address.
  void Invite(NodeId node, TimePoint now);
  std::vector<NodeId> Subscribers() const;

  std::size_t subscriber_count() const {
    return m_subscribers.size();
  }  // NOLINT

 private:
  struct Subscriber {
    std::string data_centre;
    std::uint64_t acknowledged = 0;  // Revision that it has.
    ConfigVersion version;           // Of the routes that it has.
    TimePoint polled_at;
    TimePoint reported_at;
    TimePoint living_at;  // When it was last told which targets live.
    std::uint64_t sent_revision = 0;
    ConfigVersion sent_version;
  };

  bool IsDue(const Subscriber& subscriber, ConfigVersion version,
             TimePoint now) const;
  Bytes MakeReport(const Subscriber& subscriber, bool with_living,
                   ConfigVersion version, TimePoint now) const;
  std::size_t BalancersIn(const std::string& data_centre) const;

  FeedSettings m_settings;
  std::uint64_t m_epoch;
  const TargetDirectory* m_directory;
  Hooks m_hooks;
  std::map<NodeId, Subscriber> m_subscribers;
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
  // Balancers of this data centre, this one included; 1 where not told.
  std::size_t balancers() const { return m_balancers; }  // NOLINT
  ConfigVersion version() const { return m_version; }    // NOLINT

 private:
  struct Source {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    ConfigVersion version;
    std::string data_centre;
    bool was_heard = false;  // Ever.
    bool is_heard = false;   // As last told to the hook.
    TimePoint heard_at;
    TimePoint poll_at;
  };

  TimePoint DirectoryTime(TimePoint now) const {
    return m_settings.counts_covered_time ? m_covered : now;
  }
  void OnReport(NodeId from, const struct FeedReport& report, TimePoint now,
                Outbox* out);
  void OnRoutes(NodeId from, ByteView bytes);
  void AddSource(NodeId id);
  OutgoingMessage MakePoll(NodeId to, bool wants_routes) const;
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
