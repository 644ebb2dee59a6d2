#ifndef SARDINELEAD_SRC_MEMBERSHIP_STATE_H_
#define SARDINELEAD_SRC_MEMBERSHIP_STATE_H_

// Implementation of Membership; membership.cc describes the protocol.

#include <array>
#include <map>
#include <utility>
#include <vector>

#include "heartbeat.h"
#include "sardinelead/membership.h"

namespace sardinelead {

class Membership::State {
 public:
  State(MembershipSettings settings, Blackboard* blackboard,
        ReportHoldings report_holdings);

  void OnMessage(NodeId from, ByteView body, TimePoint now);
  Outbox OnTick(TimePoint now);
  void Leave() { m_is_leaving = true; }
  bool IsHandoverComplete() const { return m_state == MemberState::kDead; }

  std::uint64_t malformed() const { return m_malformed; }           // NOLINT
  std::uint64_t views_proposed() const { return m_views_adopted; }  // NOLINT

 private:
  // State of another node as this node knows it.
  struct Peer {
    // The peer as its heartbeats describe it. The endpoints are from the latest
    // heartbeat that included them, the rest from the latest heartbeat.
    Member member;
    bool has_endpoints = false;
    // Whether it has echoed a heartbeat of this incarnation of this node.
    bool has_echoed = false;
    TimePoint heard_at = TimePoint::min();
    // Start of the current period in which heartbeats of the peer have arrived
    // without a gap as long as a lease. A removal of the peer from the view
    // also starts a new period.
    TimePoint heard_since = TimePoint::min();
    std::uint32_t sequence = 0;
    std::uint32_t view = 0;
    std::uint32_t incomplete = 0;
    std::vector<NodeId> heard;
    // The time at which the lease that the peer granted to this node expires.
    TimePoint lease_until = TimePoint::min();
    // Like `lease_until`, but for the lease that the peer granted while it and
    // this node were in the same view, which is this node's current one.
    TimePoint view_lease_until = TimePoint::min();
    // The lowest epoch under which the peer may rejoin after this node removed
    // it from the view; 0 if there was no removal.
    std::uint32_t rejoin_epoch = 0;
    std::uint32_t removal_count = 0;
    TimePoint last_removed_at = TimePoint::min();
  };

  Peer* FindOrAddPeer(NodeId id);
  void ApplyHeartbeat(const Heartbeat& heartbeat, Peer* peer, TimePoint now);
  void RecordLeases(const Heartbeat& heartbeat, Peer* peer, TimePoint now);
  void Rejoin(std::uint32_t epoch, TimePoint now);

  bool IsAlive(const Peer& peer, TimePoint now) const;
  bool IsAdmitted(const Peer& peer, TimePoint now) const;
  // Whether the view contains the peer with this incarnation and epoch.
  bool IsSameMember(const Peer& peer) const;
  std::vector<NodeId> Heard(TimePoint now) const;
  bool IsLinked(NodeId a, NodeId b, TimePoint now) const;
  bool Hears(NodeId listener, NodeId other, TimePoint now) const;
  void UpdateBrokenLinks(TimePoint now);

  void UpdateOwnState(TimePoint now);
  bool OthersAreComplete(TimePoint now) const;
  void UpdateView(TimePoint now);
  std::vector<NodeId> Propose(TimePoint now, bool* removes_alive) const;
  bool HasQuorum(const std::vector<NodeId>& nodes) const;
  std::vector<Member> MembersOf(const std::vector<NodeId>& ids) const;
  void Adopt(std::vector<Member> members, TimePoint now);
  void MarkRemoved(const std::vector<Member>& after, TimePoint now);
  void AdoptRoutingView(TimePoint now);
  TimePoint LeaseFrom(NodeId id) const;
  TimePoint DecideUntil(TimePoint now) const;
  TimePoint ServeUntil(TimePoint now) const;
  void PublishPermissions(TimePoint now);

  bool IsSendingDue(TimePoint now) const;
  Outbox SendHeartbeats(TimePoint now);
  Heartbeat MakeHeartbeat(const Peer& peer, TimePoint now) const;

  const MembershipSettings m_settings;
  Blackboard* m_blackboard;
  const ReportHoldings m_report_holdings;

  bool m_has_started = false;
  // Until this time, this node reports that it receives heartbeats from no
  // peer, so that no peer adds it to a view.
  TimePoint m_join_blocked_until = TimePoint::min();
  bool m_is_leaving = false;
  MemberState m_state = MemberState::kJoining;
  std::uint32_t m_epoch = 0;
  std::map<NodeId, Peer> m_peers;
  std::map<std::pair<NodeId, NodeId>, TimePoint> m_broken_since;

  // The view that this node adopted last. The view contains this node, unless
  // this node only routes.
  View m_view;
  bool m_is_in_view = false;
  // Whether, when permissions were last published, this node held unexpired
  // leases from all other members of its view, granted in that view, and
  // m_suspended_until had passed.
  bool m_is_agreed = false;
  // Whether, since this node started or rejoined, all other members of one of
  // its views have granted it leases in that view.
  bool m_had_agreed_view = false;
  // Sets of nodes, of each of which the next view must contain a majority: the
  // last agreed view (before the first one, the seeds and this node) and the
  // views adopted since. While m_had_agreed_view is false, a view with a node
  // that is no longer joining needs no majority.
  std::vector<std::vector<NodeId>> m_electorates;
  // This node decides no new flows before this time, because removed nodes may
  // still hold leases.
  TimePoint m_suspended_until = TimePoint::min();
  Permissions m_published;

  static constexpr std::uint32_t kSendTimeSlots = 64;
  std::uint32_t m_sequence = 0;
  // The first sequence number sent in this view.
  std::uint32_t m_view_sequence = 0;
  std::array<TimePoint, kSendTimeSlots> m_sent_at{};
  TimePoint m_last_sent = TimePoint::min();
  bool m_is_heartbeat_due = true;  // Send without waiting for the period.

  std::uint64_t m_malformed = 0;
  std::uint64_t m_views_adopted = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_MEMBERSHIP_STATE_H_
