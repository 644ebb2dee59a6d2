#ifndef SARDINELEAD_CONFIG_FOLLOWER_H_
#define SARDINELEAD_CONFIG_FOLLOWER_H_

// Distributes configuration versions from the control VMs to all balancers.
//
// A ConfigPublisher runs on each control VM and a ConfigFollower on each
// balancer; both serve the nodes that poll them. Followers form a tree: a few
// relays per data centre poll the control VMs, every other follower polls its
// parent, and a node pushes new versions to its recent pollers immediately.
// Each follower also gossips its version to one random peer per interval, so
// that updates bypass an unresponsive link and a partitioned data centre
// converges on the newest version that any of its nodes has.
//
// The published version never decreases. After startup, a follower publishes
// nothing until a majority of the control VMs has answered or, failing that,
// `start_wait` has elapsed; it then publishes the newest version received.
//
// Both classes are sans-I/O and not thread-safe. `from` is the sender as
// authenticated by the transport.

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "sardinelead/blackboard.h"
#include "sardinelead/config.h"
#include "sardinelead/message.h"
#include "sardinelead/replica.h"
#include "sardinelead/types.h"

namespace sardinelead {

// Rate limit for sending full configurations to nodes that are far behind.
// Patches are not counted. When the budget is exhausted, the requester receives
// the delay after which to retry.
struct TransferBudget {
  std::uint64_t bytes_per_second = 1 << 20;
  std::uint64_t burst_bytes = 4 << 20;
};

struct ConfigFollowerSettings {
  NodeId self;
  std::vector<NodeId> sources;  // The control VMs.
  // Followers per data centre that poll the control VMs directly.
  std::uint32_t relay_count = 3;
  // Followers that poll the same follower.
  std::uint32_t fan_out = 8;
  Duration poll_interval = std::chrono::seconds(1);
  // An upstream that sends nothing for this long is replaced by another.
  Duration silence_timeout = std::chrono::milliseconds(2500);
  // Bounds of the jittered exponential backoff between attempts while no
  // upstream responds.
  Duration retry_base = std::chrono::milliseconds(250);
  Duration retry_cap = std::chrono::seconds(8);
  Duration start_wait = std::chrono::seconds(1);
  TransferBudget budget;
};

struct ConfigFollowerHooks {
  std::function<std::uint64_t()> random;
  // The other live balancers of the data centre and any additional nodes to
  // exchange versions with, in any order.
  std::function<std::vector<NodeId>()> peers;
};

class ConfigFollower {
 public:
  // Publishes to blackboard->configuration. `blackboard` must outlive this
  // object.
  ConfigFollower(ConfigFollowerSettings settings, Blackboard* blackboard,
                 ConfigFollowerHooks hooks);
  ~ConfigFollower();
  ConfigFollower(const ConfigFollower&) = delete;
  ConfigFollower& operator=(const ConfigFollower&) = delete;

  // Handles the body of a kConfigOffer message.
  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  // Must be called every 10 ms to 100 ms.
  Outbox OnTick(TimePoint now);

  // The newest version held, which may not be published yet after startup.
  ConfigVersion version() const;
  // Time since the last message from an upstream that was not itself stale.
  Duration Staleness(TimePoint now) const;

 private:
  class Core;
  std::unique_ptr<Core> m_core;
};

struct ConfigPublisherSettings {
  TransferBudget budget;
  // A replica without quorum contact for this long reports itself as stale.
  Duration stale_after = std::chrono::seconds(1);
};

class ConfigPublisher {
 public:
  // `replica` must outlive this object and be used from the same thread.
  ConfigPublisher(ConfigPublisherSettings settings, const Replica* replica);
  ~ConfigPublisher();
  ConfigPublisher(const ConfigPublisher&) = delete;
  ConfigPublisher& operator=(const ConfigPublisher&) = delete;

  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  // Sends new versions to recent pollers. Must be called after every call to
  // the replica, or every 10 ms. Costs one comparison if there is no new
  // version.
  Outbox OnTick(TimePoint now);

 private:
  class Core;
  std::unique_ptr<Core> m_core;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_CONFIG_FOLLOWER_H_
