#ifndef SARDINELEAD_SRC_REGISTER_STATE_H_
#define SARDINELEAD_SRC_REGISTER_STATE_H_

// The replicated state machine: the configuration, the replica set and the
// outcome of every patch id. Deterministic: applying the same decided values
// produces the same state on every replica.

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "register_command.h"
#include "sardinelead/replica.h"

namespace sardinelead {

class RegisterState {
 public:
  // Maximum number of stored outcomes.
  //
  // Eviction is safe because it is limited to outcomes of patches whose base is
  // below the current version. Versions only increase, so a retry of such a
  // patch cannot be applied. It is answered with kStale, which says neither
  // that the patch was accepted nor that it was refused.
  static constexpr std::size_t kMaxOutcomes = 100'000;
  // Maximum number of stored outcomes of membership changes. The oldest ones
  // are evicted; replicas retry such a change for seconds only.
  static constexpr std::size_t kMaxMembershipOutcomes = 1'000;

  RegisterState() = default;
  // Creates the state of a new cluster with the given members, of which only
  // `first` has joined.
  RegisterState(std::uint64_t cluster, const std::vector<NodeId>& members,
                NodeId first, std::uint64_t first_store);

  // Applies the value decided at index() + 1 and returns the outcomes of its
  // commands with their keys.
  std::vector<std::pair<std::string, Outcome>> Apply(ByteView value);

  // Returns the outcome for a retry of `command`, or nullopt if it is
  // undecided.
  std::optional<Outcome> FindOutcome(const Command& command) const;
  std::optional<Outcome> FindOutcome(const std::string& key) const;

  std::uint64_t cluster() const { return m_cluster; }  // NOLINT
  std::uint64_t index() const { return m_index; }      // NOLINT
  const ConfigurationPtr& configuration() const {      // NOLINT
    return m_configuration;
  }
  const Document& document() const { return m_document; }  // NOLINT
  const WarmUpGrants& warm_up_grants() const {             // NOLINT
    return m_warm_up_grants;
  }
  // Members and their store ids; 0 if the member has not joined yet.
  const std::map<NodeId, std::uint64_t>& members() const {  // NOLINT
    return m_members;
  }
  const EvacuationTable& evacuations() const {  // NOLINT
    return m_evacuations;
  }
  const std::deque<PatchRecord>& history() const {
    return m_history;
  }  // NOLINT

  // Number of members that have joined.
  std::size_t JoinedCount() const;
  // Returns whether votes of `replica` with store id `store` are valid.
  bool IsVoter(NodeId replica, std::uint64_t store) const;
  // Number of votes required: a majority of the members that have joined.
  std::size_t Quorum() const;

  Bytes Encode() const;
  static std::optional<RegisterState> Decode(ByteView bytes);

 private:
  struct StoredOutcome {
    std::uint64_t content_hash = 0;
    std::uint64_t base = 0;
    Outcome outcome;
  };

  Outcome Execute(const Command& command, std::uint64_t* base);
  Outcome ExecutePatch(const Command& command, std::uint64_t* base);
  Outcome ExecuteReplicaChange(const Command& command);
  Outcome ExecuteJoin(const Command& command);
  Outcome ExecuteAdmit(const Command& command);
  Outcome ExecuteDocument(const Command& command);
  Outcome ExecuteWarmUpGrant(const Command& command);
  bool HasGrants(const Command& command) const;
  Outcome ExecuteEvacuation(const Command& command);
  bool DecodeMembers(const nlohmann::json& list);
  bool DecodeOutcomes(const nlohmann::json& list);
  bool DecodeHistory(const nlohmann::json& list);
  bool DecodeLaterParts(const nlohmann::json& list);
  Outcome Refused(ErrorCode code, std::string message) const;
  Outcome Accepted() const;
  // Evicts outcomes until there is room for one more. Returns false if no
  // examined outcome may be evicted.
  bool EnsureOutcomeCapacity();
  void StoreOutcome(const std::string& key, StoredOutcome stored);
  void EvictMembershipOutcomes();
  void AppendToHistory(const std::string& operator_name, Patch patch,
                       std::size_t size);

  std::uint64_t m_cluster = 0;
  std::uint64_t m_index = 0;
  ConfigurationPtr m_configuration = std::make_shared<Configuration>();
  Document m_document;
  WarmUpGrants m_warm_up_grants;
  EvacuationTable m_evacuations;
  std::map<NodeId, std::uint64_t> m_members;
  std::unordered_map<std::string, StoredOutcome> m_outcomes;
  std::deque<std::string> m_outcome_order;
  std::deque<std::string> m_membership_order;  // The membership changes in it.
  // The highest base version of an evicted outcome.
  std::optional<std::uint64_t> m_max_evicted_base;
  std::deque<PatchRecord> m_history;
  std::deque<std::size_t> m_history_record_bytes;
  std::size_t m_history_bytes = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_REGISTER_STATE_H_
