#include "sardinelead/flow_director.h"

#include <utility>

#include "flow_core.h"

namespace sardinelead {

FlowDirector::FlowDirector(FlowDirectorSettings settings,
                           PickTarget pick_target, ObserveFlow observe_flow,
                           PickAnotherTarget pick_another)
    : m_core(std::make_unique<Core>(settings, std::move(pick_target),
                                    std::move(observe_flow),
                                    std::move(pick_another))) {}

FlowDirector::~FlowDirector() = default;

void FlowDirector::Prefetch(std::uint64_t flow_hash) const {
  m_core->Prefetch(flow_hash);
}

FlowOutcome FlowDirector::OnPacket(BlackboardReader* board,
                                   const PacketInfo& packet,
                                   const RelayHeader* relay, TimePoint now) {
  FlowContext ctx(board->view.Get(), board->configuration.Get(),
                  board->targets.Get(), packet, relay, Direction::kToService,
                  now);
  return m_core->Run(&ctx);
}

FlowOutcome FlowDirector::OnAnswer(BlackboardReader* board,
                                   const PacketInfo& packet,
                                   const Endpoint& from_tunnel,
                                   const RelayHeader* relay, TimePoint now) {
  FlowContext ctx(board->view.Get(), board->configuration.Get(),
                  board->targets.Get(), packet, relay, Direction::kToCaller,
                  now);
  if (relay != nullptr && relay->step != RelayStep::kQuery) {
    return Drop(DropReason::kStaleRelay);
  }
  if (relay == nullptr) ctx.tunnel_tag = TunnelTag(from_tunnel);
  return m_core->Run(&ctx);
}

std::vector<FlowReset> FlowDirector::OnTick(BlackboardReader* board,
                                            TimePoint now) {
  return m_core->Sweep(board, now);
}

FlowCounts FlowDirector::Counts() const { return m_core->Counts(); }

FlowShards* FlowDirector::shards() { return m_core->shards(); }

}  // namespace sardinelead
