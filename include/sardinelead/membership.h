#ifndef SARDINELEAD_MEMBERSHIP_H_
#define SARDINELEAD_MEMBERSHIP_H_

// Lease-based membership of the balancers of a data centre.
//
// Every member sends heartbeats to every other member. Receiving a heartbeat
// grants the sender a lease: the receiver counts the sender as alive until the
// lease expires. The sender measures the lease from the time at which it sent
// the heartbeat, so the lease expires at its holder before it expires at its
// grantor. Heartbeats also name the sender's view. A node decides new flows
// only while it holds an unexpired lease from every member of its view, granted
// in that same view; therefore no two nodes decide under different views.

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "sardinelead/blackboard.h"
#include "sardinelead/message.h"
#include "sardinelead/types.h"

namespace sardinelead {

struct MembershipSettings {
  NodeId self;
  Incarnation incarnation;
  Endpoint control;
  Endpoint relay;
  // The balancers of this data centre, with or without this one.
  std::vector<NodeId> seeds;
  Duration heartbeat_period = std::chrono::milliseconds(400);
  Duration lease = std::chrono::milliseconds(1500);
  // How long heartbeats of a removed member must be received without
  // interruption before it is readmitted; doubles with each removal, up to
  // max_hold_down.
  Duration hold_down = std::chrono::seconds(2);
  Duration max_hold_down = std::chrono::seconds(64);
};

// Number of partitions of which this node must hold all records but does not
// yet, in its view with the given serial.
struct RecordCompleteness {
  std::uint32_t serial = 0;
  std::uint32_t incomplete = 0;
};
using ReportHoldings = std::function<RecordCompleteness()>;

class Membership {
 public:
  // `report_holdings` is FlowRepair::Report of this node.
  Membership(MembershipSettings settings, Blackboard* blackboard,
             ReportHoldings report_holdings);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Malformed bodies are ignored and counted.
  Outbox OnMessage(NodeId from, ByteView body, TimePoint now);
  // Must be called every 50 ms.
  Outbox OnTick(TimePoint now);

  // Starts handing all records of this node over to other members.
  void Leave();
  // Whether every record of this node is held by kCopies other members, or by
  // all others if there are fewer. The node may then stop; its final heartbeat
  // has been sent.
  bool IsHandoverComplete() const;

  std::uint64_t malformed() const;       // NOLINT
  std::uint64_t views_proposed() const;  // NOLINT

 private:
  class State;
  std::unique_ptr<State> m_state;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_MEMBERSHIP_H_
