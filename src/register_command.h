#ifndef SARDINELEAD_SRC_REGISTER_COMMAND_H_
#define SARDINELEAD_SRC_REGISTER_COMMAND_H_

// The commands of the replicated register and the encoding of a log value, a
// list of commands.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/replica.h"

namespace sardinelead {

enum class CommandKind : std::uint8_t {
  kPatch = 0,
  kReplicaChange = 1,
  kJoin = 2,      // For a member: sets the id of the store that it votes from.
  kDocument = 3,  // A complete versioned document; the highest version wins.
  kAddAndJoin = 4,   // Like kJoin, for a replica that is not a member yet.
  kEvacuation = 5,   // Starts or finishes the evacuation of a data centre.
  kWarmUpGrant = 6,  // Grants for targets that are warming up.
};

struct Command {
  CommandKind kind = CommandKind::kPatch;
  std::string operator_name;
  std::string id;
  // For kDocument, the document itself. Otherwise the CBOR encoding of the
  // patch, the replica change, the join, the evacuation order or the list of
  // grants.
  Bytes content;
};

// The version of the document in a command of kind kDocument.
ConfigVersion DocumentVersion(const Command& command);

// Returns the key that identifies a command and its retries.
std::string OutcomeKey(const Command& command);

Command MakePatchCommand(const std::string& operator_name, const Patch& patch);
Command MakeChangeCommand(const std::string& operator_name,
                          const ReplicaChange& change);
Command MakeJoinCommand(NodeId replica, std::uint64_t store);
// `replaced` is a member to remove in the same step, or NodeId{0}.
Command MakeAddAndJoinCommand(NodeId replica, std::uint64_t store,
                              NodeId replaced);
Command MakeDocumentCommand(const Document& document);
// `id` is drawn for each call, so that a call that is held is not answered with
// the outcome of an equal order, which a later one may have overtaken.
Command MakeEvacuationCommand(const EvacuationOrder& order,
                              const std::string& id);

// Returns nullopt if `content` is not that of MakeEvacuationCommand().
std::optional<EvacuationOrder> EvacuationOrderFrom(ByteView content);

// Whether one log value may hold commands of both kinds. Replicas of a version
// that does not know a kind skip the whole value, and with it commands that
// they do know.
bool MayShareValue(CommandKind a, CommandKind b);

Command MakeWarmUpGrantCommand(const std::vector<WarmUpGrant>& grants);
// Returns nullopt if the content of a kWarmUpGrant cannot be read.
std::optional<std::vector<WarmUpGrant>> GrantsOf(const Command& command);

Bytes EncodeCommands(const std::vector<Command>& commands);
std::optional<std::vector<Command>> DecodeCommands(ByteView bytes);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_REGISTER_COMMAND_H_
