#include "config_exchange.h"

#include <algorithm>
#include <utility>

#include "cbor.h"

namespace sardinelead {
namespace {

using nlohmann::json;

// A subscription expires this long after the last poll.
constexpr Duration kSubscriptionTimeout = std::chrono::seconds(5);
// Responses up to this size are not charged to the budget.
constexpr std::size_t kUnmeteredBytes = 4096;
// A node that is missing more patches than this is sent a snapshot.
constexpr std::size_t kMaxPatchesPerUpdate = 100;
constexpr Duration kBusyRetryDelay = std::chrono::milliseconds(500);

}  // namespace

Bytes ConfigMessage::Encode() const {
  json array = json::array(
      {static_cast<std::uint64_t>(type), version.value, is_stale ? 1U : 0U});
  if (type == ConfigMessageType::kBusy) {
    array.push_back(static_cast<std::uint64_t>(retry_after.count()));
  }
  if (type == ConfigMessageType::kPatches) {
    json list = json::array();
    for (const Patch& patch : patches) list.push_back(ToJson(patch));
    array.push_back(std::move(list));
  }
  if (type == ConfigMessageType::kSnapshot && configuration) {
    array.push_back(ToJson(*configuration));
  }
  return ToCbor(array);
}

std::optional<ConfigMessage> ConfigMessage::Decode(ByteView bytes) {
  const json root = FromCbor(bytes);
  CborArrayReader reader(root);
  ConfigMessage message;
  const std::uint64_t type = reader.Number();
  if (type > static_cast<std::uint64_t>(kLastConfigMessageType)) {
    return std::nullopt;
  }
  message.type = static_cast<ConfigMessageType>(type);
  message.version.value = reader.Number();
  message.is_stale = reader.Number() != 0;
  if (message.type == ConfigMessageType::kBusy) {
    message.retry_after = Duration(static_cast<Duration::rep>(reader.Number()));
  }
  if (message.type == ConfigMessageType::kPatches) {
    for (const json& item : reader.Array()) {
      auto patch = PatchFromJson(item);
      if (!patch) return std::nullopt;
      message.patches.push_back(std::move(*patch));
    }
  }
  if (message.type == ConfigMessageType::kSnapshot) {
    const json* item = reader.Next();
    if (item == nullptr) return std::nullopt;
    auto configuration = ConfigurationFromJson(*item);
    if (!configuration) return std::nullopt;
    message.configuration = std::move(*configuration);
  }
  if (!reader.ok() || !reader.AtEnd()) return std::nullopt;
  return message;
}

ConfigServer::ConfigServer(TransferBudget budget, ConfigServerHooks hooks)
    : m_budget(budget),
      m_hooks(std::move(hooks)),
      m_tokens(static_cast<double>(budget.burst_bytes)) {}

Outbox ConfigServer::HandlePoll(NodeId from, ConfigVersion version,
                                TimePoint now) {
  Subscriber& subscriber = m_subscribers[from];
  subscriber.polled_at = now;
  subscriber.version = std::max(subscriber.version, version);
  return {MakeResponse(from, version, now)};
}

OutgoingMessage ConfigServer::MakeResponse(NodeId to, ConfigVersion version,
                                           TimePoint now) {
  const ConfigVersion current = m_hooks.configuration()->version;
  OutgoingMessage out{to, MessageKind::kConfigOffer, {}};
  ConfigMessage message;
  message.version = current;
  message.is_stale = m_hooks.is_stale(now);
  if (version < current) {
    const Bytes& update = EncodedUpdate(version);
    if (ConsumeBudget(update.size(), now)) {
      m_subscribers[to].version = current;
      out.body = update;
      return out;
    }
    message.type = ConfigMessageType::kBusy;
    message.retry_after = kBusyRetryDelay;
  }
  out.body = message.Encode();
  return out;
}

const Bytes& ConfigServer::EncodedUpdate(ConfigVersion version) {
  const ConfigurationPtr current = m_hooks.configuration();
  if (m_encoded_version != current->version) {
    m_encoded_updates.clear();
    m_encoded_version = current->version;
  }
  // All nodes that need a snapshot share one encoded body, stored under
  // version 0.
  auto patches = m_hooks.patches_since(version);
  const bool needs_snapshot =
      !patches || patches->size() > kMaxPatchesPerUpdate;
  const ConfigVersion key = needs_snapshot ? ConfigVersion{} : version;
  const auto [entry, inserted] = m_encoded_updates.try_emplace(key);
  if (!inserted) return entry->second;
  ConfigMessage message;
  message.type = needs_snapshot ? ConfigMessageType::kSnapshot
                                : ConfigMessageType::kPatches;
  message.version = needs_snapshot ? current->version : version;
  if (needs_snapshot) message.configuration = *current;
  if (!needs_snapshot) message.patches = std::move(*patches);
  entry->second = message.Encode();
  return entry->second;
}

bool ConfigServer::ConsumeBudget(std::size_t size, TimePoint now) {
  if (size <= kUnmeteredBytes) return true;
  const std::chrono::duration<double> elapsed = now - m_tokens_updated_at;
  const double rate = static_cast<double>(m_budget.bytes_per_second);
  const double burst = static_cast<double>(m_budget.burst_bytes);
  m_tokens = std::min(burst, m_tokens + rate * elapsed.count());
  m_tokens_updated_at = now;
  // A message larger than the burst is charged as a full burst; otherwise it
  // could never be sent.
  const double cost = std::min(static_cast<double>(size), burst);
  if (m_tokens < cost) return false;
  m_tokens -= cost;
  return true;
}

Outbox ConfigServer::NotifySubscribers(TimePoint now) {
  const ConfigVersion current = m_hooks.configuration()->version;
  if (current == m_announced_version) return {};
  m_announced_version = current;
  Outbox out;
  for (auto it = m_subscribers.begin(); it != m_subscribers.end();) {
    if (now - it->second.polled_at > kSubscriptionTimeout) {
      it = m_subscribers.erase(it);
      continue;
    }
    const NodeId to = it->first;
    const ConfigVersion known = it->second.version;
    ++it;
    if (known < current) out.push_back(MakeResponse(to, known, now));
  }
  return out;
}

}  // namespace sardinelead
