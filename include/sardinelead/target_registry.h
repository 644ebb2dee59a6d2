#ifndef SARDINELEAD_TARGET_REGISTRY_H_
#define SARDINELEAD_TARGET_REGISTRY_H_

// Registry of targets, replicated among the balancers of a data centre without
// a central store: each balancer holds the complete table and gossips changes.
//
//   // HTTP request from a target:
//   auto reply = registry.Announce(announcement, now);
//   // kTargets message from a peer:
//   Outbox out = registry.OnMessage(from, body, now);
//   // Every 100 ms:
//   Outbox more = registry.OnTick(now);
//
// The balancer that a target last contacted is its home. Only the home tracks
// the target's lease, so renewals are not forwarded; it sends its peers one
// small heartbeat that covers all its targets. If no heartbeat of the home is
// received for one lease period, its targets receive no new flows.
// docs/design/balance.md explains the design.
//
// Not thread-safe. Publishes Blackboard::targets when it changed, at most every
// publish_interval.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sardinelead/blackboard.h"
#include "sardinelead/error.h"
#include "sardinelead/health.h"
#include "sardinelead/load.h"
#include "sardinelead/message.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct TargetRegistrySettings {
  NodeId self;
  Incarnation incarnation;
  Duration lease = std::chrono::seconds(15);
  Duration gossip_interval = std::chrono::seconds(1);
  Duration load_interval = std::chrono::seconds(2);
  Duration publish_interval = std::chrono::milliseconds(250);
  // Time for which the record of an ended target is kept, so that outdated
  // records of it are recognized.
  Duration tombstone_lifetime = std::chrono::minutes(10);
  // Limit on the total size of message bodies.
  std::uint64_t bytes_per_second = 2048;
  LoadSettings load;
};

// A target's registration request.
struct Announcement {
  std::string service;    // Format "workspace/service".
  std::string workspace;  // Must own the service.
  std::string name;       // For display only; up to kMaxTargetName bytes.
  Endpoint tunnel;
  std::uint32_t slots = 1;
  Incarnation incarnation;
  std::string token;
  std::uint16_t check_port = 0;  // Port for active checks; 0 disables them.
};
constexpr std::size_t kMaxTargetName = 64;
constexpr std::uint32_t kMaxSlots = 4096;

struct AnnounceReply {
  TargetId id;
  Duration lease{0};
  Duration renew_every{0};
};

struct Renewal {
  TargetId id;
  std::string token;
  std::optional<LoadReport> load;
};

enum class LeaseState : std::uint8_t {
  kActive,
  kLapsed,      // Lease expired; a renewal reactivates the target.
  kLeft,        // Deregistered, or the drain deadline passed.
  kSuperseded,  // A newer target uses its tunnel address.
};
const char* Name(LeaseState state);

// Replicated state of one target. Merging two records of one target is
// commutative, associative and idempotent: the record in an ended state takes
// precedence, otherwise the one with the greater sequence; `draining` is never
// cleared.
struct TargetRecord {
  ServiceId service;
  Endpoint tunnel;
  Incarnation incarnation;
  std::uint32_t sequence = 0;
  LeaseState state = LeaseState::kActive;
  bool draining = false;
  NodeId home;
  Incarnation home_incarnation;
  std::uint32_t slots = 1;
  std::uint16_t check_port = 0;
  // Seconds since the announcement or, for an ended target, since it ended; set
  // when the record is sent.
  std::uint32_t age_s = 0;
  std::string name;

  TargetId Id() const { return MakeTargetId(service, tunnel, incarnation); }
  bool IsEnded() const { return state >= LeaseState::kLeft; }
};

// Bytes sent, by purpose.
struct RegistryTraffic {
  std::uint64_t record_bytes = 0;
  std::uint64_t digest_bytes = 0;
  std::uint64_t load_bytes = 0;
  std::uint64_t opinion_bytes = 0;
  std::uint64_t messages = 0;
};

class TargetRegistry {
 public:
  struct Hooks {
    std::function<std::uint64_t()> random;
    // Returns whether `token` may announce targets of `workspace`.
    std::function<bool(const std::string& workspace, const std::string& token)>
        authorize;
    // Called for each load report, whether received from a target or from a
    // peer.
    std::function<void(ServiceId, TargetId, const LoadReport&,
                       TimePoint taken_at)>
        on_load;
  };

  TargetRegistry(const TargetRegistrySettings& settings, Blackboard* blackboard,
                 Health* health, Hooks hooks);

  // Errors: kMalformed, kUnknownName, kNotAllowed, kOutOfRange, kDuplicate
  // (tunnel address in use), kStale (older incarnation, or already ended).
  Result<AnnounceReply> Announce(const Announcement& announcement,
                                 TimePoint now);
  // Errors: kUnknownName, after which the target must announce itself again;
  // kNotAllowed; kStale if the target left or was superseded.
  Result<AnnounceReply> Renew(const Renewal& renewal, TimePoint now);
  // Drain stops new flows to the target; existing flows continue. Leave
  // deregisters the target, which ends its flows. Errors: kUnknownName if the
  // target does not exist, kStale if it has ended. Neither checks a token; the
  // HTTP handler does that first.
  Result<void> Drain(TargetId id, TimePoint now);
  Result<void> Leave(TargetId id, TimePoint now);

  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  Outbox OnTick(TimePoint now);

