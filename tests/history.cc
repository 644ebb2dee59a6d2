#include "history.h"

#include <rapidcheck.h>

#include <utility>

namespace sardinelead {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kOperators = 3;
constexpr std::uint32_t kFollowers = 3;
constexpr std::uint32_t kFirstFollower = 101;
constexpr std::uint32_t kNewReplica = 21;
constexpr Duration kResendAfter = milliseconds(300);
constexpr Duration kFaultDuration = std::chrono::seconds(2);
constexpr char kWorkspace[] = "w";
constexpr char kAdmin[] = "admin";

std::uint32_t ShareOf(const Configuration& configuration) {
  const auto found = configuration.workspaces.find(kWorkspace);
  return found == configuration.workspaces.end() ? 0 : found->second.share;
}

}  // namespace

HistoryPlan MakePlan(std::uint64_t seed) {
  const auto range = [](std::uint32_t low, std::uint32_t high) {
    return rc::gen::inRange<std::uint32_t>(low, high + 1);
  };
  const auto generator = rc::gen::build<HistoryPlan>(
      rc::gen::set(&HistoryPlan::size, rc::gen::element(3U, 3U, 3U, 5U)),
      rc::gen::set(&HistoryPlan::loss_percent, range(0, 15)),
      rc::gen::set(&HistoryPlan::duplicate_percent, range(0, 15)),
      rc::gen::set(&HistoryPlan::max_delay_ms, range(1, 30)),
      rc::gen::set(&HistoryPlan::crash_permille, range(0, 60)),
      rc::gen::set(&HistoryPlan::has_partitions, rc::gen::arbitrary<bool>()),
      rc::gen::set(&HistoryPlan::has_disk_loss, rc::gen::arbitrary<bool>()),
      rc::gen::set(&HistoryPlan::has_replacement, rc::gen::arbitrary<bool>()),
      rc::gen::set(&HistoryPlan::patches_per_operator, range(2, 6)));
  return generator(rc::Random(seed), 100).value();
}

History::History(std::uint64_t seed, HistoryPlan plan, InjectedFault fault)
    : m_plan(plan),
      m_fault(fault),
      m_random(seed),
      m_cluster(seed + 1, plan.size) {}

std::string History::Run() {
  SetUp();
  m_cluster.Run(kFaultDuration);
  StopFaults();
  for (int step = 0; step < 200 && !HasConverged(); ++step) {
    m_cluster.Run(milliseconds(100));
  }
  if (!HasConverged()) Fail(kDoesNotConverge);
  CheckOutcomes();
  CheckRealTimeOrder();
  return m_failure;
}

void History::SetUp() {
  m_cluster.settings.compact_after_records = 20;
  // In every second history, replicas fetch each value by its digest.
  if (m_random() % 2 == 0) m_cluster.settings.max_inline_value_bytes = 0;
  m_cluster.delivery_delays = [this](NodeId from, NodeId to) {
    std::vector<Duration> delays;
    const bool is_partitioned =
        m_partitioned.count(from) != m_partitioned.count(to);
    if (is_partitioned) return delays;
    const std::uint32_t count = Chance(m_plan.duplicate_percent * 10) ? 2 : 1;
    for (std::uint32_t i = 0; i < count; ++i) {
      if (!m_is_fault_free && Chance(m_plan.loss_percent * 10)) continue;
      delays.push_back(milliseconds(1 + m_random() % m_plan.max_delay_ms));
    }
    return delays;
  };
  m_cluster.on_non_agreement_message = [this](NodeId from,
                                              const OutgoingMessage& message) {
    const NodeId to = message.to;
    const auto follower = m_followers.find(to);
    if (follower != m_followers.end()) {
      m_cluster.Send(to, follower->second.follower->OnMessage(
                             from, message.body, m_cluster.now));
    } else if (m_publishers.count(to) != 0 && m_cluster.IsUp(to)) {
      m_cluster.Send(
          to, m_publishers[to]->OnMessage(from, message.body, m_cluster.now));
    }
  };
  for (const NodeId id : m_cluster.settings.contacts) {
    m_cluster.Start(id, id.value == 1);
    m_members.insert(id);
    m_publishers[id] = std::make_unique<ConfigPublisher>(
        ConfigPublisherSettings{}, m_cluster.nodes[id].replica.get());
  }
  const HistoryPlan plan = std::exchange(m_plan, HistoryPlan{});
  if (!m_cluster.RunUntilVoting()) Fail("does not start");
  m_plan = plan;
  for (auto& [id, node] : m_cluster.nodes) {
    node.disk.drops_syncs = m_fault == InjectedFault::kIgnoredSync;
    m_initial_disks[id] = node.disk.files();
  }
  for (std::uint32_t i = 0; i < kFollowers; ++i) {
    StartFollower(NodeId{kFirstFollower + i});
  }
  for (std::uint32_t i = 0; i < kOperators; ++i) {
    m_operators.push_back({"operator" + std::to_string(i), 0, 0, false});
  }
  m_cluster.on_answer = [this](NodeId, const Answer& answer) {
    OnAnswer(answer);
  };
  m_cluster.before_sync = [this](NodeId id) {
    if (m_is_fault_free || !Chance(m_plan.crash_permille)) return true;
    ++m_counts.crashes;
    m_publishers.erase(id);
    return false;
  };
  m_cluster.on_tick = [this] { Tick(); };
}

