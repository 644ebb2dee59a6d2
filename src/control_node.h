#ifndef SARDINELEAD_SRC_CONTROL_NODE_H_
#define SARDINELEAD_SRC_CONTROL_NODE_H_

// Runs a control VM's Replica and ConfigPublisher, with their data folder and
// network links, on a dedicated thread.
//
// Work queued on that thread while a disk sync runs is covered by the next
// sync, so that concurrent submissions share its cost (group commit).

#include <functional>
#include <memory>
#include <string>

#include "sardinelead/config_follower.h"
#include "sardinelead/control_link.h"
#include "sardinelead/error.h"
#include "sardinelead/metrics.h"
#include "sardinelead/replica.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct ControlNodeSettings {
  ReplicaSettings replica;
  ConfigPublisherSettings publisher;
  ControlLinkSettings links;
  std::string data_folder;
  // The outcome of a submission is reported as unknown after this long.
  Duration submit_deadline = std::chrono::seconds(4);
};

// Initializes the data folder as the first replica of a new cluster. Fails with
// kDuplicate if the folder already holds a replica.
Result<void> BootstrapCluster(ControlNodeSettings settings);

class ControlNode {
 public:
  using OnOutcome = std::function<void(const Outcome& outcome)>;
  using ReadReplica =
      std::function<void(const Replica& replica, TimePoint now)>;

  // Updates gauges and counters in `metrics`, which must outlive this object.
  ControlNode(const ControlNodeSettings& settings, Metrics* metrics);
  ~ControlNode();
  ControlNode(const ControlNode&) = delete;
  ControlNode& operator=(const ControlNode&) = delete;

  // Loads the data folder and opens the links. Returns the address that they
  // listen on.
  Result<Endpoint> Start();
  // Completes pending submissions with an unknown outcome.
  void Stop();

  // Thread-safe. Each callback is invoked once, on the node's thread.
  void Submit(const std::string& operator_name, const Patch& patch,
              OnOutcome on_outcome);
  void Submit(const std::string& operator_name, const ReplicaChange& change,
              OnOutcome on_outcome);
  // Starts or finishes the evacuation of a data centre. The order is not
  // submitted if `is_abandoned` returns true after the state was read, or if
  // the age of the call is unknown; see StallGuard.
  void OrderEvacuation(const std::string& data_centre, bool is_active,
                       std::function<bool()> is_abandoned,
                       OnOutcome on_outcome);
  void Read(ReadReplica read);

  LinkCounters Links() const;
  std::vector<NodeId> LinkedPeers() const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CONTROL_NODE_H_