  // Returns all records, including those of ended targets. For the operator API
  // and tests.
  std::vector<TargetRecord> Records() const;
  std::uint64_t TableHash(TimePoint now) const;
  const RegistryTraffic& traffic() const { return m_traffic; }  // NOLINT

 private:
  struct Entry {
    TargetRecord record;
    TimePoint announced_at;
    TimePoint renewed_at;      // Valid only at the home.
    TimePoint changed_at;      // Last local change of the record.
    TimePoint draining_since;  // Valid only if record.draining.
  };
  // Last heartbeat received from another balancer.
  struct Home {
    Incarnation incarnation;
    std::uint32_t counter = 0;
    TimePoint heard_at;
  };
  struct LocalLoad {
    LoadReport report;
    TimePoint taken_at;
    LoadReport last_sent;
    TimePoint last_sent_at;
    bool was_sent = false;
  };

  Result<const Service*> CheckAnnouncement(
      const Configuration& configuration,
      const Announcement& announcement) const;
  Result<void> CheckTunnelFree(const Configuration& configuration,
                               const Service& service,
                               const Announcement& announcement,
                               TimePoint now) const;
  Result<Entry*> FindLive(TargetId id);
  AnnounceReply ReplyFor(TargetId id) const;
  bool IsHome(const TargetRecord& record) const;
  bool IsHomeAlive(const TargetRecord& record, TimePoint now) const;
  bool AcceptsNewFlows(const Entry& entry, TimePoint now) const;
  bool KeepsExistingFlows(const Entry& entry, TimePoint now) const;
  void TakeOver(Entry* entry, TimePoint now);
  void MarkChanged(const Entry& entry, bool is_local);
  void Merge(const TargetRecord& received, TimePoint now);
  void Reassert(Entry* entry, const TargetRecord& received, TimePoint now);
  void ResolveTunnelConflict(const Endpoint& tunnel, TimePoint now);
  void End(Entry* entry, LeaseState state, TimePoint now);

  void ExpireLeases(TimePoint now);
  void ExpireDrain(Entry* entry, TimePoint now);
  void PurgeExpired(TimePoint now);
  void RefreshHealth(TimePoint now);
  void PublishIfChanged(TimePoint now);
  Target ToTarget(TargetId id, const Entry& entry, TimePoint now) const;

  std::vector<NodeId> Peers() const;
  std::vector<NodeId> RandomPeers(std::size_t count) const;
  void Send(NodeId to, Bytes body, std::uint64_t* counter, Outbox* out);
  void RefillBudget(TimePoint now);
  void SendPendingRecords(TimePoint now, Outbox* out);
  void SendDigest(TimePoint now, Outbox* out);
  void SendLoads(TimePoint now, Outbox* out);
  void SendOpinions(TimePoint now, Outbox* out);
  void HandleDigest(NodeId from, const struct DigestMessage& digest,
                    bool may_answer, TimePoint now, Outbox* out);
  void HandleBuckets(NodeId from, const struct BucketsMessage& buckets,
                     TimePoint now, Outbox* out);
  void HandleRecords(NodeId from, const struct RecordsMessage& records,
                     TimePoint now, Outbox* out);
  void HandleLoads(const struct LoadsMessage& loads, TimePoint now);
  void HandleOpinions(NodeId from, const struct OpinionsMessage& opinions,
                      TimePoint now);
  // Sends the records in `buckets`, except those that the receiver already has.
  void SendBuckets(NodeId to, const std::vector<std::uint32_t>& buckets,
                   const std::map<TargetId, std::uint64_t>& known_hashes,
                   bool request_reply, TimePoint now, Outbox* out);
  bool IsTooOldToSend(const Entry& entry, TimePoint now) const;
  TargetRecord RecordToSend(const Entry& entry, TimePoint now) const;
  std::vector<std::uint32_t> BucketHashes(TimePoint now) const;

  TargetRegistrySettings m_settings;
  Blackboard* m_blackboard;
  Health* m_health;
  Hooks m_hooks;
  std::map<TargetId, Entry> m_table;
  // The newest target of each tunnel address, including ended ones.
  std::map<Endpoint, TargetId> m_newest_by_tunnel;
  std::map<NodeId, Home> m_homes;
  std::map<TargetId, LocalLoad> m_local_loads;
  // Records to send; true if the change originated at this balancer.
  std::map<TargetId, bool> m_pending_records;
  std::vector<Target> m_published;
  // Last passed to Health::SetTargets().
  std::vector<HealthTarget> m_probe_targets;
  TimePoint m_next_publish;
  TimePoint m_next_digest;
  TimePoint m_next_load;
  std::uint64_t m_view_generation = 0;
  TimePoint m_budget_at;
  double m_budget = 0;  // Bytes; negative when overdrawn.
  std::uint32_t m_counter = 0;
  RegistryTraffic m_traffic;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_TARGET_REGISTRY_H_
