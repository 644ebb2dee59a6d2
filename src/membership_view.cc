// Proposal and adoption of views, and the permissions that follow from them.

#include <algorithm>
#include <iterator>

#include "link_graph.h"
#include "membership_state.h"

namespace sardinelead {
namespace {

// The hold-down time is reset after this multiple of max_hold_down without a
// removal.
constexpr int kHoldDownResetFactor = 8;

bool Contains(const std::vector<NodeId>& nodes, NodeId id) {
  return std::find(nodes.begin(), nodes.end(), id) != nodes.end();
}

std::vector<NodeId> IdsOf(const std::vector<Member>& members) {
  std::vector<NodeId> ids;
  ids.reserve(members.size());
  for (const Member& member : members) ids.push_back(member.id);
  return ids;
}

bool AreSame(const std::vector<Member>& a, const std::vector<Member>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const Member& x, const Member& y) {
                      return x.id == y.id && x.incarnation == y.incarnation &&
                             x.epoch == y.epoch && x.state == y.state &&
                             x.relay == y.relay && x.control == y.control;
                    });
}

}  // namespace

bool Membership::State::IsAlive(const Peer& peer, TimePoint now) const {
  return peer.heard_at != TimePoint::min() &&
         now - peer.heard_at < m_settings.lease && peer.has_endpoints &&
         peer.member.state != MemberState::kDead &&
         peer.member.epoch >= peer.rejoin_epoch;
}

bool Membership::State::IsAdmitted(const Peer& peer, TimePoint now) const {
  if (!IsAlive(peer, now)) return false;
  if (peer.removal_count == 0 || IsSameMember(peer)) return true;
  Duration hold = m_settings.hold_down;
  for (std::uint32_t i = 1; i < peer.removal_count; ++i) {
    if (hold >= m_settings.max_hold_down) break;
    hold *= 2;
  }
  hold = std::min(hold, m_settings.max_hold_down);
  return now - peer.heard_since >= hold;
}

bool Membership::State::IsSameMember(const Peer& peer) const {
  const Member* member = m_is_in_view ? m_view.Find(peer.member.id) : nullptr;
  return member != nullptr && member->incarnation == peer.member.incarnation &&
         member->epoch == peer.member.epoch;
}

std::vector<NodeId> Membership::State::Heard(TimePoint now) const {
  std::vector<NodeId> heard;
  for (const auto& [id, peer] : m_peers) {
    if (IsAdmitted(peer, now)) heard.push_back(id);
  }
  return heard;
}

bool Membership::State::Hears(NodeId listener, NodeId other,
                              TimePoint now) const {
  if (listener == m_settings.self) return IsAdmitted(m_peers.at(other), now);
  return Contains(m_peers.at(listener).heard, other);
}

bool Membership::State::IsLinked(NodeId a, NodeId b, TimePoint now) const {
  return Hears(a, b, now) && Hears(b, a, now);
}

void Membership::State::UpdateBrokenLinks(TimePoint now) {
  const std::vector<NodeId> ids =
      m_is_in_view ? IdsOf(m_view.members()) : std::vector<NodeId>();
  for (auto pair = m_broken_since.begin(); pair != m_broken_since.end();) {
    const bool is_inside =
        Contains(ids, pair->first.first) && Contains(ids, pair->first.second);
    pair = is_inside ? std::next(pair) : m_broken_since.erase(pair);
  }
  for (const NodeId a : ids) {
    for (const NodeId b : ids) {
      if (!(a < b)) continue;
      if (IsLinked(a, b, now)) {
        m_broken_since.erase({a, b});
      } else {
        m_broken_since.emplace(std::make_pair(a, b), now);
      }
    }
  }
}

std::vector<NodeId> Membership::State::Propose(TimePoint now,
                                               bool* removes_alive) const {
  std::vector<NodeId> members;
  std::vector<NodeId> joiners;
  for (const auto& [id, peer] : m_peers) {
    if (!IsAdmitted(peer, now)) continue;
    (IsSameMember(peer) ? members : joiners).push_back(id);
  }
  (m_is_in_view ? members : joiners).push_back(m_settings.self);
  std::sort(members.begin(), members.end());
  std::sort(joiners.begin(), joiners.end());
  const auto is_link_down = [this, now](NodeId a, NodeId b) {
    const auto found = m_broken_since.find(std::minmax(a, b));
    return found != m_broken_since.end() &&
           now - found->second >= m_settings.lease;
  };
  const std::size_t alive = members.size();
  members = RemoveBrokenNodes(members, is_link_down);
  *removes_alive = members.size() < alive;
  members = AddFullyLinkedNodes(
      members, joiners,
      [this, now](NodeId a, NodeId b) { return !IsLinked(a, b, now); });
  std::sort(members.begin(), members.end());
  return members;
}

bool Membership::State::HasQuorum(const std::vector<NodeId>& nodes) const {
  if (!m_had_agreed_view) {
    // This node has had no agreed view since it started or rejoined, so it
    // cannot check for a majority of an earlier view. A peer that is no longer
    // joining has been in an agreed view and ensures that there is one.
    for (const NodeId id : nodes) {
      const auto peer = m_peers.find(id);
      if (peer == m_peers.end()) continue;
      if (peer->second.member.state != MemberState::kJoining) return true;
    }
  }
  return std::all_of(m_electorates.begin(), m_electorates.end(),
                     [&nodes](const std::vector<NodeId>& electorate) {
                       return IsMajority(nodes, electorate);
                     });
}

