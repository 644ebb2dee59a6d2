#ifndef SARDINELEAD_VIEW_H_
#define SARDINELEAD_VIEW_H_

// Assignment of flows to the balancers of a data centre.
//
// Flows are partitioned by hash. Every balancer ranks the members for each
// partition by rendezvous hashing. The kCopies highest-ranked members hold the
// partition's flow records, and the first of them, the primary, decides new
// flows. A joining member becomes a holder once it has the records; a leaving
// member remains a holder until its successors have them.

#include <array>
#include <cstdint>
#include <memory>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

constexpr std::uint32_t kPartitionCount = 1024;
// Replicas of each flow record; two simultaneous failures lose no record.
constexpr std::size_t kCopies = 3;

using PartitionId = std::uint32_t;
inline PartitionId PartitionOf(std::uint64_t flow_hash) {
  return static_cast<PartitionId>(flow_hash >> 54);
}

enum class MemberState : std::uint8_t {
  kJoining,  // Does not yet hold all records of its partitions.
  kReady,
  kLeaving,  // Hands its partitions over; still forwards.
  kDead,
};
const char* Name(MemberState state);

struct Member {
  NodeId id;
  Incarnation incarnation;
  // How often this incarnation was removed from the view and rejoined without
  // records.
  std::uint32_t epoch = 0;
  MemberState state = MemberState::kJoining;
  Endpoint control;  // Address of its controllers.
  Endpoint relay;    // Address for packets relayed to it.
};

// The holders of one partition, the primary first; padded with NodeId{0} if
// there are too few members.
using Holders = std::array<NodeId, kCopies>;

// The replication chain along which the first packet of a new flow is sent: the
// holders, followed by their successors, which store records but do not serve
// them yet.
struct Chain {
  static constexpr std::size_t kMaxSuccessors = 3;

  std::array<NodeId, kCopies + kMaxSuccessors> nodes{};
  std::uint8_t holders = 0;  // The first `holders` of `nodes`.
  std::uint8_t size = 0;

  // Returns the index of `node`, or -1.
  int RankOf(NodeId node) const;
};

// Until when this node may act under the leases that it holds; see
// membership.h.
struct Permissions {
  // May decide new flows as a primary: every member is in this view.
  TimePoint decide_until = TimePoint::min();
  // May forward using its own records: no view that excludes this node is in
  // force.
  TimePoint serve_until = TimePoint::min();
};

// An immutable set of members and the holders derived from it. The same members
// yield the same holders on every node, regardless of their order.
class View {
 public:
  View() = default;
  // A static view for tests and single nodes; all records of this node count as
  // complete.
  View(NodeId self, std::vector<Member> members, bool may_decide);
  // The successor of `previous` on this node.
  View(const View& previous, NodeId self, std::vector<Member> members);

  NodeId self() const { return m_self; }                            // NOLINT
  const std::vector<Member>& members() const { return m_members; }  // NOLINT
  const Member* Find(NodeId id) const;
  const Chain& ChainOf(PartitionId partition) const {
    return (*m_chains)[partition];
  }
  Holders HoldersOf(PartitionId partition) const;
  bool MayDecide(TimePoint now) const {
    return now < m_permissions.decide_until;
  }
  bool MayServe(TimePoint now) const { return now < m_permissions.serve_until; }
  void SetPermissions(Permissions permissions) { m_permissions = permissions; }
  // A hash of the members that identifies the view: equal on two nodes exactly
  // if their views have the same members.
  std::uint32_t tag() const { return m_tag; }  // NOLINT
  // Sequence number of this view on this node, starting at 0.
  std::uint32_t serial() const { return m_serial; }  // NOLINT
  // The serial of the view in which this node last entered or left the chain
  // of `partition`. Records stored under an older tenure are invalid.
  std::uint32_t TenureOf(PartitionId partition) const {
    return (*m_tenures)[partition];
  }

 private:
  NodeId m_self;
  std::vector<Member> m_members;
  std::shared_ptr<const std::vector<Chain>> m_chains =
      std::make_shared<std::vector<Chain>>(kPartitionCount);
  std::shared_ptr<const std::vector<std::uint32_t>> m_tenures =
      std::make_shared<std::vector<std::uint32_t>>(kPartitionCount);
  Permissions m_permissions;
  std::uint32_t m_tag = 0;
  std::uint32_t m_serial = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_VIEW_H_
