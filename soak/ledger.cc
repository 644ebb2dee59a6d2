#include "ledger.h"

#include <algorithm>
#include <cstdio>

namespace sardinelead::soak {
namespace {

constexpr std::size_t kMaxViolations = 50;

std::string Milliseconds(Duration span) {
  return std::to_string(span / std::chrono::milliseconds(1)) + " ms";
}

}  // namespace

void Ledger::RecordFault(std::uint32_t node, bool is_control,
                         const std::string& how) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  std::printf("fault %s at %s\n", how.c_str(),
              IpAddress::FromV4(node).ToString().c_str());
  m_fault_at[node] = Time();
  if (is_control) m_control_fault_at = Time();
}

void Ledger::Stop(std::uint32_t node, bool is_control) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stopped_at[node] = Time();
  m_evacuation_check.OnRestart(node, Time());
  if (is_control) m_control_fault_at = Time();
}

void Ledger::BeginFault(std::uint32_t node, bool is_control,
                        const std::string& how) {
  RecordFault(node, is_control, how);
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_active_faults.insert(node);
  m_evacuation_check.BeginFault(node, Time());
}

void Ledger::EndFault(std::uint32_t node, bool is_control) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto fault = m_active_faults.find(node);
  if (fault != m_active_faults.end()) m_active_faults.erase(fault);
  m_evacuation_check.EndFault(node, Time());
  m_fault_at[node] = Time();
  if (is_control) m_control_fault_at = Time();
}

bool Ledger::IsStable(std::uint32_t node, TimePoint since) const {
  const TimePoint begin = since - kStableTime;
  if (m_active_faults.count(node) != 0) return false;
  if (m_control_fault_at >= begin) return false;
  for (const std::uint32_t other : m_active_faults) {
    const auto found = m_fault_at.find(other);
    if (found != m_fault_at.end() && found->second >= begin) return false;
  }
  const auto is_recent = [&](const std::map<std::uint32_t, TimePoint>& times) {
    const auto found = times.find(node);
    return found != times.end() && found->second >= begin;
  };
  return !is_recent(m_fault_at) && !is_recent(m_stopped_at);
}

void Ledger::OnSent(std::uint64_t version, const std::string& text,
                    const std::map<Endpoint, std::string>& routes) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Config& config = m_configs[version];
  if (!config.text.empty()) return;
  config = {text, routes, Time(), {}};
}

void Ledger::OnAccepted(std::uint64_t version) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  Config& config = m_configs[version];
  if (config.accepted_at == TimePoint{}) config.accepted_at = Time();
  m_newest_accepted = std::max(m_newest_accepted, version);
}

std::uint64_t Ledger::NewestAccepted() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_newest_accepted;
}

void Ledger::OnRead(std::uint64_t newest_at_send, std::uint64_t version,
                    const std::string& text) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_reads;
  if (version < newest_at_send) {
    AddViolationLocked("read gave version " + std::to_string(version) +
                       " after " + std::to_string(newest_at_send) +
                       " was acknowledged");
  }
  const auto found = m_configs.find(version);
  const bool is_sent = found != m_configs.end() && found->second.text == text;
  if (!is_sent) {
    AddViolationLocked("read gave a version " + std::to_string(version) +
                       " that was not sent so");
  }
}

void Ledger::OnEvacuationAcknowledged(const std::string& data_centre) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_evacuations;
  m_evacuation_check.OnAcknowledged(data_centre, Time());
}

void Ledger::OnEvacuationFinishing(const std::string& data_centre) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_evacuation_check.OnFinishing(data_centre);
}

void Ledger::OnNewFlow(const std::string& data_centre, std::uint32_t edge,
                       TimePoint arrived_at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const bool is_forbidden =
      m_evacuation_check.IsForbidden(data_centre, edge, arrived_at + m_skipped);
  if (!is_forbidden) return;
  AddViolationLocked("a target of evacuated " + data_centre +
                     " got a new flow through " +
                     IpAddress::FromV4(edge).ToString());
}

void Ledger::OnDrainAcknowledged(std::uint64_t target, std::uint32_t control) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  if (!IsStable(control, Time())) return;
  m_drains.try_emplace(target, Time());
}

void Ledger::OnTargetDown(std::uint64_t target) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_down_targets.insert(target);
  m_stray_packet_check.OnTargetDown(target);
}

std::uint64_t Ledger::NewestRequired(TimePoint at) const {
  std::uint64_t newest = 0;
  for (const auto& [version, config] : m_configs) {
    const bool must_hold = config.accepted_at != TimePoint{} &&
                           config.accepted_at + kConfigApplyLimit < at;
    if (must_hold) newest = std::max(newest, version);
  }
  return newest;
}

bool Ledger::IsForbidden(const Endpoint& service, const std::string& pool,
                         TimePoint at) const {
  const std::uint64_t floor = NewestRequired(at);
  for (const auto& [version, config] : m_configs) {
    if (version < floor) continue;
    const auto found = config.routes.find(service);
    if (found != config.routes.end() && found->second == pool) return false;
  }
  return true;
}

