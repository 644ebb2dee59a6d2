// Replication of the target registry between balancers.
//
// Changes are pushed to all peers at once (with more than kMaxDirectPeers
// peers, to kPushPeers random ones, which forward them). Every second a digest
// of the whole table goes to two random peers. A peer whose digest differs
// answers with the hashes of kTableBucketCount parts of its table, and the
// differing parts are then exchanged in both directions. Two balancers that can
// reach each other, directly or through others, therefore converge regardless
// of which messages were lost.
//
// All messages share one byte budget. Changes may overdraw it; loads and
// digests wait until it is positive again, so a burst of changes delays reports
// instead of increasing the traffic.

#include <algorithm>
#include <cmath>

#include "sardinelead/target_registry.h"
#include "target_message.h"

namespace sardinelead {
namespace {

// Up to this number of peers, changes are sent directly to all of them.
constexpr std::size_t kMaxDirectPeers = 16;
constexpr std::size_t kPushPeers = 8;
constexpr std::size_t kDigestPeers = 2;
// Maximum number of heartbeats of other balancers in one digest.
constexpr std::size_t kMaxHeartbeatsInDigest = 32;
constexpr std::size_t kMaxLoadsInMessage = 64;
// Upper limit of the unused byte budget, and of the overdraft up to which
// messages are still answered, both as seconds at the configured byte rate.
constexpr double kBudgetSeconds = 4;
// An unchanged load report is sent again after this time.
constexpr Duration kLoadRepeatInterval = std::chrono::seconds(4);
// A load report is sent early if the number of connections changed by more than
// this fraction.
constexpr double kMinConnectionChange = 0.05;

std::uint64_t RecordHash(const TargetRecord& record) {
  std::uint64_t hash = HashCombine(record.Id().value, record.sequence);
  const auto state = static_cast<std::uint64_t>(record.state);
  hash = HashCombine(hash, state * 2 + (record.draining ? 1 : 0));
  hash = HashCombine(hash, record.home.value);
  return HashCombine(hash, record.home_incarnation.value);
}

std::uint32_t BucketOf(TargetId id) {
  return static_cast<std::uint32_t>(id.value % kTableBucketCount);
}

bool IsSignificantChange(const LoadReport& now, const LoadReport& last_sent) {
  if (now.busy_slots != last_sent.busy_slots) return true;
  if (now.shedding != last_sent.shedding) return true;
  const double change = std::abs(static_cast<double>(now.connections) -
                                 static_cast<double>(last_sent.connections));
  const double before = std::abs(static_cast<double>(last_sent.connections));
  return change > kMinConnectionChange * before;
}

std::uint32_t ToMilliseconds(Duration duration) {
  const auto count =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
}

}  // namespace

std::vector<NodeId> TargetRegistry::Peers() const {
  std::vector<NodeId> peers;
  const auto view = m_blackboard->view.Read();
  for (const Member& member : view->members()) {
    if (member.id == m_settings.self) continue;
    if (member.state == MemberState::kDead) continue;
    peers.push_back(member.id);
  }
  return peers;
}

std::vector<NodeId> TargetRegistry::RandomPeers(std::size_t count) const {
  std::vector<NodeId> peers = Peers();
  const std::size_t drawn = std::min(count, peers.size());
  for (std::size_t i = 0; i < drawn; ++i) {
    const std::size_t other = i + m_hooks.random() % (peers.size() - i);
    std::swap(peers[i], peers[other]);
  }
  peers.resize(drawn);
  return peers;
}

void TargetRegistry::Send(NodeId to, Bytes body, std::uint64_t* counter,
                          Outbox* out) {
  *counter += body.size();
  ++m_traffic.messages;
  m_budget -= static_cast<double>(body.size());
  out->push_back(OutgoingMessage{to, MessageKind::kTargets, std::move(body)});
}

void TargetRegistry::RefillBudget(TimePoint now) {
  const double rate = static_cast<double>(m_settings.bytes_per_second);
  const double passed =
      std::chrono::duration<double>(now - m_budget_at).count();
  m_budget_at = now;
  m_budget = std::min(rate * kBudgetSeconds, m_budget + rate * passed);
}

bool TargetRegistry::IsTooOldToSend(const Entry& entry, TimePoint now) const {
  return entry.record.IsEnded() &&
         now - entry.changed_at > m_settings.tombstone_lifetime / 2;
}

TargetRecord TargetRegistry::RecordToSend(const Entry& entry,
                                          TimePoint now) const {
  TargetRecord record = entry.record;
  const Duration age =
      now - (record.IsEnded() ? entry.changed_at : entry.announced_at);
  record.age_s = ToMilliseconds(age) / 1000;
  return record;
}

std::vector<std::uint32_t> TargetRegistry::BucketHashes(TimePoint now) const {
  std::vector<std::uint32_t> hashes(kTableBucketCount, 0);
  for (const auto& [id, entry] : m_table) {
    if (IsTooOldToSend(entry, now)) continue;
    hashes[BucketOf(id)] ^=
        static_cast<std::uint32_t>(RecordHash(entry.record));
  }
  return hashes;
}

std::uint64_t TargetRegistry::TableHash(TimePoint now) const {
  std::uint64_t hash = 0;
  for (const std::uint32_t bucket : BucketHashes(now)) {
    hash = HashCombine(hash, bucket);
  }
  return hash;
}

void TargetRegistry::SendPendingRecords(TimePoint now, Outbox* out) {
  std::vector<TargetRecord> own;
  std::vector<TargetRecord> others;
  for (auto it = m_pending_records.begin(); it != m_pending_records.end();) {
    if (own.size() + others.size() >= kMaxRecordsInMessage) break;
    const auto found = m_table.find(it->first);
    if (found != m_table.end()) {
      (it->second ? own : others).push_back(RecordToSend(found->second, now));
    }
    it = m_pending_records.erase(it);
  }
  const bool few = Peers().size() <= kMaxDirectPeers;
  const auto push = [&](const std::vector<TargetRecord>& records,
                        std::size_t count) {
    if (records.empty()) return;
    const Bytes body = Encode(RecordsMessage{records, {}});
    for (const NodeId peer : RandomPeers(count)) {
      Send(peer, body, &m_traffic.record_bytes, out);
    }
  };
  push(own, few ? kMaxDirectPeers : kPushPeers);
  // With few peers, the originating balancer sends each change to all of them,
  // so it is not forwarded. Digests repair lost messages.
  if (!few) push(others, kPushPeers);
}

void TargetRegistry::SendDigest(TimePoint now, Outbox* out) {
  if (now < m_next_digest || m_budget <= 0) return;
  m_next_digest = now + m_settings.gossip_interval;
  ++m_counter;
  DigestMessage digest;
  digest.table_hash = TableHash(now);
  digest.heartbeats.push_back(
      HomeHeartbeat{m_settings.self, m_settings.incarnation, m_counter});
  std::vector<HomeHeartbeat> heard;
  for (const auto& [node, home] : m_homes) {
    if (now - home.heard_at > m_settings.lease) continue;
    heard.push_back(HomeHeartbeat{node, home.incarnation, home.counter});
  }
  const std::size_t count = std::min(heard.size(), kMaxHeartbeatsInDigest);
  const std::size_t start = heard.empty() ? 0 : m_hooks.random() % heard.size();
  for (std::size_t i = 0; i < count; ++i) {
    digest.heartbeats.push_back(heard[(start + i) % heard.size()]);
  }
  const Bytes body = Encode(digest);
  for (const NodeId peer : RandomPeers(kDigestPeers)) {
    Send(peer, body, &m_traffic.digest_bytes, out);
  }
}

void TargetRegistry::SendLoads(TimePoint now, Outbox* out) {
  if (now < m_next_load || m_budget <= 0) return;
  m_next_load = now + m_settings.load_interval;
  LoadsMessage message;
  for (auto& [id, own] : m_local_loads) {
    const bool repeat = now - own.last_sent_at >= kLoadRepeatInterval;
    const bool should_send = !own.was_sent || repeat ||
                             IsSignificantChange(own.report, own.last_sent);
    if (!should_send || message.loads.size() >= kMaxLoadsInMessage) continue;
    message.loads.push_back(
        LoadEntry{id, own.report, ToMilliseconds(now - own.taken_at)});
    own.last_sent = own.report;
    own.last_sent_at = now;
    own.was_sent = true;
  }
  if (message.loads.empty()) return;
  const Bytes body = Encode(message);
  for (const NodeId peer : RandomPeers(kMaxDirectPeers)) {
    Send(peer, body, &m_traffic.load_bytes, out);
  }
}

void TargetRegistry::SendOpinions(TimePoint now, Outbox* out) {
  OpinionsMessage message;
  message.opinions = m_health->TakeOpinions(now);
  if (message.opinions.empty()) return;
  const Bytes body = Encode(message);
  for (const NodeId peer : Peers()) {
    Send(peer, body, &m_traffic.opinion_bytes, out);
  }
}

void TargetRegistry::SendBuckets(
    NodeId to, const std::vector<std::uint32_t>& buckets,
    const std::map<TargetId, std::uint64_t>& known_hashes, bool request_reply,
    TimePoint now, Outbox* out) {
  RecordsMessage message;
  const auto flush = [&] {
    Send(to, Encode(message), &m_traffic.record_bytes, out);
    message = RecordsMessage{};
  };
  for (const auto& [id, entry] : m_table) {
    if (IsTooOldToSend(entry, now)) continue;
    const bool wanted = std::find(buckets.begin(), buckets.end(),
                                  BucketOf(id)) != buckets.end();
    if (!wanted) continue;
    const auto known = known_hashes.find(id);
    if (known != known_hashes.end() &&
        known->second == RecordHash(entry.record)) {
      continue;
    }
    message.records.push_back(RecordToSend(entry, now));
    if (message.records.size() == kMaxRecordsInMessage) flush();
  }
  if (request_reply) message.requested_buckets = buckets;
  if (request_reply || !message.records.empty()) flush();
}

void TargetRegistry::HandleDigest(NodeId from, const DigestMessage& digest,
                                  bool may_answer, TimePoint now, Outbox* out) {
  for (const HomeHeartbeat& heartbeat : digest.heartbeats) {
    if (heartbeat.home == m_settings.self) continue;
    Home& home = m_homes[heartbeat.home];
    const bool restarted = home.incarnation < heartbeat.incarnation;
    const bool newer = home.incarnation == heartbeat.incarnation &&
                       home.counter < heartbeat.counter;
    if (!restarted && !newer) continue;
    home = Home{heartbeat.incarnation, heartbeat.counter, now};
  }
  if (!may_answer || digest.table_hash == TableHash(now)) return;
  const Bytes body = Encode(BucketsMessage{BucketHashes(now)});
  Send(from, body, &m_traffic.digest_bytes, out);
}

void TargetRegistry::HandleBuckets(NodeId from, const BucketsMessage& buckets,
                                   TimePoint now, Outbox* out) {
  const std::vector<std::uint32_t> own = BucketHashes(now);
  std::vector<std::uint32_t> differing;
  for (std::uint32_t i = 0; i < kTableBucketCount; ++i) {
    if (own[i] != buckets.hashes[i]) differing.push_back(i);
  }
  if (differing.empty()) return;
  SendBuckets(from, differing, {}, /*request_reply=*/true, now, out);
}

void TargetRegistry::HandleRecords(NodeId from, const RecordsMessage& message,
                                   TimePoint now, Outbox* out) {
  std::map<TargetId, std::uint64_t> known_hashes;
  for (const TargetRecord& record : message.records) {
    Merge(record, now);
    known_hashes[record.Id()] = RecordHash(record);
  }
  if (message.requested_buckets.empty()) return;
  SendBuckets(from, message.requested_buckets, known_hashes,
              /*request_reply=*/false, now, out);
}

void TargetRegistry::HandleLoads(const LoadsMessage& message, TimePoint now) {
  for (const LoadEntry& entry : message.loads) {
    const auto found = m_table.find(entry.target);
    if (found == m_table.end() || found->second.record.IsEnded()) continue;
    const Duration age = std::chrono::milliseconds(entry.age_ms);
    m_hooks.on_load(found->second.record.service, entry.target, entry.report,
                    now - age);
  }
}

void TargetRegistry::HandleOpinions(NodeId from, const OpinionsMessage& message,
                                    TimePoint now) {
  for (const TargetOpinion& entry : message.opinions) {
    m_health->OnPeerOpinion(from, entry, now);
  }
}

Outbox TargetRegistry::OnMessage(NodeId from, ByteView body, TimePoint now) {
  Outbox out;
  const auto message = DecodeTargetMessage(body);
  if (!message) return out;
  RefillBudget(now);
  const double rate = static_cast<double>(m_settings.bytes_per_second);
  const bool may_answer = m_budget > -rate * kBudgetSeconds;
  if (const auto* digest = std::get_if<DigestMessage>(&*message)) {
    HandleDigest(from, *digest, may_answer, now, &out);
  } else if (const auto* buckets = std::get_if<BucketsMessage>(&*message)) {
    if (may_answer) HandleBuckets(from, *buckets, now, &out);
  } else if (const auto* records = std::get_if<RecordsMessage>(&*message)) {
    HandleRecords(from, *records, now, &out);
  } else if (const auto* loads = std::get_if<LoadsMessage>(&*message)) {
    HandleLoads(*loads, now);
  } else if (const auto* opinions = std::get_if<OpinionsMessage>(&*message)) {
    HandleOpinions(from, *opinions, now);
  }
  return out;
}

Outbox TargetRegistry::OnTick(TimePoint now) {
  Outbox out;
  RefillBudget(now);
  // Work that iterates over all targets runs at intervals, not on every tick.
  if (now >= m_next_publish) {
    m_next_publish = now + m_settings.publish_interval;
    ExpireLeases(now);
    PurgeExpired(now);
    RefreshHealth(now);
    PublishIfChanged(now);
    SendOpinions(now, &out);
  }
  SendPendingRecords(now, &out);
  SendDigest(now, &out);
  SendLoads(now, &out);
  return out;
}

}  // namespace sardinelead
