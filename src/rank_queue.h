#ifndef SARDINELEAD_SRC_RANK_QUEUE_H_
#define SARDINELEAD_SRC_RANK_QUEUE_H_

// The waiting packets of one rank, in the order in which they are to be sent.
//
// Deficit round robin on three levels: between service addresses, then between
// the caller addresses of a service, then between the flows of a caller. The
// turn of a service or caller lasts until the flow that it is sending has no
// more packets or has used up its own turn, so that no request is left half
// sent. What a turn sends in excess is deducted from the next turn. Packets of
// one flow stay in order.
//
// A service, caller or flow that begins to wait gets one short first turn
// before those that wait already, so that a request of one packet does not wait
// for whole turns. At most kMaxFirstTurns go first until one of the others ends
// its turn.

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <unordered_map>

#include "sardinelead/types.h"
#include "scheduled_packet.h"

namespace sardinelead {

struct TurnNode;

struct WaitingPacket {
  ScheduledPacket packet;
  Endpoint to;
  Bytes datagram;  // Head and body.
  std::size_t head_size = 0;
  TimePoint since;

  // Set by RankQueue.
  TurnNode* flow = nullptr;
  std::list<WaitingPacket>::iterator in_flow;
  std::list<WaitingPacket*>::iterator by_age;
};

// A service, a caller or a flow that has waiting packets.
struct TurnNode {
  FlowKey key;  // Only the fields that identify the node on its level.
  std::size_t level = 0;
  TurnNode* parent = nullptr;
  std::list<TurnNode>::iterator self;
  std::int64_t turn_left = 0;  // Bytes; negative if the turn was exceeded.
  bool is_in_first_turn = false;

  std::list<TurnNode> children;  // Empty in a flow. The front has the turn.
  // The first child that is not in its first turn, or the end.
  std::list<TurnNode>::iterator regular_begin = children.end();
  // Children that went first since one of the others ended its turn.
  int first_turns = 0;
  std::list<WaitingPacket> packets;  // Of a flow.
};

struct RankQueueSettings {
  std::size_t turn_bytes = 1;        // Of a service or caller; not 0.
  std::size_t flow_turn_bytes = 1;   // Not 0.
  std::size_t first_turn_bytes = 0;  // 0: no first turn.
};

class RankQueue {
 public:
  static constexpr int kMaxFirstTurns = 16;

  explicit RankQueue(const RankQueueSettings& settings)
      : m_settings(settings) {}
  RankQueue(const RankQueue&) = delete;
  RankQueue& operator=(const RankQueue&) = delete;

  void Push(WaitingPacket packet);
  // The next packet in order; nullptr if there is none.
  WaitingPacket* Next();
  // The packet that has waited for the longest time; nullptr if there is none.
  WaitingPacket* Oldest();
  // The first waiting packet of a flow; nullptr if there is none.
  WaitingPacket* FirstOf(const FlowKey& flow);
  // Removes a packet that was sent, and charges it to the turns of its nodes.
  void RemoveSent(WaitingPacket* packet);
  void RemoveDropped(WaitingPacket* packet);

  bool empty() const { return m_by_age.empty(); }
  std::size_t packets() const { return m_by_age.size(); }  // NOLINT
  std::size_t bytes() const { return m_bytes; }            // NOLINT

 private:
  static constexpr std::size_t kLevels = 3;
  struct HashFlowKey {
    std::size_t operator()(const FlowKey& key) const { return key.Hash(); }
  };

  TurnNode* FindOrAddChild(TurnNode* parent, std::size_t level,
                           const FlowKey& flow);
  TurnNode* Erase(WaitingPacket* packet);
  // Returns whether a new child of `parent` goes before those that wait
  // already, and counts it.
  bool TakeFirstTurn(TurnNode* parent) const;
  void RemoveNode(TurnNode* node);
  void EndTurn(TurnNode* node);
  std::int64_t TurnOf(std::size_t level) const;

  RankQueueSettings m_settings;
  TurnNode m_root;
  std::array<std::unordered_map<FlowKey, TurnNode*, HashFlowKey>, kLevels>
      m_nodes;
  std::list<WaitingPacket*> m_by_age;
  std::size_t m_bytes = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_RANK_QUEUE_H_
