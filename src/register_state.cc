#include "register_state.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "cbor.h"

namespace sardinelead {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxHistory = 1000;
constexpr std::size_t kMaxHistoryBytes = 4 << 20;
constexpr std::size_t kMaxMembers = 15;
// Maximum number of outcomes examined to find one that may be evicted.
constexpr std::size_t kMaxEvictionSteps = 1000;
constexpr std::uint64_t kNeverEvicted =
    std::numeric_limits<std::uint64_t>::max();

std::uint64_t ContentHash(const Command& command) {
  const auto* text = reinterpret_cast<const char*>(command.content.data());
  return HashText({text, command.content.size()},
                  static_cast<std::uint64_t>(command.kind));
}

std::string DescribeReplica(NodeId id) {
  return "replica " + std::to_string(id.value);
}

// Whether OutcomeKey() of a replica's own membership change returns `key`.
// Operators name themselves in their changes, whose outcomes are kept.
bool IsMembershipKey(const std::string& key) {
  const auto kind = static_cast<CommandKind>(key.front() - '0');
  const bool is_own_change =
      kind == CommandKind::kReplicaChange && key.size() > 1 && key[1] == '\0';
  return is_own_change || kind == CommandKind::kJoin ||
         kind == CommandKind::kAddAndJoin;
}

// Whether the outcomes of such commands are kept for retries. Repeated
// documents and evacuation orders have no effect anyway.
bool KeepsOutcome(CommandKind kind) {
  return kind != CommandKind::kDocument && kind != CommandKind::kEvacuation &&
         kind != CommandKind::kWarmUpGrant;
}

}  // namespace

RegisterState::RegisterState(std::uint64_t cluster,
                             const std::vector<NodeId>& members, NodeId first,
                             std::uint64_t first_store)
    : m_cluster(cluster) {
  for (const NodeId member : members) m_members[member] = 0;
  m_members[first] = first_store;
}

std::vector<std::pair<std::string, Outcome>> RegisterState::Apply(
    ByteView value) {
  ++m_index;
  std::vector<std::pair<std::string, Outcome>> outcomes;
  const auto commands = DecodeCommands(value);
  if (!commands) return outcomes;
  for (const Command& command : *commands) {
    const std::string key = OutcomeKey(command);
    if (!KeepsOutcome(command.kind)) {
      outcomes.emplace_back(key, Execute(command, nullptr));
      continue;
    }
    std::optional<Outcome> outcome = FindOutcome(command);
    if (!outcome && !EnsureOutcomeCapacity()) {
      outcome = Outcome{OutcomeKind::kUnknown, m_configuration->version,
                        Error{ErrorCode::kLimit,
                              "too many refusals of current versions", ""}};
    }
    if (!outcome) {
      StoredOutcome stored;
      stored.content_hash = ContentHash(command);
      stored.base = kNeverEvicted;
      stored.outcome = Execute(command, &stored.base);
      outcome = stored.outcome;
      StoreOutcome(key, std::move(stored));
      EvictMembershipOutcomes();
    }
    outcomes.emplace_back(key, std::move(*outcome));
  }
  return outcomes;
}

std::optional<Outcome> RegisterState::FindOutcome(
    const Command& command) const {
  if (command.kind == CommandKind::kDocument) {
    const bool is_superseded = !(m_document.version < DocumentVersion(command));
    return is_superseded ? std::make_optional(Accepted()) : std::nullopt;
  }
  if (command.kind == CommandKind::kWarmUpGrant) {
    return HasGrants(command) ? std::make_optional(Accepted()) : std::nullopt;
  }
  const auto found = m_outcomes.find(OutcomeKey(command));
  if (found != m_outcomes.end()) {
    if (found->second.content_hash == ContentHash(command)) {
      return found->second.outcome;
    }
    return Refused(
        ErrorCode::kPatchIdReused,
        "id \"" + command.id + "\" came before with another content");
  }
  if (command.kind != CommandKind::kPatch || !m_max_evicted_base) {
    return std::nullopt;
  }
  const auto patch = PatchFromJson(FromCbor(command.content));
  const bool maybe_evicted = patch && patch->base.value <= *m_max_evicted_base;
  if (!maybe_evicted) return std::nullopt;
  return Outcome{OutcomeKind::kUnknown, m_configuration->version,
                 Error{ErrorCode::kStale,
                       "outcomes of patches against version " +
                           std::to_string(*m_max_evicted_base) +
                           " are no longer remembered; nothing runs now",
                       "base"}};
}

std::optional<Outcome> RegisterState::FindOutcome(
    const std::string& key) const {
  const auto found = m_outcomes.find(key);
  if (found == m_outcomes.end()) return std::nullopt;
  return found->second.outcome;
}

