#include "sardinelead/replica.h"

#include <iterator>
#include <utility>

#include "replica_core.h"

namespace sardinelead {

const char* Name(OutcomeKind kind) {
  switch (kind) {
    case OutcomeKind::kAccepted:
      return "accepted";
    case OutcomeKind::kRefused:
      return "refused";
    case OutcomeKind::kUnknown:
      return "unknown";
  }
  return "unknown";
}

const char* Name(ReplicaRole role) {
  switch (role) {
    case ReplicaRole::kStarting:
      return "starting";
    case ReplicaRole::kVoting:
      return "voting";
    case ReplicaRole::kJoining:
      return "joining";
    case ReplicaRole::kRemoved:
      return "removed";
    case ReplicaRole::kFaulty:
      return "faulty";
  }
  return "unknown";
}

void ReplicaOutput::Append(ReplicaOutput other) {
  std::move(other.messages.begin(), other.messages.end(),
            std::back_inserter(messages));
  std::move(other.answers.begin(), other.answers.end(),
            std::back_inserter(answers));
}

Replica::Replica(ReplicaSettings settings, Journal* journal, ReplicaHooks hooks)
    : m_core(std::make_unique<Core>(std::move(settings), journal,
                                    std::move(hooks))) {}

Replica::~Replica() = default;

Result<ReplicaOutput> Replica::Start(TimePoint now) {
  return m_core->Start(now);
}

ReplicaOutput Replica::Submit(std::uint64_t request_id,
                              const std::string& operator_name,
                              const Patch& patch, TimePoint deadline,
                              TimePoint now) {
  m_core->Submit(request_id, MakePatchCommand(operator_name, patch), deadline,
                 now);
  return m_core->TakeOutput();
}

ReplicaOutput Replica::Submit(std::uint64_t request_id,
                              const std::string& operator_name,
                              const ReplicaChange& change, TimePoint deadline,
                              TimePoint now) {
  m_core->Submit(request_id, MakeChangeCommand(operator_name, change), deadline,
                 now);
  return m_core->TakeOutput();
}

ReplicaOutput Replica::Submit(std::uint64_t request_id,
                              const Document& document, TimePoint deadline,
                              TimePoint now) {
  m_core->Submit(request_id, MakeDocumentCommand(document), deadline, now);
  return m_core->TakeOutput();
}

ReplicaOutput Replica::Submit(const std::vector<WarmUpGrant>& grants,
                              TimePoint deadline, TimePoint now) {
  m_core->Submit(0, MakeWarmUpGrantCommand(grants), deadline, now);
  return m_core->TakeOutput();
}

ReplicaOutput Replica::Submit(std::uint64_t request_id,
                              const EvacuationOrder& order, TimePoint deadline,
                              TimePoint now) {
  m_core->Submit(request_id, MakeEvacuationCommand(order, m_core->DrawId()),
                 deadline, now);
  return m_core->TakeOutput();
}

ReplicaOutput Replica::ConfirmRead(std::uint64_t request_id, TimePoint deadline,
                                   TimePoint now) {
  m_core->ConfirmRead(request_id, deadline, now);
  return m_core->TakeOutput();
}

ReplicaOutput Replica::Leave(std::uint64_t request_id, TimePoint deadline,
                             TimePoint now) {
  m_core->Leave(request_id, deadline, now);
  return m_core->TakeOutput();
}

void Replica::SetContacts(const std::vector<NodeId>& contacts) {
  m_core->SetContacts(contacts);
}

ReplicaOutput Replica::OnMessage(NodeId from, ByteView body, TimePoint now) {
  m_core->OnMessage(from, body, now);
  return m_core->TakeOutput();
}

ReplicaOutput Replica::OnTick(TimePoint now) {
  m_core->OnTick(now);
  return m_core->TakeOutput();
}

bool Replica::NeedsSync() const { return m_core->NeedsSync(); }

ReplicaOutput Replica::Sync(TimePoint now) {
  m_core->Sync(now);
  return m_core->TakeOutput();
}

ConfigurationPtr Replica::configuration() const {
  return m_core->state().configuration();
}

const Document& Replica::document() const { return m_core->state().document(); }

const WarmUpGrants& Replica::warm_up_grants() const {
  return m_core->state().warm_up_grants();
}

const EvacuationTable& Replica::evacuations() const {
  return m_core->state().evacuations();
}

ReplicaStatus Replica::Status(TimePoint now) const {
  return m_core->Status(now);
}

std::optional<Outcome> Replica::FindOutcome(const std::string& operator_name,
                                            const std::string& id) const {
  const Command command{CommandKind::kPatch, operator_name, id, {}};
  return m_core->state().FindOutcome(OutcomeKey(command));
}

std::vector<PatchRecord> Replica::History() const {
  const auto& history = m_core->state().history();
  return {history.begin(), history.end()};
}

std::optional<std::vector<Patch>> Replica::PatchesSince(
    ConfigVersion version) const {
  const RegisterState& state = m_core->state();
  const std::uint64_t newest = state.configuration()->version.value;
  const std::uint64_t missing =
      version.value < newest ? newest - version.value : 0;
  if (missing > state.history().size()) return std::nullopt;
  std::vector<Patch> patches;
  for (std::size_t i = state.history().size() - missing;
       i < state.history().size(); ++i) {
    patches.push_back(state.history()[i].patch);
  }
  return patches;
}

}  // namespace sardinelead
