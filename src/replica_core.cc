// Startup, the journal, message dispatch and the status of a replica.

#include "replica_core.h"

#include <algorithm>
#include <utility>

namespace sardinelead {
namespace {

// A replica that has not received from a quorum for this long may have been
// removed from the cluster.
constexpr Duration kQuorumLossTimeout = std::chrono::seconds(1);

}  // namespace

Replica::Core::Core(ReplicaSettings settings, Journal* journal,
                    ReplicaHooks hooks)
    : m_settings(std::move(settings)),
      m_journal(journal),
      m_hooks(std::move(hooks)) {}

Result<ReplicaOutput> Replica::Core::Start(TimePoint now) {
  m_started_at = now;
  m_observed_since = now;
  m_observed_at = now;
  const auto identity = m_journal->ReadIdentity();
  if (!identity && identity.error().code != ErrorCode::kCorrupt) {
    m_is_faulty = true;
    return tl::unexpected<Error>(identity.error());
  }
  VoidResult done;
  if (identity && *identity) {
    done = Load(**identity);
  } else if (identity && m_settings.bootstrap) {
    done = Bootstrap();
  } else {
    done = ResetStore(RegisterState());
  }
  if (!done) {
    m_is_faulty = true;
    return tl::unexpected<Error>(done.error());
  }
  const AgreementMessage hello = MakeMessage(AgreementType::kHello);
  for (const NodeId peer : Peers()) Send(peer, hello);
  return TakeOutput();
}

VoidResult Replica::Core::Load(const StoreIdentity& identity) {
  if (identity.replica != m_settings.self) {
    return Fail(ErrorCode::kNotAllowed,
                "the data folder belongs to replica " +
                    std::to_string(identity.replica.value));
  }
  m_cluster = identity.cluster;
  m_store = identity.store;
  auto stored = m_journal->Load();
  if (!stored && stored.error().code != ErrorCode::kCorrupt) {
    return tl::unexpected<Error>(stored.error());
  }
  if (!stored) return ResetStore(RegisterState());
  auto snapshot = StoredState::Decode(stored->snapshot);
  auto state = snapshot ? RegisterState::Decode(snapshot->state) : std::nullopt;
  if (!state) return ResetStore(RegisterState());
  m_state = std::move(*state);
  m_acceptor = std::move(snapshot->acceptor);
  const VoidResult replayed = Replay(stored->records);
  if (!replayed) return ResetStore(RegisterState());
  return Compact();
}

VoidResult Replica::Core::Replay(const std::vector<Bytes>& records) {
  for (const Bytes& bytes : records) {
    const auto record = JournalRecord::Decode(bytes);
    if (!record) return Fail(ErrorCode::kCorrupt, "undecodable journal record");
    if (record->index != m_state.index() + 1) {
      return Fail(ErrorCode::kCorrupt, "unexpected log index in journal");
    }
    switch (record->type) {
      case JournalRecordType::kPromised:
        m_acceptor.promised = record->ballot;
        break;
      case JournalRecordType::kAccepted:
        m_acceptor = {record->ballot, record->ballot, record->value};
        break;
      case JournalRecordType::kDecided:
        m_state.Apply(record->value);
        m_acceptor = {m_acceptor.promised, Ballot{}, {}};
        break;
      case JournalRecordType::kDecidedAccepted:
        m_state.Apply(m_acceptor.value);
        m_acceptor = {m_acceptor.promised, Ballot{}, {}};
        break;
    }
  }
  return {};
}

VoidResult Replica::Core::Bootstrap() {
  m_cluster = m_hooks.random() | 1;
  m_store = m_hooks.random() | 1;
  m_state =
      RegisterState(m_cluster, m_settings.contacts, m_settings.self, m_store);
  // The identity is written last: if it is missing, the store never voted.
  VoidResult done = Compact();
  if (!done) return done;
  return m_journal->WriteIdentity({m_cluster, m_settings.self, m_store});
}

// Discards the votes and takes a new store id. The identity is written first,
// so that a crash in between never leaves the old store id with a state that
// lacks votes cast under it.
VoidResult Replica::Core::ResetStore(RegisterState state) {
  AbandonProposal();
  m_state = std::move(state);
  m_acceptor = AcceptorState{};
  m_cluster = m_state.cluster() != 0 ? m_state.cluster() : m_cluster;
  m_store = m_hooks.random() | 1;
  VoidResult done =
      m_journal->WriteIdentity({m_cluster, m_settings.self, m_store});
  if (!done) return done;
  return Compact();
}

VoidResult Replica::Core::Compact() {
  const StoredState stored{m_state.Encode(), m_acceptor};
  VoidResult done = m_journal->Compact(stored.Encode());
  if (done) m_needs_sync = false;
  return done;
}

void Replica::Core::AppendRecord(JournalRecordType type, const Ballot& ballot,
                                 const Bytes& value) {
  const JournalRecord record{type, m_state.index() + 1, ballot, value};
  m_journal->Append(record.Encode());
  const bool is_vote = type == JournalRecordType::kPromised ||
                       type == JournalRecordType::kAccepted;
  m_needs_sync = m_needs_sync || is_vote;
}

void Replica::Core::MarkFaulty() {
  m_is_faulty = true;
  m_needs_sync = false;
  m_messages_awaiting_sync.clear();
  m_awaiting_values.clear();
  AbandonProposal();
  const Error error{ErrorCode::kUnavailable,
                    "this replica's disk failed; ask another with the same id",
                    ""};
  for (const PendingCommand& pending : m_pending_commands) {
    if (pending.request_id == 0) continue;
    m_output.answers.push_back(
        {pending.request_id,
         {OutcomeKind::kUnknown, m_state.configuration()->version, error}});
  }
  m_pending_commands.clear();
  for (const PendingRead& read : m_pending_reads) {
    m_output.answers.push_back(
        {read.request_id,
         {OutcomeKind::kUnknown, m_state.document().version, error}});
  }
  m_pending_reads.clear();
}

void Replica::Core::Sync(TimePoint now) {
  if (m_is_faulty) return;
  const VoidResult done = IsCompactionDue() ? Compact() : m_journal->Sync();
  if (!done) return MarkFaulty();
  m_needs_sync = false;
  auto deferred = std::move(m_messages_awaiting_sync);
  m_messages_awaiting_sync.clear();
  for (auto& [to, message] : deferred) {
    if (to == m_settings.self) {
      Handle(to, message, now);
    } else {
      Send(to, message);
    }
  }
}

ReplicaOutput Replica::Core::TakeOutput() {
  return std::exchange(m_output, ReplicaOutput{});
}

AgreementMessage Replica::Core::MakeMessage(AgreementType type) const {
  AgreementMessage message;
  message.type = type;
  message.cluster = m_cluster;
  message.store = m_store;
  message.index = m_state.index();
  return message;
}

void Replica::Core::Send(NodeId to, const AgreementMessage& message) {
  m_output.messages.push_back({to, MessageKind::kAgreement, message.Encode()});
}

void Replica::Core::SendAfterSync(NodeId to, AgreementMessage message,
                                  TimePoint now) {
  if (m_needs_sync) {
    m_messages_awaiting_sync.emplace_back(to, std::move(message));
  } else if (to == m_settings.self) {
    Handle(to, message, now);
  } else {
    Send(to, message);
  }
}

void Replica::Core::Broadcast(const AgreementMessage& message) {
  for (const auto& [member, store] : m_state.members()) {
    if (member != m_settings.self) Send(member, message);
  }
}

bool Replica::Core::MatchesCluster(const AgreementMessage& message) const {
  if (m_cluster != 0 && message.cluster == m_cluster) return true;
  switch (message.type) {
    case AgreementType::kHello:
    case AgreementType::kFetch:
    case AgreementType::kJoin:
    case AgreementType::kFetchValue:
      return message.cluster == 0;
    case AgreementType::kSnapshot:
    case AgreementType::kValuePart:
      return m_cluster == 0;
    case AgreementType::kHeartbeat:
      return m_cluster == 0 && message.cluster != 0;
    default:
      return false;
  }
}

void Replica::Core::OnMessage(NodeId from, ByteView body, TimePoint now) {
  auto message = AgreementMessage::Decode(body);
  if (!message || from == m_settings.self) return;
  if (!IsPermitted(from, *message)) return;
  if (TakeValue(from, &*message, now)) Handle(from, *message, now);
}

// Requests are accepted from any sender, all other messages only from known
// peers. A replica without state also accepts heartbeats from any sender: only
// replicas that hold it for a member or a contact send them. A replica with a
// failed disk handles requests only.
bool Replica::Core::IsPermitted(NodeId from,
                                const AgreementMessage& message) const {
  if (!MatchesCluster(message)) return false;
  const bool is_request = message.type == AgreementType::kHello ||
                          message.type == AgreementType::kFetch ||
                          message.type == AgreementType::kJoin ||
                          message.type == AgreementType::kFetchValue;
  if (is_request) return true;
  const bool is_invitation =
      message.type == AgreementType::kHeartbeat && m_state.cluster() == 0;
  return !m_is_faulty && (is_invitation || Peers().count(from) != 0);
}

void Replica::Core::Handle(NodeId from, const AgreementMessage& message,
                           TimePoint now) {
  if (m_state.IsVoter(from, message.store)) m_last_heard[from] = now;
  switch (message.type) {
    case AgreementType::kPrepare:
      return HandlePrepare(from, message, now);
    case AgreementType::kPromise:
      return HandlePromise(from, message, now);
    case AgreementType::kAccept:
      return HandleAccept(from, message, now);
    case AgreementType::kAccepted:
      return HandleAccepted(from, message, now);
    case AgreementType::kReject:
      return HandleReject(from, message, now);
    case AgreementType::kDecided:
      return HandleDecided(from, message, now);
    case AgreementType::kHeartbeat:
      return HandleHeartbeat(from, message, now);
    case AgreementType::kHello:
      return SendHeartbeat(from);
    case AgreementType::kFetch:
      return HandleFetch(from, message);
    case AgreementType::kValues:
      return HandleValues(from, message, now);
    case AgreementType::kSnapshot:
      return HandleSnapshot(from, message, now);
    case AgreementType::kJoin:
      return HandleJoin(from, message, now);
    case AgreementType::kProbe:
      return HandleProbe(from, message);
    case AgreementType::kProbeReply:
      return HandleProbeReply(from, message);
    case AgreementType::kFetchValue:
      return HandleFetchValue(from, message);
    case AgreementType::kValuePart:
      return HandleValuePart(message, now);
  }
}

void Replica::Core::OnTick(TimePoint now) {
  ExpirePending(now);
  if (now >= m_heartbeat_at) {
    m_heartbeat_at = now + m_settings.heartbeat_interval;
    // Members send no heartbeats to a removed replica, so it must request them.
    const bool needs_heartbeats =
        Role() == ReplicaRole::kStarting || Staleness(now) > kQuorumLossTimeout;
    for (const NodeId peer : Peers()) {
      SendHeartbeat(peer);
      if (needs_heartbeats) Send(peer, MakeMessage(AgreementType::kHello));
    }
  }
  if (m_is_faulty) return;
  UpdateObservation(now);
  RequestMembership(now);
  RemoveUnresponsiveMember(now);
  Retransmit(now);
  SendPartRequests(now);
  MaybePropose(now);
  RetryOrExpireReads(now);
  if (IsCompactionDue() && !m_needs_sync && !Compact()) MarkFaulty();
}

bool Replica::Core::IsCompactionDue() const {
  return m_journal->record_count() > m_settings.compact_after_records ||
         m_journal->size_bytes() > m_settings.compact_after_bytes;
}

ReplicaRole Replica::Core::Role() const {
  if (m_is_faulty) return ReplicaRole::kFaulty;
  const auto found = m_state.members().find(m_settings.self);
  if (found == m_state.members().end()) {
    const bool may_join =
        m_state.cluster() == 0 || m_settings.allow_automatic_join;
    return may_join ? ReplicaRole::kJoining : ReplicaRole::kRemoved;
  }
  if (found->second != m_store) return ReplicaRole::kJoining;
  const auto confirmed_peers = std::count_if(
      m_peers_heard_from.begin(), m_peers_heard_from.end(), [this](NodeId id) {
        const auto member = m_state.members().find(id);
        return member != m_state.members().end() && member->second != 0;
      });
  const bool has_quorum =
      static_cast<std::size_t>(confirmed_peers) + 1 >= m_state.Quorum();
  return has_quorum ? ReplicaRole::kVoting : ReplicaRole::kStarting;
}

std::set<NodeId> Replica::Core::Peers() const {
  std::set<NodeId> peers(m_settings.contacts.begin(),
                         m_settings.contacts.end());
  peers.insert(m_discovered_peers.begin(), m_discovered_peers.end());
  for (const auto& [member, store] : m_state.members()) peers.insert(member);
  peers.erase(m_settings.self);
  return peers;
}

Duration Replica::Core::Jittered(Duration base) {
  const auto span =
      static_cast<std::uint64_t>(std::max<Duration::rep>(base.count(), 1));
  return base + Duration(static_cast<Duration::rep>(m_hooks.random() % span));
}

ReplicaStatus Replica::Core::Status(TimePoint now) const {
  ReplicaStatus status;
  status.role = Role();
  status.cluster = m_cluster;
  status.log_index = m_state.index();
  status.store = m_store;
  status.stores = m_state.members();
  for (const auto& [member, store] : m_state.members()) {
    status.members[member] = store != 0;
  }
  status.staleness = Staleness(now);
  return status;
}

Duration Replica::Core::Staleness(TimePoint now) const {
  std::vector<TimePoint> heard;
  for (const auto& [member, store] : m_state.members()) {
    if (store == 0) continue;
    const auto found = m_last_heard.find(member);
    const bool is_self = member == m_settings.self;
    const TimePoint last =
        found == m_last_heard.end() ? m_started_at : found->second;
    heard.push_back(is_self ? now : last);
  }
  std::sort(heard.rbegin(), heard.rend());
  const std::size_t quorum = m_state.Quorum();
  const TimePoint since =
      heard.size() < quorum ? m_started_at : heard[quorum - 1];
  return now - since;
}

}  // namespace sardinelead
