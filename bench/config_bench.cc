// Benchmarks the configuration service: patch latency in units of fsync latency
// on the same disk, time until nine followers have applied a patch, outage
// after a replica fails, restart time, and control traffic of a balancer.
//
// Replicas run in threads of this process on real files, in real time; messages
// are passed in memory. Traffic counts message bodies without framing.

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "bench.h"
#include "sardinelead/config_follower.h"
#include "sardinelead/journal.h"
#include "sardinelead/replica.h"

namespace sardinelead::bench {
namespace {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::duration<double, std::milli>;

constexpr std::uint32_t kReplicas = 3;
constexpr std::uint32_t kFollowers = 9;
constexpr std::uint32_t kFirstFollower = 101;
constexpr int kPatches = 200;
constexpr int kFailures = 3;
constexpr Duration kTick = std::chrono::milliseconds(10);
constexpr Duration kTrafficDuration = std::chrono::seconds(4);

TimePoint Now() {
  return TimePoint(
      std::chrono::duration_cast<Duration>(Clock::now().time_since_epoch()));
}

double MillisSince(TimePoint start) { return Millis(Now() - start).count(); }

double Quantile(std::vector<double> values, double quantile) {
  std::sort(values.begin(), values.end());
  const auto last = static_cast<double>(values.size() - 1);
  return values[static_cast<std::size_t>(last * quantile)];
}

// A temporary folder, removed by the destructor.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "sardinelead-XXXXXX");
    m_path = mkdtemp(pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(m_path); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& path() const { return m_path; }  // NOLINT

 private:
  std::string m_path;
};

// Measures the fsync latency of the same disk between patches.
class SyncMeter {
 public:
  SyncMeter() : m_files(PosixFileOperations(m_folder.path())) {}

  // Appends 300 bytes to a file and syncs them.
  void Measure() {
    const Bytes bytes(300, 1);
    const TimePoint start = Now();
    const bool is_kept = m_files.append("file", bytes) && m_files.sync("file");
    if (!is_kept) std::abort();
    m_millis.push_back(MillisSince(start));
  }
  const std::vector<double>& millis() const { return m_millis; }  // NOLINT

 private:
  TemporaryFolder m_folder;
  FileOperations m_files;
  std::vector<double> m_millis;
};

Patch MakePatch(std::uint64_t base) {
  Operation operation;
  operation.kind = OperationKind::kPutWorkspace;
  const auto share = static_cast<std::uint32_t>(base % 1000 + 1);
  operation.workspace = Workspace{"w", share, Limits{}};
  return {"patch-" + std::to_string(base), ConfigVersion{base}, {operation}};
}

// A node of the service; its thread handles incoming messages and ticks.
class Node {
 public:
  using Handler = std::function<void(NodeId from, const OutgoingMessage&)>;

  Node(Handler on_message, std::function<void()> on_wake)
      : m_on_message(std::move(on_message)),
        m_on_wake(std::move(on_wake)),
        m_thread([this] { Loop(); }) {}
  ~Node() { Stop(); }
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  void Post(std::function<void()> task) {
    {
      const std::lock_guard<std::mutex> lock(m_mutex);
      m_tasks.push_back(std::move(task));
    }
    m_wake.notify_one();
  }
  void Post(NodeId from, const OutgoingMessage& message) {
    Post([this, from, message] { m_on_message(from, message); });
  }
  void Stop() {
    m_is_stopped = true;
    m_wake.notify_one();
    if (m_thread.joinable()) m_thread.join();
  }

 private:
  void Loop() {
    while (!m_is_stopped) {
      std::vector<std::function<void()>> tasks;
      {
        std::unique_lock<std::mutex> lock(m_mutex);
        m_wake.wait_for(lock, kTick,
                        [this] { return m_is_stopped || !m_tasks.empty(); });
        tasks.swap(m_tasks);
      }
      for (const auto& task : tasks) task();
      m_on_wake();
    }
  }

  Handler m_on_message;
  std::function<void()> m_on_wake;
  std::mutex m_mutex;
  std::condition_variable m_wake;
  std::vector<std::function<void()>> m_tasks;
  std::atomic<bool> m_is_stopped{false};
  std::thread m_thread;
};

class Cluster {
 public:
  Cluster(std::uint64_t seed, bool reuse_prepare_phase);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Applies the next patch through `replica`; returns the milliseconds from
  // when the replica took it to when it answered.
  double ApplyPatch(NodeId replica);
  // Milliseconds from now until all followers have the latest version.
  double WaitForFollowers();
  void Kill(NodeId replica) {
    m_is_dead[replica.value] = true;
    m_nodes[replica]->Stop();
  }
  std::uint64_t follower_bytes() const { return m_follower_bytes; }  // NOLINT

