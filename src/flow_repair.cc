// The pull protocol, by which a member of a partition's chain copies missing
// flow records from the partition's holders.
//
// A member enters a partition's chain in a particular view, and a source
// answers its requests only in that same view. Records that the source stored
// before it entered the view are in its table; flows that any primary decides
// in the view reach the new member through the chain. A single pass over the
// source's table in hash order therefore misses no record, however long it
// takes. A record that the member already has is kept, since the chain
// delivered it later.
//
// At most one request per source is outstanding. It lists several partitions,
// and the answer contains as many of them as fit into one message. A source
// answers as its send budget allows; until then requests are queued, and a
// newer request replaces an older one from the same member.

#include "sardinelead/flow_repair.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "flow_shards.h"
#include "repair_messages.h"

namespace sardinelead {
namespace {

constexpr std::size_t kHeaderBytes = 40;
constexpr std::size_t kMaxTargetsInBatch = 200;

}  // namespace

class FlowRepair::State {
 public:
  State(FlowRepairSettings settings, FlowDirector* director,
        Blackboard* blackboard)
      : m_settings(settings),
        m_shards(director->shards()),
        m_reader(blackboard) {}

  void OnMessage(NodeId from, ByteView body, TimePoint now);
  Outbox OnTick(TimePoint now);
  RecordCompleteness Report() const { return m_report; }

  std::uint64_t malformed() const { return m_malformed; }  // NOLINT
  std::uint64_t pulled() const { return m_pulled; }        // NOLINT

 private:
  // An active pull from one source, with partitions in request order.
  struct Pull {
    std::vector<PartitionId> partitions;
    std::uint64_t next_hash = 0;  // In the first partition.
    TimePoint asked_at;
    bool has_answer = false;  // The last request was answered.
  };

  void Refill(TimePoint now);
  void UpdateReport(const View& view, TimePoint now);
  void CompleteIfNoOtherHolder(const View& view, TimePoint now);
  void StartPulls(const View& view, TimePoint now, Outbox* outbox);
  NodeId SourceOf(const View& view, PartitionId partition) const;
  void Answer(const View& view, TimePoint now, Outbox* outbox);
  RepairBatch MakeBatch(const View& view, const RepairRequest& request);
  void Take(NodeId from, const RepairBatch& batch);
  void Store(const View& view, const RepairBatch::Section& section);
  void Finish(NodeId from, const RepairBatch::Section& section,
              const View& view);
  void SetComplete(const View& view, PartitionId partition);
  bool Send(NodeId to, Bytes body, Outbox* outbox);

  const FlowRepairSettings m_settings;
  FlowShards* m_shards;
  BlackboardReader m_reader;

