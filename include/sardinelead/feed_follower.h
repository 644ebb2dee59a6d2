#ifndef SARDINELEAD_FEED_FOLLOWER_H_
#define SARDINELEAD_FEED_FOLLOWER_H_

// The subscriber side of the feed, in balancers and control VMs; target_feed.h
// describes the protocol.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/evacuation.h"
#include "sardinelead/message.h"
#include "sardinelead/route_table.h"
#include "sardinelead/target_directory.h"
#include "sardinelead/target_feed.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct ReportedTarget;

// A control VM that the follower is subscribed to.
struct SourceStatus {
  NodeId node;
  std::string data_centre;
  ConfigVersion version;  // Of the routes that it has.
  bool is_heard = false;
};

// Keeps a target directory and the routes up to date with the control VMs.
class FeedFollower {
 public:
  struct Hooks {
    // A whole table, newer than the routes in use.
    std::function<void(RouteTable routes)> on_routes;
    // A change of the routes in use. If it cannot be applied, the whole table
    // is requested.
    std::function<Result<void>(const RouteChange& change)> on_route_change;
    // A control VM became reachable (`is_heard`) or silent.
    std::function<void(NodeId source, bool is_heard)> on_source_change;
    // A malformed message was received.
    std::function<void(NodeId from, const Error& error)> on_error;
    // Newer evacuations than those in use. Not called in control VMs, which get
    // them by replication.
    std::function<void(const EvacuationReport& evacuations)> on_evacuations =
        [](const EvacuationReport&) {};
  };

  FeedFollower(FeedSettings settings, std::vector<NodeId> contacts,
               TargetDirectory* directory, Hooks hooks);

  void SetContacts(std::vector<NodeId> contacts);
  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  // The peer `from` has started, or has seen this node for the first time.
  // Polls it without waiting for the poll interval.
  Outbox OnPeerStarted(NodeId from, TimePoint now);
  // Must be called every 50 ms.
  Outbox OnTick(TimePoint now);

  // Whether new flows can be assigned correctly: routes are present, and either
  // all control VMs have reported or FeedSettings::startup_wait has passed
  // since the first report.
  bool IsReady(TimePoint now) const;
  // A clock that advances only while a majority of control VMs is reachable, so
  // that silent control VMs are not mistaken for silent targets.
  TimePoint CoveredTime() const { return m_covered_time; }
  std::size_t SourceCount() const { return m_sources.size(); }
  std::size_t ReachableSourceCount(TimePoint now) const;
  bool IsSourceReachable(NodeId source, TimePoint now) const;
  // Sorted by node.
  std::vector<SourceStatus> Status(TimePoint now) const;
  // Number of balancers in this data centre, including this one; 1 if unknown.
  std::size_t balancers() const { return m_balancers; }  // NOLINT
  ConfigVersion version() const { return m_version; }    // NOLINT

 private:
  struct Source {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;
    ConfigVersion version;
    std::string data_centre;
    bool ever_heard = false;
    bool is_heard = false;      // As last passed to on_source_change.
    bool has_sent_all = false;  // Sent own and learned targets.
    // Targets that send heartbeats to this control VM, by its reports.
    std::set<std::uint64_t> targets;
    TimePoint heard_at;
    TimePoint next_poll_at;
  };

  TimePoint DirectoryTime(TimePoint now) const {
    return m_settings.counts_covered_time ? m_covered_time : now;
  }
  void OnReport(NodeId from, const struct FeedReport& report, TimePoint now,
                Outbox* out);
  void ApplyTargets(const std::vector<ReportedTarget>& targets, Source* source,
                    TimePoint now);
  void ApplySilence(const struct SilenceReport& report, const Source& source,
                    TimePoint now);
  // Returns whether the report must be acknowledged.
  bool ApplyEvacuations(NodeId from, const struct FeedReport& report);
  void OnRoutes(NodeId from, ByteView bytes);
  void OnRouteChanges(NodeId from, const struct FeedRouteChanges& message);
  Result<void> ApplyRouteChange(ByteView bytes);
  // Returns whether routes may be requested now, and if so, counts the request.
  bool TakeRoutesRequest(TimePoint now);
  void AddSource(NodeId id);
  OutgoingMessage MakePoll(NodeId to, bool wants_routes, TimePoint now) const;
  bool WantsAllTargets(NodeId from, const Source& source, TimePoint now) const;
  bool IsHeard(const Source& source, TimePoint now) const;
  NodeId BestRoutesSource(TimePoint now) const;
  void NotifySourceChanges(TimePoint now);
  void RemoveStaleSources(TimePoint now);

  FeedSettings m_settings;
  std::vector<NodeId> m_contacts;
  std::vector<NodeId> m_members;  // As last reported.
  TargetDirectory* m_directory;
  Hooks m_hooks;
  std::map<NodeId, Source> m_sources;
  ConfigVersion m_version;  // Of the routes in use.
  std::uint64_t m_evacuations_version = 0;
  std::optional<TimePoint> m_first_report_at;
  bool m_needs_whole_table = false;  // A change could not be applied.
  TimePoint m_next_routes_request_at;
  std::uint32_t m_unanswered_requests = 0;  // For routes.
  TimePoint m_ticked_at;
  TimePoint m_covered_time;
  std::size_t m_balancers = 1;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_FEED_FOLLOWER_H_
