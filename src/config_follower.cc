#include "sardinelead/config_follower.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "config_exchange.h"

namespace sardinelead {
namespace {

constexpr std::size_t kMaxRetainedPatches = 256;
// Number of random peers that a starting follower polls in addition to control
// VMs.
constexpr std::size_t kStartupPollPeers = 4;
// With more peers than this, a starting follower polls one control VM instead
// of all of them.
constexpr std::size_t kPollAllSourcesMaxPeers = 64;
// How long an unresponsive or stale upstream is avoided.
constexpr Duration kUpstreamAvoidTime = std::chrono::seconds(10);
constexpr std::uint32_t kMaxRetryDoublings = 10;

}  // namespace

class ConfigFollower::Core {
 public:
  Core(ConfigFollowerSettings settings, Blackboard* blackboard,
       ConfigFollowerHooks hooks)
      : m_settings(std::move(settings)),
        m_blackboard(blackboard),
        m_hooks(std::move(hooks)),
        m_configuration(blackboard->configuration.Read()),
        m_server(m_settings.budget, MakeServerHooks()) {}

  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  Outbox OnTick(TimePoint now);
  ConfigVersion version() const { return m_configuration->version; }  // NOLINT
  Duration Staleness(TimePoint now) const { return now - m_last_fresh_at; }

 private:
  ConfigServerHooks MakeServerHooks();
  std::optional<std::vector<Patch>> PatchesSince(ConfigVersion version) const;
  void Start(TimePoint now, Outbox* out);
  void MaybePublish(TimePoint now);
  void ApplyPatches(const ConfigMessage& message);
  void ApplySnapshot(Configuration configuration);
  void UpdateUpstreamState(NodeId from, const ConfigMessage& message,
                           TimePoint now);
  void Poll(TimePoint now, Outbox* out);
  void OfferToPeer(Outbox* out);
  NodeId PreferredUpstream(const std::vector<NodeId>& peers) const;
  NodeId ChooseUpstream(TimePoint now);
  NodeId PickRandom(const std::vector<NodeId>& nodes);
  Duration Jittered(Duration base);
  OutgoingMessage MakeMessage(NodeId to, ConfigMessageType type) const;

  const ConfigFollowerSettings m_settings;
  Blackboard* const m_blackboard;
  const ConfigFollowerHooks m_hooks;

  ConfigurationPtr m_configuration;
  // The most recent patches, if any; the last one produced m_configuration.
  std::deque<Patch> m_patches;
  ConfigServer m_server;

  bool m_is_started = false;
  bool m_may_publish = false;
  TimePoint m_publish_deadline;
  std::set<NodeId> m_answered_sources;