  RecordCompleteness m_report;
  std::vector<PartitionId> m_incomplete;
  std::uint32_t m_serial = 0;                          // View of m_incomplete.
  std::map<NodeId, Pull> m_pulls;                      // By source.
  std::map<NodeId, RepairRequest> m_pending_requests;  // By requester.
  NodeId m_last_answered;
  // By partition: sources that sent all their records but were incomplete.
  std::map<PartitionId, std::set<NodeId>> m_partial_nodes;
  double m_send_budget = 0;  // Bytes that may be sent now; may be negative.
  TimePoint m_refilled_at = TimePoint::min();
  std::uint64_t m_malformed = 0;
  std::uint64_t m_pulled = 0;
};

void FlowRepair::State::OnMessage(NodeId from, ByteView body, TimePoint now) {
  if (const auto request = DecodeRepairRequest(body)) {
    m_pending_requests[from] = *request;
    return;
  }
  if (const auto batch = DecodeRepairBatch(body, now)) {
    Take(from, *batch);
    return;
  }
  ++m_malformed;
}

Outbox FlowRepair::State::OnTick(TimePoint now) {
  const View& view = m_reader.view.Get();
  Outbox outbox;
  Refill(now);
  UpdateReport(view, now);
  StartPulls(view, now, &outbox);
  Answer(view, now, &outbox);
  return outbox;
}

void FlowRepair::State::Refill(TimePoint now) {
  if (m_refilled_at != TimePoint::min()) {
    const std::chrono::duration<double> passed = now - m_refilled_at;
    m_send_budget += passed.count() * m_settings.bytes_per_second;
  }
  m_refilled_at = now;
  const double most = m_settings.bytes_per_second;
  m_send_budget = std::min(m_send_budget, most);
}

void FlowRepair::State::UpdateReport(const View& view, TimePoint now) {
  if (m_serial != view.serial()) {
    m_serial = view.serial();
    m_pulls.clear();
    m_partial_nodes.clear();
    m_incomplete = m_shards->IncompletePartitions(view);
  }
  CompleteIfNoOtherHolder(view, now);
  m_report = {view.serial(), static_cast<std::uint32_t>(m_incomplete.size())};
}

void FlowRepair::State::CompleteIfNoOtherHolder(const View& view,
                                                TimePoint now) {
  if (!view.MayDecide(now)) return;
  for (const Member& member : view.members()) {
    const bool may_hold =
        member.id != m_settings.self && member.state != MemberState::kJoining;
    if (may_hold) return;
  }
  while (!m_incomplete.empty()) SetComplete(view, m_incomplete.back());
}

NodeId FlowRepair::State::SourceOf(const View& view,
                                   PartitionId partition) const {
  const Chain& chain = view.ChainOf(partition);
  const auto found = m_partial_nodes.find(partition);
  for (int rank = 0; rank < chain.holders; ++rank) {
    const NodeId id = chain.nodes[rank];
    if (id == m_settings.self) continue;
    if (found != m_partial_nodes.end() && found->second.count(id) > 0) continue;
    return id;
  }
  return NodeId();
}

void FlowRepair::State::StartPulls(const View& view, TimePoint now,
                                   Outbox* outbox) {
  // Adds each partition that is not being pulled yet to the pull from its
  // source, up to the maximum size of a request.
  std::set<PartitionId> under_way;
  for (const auto& [source, pull] : m_pulls) {
    under_way.insert(pull.partitions.begin(), pull.partitions.end());
  }
  const std::vector<PartitionId> incomplete = m_incomplete;
  for (const PartitionId partition : incomplete) {
    if (under_way.count(partition) > 0) continue;
    const NodeId source = SourceOf(view, partition);
    if (source == NodeId()) {
      // Every other holder has sent all its records, so there is no source left
      // to pull from.
      if (view.MayDecide(now)) SetComplete(view, partition);
      continue;
    }
    const bool is_new = m_pulls.count(source) == 0;
    Pull& pull = m_pulls[source];
    if (is_new) pull.has_answer = true;
    if (pull.partitions.size() >= kMaxPartitionsPerRequest) continue;
    pull.partitions.push_back(partition);
  }
  for (auto& [source, pull] : m_pulls) {
    const bool is_overdue = now - pull.asked_at >= m_settings.retry_after;
    const bool is_due = pull.has_answer || is_overdue;
    if (!is_due || pull.partitions.empty()) continue;
    const RepairRequest request{view.tag(), view.serial(), pull.partitions,
                                pull.next_hash};
    if (!Send(source, Encode(request), outbox)) return;
    pull.asked_at = now;
    pull.has_answer = false;
  }
}

bool FlowRepair::State::Send(NodeId to, Bytes body, Outbox* outbox) {
  const auto size = static_cast<double>(body.size() + kHeaderBytes);
  if (m_send_budget <= 0) return false;
  m_send_budget -= size;
  outbox->push_back({to, MessageKind::kFlowRepair, std::move(body)});
  return true;
}

void FlowRepair::State::Answer(const View& view, TimePoint now,
                               Outbox* outbox) {
  // Serves requesters round-robin, starting after the last one answered. A
  // request for another view stays queued: this node may still enter that view.
  for (std::size_t left = m_pending_requests.size();
       left > 0 && m_send_budget > 0; --left) {
    auto next = m_pending_requests.upper_bound(m_last_answered);
    if (next == m_pending_requests.end()) next = m_pending_requests.begin();
    const auto [requester, request] = *next;
    m_last_answered = requester;
    if (request.view != view.tag()) continue;
    m_pending_requests.erase(next);
    Send(requester, Encode(MakeBatch(view, request), now), outbox);
  }
}

RepairBatch FlowRepair::State::MakeBatch(const View& view,
                                         const RepairRequest& request) {
  RepairBatch batch;
  batch.view = view.tag();
  batch.serial = request.serial;
  batch.from_hash = request.from_hash;
  std::set<TargetId> targets;
  std::size_t size = kRepairBatchOverhead;
  auto from = static_cast<std::uint32_t>(request.from_hash);
  for (const PartitionId partition : request.partitions) {
    size += kRepairSectionSize;
    if (size > m_settings.max_body_bytes && !batch.sections.empty()) break;
    RepairBatch::Section section;
    section.partition = partition;
    FlowShard* shard = m_shards->Of(partition);
    const std::lock_guard<std::mutex> lock(shard->mutex);
    shard->ClearIfTenureChanged(view, partition);
    section.is_complete = shard->complete;
    const auto add = [&](const FlowRecord& record) {
      const bool is_new = targets.count(record.target()) == 0;
      size += EncodedSize(record) + (is_new ? kRepairTargetSize : 0);
      // Records with the same hash go into one batch, since the next batch can
      // resume only at the start of a hash.
      const bool is_full = size > m_settings.max_body_bytes ||
                           targets.size() >= kMaxTargetsInBatch;
      const bool may_end = section.records.empty()
                               ? !batch.sections.empty()
                               : section.records.back().hash != record.hash;
      if (is_full && may_end) {
        batch.next_hash = record.hash;
        return false;
      }
      targets.insert(record.target());
      section.records.push_back(record);
      return true;
    };
    shard->table.VisitFrom(from, add);
    batch.sections.push_back(std::move(section));
    if (batch.next_hash != kRepairHashEnd) break;
    from = 0;
  }
  return batch;
}

void FlowRepair::State::Take(NodeId from, const RepairBatch& batch) {
  const View& view = m_reader.view.Get();
  const auto found = m_pulls.find(from);
  const bool is_expected =
      found != m_pulls.end() && m_serial == view.serial() &&
      batch.view == view.tag() && batch.serial == view.serial() &&
      !found->second.has_answer && found->second.next_hash == batch.from_hash;
  if (!is_expected) return;
  Pull& pull = found->second;
  for (const RepairBatch::Section& section : batch.sections) {
    const bool is_next = !pull.partitions.empty() &&
                         pull.partitions.front() == section.partition;
    if (!is_next) break;
    Store(view, section);
    pull.has_answer = true;
    const bool is_last = &section == &batch.sections.back();
    pull.next_hash = is_last ? batch.next_hash : kRepairHashEnd;
    if (pull.next_hash != kRepairHashEnd) break;
    pull.next_hash = 0;
    pull.partitions.erase(pull.partitions.begin());
    Finish(from, section, view);
  }
  if (pull.partitions.empty()) m_pulls.erase(found);
}

void FlowRepair::State::Store(const View& view,
                              const RepairBatch::Section& section) {
  FlowShard* shard = m_shards->Of(section.partition);
  const std::lock_guard<std::mutex> lock(shard->mutex);
  shard->ClearIfTenureChanged(view, section.partition);
  for (const FlowRecord& record : section.records) {
    const Endpoint caller{record.caller, record.caller_port};
    if (shard->table.Find(record.hash, caller) != nullptr) continue;
    // If the table is full, the record is dropped here; other holders keep
    // their copies.
    if (shard->table.Insert(record, record.seen_ms) != nullptr) ++m_pulled;
  }
}

void FlowRepair::State::Finish(NodeId from, const RepairBatch::Section& section,
                               const View& view) {
  if (section.is_complete) {
    SetComplete(view, section.partition);
  } else {
    m_partial_nodes[section.partition].insert(from);
  }
}

void FlowRepair::State::SetComplete(const View& view, PartitionId partition) {
  FlowShard* shard = m_shards->Of(partition);
  const std::lock_guard<std::mutex> lock(shard->mutex);
  shard->ClearIfTenureChanged(view, partition);
  shard->complete = true;
  const auto done =
      std::find(m_incomplete.begin(), m_incomplete.end(), partition);
  if (done != m_incomplete.end()) m_incomplete.erase(done);
}

FlowRepair::FlowRepair(FlowRepairSettings settings, FlowDirector* director,
                       Blackboard* blackboard)
    : m_state(std::make_unique<State>(settings, director, blackboard)) {}

FlowRepair::~FlowRepair() = default;

Outbox FlowRepair::OnMessage(NodeId from, ByteView body, TimePoint now) {
  m_state->OnMessage(from, body, now);
  return {};
}

Outbox FlowRepair::OnTick(TimePoint now) { return m_state->OnTick(now); }

RecordCompleteness FlowRepair::Report() const { return m_state->Report(); }

std::uint64_t FlowRepair::malformed() const { return m_state->malformed(); }

std::uint64_t FlowRepair::records_pulled() const { return m_state->pulled(); }

}  // namespace sardinelead
