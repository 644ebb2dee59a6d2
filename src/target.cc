#include "sardinelead/target.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace sardinelead {

const char* Name(TargetState state) {
  switch (state) {
    case TargetState::kActive:
      return "active";
    case TargetState::kDraining:
      return "draining";
    case TargetState::kDead:
      return "dead";
    case TargetState::kGone:
      return "gone";
  }
  return "unknown";
}

TargetSnapshot::TargetSnapshot(std::vector<Target> targets)
    : m_targets(std::move(targets)) {
  std::sort(m_targets.begin(), m_targets.end(),
            [](const Target& a, const Target& b) { return a.id < b.id; });
  for (const Target& target : m_targets) {
    m_by_id.emplace(target.id, &target);
    m_by_service[target.service].push_back(&target);
  }
}

const Target* TargetSnapshot::Find(TargetId id) const {
  const auto found = m_by_id.find(id);
  return found == m_by_id.end() ? nullptr : found->second;
}

const std::vector<const Target*>& TargetSnapshot::OfService(
    ServiceId service) const {
  static const auto* const kEmpty = new std::vector<const Target*>;
  const auto found = m_by_service.find(service);
  return found == m_by_service.end() ? *kEmpty : found->second;
}

TargetId MakeTargetId(ServiceId service, const Endpoint& tunnel,
                      Incarnation incarnation) {
  const auto& bytes = tunnel.address.bytes;
  const std::string_view address(reinterpret_cast<const char*>(bytes.data()),
                                 bytes.size());
  const std::uint64_t address_hash = HashText(address, service.value);
  const std::uint64_t endpoint_hash = HashCombine(address_hash, tunnel.port);
  const std::uint64_t hash = HashCombine(endpoint_hash, incarnation.value);
  return TargetId{hash == 0 ? 1 : hash};
}

}  // namespace sardinelead