void History::StartFollower(NodeId id) {
  Follower& follower = m_followers[id];
  ConfigFollowerSettings settings;
  settings.self = id;
  settings.sources = m_cluster.settings.contacts;
  settings.relay_count = 1;
  settings.fan_out = 1;
  const bool has_no_start_wait = m_fault == InjectedFault::kNoStartWait;
  if (has_no_start_wait) settings.start_wait = Duration(0);
  follower.blackboard = std::make_unique<Blackboard>();
  ConfigFollowerHooks hooks;
  hooks.random = [this] { return m_random(); };
  hooks.peers = [id] {
    std::vector<NodeId> peers;
    for (std::uint32_t i = 0; i < kFollowers; ++i) {
      if (kFirstFollower + i != id.value) {
        peers.push_back(NodeId{kFirstFollower + i});
      }
    }
    return peers;
  };
  follower.follower = std::make_unique<ConfigFollower>(
      settings, follower.blackboard.get(), hooks);
}

void History::Tick() {
  for (Operator& op : m_operators) StepOperator(&op);
  StepReplacement();
  if (!m_is_fault_free) StepFaults();
  for (auto& [id, publisher] : m_publishers) {
    if (m_cluster.IsUp(id)) {
      m_cluster.Send(id, publisher->OnTick(m_cluster.now));
    }
  }
  for (auto& [id, follower] : m_followers) {
    m_cluster.Send(id, follower.follower->OnTick(m_cluster.now));
  }
  Observe();
}

NodeId History::RandomReplica() {
  auto it = m_members.begin();
  std::advance(it, m_random() % m_members.size());
  return *it;
}

void History::StepOperator(Operator* op) {
  if (op->is_busy) {
    Request& request = m_requests[op->request];
    if (request.is_answered) {
      op->is_busy = Chance(30);  // Some operators resend after an answer.
      if (op->is_busy) SendRequest(op->request, true);
    } else if (m_cluster.now - request.sent_at > kResendAfter || Chance(20)) {
      SendRequest(op->request, true);
    }
    return;
  }
  if (op->sent >= m_plan.patches_per_operator || !Chance(100)) return;
  const NodeId id = RandomReplica();
  if (!m_cluster.IsUp(id)) return;
  const std::uint64_t version =
      m_cluster.nodes[id].replica->configuration()->version.value;
  ++op->sent;
  Request request;
  request.operator_name = op->name;
  request.is_valid = !Chance(100);
  const auto share = static_cast<std::uint32_t>(m_requests.size() + 1);
  request.patch = PutWorkspacePatch("p" + std::to_string(op->sent), version,
                                    kWorkspace, request.is_valid ? share : 0);
  request.first_sent = m_cluster.now;
  op->is_busy = true;
  op->request = m_requests.size();
  m_requests.push_back(std::move(request));
  SendRequest(op->request, false);
}

void History::SendRequest(std::size_t index, bool is_resend) {
  Request& request = m_requests[index];
  request.sent_at = m_cluster.now;
  const std::uint64_t id = m_next_request_id++;
  m_request_by_id[id] = index;
  m_counts.resends += is_resend ? 1 : 0;
  std::string name = request.operator_name;
  if (is_resend && m_fault == InjectedFault::kRenamedResend) name += "-again";
  m_cluster.Submit(RandomReplica(), id, name, request.patch, milliseconds(200));
}

