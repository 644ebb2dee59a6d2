#include "sardinelead/target_registry.h"

#include <algorithm>
#include <cassert>
#include <cmath>

// Replicated table of TargetRegistry. Requests from targets are handled in
// target_announcement.cc.
//
// Each record has one writer at a time, its home, so the sequence alone orders
// most changes. Two homes may write concurrently when a target contacts two
// balancers; the merged record is then the one with the greater sequence. Two
// properties are never undone by a greater sequence: an ended target stays
// ended, and a draining target stays draining. A takeover adds two to the
// sequence and an expired lease adds one, so that a target that moved to
// another home does not lapse when its lease expires at the old one.

namespace sardinelead {
namespace {

constexpr std::uint32_t kTakeoverSequenceStep = 2;
constexpr std::uint32_t kLapseSequenceStep = 1;
// Number of lease periods without a heartbeat after which the targets of a home
// lapse, and for which a lapsed target keeps its existing flows.
constexpr int kHomeTimeoutLeases = 4;
constexpr double kTrialWeight = 0.05;
// Ramp weights are rounded down to multiples of this step, but to at least one
// step, before publishing.
constexpr double kWeightStep = 0.1;

// Whether `a` takes precedence over `b`, both records of the same target.
bool TakesPrecedence(const TargetRecord& a, const TargetRecord& b) {
  if (a.IsEnded() != b.IsEnded()) return a.IsEnded();
  if (a.IsEnded() && a.state != b.state) return a.state > b.state;
  if (a.sequence != b.sequence) return a.sequence > b.sequence;
  if (a.state != b.state) return a.state > b.state;
  if (a.home != b.home) return b.home < a.home;
  return b.home_incarnation < a.home_incarnation;
}

bool SameTarget(const Target& a, const Target& b) {
  return a.id == b.id && a.state == b.state && a.weight == b.weight &&
         a.slots == b.slots && a.name == b.name;
}

bool SameTargets(const std::vector<Target>& a, const std::vector<Target>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(), SameTarget);
}

bool SameChecks(const std::vector<HealthTarget>& a,
                const std::vector<HealthTarget>& b) {
  return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                    [](const HealthTarget& x, const HealthTarget& y) {
                      return x.id == y.id && x.check == y.check;
                    });
}

double RoundWeight(double weight) {
  const double steps = std::max(1.0, std::floor(weight / kWeightStep + 1e-9));
  return steps * kWeightStep;
}

}  // namespace

const char* Name(LeaseState state) {
  switch (state) {
    case LeaseState::kActive:
      return "active";
    case LeaseState::kLapsed:
      return "lapsed";
    case LeaseState::kLeft:
      return "left";
    case LeaseState::kSuperseded:
      return "superseded";
  }
  return "unknown";
}

TargetRegistry::TargetRegistry(const TargetRegistrySettings& settings,
                               Blackboard* blackboard, Health* health,
                               Hooks hooks)
    : m_settings(settings),
      m_blackboard(blackboard),
      m_health(health),
      m_hooks(std::move(hooks)) {
  assert(m_settings.self.value != 0);
}

bool TargetRegistry::IsHome(const TargetRecord& record) const {
  return record.home == m_settings.self &&
         record.home_incarnation == m_settings.incarnation;
}

// Whether this balancer is the record's home or received a heartbeat from it
// within the lease period.
bool TargetRegistry::IsHomeAlive(const TargetRecord& record,
                                 TimePoint now) const {
  if (IsHome(record)) return true;
  const auto home = m_homes.find(record.home);
  if (home == m_homes.end()) return false;
  return home->second.incarnation == record.home_incarnation &&
         now - home->second.heard_at <= m_settings.lease;
}

bool TargetRegistry::AcceptsNewFlows(const Entry& entry, TimePoint now) const {
  return entry.record.state == LeaseState::kActive && !entry.record.draining &&
         IsHomeAlive(entry.record, now);
}

// Whether the target's existing flows may continue.
bool TargetRegistry::KeepsExistingFlows(const Entry& entry,
                                        TimePoint now) const {
  if (entry.record.IsEnded()) return false;
  if (entry.record.state == LeaseState::kActive) return true;
  return now - entry.changed_at <= m_settings.lease * kHomeTimeoutLeases;
}

