#ifndef SARDINELEAD_SRC_CONTROL_PLANE_H_
#define SARDINELEAD_SRC_CONTROL_PLANE_H_

// The control logic of a control VM that targets and operators call directly: a
// replica of the replicated document, the directory of reporting targets, and
// the feed of both to balancers. Sans-I/O except for the journal's files.
//
// After a disk failure, also one at the start, the replica is restarted from
// disk every `restart_interval` until that succeeds. Until then it does not
// vote, while targets and balancers are served.

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "evacuation_ages.h"
#include "sardinelead/feed_follower.h"
#include "sardinelead/feed_publisher.h"
#include "sardinelead/journal.h"
#include "sardinelead/replica.h"
#include "sardinelead/route_history.h"
#include "sardinelead/route_table.h"
#include "sardinelead/target_directory.h"
#include "warm_up_granter.h"

namespace sardinelead {

struct ControlPlaneSettings {
  ReplicaSettings replica;
  FeedSettings feed;        // Also used to follow other control VMs.
  std::uint64_t epoch = 0;  // Distinguishes restarts of this process.
  Duration answer_deadline = std::chrono::milliseconds(850);
  // After this long without a quorum, submissions fail immediately.
  Duration quorum_timeout = std::chrono::milliseconds(900);
  Duration restart_interval = std::chrono::seconds(1);
  Duration target_retention = std::chrono::minutes(10);
  // Delay from the first change of targets to their first write to disk, and
  // the minimum interval between writes, which limits the load on a slow disk.
  Duration save_delay = std::chrono::milliseconds(300);
  Duration save_interval = std::chrono::seconds(2);
  // Empty if new flows to targets that are warming up are not limited.
  std::optional<WarmUpGranterSettings> warm_up;
};

class ControlPlane {
 public:
  struct Hooks {
    std::function<std::uint64_t()> random;
    std::function<FileOperations()> open_files;
    // Decodes the routes in a document, which was validated when submitted.
    std::function<Result<RouteTable>(const Document& document)> read_routes;
    std::function<void(Outbox messages)> send;
    std::function<void(ReplicaRole role)> on_role;
    // Called after the members, or the stores that they vote from, changed.
    std::function<void(const ReplicaStatus& status)> on_members;
    std::function<void(const RouteTable& routes)> on_routes;
    // Called for each evacuation order that was applied here.
    std::function<void(const std::string& data_centre,
                       const Evacuation& evacuation)>
        on_evacuation;
    TargetDirectory::OnReplaced on_target_replaced;
    // Called for each decided grant of a target that is warming up. May be
    // empty.
    std::function<void(const WarmUpGrant& grant,
                       const TargetAnnouncement& target)>
        on_warm_up_granted = {};
    std::function<void(const Error& error)> on_error;
  };
  using OnOutcome = std::function<void(const Outcome& outcome)>;

  ControlPlane(ControlPlaneSettings settings, Hooks hooks);

  // Returns kNotAllowed if the data folder belongs to another replica. A
  // failing disk is no error.
  Result<void> Start(TimePoint now);
  void OnMessage(NodeId from, MessageKind kind, ByteView body, TimePoint now);
  // Called when a peer process has started or is contacted for the first time.
  void OnPeerStarted(NodeId from, TimePoint now);
  // Must be called after each batch of messages; one sync covers the batch.
  void Flush(TimePoint now);
  // Must be called every 20 ms.
  void OnTick(TimePoint now);
  void SetContacts(const std::vector<NodeId>& contacts);

  // A voting replica that operators should use while this one is joining. Empty
  // if this one is not joining or no voter is reachable.
  std::optional<NodeId> FindReachableVoter(TimePoint now) const;
  // Each callback is invoked once, within `answer_deadline`.
  void Submit(const Document& document, OnOutcome on_outcome, TimePoint now);
  // The outcome is `kAccepted` if document() is confirmed to be the newest.
  void ConfirmRead(OnOutcome on_outcome, TimePoint now);
  // Starts or finishes the evacuation of a data centre: confirms a read, and
  // then submits an order that is refused if a later one for the opposite is
  // decided first. The order is not submitted if `is_abandoned` returns true by
  // then, or if the answer deadline has passed.
  void OrderEvacuation(const std::string& data_centre, bool is_active,
                       std::function<bool()> is_abandoned, OnOutcome on_outcome,
                       TimePoint now);
  const EvacuationTable& evacuations() const {  // NOLINT
    return m_replica->evacuations();
  }
  // Time since the data centre's evacuation started or finished, by when that
  // was applied here; empty if unknown, for example after a restart.
  std::optional<Duration> EvacuationAge(const std::string& data_centre,
                                        TimePoint now) const {
    return m_evacuation_ages.AgeOf(data_centre, now);
  }
  // Withdraws this replica from the members before a planned stop; see
  // Replica::Leave.
  void Leave(OnOutcome on_outcome, TimePoint now);
  const Document& document() const { return m_replica->document(); }  // NOLINT

  AnnouncementEffect Take(const TargetAnnouncement& report, TimePoint now);
  const TargetDirectory& directory() const { return m_directory; }  // NOLINT
  ReplicaStatus Status(TimePoint now) const { return m_replica->Status(now); }
  const FeedPublisher& publisher() const { return m_publisher; }  // NOLINT

 private:
  using OnAnswer = std::function<void(const Outcome& outcome, TimePoint now)>;

  // Returns the id of a new request.
  std::uint64_t AddPending(OnAnswer on_answer);
  std::uint64_t AddPending(OnOutcome on_outcome);
  Result<void> StartReplica(TimePoint now);
  void Dispatch(ReplicaOutput output, TimePoint now);
  void UpdateRoutes(TimePoint now);
  WarmUpGranter::Hooks GranterHooks() const;
  void UpdateGrants(TimePoint now);
  void TakeWarmUp(const TargetAnnouncement& target, TimePoint now);
  void ProposeGrants(TimePoint now);
  void UpdateEvacuations(TimePoint now);
  EvacuationReport ReportEvacuations(TimePoint now) const;
  void ReportChanges(const ReplicaStatus& status);
  FeedFollower::Hooks FollowerHooks() const;
  void LoadTargets(TimePoint now);
  void SaveTargets(TimePoint now);
  bool HasQuorum(TimePoint now) const;

  ControlPlaneSettings m_settings;
  Hooks m_hooks;
  TargetDirectory m_directory;
  std::unique_ptr<Journal> m_journal;
  std::unique_ptr<Replica> m_replica;
  RouteHistory m_routes;
  ConfigVersion m_read_version;  // Of the last document that was read.
  FeedPublisher m_publisher;
  FeedFollower m_follower;
  std::optional<WarmUpGranter> m_granter;
  std::uint64_t m_known_grants = 0;  // WarmUpGrants::added() when last read.
  TimePoint m_next_warm_up_scan_at;
  std::uint64_t m_saved_revision = 0;
  std::vector<NodeId> m_saved_subscribers;
  std::optional<TimePoint> m_next_save_at;
  EvacuationAges m_evacuation_ages;
  std::unordered_map<std::uint64_t, OnAnswer> m_pending;
  std::uint64_t m_last_request_id = 0;
  ReplicaRole m_role = ReplicaRole::kStarting;
  std::map<NodeId, std::uint64_t> m_stores;
  std::optional<TimePoint> m_restart_at;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CONTROL_PLANE_H_