void History::OnAnswer(const Answer& answer) {
  const auto found = m_request_by_id.find(answer.request_id);
  if (found == m_request_by_id.end()) {
    const bool is_known = answer.outcome.kind != OutcomeKind::kUnknown;
    if (answer.request_id != m_change_id || !is_known) return;
    ++m_counts.replacements;
    m_removed = NodeId{};
    return;
  }
  if (answer.outcome.kind == OutcomeKind::kUnknown) return;
  Request& request = m_requests[found->second];
  if (!request.is_answered) request.answered_at = m_cluster.now;
  request.is_answered = true;
  request.outcomes.push_back(answer.outcome);
}

void History::StepFaults() {
  if (m_plan.has_partitions && Chance(20)) {
    m_partitioned.clear();
    if (Chance(700)) m_partitioned.insert(RandomReplica());
    if (Chance(300)) m_partitioned.insert(RandomReplica());
    if (Chance(300)) m_partitioned.insert(NodeId{kFirstFollower});
  }
  CrashOrRestart();
  if (m_plan.has_disk_loss && Chance(10)) EraseDisk();
  if (m_fault == InjectedFault::kNoStartWait && Chance(20)) {
    const NodeId id{kFirstFollower};
    const std::uint64_t highest = m_followers[id].highest;
    StartFollower(id);
    m_followers[id].highest = highest;
  }
}

void History::CrashOrRestart() {
  const NodeId id = RandomReplica();
  if (m_cluster.IsUp(id)) {
    if (!Chance(m_plan.crash_permille / 10)) return;
    m_publishers.erase(id);
    m_cluster.Stop(id);
    return;
  }
  if (!Chance(m_is_fault_free ? 1000 : 100)) return;
  m_cluster.Start(id);
  if (!m_cluster.IsUp(id)) return;
  m_publishers[id] = std::make_unique<ConfigPublisher>(
      ConfigPublisherSettings{}, m_cluster.nodes[id].replica.get());
}

// Erases one disk at a time, and none while a member has yet to join, so that a
// quorum always keeps its durable state.
void History::EraseDisk() {
  const NodeId id = RandomReplica();
  for (const NodeId member : m_members) {
    if (!m_cluster.IsUp(member)) return;
    const auto status = m_cluster.nodes[member].replica->Status(m_cluster.now);
    if (status.members.size() != m_members.size()) return;
    for (const auto& [other, has_joined] : status.members) {
      if (!has_joined) return;
    }
    const bool is_voting = status.role == ReplicaRole::kVoting;
    if (m_erased_replica.value != 0 && !is_voting) return;
  }
  m_erased_replica = id;
  ++m_counts.disk_losses;
  m_publishers.erase(id);
  m_cluster.Stop(id);
  const bool is_stale = m_fault == InjectedFault::kStaleDisk;
  m_cluster.nodes[id].disk.Erase();
  if (is_stale) m_cluster.nodes[id].disk.files() = m_initial_disks[id];
}

void History::StepReplacement() {
  if (!m_plan.has_replacement || m_is_fault_free) return;
  const bool is_requested = m_change_id != 0;
  if (!is_requested && (m_erased_replica.value != 0 || !Chance(10))) return;
  if (!is_requested) {
    m_plan.has_disk_loss = false;
    m_removed = RandomReplica();
    const NodeId added{kNewReplica};
    m_members.insert(added);
    m_cluster.Start(added);
    m_publishers[added] = std::make_unique<ConfigPublisher>(
        ConfigPublisherSettings{}, m_cluster.nodes[added].replica.get());
  }
  if (m_removed.value == 0 || (is_requested && !Chance(50))) return;
  const NodeId id = RandomReplica();
  if (!m_cluster.IsUp(id)) return;
  m_change_id = m_next_request_id++;
  const ReplicaChange change{"change", m_removed, NodeId{kNewReplica}};
  m_cluster.Take(id, m_cluster.nodes[id].replica->Submit(
                         m_change_id, kAdmin, change,
                         m_cluster.now + milliseconds(200), m_cluster.now));
}

void History::Observe() {
  for (auto& [id, node] : m_cluster.nodes) {
    if (!node.replica) continue;
    ObserveConfiguration(*node.replica->configuration(),
                         "replica " + std::to_string(id.value));
  }
  for (auto& [id, follower] : m_followers) {
    const auto configuration = follower.blackboard->configuration.Read();
    const std::string who = "follower " + std::to_string(id.value);
    ObserveConfiguration(*configuration, who);
    const std::uint64_t version = configuration->version.value;
    // A follower that has just restarted has not published anything yet.
    if (version != 0 && version < follower.highest) Fail(who + " reverts");
    follower.highest = std::max(follower.highest, version);
  }
}