std::vector<Member> Membership::State::MembersOf(
    const std::vector<NodeId>& ids) const {
  std::vector<Member> members;
  for (const NodeId id : ids) {
    if (id != m_settings.self) {
      members.push_back(m_peers.at(id).member);
      continue;
    }
    members.push_back({id, m_settings.incarnation, m_epoch, m_state,
                       m_settings.control, m_settings.relay});
  }
  return members;
}

void Membership::State::UpdateView(TimePoint now) {
  const bool may_join =
      m_state != MemberState::kDead && now >= m_join_blocked_until;
  if (!may_join) return AdoptRoutingView(now);
  bool removes_alive = false;
  const std::vector<NodeId> ids = Propose(now, &removes_alive);
  const bool is_possible = Contains(ids, m_settings.self) && HasQuorum(ids);
  if (!is_possible) {
    if (!m_is_in_view) AdoptRoutingView(now);
    return;
  }
  std::vector<Member> members = MembersOf(ids);
  if (m_is_in_view && AreSame(members, m_view.members())) return;
  if (removes_alive) {
    m_suspended_until = std::max(m_suspended_until, now + m_settings.lease);
  }
  Adopt(std::move(members), now);
}

void Membership::State::Adopt(std::vector<Member> members, TimePoint now) {
  MarkRemoved(members, now);
  const std::vector<NodeId> ids = IdsOf(members);
  if (m_electorates.empty() || m_electorates.back() != ids) {
    m_electorates.push_back(ids);
  }
  m_view = View(m_view, m_settings.self, std::move(members));
  m_is_in_view = true;
  m_is_agreed = false;
  m_view_sequence = m_sequence + 1;
  for (auto& [id, peer] : m_peers) peer.view_lease_until = TimePoint::min();
  m_is_heartbeat_due = true;
  ++m_views_adopted;
  m_published = Permissions();
  m_blackboard->view.Publish(std::make_shared<View>(m_view));
}

void Membership::State::MarkRemoved(const std::vector<Member>& after,
                                    TimePoint now) {
  if (!m_is_in_view) return;
  const std::vector<NodeId> ids = IdsOf(after);
  for (const Member& member : m_view.members()) {
    if (Contains(ids, member.id) || member.id == m_settings.self) continue;
    Peer& peer = m_peers.at(member.id);
    const bool has_left = peer.member.state == MemberState::kDead;
    const bool has_restarted = peer.member.incarnation != member.incarnation;
    if (has_left || has_restarted) continue;
    peer.rejoin_epoch = member.epoch + 1;
    peer.heard_since = now;
    const bool is_hold_down_reset =
        peer.last_removed_at != TimePoint::min() &&
        now - peer.last_removed_at >
            kHoldDownResetFactor * m_settings.max_hold_down;
    peer.removal_count = is_hold_down_reset ? 1 : peer.removal_count + 1;
    peer.last_removed_at = now;
  }
}

void Membership::State::AdoptRoutingView(TimePoint now) {
  std::vector<NodeId> ids;
  for (const auto& [id, peer] : m_peers) {
    const bool holds =
        IsAlive(peer, now) && peer.member.state != MemberState::kJoining;
    if (holds) ids.push_back(id);
  }
  std::vector<Member> members = MembersOf(ids);
  m_is_in_view = false;
  m_is_agreed = false;
  if (AreSame(members, m_view.members())) return;
  m_view = View(m_view, m_settings.self, std::move(members));
  m_published = Permissions();
  m_blackboard->view.Publish(std::make_shared<View>(m_view));
}

TimePoint Membership::State::DecideUntil(TimePoint now) const {
  if (!m_is_in_view || now < m_suspended_until) return TimePoint::min();
  TimePoint until = now + m_settings.lease;
  for (const Member& member : m_view.members()) {
    if (member.id == m_settings.self) continue;
    until = std::min(until, m_peers.at(member.id).view_lease_until);
  }
  return until > now ? until : TimePoint::min();
}

TimePoint Membership::State::LeaseFrom(NodeId id) const {
  const auto peer = m_peers.find(id);
  return peer == m_peers.end() ? TimePoint::min() : peer->second.lease_until;
}

TimePoint Membership::State::ServeUntil(TimePoint now) const {
  if (!m_is_in_view) return TimePoint::min();
  TimePoint until = now + m_settings.lease;
  for (const auto& electorate : m_electorates) {
    if (!Contains(electorate, m_settings.self)) continue;
    // The latest time at which this node and the nodes whose leases to it have
    // not expired form a majority of the electorate.
    TimePoint latest = TimePoint::min();
    for (const NodeId id : electorate) {
      const TimePoint at =
          id == m_settings.self ? now + m_settings.lease : LeaseFrom(id);
      std::vector<NodeId> grantors = {m_settings.self};
      for (const NodeId other : electorate) {
        if (other == m_settings.self) continue;
        if (LeaseFrom(other) >= at) grantors.push_back(other);
      }
      if (IsMajority(grantors, electorate)) latest = std::max(latest, at);
    }
    until = std::min(until, latest);
  }
  return until > now ? until : TimePoint::min();
}

void Membership::State::PublishPermissions(TimePoint now) {
  const Permissions next = {DecideUntil(now), ServeUntil(now)};
  const bool is_agreed = next.decide_until > now;
  if (is_agreed && !m_is_agreed) {
    m_is_heartbeat_due = true;
    m_had_agreed_view = true;
    m_electorates = {IdsOf(m_view.members())};
  }
  m_is_agreed = is_agreed;
  if (next.decide_until == m_published.decide_until &&
      next.serve_until == m_published.serve_until) {
    return;
  }
  m_published = next;
  auto view = std::make_shared<View>(m_view);
  view->SetPermissions(next);
  m_blackboard->view.Publish(std::move(view));
}

}  // namespace sardinelead
