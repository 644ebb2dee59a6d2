#include "sardinelead/feed_follower.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "feed_message.h"

namespace sardinelead {
namespace {

// The wait before a second request for routes. It doubles with each request
// that was not answered: a large table takes a while on a slow link.
constexpr Duration kRoutesRequestInterval = std::chrono::milliseconds(150);
constexpr std::uint32_t kMaxRequestDoublings = 3;
// A longer gap between ticks does not count as covered time: nothing could be
// received in it.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(250);
// The time from a follower's first report until it knows every living target.
// After that, it no longer asks a control VM for targets that send their
// heartbeats only to other control VMs.
constexpr Duration kStartupPeriod = std::chrono::seconds(10);

}  // namespace

FeedFollower::FeedFollower(FeedSettings settings, std::vector<NodeId> contacts,
                           TargetDirectory* directory, Hooks hooks)
    : m_settings(std::move(settings)),
      m_directory(directory),
      m_hooks(std::move(hooks)) {
  SetContacts(std::move(contacts));
}

void FeedFollower::SetContacts(std::vector<NodeId> contacts) {
  m_contacts = std::move(contacts);
  for (const NodeId contact : m_contacts) AddSource(contact);
}

void FeedFollower::AddSource(NodeId id) { m_sources.try_emplace(id); }

OutgoingMessage FeedFollower::MakePoll(NodeId to, bool wants_routes,
                                       TimePoint now) const {
  const Source& source = m_sources.at(to);
  FeedPoll poll;
  poll.epoch = source.epoch;
  poll.revision = source.revision;
  poll.version = m_version;
  poll.wants_routes = wants_routes;
  poll.wants_all_targets = WantsAllTargets(to, source, now);
  poll.is_control = m_settings.is_control;
  poll.data_centre = m_settings.data_centre;
  poll.accepts_changes = !m_needs_whole_table;
  poll.evacuations = m_evacuations_version;
  return {to, MessageKind::kFeed, poll.Encode()};
}

// Requests all targets only from the configured contacts, so that the cost of a
// start does not grow with the number of control VMs.
bool FeedFollower::WantsAllTargets(NodeId from, const Source& source,
                                   TimePoint now) const {
  const bool is_starting =
      !m_first_report_at || now - *m_first_report_at < kStartupPeriod;
  const bool is_contact =
      std::find(m_contacts.begin(), m_contacts.end(), from) != m_contacts.end();
  return is_starting && is_contact && !source.has_sent_all;
}

Outbox FeedFollower::OnMessage(NodeId from, ByteView body, TimePoint now) {
  Outbox out;
  const auto message = DecodeFeedMessage(body);
  if (!message) {
    m_hooks.on_error(from, message.error());
    return out;
  }
  if (const auto* report = std::get_if<FeedReport>(&*message)) {
    OnReport(from, *report, now, &out);
  }
  if (const auto* routes = std::get_if<FeedRoutes>(&*message)) {
    OnRoutes(from, routes->table);
  }
  if (const auto* changes = std::get_if<FeedRouteChanges>(&*message)) {
    OnRouteChanges(from, *changes);
  }
  return out;
}

void FeedFollower::OnReport(NodeId from, const FeedReport& report,
                            TimePoint now, Outbox* out) {
  AddSource(from);
  Source& source = m_sources.at(from);
  const bool is_new_start = source.epoch != report.epoch;
  if (is_new_start) {
    source.epoch = report.epoch;
    source.revision = 0;
    source.has_sent_all = false;
    source.targets.clear();
  }
  source.ever_heard = true;
  source.heard_at = now;
  source.version = std::max(source.version, report.version);
  source.data_centre = report.data_centre;
  if (!m_first_report_at) m_first_report_at = now;
  m_balancers = std::max<std::size_t>(report.balancers, 1);
  for (const NodeId member : report.members) AddSource(member);
  if (!report.members.empty()) m_members = report.members;
  const bool has_evacuations = ApplyEvacuations(from, report);
  const auto changed = DecodeTargets(*report.changed);
  if (!changed) return m_hooks.on_error(from, changed.error());
  if (changed->unreadable > 0) {
    m_hooks.on_error(from, {ErrorCode::kMalformed,
                            std::to_string(changed->unreadable) +
                                " targets cannot be read and are left out",
                            "feed"});
  }
  ApplyTargets(changed->targets, &source, now);
  if (report.silence) ApplySilence(*report.silence, source, now);
  // If the report is based on a revision that was not received, changes are
  // missing. The revision is not advanced, and the poll requests them again.
  const bool is_contiguous = report.base <= source.revision;
  if (is_contiguous) {
    const bool is_complete = report.revision != 0 && !report.has_more;
    source.has_sent_all = source.has_sent_all || is_complete;
    source.revision = std::max(source.revision, report.revision);
  }
  const bool has_changes = !changed->targets.empty() || changed->unreadable > 0;
  const bool must_poll =
      has_changes || !is_contiguous || is_new_start || has_evacuations;
  const bool wants_routes =
      m_version < report.version && TakeRoutesRequest(now);
  if (must_poll || wants_routes) {
    source.next_poll_at = now + m_settings.poll_interval;
    out->push_back(MakePoll(from, wants_routes, now));
  }
  NotifySourceChanges(now);
}

bool FeedFollower::ApplyEvacuations(NodeId from, const FeedReport& report) {
  if (report.evacuations.empty() || m_settings.is_control) return false;
  const auto evacuations = DecodeEvacuations(report.evacuations);
  if (!evacuations) {
    m_hooks.on_error(from, evacuations.error());
    return false;
  }
  const std::uint64_t version = evacuations->table.version();
  if (version > m_evacuations_version) {
    m_evacuations_version = version;
    m_hooks.on_evacuations(*evacuations);
  }
  return true;
}

void FeedFollower::ApplyTargets(const std::vector<ReportedTarget>& targets,
                                Source* source, TimePoint now) {
  for (const ReportedTarget& target : targets) {
    const TargetAnnouncement& announcement = target.announcement;
    m_directory->Take(announcement, DirectoryTime(now) - target.silent);
    if (target.warm_up_shares) {
      m_directory->SetWarmUpShares(announcement.number, announcement.started_ms,
                                   *target.warm_up_shares);
    }
    const bool is_alive =
        target.is_heard && announcement.state != AnnouncedState::kEnded;
    if (is_alive) {
      source->targets.insert(announcement.number);
    } else {
      source->targets.erase(announcement.number);
    }
  }
}

void FeedFollower::ApplySilence(const SilenceReport& report,
                                const Source& source, TimePoint now) {
  std::unordered_map<std::uint32_t, Duration> silent;
  for (const SilentTarget& target : report.listed) {
    silent.emplace(target.short_number, target.silent);
  }
  for (const std::uint64_t number : source.targets) {
    const TargetDirectory::Entry* entry = m_directory->Find(number);
    const bool is_ended =
        entry == nullptr || entry->announcement.state == AnnouncedState::kEnded;
    if (is_ended) continue;
    const auto found = silent.find(ShortNumberOf(number));
    const Duration silence =
        found == silent.end() ? report.max_unlisted : found->second;
    m_directory->Renew(number, DirectoryTime(now) - silence);
  }
}

Outbox FeedFollower::OnPeerStarted(NodeId from, TimePoint now) {
  const auto found = m_sources.find(from);
  if (found == m_sources.end()) return {};
  found->second.next_poll_at = now + m_settings.poll_interval;
  const bool has_none = m_version.value == 0 && !m_settings.is_control;
  return {MakePoll(from, has_none, now)};
}

void FeedFollower::OnRoutes(NodeId from, ByteView bytes) {
  auto table = DecodeRouteTable(bytes);
  if (!table) {
    m_hooks.on_error(from, table.error());
    return;
  }
  m_unanswered_requests = 0;
  if (!(m_version < table->version)) return;
  m_version = table->version;
  m_needs_whole_table = false;
  m_hooks.on_routes(std::move(*table));
}

void FeedFollower::OnRouteChanges(NodeId from,
                                  const FeedRouteChanges& message) {
  m_unanswered_requests = 0;
  for (const auto& encoded : message.changes) {
    const auto applied = ApplyRouteChange(*encoded);
    if (applied) continue;
    m_needs_whole_table = true;
    m_hooks.on_error(from, applied.error());
    return;
  }
}

Result<void> FeedFollower::ApplyRouteChange(ByteView bytes) {
  const auto change = DecodeRouteChange(bytes);
  if (!change) return tl::unexpected<Error>(change.error());
  // An answer to an earlier request may arrive late.
  if (!(m_version < change->version)) return {};
  auto applied = m_hooks.on_route_change(*change);
  if (applied) m_version = change->version;
  return applied;
}

bool FeedFollower::TakeRoutesRequest(TimePoint now) {
  // Control VMs get their routes by replication.
  if (m_settings.is_control || now < m_next_routes_request_at) return false;
  const std::uint32_t doublings =
      std::min(m_unanswered_requests++, kMaxRequestDoublings);
  m_next_routes_request_at = now + kRoutesRequestInterval * (1U << doublings);
  return true;
}

Outbox FeedFollower::OnTick(TimePoint now) {
  const Duration elapsed =
      m_ticked_at == TimePoint{} ? Duration{0} : now - m_ticked_at;
  m_ticked_at = now;
  const std::size_t heard = ReachableSourceCount(now);
  const bool is_covered =
      elapsed <= kMaxTickGap && heard * 2 > m_sources.size();
  if (is_covered) m_covered_time += elapsed;
  NotifySourceChanges(now);
  RemoveStaleSources(now);
  Outbox out;
  const NodeId best = BestRoutesSource(now);
  const bool requests_routes = best.value != 0 && TakeRoutesRequest(now);
  for (auto& [id, source] : m_sources) {
    const bool wants_routes = requests_routes && id == best;
    if (now < source.next_poll_at && !wants_routes) continue;
    // Polls more often before the first report, so that one lost message does
    // not delay the start.
    const Duration interval = source.ever_heard
                                  ? m_settings.poll_interval
                                  : m_settings.retransmit_interval;
    source.next_poll_at = now + interval;
    const bool has_none = m_version.value == 0 && !m_settings.is_control;
    out.push_back(MakePoll(id, wants_routes || has_none, now));
  }
  return out;
}

// Removes control VMs that are silent and neither configured nor members.
void FeedFollower::RemoveStaleSources(TimePoint now) {
  const auto is_listed = [](const std::vector<NodeId>& list, NodeId id) {
    return std::find(list.begin(), list.end(), id) != list.end();
  };
  for (auto it = m_sources.begin(); it != m_sources.end();) {
    const bool is_known =
        is_listed(m_contacts, it->first) || is_listed(m_members, it->first);
    const bool is_kept = is_known || IsHeard(it->second, now);
    it = is_kept ? std::next(it) : m_sources.erase(it);
  }
}

// Returns a control VM that has newer routes than those in use, preferably in
// this data centre, or NodeId{0} if there is none.
NodeId FeedFollower::BestRoutesSource(TimePoint now) const {
  NodeId best;
  bool is_best_local = false;
  for (const auto& [id, source] : m_sources) {
    if (!(m_version < source.version) || !IsHeard(source, now)) continue;
    const bool is_local = source.data_centre == m_settings.data_centre;
    if (best.value != 0 && (is_best_local || !is_local)) continue;
    best = id;
    is_best_local = is_local;
  }
  return best;
}

bool FeedFollower::IsHeard(const Source& source, TimePoint now) const {
  return source.ever_heard &&
         now - source.heard_at <= m_settings.source_timeout;
}

std::size_t FeedFollower::ReachableSourceCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      m_sources.begin(), m_sources.end(),
      [&](const auto& item) { return IsHeard(item.second, now); }));
}

bool FeedFollower::IsSourceReachable(NodeId source, TimePoint now) const {
  const auto found = m_sources.find(source);
  return found != m_sources.end() && IsHeard(found->second, now);
}

std::vector<SourceStatus> FeedFollower::Status(TimePoint now) const {
  std::vector<SourceStatus> all;
  for (const auto& [id, source] : m_sources) {
    all.push_back(
        {id, source.data_centre, source.version, IsHeard(source, now)});
  }
  return all;
}

bool FeedFollower::IsReady(TimePoint now) const {
  if (m_version.value == 0 || !m_first_report_at) return false;
  const bool has_waited = now - *m_first_report_at >= m_settings.startup_wait;
  const bool all_heard =
      std::all_of(m_sources.begin(), m_sources.end(),
                  [](const auto& item) { return item.second.ever_heard; });
  return has_waited || all_heard;
}

void FeedFollower::NotifySourceChanges(TimePoint now) {
  for (auto& [id, source] : m_sources) {
    const bool is_heard = IsHeard(source, now);
    if (is_heard == source.is_heard) continue;
    source.is_heard = is_heard;
    m_hooks.on_source_change(id, is_heard);
  }
}

}  // namespace sardinelead
