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

}  // namespace

Endpoint System::AddressOfTarget(std::size_t place) const {
  const std::uint32_t node = (m_state->edges.front() & 0xffff0000) + 0x300 +
                             static_cast<std::uint32_t>(place) + 1;
  return {IpAddress::FromV4(node), 8080};
}

void System::AddTarget(std::size_t place) {
  const std::uint64_t number = 0x100000 + ++m_last_target;
  // An address is sometimes reused by a target of another service.
  const std::string pool = m_random() % 4 == 0 ? "gallery" : "orders";
  m_targets[place] = std::make_unique<TargetActor>(
      m_state, number, place < 2 ? (place == 0 ? "gallery" : "orders") : pool,
      AddressOfTarget(place), DataCentreName(place), m_random());
}

// Makes one target crash or leave, and later starts another at its address.
void System::ChangeTarget() {
  const std::size_t place = 2 + m_random() % (m_targets.size() - 2);
  if (m_targets[place] == nullptr) return;
  TargetActor* target = m_targets[place].get();
  const bool is_crash = m_random() % 2 == 0;
  if (is_crash) {
    target->Crash();
  } else {
    target->Leave();
  }
  m_retired_targets.push_back(std::move(m_targets[place]));
  Schedule(is_crash ? RandomSpan(2100, 4000) : RandomSpan(7000, 9000),
           [this, place] { AddSuccessor(place); });
}

void System::AddSuccessor(std::size_t place) {
  if (m_targets[place] != nullptr) return;
  bool was_running = false;
  for (const auto& target : m_retired_targets) {
    const bool is_running =
        target->address() == AddressOfTarget(place) && target->IsRunning();
    if (!is_running) continue;
    target->Crash();
    was_running = true;
  }
  if (!was_running) return AddTarget(place);
  Schedule(kAddressReuse, [this, place] { AddSuccessor(place); });
}

}  // namespace sardinelead::soak
