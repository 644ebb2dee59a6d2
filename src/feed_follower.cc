#include "sardinelead/feed_follower.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

#include "feed_message.h"

namespace sardinelead {
namespace {

constexpr Duration kRoutesRepeat = std::chrono::milliseconds(150);
// A gap between ticks beyond this is time in which nothing could be heard.
constexpr Duration kLongestTick = std::chrono::milliseconds(250);
// So long after its first report a follower has heard every living target.
constexpr Duration kYoung = std::chrono::seconds(10);

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
  poll.wants_all = WantsAll(to, source, now);
  poll.is_control = m_settings.is_control;
  poll.data_centre = m_settings.data_centre;
  return {to, MessageKind::kFeed, poll.Encode()};
}

// Few are asked for all, so that a start costs the same with many control VMs.
bool FeedFollower::WantsAll(NodeId from, const Source& source,
                            TimePoint now) const {
  const bool is_young = !m_first_report_at || now - *m_first_report_at < kYoung;
  const bool is_contact =
      std::find(m_contacts.begin(), m_contacts.end(), from) != m_contacts.end();
  return is_young && is_contact && !source.has_told_all;
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
    source.has_told_all = false;
    source.targets.clear();
  }
  source.was_heard = true;
  source.heard_at = now;
  source.version = std::max(source.version, report.version);
  source.data_centre = report.data_centre;
  if (!m_first_report_at) m_first_report_at = now;
  m_balancers = std::max<std::size_t>(report.balancers, 1);
  for (const NodeId member : report.members) AddSource(member);
  if (!report.members.empty()) m_members = report.members;
  const auto changed = DecodeTargets(*report.changed);
  if (!changed) return m_hooks.on_error(from, changed.error());
  TakeTargets(*changed, &source, now);
  if (report.silence) TakeSilence(*report.silence, source, now);
  // A report that builds on changes that never came leaves a gap: the poll
  // tells what is missing.
  const bool is_next = report.base <= source.revision;
  if (is_next) {
    const bool is_whole = report.revision != 0 && !report.has_more;
    source.has_told_all = source.has_told_all || is_whole;
    source.revision = std::max(source.revision, report.revision);
  }
  const bool must_answer = !changed->empty() || !is_next || is_new_start;
  const bool wants_routes =
      m_version < report.version && now - m_routes_asked_at >= kRoutesRepeat;
  if (wants_routes) m_routes_asked_at = now;
  if (must_answer || wants_routes) {
    source.poll_at = now + m_settings.poll_interval;
    out->push_back(MakePoll(from, wants_routes, now));
  }
  TellSources(now);
}

void FeedFollower::TakeTargets(const std::vector<ReportedTarget>& targets,
                               Source* source, TimePoint now) {
  for (const ReportedTarget& target : targets) {
    m_directory->Take(target.news, DirectoryTime(now) - target.silent);
    const bool is_living =
        target.is_heard && target.news.state != AnnouncedState::kEnded;
    if (is_living) {
      source->targets.insert(target.news.number);
    } else {
      source->targets.erase(target.news.number);
    }
  }
}

void FeedFollower::TakeSilence(const SilenceReport& report,
                               const Source& source, TimePoint now) {
  std::unordered_map<std::uint32_t, Duration> silent;
  for (const SilentTarget& target : report.listed) {
    silent.emplace(target.cookie, target.silent);
  }
  for (const std::uint64_t number : source.targets) {
    const TargetDirectory::Entry* entry = m_directory->Find(number);
    const bool is_over =
        entry == nullptr || entry->news.state == AnnouncedState::kEnded;
    if (is_over) continue;
    const auto found = silent.find(CookieOf(number));
    const Duration silence =
        found == silent.end() ? report.unlisted : found->second;
    m_directory->Renew(CookieOf(number), DirectoryTime(now) - silence);
  }
}

Outbox FeedFollower::OnMet(NodeId from, TimePoint now) {
  const auto found = m_sources.find(from);
  if (found == m_sources.end()) return {};
  found->second.poll_at = now + m_settings.poll_interval;
  return {MakePoll(from, m_version.value == 0, now)};
}

void FeedFollower::OnRoutes(NodeId from, ByteView bytes) {
  auto table = DecodeRouteTable(bytes);
  if (!table) {
    m_hooks.on_error(from, table.error());
    return;
  }
  if (!(m_version < table->version)) return;
  m_version = table->version;
  m_hooks.on_routes(std::make_shared<const RouteTable>(std::move(*table)));
}

Outbox FeedFollower::OnTick(TimePoint now) {
  const Duration since =
      m_ticked_at == TimePoint{} ? Duration{0} : now - m_ticked_at;
  m_ticked_at = now;
  const std::size_t heard = HeardCount(now);
  const bool is_covered = since <= kLongestTick && heard * 2 > m_sources.size();
  if (is_covered) m_covered += since;
  TellSources(now);
  ForgetSources(now);
  Outbox out;
  const NodeId best = BestSourceOfRoutes(now);
  const bool asks_routes =
      best.value != 0 && now - m_routes_asked_at >= kRoutesRepeat;
  if (asks_routes) m_routes_asked_at = now;
  for (auto& [id, source] : m_sources) {
    const bool wants_routes = asks_routes && id == best;
    if (now < source.poll_at && !wants_routes) continue;
    // Before the first report, so that a start is not slowed by one loss.
    const Duration interval = source.was_heard ? m_settings.poll_interval
                                               : m_settings.repeat_interval;
    source.poll_at = now + interval;
    out.push_back(MakePoll(id, wants_routes || m_version.value == 0, now));
  }
  return out;
}

// Forgets control VMs that are gone for good: silent, and in no list.
void FeedFollower::ForgetSources(TimePoint now) {
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

// A control VM with newer routes than those in force, of this data centre if
// there is one; NodeId{0} where there is none.
NodeId FeedFollower::BestSourceOfRoutes(TimePoint now) const {
  NodeId best;
  bool is_best_near = false;
  for (const auto& [id, source] : m_sources) {
    if (!(m_version < source.version) || !IsHeard(source, now)) continue;
    const bool is_near = source.data_centre == m_settings.data_centre;
    if (best.value != 0 && (is_best_near || !is_near)) continue;
    best = id;
    is_best_near = is_near;
  }
  return best;
}

bool FeedFollower::IsHeard(const Source& source, TimePoint now) const {
  return source.was_heard && now - source.heard_at <= m_settings.silence;
}

std::size_t FeedFollower::HeardCount(TimePoint now) const {
  return static_cast<std::size_t>(std::count_if(
      m_sources.begin(), m_sources.end(),
      [&](const auto& item) { return IsHeard(item.second, now); }));
}

bool FeedFollower::Hears(NodeId source, TimePoint now) const {
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
  const bool has_gathered = now - *m_first_report_at >= m_settings.gathering;
  const bool has_all =
      std::all_of(m_sources.begin(), m_sources.end(),
                  [](const auto& item) { return item.second.was_heard; });
  return has_gathered || has_all;
}

void FeedFollower::TellSources(TimePoint now) {
  for (auto& [id, source] : m_sources) {
    const bool is_heard = IsHeard(source, now);
    if (is_heard == source.is_heard) continue;
    source.is_heard = is_heard;
    m_hooks.on_source(id, is_heard);
  }
}

}  // namespace sardinelead
