// Measures how the cost of configuration distribution grows with the followers
// of one control VM, and that of a replica with the number of changes: bytes
// sent by a control VM and a balancer while idle and per change, and the time
// until a change has reached all followers.

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "sardinelead/config_follower.h"
#include "sardinelead/journal.h"
#include "sardinelead/replica.h"
#include "slope.h"

namespace sardinelead::bench {
namespace {

constexpr Duration kTick = std::chrono::milliseconds(10);
// One-way delay between any two VMs of a data centre.
constexpr Duration kDelay = std::chrono::milliseconds(1);
constexpr std::size_t kHeaderBytes = 40;  // IP, UDP and link headers.
const NodeId kControl{100000};

FileOperations MemoryFiles(std::map<std::string, Bytes>* files) {
  FileOperations hooks;
  hooks.list = [files]() -> Result<std::vector<std::string>> {
    std::vector<std::string> names;
    for (const auto& [name, bytes] : *files) names.push_back(name);
    return names;
  };
  hooks.read = [files](const std::string& name) -> Result<Bytes> {
    return (*files)[name];
  };
  hooks.append = [files](const std::string& name,
                         ByteView bytes) -> VoidResult {
    Bytes& file = (*files)[name];
    file.insert(file.end(), bytes.begin(), bytes.end());
    return {};
  };
  hooks.sync = [](const std::string&) -> VoidResult { return {}; };
  hooks.replace = [files](const std::string& name,
                          ByteView bytes) -> VoidResult {
    (*files)[name] = Bytes(bytes.begin(), bytes.end());
    return {};
  };
  hooks.remove = [files](const std::string& name) -> VoidResult {
    files->erase(name);
    return {};
  };
  return hooks;
}

Patch MakePatch(ConfigVersion base) {
  Patch patch;
  patch.id = "change-" + std::to_string(base.value);
  patch.base = base;
  Operation put;
  put.kind = OperationKind::kPutWorkspace;
  put.workspace.name = "w";
  put.workspace.share = 1 + base.value % 100;
  patch.operations.push_back(put);
  return patch;
}

// One control VM as a single-replica group.
class ControlVm {
 public:
  ControlVm()
      : m_journal(MemoryFiles(&m_files)),
        m_replica(Settings(), &m_journal, {[] { return 1; }}),
        m_publisher({}, &m_replica) {
    (void)m_replica.Start(m_start);
    for (int i = 0; i < 100; ++i) Tick(m_start + kTick * i);
  }

  Outbox Tick(TimePoint now) {
    m_replica.OnTick(now);
    SyncJournal(now);
    return m_publisher.OnTick(now);
  }
  void Change(TimePoint now) {
    const Patch patch = MakePatch(m_replica.configuration()->version);
    m_replica.Submit(1, "operator", patch, now + std::chrono::seconds(1), now);
    SyncJournal(now);
  }
  Outbox OnMessage(NodeId from, ByteView body, TimePoint now) {
    return m_publisher.OnMessage(from, body, now);
  }
  ConfigVersion version() const {  // NOLINT
    return m_replica.configuration()->version;
  }
  std::size_t DiskBytes() const {
    std::size_t bytes = 0;
    for (const auto& [name, file] : m_files) bytes += file.size();
    return bytes;
  }
  TimePoint start() const { return m_start; }  // NOLINT

 private:
  static ReplicaSettings Settings() {
    ReplicaSettings settings;
    settings.self = kControl;
    settings.contacts = {kControl};
    settings.bootstrap = true;
    return settings;
  }
  void SyncJournal(TimePoint now) {
    while (m_replica.NeedsSync()) m_replica.Sync(now);
  }

