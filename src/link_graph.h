#ifndef SARDINELEAD_SRC_LINK_GRAPH_H_
#define SARDINELEAD_SRC_LINK_GRAPH_H_

// Selection of a fully connected set of members. Every node applies the same
// deterministic rule to the same reports, so that all nodes remove the same
// member for a broken link.

#include <functional>
#include <vector>

#include "sardinelead/types.h"

namespace sardinelead {

// Whether the link between two nodes fails in at least one direction.
using IsBroken = std::function<bool(NodeId a, NodeId b)>;

// Repeatedly removes the node with the most broken links, breaking ties by the
// greatest id, until no broken link remains.
std::vector<NodeId> RemoveBrokenNodes(std::vector<NodeId> nodes,
                                      const IsBroken& is_broken);

// Appends, in order, each of `joiners` without a broken link to the nodes
// already selected.
std::vector<NodeId> AddFullyLinkedNodes(std::vector<NodeId> nodes,
                                        const std::vector<NodeId>& joiners,
                                        const IsBroken& is_broken);

// Whether `nodes` contains more than half of `electorate`, or exactly half of
// it including its smallest id.
bool IsMajority(const std::vector<NodeId>& nodes,
                const std::vector<NodeId>& electorate);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_LINK_GRAPH_H_
