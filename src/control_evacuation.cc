// The control plane's orders to evacuate a data centre.

#include <utility>
#include <vector>

#include "control_plane.h"

namespace sardinelead {
namespace {

Outcome NotSubmitted(const char* message) {
  return {OutcomeKind::kUnknown, ConfigVersion{},
          Error{ErrorCode::kUnavailable, message, ""}};
}

}  // namespace

// The index is read after the quorum's confirmation, so that it includes every
// order that was answered before this one was given. A replica that was stopped
// meanwhile may have learned of later orders too, hence the deadline.
void ControlPlane::OrderEvacuation(const std::string& data_centre,
                                   bool is_active,
                                   std::function<bool()> is_abandoned,
                                   OnOutcome on_outcome, TimePoint now) {
  if (!HasQuorum(now)) {
    return on_outcome(NotSubmitted("no quorum of replicas is reachable"));
  }
  const TimePoint deadline = now + m_settings.answer_deadline;
  const std::uint64_t read =
      AddPending(OnAnswer([this, data_centre, is_active, deadline,
                           is_abandoned = std::move(is_abandoned),
                           on_outcome = std::move(on_outcome)](
                              const Outcome& outcome, TimePoint read_at) {
        if (outcome.kind != OutcomeKind::kAccepted) return on_outcome(outcome);
        if (read_at >= deadline || is_abandoned()) {
          return on_outcome(NotSubmitted("the call was abandoned; resend"));
        }
        const EvacuationOrder order{data_centre, is_active,
                                    evacuations().ChangedAt(data_centre)};
        const std::uint64_t id = AddPending(on_outcome);
        Dispatch(m_replica->Submit(id, order, deadline, read_at), read_at);
      }));
  Dispatch(m_replica->ConfirmRead(read, deadline, now), now);
  Flush(now);
}

void ControlPlane::UpdateEvacuations(TimePoint now) {
  const std::uint64_t log_index = m_replica->Status(now).log_index;
  const std::vector<std::string> changed =
      m_evacuation_ages.Observe(evacuations(), log_index, now);
  for (const std::string& data_centre : changed) {
    m_hooks.on_evacuation(data_centre, evacuations().entries().at(data_centre));
  }
  if (!changed.empty()) m_hooks.send(m_publisher.OnTick(now));
}

EvacuationReport ControlPlane::ReportEvacuations(TimePoint now) const {
  EvacuationReport report;
  report.table = evacuations();
  for (const auto& [data_centre, evacuation] : report.table.entries()) {
    const auto age = EvacuationAge(data_centre, now);
    if (age) report.ages.emplace(data_centre, *age);
  }
  return report;
}

}  // namespace sardinelead
