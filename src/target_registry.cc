#include "sardinelead/target_registry.h"

#include <algorithm>
#include <cassert>
#include <cmath>

// How the table stays one table without a store. What targets say is checked in
// target_announcement.cc.
//
// Each record has one writer at a time, its home, so most changes are ordered
// by the sequence alone. Homes may race when a target speaks to two balancers;
// then the joined record is the one of the greater sequence, and two things are
// never undone by a greater one: a target that ended stays ended, and one that
// drains stays draining. A home that takes a record over adds two to the
// sequence where the end of a lease adds one, so a target that moved to another
// home does not lapse by the clock of its old one.

namespace sardinelead {
namespace {

constexpr std::uint32_t kTakeOverStep = 2;
constexpr std::uint32_t kLapseStep = 1;
// Leases for which a home must be silent before its targets are written off.
constexpr int kLeasesToWriteOff = 4;
constexpr double kTrialWeight = 0.05;
// Ramp weights are published in steps of this size.
constexpr double kWeightStep = 0.1;

// Whether `a` wins over `b`, two records of one target.
bool Wins(const TargetRecord& a, const TargetRecord& b) {
  if (a.Ended() != b.Ended()) return a.Ended();
  if (a.Ended() && a.state != b.state) return a.state > b.state;
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

// Whether the record's home lives, as far as this balancer heard.
bool TargetRegistry::IsHeard(const TargetRecord& record, TimePoint now) const {
  if (IsHome(record)) return true;
  const auto home = m_homes.find(record.home);
  if (home == m_homes.end()) return false;
  return home->second.incarnation == record.home_incarnation &&
         now - home->second.heard_at <= m_settings.lease;
}

bool TargetRegistry::TakesFlows(const Entry& entry, TimePoint now) const {
  return entry.record.state == LeaseState::kActive && !entry.record.draining &&
         IsHeard(entry.record, now);
}

// Whether flows that the target has may go on.
bool TargetRegistry::KeepsFlows(const Entry& entry, TimePoint now) const {
  if (entry.record.Ended()) return false;
  if (entry.record.state == LeaseState::kActive) return true;
  return now - entry.changed_at <= m_settings.lease * kLeasesToWriteOff;
}

void TargetRegistry::TakeOver(Entry* entry, TimePoint now) {
  entry->record.sequence += kTakeOverStep;
  entry->record.state = LeaseState::kActive;
  entry->record.home = m_settings.self;
  entry->record.home_incarnation = m_settings.incarnation;
  entry->renewed_at = now;
  entry->changed_at = now;
  MarkChanged(*entry, true);
}

void TargetRegistry::End(Entry* entry, LeaseState state, TimePoint now) {
  if (entry->record.Ended() && entry->record.state >= state) return;
  entry->record.state = state;
  entry->changed_at = now;
  m_own_loads.erase(entry->record.Id());
}

void TargetRegistry::MarkChanged(const Entry& entry, bool own) {
  bool& is_own = m_fresh[entry.record.Id()];
  is_own = is_own || own;
}

// Of all targets of one tunnel address only the newest may live.
void TargetRegistry::SettleTunnel(const Endpoint& tunnel, TimePoint now) {
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
    m_newest.erase(tunnel);
    return;
  }
  m_newest[tunnel] = newest->record.Id();
  for (auto& [id, entry] : m_table) {
    if (!(entry.record.tunnel == tunnel) || &entry == newest) continue;
    End(&entry, LeaseState::kSuperseded, now);
  }
}

// A target that renews here was reported lapsed by somebody.
void TargetRegistry::Reassert(Entry* entry, const TargetRecord& told,
                              TimePoint now) {
  entry->record.sequence = std::max(entry->record.sequence, told.sequence);
  entry->record.draining = entry->record.draining || told.draining;
  const TimePoint renewed_at = entry->renewed_at;
  TakeOver(entry, now);
  entry->renewed_at = renewed_at;
}

void TargetRegistry::Merge(const TargetRecord& told, TimePoint now) {
  const TargetId id = told.Id();
  const Duration age = std::chrono::seconds(told.age_s);
  const bool too_old = told.Ended() && age > m_settings.memory / 2;
  const auto [found, is_new] = m_table.try_emplace(id);
  Entry& entry = found->second;
  if (is_new && too_old) {
    m_table.erase(found);
    return;
  }
  const bool wins = is_new || Wins(told, entry.record);
  const bool drains = told.draining && !entry.record.draining;
  if (!wins && !drains) return;
  const bool lives_here = !is_new && IsHome(entry.record) &&
                          entry.record.state == LeaseState::kActive;
  if (lives_here && told.state == LeaseState::kLapsed) {
    Reassert(&entry, told, now);
    return;
  }
  const bool was_draining = !is_new && entry.record.draining;
  if (drains) entry.draining_since = now;
  if (is_new) entry.announced_at = told.Ended() ? now : now - age;
  if (wins) entry.record = told;
  entry.record.draining = was_draining || told.draining;
  entry.changed_at = told.Ended() ? now - age : now;
  if (entry.record.Ended() || !IsHome(entry.record)) m_own_loads.erase(id);
  MarkChanged(entry, false);
  SettleTunnel(told.tunnel, now);
}

void TargetRegistry::EndDrain(Entry* entry, TimePoint now) {
  const auto configuration = m_blackboard->configuration.Read();
  const Service* service = configuration->FindById(entry->record.service);
  if (service == nullptr || service->drain_deadline_s == 0) return;
  const Duration deadline = std::chrono::seconds(service->drain_deadline_s);
  if (now - entry->draining_since < deadline) return;
  End(entry, LeaseState::kLeft, now);
  MarkChanged(*entry, true);
}

void TargetRegistry::EndLeases(TimePoint now) {
  for (auto& [id, entry] : m_table) {
    TargetRecord& record = entry.record;
    if (record.Ended()) continue;
    if (record.draining) EndDrain(&entry, now);
    if (record.state != LeaseState::kActive) continue;
    const bool home_here = IsHome(record);
    bool lapsed = home_here && now - entry.renewed_at > m_settings.lease;
    if (!home_here && !IsHeard(record, now)) {
      const auto home = m_homes.find(record.home);
      const TimePoint heard =
          home == m_homes.end() ||
                  home->second.incarnation != record.home_incarnation
              ? entry.changed_at
              : std::max(home->second.heard_at, entry.changed_at);
      lapsed = now - heard > m_settings.lease * kLeasesToWriteOff;
    }
    if (!lapsed) continue;
    // Every balancer that gives up a silent home writes this same record.
    record.sequence += kLapseStep;
    record.state = LeaseState::kLapsed;
    entry.changed_at = now;
    MarkChanged(entry, home_here);
  }
}

void TargetRegistry::Forget(TimePoint now) {
  for (auto it = m_table.begin(); it != m_table.end();) {
    const Entry& entry = it->second;
    const bool gone = entry.record.state != LeaseState::kActive &&
                      now - entry.changed_at > m_settings.memory;
    if (!gone) {
      ++it;
      continue;
    }
    const Endpoint tunnel = entry.record.tunnel;
    m_fresh.erase(it->first);
    m_own_loads.erase(it->first);
    it = m_table.erase(it);
    SettleTunnel(tunnel, now);
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
  if (!KeepsFlows(entry, now)) {
    target.state = TargetState::kGone;
    target.weight = 0;
    return target;
  }
  const Verdict verdict = m_health->VerdictOf(target.id);
  if (!TakesFlows(entry, now)) target.state = TargetState::kDraining;
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
    if (!KeepsFlows(entry, now)) continue;
    const Endpoint check{entry.record.tunnel.address, entry.record.check_port};
    targets.push_back(HealthTarget{id, entry.record.service, check});
  }
  if (!SameChecks(targets, m_checked)) m_health->SetTargets(targets, now);
  m_checked = std::move(targets);
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
