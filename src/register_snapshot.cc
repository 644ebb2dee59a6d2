// The encoding of a RegisterState in snapshots.

#include <utility>

#include "cbor.h"
#include "evacuation_encoding.h"
#include "register_state.h"
#include "warm_up_encoding.h"

namespace sardinelead {
namespace {

using nlohmann::json;

constexpr std::uint64_t kStateFormatVersion = 2;

json OutcomeToJson(const Outcome& outcome) {
  return json::array({static_cast<std::uint64_t>(outcome.kind),
                      outcome.version.value,
                      static_cast<std::uint64_t>(outcome.error.code),
                      outcome.error.message, outcome.error.path});
}

Outcome ReadOutcome(CborArrayReader* reader) {
  Outcome outcome;
  CborArrayReader fields(reader->Array());
  outcome.kind = static_cast<OutcomeKind>(fields.Number());
  outcome.version.value = fields.Number();
  outcome.error.code = static_cast<ErrorCode>(fields.Number());
  outcome.error.message = fields.Text();
  outcome.error.path = fields.Text();
  return outcome;
}

}  // namespace

Bytes RegisterState::Encode() const {
  json members = json::array();
  for (const auto& [member, store] : m_members) {
    members.push_back(json::array({member.value, store}));
  }
  json outcomes = json::array();
  for (const std::string& key : m_outcome_order) {
    const StoredOutcome& stored = m_outcomes.at(key);
    outcomes.push_back(
        json::array({Binary(Bytes(key.begin(), key.end())), stored.content_hash,
                     stored.base, OutcomeToJson(stored.outcome)}));
  }
  json history = json::array();
  for (std::size_t i = 0; i < m_history.size(); ++i) {
    const PatchRecord& record = m_history[i];
    history.push_back(
        json::array({record.version.value, record.operator_name,
                     ToJson(record.patch), m_history_record_bytes[i]}));
  }
  const json evicted =
      m_max_evicted_base ? json::array({*m_max_evicted_base}) : json::array();
  json state = json::array(
      {kStateFormatVersion, m_cluster, m_index, ToJson(*m_configuration),
       std::move(members), std::move(outcomes), std::move(history), evicted,
       m_document.version.value, Binary(*m_document.content)});
  // Older versions cannot read this element, so it is left out if it is empty.
  const bool has_grants = m_warm_up_grants.added() != 0;
  if (has_grants || !m_evacuations.entries().empty()) {
    json later = json::array({ToJson(m_evacuations)});
    if (has_grants) later.push_back(ToJson(m_warm_up_grants));
    state.push_back(std::move(later));
  }
  return ToCbor(state);
}

std::optional<RegisterState> RegisterState::Decode(ByteView bytes) {
  const json root = FromCbor(bytes);
  CborArrayReader reader(root);
  RegisterState state;
  if (reader.Number() != kStateFormatVersion) return std::nullopt;
  state.m_cluster = reader.Number();
  state.m_index = reader.Number();
  const json* configuration = reader.Next();
  if (configuration == nullptr) return std::nullopt;
  auto parsed = ConfigurationFromJson(*configuration);
  if (!parsed) return std::nullopt;
  state.m_configuration = std::make_shared<Configuration>(std::move(*parsed));
  bool is_valid = state.DecodeMembers(reader.Array());
  is_valid = state.DecodeOutcomes(reader.Array()) && is_valid;
  is_valid = state.DecodeHistory(reader.Array()) && is_valid;
  CborArrayReader evicted(reader.Array());
  if (!evicted.AtEnd()) state.m_max_evicted_base = evicted.Number();
  state.m_document.version = ConfigVersion{reader.Number()};
  state.m_document.content = std::make_shared<const Bytes>(reader.Blob());
  if (!reader.AtEnd()) {
    is_valid = state.DecodeLaterParts(reader.Array()) && is_valid;
  }
  if (!reader.ok() || !reader.AtEnd() || !is_valid) return std::nullopt;
  return state;
}

// The functions below read one element of a snapshot each, and return whether
// it has the form that Encode() gives it.

bool RegisterState::DecodeMembers(const json& list) {
  bool is_valid = true;
  for (const json& item : list) {
    CborArrayReader fields(item);
    const NodeId member{static_cast<std::uint32_t>(fields.Number())};
    m_members[member] = fields.Number();
    is_valid = is_valid && fields.ok();
  }
  return is_valid;
}

bool RegisterState::DecodeOutcomes(const json& list) {
  bool is_valid = true;
  for (const json& item : list) {
    CborArrayReader fields(item);
    const Bytes raw_key = fields.Blob();
    const std::string key(raw_key.begin(), raw_key.end());
    StoredOutcome stored;
    stored.content_hash = fields.Number();
    stored.base = fields.Number();
    stored.outcome = ReadOutcome(&fields);
    is_valid = is_valid && fields.ok();
    StoreOutcome(key, std::move(stored));
  }
  return is_valid;
}

bool RegisterState::DecodeHistory(const json& list) {
  for (const json& item : list) {
    CborArrayReader fields(item);
    const ConfigVersion version{fields.Number()};
    std::string operator_name = fields.Text();
    const json* content = fields.Next();
    const std::size_t size = fields.Number();
    auto patch = content == nullptr ? Fail(ErrorCode::kMalformed, "no patch")
                                    : PatchFromJson(*content);
    if (!fields.ok() || !patch) return false;
    m_history.push_back({version, std::move(operator_name), std::move(*patch)});
    m_history_record_bytes.push_back(size);
    m_history_bytes += size;
  }
  return true;
}

bool RegisterState::DecodeLaterParts(const json& list) {
  CborArrayReader later(list);
  auto evacuations = EvacuationsFromJson(later.Array());
  std::optional<WarmUpGrants> grants = WarmUpGrants{};
  if (!later.AtEnd()) grants = WarmUpGrantsFromJson(later.Array());
  const bool is_valid = evacuations && grants && later.ok() && later.AtEnd();
  if (!is_valid) return false;
  m_evacuations = std::move(*evacuations);
  m_warm_up_grants = std::move(*grants);
  return true;
}

}  // namespace sardinelead
