#include "replica_cluster.h"

#include <cassert>

namespace sardinelead {

FileOperations MemoryDisk::Hooks() {
  FileOperations hooks;
  hooks.list = [this]() -> Result<std::vector<std::string>> {
    std::vector<std::string> names;
    for (const auto& [name, file] : m_files) names.push_back(name);
    return names;
  };
  hooks.read = [this](const std::string& name) -> Result<Bytes> {
    Bytes bytes = m_files[name].synced;
    const Bytes& tail = m_files[name].unsynced;
    bytes.insert(bytes.end(), tail.begin(), tail.end());
    return bytes;
  };
  hooks.append = [this](const std::string& name, ByteView bytes) -> VoidResult {
    if (is_full) {
      const ByteView half(bytes.data, bytes.size / 2);
      Bytes& tail = m_files[name].unsynced;
      tail.insert(tail.end(), half.begin(), half.end());
      return Fail(ErrorCode::kIo, "no space left");
    }
    Bytes& tail = m_files[name].unsynced;
    tail.insert(tail.end(), bytes.begin(), bytes.end());
    return {};
  };
  hooks.sync = [this](const std::string& name) -> VoidResult {
    if (fails_sync) return Fail(ErrorCode::kIo, "fsync failed");
    ++syncs;
    if (drops_syncs) return {};
    File& file = m_files[name];
    file.synced.insert(file.synced.end(), file.unsynced.begin(),
                       file.unsynced.end());
    file.unsynced.clear();
    return {};
  };
  hooks.replace = [this](const std::string& name,
                         ByteView bytes) -> VoidResult {
    if (fails_sync || is_full) return Fail(ErrorCode::kIo, "replace failed");
    m_files[name] = {Bytes(bytes.begin(), bytes.end()), {}};
    return {};
  };
  hooks.remove = [this](const std::string& name) -> VoidResult {
    m_files.erase(name);
    return {};
  };
  return hooks;
}

void MemoryDisk::Crash(const std::function<std::size_t(std::size_t)>& keep) {
  for (auto& [name, file] : m_files) {
    const std::size_t kept = keep(file.unsynced.size());
    file.synced.insert(
        file.synced.end(), file.unsynced.begin(),
        file.unsynced.begin() + static_cast<std::ptrdiff_t>(kept));
    file.unsynced.clear();
  }
}

MemoryDisk::File* MemoryDisk::Find(const std::string& prefix) {
  const auto found = m_files.lower_bound(prefix);
  assert(found != m_files.end() && found->first.rfind(prefix, 0) == 0);
  return &found->second;
}

TestCluster::TestCluster(std::uint64_t seed, std::uint32_t size)
    : random(seed) {
  delivery_delays = [](NodeId, NodeId) {
    return std::vector<Duration>{std::chrono::milliseconds(1)};
  };
  for (std::uint32_t id = 1; id <= size; ++id) {
    settings.contacts.push_back(NodeId{id});
  }
}

void TestCluster::Start(NodeId id, bool bootstrap) {
  TestNode& node = nodes[id];
  ReplicaSettings own = settings;
  own.self = id;
  own.bootstrap = bootstrap;
  node.journal = std::make_unique<Journal>(node.disk.Hooks());
  node.replica = std::make_unique<Replica>(
      own, node.journal.get(), ReplicaHooks{[this] { return random(); }});
  auto output = node.replica->Start(now);
  if (!output) {
    node.replica.reset();
    return;
  }
  Take(id, *output);
}

void TestCluster::Stop(NodeId id) {
  TestNode& node = nodes[id];
  node.replica.reset();
  node.journal.reset();
  node.disk.Crash([this](std::size_t size) { return random() % (size + 1); });
}

void TestCluster::Take(NodeId id, const ReplicaOutput& output) {
  Send(id, output.messages);
  for (const Answer& answer : output.answers) {
    answers[answer.request_id] = answer.outcome;
    if (on_answer) on_answer(id, answer);
  }
}

void TestCluster::SyncAll() {
  for (auto& [id, node] : nodes) {
    while (node.replica && node.replica->NeedsSync()) {
      if (before_sync(id)) {
        Take(id, node.replica->Sync(now));
      } else {
        Stop(id);
      }
    }
  }
}

void TestCluster::Send(NodeId from, const Outbox& messages) {
  message_count += messages.size();
  for (const OutgoingMessage& message : messages) {
    byte_count += message.body.size();
    if (is_lost(from, message)) continue;
    for (const Duration delay : delivery_delays(from, message.to)) {
      m_in_flight.emplace(now + delay, InFlight{from, message});
    }
  }
}

void TestCluster::Deliver(const InFlight& flight) {
  const NodeId to = flight.message.to;
  if (flight.message.kind != MessageKind::kAgreement) {
    return on_non_agreement_message(flight.from, flight.message);
  }
  TestNode& node = nodes[to];
  if (!node.replica) return;
  Take(to, node.replica->OnMessage(flight.from, flight.message.body, now));
  SyncAll();
}

void TestCluster::Run(Duration span) {
  constexpr Duration kTick = std::chrono::milliseconds(10);
  const TimePoint end = now + span;
  while (now < end) {
    const bool has_message = !m_in_flight.empty();
    const TimePoint tick = m_ticked_at + kTick;
    if (has_message && m_in_flight.begin()->first <= std::min(tick, end)) {
      now = std::max(now, m_in_flight.begin()->first);
      const InFlight flight = std::move(m_in_flight.begin()->second);
      m_in_flight.erase(m_in_flight.begin());
      Deliver(flight);
      continue;
    }
    now = std::min(tick, end);
    if (now < tick) return;
    m_ticked_at = now;
    for (auto& [id, node] : nodes) {
      if (node.replica) Take(id, node.replica->OnTick(now));
    }
    SyncAll();
    if (on_tick) on_tick();
  }
}

bool TestCluster::RunUntilVoting() {
  for (int step = 0; step < 200; ++step) {
    bool is_voting = true;
    for (auto& [id, node] : nodes) {
      if (!node.replica) continue;
      const ReplicaStatus status = node.replica->Status(now);
      is_voting = is_voting && status.role == ReplicaRole::kVoting;
    }
    if (is_voting) return true;
    Run(std::chrono::milliseconds(100));
  }
  return false;
}

void TestCluster::Submit(NodeId id, std::uint64_t request,
                         const std::string& op, const Patch& patch,
                         Duration deadline) {
  TestNode& node = nodes[id];
  if (!node.replica) return;
  Take(id, node.replica->Submit(request, op, patch, now + deadline, now));
  SyncAll();
}

Patch PutWorkspacePatch(const std::string& id, std::uint64_t base,
                        const std::string& name, std::uint32_t share) {
  Operation operation;
  operation.kind = OperationKind::kPutWorkspace;
  operation.workspace = Workspace{name, share, Limits{}};
  return Patch{id, ConfigVersion{base}, {operation}};
}

}  // namespace sardinelead
