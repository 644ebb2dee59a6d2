#include "sardinelead/target_directory.h"

#include <algorithm>
#include <utility>

namespace sardinelead {
namespace {

// The end of a warm-up is known this exactly, as heartbeats are delayed by
// different times.
constexpr Duration kWarmUpTolerance = std::chrono::seconds(1);
constexpr std::size_t kMaxOtherStarts = 8;  // Of each target.

constexpr std::uint64_t kHashSeed = 0x636f6f6b6965;

bool IsOlder(const TargetAnnouncement& a, const TargetAnnouncement& b) {
  if (a.started_ms != b.started_ms) return a.started_ms < b.started_ms;
  return a.sequence < b.sequence;
}

bool IsEquivalentForBalancers(const TargetAnnouncement& a,
                              const TargetAnnouncement& b) {
  return a.started_ms == b.started_ms && a.state == b.state &&
         a.pool == b.pool && a.address == b.address &&
         a.data_centre == b.data_centre && a.slots == b.slots;
}

// Whether the target became cold again without a restart, or its warm-up ends
// later than before. Balancers get an announcement only if it changes a field
// that they act on.
bool HasBecomeCold(const TargetDirectory::Entry& entry,
                   const TargetAnnouncement& received, TimePoint heard_at) {
  const bool is_cold = received.warm_up_left > Duration{0};
  if (!is_cold || !IsOlder(entry.announcement, received)) return false;
  const TimePoint warm_at = heard_at + received.warm_up_left;
  return entry.warm_at <= heard_at ||
         warm_at - entry.warm_at > kWarmUpTolerance;
}

// Removes the entry of `value` under `key`.
template <typename Index, typename Key>
void RemoveFromIndex(const Key& key, const typename Index::mapped_type& value,
                     Index* index) {
  const auto [begin, end] = index->equal_range(key);
  for (auto it = begin; it != end; ++it) {
    if (it->second != value) continue;
    index->erase(it);
    return;
  }
}

}  // namespace

const char* Name(AnnouncedState state) {
  switch (state) {
    case AnnouncedState::kReady:
      return "ready";
    case AnnouncedState::kDraining:
      return "draining";
    case AnnouncedState::kEnded:
      return "ended";
  }
  return "unknown";
}

const char* Name(AnnouncementEffect effect) {
  switch (effect) {
    case AnnouncementEffect::kStale:
      return "stale";
    case AnnouncementEffect::kRenewed:
      return "renewed";
    case AnnouncementEffect::kChanged:
      return "changed";
    case AnnouncementEffect::kForeign:
      return "foreign";
  }
  return "unknown";
}

std::uint32_t CookieOf(std::uint64_t target_number, std::uint64_t started_ms) {
  const std::uint64_t hash =
      HashCombine(HashCombine(target_number, kHashSeed), started_ms);
  return std::max(static_cast<std::uint32_t>(hash), 1U);
}

std::uint32_t ShortNumberOf(std::uint64_t target_number) {
  const std::uint64_t hash = HashCombine(target_number, kHashSeed);
  return std::max(static_cast<std::uint32_t>(hash), 1U);
}

TargetDirectory::TargetDirectory()
    : TargetDirectory(
          [](const TargetAnnouncement&, const TargetAnnouncement&) {}) {}

TargetDirectory::TargetDirectory(OnReplaced on_replaced)
    : m_on_replaced(std::move(on_replaced)) {}

void TargetDirectory::SetPools(std::set<std::string> pools, TimePoint now) {
  if (pools == m_pools) return;
  m_pools = std::move(pools);
  for (auto& [number, entry] : m_entries) ResolveAddressConflicts(&entry, now);
}

AnnouncementEffect TargetDirectory::Take(const TargetAnnouncement& received,
                                         TimePoint heard_at) {
  const auto [found, is_new] = m_entries.try_emplace(received.number);
  Entry* entry = &found->second;
  if (is_new) {
    IndexStart(received.number, received.started_ms);
    return Replace(entry, received, heard_at);
  }
  const bool was_configured = IsConfigured(entry->announcement);
  const bool is_configured = IsConfigured(received);
  if (was_configured && !is_configured) return AnnouncementEffect::kForeign;
  if (is_configured && !was_configured) {
    ChangeStart(entry, received);
    return Replace(entry, received, heard_at);
  }
  if (IsOlder(received, entry->announcement)) {
    AddOtherStart(entry, received);
    return AnnouncementEffect::kStale;
  }
  const bool is_ended = entry->announcement.state == AnnouncedState::kEnded &&
                        entry->announcement.started_ms == received.started_ms;
  if (is_ended) return AnnouncementEffect::kStale;
  const bool is_changed =
      !IsEquivalentForBalancers(entry->announcement, received) ||
      HasBecomeCold(*entry, received, heard_at);
  if (is_changed) {
    ChangeStart(entry, received);
    return Replace(entry, received, heard_at);
  }
  entry->announcement = received;
  entry->heard_at = std::max(entry->heard_at, heard_at);
  entry->warm_at = heard_at + received.warm_up_left;
  return AnnouncementEffect::kRenewed;
}

void TargetDirectory::IndexStart(std::uint64_t number,
                                 std::uint64_t started_ms) {
  m_by_cookie.emplace(CookieOf(number, started_ms),
                      std::make_pair(number, started_ms));
}

// Prepares the entry for an announcement of another start than its present one,
// which becomes one of the others.
void TargetDirectory::ChangeStart(Entry* entry,
                                  const TargetAnnouncement& announcement) {
  const TargetAnnouncement& present = entry->announcement;
  if (present.started_ms == announcement.started_ms) return;
  entry->warm_up_shares.reset();
  AddOtherStart(entry, announcement);
  auto& others = entry->other_starts;
  const auto becomes_present =
      std::find_if(others.begin(), others.end(), [&](const OtherStart& other) {
        return other.started_ms == announcement.started_ms;
      });
  *becomes_present = {present.started_ms, present.address};
}

// Adds the start of `announcement` unless it is known.
void TargetDirectory::AddOtherStart(Entry* entry,
                                    const TargetAnnouncement& announcement) {
  const std::uint64_t number = announcement.number;
  auto& others = entry->other_starts;
  const bool is_known =
      entry->announcement.started_ms == announcement.started_ms ||
      std::any_of(others.begin(), others.end(), [&](const OtherStart& other) {
        return other.started_ms == announcement.started_ms;
      });
  if (is_known) return;
  if (others.size() == kMaxOtherStarts) {
    const std::uint64_t dropped = others.front().started_ms;
    RemoveFromIndex(CookieOf(number, dropped), {number, dropped}, &m_by_cookie);
    others.erase(others.begin());
  }
  others.push_back({announcement.started_ms, announcement.address});
  IndexStart(number, announcement.started_ms);
}

AnnouncementEffect TargetDirectory::Replace(
    Entry* entry, const TargetAnnouncement& announcement, TimePoint heard_at) {
  const Endpoint previous_address = entry->announcement.address;
  if (previous_address != announcement.address) {
    RemoveFromIndex(previous_address, announcement.number, &m_by_address);
    m_by_address.emplace(announcement.address, announcement.number);
  }
  entry->announcement = announcement;
  entry->heard_at = std::max(entry->heard_at, heard_at);
  entry->warm_at = heard_at + announcement.warm_up_left;
  entry->revision = ++m_revision;
  if (announcement.state == AnnouncedState::kEnded) entry->ended_at = heard_at;
  ResolveAddressConflicts(entry, heard_at);
  return AnnouncementEffect::kChanged;
}

void TargetDirectory::ResolveAddressConflicts(Entry* entry, TimePoint now) {
  const auto [begin, end] =
      m_by_address.equal_range(entry->announcement.address);
  for (auto it = begin; it != end; ++it) {
    if (it->second == entry->announcement.number) continue;
    ResolveAddressConflict(entry, &m_entries.at(it->second), now);
  }
}

// Ends the one of two targets with the same address that started first, if the
// other one belongs to a configured pool.
void TargetDirectory::ResolveAddressConflict(Entry* entry, Entry* other,
                                             TimePoint now) {
  const bool is_conflicting =
      entry->announcement.state != AnnouncedState::kEnded &&
      other->announcement.state != AnnouncedState::kEnded;
  if (!is_conflicting) return;
  const bool is_other_older =
      other->announcement.started_ms < entry->announcement.started_ms;
  Entry* ended = is_other_older ? other : entry;
  const Entry* successor = is_other_older ? entry : other;
  if (!IsConfigured(successor->announcement)) return;
  ended->announcement.state = AnnouncedState::kEnded;
  ended->ended_at = now;
  ended->revision = ++m_revision;
  m_on_replaced(ended->announcement, successor->announcement);
}

void TargetDirectory::SetWarmUpShares(std::uint64_t number,
                                      std::uint64_t started_ms,
                                      const WarmUpShares& shares) {
  const auto found = m_entries.find(number);
  if (found == m_entries.end()) return;
  Entry& entry = found->second;
  const bool is_wanted = entry.announcement.started_ms == started_ms &&
                         !entry.warm_up_shares.has_value();
  if (!is_wanted) return;
  entry.warm_up_shares = shares;
  entry.revision = ++m_revision;
}

void TargetDirectory::Renew(std::uint64_t number, TimePoint heard_at) {
  const auto found = m_entries.find(number);
  if (found == m_entries.end()) return;
  found->second.heard_at = std::max(found->second.heard_at, heard_at);
}

void TargetDirectory::RemoveSilent(Duration age, TimePoint now) {
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const bool is_kept = now - it->second.heard_at < age;
    if (is_kept) {
      ++it;
      continue;
    }
    RemoveStarts(it->second);
    RemoveFromIndex(it->second.announcement.address, it->first, &m_by_address);
    it = m_entries.erase(it);
  }
}

