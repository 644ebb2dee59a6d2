#include "rank_queue.h"

#include <iterator>
#include <utility>

namespace sardinelead {

namespace {

constexpr std::size_t kServiceLevel = 0;
constexpr std::size_t kCallerLevel = 1;

FlowKey KeyOnLevel(const FlowKey& flow, std::size_t level) {
  FlowKey key = flow;
  if (level <= kCallerLevel) {
    key.caller.port = 0;
    key.service.port = 0;
    key.protocol = Protocol::kTcp;
  }
  if (level == kServiceLevel) key.caller = Endpoint();
  return key;
}

}  // namespace

void RankQueue::Push(WaitingPacket packet) {
  TurnNode* node = &m_root;
  for (std::size_t level = 0; level < kLevels; ++level) {
    node = FindOrAddChild(node, level, packet.packet.flow);
  }
  m_bytes += packet.datagram.size();
  node->packets.push_back(std::move(packet));
  WaitingPacket* added = &node->packets.back();
  added->flow = node;
  added->in_flow = std::prev(node->packets.end());
  added->by_age = m_by_age.insert(m_by_age.end(), added);
}

TurnNode* RankQueue::FindOrAddChild(TurnNode* parent, std::size_t level,
                                    const FlowKey& flow) {
  const FlowKey key = KeyOnLevel(flow, level);
  TurnNode*& node = m_nodes[level][key];
  if (node != nullptr) return node;
  const bool has_first_turn = TakeFirstTurn(parent);
  auto& siblings = parent->children;
  const auto self =
      siblings.emplace(has_first_turn ? parent->regular_begin : siblings.end());
  if (!has_first_turn && parent->regular_begin == siblings.end()) {
    parent->regular_begin = self;
  }
  node = &*self;
  node->key = key;
  node->level = level;
  node->parent = parent;
  node->self = self;
  node->turn_left = has_first_turn
                        ? static_cast<std::int64_t>(m_settings.first_turn_bytes)
                        : TurnOf(level);
  node->is_in_first_turn = has_first_turn;
  return node;
}

bool RankQueue::TakeFirstTurn(TurnNode* parent) const {
  if (m_settings.first_turn_bytes == 0) return false;
  if (parent->regular_begin == parent->children.end()) return true;
  if (parent->first_turns >= kMaxFirstTurns) return false;
  ++parent->first_turns;
  return true;
}

WaitingPacket* RankQueue::Next() {
  TurnNode* node = &m_root;
  while (!node->children.empty()) node = &node->children.front();
  return node->packets.empty() ? nullptr : &node->packets.front();
}

WaitingPacket* RankQueue::Oldest() {
  return m_by_age.empty() ? nullptr : m_by_age.front();
}

WaitingPacket* RankQueue::FirstOf(const FlowKey& flow) {
  const auto found = m_nodes[kLevels - 1].find(flow);
  return found == m_nodes[kLevels - 1].end() ? nullptr
                                             : &found->second->packets.front();
}

void RankQueue::RemoveSent(WaitingPacket* packet) {
  const auto sent = static_cast<std::int64_t>(packet->datagram.size());
  TurnNode* node = Erase(packet);
  bool may_end_turn = true;
  while (node != &m_root) {
    TurnNode* parent = node->parent;
    node->turn_left -= sent;
    const bool is_spent = node->turn_left <= 0;
    const bool is_flow = node->level == kLevels - 1;
    if (node->packets.empty() && node->children.empty()) {
      RemoveNode(node);
    } else if (is_spent && may_end_turn) {
      EndTurn(node);
    } else if (is_flow) {
      may_end_turn = false;
    }
    node = parent;
  }
}

void RankQueue::RemoveDropped(WaitingPacket* packet) {
  TurnNode* node = Erase(packet);
  while (node != &m_root && node->packets.empty() && node->children.empty()) {
    TurnNode* parent = node->parent;
    RemoveNode(node);
    node = parent;
  }
}

TurnNode* RankQueue::Erase(WaitingPacket* packet) {
  TurnNode* flow = packet->flow;
  m_bytes -= packet->datagram.size();
  m_by_age.erase(packet->by_age);
  flow->packets.erase(packet->in_flow);
  return flow;
}

void RankQueue::RemoveNode(TurnNode* node) {
  TurnNode* parent = node->parent;
  if (!node->is_in_first_turn) parent->first_turns = 0;
  if (parent->regular_begin == node->self) ++parent->regular_begin;
  m_nodes[node->level].erase(node->key);
  parent->children.erase(node->self);
}

void RankQueue::EndTurn(TurnNode* node) {
  TurnNode* parent = node->parent;
  auto& siblings = parent->children;
  if (!node->is_in_first_turn) parent->first_turns = 0;
  node->is_in_first_turn = false;
  if (parent->regular_begin == node->self) ++parent->regular_begin;
  siblings.splice(siblings.end(), siblings, node->self);
  if (parent->regular_begin == siblings.end()) {
    parent->regular_begin = node->self;
  }
  while (node->turn_left <= 0) node->turn_left += TurnOf(node->level);
}

std::int64_t RankQueue::TurnOf(std::size_t level) const {
  return static_cast<std::int64_t>(level == kLevels - 1
                                       ? m_settings.flow_turn_bytes
                                       : m_settings.turn_bytes);
}

}  // namespace sardinelead
