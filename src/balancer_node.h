#ifndef SARDINELEAD_SRC_BALANCER_NODE_H_
#define SARDINELEAD_SRC_BALANCER_NODE_H_

// A running balancer: the library's Balancer with its sockets, threads and
// timers. Packet threads run independently; everything else runs on the single
// thread that runs the given io_context.

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>
#include <asio/steady_timer.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "balancer_settings.h"
#include "packet_loop.h"
#include "peer_link.h"
#include "sardinelead/access.h"
#include "sardinelead/balancer.h"
#include "sardinelead/control_link.h"
#include "sardinelead/http_server.h"
#include "target_prober.h"

namespace sardinelead {

class BalancerNode {
 public:
  // `blackboard` must outlive the node. `shared_key` protects all traffic
  // between the system's processes.
  BalancerNode(asio::io_context* context, Blackboard* blackboard,
               const BalancerSettings& settings, const Bytes& shared_key,
               Access access, Incarnation incarnation);
  ~BalancerNode();
  BalancerNode(const BalancerNode&) = delete;
  BalancerNode& operator=(const BalancerNode&) = delete;

  // Opens all sockets. Error: kIo with the address.
  Result<void> Start();
  // Hands all state over to other balancers and stops the context once the
  // fabric no longer routes packets to this node, or at the deadline.
  // Idempotent.
  void BeginShutdown();
  // Whether the shutdown completed without loss. Valid once the context has
  // stopped.
  bool is_clean() const { return m_is_clean; }  // NOLINT

 private:
  struct ShutdownProgress {
    TimePoint deadline;
    std::uint64_t packets = 0;  // Received on all packet ports so far.
    TimePoint idle_since;
  };

  ControlLinkSettings LinkSettings(const Bytes& shared_key) const;
  static PeerLinkSettings PeerSettings(const BalancerSettings& settings,
                                       const Bytes& shared_key,
                                       Incarnation incarnation);
  Result<void> OpenControlSocket();
  void ReceiveControl();
  void OnControlDatagram(ByteView datagram);
  void OnMessage(NodeId from, MessageKind kind, ByteView body);
  void Send(Outbox outbox);
  void SendDatagram(const Datagram& datagram);
  void ScheduleTick();
  void Tick();
  void CheckShutdown(TimePoint now);
  void Finish(bool is_clean);

  void AddRoutes();
  // Role-specific fields of /v1/status.
  nlohmann::json Status() const;
  void PublishTransportMetrics();

  asio::io_context* m_context;
  const BalancerSettings m_settings;
  const Access m_access;
  std::mt19937_64 m_random;
  Balancer m_balancer;
  std::vector<std::unique_ptr<PacketWorker>> m_workers;
  PacketLoop m_packet_loop;
  PeerLink m_peer_link;
  ControlLinks m_control_links;
  HttpServer m_http;
  TargetProber m_prober;
  asio::ip::udp::socket m_control_socket;
  asio::ip::udp::endpoint m_control_sender;
  std::array<std::uint8_t, kMaxDatagramBytes> m_control_buffer{};
  asio::steady_timer m_timer;
  TimePoint m_next_publish;
  bool m_is_shutting_down = false;
  bool m_is_clean = false;
  ShutdownProgress m_shutdown;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_BALANCER_NODE_H_
