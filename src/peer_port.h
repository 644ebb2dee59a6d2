#ifndef SARDINELEAD_SRC_PEER_PORT_H_
#define SARDINELEAD_SRC_PEER_PORT_H_

// Exchanges messages with the other processes of the system over a UDP socket.

#include <asio/io_context.hpp>
#include <functional>

#include "peer_link.h"
#include "sardinelead/message.h"
#include "udp_port.h"

namespace sardinelead {

class PeerPort {
 public:
  struct Hooks {
    std::function<TimePoint()> now;
    std::function<Endpoint(NodeId peer)> address_of;
    std::function<void(const ReceivedMessage& message)> on_message;
    // Called when a peer has started; messages sent to it before are lost.
    std::function<void(NodeId peer)> on_peer_started;
    // Called after each batch of received messages.
    std::function<void()> on_batch_end;
    // Called with the size of each datagram that is sent. May be empty.
    std::function<void(std::size_t bytes)> on_sent = {};
  };

  PeerPort(asio::io_context* context, PeerLinkSettings settings, Hooks hooks);

  Result<Endpoint> Open(const Endpoint& listen) { return m_port.Open(listen); }
  void Close() { m_port.Close(); }
  void Send(const Outbox& messages);
  const PeerLink& link() const { return m_link; }  // NOLINT

 private:
  void OnDatagram(ByteView datagram, const Endpoint& source);
  void SendDatagram(const Datagram& datagram);

  Hooks m_hooks;
  PeerLink m_link;
  UdpPort m_port;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_PEER_PORT_H_