void History::ObserveConfiguration(const Configuration& configuration,
                                   const std::string& who) {
  const std::uint32_t share = ShareOf(configuration);
  const auto [place, is_new] =
      m_share_by_version.emplace(configuration.version.value, share);
  if (place->second != share) {
    Fail(who + " has another content of version " +
         std::to_string(configuration.version.value));
  }
}

void History::Fail(const std::string& what) {
  if (m_failure.empty()) m_failure = what;
}

void History::StopFaults() {
  m_is_fault_free = true;
  m_partitioned.clear();
  for (const NodeId id : m_members) {
    if (m_cluster.IsUp(id)) continue;
    m_cluster.Start(id);
    if (!m_cluster.IsUp(id)) Fail("a replica does not start");
    m_publishers[id] = std::make_unique<ConfigPublisher>(
        ConfigPublisherSettings{}, m_cluster.nodes[id].replica.get());
  }
}

bool History::HasConverged() {
  for (const Operator& op : m_operators) {
    if (op.is_busy || op.sent < m_plan.patches_per_operator) return false;
  }
  std::uint64_t newest = 0;
  for (const NodeId id : m_members) {
    const Replica& replica = *m_cluster.nodes[id].replica;
    newest = std::max(newest, replica.configuration()->version.value);
    const ReplicaRole role = replica.Status(m_cluster.now).role;
    const bool is_out = role == ReplicaRole::kRemoved ||
                        (id.value == kNewReplica && m_removed.value != 0);
    if (role != ReplicaRole::kVoting && !is_out) return false;
  }
  for (auto& [id, follower] : m_followers) {
    if (follower.highest != newest) return false;
  }
  return true;
}

// Checks that all answers to a request are the same, and that replicas and
// followers observed the accepted requests but none of the refused ones.
void History::CheckOutcomes() {
  std::map<std::uint32_t, std::uint64_t> version_of_share;
  for (const auto& [version, share] : m_share_by_version) {
    const bool is_first = version_of_share.emplace(share, version).second;
    if (!is_first) Fail("share " + std::to_string(share) + " applied twice");
  }
  for (const Request& request : m_requests) {
    const std::string name = request.operator_name + "/" + request.patch.id;
    if (request.outcomes.empty()) {
      Fail(name + " has no outcome");
      continue;
    }
    const Outcome& first = request.outcomes.front();
    for (const Outcome& outcome : request.outcomes) {
      const bool is_same =
          outcome.kind == first.kind && outcome.version == first.version;
      if (!is_same) Fail(name + " has two outcomes");
    }
    const std::uint32_t share =
        request.patch.operations.front().workspace.share;
    const auto seen = version_of_share.find(share);
    const bool is_seen = request.is_valid && seen != version_of_share.end();
    if (first.kind == OutcomeKind::kAccepted) {
      ++m_counts.accepted;
      const bool is_next = first.version.value == request.patch.base.value + 1;
      if (!request.is_valid || !is_next) Fail(name + " must not be accepted");
      if (!is_seen || seen->second != first.version.value) {
        Fail(name + " was accepted and is not in force");
      }
      continue;
    }
    ++m_counts.refused;
    if (is_seen) Fail(name + " was refused and ran");
    const bool is_conflict = first.version != request.patch.base;
    if (!is_conflict && request.is_valid) Fail(name + " refused for nothing");
  }
}

// Checks real-time order: each request takes effect between its first send and
// its first answer. An accepted request writes its version; a refused one reads
// the version at which it was refused.
void History::CheckRealTimeOrder() {
  for (const Request& before : m_requests) {
    for (const Request& after : m_requests) {
      if (before.outcomes.empty() || after.outcomes.empty()) continue;
      if (!(before.answered_at < after.first_sent)) continue;
      const Outcome& a = before.outcomes.front();
      const Outcome& b = after.outcomes.front();
      const bool is_write = b.kind == OutcomeKind::kAccepted;
      const bool is_ordered =
          is_write ? a.version < b.version : !(b.version < a.version);
      if (!is_ordered) {
        Fail(after.operator_name + "/" + after.patch.id +
             " took effect before one that was answered before it was sent");
      }
    }
  }
}

}  // namespace sardinelead
