// The targets of the system under test: their starts, ends and successors.

#include <string>
#include <utility>

#include "plan.h"

namespace sardinelead::soak {
namespace {

using std::chrono::milliseconds;

// The platform gives the address of a target that has ended to another one
// after 2 s at the earliest.
constexpr Duration kAddressReuse = milliseconds(2100);
// The targets at the first places, one of each pool, never end.
constexpr std::size_t kSteadyPlaces = 2;
// One later start in this many ends soon, so that the clocks of two starts at
// one address or of one number can give the wrong order.
constexpr std::uint64_t kEarlyEndInterval = 3;

}  // namespace

Endpoint System::AddressOfTarget(std::size_t place) const {
  const std::uint32_t node = (m_state->edges.front() & 0xffff0000) + 0x300 +
                             static_cast<std::uint32_t>(place) + 1;
  return {IpAddress::FromV4(node), 8080};
}

TargetIdentity System::NewIdentity(std::size_t place) {
  const std::uint64_t number = 0x100000 + ++m_last_target;
  if (place < kSteadyPlaces) return {number, place == 0 ? "gallery" : "orders"};
  // An address is sometimes reused by a target of another service.
  return {number, m_change_random() % 4 == 0 ? "gallery" : "orders"};
}

void System::AddTarget(std::size_t place, const TargetIdentity& identity) {
  m_targets[place] = std::make_unique<TargetActor>(
      m_state, identity.number, identity.pool, AddressOfTarget(place),
      DataCentreName(place), m_change_random());
}

void System::ChangeTarget() {
  ChangeTarget(kSteadyPlaces +
               m_change_random() % (m_targets.size() - kSteadyPlaces));
}

// Makes one target crash or leave. Later it starts again under its number, or
// another one starts at its address, or both.
void System::ChangeTarget(std::size_t place) {
  if (m_targets[place] == nullptr) return;
  TargetActor* target = m_targets[place].get();
  const TargetIdentity identity{target->number(), target->pool()};
  const bool is_crash = m_change_random() % 2 == 0;
  if (is_crash) {
    target->Crash();
  } else {
    target->Leave();
  }
  m_retired_targets.push_back(std::move(m_targets[place]));
  const bool is_same = m_change_random() % 3 != 0;
  if (is_same) {
    const std::size_t next = PickPlaceAfter(place);
    ScheduleTarget(next, identity,
                   is_crash ? RandomSpan(100, 2000, &m_change_random)
                            : RandomSpan(7000, 9000, &m_change_random));
    if (next == place) return;
  }
  // The places that were free at the start become free again.
  if (place >= static_cast<std::size_t>(m_settings.targets)) return;
  ScheduleTarget(place, NewIdentity(place),
                 is_crash ? RandomSpan(2100, 4000, &m_change_random)
                          : RandomSpan(7000, 9000, &m_change_random));
}

// Returns where the target at `place` starts again: there or at a free place.
std::size_t System::PickPlaceAfter(std::size_t place) {
  if (m_change_random() % 2 == 0) return place;
  for (auto next = static_cast<std::size_t>(m_settings.targets);
       next < m_targets.size(); ++next) {
    if (m_targets[next] == nullptr) return next;
  }
  return place;
}

void System::ScheduleTarget(std::size_t place, const TargetIdentity& identity,
                            Duration delay) {
  Schedule(delay, [this, place, identity] { AddSuccessor(place, identity); });
}

void System::AddSuccessor(std::size_t place, const TargetIdentity& identity) {
  if (m_targets[place] != nullptr) return;
  bool must_wait = false;
  for (const auto& target : m_retired_targets) {
    const bool is_in_the_way = target->address() == AddressOfTarget(place) ||
                               target->number() == identity.number;
    if (!is_in_the_way || target->HasEnded()) continue;
    target->Crash();
    must_wait = true;
  }
  if (must_wait) return ScheduleTarget(place, identity, kAddressReuse);
  AddTarget(place, identity);
  const bool ends_soon =
      !m_state->is_healing && m_change_random() % kEarlyEndInterval == 0;
  if (!ends_soon) return;
  Schedule(RandomSpan(300, 2500, &m_change_random),
           [this, place] { ChangeTarget(place); });
}

}  // namespace sardinelead::soak