void Ledger::OnOpened(std::uint64_t target, const std::string& pool,
                      const Endpoint& service, std::uint32_t edge,
                      TimePoint sent_at) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_opened;
  bool was_ever_allowed = false;
  for (const auto& [version, config] : m_configs) {
    const auto found = config.routes.find(service);
    was_ever_allowed |= found != config.routes.end() && found->second == pool;
  }
  if (!was_ever_allowed) {
    AddViolationLocked("a flow to " + service.ToString() + " opened at pool " +
                       pool);
  }
  if (IsForbidden(service, pool, sent_at) && IsStable(edge, sent_at)) {
    AddViolationLocked("a flow to " + service.ToString() +
                       " opened under an outdated configuration");
  }
  const auto drain = m_drains.find(target);
  const bool is_late =
      drain != m_drains.end() && Time() - drain->second > kDrainLimit;
  if (is_late && IsStable(edge, drain->second)) {
    AddViolationLocked("a draining target got a new flow through " +
                       IpAddress::FromV4(edge).ToString());
  }
}

void Ledger::OnRun(std::uint64_t request, std::uint64_t target,
                   bool may_repeat) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto [found, is_new] = m_runs.try_emplace(request, target);
  if (is_new || may_repeat) return;
  AddViolationLocked("request " + std::to_string(request) + " ran twice");
}

void Ledger::OnAnswer(std::uint64_t request, std::uint64_t answered_request,
                      bool is_whole, bool was_late) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_served;
  m_late += was_late ? 1 : 0;
  if (request != answered_request || !is_whole) {
    AddViolationLocked("request " + std::to_string(request) +
                       " got the answer of " +
                       std::to_string(answered_request));
  }
}

void Ledger::OnWaited(Duration waited) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_longest_wait = std::max(m_longest_wait, waited);
  if (waited <= m_answer_limit) return;
  AddViolationLocked("a request was answered after " + Milliseconds(waited));
}

void Ledger::RequireAnswersWithin(Duration limit) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_answer_limit = limit;
}

void Ledger::OnLostAtLink() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_lost_at_links;
}

void Ledger::OnFailed(std::uint64_t) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_failed;
}

void Ledger::OnReset(std::uint64_t target, bool is_open, std::uint32_t edge,
                     const std::string& what) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_resets;
  if (!is_open || m_down_targets.count(target) != 0) return;
  AddViolationLocked("an open flow was reset by " +
                     IpAddress::FromV4(edge).ToString() + ": " + what);
}

void Ledger::OnResetByOtherTarget(std::uint64_t target,
                                  const std::string& what) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_resets;
  if (m_down_targets.count(target) != 0) return;
  AddViolationLocked("an open flow was reset by another target: " + what);
}

void Ledger::OnOwnPacket(const FlowEnds& flow, std::uint64_t target) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stray_packet_check.OnOwnPacket(flow, target);
}

void Ledger::OnStrayPacket(const FlowEnds& flow) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  ++m_strays;
  if (!m_stray_packet_check.OnStrayPacket(flow, Time())) return;
  AddViolationLocked("packets of an open flow went to other targets: " +
                     flow.first.ToString() + " to " + flow.second.ToString());
}

void Ledger::OnPaused(std::uint64_t target) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stray_packet_check.OnPaused(target);
}

void Ledger::OnContinued(std::uint64_t target) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_stray_packet_check.OnContinued(target);
}

void Ledger::OnProcessEnded(const std::string& name, int status) {
  AddViolation("process " + name + " ended by itself, status " +
               std::to_string(status));
}

void Ledger::AddViolation(const std::string& what) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  AddViolationLocked(what);
}

void Ledger::AddViolationLocked(const std::string& what) {
  if (m_violations.size() >= kMaxViolations) return;
  m_violations.push_back(what);
  std::printf("BROKEN %s\n", what.c_str());
}

std::vector<std::string> Ledger::violations() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_violations;
}

void Ledger::SkipTime(Duration span) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_skipped += span;
}

std::string Ledger::Summary() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return std::to_string(m_served) + " served (" + std::to_string(m_late) +
         " late, longest wait " + Milliseconds(m_longest_wait) + "), " +
         std::to_string(m_failed) + " failed, " + std::to_string(m_opened) +
         " flows opened, " + std::to_string(m_resets) + " resets, " +
         std::to_string(m_strays) + " packets at other targets, " +
         std::to_string(m_configs.size()) + " configurations, " +
         std::to_string(m_reads) + " reads, " + std::to_string(m_evacuations) +
         " evacuations, " + std::to_string(m_lost_at_links) + " lost at links";
}

std::pair<std::uint64_t, std::uint64_t> Ledger::TakeCounts() {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const std::pair<std::uint64_t, std::uint64_t> counts = {
      m_served - m_taken_served, m_failed - m_taken_failed};
  m_taken_served = m_served;
  m_taken_failed = m_failed;
  return counts;
}

}  // namespace sardinelead::soak
