#ifndef SARDINELEAD_TARGET_DIRECTORY_H_
#define SARDINELEAD_TARGET_DIRECTORY_H_

// What targets said of themselves, newest news of each. Control processes hear
// targets and keep one directory each; a balancer keeps the union of theirs.
//
// News of one target is ordered by the start of its process, then by the
// sequence that the process counts, so that news may come late, twice and from
// several sides: the outcome is the same. Of two targets at one address only
// the one that started last still exists.
//
// Times here are the owner's: a balancer counts only the time in which it could
// have heard (see FeedFollower::CoveredTime). Not for several threads.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

enum class AnnouncedState : std::uint8_t {
  kReady,
  kDraining,  // Keeps its flows, takes no new ones.
  kEnded,     // Left, or another process has its address.
};
const char* Name(AnnouncedState state);

// One thing that a target said of itself.
struct TargetNews {
  std::uint64_t number = 0;      // Names the target in packets.
  std::uint64_t started_ms = 0;  // Unix time of its start, by its own clock.
  std::uint64_t sequence = 0;    // Counts what it said since that start.
  AnnouncedState state = AnnouncedState::kReady;
  std::string pool;
  Endpoint address;
  std::string data_centre;
  std::uint32_t slots = 1;   // Requests that it works on at once.
  Duration warm_up_left{0};  // How much longer it works slowly.
};

// The number that flows of this target carry; the same on every node, never 0.
std::uint32_t CookieOf(std::uint64_t target_number);

enum class NewsEffect : std::uint8_t {
  kStale,    // Older than what is known.
  kRenewed,  // The target lives; nothing else is new.
  kChanged,  // What balancers act on is new.
};
const char* Name(NewsEffect effect);

class TargetDirectory {
 public:
  struct Entry {
    TargetNews news;
    TimePoint heard_at;
    TimePoint warm_at;
    TimePoint ended_at;  // Where it ended.
    // Of the directory when the entry changed last.
    std::uint64_t revision = 0;
  };

  NewsEffect Take(const TargetNews& news, TimePoint heard_at);
  // The target lives and was heard at `heard_at`, without other news.
  void Renew(std::uint32_t cookie, TimePoint heard_at);
  // Forgets targets that ended, or were silent, for `age`.
  void Forget(Duration age, TimePoint now);

  // Grows with each change.
  std::uint64_t revision() const { return m_revision; }    // NOLINT
  const std::map<std::uint64_t, Entry>& entries() const {  // NOLINT
    return m_entries;
  }
  const Entry* Find(std::uint64_t number) const;
  // nullptr where no target has this cookie; of two, the one that lives.
  // Cost: one lookup.
  const Entry* FindByCookie(std::uint32_t cookie) const;

 private:
  NewsEffect Begin(Entry* entry, const TargetNews& news, TimePoint heard_at);
  void SettleAddress(Entry* entry, TimePoint now);
  void End(Entry* entry, TimePoint now);

  std::uint64_t m_revision = 0;
  std::map<std::uint64_t, Entry> m_entries;  // By number.
  std::multimap<std::uint32_t, std::uint64_t> m_by_cookie;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TARGET_DIRECTORY_H_
