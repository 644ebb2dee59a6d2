#ifndef SARDINELEAD_TESTS_REPLICA_CLUSTER_H_
#define SARDINELEAD_TESTS_REPLICA_CLUSTER_H_

// A simulated cluster: replicas with in-memory disks and a message queue, run
// in virtual time.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "sardinelead/journal.h"
#include "sardinelead/replica.h"

namespace sardinelead {

// An in-memory disk that loses unsynced bytes in a crash.
class MemoryDisk {
 public:
  FileOperations Hooks();
  // Discards unsynced data; `keep` returns how many bytes of an unsynced tail
  // of the given size survive.
  void Crash(const std::function<std::size_t(std::size_t)>& keep);
  void Erase() { m_files.clear(); }

  struct File {
    Bytes synced;
    Bytes unsynced;
  };
  std::map<std::string, File>& files() { return m_files; }  // NOLINT
  // Returns the first file whose name starts with `prefix`; one must exist.
  File* Find(const std::string& prefix);

  bool fails_sync = false;
  bool drops_syncs =
      false;  // Sync reports success without persisting anything.
  bool is_full = false;
  int syncs = 0;

 private:
  std::map<std::string, File> m_files;
};

struct TestNode {
  MemoryDisk disk;
  std::unique_ptr<Journal> journal;
  std::unique_ptr<Replica> replica;  // Null while the node is down.
};

class TestCluster {
 public:
  TestCluster(std::uint64_t seed, std::uint32_t size);

  void Start(NodeId id, bool bootstrap = false);
  // Crashes the node. Synced data survives; unsynced data may be lost.
  void Stop(NodeId id);
  void Send(NodeId from, const Outbox& messages);
  // Advances virtual time by `span`, with a tick every 10 ms.
  void Run(Duration span);
  void Submit(NodeId id, std::uint64_t request, const std::string& op,
              const Patch& patch, Duration deadline);
  void Take(NodeId id, const ReplicaOutput& output);
  // Runs until every running replica votes; returns false after 20 s of virtual
  // time.
  bool RunUntilVoting();
  bool IsUp(NodeId id) { return nodes[id].replica != nullptr; }
  std::uint64_t Random() { return random(); }

  // Called before a replica syncs; returning false crashes it instead.
  std::function<bool(NodeId)> before_sync = [](NodeId) { return true; };
  // Returns the delay of each copy of a message to deliver; none drops it.
  std::function<std::vector<Duration>(NodeId from, NodeId to)> delivery_delays;
  // Whether the network loses a message.
  std::function<bool(NodeId from, const OutgoingMessage& message)> is_lost =
      [](NodeId, const OutgoingMessage&) { return false; };
  std::function<void(NodeId, const Answer&)> on_answer;
  std::function<void()> on_tick;
  // Receives all messages other than MessageKind::kAgreement.
  std::function<void(NodeId from, const OutgoingMessage&)>
      on_non_agreement_message;

  std::mt19937_64 random;
  ReplicaSettings settings;
  std::map<NodeId, TestNode> nodes;
  std::map<std::uint64_t, Outcome> answers;
  std::uint64_t message_count = 0;
  std::uint64_t byte_count = 0;
  TimePoint now{std::chrono::seconds(1)};

 private:
  struct InFlight {
    NodeId from;
    OutgoingMessage message;
  };
  void Deliver(const InFlight& flight);
  void SyncAll();

  std::multimap<TimePoint, InFlight> m_in_flight;
  TimePoint m_ticked_at{std::chrono::seconds(1)};
};

// Returns a patch that sets the share of workspace `name`.
Patch PutWorkspacePatch(const std::string& id, std::uint64_t base,
                        const std::string& name, std::uint32_t share);

}  // namespace sardinelead

#endif  // SARDINELEAD_TESTS_REPLICA_CLUSTER_H_
