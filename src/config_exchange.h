#ifndef SARDINELEAD_SRC_CONFIG_EXCHANGE_H_
#define SARDINELEAD_SRC_CONFIG_EXCHANGE_H_

// Wire messages exchanged between configuration publishers and followers, and
// the server side of the exchange, which both share.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/config_follower.h"

namespace sardinelead {

enum class ConfigMessageType : std::uint8_t {
  // The sender has `version`, requests newer ones and subscribes to updates.
  kPoll = 0,
  // The sender has `version`.
  kOffer = 1,
  // The message contains patches that the receiver applies to `version`, in
  // order.
  kPatches = 2,
  // The message contains a full configuration, whose version is `version`.
  kSnapshot = 3,
  // The sender has `version`, but its TransferBudget is exhausted. The receiver
  // polls again after `retry_after`.
  kBusy = 4,
};
constexpr ConfigMessageType kLastConfigMessageType = ConfigMessageType::kBusy;

struct ConfigMessage {
  ConfigMessageType type = ConfigMessageType::kOffer;
  ConfigVersion version;
  // Whether the sender itself has lost contact with the control VM quorum.
  bool is_stale = false;
  Duration retry_after{};
  std::vector<Patch> patches;
  std::optional<Configuration> configuration;

  Bytes Encode() const;
  static std::optional<ConfigMessage> Decode(ByteView bytes);
};

// Data source of a ConfigServer.
struct ConfigServerHooks {
  std::function<ConfigurationPtr()> configuration;
  // Returns the patches that lead from the given version to the current one;
  // nullopt if some of them are no longer retained.
  std::function<std::optional<std::vector<Patch>>(ConfigVersion)> patches_since;
  std::function<bool(TimePoint now)> is_stale;
};

// Answers polls and pushes updates to recent pollers.
class ConfigServer {
 public:
  ConfigServer(TransferBudget budget, ConfigServerHooks hooks);

  // Answers a poll and subscribes the sender to updates.
  Outbox HandlePoll(NodeId from, ConfigVersion version, TimePoint now);
  // Sends a new version to the nodes that polled within the last few seconds.
  Outbox NotifySubscribers(TimePoint now);

 private:
  struct Subscriber {
    ConfigVersion version;
    TimePoint polled_at;
  };

  OutgoingMessage MakeResponse(NodeId to, ConfigVersion version, TimePoint now);
  // Encoded message that updates a node from `version` to the current version.
  const Bytes& EncodedUpdate(ConfigVersion version);
  bool ConsumeBudget(std::size_t size, TimePoint now);

  TransferBudget m_budget;
  ConfigServerHooks m_hooks;
  std::map<NodeId, Subscriber> m_subscribers;
  ConfigVersion m_announced_version;
  // Encoded updates to m_encoded_version, by the version that they start from.
  ConfigVersion m_encoded_version;
  std::map<ConfigVersion, Bytes> m_encoded_updates;
  double m_tokens = 0;
  TimePoint m_tokens_updated_at;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CONFIG_EXCHANGE_H_