 private:
  struct Member {
    TemporaryFolder folder;
    std::unique_ptr<Journal> journal;
    std::unique_ptr<Replica> replica;
    std::unique_ptr<ConfigPublisher> publisher;
    std::mt19937_64 random;
    TimePoint ticked_at;
  };
  struct Follower {
    Blackboard blackboard;
    std::unique_ptr<ConfigFollower> follower;
    std::mt19937_64 random;
    TimePoint ticked_at;
  };

  void AddReplica(NodeId id, std::uint64_t seed, bool reuse_prepare_phase);
  void AddFollower(NodeId id, std::uint64_t seed);
  void Poll(NodeId id, Member* member);
  void Emit(NodeId from, const ReplicaOutput& output);
  void Send(NodeId from, const Outbox& messages);
  bool Submit(NodeId id, std::uint64_t request, const Patch& patch);

  std::map<NodeId, Member> m_members;
  std::map<NodeId, Follower> m_followers;
  std::map<NodeId, std::unique_ptr<Node>> m_nodes;
  std::array<std::atomic<bool>, kReplicas + 1> m_is_dead{};
  std::atomic<std::uint64_t> m_follower_bytes{0};
  std::atomic<bool> m_is_started{false};
  std::uint64_t m_version = 0;
  std::uint64_t m_requests = 0;