  NodeId m_upstream;
  // When m_upstream was selected or, if later, last sent a message.
  TimePoint m_upstream_active_at;
  std::map<NodeId, TimePoint> m_avoid_until;
  std::uint32_t m_failures = 0;
  TimePoint m_next_poll_at;
  TimePoint m_next_offer_at;
  // A message that announces a newer version is not answered with a poll before
  // this time.
  TimePoint m_next_pull_at;
  TimePoint m_last_fresh_at;
};

ConfigServerHooks ConfigFollower::Core::MakeServerHooks() {
  ConfigServerHooks hooks;
  hooks.configuration = [this] { return m_configuration; };
  hooks.patches_since = [this](ConfigVersion version) {
    return PatchesSince(version);
  };
  hooks.is_stale = [this](TimePoint now) {
    return Staleness(now) > m_settings.silence_timeout;
  };
  return hooks;
}

std::optional<std::vector<Patch>> ConfigFollower::Core::PatchesSince(
    ConfigVersion version) const {
  const std::uint64_t missing = m_configuration->version.value - version.value;
  if (missing > m_patches.size()) return std::nullopt;
  return std::vector<Patch>(
      m_patches.end() - static_cast<std::ptrdiff_t>(missing), m_patches.end());
}

Outbox ConfigFollower::Core::OnMessage(NodeId from, ByteView body,
                                       TimePoint now) {
  auto message = ConfigMessage::Decode(body);
  if (!message) return {};
  UpdateUpstreamState(from, *message, now);
  Outbox out;
  switch (message->type) {
    case ConfigMessageType::kPoll:
      out = m_server.HandlePoll(from, message->version, now);
      break;
    case ConfigMessageType::kOffer:
      break;
    case ConfigMessageType::kPatches:
      ApplyPatches(*message);
      break;
    case ConfigMessageType::kSnapshot:
      if (message->configuration) {
        ApplySnapshot(std::move(*message->configuration));
      }
      break;
    case ConfigMessageType::kBusy:
      m_next_pull_at = now + Jittered(message->retry_after);
      m_next_poll_at = std::max(m_next_poll_at, m_next_pull_at);
      break;
  }
  const bool is_offer = message->type == ConfigMessageType::kOffer ||
                        message->type == ConfigMessageType::kPoll;
  if (is_offer && version() < message->version && now >= m_next_pull_at) {
    m_next_pull_at = now + m_settings.retry_base;
    out.push_back(MakeMessage(from, ConfigMessageType::kPoll));
  }
  MaybePublish(now);
  for (OutgoingMessage& update : m_server.NotifySubscribers(now)) {
    out.push_back(std::move(update));
  }
  return out;
}

void ConfigFollower::Core::UpdateUpstreamState(NodeId from,
                                               const ConfigMessage& message,
                                               TimePoint now) {
  const auto& sources = m_settings.sources;
  if (std::find(sources.begin(), sources.end(), from) != sources.end()) {
    m_answered_sources.insert(from);
  }
  if (from != m_upstream) return;
  m_upstream_active_at = now;
  if (!message.is_stale) {
    m_failures = 0;
    m_last_fresh_at = now;
    return;
  }
  // Avoid a stale upstream in favour of one that may have newer versions. It
  // remains usable as a last resort.
  m_avoid_until[from] = now + Jittered(kUpstreamAvoidTime);
  m_upstream = NodeId{};
}

void ConfigFollower::Core::ApplyPatches(const ConfigMessage& message) {
  ConfigVersion base = message.version;
  for (const Patch& patch : message.patches) {
    const bool is_next = base == version();
    ++base.value;
    if (!is_next) continue;
    auto next = Apply(*m_configuration, patch);
    if (!next) return;
    m_configuration = std::make_shared<Configuration>(std::move(*next));
    m_patches.push_back(patch);
    if (m_patches.size() > kMaxRetainedPatches) m_patches.pop_front();
  }
}

void ConfigFollower::Core::ApplySnapshot(Configuration configuration) {
  if (!(version() < configuration.version)) return;
  m_configuration = std::make_shared<Configuration>(std::move(configuration));
  m_patches.clear();
}

void ConfigFollower::Core::MaybePublish(TimePoint now) {
  const std::size_t majority = m_settings.sources.size() / 2 + 1;
  const bool has_majority = m_answered_sources.size() >= majority;
  m_may_publish = m_may_publish || has_majority || now >= m_publish_deadline;
  if (!m_may_publish) return;
  const ConfigVersion published = m_blackboard->configuration.Read()->version;
  if (published < version()) {
    m_blackboard->configuration.Publish(m_configuration);
  }
}

Outbox ConfigFollower::Core::OnTick(TimePoint now) {
  Outbox out;
  if (!m_is_started) Start(now, &out);
  if (now >= m_next_poll_at) Poll(now, &out);
  if (now >= m_next_offer_at) {
    m_next_offer_at = now + Jittered(m_settings.poll_interval);
    OfferToPeer(&out);
  }
  MaybePublish(now);
  for (OutgoingMessage& update : m_server.NotifySubscribers(now)) {
    out.push_back(std::move(update));
  }
  return out;
}

// Polls several nodes at once so that the first version published is the newest
// one reachable.
void ConfigFollower::Core::Start(TimePoint now, Outbox* out) {
  m_is_started = true;
  m_last_fresh_at = now;
  m_upstream_active_at = now;
  m_publish_deadline = now + m_settings.start_wait;
  const std::vector<NodeId> peers = m_hooks.peers();
  std::set<NodeId> nodes_to_poll;
  for (std::size_t i = 0; i < kStartupPollPeers && !peers.empty(); ++i) {
    nodes_to_poll.insert(PickRandom(peers));
  }
  const bool polls_all_sources = peers.size() <= kPollAllSourcesMaxPeers;
  if (polls_all_sources) {
    nodes_to_poll.insert(m_settings.sources.begin(), m_settings.sources.end());
  } else if (!m_settings.sources.empty()) {
    nodes_to_poll.insert(PickRandom(m_settings.sources));
  }
  nodes_to_poll.erase(m_settings.self);
  for (const NodeId node : nodes_to_poll) {
    out->push_back(MakeMessage(node, ConfigMessageType::kPoll));
  }
  m_next_poll_at = now + Jittered(m_settings.retry_base);
}

void ConfigFollower::Core::Poll(TimePoint now, Outbox* out) {
  const bool is_silent =
      m_upstream.value != 0 &&
      now - m_upstream_active_at > m_settings.silence_timeout;
  if (is_silent) {
    m_avoid_until[m_upstream] = now + Jittered(kUpstreamAvoidTime);
    m_upstream = NodeId{};
    m_failures = std::min(m_failures + 1, kMaxRetryDoublings);
  }
  const NodeId chosen = ChooseUpstream(now);
  if (chosen != m_upstream) {
    m_upstream = chosen;
    m_upstream_active_at = now;
  }
  // A poll is only a few bytes, so it is sent every interval while the upstream
  // responds. The interval backs off while successive upstreams are
  // unresponsive.
  const Duration backoff =
      std::min(m_settings.retry_cap, m_settings.retry_base * (1 << m_failures));
  const Duration interval = m_failures == 0
                                ? m_settings.poll_interval
                                : std::max(backoff, m_settings.poll_interval);
  m_next_poll_at = now + Jittered(interval / 2);
  if (m_upstream.value != 0) {
    out->push_back(MakeMessage(m_upstream, ConfigMessageType::kPoll));
  }
}

void ConfigFollower::Core::OfferToPeer(Outbox* out) {
  const NodeId peer = PickRandom(m_hooks.peers());
  if (peer.value == 0 || peer == m_settings.self) return;
  out->push_back(MakeMessage(peer, ConfigMessageType::kOffer));
}

// Returns this node's parent in the tree built from the sorted ids of the data
// centre's followers, or a control VM if this node is a relay.
NodeId ConfigFollower::Core::PreferredUpstream(
    const std::vector<NodeId>& peers) const {
  std::vector<NodeId> nodes = peers;
  nodes.push_back(m_settings.self);
  std::sort(nodes.begin(), nodes.end());
  nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
  const auto self =
      std::lower_bound(nodes.begin(), nodes.end(), m_settings.self);
  const auto position = static_cast<std::size_t>(self - nodes.begin());
  if (position >= m_settings.relay_count) {
    return nodes[(position - m_settings.relay_count) / m_settings.fan_out];
  }
  const auto& sources = m_settings.sources;
  if (sources.empty()) return NodeId{};
  return sources[m_settings.self.value % sources.size()];
}

NodeId ConfigFollower::Core::ChooseUpstream(TimePoint now) {
  const std::vector<NodeId> peers = m_hooks.peers();
  const auto is_avoided = [this, now](NodeId node) {
    const auto found = m_avoid_until.find(node);
    return found != m_avoid_until.end() && now < found->second;
  };
  const NodeId preferred = PreferredUpstream(peers);
  if (preferred.value != 0 && !is_avoided(preferred)) return preferred;
  if (m_upstream.value != 0 && !is_avoided(m_upstream)) return m_upstream;
  std::vector<NodeId> candidates;
  for (const auto* nodes : {&m_settings.sources, &peers}) {
    for (const NodeId node : *nodes) {
      if (node == m_settings.self || is_avoided(node)) continue;
      candidates.push_back(node);
    }
  }
  return candidates.empty() ? preferred : PickRandom(candidates);
}

NodeId ConfigFollower::Core::PickRandom(const std::vector<NodeId>& nodes) {
  if (nodes.empty()) return NodeId{};
  return nodes[m_hooks.random() % nodes.size()];
}

Duration ConfigFollower::Core::Jittered(Duration base) {
  const auto span =
      static_cast<std::uint64_t>(std::max<Duration::rep>(base.count(), 1));
  return base + Duration(static_cast<Duration::rep>(m_hooks.random() % span));
}

OutgoingMessage ConfigFollower::Core::MakeMessage(
    NodeId to, ConfigMessageType type) const {
  ConfigMessage message;
  message.type = type;
  message.version = version();
  return {to, MessageKind::kConfigOffer, message.Encode()};
}

ConfigFollower::ConfigFollower(ConfigFollowerSettings settings,
                               Blackboard* blackboard,
                               ConfigFollowerHooks hooks)
    : m_core(std::make_unique<Core>(std::move(settings), blackboard,
                                    std::move(hooks))) {}

ConfigFollower::~ConfigFollower() = default;

Outbox ConfigFollower::OnMessage(NodeId from, ByteView body, TimePoint now) {
  return m_core->OnMessage(from, body, now);
}

Outbox ConfigFollower::OnTick(TimePoint now) { return m_core->OnTick(now); }

ConfigVersion ConfigFollower::version() const { return m_core->version(); }

Duration ConfigFollower::Staleness(TimePoint now) const {
  return m_core->Staleness(now);
}

}  // namespace sardinelead
