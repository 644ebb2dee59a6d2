#ifndef SARDINELEAD_SRC_CONTROL_PLANE_H_
#define SARDINELEAD_SRC_CONTROL_PLANE_H_

// What a control VM decides where targets and operators call it directly: a
// replica of the agreed document, the directory of the targets that it hears,
// and the feed of both to balancers. Sans-I/O but for the journal's files.
//
// A replica whose disk failed is started anew from the disk every
// `restart_interval` until that succeeds.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "sardinelead/feed_follower.h"
#include "sardinelead/feed_publisher.h"
#include "sardinelead/journal.h"
#include "sardinelead/replica.h"
#include "sardinelead/route_table.h"
#include "sardinelead/target_directory.h"

namespace sardinelead {

struct ControlPlaneSettings {
  ReplicaSettings replica;
  FeedSettings feed;  // Of both ends: other control VMs are followed, too.
  std::uint64_t epoch = 0;  // Tells starts of this process apart.
  Duration answer_deadline = std::chrono::milliseconds(850);
  // Without a quorum for this long, callers are turned away at once.
  Duration quorum_silence = std::chrono::milliseconds(900);
  Duration restart_interval = std::chrono::seconds(1);
  Duration target_memory = std::chrono::minutes(10);
  // Targets are written to the disk this long after a change, and less often
  // where the disk is slow.
  Duration keep_delay = std::chrono::milliseconds(300);
  Duration keep_interval = std::chrono::seconds(2);
};

class ControlPlane {
 public:
  struct Hooks {
    std::function<std::uint64_t()> random;
    std::function<FileHooks()> open_files;
    // The routes that a document stands for; it was checked when submitted.
    std::function<Result<RouteTable>(const Document& document)> read_routes;
    std::function<void(Outbox messages)> send;
    std::function<void(ReplicaRole role)> on_role;
    std::function<void(const RouteTable& routes)> on_routes;
    std::function<void(const Error& error)> on_error;
  };
  using OnOutcome = std::function<void(const Outcome& outcome)>;

  ControlPlane(ControlPlaneSettings settings, Hooks hooks);

  Result<void> Start(TimePoint now);
  void OnMessage(NodeId from, MessageKind kind, ByteView body, TimePoint now);
  // A process of the system started, or this one is new to it.
  void OnMet(NodeId from, TimePoint now);
  // To be called after each run of messages: one sync serves all of them.
  void Flush(TimePoint now);
  // To be called every 20 ms.
  void OnTick(TimePoint now);
  void SetContacts(const std::vector<NodeId>& contacts);

  // Whom operators should ask while this replica does not vote; empty where it
  // does, or hears nobody who does.
  std::optional<NodeId> VoterToAsk(TimePoint now) const;
  // Each calls back once, within `answer_deadline`.
  void Submit(const Document& document, OnOutcome on_outcome, TimePoint now);
  // `kAccepted` where document() may be read as the newest.
  void ConfirmRead(OnOutcome on_outcome, TimePoint now);
  const Document& document() const { return m_replica->document(); }  // NOLINT

  NewsEffect Take(const TargetNews& news, TimePoint now);
  const TargetDirectory& directory() const { return m_directory; }  // NOLINT
  ReplicaStatus Status(TimePoint now) const { return m_replica->Status(now); }
  const FeedPublisher& publisher() const { return m_publisher; }  // NOLINT

 private:
  Result<void> StartReplica(TimePoint now);
  void Dispatch(ReplicaOutput output, TimePoint now);
  void TakeRoutes(TimePoint now);
  FeedFollower::Hooks FollowerHooks() const;
  void LoadTargets(TimePoint now);
  void KeepTargets(TimePoint now);
  bool HasQuorum(TimePoint now) const;

  ControlPlaneSettings m_settings;
  Hooks m_hooks;
  TargetDirectory m_directory;
  std::unique_ptr<Journal> m_journal;
  std::unique_ptr<Replica> m_replica;
  EncodedRoutes m_routes;
  FeedPublisher m_publisher;
  FeedFollower m_follower;
  std::uint64_t m_kept_revision = 0;
  std::vector<NodeId> m_kept_subscribers;
  std::optional<TimePoint> m_keep_at;
  std::unordered_map<std::uint64_t, OnOutcome> m_pending;
  std::uint64_t m_last_request = 0;
  ReplicaRole m_role = ReplicaRole::kStarting;
  std::optional<TimePoint> m_restart_at;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CONTROL_PLANE_H_