  std::mutex m_mutex;
  std::condition_variable m_outcome_ready;
  struct TimedOutcome {
    Outcome outcome;
    TimePoint at;
  };
  std::map<std::uint64_t, TimedOutcome> m_outcomes;
  std::atomic<TimePoint> m_submitted_at{TimePoint{}};
};

Cluster::Cluster(std::uint64_t seed, bool reuse_prepare_phase) {
  for (std::uint32_t id = 1; id <= kReplicas; ++id) {
    AddReplica(NodeId{id}, seed + id, reuse_prepare_phase);
  }
  for (std::uint32_t i = 0; i < kFollowers; ++i) {
    AddFollower(NodeId{kFirstFollower + i}, seed + 100 + i);
  }
  m_is_started = true;
  // The first patch is accepted only after the replicas have joined.
  ApplyPatch(NodeId{1});
  for (std::uint32_t id = 2; id <= kReplicas; ++id) ApplyPatch(NodeId{id});
  WaitForFollowers();
}

Cluster::~Cluster() {
  for (auto& [id, node] : m_nodes) node->Stop();
}

void Cluster::AddReplica(NodeId id, std::uint64_t seed,
                         bool reuse_prepare_phase) {
  Member& member = m_members[id];
  member.random.seed(seed);
  member.journal =
      std::make_unique<Journal>(PosixFileOperations(member.folder.path()));
  ReplicaSettings settings;
  settings.self = id;
  settings.bootstrap = id.value == 1;
  settings.reuse_prepare_phase = reuse_prepare_phase;
  for (std::uint32_t other = 1; other <= kReplicas; ++other) {
    settings.contacts.push_back(NodeId{other});
  }
  member.replica = std::make_unique<Replica>(
      settings, member.journal.get(),
      ReplicaHooks{[&member] { return member.random(); }});
  member.publisher = std::make_unique<ConfigPublisher>(
      ConfigPublisherSettings{}, member.replica.get());
  if (!member.replica->Start(Now())) std::abort();
  m_nodes[id] = std::make_unique<Node>(
      [this, id, &member](NodeId from, const OutgoingMessage& message) {
        if (message.kind == MessageKind::kAgreement) {
          Emit(id, member.replica->OnMessage(from, message.body, Now()));
        } else {
          Send(id, member.publisher->OnMessage(from, message.body, Now()));
        }
      },
      [this, id, &member] { Poll(id, &member); });
}

void Cluster::AddFollower(NodeId id, std::uint64_t seed) {
  Follower& follower = m_followers[id];
  follower.random.seed(seed);
  ConfigFollowerSettings settings;
  settings.self = id;
  for (std::uint32_t source = 1; source <= kReplicas; ++source) {
    settings.sources.push_back(NodeId{source});
  }
  ConfigFollowerHooks hooks;
  hooks.random = [&follower] { return follower.random(); };
  hooks.peers = [id] {
    std::vector<NodeId> peers;
    for (std::uint32_t i = 0; i < kFollowers; ++i) {
      if (kFirstFollower + i == id.value) continue;
      peers.push_back(NodeId{kFirstFollower + i});
    }
    return peers;
  };
  follower.follower =
      std::make_unique<ConfigFollower>(settings, &follower.blackboard, hooks);
  m_nodes[id] = std::make_unique<Node>(
      [this, id, &follower](NodeId from, const OutgoingMessage& message) {
        Send(id, follower.follower->OnMessage(from, message.body, Now()));
      },
      [this, id, &follower] {
        if (!m_is_started || Now() < follower.ticked_at + kTick) return;
        follower.ticked_at = Now();
        Send(id, follower.follower->OnTick(Now()));
      });
}

void Cluster::Poll(NodeId id, Member* member) {
  if (!m_is_started) return;
  if (Now() >= member->ticked_at + kTick) {
    member->ticked_at = Now();
    Emit(id, member->replica->OnTick(Now()));
  }
  while (member->replica->NeedsSync()) Emit(id, member->replica->Sync(Now()));
  Send(id, member->publisher->OnTick(Now()));
}

void Cluster::Emit(NodeId from, const ReplicaOutput& output) {
  Send(from, output.messages);
  if (output.answers.empty()) return;
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const Answer& answer : output.answers) {
    m_outcomes[answer.request_id] = {answer.outcome, Now()};
  }
  m_outcome_ready.notify_all();
}

void Cluster::Send(NodeId from, const Outbox& messages) {
  for (const OutgoingMessage& message : messages) {
    const auto found = m_nodes.find(message.to);
    if (found == m_nodes.end()) continue;
    const bool is_dead =
        (from.value <= kReplicas && m_is_dead[from.value]) ||
        (message.to.value <= kReplicas && m_is_dead[message.to.value]);
    if (is_dead) continue;
    if (message.to.value >= kFirstFollower) {
      m_follower_bytes += message.body.size();
    }
    if (from.value >= kFirstFollower) m_follower_bytes += message.body.size();
    found->second->Post(from, message);
  }
}

bool Cluster::Submit(NodeId id, std::uint64_t request, const Patch& patch) {
  Member& member = m_members[id];
  m_nodes[id]->Post([this, id, request, patch, &member] {
    if (m_submitted_at.load() == TimePoint{}) m_submitted_at = Now();
    const TimePoint deadline = Now() + std::chrono::milliseconds(500);
    Emit(id, member.replica->Submit(request, "bench", patch, deadline, Now()));
  });
  std::unique_lock<std::mutex> lock(m_mutex);
  m_outcome_ready.wait_for(lock, std::chrono::seconds(2), [this, request] {
    return m_outcomes.count(request) != 0;
  });
  return m_outcomes[request].outcome.kind == OutcomeKind::kAccepted;
}

double Cluster::ApplyPatch(NodeId replica) {
  const Patch patch = MakePatch(m_version);
  const TimePoint start = Now();
  m_submitted_at = TimePoint{};
  while (!Submit(replica, ++m_requests, patch)) {
    if (MillisSince(start) > 20'000) std::abort();
  }
  ++m_version;
  const std::lock_guard<std::mutex> lock(m_mutex);
  return Millis(m_outcomes[m_requests].at - m_submitted_at.load()).count();
}

double Cluster::WaitForFollowers() {
  const TimePoint start = Now();
  for (auto& [id, follower] : m_followers) {
    while (follower.blackboard.configuration.Read()->version.value <
           m_version) {
      if (MillisSince(start) > 20'000) std::abort();
      std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
  }
  return MillisSince(start);
}

// Applies patches through the replicas that `choose` returns.
std::vector<double> MeasureLatency(
    Cluster* cluster, SyncMeter* meter,
    const std::function<std::uint32_t(std::uint32_t)>& choose,
    std::vector<double>* in_force) {
  std::vector<double> millis;
  for (std::uint32_t i = 0; i < kPatches; ++i) {
    millis.push_back(cluster->ApplyPatch(NodeId{choose(i)}));
    in_force->push_back(cluster->WaitForFollowers());
    meter->Measure();
  }
  return millis;
}

void MeasurePatches(std::uint64_t seed, FigureSink* sink) {
  SyncMeter meter;
  std::vector<double> in_force;
  const auto first = [](std::uint32_t) { return 1U; };
  const auto next = [](std::uint32_t i) { return i % kReplicas + 1; };
  std::vector<double> same;
  std::vector<double> rotating;
  {
    Cluster cluster(seed, true);
    same = MeasureLatency(&cluster, &meter, first, &in_force);
    rotating = MeasureLatency(&cluster, &meter, next, &in_force);
  }
  std::vector<double> two_phases;
  {
    Cluster cluster(seed, false);
    two_phases = MeasureLatency(&cluster, &meter, first, &in_force);
  }
  const double sync = Quantile(meter.millis(), 0.5);
  sink->Print("fsync_p50", sync, "ms");
  sink->Print("fsync_p99", Quantile(meter.millis(), 0.99), "ms");
  sink->Print("patch_p50", Quantile(same, 0.5) / sync, "fsyncs", "<=", 3);
  sink->Print("patch_p99", Quantile(same, 0.99) / sync, "fsyncs");
  sink->Print("patch_rotating_p50", Quantile(rotating, 0.5) / sync, "fsyncs",
              "<=", 3);
  sink->Print("patch_rotating_p99", Quantile(rotating, 0.99) / sync, "fsyncs");
  sink->Print("patch_two_phases_p50", Quantile(two_phases, 0.5) / sync,
              "fsyncs");
  sink->Print("in_force_p99", Quantile(in_force, 0.99), "ms", "<=", 1000);
}

void MeasureFailover(std::uint64_t seed, FigureSink* sink) {
  std::vector<double> millis;
  for (std::uint32_t i = 0; i < kFailures; ++i) {
    Cluster cluster(seed + i, true);
    const NodeId failed{i % kReplicas + 1};
    const NodeId other{(i + 1) % kReplicas + 1};
    cluster.ApplyPatch(failed);
    cluster.Kill(failed);
    millis.push_back(cluster.ApplyPatch(other));
  }
  sink->Print("accept_after_death_max", Quantile(millis, 1.0), "ms",
              "<=", 1000);
}

// Writes `changes` changes to a folder without fsync, then starts a replica on
// it.
void MeasureRestart(std::uint64_t changes, FigureSink* sink) {
  const TemporaryFolder folder;
  std::mt19937_64 random(changes);
  ReplicaSettings settings;
  settings.self = NodeId{1};
  settings.contacts = {NodeId{1}};
  settings.bootstrap = true;
  const ReplicaHooks hooks{[&random] { return random(); }};
  {
    FileOperations files = PosixFileOperations(folder.path());
    files.sync = [](const std::string&) { return VoidResult(); };
    Journal journal(files);
    Replica replica(settings, &journal, hooks);
    if (!replica.Start(Now())) std::abort();
    for (std::uint64_t i = 0; i < changes; ++i) {
      replica.Submit(i, "bench", MakePatch(i), Now() + kTick, Now());
      while (replica.NeedsSync()) replica.Sync(Now());
    }
    if (replica.configuration()->version.value != changes) std::abort();
  }
  const TimePoint start = Now();
  Journal journal(PosixFileOperations(folder.path()));
  Replica replica(settings, &journal, hooks);
  if (!replica.Start(Now())) std::abort();
  const double millis = MillisSince(start);
  // The last decided mark may not have been synced; its vote always has been.
  if (replica.configuration()->version.value + 1 < changes) std::abort();
  sink->Print("restart_after_" + std::to_string(changes), millis, "ms",
              "<=", 10'000);
}

void MeasureTraffic(std::uint64_t seed, FigureSink* sink) {
  Cluster cluster(seed, true);
  const double seconds =
      std::chrono::duration<double>(kTrafficDuration).count();
  const double per_second = 1.0 / (seconds * kFollowers);
  std::uint64_t before = cluster.follower_bytes();
  std::this_thread::sleep_for(kTrafficDuration);
  const std::uint64_t idle = cluster.follower_bytes() - before;
  sink->Print("idle_traffic", static_cast<double>(idle) * per_second,
              "B/s per balancer", "<=", 7000);
  before = cluster.follower_bytes();
  for (int i = 0; i < static_cast<int>(seconds); ++i) {
    cluster.ApplyPatch(NodeId{1});
    std::this_thread::sleep_for(std::chrono::seconds(1));
  }
  const std::uint64_t busy = cluster.follower_bytes() - before;
  sink->Print("change_traffic", static_cast<double>(busy) * per_second,
              "B/s per balancer", "<=", 7000);
}

void Run(const std::vector<std::uint64_t>& seeds, FigureSink* sink) {
  for (const std::uint64_t seed : seeds) {
    MeasurePatches(seed, sink);
    MeasureFailover(seed, sink);
  }
  MeasureTraffic(seeds.front(), sink);
  MeasureRestart(1'000, sink);
  MeasureRestart(100'000, sink);
}

const Registration kConfig("config", Run);

}  // namespace
}  // namespace sardinelead::bench