  const TimePoint m_start = TimePoint{} + std::chrono::hours(1);
  std::map<std::string, Bytes> m_files;
  Journal m_journal;
  Replica m_replica;
  ConfigPublisher m_publisher;
};

struct Follower {
  Blackboard board;
  std::unique_ptr<ConfigFollower> follower;
};

// The distribution tree from one control VM to the followers of one data
// centre.
class DistributionTree {
 public:
  DistributionTree(std::uint32_t followers, std::uint32_t relays)
      : m_relays(relays), m_now(m_control.start()) {
    m_now += std::chrono::seconds(2);
    for (std::uint32_t i = 1; i <= followers; ++i) m_ids.push_back(NodeId{i});
    for (const NodeId id : m_ids) AddFollower(id);
  }
  void Run(Duration span) {
    for (const TimePoint end = m_now + span; m_now < end; m_now += kTick) {
      Step();
    }
  }
  void Change() { m_control.Change(m_now); }
  // Virtual time until all followers have applied the newest version.
  Duration TimeToAll() {
    const TimePoint start = m_now;
    while (!AllCurrent() && m_now - start < std::chrono::minutes(1)) {
      m_now += kTick;
      Step();
    }
    return m_now - start;
  }
  double TakeControlBytes() { return std::exchange(m_control_bytes, 0); }
  double TakeFollowerBytes() { return std::exchange(m_follower_bytes, 0); }

 private:
  struct InFlight {
    NodeId from;
    OutgoingMessage message;
  };

  void AddFollower(NodeId id) {
    auto node = std::make_unique<Follower>();
    ConfigFollowerSettings settings;
    settings.self = id;
    settings.sources = {kControl};
    settings.relay_count = m_relays;
    ConfigFollowerHooks hooks;
    hooks.random = [this] { return ++m_random * 0x9e3779b97f4a7c15u >> 20; };
    hooks.peers = [this, id] {
      std::vector<NodeId> peers;
      for (const NodeId peer : m_ids) {
        if (peer != id) peers.push_back(peer);
      }
      return peers;
    };
    node->follower =
        std::make_unique<ConfigFollower>(settings, &node->board, hooks);
    m_followers[id] = std::move(node);
  }

  void Send(NodeId from, const Outbox& out) {
    for (const OutgoingMessage& message : out) {
      const auto bytes =
          static_cast<double>(message.body.size() + kHeaderBytes);
      (from == kControl ? m_control_bytes : m_follower_bytes) += bytes;
      m_in_flight.emplace(m_now + kDelay, InFlight{from, message});
    }
  }

  void Receive(const InFlight& arrived) {
    const OutgoingMessage& message = arrived.message;
    if (message.to == kControl) {
      Send(kControl, m_control.OnMessage(arrived.from, message.body, m_now));
      return;
    }
    const auto to = m_followers.find(message.to);
    if (to == m_followers.end()) return;
    Send(message.to,
         to->second->follower->OnMessage(arrived.from, message.body, m_now));
  }

  void Step() {
    while (!m_in_flight.empty() && m_in_flight.begin()->first <= m_now) {
      const InFlight arrived = m_in_flight.begin()->second;
      m_in_flight.erase(m_in_flight.begin());
      Receive(arrived);
    }
    Send(kControl, m_control.Tick(m_now));
    for (auto& [id, node] : m_followers) {
      Send(id, node->follower->OnTick(m_now));
    }
  }

  bool AllCurrent() const {
    for (const auto& [id, node] : m_followers) {
      const auto held = node->board.configuration.Read()->version;
      if (held != m_control.version()) return false;
    }
    return true;
  }

