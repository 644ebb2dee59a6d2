#include "link_graph.h"

#include <algorithm>

namespace sardinelead {
namespace {

std::size_t CountBroken(NodeId node, const std::vector<NodeId>& others,
                        const IsBroken& is_broken) {
  return static_cast<std::size_t>(std::count_if(
      others.begin(), others.end(),
      [&](NodeId other) { return other != node && is_broken(node, other); }));
}

}  // namespace

std::vector<NodeId> RemoveBrokenNodes(std::vector<NodeId> nodes,
                                      const IsBroken& is_broken) {
  while (true) {
    std::size_t worst_count = 0;
    auto worst = nodes.end();
    for (auto node = nodes.begin(); node != nodes.end(); ++node) {
      const std::size_t count = CountBroken(*node, nodes, is_broken);
      const bool is_worse =
          count > worst_count ||
          (count == worst_count && worst != nodes.end() && *worst < *node);
      if (count == 0 || !is_worse) continue;
      worst_count = count;
      worst = node;
    }
    if (worst == nodes.end()) return nodes;
    nodes.erase(worst);
  }
}

std::vector<NodeId> AddFullyLinkedNodes(std::vector<NodeId> nodes,
                                        const std::vector<NodeId>& joiners,
                                        const IsBroken& is_broken) {
  for (const NodeId joiner : joiners) {
    if (CountBroken(joiner, nodes, is_broken) > 0) continue;
    nodes.push_back(joiner);
  }
  return nodes;
}

bool IsMajority(const std::vector<NodeId>& nodes,
                const std::vector<NodeId>& electorate) {
  if (electorate.empty()) return true;
  std::size_t count = 0;
  for (const NodeId elector : electorate) {
    if (std::find(nodes.begin(), nodes.end(), elector) != nodes.end()) ++count;
  }
  if (count * 2 != electorate.size()) return count * 2 > electorate.size();
  const NodeId first = *std::min_element(electorate.begin(), electorate.end());
  return std::find(nodes.begin(), nodes.end(), first) != nodes.end();
}

}  // namespace sardinelead
