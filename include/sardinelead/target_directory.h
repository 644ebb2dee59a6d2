#ifndef SARDINELEAD_TARGET_DIRECTORY_H_
#define SARDINELEAD_TARGET_DIRECTORY_H_

// The newest announcement of each target. Each control VM keeps a directory of
// the targets that send it heartbeats; a balancer keeps the union of these.
//
// Announcements of a target are ordered by the start time of its process, then
// by the sequence number of that process, so that late and duplicate delivery
// and delivery by several paths give the same result. Of two targets with the
// same address, the one that started last is taken for the one that exists, and
// only that gets new flows.
//
// A target may start again under its number, also at another address, and nodes
// learn that at different times. A cookie names the number and the address, by
// which packets are sent, so a node that knows only an earlier address does not
// know the cookie, in place of sending packets there. A few other addresses of
// each target are kept, for packets of flows that opened there.
//
// An announcement for a pool that is not configured may come from a program
// that is no target at all. It is kept, since the pool may be configured later,
// but it changes nothing about other targets: it neither ends a target with the
// same address, nor replaces the announcement of a configured pool with the
// same number. Until SetPools() is called, no pool is configured.
//
// The owner defines the clock: a balancer passes FeedFollower::CoveredTime(),
// which advances only while heartbeats of targets can be reported to it. Not
// thread-safe.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "sardinelead/types.h"
#include "sardinelead/warm_up_grant.h"

namespace sardinelead {

enum class AnnouncedState : std::uint8_t {
  kReady,
  kDraining,  // Keeps its flows but gets no new ones.
  kEnded,     // Left, or another process has its address.
};
const char* Name(AnnouncedState state);

// An announcement by a target about itself.
struct TargetAnnouncement {
  std::uint64_t number = 0;      // Identifies the target on all nodes.
  std::uint64_t started_ms = 0;  // Unix time of its start, by its own clock.
  std::uint64_t sequence = 0;    // Announcement number since that start.
  AnnouncedState state = AnnouncedState::kReady;
  std::string pool;
  Endpoint address;
  std::string data_centre;
  std::uint32_t slots = 1;   // Concurrent requests that it processes.
  Duration warm_up_left{0};  // Remaining time of reduced speed.
};

// Returns the cookie carried by flows of the target at this address: a hash,
// equal on all nodes and never 0. At another address the target has another
// cookie. Two pairs of number and address may share a cookie.
std::uint32_t CookieOf(std::uint64_t target_number, const Endpoint& address);
// Returns a hash of the number that names the target in SilenceReport, never 0.
std::uint32_t ShortNumberOf(std::uint64_t target_number);

enum class AnnouncementEffect : std::uint8_t {
  kStale,    // Older than the known announcement; only its address is kept.
  kRenewed,  // The target is alive; nothing relevant changed.
  kChanged,  // A field that balancers act on changed, or it became cold again.
  kForeign,  // For a pool that is not configured, with the number of a target
             // of a configured one; only its address is kept.
};
const char* Name(AnnouncementEffect effect);

class TargetDirectory {
 public:
  // Another address of a target than that of its newest announcement.
  struct OtherAddress {
    Endpoint address;
    std::uint64_t started_ms = 0;  // The latest known start there.
  };
  struct Entry {
    TargetAnnouncement announcement;
    TimePoint heard_at;
    TimePoint warm_at;
    TimePoint ended_at;  // Set if the state is kEnded.
    // The directory's revision at the last change of the entry.
    std::uint64_t revision = 0;
    // The grant for this start of the target; empty if none is known.
    std::optional<WarmUpShares> warm_up_shares;
    std::vector<OtherAddress> other_addresses;  // The last to become known.
  };
  // A target at an address, which a cookie names.
  struct Location {
    const Entry* entry = nullptr;  // The target, which may be elsewhere by now.
    Endpoint address;
    std::uint64_t started_ms = 0;  // The latest known start there.
  };

  // Called when a target is found to have ended because `successor`, which
  // started later, has its address.
  using OnReplaced = std::function<void(const TargetAnnouncement& ended,
                                        const TargetAnnouncement& successor)>;

  TargetDirectory();
  explicit TargetDirectory(OnReplaced on_replaced);

  // Sets the names of the configured pools, and applies the announcements for
  // pools that were not configured before.
  void SetPools(std::set<std::string> pools, TimePoint now);

  AnnouncementEffect Take(const TargetAnnouncement& received,
                          TimePoint heard_at);
  // Sets the grant for the target's start at `started_ms`, which changes the
  // entry. Ignored unless that is the present start and it has no grant yet.
  void SetWarmUpShares(std::uint64_t number, std::uint64_t started_ms,
                       const WarmUpShares& shares);
  // Records that a heartbeat without an announcement arrived at `heard_at`.
  void Renew(std::uint64_t number, TimePoint heard_at);
  // Removes targets whose last heartbeat was received at least `age` ago.
  void RemoveSilent(Duration age, TimePoint now);

  // Incremented by each change.
  std::uint64_t revision() const { return m_revision; }  // NOLINT
  // Incremented by each announcement that may change what FindOccupant()
  // returns.
  std::uint64_t occupant_revision() const {  // NOLINT
    return m_occupant_revision;
  }
  const std::map<std::uint64_t, Entry>& entries() const {  // NOLINT
    return m_entries;
  }
  const Entry* Find(std::uint64_t number) const;
  // Returns nothing if the cookie is not known. If several targets share it,
  // prefers one that is at the address and has not ended. Cost: one lookup.
  std::optional<Location> FindByCookie(std::uint32_t cookie) const;
  // Returns the process that would take or reset the flows of this location, by
  // the announced start times: the latest other target of a configured pool
  // that started there later, else the target where it started last, which may
  // be this location. Start times are by the clocks of the targets' VMs, so
  // another process than this may be the one that exists.
  Location FindOccupant(const Location& location) const;

 private:
  AnnouncementEffect Replace(Entry* entry,
                             const TargetAnnouncement& announcement,
                             TimePoint heard_at);
  void AddToIndex(std::uint64_t number, const Endpoint& address);
  void RemoveFromIndex(std::uint64_t number, const Endpoint& address);
  void ChangeAddress(Entry* entry, const TargetAnnouncement& announcement);
  void AddOtherAddress(Entry* entry, const TargetAnnouncement& announcement);
  Location FindLocation(std::uint64_t number, const Endpoint& address) const;
  bool IsConfigured(const TargetAnnouncement& announcement) const {
    return m_pools.count(announcement.pool) != 0;
  }
  void ResolveAddressConflicts(Entry* entry, TimePoint now);
  void ResolveAddressConflict(Entry* entry, Entry* other, TimePoint now);

  OnReplaced m_on_replaced;
  std::set<std::string> m_pools;
  std::uint64_t m_revision = 0;
  std::uint64_t m_occupant_revision = 0;
  std::map<std::uint64_t, Entry> m_entries;  // By number.
  // The number and address by cookie, for the present and the other addresses.
  std::multimap<std::uint32_t, std::pair<std::uint64_t, Endpoint>> m_by_cookie;
  std::unordered_multimap<Endpoint, std::uint64_t, EndpointHash> m_by_address;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TARGET_DIRECTORY_H_