  std::uint32_t m_relays;
  ControlVm m_control;
  TimePoint m_now;
  std::uint64_t m_random = 0;
  std::vector<NodeId> m_ids;
  std::map<NodeId, std::unique_ptr<Follower>> m_followers;
  std::multimap<TimePoint, InFlight> m_in_flight;
  double m_control_bytes = 0;
  double m_follower_bytes = 0;
};

constexpr Duration kSettle = std::chrono::seconds(5);
constexpr Duration kMeasureDuration = std::chrono::seconds(10);
constexpr int kChanges = 10;
constexpr std::uint32_t kRelays = 3;  // The default of ConfigFollowerSettings.
const std::vector<double> kFollowerCounts = {9, 50, 200, 455};

struct DistributionCost {
  double control_idle = 0;     // B/s of the control VM.
  double control_change = 0;   // B of the control VM per change.
  double follower_idle = 0;    // B/s of all followers.
  double follower_change = 0;  // B of all followers per change.
  double seconds_to_all = 0;   // Maximum over the changes.
};

DistributionCost Measure(double followers, std::uint32_t relays) {
  DistributionTree tree(static_cast<std::uint32_t>(followers), relays);
  const double seconds =
      std::chrono::duration<double>(kMeasureDuration).count();
  tree.Run(kSettle);
  tree.TakeControlBytes();
  tree.TakeFollowerBytes();
  tree.Run(kMeasureDuration);
  DistributionCost cost;
  cost.control_idle = tree.TakeControlBytes() / seconds;
  cost.follower_idle = tree.TakeFollowerBytes() / seconds;
  for (int i = 0; i < kChanges; ++i) {
    tree.Change();
    const Duration taken = tree.TimeToAll();
    cost.seconds_to_all = std::max(
        cost.seconds_to_all, std::chrono::duration<double>(taken).count());
    tree.Run(std::chrono::seconds(1) - taken);
  }
  const double control_bytes = tree.TakeControlBytes();
  cost.control_change = control_bytes / kChanges - cost.control_idle;
  const double follower_bytes =
      tree.TakeFollowerBytes() - cost.follower_idle * kChanges;
  cost.follower_change = follower_bytes / kChanges;
  return cost;
}

double JournalBytes(double changes) {
  ControlVm control;
  TimePoint now = control.start() + std::chrono::seconds(10);
  for (int i = 0; i < static_cast<int>(changes); ++i) {
    now += kTick;
    control.Change(now);
  }
  return static_cast<double>(control.DiskBytes());
}

double ReplicaHeapBytes(double changes) {
  const std::size_t before = HeapBytes();
  ControlVm control;
  const std::size_t disk = control.DiskBytes();
  TimePoint now = control.start() + std::chrono::seconds(10);
  for (int i = 0; i < static_cast<int>(changes); ++i) {
    now += kTick;
    control.Change(now);
  }
  const std::size_t grown = control.DiskBytes() - disk;
  return static_cast<double>(HeapBytes() - before - grown);
}

using Costs = std::map<double, DistributionCost>;

void PrintField(const std::string& name, const std::string& unit, Costs* costs,
                double DistributionCost::*field, FigureSink* sink) {
  std::vector<double> counts;
  for (const auto& [count, cost] : *costs) counts.push_back(count);
  PrintSlope(
      name, unit, counts, [&](double count) { return (*costs)[count].*field; },
      sink);
}

void Run(const std::vector<std::uint64_t>& /*seeds*/, FigureSink* sink) {
  Costs by_relay;
  for (const std::uint32_t relays : {3, 9, 20, 50}) {
    by_relay[relays] = Measure(relays, relays);
  }
  PrintField("config_control_idle_per_relay", "B/s", &by_relay,
             &DistributionCost::control_idle, sink);
  PrintField("config_control_change_per_relay", "B", &by_relay,
             &DistributionCost::control_change, sink);
  Costs costs;
  for (const double count : kFollowerCounts) {
    costs[count] = Measure(count, kRelays);
  }
  PrintField("config_idle_per_follower", "B/s", &costs,
             &DistributionCost::follower_idle, sink);
  PrintField("config_change_per_follower", "B", &costs,
             &DistributionCost::follower_change, sink);
  for (const double count : kFollowerCounts) {
    const std::string name = std::to_string(static_cast<int>(count));
    sink->Print("config_seconds_to_" + name, costs[count].seconds_to_all, "s",
                "<=", 4);
  }
  const std::vector<double> changes = {100, 1000, 4000, 8000};
  PrintSlope("config_journal_per_change", "B", changes, JournalBytes, sink);
  PrintSlope("config_replica_heap_per_change", "B", changes, ReplicaHeapBytes,
             sink);
}

const Registration kRegistration("capacity", Run);

}  // namespace
}  // namespace sardinelead::bench
