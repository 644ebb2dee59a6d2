#include "control_plane.h"

#include <utility>

#include "target_store.h"

namespace sardinelead {

ControlPlane::ControlPlane(ControlPlaneSettings settings, Hooks hooks)
    : m_settings(std::move(settings)),
      m_hooks(std::move(hooks)),
      m_directory(m_hooks.on_target_replaced),
      m_publisher(
          m_settings.feed, m_settings.epoch, &m_directory,
          {[this] {
             std::vector<NodeId> members;
             const auto status = m_replica->Status(TimePoint{});
             for (const auto& [id, joined] : status.members) {
               members.push_back(id);
             }
             return members;
           },
           [this] { return m_routes.version(); },
           [this](ConfigVersion held) { return m_routes.UpdateFrom(held); },
           [this] { return evacuations().version(); },
           [this](TimePoint now) { return ReportEvacuations(now); }}),
      m_follower(m_settings.feed, m_settings.replica.contacts, &m_directory,
                 FollowerHooks()) {
  if (m_settings.warm_up) {
    m_granter.emplace(*m_settings.warm_up, GranterHooks());
  }
}

Result<void> ControlPlane::Start(TimePoint now) {
  LoadTargets(now);
  auto started = StartReplica(now);
  const bool may_recover = !started && started.error().code == ErrorCode::kIo;
  if (!may_recover) return started;
  m_hooks.on_error(started.error());
  m_restart_at = now + m_settings.restart_interval;
  return {};
}

FeedFollower::Hooks ControlPlane::FollowerHooks() const {
  FeedFollower::Hooks hooks;
  // Routes and evacuations are received through replication, not through the
  // feed.
  hooks.on_routes = [](const RouteTable&) {};
  hooks.on_route_change = [](const RouteChange&) { return Result<void>{}; };
  hooks.on_evacuations = [](const EvacuationReport&) {};
  hooks.on_source_change = [](NodeId, bool) {};
  hooks.on_error = [this](NodeId, const Error& error) {
    m_hooks.on_error(error);
  };
  return hooks;
}

// Restores the targets known before a restart, so that balancers that start at
// the same time need not wait for the targets' next reports.
void ControlPlane::LoadTargets(TimePoint now) {
  const auto stored = ReadTargets(m_hooks.open_files());
  if (!stored) return m_hooks.on_error(stored.error());
  for (const TargetAnnouncement& t : stored->targets) m_directory.Take(t, now);
  for (const NodeId node : stored->subscribers) m_publisher.Invite(node, now);
  m_saved_subscribers = stored->subscribers;
  m_saved_revision = m_directory.revision();
}

void ControlPlane::SaveTargets(TimePoint now) {
  const std::vector<NodeId> subscribers = m_publisher.Subscribers();
  const bool is_saved = m_saved_revision == m_directory.revision() &&
                        m_saved_subscribers == subscribers;
  if (is_saved) return;
  if (!m_next_save_at) m_next_save_at = now + m_settings.save_delay;
  if (now < *m_next_save_at) return;
  m_next_save_at = now + m_settings.save_interval;
  const auto saved =
      WriteTargets(m_hooks.open_files(), m_directory, subscribers);
  if (!saved) return m_hooks.on_error(saved.error());
  m_saved_revision = m_directory.revision();
  m_saved_subscribers = subscribers;
}

Result<void> ControlPlane::StartReplica(TimePoint now) {
  m_replica.reset();
  m_journal = std::make_unique<Journal>(m_hooks.open_files());
  m_replica = std::make_unique<Replica>(m_settings.replica, m_journal.get(),
                                        ReplicaHooks{m_hooks.random});
  auto output = m_replica->Start(now);
  if (!output) return tl::unexpected<Error>(output.error());
  m_evacuation_ages.Reset(evacuations(), m_replica->Status(now).log_index);
  Dispatch(std::move(*output), now);
  return {};
}

void ControlPlane::OnMessage(NodeId from, MessageKind kind, ByteView body,
                             TimePoint now) {
  if (kind == MessageKind::kAgreement) {
    Dispatch(m_replica->OnMessage(from, body, now), now);
  }
  if (kind == MessageKind::kFeed) {
    m_hooks.send(m_publisher.OnMessage(from, body, now));
    m_hooks.send(m_follower.OnMessage(from, body, now));
  }
}

void ControlPlane::OnPeerStarted(NodeId from, TimePoint now) {
  m_hooks.send(m_follower.OnPeerStarted(from, now));
}

void ControlPlane::OnTick(TimePoint now) {
  if (m_restart_at && now >= *m_restart_at) {
    const auto started = StartReplica(now);
    if (!started) {
      m_hooks.on_error(started.error());
      m_restart_at = now + m_settings.restart_interval;
    } else {
      m_restart_at.reset();
    }
  }
  Dispatch(m_replica->OnTick(now), now);
  Flush(now);
  ReportChanges(m_replica->Status(now));
  const bool must_restart = m_role == ReplicaRole::kFaulty && !m_restart_at;
  if (must_restart) m_restart_at = now + m_settings.restart_interval;
  ProposeGrants(now);
  m_directory.RemoveSilent(m_settings.target_retention, now);
  m_hooks.send(m_publisher.OnTick(now));
  m_hooks.send(m_follower.OnTick(now));
  SaveTargets(now);
}

void ControlPlane::ReportChanges(const ReplicaStatus& status) {
  if (status.role != m_role) {
    m_role = status.role;
    m_hooks.on_role(status.role);
  }
  if (status.stores == m_stores) return;
  m_stores = status.stores;
  m_hooks.on_members(status);
}

void ControlPlane::SetContacts(const std::vector<NodeId>& contacts) {
  m_settings.replica.contacts = contacts;
  m_replica->SetContacts(contacts);
  m_follower.SetContacts(contacts);
}

void ControlPlane::Flush(TimePoint now) {
  while (m_replica->NeedsSync()) Dispatch(m_replica->Sync(now), now);
}

// Sends outgoing messages, applies new routes and completes pending requests.
void ControlPlane::Dispatch(ReplicaOutput output, TimePoint now) {
  m_hooks.send(std::move(output.messages));
  UpdateRoutes(now);
  UpdateGrants(now);
  UpdateEvacuations(now);
  for (const Answer& answer : output.answers) {
    const auto found = m_pending.find(answer.request_id);
    if (found == m_pending.end()) continue;
    const OnAnswer on_answer = std::move(found->second);
    m_pending.erase(found);
    on_answer(answer.outcome, now);
  }
}

void ControlPlane::UpdateRoutes(TimePoint now) {
  const Document& document = m_replica->document();
  if (!(m_read_version < document.version)) return;
  auto routes = m_hooks.read_routes(document);
  m_read_version = document.version;
  if (!routes) {
    m_hooks.on_error(routes.error());
    return;
  }
  m_directory.SetPools(routes->PoolNames(), now);
  m_hooks.on_routes(*routes);
  m_routes.Add(std::move(*routes));
  m_hooks.send(m_publisher.OnTick(now));
}

std::uint64_t ControlPlane::AddPending(OnAnswer on_answer) {
  const std::uint64_t id = ++m_last_request_id;
  m_pending[id] = std::move(on_answer);
  return id;
}

std::uint64_t ControlPlane::AddPending(OnOutcome on_outcome) {
  return AddPending(OnAnswer(
      [on_outcome = std::move(on_outcome)](const Outcome& outcome, TimePoint) {
        on_outcome(outcome);
      }));
}

bool ControlPlane::HasQuorum(TimePoint now) const {
  const ReplicaStatus status = m_replica->Status(now);
  return status.role == ReplicaRole::kVoting &&
         status.staleness <= m_settings.quorum_timeout;
}

std::optional<NodeId> ControlPlane::FindReachableVoter(TimePoint now) const {
  const ReplicaStatus status = m_replica->Status(now);
  if (status.role != ReplicaRole::kJoining) return std::nullopt;
  std::vector<NodeId> voters;
  for (const auto& [member, has_joined] : status.members) {
    const bool is_candidate = has_joined && member != m_settings.replica.self &&
                              m_follower.IsSourceReachable(member, now);
    if (is_candidate) voters.push_back(member);
  }
  if (voters.empty()) return std::nullopt;
  return voters[m_hooks.random() % voters.size()];
}

void ControlPlane::Submit(const Document& document, OnOutcome on_outcome,
                          TimePoint now) {
  const bool is_superseded =
      !(m_replica->document().version < document.version);
  if (!is_superseded && !HasQuorum(now)) {
    return on_outcome(
        {OutcomeKind::kUnknown,
         m_replica->document().version,
         {ErrorCode::kUnavailable, "no quorum of replicas is heard", ""}});
  }
  const std::uint64_t id = AddPending(std::move(on_outcome));
  Dispatch(
      m_replica->Submit(id, document, now + m_settings.answer_deadline, now),
      now);
  Flush(now);
}

void ControlPlane::ConfirmRead(OnOutcome on_outcome, TimePoint now) {
  const std::uint64_t id = AddPending(std::move(on_outcome));
  Dispatch(m_replica->ConfirmRead(id, now + m_settings.answer_deadline, now),
           now);
}

void ControlPlane::Leave(OnOutcome on_outcome, TimePoint now) {
  const std::uint64_t id = AddPending(std::move(on_outcome));
  Dispatch(m_replica->Leave(id, now + m_settings.answer_deadline, now), now);
  Flush(now);
}

AnnouncementEffect ControlPlane::Take(const TargetAnnouncement& report,
                                      TimePoint now) {
  const AnnouncementEffect effect = m_directory.Take(report, now);
  const bool is_ignored = effect == AnnouncementEffect::kStale ||
                          effect == AnnouncementEffect::kForeign;
  if (is_ignored) return effect;
  TakeWarmUp(report, now);
  // The publisher sends the change on its next tick, batched with others.
  m_publisher.OnTargetAnnounced(report.number,
                                effect == AnnouncementEffect::kChanged, now);
  return effect;
}

}  // namespace sardinelead