void TargetDirectory::RemoveStarts(const Entry& entry) {
  const std::uint64_t number = entry.announcement.number;
  const auto remove = [this, number](std::uint64_t started_ms) {
    RemoveFromIndex(CookieOf(number, started_ms), {number, started_ms},
                    &m_by_cookie);
  };
  remove(entry.announcement.started_ms);
  for (const OtherStart& other : entry.other_starts) remove(other.started_ms);
}

const TargetDirectory::Entry* TargetDirectory::Find(
    std::uint64_t number) const {
  const auto found = m_entries.find(number);
  return found == m_entries.end() ? nullptr : &found->second;
}

std::optional<TargetDirectory::Start> TargetDirectory::FindSuccessor(
    const Start& start) const {
  std::optional<Start> latest;
  const auto [begin, end] = m_by_address.equal_range(start.address);
  for (auto it = begin; it != end; ++it) {
    const Entry& other = m_entries.at(it->second);
    const std::uint64_t started_ms = other.announcement.started_ms;
    const bool is_later =
        started_ms > (latest ? latest->started_ms : start.started_ms);
    const bool is_successor =
        &other != start.entry && is_later && IsConfigured(other.announcement);
    if (is_successor) latest = Start{&other, started_ms, start.address};
  }
  const TargetAnnouncement& present = start.entry->announcement;
  if (latest || present.started_ms <= start.started_ms) return latest;
  return Start{start.entry, present.started_ms, present.address};
}

std::optional<TargetDirectory::Start> TargetDirectory::FindByCookie(
    std::uint32_t cookie) const {
  std::optional<Start> best;
  bool is_best_living = false;
  const auto [begin, end] = m_by_cookie.equal_range(cookie);
  for (auto it = begin; it != end; ++it) {
    const auto [number, started_ms] = it->second;
    const Start start = FindStart(number, started_ms);
    const TargetAnnouncement& present = start.entry->announcement;
    const bool is_living = present.started_ms == start.started_ms &&
                           present.state != AnnouncedState::kEnded;
    if (best && (is_best_living || !is_living)) continue;
    best = start;
    is_best_living = is_living;
  }
  return best;
}

// The start is one of those in the index.
TargetDirectory::Start TargetDirectory::FindStart(
    std::uint64_t number, std::uint64_t started_ms) const {
  const Entry& entry = m_entries.at(number);
  const TargetAnnouncement& present = entry.announcement;
  for (const OtherStart& other : entry.other_starts) {
    const bool is_apart =
        other.started_ms == started_ms && other.address != present.address;
    if (is_apart) return {&entry, started_ms, other.address};
  }
  return {&entry, present.started_ms, present.address};
}

}  // namespace sardinelead
