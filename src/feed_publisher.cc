#include "sardinelead/feed_publisher.h"

#include <algorithm>
#include <utility>

#include "feed_message.h"

namespace sardinelead {
namespace {

// A target that has been silent for longer sends its heartbeats to another
// control VM, or to none.
constexpr Duration kHeardTimeout = std::chrono::seconds(10);
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
constexpr Duration kMemberListInterval = std::chrono::seconds(3);
// Limits the exponential backoff between unacknowledged reports.
constexpr std::uint32_t kMaxBackoffDoublings = 3;
// At about 70 bytes per target, a report passes a slow link in a few
// milliseconds, and a lost datagram costs little.
constexpr std::size_t kMaxTargetsPerReport = 256;
constexpr std::size_t kMaxReportBytes = 32 << 10;

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
  ++m_counters.polls;
  SyncWithDirectory();
  Subscriber& subscriber = m_subscribers[from];
  const bool is_known = subscriber.has_polled && poll->epoch == m_epoch;
  const bool has_advanced =
      is_known && poll->revision > subscriber.acknowledged;
  // Only the parts of a long report follow each other at once. Changes made
  // since then wait for the next batch: answered at once, each acknowledgment
  // would cause another report and another acknowledgment, for every
  // subscriber, as long as targets change.
  const bool is_next_part_due = has_advanced && subscriber.has_more;
  if (!is_known) subscriber = Subscriber{};
  subscriber.has_polled = true;
  subscriber.retransmissions = 0;
  subscriber.data_centre = poll->data_centre;
  subscriber.wants_all_targets = poll->wants_all_targets;
  subscriber.is_control = poll->is_control;
  subscriber.version = poll->version;
  subscriber.evacuations = poll->evacuations;
  subscriber.polled_at = now;
  subscriber.acknowledged = poll->epoch == m_epoch ? poll->revision : 0;
  Outbox out;
  const bool needs_routes =
      poll->wants_routes && poll->version < m_hooks.routes_version();
  if (needs_routes) out.push_back(MakeRoutes(from, *poll));
  subscriber.awaits_batch =
      has_advanced && subscriber.acknowledged < LatestRevisionFor(subscriber);
  if (is_known && !is_next_part_due) return out;
  out.push_back(MakeReport(from, &subscriber, now));
  return out;
}

OutgoingMessage FeedPublisher::MakeRoutes(NodeId id,
                                          const FeedPoll& poll) const {
  const ConfigVersion held =
      poll.accepts_changes ? poll.version : ConfigVersion{0};
  const RouteUpdate update = m_hooks.routes_since(held);
  const Bytes body = update.changes.empty()
                         ? FeedRoutes{*update.table}.Encode()
                         : FeedRouteChanges{update.changes}.Encode();
  return {id, MessageKind::kFeed, body};
}

void FeedPublisher::OnTargetAnnounced(std::uint64_t target, bool is_changed,
                                      TimePoint now) {
  SyncWithDirectory();
  const TargetDirectory::Entry* entry = m_directory->Find(target);
  if (entry == nullptr) return;
  const bool is_ended = entry->announcement.state == AnnouncedState::kEnded;
  Record& record = m_records[target];
  const bool is_first = !record.ever_heard;
  const bool is_newly_heard = !record.is_heard && !is_ended;
  record.heard_at = now;
  record.ever_heard = true;
  record.is_heard = !is_ended;
  if (is_newly_heard) ++m_counters.targets_gained;
  if (is_first || is_newly_heard) AssignRevision(target, is_changed);
}

void FeedPublisher::SyncWithDirectory() {
  const std::uint64_t revision = m_directory->revision();
  if (m_directory_revision == revision) return;
  for (const auto& [number, entry] : m_directory->entries()) {
    if (entry.revision > m_directory_revision) AssignRevision(number, true);
  }
  m_directory_revision = revision;
}

void FeedPublisher::AssignRevision(std::uint64_t target, bool is_urgent) {
  Record& record = m_records[target];
  m_targets_by_revision.erase(record.revision);
  record.revision = ++m_revision;
  m_targets_by_revision.emplace(record.revision, target);
  m_encoded_changes.clear();
  if (!record.ever_heard) return;
  m_heard_revision = record.revision;
  if (is_urgent) m_urgent_revision = record.revision;
}

void FeedPublisher::ExpireTargets(TimePoint now) {
  if (now - m_expired_at < kExpiryInterval) return;
  m_expired_at = now;
  for (auto it = m_records.begin(); it != m_records.end();) {
    const auto [number, record] = *it;
    const bool is_known = m_directory->Find(number) != nullptr;
    if (!is_known) {
      m_targets_by_revision.erase(record.revision);
      it = m_records.erase(it);
      continue;
    }
    const bool is_expired =
        record.is_heard && now - record.heard_at > kHeardTimeout;
    if (is_expired) {
      ++m_counters.targets_lost;
      it->second.is_heard = false;
      AssignRevision(number, false);
    }
    ++it;
  }
}

void FeedPublisher::RefreshMembers(TimePoint now) {
  std::vector<NodeId> members = m_hooks.members();
  members.push_back(m_settings.self);
  for (const auto& [id, subscriber] : m_subscribers) {
    if (subscriber.is_control) members.push_back(id);
  }
  std::sort(members.begin(), members.end());
  members.erase(std::unique(members.begin(), members.end()), members.end());
  if (members == m_members) return;
  m_members = std::move(members);
  m_members_changed_at = now;
}

void FeedPublisher::Invite(NodeId node, TimePoint now) {
  m_subscribers[node].polled_at = now;
}

std::vector<NodeId> FeedPublisher::Subscribers() const {
  std::vector<NodeId> nodes;
  for (const auto& [id, subscriber] : m_subscribers) nodes.push_back(id);
  return nodes;
}

std::vector<SubscriberStatus> FeedPublisher::Status(TimePoint now) const {
  std::vector<SubscriberStatus> all;
  for (const auto& [id, subscriber] : m_subscribers) {
    all.push_back({id, subscriber.data_centre, subscriber.is_control,
                   subscriber.version, now - subscriber.polled_at,
                   subscriber.has_polled, subscriber.evacuations});
  }
  return all;
}

std::size_t FeedPublisher::BalancersWithNewestEvacuations() const {
  const auto count = std::count_if(
      m_subscribers.begin(), m_subscribers.end(), [this](const auto& item) {
        const Subscriber& subscriber = item.second;
        return subscriber.has_polled && !subscriber.is_control &&
               !LacksEvacuations(subscriber);
      });
  return static_cast<std::size_t>(count);
}

bool FeedPublisher::LacksEvacuations(const Subscriber& subscriber) const {
  return subscriber.has_polled && !subscriber.is_control &&
         subscriber.evacuations < m_hooks.evacuations_version();
}

Duration FeedPublisher::BatchInterval() const {
  const auto subscribers = static_cast<Duration::rep>(m_subscribers.size());
  const Duration paced_interval =
      m_settings.interval_per_subscriber * subscribers;
  return std::clamp(paced_interval, m_settings.min_batch_interval,
                    m_settings.max_batch_interval);
}

bool FeedPublisher::IsDue(const Subscriber& subscriber, ConfigVersion version,
                          bool is_batch_due, TimePoint now) const {
  if (now - subscriber.silence_at >= m_settings.report_interval) return true;
  const bool lacks_evacuations = LacksEvacuations(subscriber);
  const bool has_unsent_evacuations =
      lacks_evacuations &&
      subscriber.sent_evacuations < m_hooks.evacuations_version();
  const bool has_urgent = subscriber.sent_revision < m_urgent_revision ||
                          subscriber.sent_version < version ||
                          subscriber.awaits_batch || has_unsent_evacuations;
  const bool is_in_flight =
      !subscriber.has_polled ||
      subscriber.acknowledged < subscriber.awaited_revision;
  if (has_urgent && !is_in_flight) return is_batch_due;
  const bool is_behind = subscriber.version < version || lacks_evacuations;
  if (!is_in_flight && !is_behind) return false;
  const Duration retransmit_after =
      std::max(m_settings.retransmit_interval, BatchInterval());
  return now - subscriber.reported_at >=
         retransmit_after * (1U << subscriber.retransmissions);
}

Outbox FeedPublisher::OnTick(TimePoint now) {
  SyncWithDirectory();
  ExpireTargets(now);
  RefreshMembers(now);
  m_encoded_changes.clear();
  Outbox out;
  const ConfigVersion version = m_hooks.routes_version();
  // Sending the same changes to all subscribers in one batch lets them share
  // the encoding.
  const bool is_batch_due = now - m_batch_at >= BatchInterval();
  if (is_batch_due) m_batch_at = now;
  for (auto it = m_subscribers.begin(); it != m_subscribers.end();) {
    Subscriber& subscriber = it->second;
    if (now - subscriber.polled_at > m_settings.subscriber_timeout) {
      it = m_subscribers.erase(it);
      continue;
    }
    const NodeId id = it->first;
    ++it;
    if (!IsDue(subscriber, version, is_batch_due, now)) continue;
    out.push_back(MakeReport(id, &subscriber, now));
  }
  return out;
}

std::size_t FeedPublisher::BalancersIn(const std::string& data_centre) const {
  const auto count = std::count_if(
      m_subscribers.begin(), m_subscribers.end(), [&](const auto& item) {
        const Subscriber& subscriber = item.second;
        return !subscriber.is_control && subscriber.data_centre == data_centre;
      });
  return static_cast<std::size_t>(count);
}

OutgoingMessage FeedPublisher::MakeReport(NodeId id, Subscriber* subscriber,
                                          TimePoint now) {
  const std::uint64_t evacuations = m_hooks.evacuations_version();
  const bool lacks_evacuations = LacksEvacuations(*subscriber);
  const bool is_retransmission =
      subscriber->acknowledged < subscriber->awaited_revision ||
      (lacks_evacuations && subscriber->sent_evacuations == evacuations);
  FeedReport report;
  report.epoch = m_epoch;
  report.base = subscriber->acknowledged;
  report.version = m_hooks.routes_version();
  report.data_centre = m_settings.data_centre;
  // A node that was only invited gets no changes: it answers with a poll that
  // states what it needs.
  if (subscriber->has_polled) {
    report.balancers = BalancersIn(subscriber->data_centre);
    const Changes& changes = ChangesFor(*subscriber, now);
    report.revision = changes.revision;
    report.has_more = changes.has_more;
    report.changed = changes.encoded;
    subscriber->has_more = changes.has_more;
    subscriber->awaits_batch = false;
    if (changes.count > 0) subscriber->awaited_revision = changes.revision;
    m_counters.changes_sent += changes.count;
  }
  if (lacks_evacuations) {
    report.evacuations = EncodeEvacuations(m_hooks.evacuations(now));
    subscriber->sent_evacuations = evacuations;
  }
  const bool sends_silence =
      now - subscriber->silence_at >= m_settings.report_interval;
  if (sends_silence) {
    report.silence = MakeSilence(now);
    subscriber->silence_at = now;
  }
  const bool sends_members =
      subscriber->members_sent_at <= m_members_changed_at ||
      now - subscriber->members_sent_at >= kMemberListInterval;
  if (sends_members) {
    report.members = m_members;
    subscriber->members_sent_at = now;
  }
  subscriber->retransmissions =
      is_retransmission
          ? std::min(subscriber->retransmissions + 1, kMaxBackoffDoublings)
          : 0;
  subscriber->reported_at = now;
  subscriber->sent_revision = report.revision;
  subscriber->sent_version = report.version;
  OutgoingMessage message{id, MessageKind::kFeed, report.Encode()};
  ++m_counters.reports;
  m_counters.retransmissions += is_retransmission ? 1 : 0;
  m_counters.report_bytes += message.body.size();
  return message;
}

SilenceReport FeedPublisher::MakeSilence(TimePoint now) const {
  SilenceReport silence;
  for (const auto& [number, record] : m_records) {
    if (!record.is_heard) continue;
    const Duration silent = now - record.heard_at;
    if (silent > m_settings.silence_list_threshold) {
      silence.listed.push_back({ShortNumberOf(number), silent});
    } else {
      silence.max_unlisted = std::max(silence.max_unlisted, silent);
    }
  }
  return silence;
}

const FeedPublisher::Changes& FeedPublisher::ChangesFor(
    const Subscriber& subscriber, TimePoint now) {
  const auto [found, is_new] = m_encoded_changes.try_emplace(
      std::pair(subscriber.acknowledged, subscriber.wants_all_targets));
  if (is_new) found->second = EncodeChanges(subscriber, now);
  return found->second;
}

// Encodes the changes that the subscriber has not acknowledged, oldest first,
// up to the maximum size of a report.
FeedPublisher::Changes FeedPublisher::EncodeChanges(
    const Subscriber& subscriber, TimePoint now) const {
  Changes changes;
  changes.revision = m_revision;
  std::vector<ReportedTarget> targets;
  std::size_t size = 0;
  for (auto it = m_targets_by_revision.upper_bound(subscriber.acknowledged);
       it != m_targets_by_revision.end(); ++it) {
    const auto [revision, number] = *it;
    const Record& record = m_records.at(number);
    const TargetDirectory::Entry* entry = m_directory->Find(number);
    const bool is_reported =
        entry != nullptr && (record.ever_heard || subscriber.wants_all_targets);
    if (!is_reported) continue;
    size += EncodedSizeLimit(entry->announcement);
    const bool is_full = targets.size() >= kMaxTargetsPerReport ||
                         (size > kMaxReportBytes && !targets.empty());
    if (is_full) {
      changes.revision = revision - 1;
      changes.has_more = true;
      break;
    }
    const TimePoint heard_at =
        record.is_heard ? record.heard_at : entry->heard_at;
    ReportedTarget target{entry->announcement, now - heard_at, record.is_heard,
                          entry->warm_up_shares};
    // The receiver counts it from the heartbeat, as it does `silent`.
    target.announcement.warm_up_left =
        std::max(Duration{0}, entry->warm_at - heard_at);
    targets.push_back(std::move(target));
  }
  changes.count = targets.size();
  changes.encoded = EncodeTargets(targets);
  return changes;
}

}  // namespace sardinelead