void RegisterState::StoreOutcome(const std::string& key, StoredOutcome stored) {
  m_outcome_order.push_back(key);
  if (IsMembershipKey(key)) m_membership_order.push_back(key);
  m_outcomes.emplace(key, std::move(stored));
}

void RegisterState::EvictMembershipOutcomes() {
  while (m_membership_order.size() > kMaxMembershipOutcomes) {
    const std::string key = std::move(m_membership_order.front());
    m_membership_order.pop_front();
    m_outcomes.erase(key);
    m_outcome_order.erase(
        std::find(m_outcome_order.begin(), m_outcome_order.end(), key));
  }
}

bool RegisterState::EnsureOutcomeCapacity() {
  for (std::size_t step = 0; step < kMaxEvictionSteps; ++step) {
    if (m_outcomes.size() < kMaxOutcomes) return true;
    const std::string key = std::move(m_outcome_order.front());
    m_outcome_order.pop_front();
    const auto found = m_outcomes.find(key);
    const std::uint64_t base = found->second.base;
    if (base >= m_configuration->version.value) {
      m_outcome_order.push_back(key);
      continue;
    }
    m_max_evicted_base = std::max(m_max_evicted_base.value_or(0), base);
    m_outcomes.erase(found);
  }
  return false;
}

bool RegisterState::IsVoter(NodeId replica, std::uint64_t store) const {
  const auto found = m_members.find(replica);
  return store != 0 && found != m_members.end() && found->second == store;
}

std::size_t RegisterState::JoinedCount() const {
  const auto joined =
      std::count_if(m_members.begin(), m_members.end(),
                    [](const auto& member) { return member.second != 0; });
  return static_cast<std::size_t>(joined);
}

std::size_t RegisterState::Quorum() const { return JoinedCount() / 2 + 1; }

Outcome RegisterState::Refused(ErrorCode code, std::string message) const {
  return {OutcomeKind::kRefused, m_configuration->version,
          Error{code, std::move(message), ""}};
}

Outcome RegisterState::Accepted() const {
  return {OutcomeKind::kAccepted, m_configuration->version, Error{}};
}

Outcome RegisterState::Execute(const Command& command, std::uint64_t* base) {
  switch (command.kind) {
    case CommandKind::kPatch:
      return ExecutePatch(command, base);
    case CommandKind::kReplicaChange:
      return ExecuteReplicaChange(command);
    case CommandKind::kJoin:
      return ExecuteJoin(command);
    case CommandKind::kDocument:
      return ExecuteDocument(command);
    case CommandKind::kAddAndJoin:
      return ExecuteAdmit(command);
    case CommandKind::kWarmUpGrant:
      return ExecuteWarmUpGrant(command);
    case CommandKind::kEvacuation:
      return ExecuteEvacuation(command);
  }
  return Refused(ErrorCode::kMalformed, "unknown kind of command");
}

Outcome RegisterState::ExecutePatch(const Command& command,
                                    std::uint64_t* base) {
  auto patch = PatchFromJson(FromCbor(command.content));
  if (!patch) {
    return {OutcomeKind::kRefused, m_configuration->version, patch.error()};
  }
  *base = patch->base.value;
  auto next = sardinelead::Apply(*m_configuration, *patch);
  if (!next) {
    return {OutcomeKind::kRefused, m_configuration->version, next.error()};
  }
  m_configuration = std::make_shared<Configuration>(std::move(*next));
  AppendToHistory(command.operator_name, std::move(*patch),
                  command.content.size());
  return Accepted();
}

void RegisterState::AppendToHistory(const std::string& operator_name,
                                    Patch patch, std::size_t size) {
  m_history.push_back(
      {m_configuration->version, operator_name, std::move(patch)});
  m_history_record_bytes.push_back(size);
  m_history_bytes += size;
  while (m_history.size() > kMaxHistory || m_history_bytes > kMaxHistoryBytes) {
    m_history_bytes -= m_history_record_bytes.front();
    m_history.pop_front();
    m_history_record_bytes.pop_front();
  }
}