void TargetRegistry::TakeOver(Entry* entry, TimePoint now) {
  entry->record.sequence += kTakeoverSequenceStep;
  entry->record.state = LeaseState::kActive;
  entry->record.home = m_settings.self;
  entry->record.home_incarnation = m_settings.incarnation;
  entry->renewed_at = now;
  entry->changed_at = now;
  MarkChanged(*entry, true);
}

void TargetRegistry::End(Entry* entry, LeaseState state, TimePoint now) {
  if (entry->record.IsEnded() && entry->record.state >= state) return;
  entry->record.state = state;
  entry->changed_at = now;
  m_local_loads.erase(entry->record.Id());
}

void TargetRegistry::MarkChanged(const Entry& entry, bool is_local) {
  bool& is_local_change = m_pending_records[entry.record.Id()];
  is_local_change = is_local_change || is_local;
}

// Supersedes all targets of a tunnel address except the newest.
void TargetRegistry::ResolveTunnelConflict(const Endpoint& tunnel,
                                           TimePoint now) {
  Entry* newest = nullptr;
  for (auto& [id, entry] : m_table) {
    if (!(entry.record.tunnel == tunnel)) continue;
    const bool newer =
        newest == nullptr ||
        newest->record.incarnation < entry.record.incarnation ||
        (newest->record.incarnation == entry.record.incarnation &&
         newest->record.Id() < id);
    if (newer) newest = &entry;
  }
  if (newest == nullptr) {
    m_newest_by_tunnel.erase(tunnel);
    return;
  }
  m_newest_by_tunnel[tunnel] = newest->record.Id();
  for (auto& [id, entry] : m_table) {
    if (!(entry.record.tunnel == tunnel) || &entry == newest) continue;
    End(&entry, LeaseState::kSuperseded, now);
  }
}

// Restores the active state of a target that renews here but that a peer
// reported as lapsed.
void TargetRegistry::Reassert(Entry* entry, const TargetRecord& received,
                              TimePoint now) {
  entry->record.sequence = std::max(entry->record.sequence, received.sequence);
  entry->record.draining = entry->record.draining || received.draining;
  const TimePoint renewed_at = entry->renewed_at;
  TakeOver(entry, now);
  entry->renewed_at = renewed_at;
}

void TargetRegistry::Merge(const TargetRecord& received, TimePoint now) {
  const TargetId id = received.Id();
  const Duration age = std::chrono::seconds(received.age_s);
  const bool is_too_old =
      received.IsEnded() && age > m_settings.tombstone_lifetime / 2;
  const auto [found, is_new] = m_table.try_emplace(id);
  Entry& entry = found->second;
  if (is_new && is_too_old) {
    m_table.erase(found);
    return;
  }
  const bool takes_precedence =
      is_new || TakesPrecedence(received, entry.record);
  const bool starts_draining = received.draining && !entry.record.draining;
  if (!takes_precedence && !starts_draining) return;
  const bool is_active_here = !is_new && IsHome(entry.record) &&
                              entry.record.state == LeaseState::kActive;
  if (is_active_here && received.state == LeaseState::kLapsed) {
    Reassert(&entry, received, now);
    return;
  }
  const bool was_draining = !is_new && entry.record.draining;
  if (starts_draining) entry.draining_since = now;
  if (is_new) entry.announced_at = received.IsEnded() ? now : now - age;
  if (takes_precedence) entry.record = received;
  entry.record.draining = was_draining || received.draining;
  entry.changed_at = received.IsEnded() ? now - age : now;
  if (entry.record.IsEnded() || !IsHome(entry.record)) m_local_loads.erase(id);
  MarkChanged(entry, false);
  ResolveTunnelConflict(received.tunnel, now);
}

void TargetRegistry::ExpireDrain(Entry* entry, TimePoint now) {
  const auto configuration = m_blackboard->configuration.Read();
  const Service* service = configuration->FindById(entry->record.service);
  if (service == nullptr || service->drain_deadline_s == 0) return;
  const Duration deadline = std::chrono::seconds(service->drain_deadline_s);
  if (now - entry->draining_since < deadline) return;
  End(entry, LeaseState::kLeft, now);
  MarkChanged(*entry, true);
}

