#include "register_command.h"

#include <cstdlib>
#include <utility>

#include "cbor.h"
#include "warm_up_encoding.h"

namespace sardinelead {
namespace {

// Whether the first version of the register did not know this kind.
bool IsLaterKind(CommandKind kind) { return kind >= CommandKind::kEvacuation; }

}  // namespace

using nlohmann::json;

std::string OutcomeKey(const Command& command) {
  const char kind = static_cast<char>('0' + static_cast<int>(command.kind));
  return std::string(1, kind) + command.operator_name + '\0' + command.id;
}

ConfigVersion DocumentVersion(const Command& command) {
  return ConfigVersion{std::strtoull(command.id.c_str(), nullptr, 10)};
}

Command MakePatchCommand(const std::string& operator_name, const Patch& patch) {
  return {CommandKind::kPatch, operator_name, patch.id, ToCbor(ToJson(patch))};
}

Command MakeChangeCommand(const std::string& operator_name,
                          const ReplicaChange& change) {
  json content = json::array({change.remove.value, change.add.value});
  const bool is_conditional =
      change.remove_store != 0 || change.min_remaining != 0;
  if (is_conditional) {
    content.push_back(change.remove_store);
    content.push_back(change.min_remaining);
  }
  return {CommandKind::kReplicaChange, operator_name, change.id,
          ToCbor(content)};
}

Command MakeJoinCommand(NodeId replica, std::uint64_t store) {
  const json content = json::array({replica.value, store});
  return {CommandKind::kJoin, std::to_string(replica.value),
          std::to_string(store), ToCbor(content)};
}

Command MakeAddAndJoinCommand(NodeId replica, std::uint64_t store,
                              NodeId replaced) {
  const json content = json::array({replica.value, store, replaced.value});
  return {CommandKind::kAddAndJoin, std::to_string(replica.value),
          std::to_string(store), ToCbor(content)};
}

Command MakeDocumentCommand(const Document& document) {
  return {CommandKind::kDocument, "", std::to_string(document.version.value),
          *document.content};
}

Command MakeWarmUpGrantCommand(const std::vector<WarmUpGrant>& grants) {
  Bytes content = ToCbor(ToJson(grants));
  const auto* text = reinterpret_cast<const char*>(content.data());
  return {CommandKind::kWarmUpGrant, "",
          std::to_string(HashText({text, content.size()})), std::move(content)};
}

std::optional<std::vector<WarmUpGrant>> GrantsOf(const Command& command) {
  return WarmUpGrantListFromJson(FromCbor(command.content));
}

Command MakeEvacuationCommand(const EvacuationOrder& order,
                              const std::string& id) {
  const json content =
      json::array({order.data_centre, std::uint64_t{order.is_active ? 1U : 0U},
                   order.seen_change});
  return {CommandKind::kEvacuation, "", id, ToCbor(content)};
}

std::optional<EvacuationOrder> EvacuationOrderFrom(ByteView content) {
  const json list = FromCbor(content);
  CborArrayReader reader(list);
  EvacuationOrder order;
  order.data_centre = reader.Text();
  order.is_active = reader.Number() != 0;
  order.seen_change = reader.Number();
  if (!reader.ok() || !reader.AtEnd()) return std::nullopt;
  return order;
}

bool MayShareValue(CommandKind a, CommandKind b) {
  return a == b || (!IsLaterKind(a) && !IsLaterKind(b));
}

Bytes EncodeCommands(const std::vector<Command>& commands) {
  json list = json::array();
  for (const Command& command : commands) {
    list.push_back(json::array({static_cast<std::uint64_t>(command.kind),
                                command.operator_name, command.id,
                                Binary(command.content)}));
  }
  return ToCbor(list);
}

std::optional<std::vector<Command>> DecodeCommands(ByteView bytes) {
  const json list = FromCbor(bytes);
  if (!list.is_array()) return std::nullopt;
  std::vector<Command> commands;
  for (const json& item : list) {
    CborArrayReader reader(item);
    Command command;
    const std::uint64_t kind = reader.Number();
    command.kind = static_cast<CommandKind>(kind);
    command.operator_name = reader.Text();
    command.id = reader.Text();
    command.content = reader.Blob();
    const bool is_known_kind =
        kind <= static_cast<std::uint64_t>(CommandKind::kWarmUpGrant);
    if (!reader.ok() || !reader.AtEnd() || !is_known_kind) return std::nullopt;
    commands.push_back(std::move(command));
  }
  return commands;
}

}  // namespace sardinelead
