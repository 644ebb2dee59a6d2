#include "balancer_node.h"

#include <asio/buffer.hpp>
#include <asio/post.hpp>
#include <utility>

#include "asio_endpoint.h"
#include "clock.h"
#include "derive_key.h"
#include "forward_batch.h"
#include "operator_api.h"
#include "sardinelead/log.h"

namespace sardinelead {
namespace {

constexpr Duration kTickPeriod = std::chrono::milliseconds(50);
constexpr Duration kProbeTimeout = std::chrono::milliseconds(800);
constexpr Duration kPublishPeriod = std::chrono::seconds(1);
constexpr Duration kHttpDrainTimeout = std::chrono::seconds(2);

BalancerOptions MakeOptions(const BalancerSettings& settings,
                            const Bytes& shared_key, Incarnation incarnation) {
  BalancerOptions options = settings.options;
  options.incarnation = incarnation;
  options.relay_key = DeriveKey<RelayKey>(shared_key, "relay");
  return options;
}

HttpServerSettings HttpSettings(const BalancerSettings& settings) {
  HttpServerSettings http;
  http.listen = settings.http;
  http.threads = settings.http_threads;
  return http;
}

PacketLoopSettings LoopSettings(const BalancerSettings& settings) {
  PacketLoopSettings loop;
  loop.listen = {settings.fabric, settings.relay, settings.answers};
  loop.threads = settings.packet_threads;
  return loop;
}

std::uint64_t TotalPacketsReceived(const PacketCounts& counts) {
  std::uint64_t sum = 0;
  for (const std::uint64_t received : counts.received) sum += received;
  return sum;
}

}  // namespace

PeerLinkSettings BalancerNode::PeerSettings(const BalancerSettings& settings,
                                            const Bytes& shared_key,
                                            Incarnation incarnation) {
  PeerLinkSettings link;
  link.self = settings.options.self;
  link.incarnation = incarnation;
  link.key = DeriveKey<LinkKey>(shared_key, "peer-link");
  for (const NodeAddress& peer : settings.peers) {
    link.addresses[peer.id] = peer.address;
  }
  return link;
}

ControlLinkSettings BalancerNode::LinkSettings(const Bytes& shared_key) const {
  ControlLinkSettings links;
  links.self = m_settings.options.self;
  links.shared_key = shared_key;
  for (const NodeAddress& vm : m_settings.control_vms) {
    links.dial.push_back({vm.id, vm.address});
  }
  return links;
}

BalancerNode::BalancerNode(asio::io_context* context, Blackboard* blackboard,
                           const BalancerSettings& settings,
                           const Bytes& shared_key, Access access,
                           Incarnation incarnation)
    : m_context(context),
      m_settings(settings),
      m_access(std::move(access)),
      m_random(std::random_device()()),
      m_balancer(
          MakeOptions(settings, shared_key, incarnation), blackboard,
          {[this] { return m_random(); },
           [this](const std::string& workspace, const std::string& token) {
             return m_access.AuthorizeTarget(token, workspace).has_value();
           }}),
      m_packet_loop(LoopSettings(settings),
                    [this](std::size_t thread, Ingress ingress,
                           const ReceiveBatch& packets, std::size_t count,
                           TimePoint now, PacketSender* out) {
                      ForwardBatch(m_workers[thread].get(), ingress, packets,
                                   count, now, out);
                    }),
      m_peer_link(PeerSettings(settings, shared_key, incarnation)),
      m_control_links(
          LinkSettings(shared_key),
          {[this](NodeId from, MessageKind kind, ByteView body) {
             asio::post(*m_context, [this, from, kind,
                                     copy = Bytes(body.begin(), body.end())] {
               OnMessage(from, kind, copy);
             });
           },
           [](NodeId peer, bool up) {
             Log(LogLevel::kInfo, "links", up ? "link-up" : "link-down")
                 .With("peer", peer.value);
           }}),
      m_http(HttpSettings(settings)),
      m_prober(context, kProbeTimeout,
               [this](TargetId target, bool reached) {
                 m_balancer.health()->OnProbeResult(target, reached,
                                                    SteadyNow());
               }),
      m_control_socket(*context),
      m_timer(*context) {
  for (std::size_t i = 0; i < settings.packet_threads; ++i) {
    m_workers.push_back(m_balancer.MakeWorker());
  }
  AddRoutes();
}

BalancerNode::~BalancerNode() {
  m_packet_loop.Stop();
  m_control_links.Stop();
}

Result<void> BalancerNode::Start() {
  auto opened = OpenControlSocket();
  if (!opened) return opened;
  auto looping = m_packet_loop.Start();
  if (!looping) return looping;
  const auto linked = m_control_links.Start();
  if (!linked) return tl::unexpected(linked.error());
  const auto serving = m_http.Start();
  if (!serving) return tl::unexpected(serving.error());
  ReceiveControl();
  ScheduleTick();
  return {};
}

Result<void> BalancerNode::OpenControlSocket() {
  asio::error_code error;
  const asio::ip::udp::endpoint address = ToAsioUdp(m_settings.control);
  if (!m_control_socket.open(address.protocol(), error) &&
      !m_control_socket.bind(address, error)) {
    return {};
  }
  return Fail(ErrorCode::kIo, "address " + m_settings.control.ToString() +
                                  " cannot be bound: " + error.message());
}

void BalancerNode::AddRoutes() {
  BalancerApi api;
  api.self = m_settings.options.self;
  api.data_centre = m_settings.data_centre;
  api.targets = m_balancer.targets();
  api.health = m_balancer.health();
  api.blackboard = &m_balancer.blackboard();
  api.metrics = m_balancer.metrics();
  api.access = &m_access;
  api.now = SteadyNow;
  api.run = [this](std::function<void()> task) {
    asio::post(*m_context, std::move(task));
  };
  api.status = [this] { return Status(); };
  BindBalancerApi(api, &m_http);
}

void BalancerNode::ReceiveControl() {
  m_control_socket.async_receive_from(
      asio::buffer(m_control_buffer), m_control_sender,
      [this](const asio::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        if (!error) OnControlDatagram(ByteView(m_control_buffer.data(), size));
        ReceiveControl();
      });
}

void BalancerNode::OnControlDatagram(ByteView datagram) {
  const Endpoint source = FromAsio(m_control_sender);
  DatagramResult input = m_peer_link.OnDatagram(datagram, source, SteadyNow());
  if (input.refusal) {
    Log(LogLevel::kDebug, "peers", "datagram-refused")
        .With("from", source.ToString())
        .With("reason", Name(*input.refusal));
  }
  if (input.reply) SendDatagram(*input.reply);
  if (!input.message) return;
  OnMessage(input.message->from, input.message->kind, input.message->body);
}

void BalancerNode::OnMessage(NodeId from, MessageKind kind, ByteView body) {
  Send(m_balancer.OnMessage(from, kind, body, SteadyNow()));
}

// Sends to control VMs over their links and to balancers as datagrams.
void BalancerNode::Send(Outbox outbox) {
  const TimePoint now = SteadyNow();
  for (OutgoingMessage& message : outbox) {
    bool is_control_vm = false;
    for (const NodeAddress& vm : m_settings.control_vms) {
      if (vm.id == message.to) is_control_vm = true;
    }
    if (is_control_vm) {
      m_control_links.Send(message.to, message.kind, std::move(message.body));
      continue;
    }
    for (const Datagram& datagram : m_peer_link.Send(message, now)) {
      SendDatagram(datagram);
    }
  }
}

void BalancerNode::SendDatagram(const Datagram& datagram) {
  // A datagram that the kernel rejects is treated as lost in the network.
  asio::error_code ignored;
  m_control_socket.send_to(asio::buffer(datagram.bytes), ToAsioUdp(datagram.to),
                           0, ignored);
}

void BalancerNode::ScheduleTick() {
  m_timer.expires_after(
      std::chrono::duration_cast<asio::steady_timer::duration>(kTickPeriod));
  m_timer.async_wait([this](const asio::error_code& error) {
    if (error) return;
    Tick();
    if (!m_context->stopped()) ScheduleTick();
  });
}

void BalancerNode::Tick() {
  const TimePoint now = SteadyNow();
  BalancerTick tick = m_balancer.OnTick(now);
  Send(std::move(tick.messages));
  for (Bytes& packet : tick.to_callers) {
    SendDatagram(Datagram{m_settings.options.egress, std::move(packet)});
  }
  for (const Probe& probe : m_balancer.health()->ProbesDue(now)) {
    m_prober.Start(probe);
  }
  if (now >= m_next_publish) {
    m_next_publish = now + kPublishPeriod;
    PublishTransportMetrics();
  }
  if (m_is_shutting_down) CheckShutdown(now);
}

void BalancerNode::BeginShutdown() {
  if (m_is_shutting_down) return;
  m_is_shutting_down = true;
  const TimePoint now = SteadyNow();
  m_shutdown.deadline = now + m_settings.shutdown_deadline;
  m_shutdown.idle_since = now;
  m_balancer.Leave();
  Log(LogLevel::kInfo, "shutdown", "leaving");
}

void BalancerNode::CheckShutdown(TimePoint now) {
  const std::uint64_t packets = TotalPacketsReceived(m_balancer.packets());
  if (packets != m_shutdown.packets) {
    m_shutdown.packets = packets;
    m_shutdown.idle_since = now;
  }
  const bool is_idle =
      now - m_shutdown.idle_since >= m_settings.fabric_idle_period;
  if (is_idle && m_balancer.IsHandoverComplete()) return Finish(true);
  if (now < m_shutdown.deadline) return;
  Log(LogLevel::kWarn, "shutdown", "deadline")
      .With("fabric-quiet", is_idle)
      .With("handed-over", m_balancer.IsHandoverComplete());
  Finish(false);
}

void BalancerNode::Finish(bool is_clean) {
  const bool all_requests_completed = m_http.Stop(kHttpDrainTimeout);
  m_is_clean = is_clean && all_requests_completed;
  Log(LogLevel::kInfo, "shutdown", "done").With("clean", m_is_clean);
  m_context->stop();
}

}  // namespace sardinelead
