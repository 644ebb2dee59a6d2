#ifndef SARDINELEAD_TARGET_H_
#define SARDINELEAD_TARGET_H_

// Immutable snapshot of the targets for the packet path. Controllers build it
// off the packet path and publish it as a whole.

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

enum class TargetState : std::uint8_t {
  kActive,    // Receives new flows.
  kDraining,  // Keeps its existing flows, receives no new ones.
  kDead,      // Found dead by Health: its flows are lost.
  kGone,      // Deregistered, superseded or lease expired.
};
const char* Name(TargetState state);

struct Target {
  TargetId id;
  std::string name;  // As announced; for display only.
  ServiceId service;
  Endpoint tunnel;  // Destination of encapsulated packets.
  std::uint32_t slots = 1;
  Incarnation incarnation;
  TargetState state = TargetState::kActive;
  // Share of new flows relative to the other targets of the service; a target
  // with weight 0 receives none.
  double weight = 1.0;
};

// All targets of a data centre at one point in time.
class TargetSnapshot {
 public:
  TargetSnapshot() = default;
  explicit TargetSnapshot(std::vector<Target> targets);

  // Returns nullptr if the target does not exist. Cost: one hash lookup.
  const Target* Find(TargetId id) const;
  // Returns the targets of `service`, ordered by id.
  const std::vector<const Target*>& OfService(ServiceId service) const;
  const std::vector<Target>& all() const { return m_targets; }  // NOLINT

 private:
  std::vector<Target> m_targets;
  std::unordered_map<TargetId, const Target*> m_by_id;
  std::unordered_map<ServiceId, std::vector<const Target*>> m_by_service;
};

using TargetSnapshotPtr = std::shared_ptr<const TargetSnapshot>;

// Returns the id of a target: a hash of its service, tunnel address and
// incarnation. Never 0.
TargetId MakeTargetId(ServiceId service, const Endpoint& tunnel,
                      Incarnation incarnation);

}  // namespace sardinelead

#endif  // SARDINELEAD_TARGET_H_
