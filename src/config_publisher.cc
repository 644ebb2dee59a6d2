#include <utility>

#include "config_exchange.h"
#include "sardinelead/config_follower.h"

namespace sardinelead {

class ConfigPublisher::Core {
 public:
  Core(ConfigPublisherSettings settings, const Replica* replica)
      : m_replica(replica),
        m_server(settings.budget, MakeServerHooks(settings.stale_after)) {}

  Outbox OnMessage(NodeId from, ByteView body, TimePoint now) {
    const auto message = ConfigMessage::Decode(body);
    const bool is_poll = message && message->type == ConfigMessageType::kPoll;
    if (!is_poll) return {};
    return m_server.HandlePoll(from, message->version, now);
  }

  Outbox OnTick(TimePoint now) { return m_server.NotifySubscribers(now); }

 private:
  ConfigServerHooks MakeServerHooks(Duration stale_after) {
    ConfigServerHooks hooks;
    hooks.configuration = [this] { return m_replica->configuration(); };
    hooks.patches_since = [this](ConfigVersion version) {
      return m_replica->PatchesSince(version);
    };
    hooks.is_stale = [this, stale_after](TimePoint now) {
      return m_replica->Status(now).staleness > stale_after;
    };
    return hooks;
  }

  const Replica* const m_replica;
  ConfigServer m_server;
};

ConfigPublisher::ConfigPublisher(ConfigPublisherSettings settings,
                                 const Replica* replica)
    : m_core(std::make_unique<Core>(settings, replica)) {}

ConfigPublisher::~ConfigPublisher() = default;

Outbox ConfigPublisher::OnMessage(NodeId from, ByteView body, TimePoint now) {
  return m_core->OnMessage(from, body, now);
}

Outbox ConfigPublisher::OnTick(TimePoint now) { return m_core->OnTick(now); }

}  // namespace sardinelead
