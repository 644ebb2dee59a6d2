#include "peer_port.h"

#include <utility>

namespace sardinelead {

PeerPort::PeerPort(asio::io_context* context, PeerLinkSettings settings,
                   Hooks hooks)
    : m_hooks(std::move(hooks)),
      m_link(std::move(settings)),
      m_port(context, {[this](ByteView datagram, const Endpoint& source) {
                         OnDatagram(datagram, source);
                       },
                       [this] { m_hooks.on_batch_end(); }}) {}

void PeerPort::OnDatagram(ByteView datagram, const Endpoint& source) {
  const DatagramResult input =
      m_link.OnDatagram(datagram, source, m_hooks.now());
  if (input.reply) {
    SendDatagram(*input.reply);
    m_port.Flush();
  }
  if (input.started_peer) m_hooks.on_peer_started(*input.started_peer);
  if (input.message) m_hooks.on_message(*input.message);
}

void PeerPort::SendDatagram(const Datagram& datagram) {
  m_port.Send(datagram.to, {}, datagram.bytes);
  if (m_hooks.on_sent) m_hooks.on_sent(datagram.bytes.size());
}

void PeerPort::Send(const Outbox& messages) {
  for (const OutgoingMessage& message : messages) {
    m_link.AddPeer(message.to, m_hooks.address_of(message.to));
    const auto datagrams = m_link.Send(message, m_hooks.now());
    for (const Datagram& datagram : datagrams) {
      SendDatagram(datagram);
    }
    m_port.Flush();
  }
}

}  // namespace sardinelead