void TargetRegistry::ExpireLeases(TimePoint now) {
  for (auto& [id, entry] : m_table) {
    TargetRecord& record = entry.record;
    if (record.IsEnded()) continue;
    if (record.draining) ExpireDrain(&entry, now);
    if (record.state != LeaseState::kActive) continue;
    const bool home_here = IsHome(record);
    bool lapsed = home_here && now - entry.renewed_at > m_settings.lease;
    if (!home_here && !IsHomeAlive(record, now)) {
      const auto home = m_homes.find(record.home);
      const TimePoint heard =
          home == m_homes.end() ||
                  home->second.incarnation != record.home_incarnation
              ? entry.changed_at
              : std::max(home->second.heard_at, entry.changed_at);
      lapsed = now - heard > m_settings.lease * kHomeTimeoutLeases;
    }
    if (!lapsed) continue;
    // Every balancer that detects the silent home independently writes an
    // identical record.
    record.sequence += kLapseSequenceStep;
    record.state = LeaseState::kLapsed;
    entry.changed_at = now;
    MarkChanged(entry, home_here);
  }
}

void TargetRegistry::PurgeExpired(TimePoint now) {
  for (auto it = m_table.begin(); it != m_table.end();) {
    const Entry& entry = it->second;
    const bool gone = entry.record.state != LeaseState::kActive &&
                      now - entry.changed_at > m_settings.tombstone_lifetime;
    if (!gone) {
      ++it;
      continue;
    }
    const Endpoint tunnel = entry.record.tunnel;
    m_pending_records.erase(it->first);
    m_local_loads.erase(it->first);
    it = m_table.erase(it);
    ResolveTunnelConflict(tunnel, now);
  }
}

Target TargetRegistry::ToTarget(TargetId id, const Entry& entry,
                                TimePoint now) const {
  const TargetRecord& record = entry.record;
  Target target;
  target.id = id;
  target.name = record.name;
  target.service = record.service;
  target.tunnel = record.tunnel;
  target.slots = record.slots;
  target.incarnation = record.incarnation;
  target.weight =
      RoundWeight(RampWeight(now - entry.announced_at, m_settings.load));
  if (!KeepsExistingFlows(entry, now)) {
    target.state = TargetState::kGone;
    target.weight = 0;
    return target;
  }
  const Verdict verdict = m_health->VerdictOf(target.id);
  if (!AcceptsNewFlows(entry, now)) target.state = TargetState::kDraining;
  if (verdict == Verdict::kDead) target.state = TargetState::kDead;
  if (target.state != TargetState::kActive || verdict == Verdict::kAvoid) {
    target.weight = 0;
  }
  if (verdict == Verdict::kTrial && target.weight > 0) {
    target.weight = kTrialWeight;
  }
  return target;
}

void TargetRegistry::RefreshHealth(TimePoint now) {
  const std::uint64_t generation = m_blackboard->view.generation();
  if (generation != m_view_generation) {
    m_view_generation = generation;
    std::vector<NodeId> live = Peers();
    live.push_back(m_settings.self);
    m_health->SetMembers(live);
  }
  std::vector<HealthTarget> targets;
  for (const auto& [id, entry] : m_table) {
    if (!KeepsExistingFlows(entry, now)) continue;
    const Endpoint check{entry.record.tunnel.address, entry.record.check_port};
    targets.push_back(HealthTarget{id, entry.record.service, check});
  }
  if (!SameChecks(targets, m_probe_targets)) m_health->SetTargets(targets, now);
  m_probe_targets = std::move(targets);
  m_health->OnTick(now);
}

void TargetRegistry::PublishIfChanged(TimePoint now) {
  std::vector<Target> targets;
  targets.reserve(m_table.size());
  for (const auto& [id, entry] : m_table) {
    targets.push_back(ToTarget(id, entry, now));
  }
  if (SameTargets(targets, m_published)) return;
  m_published = targets;
  m_blackboard->targets.Publish(
      std::make_shared<TargetSnapshot>(std::move(targets)));
}

std::vector<TargetRecord> TargetRegistry::Records() const {
  std::vector<TargetRecord> records;
  records.reserve(m_table.size());
  for (const auto& [id, entry] : m_table) records.push_back(entry.record);
  return records;
}

}  // namespace sardinelead
