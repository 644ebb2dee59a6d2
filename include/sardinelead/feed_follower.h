#ifndef SARDINELEAD_FEED_FOLLOWER_H_
#define SARDINELEAD_FEED_FOLLOWER_H_

// The balancer's end of the feed; target_feed.h says how both work together.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/message.h"
#include "sardinelead/route_table.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/target_feed.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct ReportedTarget;

// A control VM that is followed.
struct SourceStatus {
  NodeId node;
  std::string data_centre;
  ConfigVersion version;  // Of the routes that it offers.
  bool is_heard = false;
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

#endif  // SARDINELEAD_FEED_FOLLOWER_H_
