#ifndef SARDINELEAD_SRC_REGISTER_STATE_H_
#define SARDINELEAD_SRC_REGISTER_STATE_H_

// The state that decided values are applied to: the configuration, the replica
// set and the outcome of every patch id. Deterministic: the same values give
// the same state on every replica.

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "sardinelead/replica.h"

namespace sardinelead {

enum class CommandKind : std::uint8_t {
  kPatch = 0,
  kReplicaChange = 1,
  kJoin = 2,      // A replica's own: names the store that its votes come from.
  kDocument = 3,  // A whole document under a version; the highest one stands.
  kAdmit = 4,     // As kJoin, of a replica that is no member yet.
};

struct Command {
  CommandKind kind = CommandKind::kPatch;
  std::string operator_name;
  std::string id;
  Bytes content;  // CBOR of the patch, or of the change.
};

// What a resend is recognised by.
std::string OutcomeKey(const Command& command);

Command MakePatchCommand(const std::string& operator_name, const Patch& patch);
Command MakeChangeCommand(const std::string& operator_name,
                          const ReplicaChange& change);
Command MakeJoinCommand(NodeId replica, std::uint64_t store);
// `replaced` is a member to remove in the same step; NodeId{0} for none.
Command MakeAdmitCommand(NodeId replica, std::uint64_t store, NodeId replaced);
Command MakeDocumentCommand(const Document& document);

Bytes EncodeCommands(const std::vector<Command>& commands);
std::optional<std::vector<Command>> DecodeCommands(ByteView bytes);

class RegisterState {
 public:
  // Outcomes remembered.
  //
  // Why old ones may be forgotten: only the outcome of a patch whose base is
  // below the current version is, and versions only rise, so a resend of it
  // cannot run. It is answered kStale, as neither accepted nor refused.
  static constexpr std::size_t kMaxOutcomes = 100'000;

  RegisterState() = default;
  // The state of a new cluster: all of `members`, of which only `first` has
  // joined.
  RegisterState(std::uint64_t cluster, const std::vector<NodeId>& members,
                NodeId first, std::uint64_t first_store);

  // Applies the value decided at index() + 1 and returns the outcomes of its
  // commands, by key.
  std::vector<std::pair<std::string, Outcome>> Apply(ByteView value);

  // The outcome that a resend of `command` gets; empty where it is not decided.
  std::optional<Outcome> FindOutcome(const Command& command) const;
  std::optional<Outcome> FindOutcome(const std::string& key) const;

  std::uint64_t cluster() const { return m_cluster; }  // NOLINT
  std::uint64_t index() const { return m_index; }      // NOLINT
  const ConfigurationPtr& configuration() const {      // NOLINT
    return m_configuration;
  }
  const Document& document() const { return m_document; }  // NOLINT
  // Members with their store ids; 0 for one that has not joined yet.
  const std::map<NodeId, std::uint64_t>& members() const {  // NOLINT
    return m_members;
  }
  const std::deque<PatchRecord>& history() const {
    return m_history;
  }  // NOLINT

  // Members that have joined.
  std::size_t JoinedCount() const;
  // Whether votes that `replica` casts from `store` count.
  bool IsVoter(NodeId replica, std::uint64_t store) const;
  // The votes that decide: a majority of the members that have joined.
  std::size_t Quorum() const;

  Bytes Encode() const;
  static std::optional<RegisterState> Decode(ByteView bytes);

 private:
  struct Kept {
    std::uint64_t content_hash = 0;
    std::uint64_t base = 0;
    Outcome outcome;
  };

  Outcome Judge(const Command& command, std::uint64_t* base);
  Outcome JudgePatch(const Command& command, std::uint64_t* base);
  Outcome JudgeChange(const Command& command);
  Outcome JudgeJoin(const Command& command);
  Outcome JudgeAdmit(const Command& command);
  Outcome JudgeDocument(const Command& command);
  Outcome Refuse(ErrorCode code, std::string message) const;
  Outcome Accept() const;
  // False where every outcome looked at must be remembered.
  bool MakeRoom();
  void KeepPatch(const std::string& operator_name, Patch patch,
                 std::size_t size);

  std::uint64_t m_cluster = 0;
  std::uint64_t m_index = 0;
  ConfigurationPtr m_configuration = std::make_shared<Configuration>();
  Document m_document;
  std::map<NodeId, std::uint64_t> m_members;
  std::unordered_map<std::string, Kept> m_outcomes;
  std::deque<std::string> m_outcome_order;
  // The highest base version of a forgotten outcome.
  std::optional<std::uint64_t> m_forgotten_base;
  std::deque<PatchRecord> m_history;
  std::deque<std::size_t> m_history_sizes;
  std::size_t m_history_size = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_REGISTER_STATE_H_
