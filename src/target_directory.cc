#include "sardinelead/target_directory.h"

#include <algorithm>
#include <utility>

namespace sardinelead {
namespace {

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
  }
  return "unknown";
}

std::uint32_t CookieOf(std::uint64_t target_number) {
  constexpr std::uint64_t kSeed = 0x636f6f6b6965;
  const auto low =
      static_cast<std::uint32_t>(HashCombine(target_number, kSeed));
  return std::max<std::uint32_t>(low, 1);
}

AnnouncementEffect TargetDirectory::Take(const TargetAnnouncement& received,
                                         TimePoint heard_at) {
  const auto [found, is_new] = m_entries.try_emplace(received.number);
  Entry* entry = &found->second;
  if (is_new) {
    m_by_cookie.emplace(CookieOf(received.number), received.number);
    return Replace(entry, received, heard_at);
  }
  if (IsOlder(received, entry->announcement)) return AnnouncementEffect::kStale;
  const bool is_ended = entry->announcement.state == AnnouncedState::kEnded &&
                        entry->announcement.started_ms == received.started_ms;
  if (is_ended) return AnnouncementEffect::kStale;
  if (!IsEquivalentForBalancers(entry->announcement, received)) {
    return Replace(entry, received, heard_at);
  }
  entry->announcement = received;
  entry->heard_at = std::max(entry->heard_at, heard_at);
  entry->warm_at = heard_at + received.warm_up_left;
  return AnnouncementEffect::kRenewed;
}

AnnouncementEffect TargetDirectory::Replace(
    Entry* entry, const TargetAnnouncement& announcement, TimePoint heard_at) {
  entry->announcement = announcement;
  entry->heard_at = std::max(entry->heard_at, heard_at);
  entry->warm_at = heard_at + announcement.warm_up_left;
  entry->revision = ++m_revision;
  if (announcement.state == AnnouncedState::kEnded) entry->ended_at = heard_at;
  ResolveAddressConflict(entry, heard_at);
  return AnnouncementEffect::kChanged;
}

// Ends all targets with the entry's address except the one that started last.
void TargetDirectory::ResolveAddressConflict(Entry* entry, TimePoint now) {
  for (auto& [number, other] : m_entries) {
    const bool is_conflicting =
        &other != entry &&
        other.announcement.address == entry->announcement.address &&
        other.announcement.state != AnnouncedState::kEnded &&
        entry->announcement.state != AnnouncedState::kEnded;
    if (!is_conflicting) continue;
    MarkEnded(other.announcement.started_ms < entry->announcement.started_ms
                  ? &other
                  : entry,
              now);
  }
}

void TargetDirectory::MarkEnded(Entry* entry, TimePoint now) {
  entry->announcement.state = AnnouncedState::kEnded;
  entry->ended_at = now;
  entry->revision = ++m_revision;
}

void TargetDirectory::Renew(std::uint32_t cookie, TimePoint heard_at) {
  const auto [begin, end] = m_by_cookie.equal_range(cookie);
  for (auto it = begin; it != end; ++it) {
    Entry& entry = m_entries.at(it->second);
    entry.heard_at = std::max(entry.heard_at, heard_at);
  }
}

void TargetDirectory::RemoveSilent(Duration age, TimePoint now) {
  for (auto it = m_entries.begin(); it != m_entries.end();) {
    const bool is_kept = now - it->second.heard_at < age;
    if (is_kept) {
      ++it;
      continue;
    }
    const auto [begin, end] = m_by_cookie.equal_range(CookieOf(it->first));
    for (auto cookie = begin; cookie != end; ++cookie) {
      if (cookie->second != it->first) continue;
      m_by_cookie.erase(cookie);
      break;
    }
    it = m_entries.erase(it);
  }
}

const TargetDirectory::Entry* TargetDirectory::Find(
    std::uint64_t number) const {
  const auto found = m_entries.find(number);
  return found == m_entries.end() ? nullptr : &found->second;
}

const TargetDirectory::Entry* TargetDirectory::FindByCookie(
    std::uint32_t cookie) const {
  const Entry* best = nullptr;
  const auto [begin, end] = m_by_cookie.equal_range(cookie);
  for (auto it = begin; it != end; ++it) {
    const Entry& entry = m_entries.at(it->second);
    const bool is_better =
        best == nullptr || best->announcement.state == AnnouncedState::kEnded;
    if (is_better) best = &entry;
  }
  return best;
}

}  // namespace sardinelead
