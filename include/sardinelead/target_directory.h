#ifndef SARDINELEAD_TARGET_DIRECTORY_H_
#define SARDINELEAD_TARGET_DIRECTORY_H_

// The newest announcement of each target. Each control VM keeps a directory of
// the targets that send it heartbeats; a balancer keeps the union of these.
//
// Announcements of a target are ordered by the start time of its process, then
// by the sequence number of that process, so that late and duplicate delivery
// and delivery by several paths give the same result. Of two targets with the
// same address, only the one that started last still exists.
//
// A target may start again under its number, also at another address, and nodes
// learn that at different times. A cookie names one start, so a node that knows
// only an earlier one does not know the cookie, in place of sending packets to
// the earlier address. A few other starts of each target are kept, for packets
// of their flows.
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

// Returns the cookie carried by flows of this start of a target: a hash, equal
// on all nodes and never 0. A later start of the target has another cookie,
// since it does not hold the flows of this one. Two starts may share a cookie.
std::uint32_t CookieOf(std::uint64_t target_number, std::uint64_t started_ms);
// Returns a hash of the number that names the target in SilenceReport, never 0.
std::uint32_t ShortNumberOf(std::uint64_t target_number);

enum class AnnouncementEffect : std::uint8_t {
  kStale,    // Older than the known announcement; ignored.
  kRenewed,  // The target is alive; nothing relevant changed.
  kChanged,  // A field that balancers act on changed, or it became cold again.
  kForeign,  // For a pool that is not configured, with the number of a target
             // of a configured one; ignored.
};
const char* Name(AnnouncementEffect effect);

class TargetDirectory {
 public:
  // Another start of a target than that of its newest announcement.
  struct OtherStart {
    std::uint64_t started_ms = 0;
    Endpoint address;
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
    std::vector<OtherStart> other_starts;  // The latest known ones.
  };
  // A start of a target, which a cookie names.
  struct Start {
    const Entry* entry = nullptr;  // Its target, which may have started again.
    std::uint64_t started_ms = 0;
    Endpoint address;
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
  std::uint64_t revision() const { return m_revision; }    // NOLINT
  const std::map<std::uint64_t, Entry>& entries() const {  // NOLINT
    return m_entries;
  }
  const Entry* Find(std::uint64_t number) const;
  // Returns the process that has taken the place of this start, as far as the
  // announced start times tell: the latest other target of a configured pool at
  // its address, else a later start of its target. Start times are by the
  // clocks of the targets' VMs, and either process may be the one that exists.
  std::optional<Start> FindSuccessor(const Start& start) const;
  // Returns the start that this cookie names, or nothing if it is not known. If
  // several share the cookie, prefers the present start of a target that has
  // not ended. An earlier start at the address of the present one is returned
  // as the present one: number and address do not tell them apart. Cost: one
  // lookup.
  std::optional<Start> FindByCookie(std::uint32_t cookie) const;

 private:
  AnnouncementEffect Replace(Entry* entry,
                             const TargetAnnouncement& announcement,
                             TimePoint heard_at);
  void IndexStart(std::uint64_t number, std::uint64_t started_ms);
  void ChangeStart(Entry* entry, const TargetAnnouncement& announcement);
  void AddOtherStart(Entry* entry, const TargetAnnouncement& announcement);
  void RemoveStarts(const Entry& entry);
  Start FindStart(std::uint64_t number, std::uint64_t started_ms) const;
  bool IsConfigured(const TargetAnnouncement& announcement) const {
    return m_pools.count(announcement.pool) != 0;
  }
  void ResolveAddressConflicts(Entry* entry, TimePoint now);
  void ResolveAddressConflict(Entry* entry, Entry* other, TimePoint now);

  OnReplaced m_on_replaced;
  std::set<std::string> m_pools;
  std::uint64_t m_revision = 0;
  std::map<std::uint64_t, Entry> m_entries;  // By number.
  // The number and start time by cookie, for the present and the other starts.
  std::multimap<std::uint32_t, std::pair<std::uint64_t, std::uint64_t>>
      m_by_cookie;
  std::unordered_multimap<Endpoint, std::uint64_t, EndpointHash> m_by_address;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TARGET_DIRECTORY_H_