Outcome RegisterState::ExecuteReplicaChange(const Command& command) {
  const json content = FromCbor(command.content);
  CborArrayReader reader(content);
  const NodeId remove{static_cast<std::uint32_t>(reader.Number())};
  const NodeId add{static_cast<std::uint32_t>(reader.Number())};
  const bool is_conditional = reader.ok() && !reader.AtEnd();
  const std::uint64_t remove_store = is_conditional ? reader.Number() : 0;
  const std::uint64_t min_remaining = is_conditional ? reader.Number() : 0;
  if (!reader.ok()) return Refused(ErrorCode::kMalformed, "unreadable change");
  std::map<NodeId, std::uint64_t> members = m_members;
  if (remove_store != 0 && !IsVoter(remove, remove_store)) {
    return Refused(ErrorCode::kUnknownName,
                   DescribeReplica(remove) + " does not vote from that store");
  }
  if (remove.value != 0 && members.erase(remove) == 0) {
    return Refused(ErrorCode::kUnknownName,
                   DescribeReplica(remove) + " is not a member");
  }
  for (const auto& [member, store] : members) {
    if (store != 0) continue;
    return Refused(ErrorCode::kNotAllowed,
                   DescribeReplica(member) + " has not joined yet");
  }
  if (add.value != 0 && !members.emplace(add, 0).second) {
    return Refused(ErrorCode::kDuplicate,
                   DescribeReplica(add) + " is a member already");
  }
  const std::size_t joined = members.size() - (add.value != 0 ? 1 : 0);
  if (joined < min_remaining) {
    return Refused(ErrorCode::kNotAllowed,
                   "only " + std::to_string(joined) + " members would remain");
  }
  if (joined == 0 || members.size() > kMaxMembers) {
    return Refused(ErrorCode::kOutOfRange,
                   std::to_string(members.size()) + " members, of which " +
                       std::to_string(joined) + " have joined");
  }
  m_members = std::move(members);
  return Accepted();
}

Outcome RegisterState::ExecuteJoin(const Command& command) {
  const json content = FromCbor(command.content);
  CborArrayReader reader(content);
  const NodeId replica{static_cast<std::uint32_t>(reader.Number())};
  const std::uint64_t store = reader.Number();
  const auto found = m_members.find(replica);
  if (!reader.ok() || store == 0 || found == m_members.end()) {
    return Refused(ErrorCode::kUnknownName,
                   DescribeReplica(replica) + " is not a member");
  }
  found->second = store;
  return Accepted();
}

Outcome RegisterState::ExecuteAdmit(const Command& command) {
  const json content = FromCbor(command.content);
  CborArrayReader reader(content);
  const NodeId replica{static_cast<std::uint32_t>(reader.Number())};
  const std::uint64_t store = reader.Number();
  const NodeId replaced{static_cast<std::uint32_t>(reader.Number())};
  if (!reader.ok() || store == 0 || replica.value == 0) {
    return Refused(ErrorCode::kMalformed, "unreadable admission");
  }
  // Quorums before and after a change must intersect, so a member is replaced
  // only in the step that adds its successor.
  const bool is_member = m_members.count(replica) != 0;
  if (!is_member && replaced.value != 0) m_members.erase(replaced);
  if (!is_member && m_members.size() >= kMaxMembers) {
    return Refused(ErrorCode::kLimit, "too many members");
  }
  m_members[replica] = store;
  return Accepted();
}

Outcome RegisterState::ExecuteDocument(const Command& command) {
  const ConfigVersion version = DocumentVersion(command);
  if (m_document.version < version) {
    m_document = {version, std::make_shared<const Bytes>(command.content)};
  }
  return Accepted();
}

Outcome RegisterState::ExecuteWarmUpGrant(const Command& command) {
  auto grants = GrantsOf(command);
  if (!grants) return Refused(ErrorCode::kMalformed, "unreadable grants");
  for (WarmUpGrant& grant : *grants) m_warm_up_grants.Add(std::move(grant));
  return Accepted();
}

// Whether every target of the command has a grant for its start.
bool RegisterState::HasGrants(const Command& command) const {
  const auto grants = GrantsOf(command);
  return grants &&
         std::all_of(
             grants->begin(), grants->end(), [this](const WarmUpGrant& grant) {
               return m_warm_up_grants.Find(grant.target, grant.started_ms) !=
                      nullptr;
             });
}

// An order that finds the state as wanted still renews the index, so that older
// orders for the opposite, which may be held by other replicas, are refused.
Outcome RegisterState::ExecuteEvacuation(const Command& command) {
  const auto order = EvacuationOrderFrom(command.content);
  if (!order) return Refused(ErrorCode::kMalformed, "unreadable evacuation");
  const std::string& name = order->data_centre;
  const bool is_as_wanted = m_evacuations.IsEvacuated(name) == order->is_active;
  if (!is_as_wanted && m_evacuations.ChangedAt(name) != order->seen_change) {
    return Refused(
        ErrorCode::kVersionConflict,
        "a later order for data centre \"" + name + "\" was decided; resend");
  }
  if (!m_evacuations.Set(name, order->is_active, m_index)) {
    return Refused(ErrorCode::kLimit,
                   "too many data centres, or a name of invalid length");
  }
  return Accepted();
}

}  // namespace sardinelead
