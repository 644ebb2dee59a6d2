#include "sardinelead/target_directory.h"

#include <algorithm>
#include <utility>

namespace sardinelead {
namespace {

// The end of a warm-up is known this exactly, as heartbeats are delayed by
// different times.
constexpr Duration kWarmUpTolerance = std::chrono::seconds(1);
constexpr std::size_t kMaxOtherAddresses = 8;  // Of each target.

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
void Erase(const Key& key, const typename Index::mapped_type& value,
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

std::uint32_t CookieOf(std::uint64_t target_number, const Endpoint& address) {
  const std::uint64_t hash = HashCombine(HashCombine(target_number, kHashSeed),
                                         EndpointHash{}(address));
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
    AddToIndex(received.number, received.address);
    return Replace(entry, received, heard_at);
  }
  const bool was_configured = IsConfigured(entry->announcement);
  const bool is_configured = IsConfigured(received);
  if (was_configured && !is_configured) {
    AddOtherAddress(entry, received);
    return AnnouncementEffect::kForeign;
  }
  if (is_configured && !was_configured) {
    ChangeAddress(entry, received);
    return Replace(entry, received, heard_at);
  }
  if (IsOlder(received, entry->announcement)) {
    AddOtherAddress(entry, received);
    return AnnouncementEffect::kStale;
  }
  const bool is_ended = entry->announcement.state == AnnouncedState::kEnded &&
                        entry->announcement.started_ms == received.started_ms;
  if (is_ended) return AnnouncementEffect::kStale;
  const bool is_changed =
      !IsEquivalentForBalancers(entry->announcement, received) ||
      HasBecomeCold(*entry, received, heard_at);
  if (is_changed) {
    ChangeAddress(entry, received);
    return Replace(entry, received, heard_at);
  }
  entry->announcement = received;
  entry->heard_at = std::max(entry->heard_at, heard_at);
  entry->warm_at = heard_at + received.warm_up_left;
  return AnnouncementEffect::kRenewed;
}

void TargetDirectory::AddToIndex(std::uint64_t number,
                                 const Endpoint& address) {
  m_by_cookie.emplace(CookieOf(number, address),
                      std::make_pair(number, address));
}

void TargetDirectory::RemoveFromIndex(std::uint64_t number,
                                      const Endpoint& address) {
  Erase(CookieOf(number, address), {number, address}, &m_by_cookie);
}

// Prepares the entry for an announcement from another address than its present
// one, which becomes one of the others.
void TargetDirectory::ChangeAddress(Entry* entry,
                                    const TargetAnnouncement& announcement) {
  const TargetAnnouncement& present = entry->announcement;
  if (present.address == announcement.address) return;
  AddOtherAddress(entry, announcement);
  for (OtherAddress& other : entry->other_addresses) {
    if (other.address != announcement.address) continue;
    other = {present.address, present.started_ms};
  }
}

// Adds the address of `announcement` unless it is known.
void TargetDirectory::AddOtherAddress(Entry* entry,
                                      const TargetAnnouncement& announcement) {
  if (entry->announcement.address == announcement.address) return;
  auto& others = entry->other_addresses;
  const auto known = std::find_if(
      others.begin(), others.end(), [&](const OtherAddress& other) {
        return other.address == announcement.address;
      });
  if (known != others.end()) {
    known->started_ms = std::max(known->started_ms, announcement.started_ms);
    return;
  }
  const std::uint64_t number = announcement.number;
  if (others.size() == kMaxOtherAddresses) {
    RemoveFromIndex(number, others.front().address);
    others.erase(others.begin());
  }
  others.push_back({announcement.address, announcement.started_ms});
  AddToIndex(number, announcement.address);
  ++m_revision;
  ++m_occupant_revision;
}

AnnouncementEffect TargetDirectory::Replace(
    Entry* entry, const TargetAnnouncement& announcement, TimePoint heard_at) {
  const Endpoint previous_address = entry->announcement.address;
  if (previous_address != announcement.address) {
    Erase(previous_address, announcement.number, &m_by_address);
    m_by_address.emplace(announcement.address, announcement.number);
  }
  const bool is_other_start =
      entry->announcement.started_ms != announcement.started_ms;
  if (is_other_start) {
    entry->warm_up_shares.reset();
    ++m_occupant_revision;
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
  ++m_occupant_revision;
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
    const Entry& entry = it->second;
    RemoveFromIndex(it->first, entry.announcement.address);
    for (const OtherAddress& other : entry.other_addresses) {
      RemoveFromIndex(it->first, other.address);
    }
    Erase(entry.announcement.address, it->first, &m_by_address);
    it = m_entries.erase(it);
  }
}

const TargetDirectory::Entry* TargetDirectory::Find(
    std::uint64_t number) const {
  const auto found = m_entries.find(number);
  return found == m_entries.end() ? nullptr : &found->second;
}

std::optional<TargetDirectory::Location> TargetDirectory::FindByCookie(
    std::uint32_t cookie) const {
  std::optional<Location> best;
  bool is_best_living = false;
  const auto [begin, end] = m_by_cookie.equal_range(cookie);
  for (auto it = begin; it != end; ++it) {
    const auto& [number, address] = it->second;
    const Location location = FindLocation(number, address);
    const TargetAnnouncement& present = location.entry->announcement;
    const bool is_living =
        present.address == address && present.state != AnnouncedState::kEnded;
    if (best && (is_best_living || !is_living)) continue;
    best = location;
    is_best_living = is_living;
  }
  return best;
}

// The location is one of those in the index.
TargetDirectory::Location TargetDirectory::FindLocation(
    std::uint64_t number, const Endpoint& address) const {
  const Entry& entry = m_entries.at(number);
  for (const OtherAddress& other : entry.other_addresses) {
    if (other.address == address) return {&entry, address, other.started_ms};
  }
  return {&entry, address, entry.announcement.started_ms};
}

TargetDirectory::Location TargetDirectory::FindOccupant(
    const Location& location) const {
  const TargetAnnouncement& present = location.entry->announcement;
  const Location last{location.entry, present.address, present.started_ms};
  const bool is_present = present.address == location.address;
  if (is_present && present.state != AnnouncedState::kEnded) return last;
  std::optional<Location> latest;
  const auto [begin, end] = m_by_address.equal_range(location.address);
  for (auto it = begin; it != end; ++it) {
    const Entry& other = m_entries.at(it->second);
    const std::uint64_t started_ms = other.announcement.started_ms;
    const bool is_later =
        started_ms >= (latest ? latest->started_ms : location.started_ms);
    const bool is_other = &other != location.entry && is_later &&
                          IsConfigured(other.announcement);
    if (is_other) latest = Location{&other, location.address, started_ms};
  }
  return latest.value_or(last);
}

}  // namespace sardinelead
