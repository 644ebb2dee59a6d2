#include <utility>

#include "feed_message.h"
#include "sardinelead/target_feed.h"

namespace sardinelead {
namespace {

// A target silent for longer is not reported as living.
constexpr Duration kLivingAge = std::chrono::seconds(10);

}  // namespace

FeedPublisher::FeedPublisher(FeedSettings settings, std::uint64_t epoch,
                             const TargetDirectory* directory, Hooks hooks)
    : m_settings(std::move(settings)),
      m_epoch(epoch),
      m_directory(directory),
      m_hooks(std::move(hooks)) {}

Outbox FeedPublisher::OnMessage(NodeId from, ByteView body, TimePoint now) {
  const auto message = DecodeFeedMessage(body);
  const FeedPoll* poll = message ? std::get_if<FeedPoll>(&*message) : nullptr;
  if (poll == nullptr) return {};
  const auto [found, is_new] = m_subscribers.try_emplace(from);
  Subscriber& subscriber = found->second;
  subscriber.data_centre = poll->data_centre;
  subscriber.version = poll->version;
  subscriber.polled_at = now;
  subscriber.acknowledged = poll->epoch == m_epoch ? poll->revision : 0;
  if (poll->epoch != m_epoch) subscriber.sent_revision = 0;
  Outbox out;
  if (poll->wants_routes) {
    const EncodedRoutes routes = m_hooks.routes();
    const bool is_newer = poll->version < routes.version;
    if (is_newer) {
      const FeedRoutes reply{*routes.bytes};
      out.push_back({from, MessageKind::kFeed, reply.Encode()});
    }
  }
  if (!is_new && poll->epoch == m_epoch) return out;
  const ConfigVersion version = m_hooks.routes().version;
  subscriber.reported_at = now;
  subscriber.sent_revision = m_directory->revision();
  subscriber.sent_version = version;
  out.push_back(
      {from, MessageKind::kFeed, MakeReport(subscriber, true, version, now)});
  return out;
}

void FeedPublisher::Invite(NodeId node, TimePoint now) {
  m_subscribers[node].polled_at = now;
}

std::vector<NodeId> FeedPublisher::Subscribers() const {
  std::vector<NodeId> nodes;
  for (const auto& [id, subscriber] : m_subscribers) nodes.push_back(id);
  return nodes;
}

bool FeedPublisher::IsDue(const Subscriber& subscriber, ConfigVersion version,
                          TimePoint now) const {
  const std::uint64_t revision = m_directory->revision();
  const bool is_news =
      subscriber.sent_revision < revision || subscriber.sent_version < version;
  const bool is_lost =
      (subscriber.acknowledged < revision || subscriber.version < version) &&
      now - subscriber.reported_at >= m_settings.repeat_interval;
  return is_news || is_lost ||
         now - subscriber.living_at >= m_settings.report_interval;
}

Outbox FeedPublisher::OnTick(TimePoint now) {
  Outbox out;
  const ConfigVersion version = m_hooks.routes().version;
  for (auto it = m_subscribers.begin(); it != m_subscribers.end();) {
    Subscriber& subscriber = it->second;
    if (now - subscriber.polled_at > m_settings.subscription) {
      it = m_subscribers.erase(it);
      continue;
    }
    const NodeId id = it->first;
    ++it;
    if (!IsDue(subscriber, version, now)) continue;
    const bool with_living =
        now - subscriber.living_at >= m_settings.report_interval;
    subscriber.reported_at = now;
    if (with_living) subscriber.living_at = now;
    subscriber.sent_revision = m_directory->revision();
    subscriber.sent_version = version;
    out.push_back({id, MessageKind::kFeed,
                   MakeReport(subscriber, with_living, version, now)});
  }
  return out;
}

std::size_t FeedPublisher::BalancersIn(const std::string& data_centre) const {
  std::size_t count = 0;
  for (const auto& [id, subscriber] : m_subscribers) {
    count += subscriber.data_centre == data_centre ? 1 : 0;
  }
  return count;
}

Bytes FeedPublisher::MakeReport(const Subscriber& subscriber, bool with_living,
                                ConfigVersion version, TimePoint now) const {
  FeedReport report;
  report.epoch = m_epoch;
  report.revision = m_directory->revision();
  report.base = subscriber.acknowledged;
  report.version = version;
  report.data_centre = m_settings.data_centre;
  report.balancers = BalancersIn(subscriber.data_centre);
  report.members = m_hooks.members();
  const bool is_first = subscriber.acknowledged == 0;
  for (const auto& [number, entry] : m_directory->entries()) {
    const auto heard_at = m_hooks.heard_at(number);
    if (!heard_at && !is_first) continue;
    const Duration silent = now - heard_at.value_or(entry.heard_at);
    if (entry.revision > subscriber.acknowledged) {
      ReportedTarget target{entry.news, silent};
      const bool is_warm = entry.warm_at <= now;
      target.news.warm_up_left = is_warm ? Duration{0} : entry.warm_at - now;
      report.changed.push_back(std::move(target));
      continue;
    }
    const bool is_living = with_living && silent < kLivingAge &&
                           entry.news.state != AnnouncedState::kEnded;
    if (is_living) report.living.push_back({CookieOf(number), silent});
  }
  return report.Encode();
}

}  // namespace sardinelead
