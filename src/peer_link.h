#ifndef SARDINELEAD_SRC_PEER_LINK_H_
#define SARDINELEAD_SRC_PEER_LINK_H_

// Control messages between the processes of the system, carried in UDP
// datagrams that are authenticated with a shared key.
//
// Messages may be lost or reordered, but each is delivered at most once and
// only to the incarnation that it was sent to: a datagram carries the sender's
// incarnation, the low half of the receiver's, and a sequence number that the
// receiver accepts only once. A process that does not know its peer's current
// incarnation learns it from a hello, and uses it from its next message on.
// Datagrams recorded before a restart are therefore rejected after it. A
// process that learns that a peer knows a later incarnation of it, as after its
// clock stepped back, advances its own incarnation beyond that one.
//
// The authentication tag is HMAC-SHA256 over the whole datagram, truncated to
// 16 bytes. Nothing is encrypted. Bodies that exceed one datagram are split;
// losing a part loses the whole message.
//
// PeerLink encodes and decodes datagrams and does no I/O. Not thread-safe.

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "sardinelead/message.h"
#include "sardinelead/types.h"

namespace sardinelead {

constexpr std::size_t kLinkOverheadBytes = 44;
constexpr std::size_t kMaxLinkPartBytes = 1200;
constexpr std::size_t kMaxLinkBodyBytes = 300'000;

using LinkKey = std::array<std::uint8_t, 32>;

struct PeerLinkSettings {
  NodeId self;
  Incarnation incarnation;
  LinkKey key{};
  // Initial addresses of peers, used until a datagram arrives from them.
  std::map<NodeId, Endpoint> addresses;
};

struct Datagram {
  Endpoint to;
  Bytes bytes;
};

// Reasons for rejecting a datagram; each has a counter.
enum class DatagramRejection : std::uint8_t {
  // The datagram is too short, a field has an invalid value, or the sender is
  // unknown and the peer table is full.
  kMalformed,
  kUnauthenticated,   // The authentication tag does not match.
  kWrongReceiver,     // Addressed to another node.
  kOtherIncarnation,  // To or from an outdated incarnation.
  kReplayed,          // Sequence number already seen or too old.
  kCount,
};
const char* Name(DatagramRejection refusal);

struct ReceivedMessage {
  NodeId from;
  MessageKind kind = MessageKind::kMembership;
  Bytes body;
};

// The result of processing a datagram.
struct DatagramResult {
  std::optional<ReceivedMessage> message;
  std::optional<Datagram> reply;
  std::optional<DatagramRejection> refusal;
  // Set if the sender's incarnation is new; messages sent to it before are
  // lost.
  std::optional<NodeId> started_peer;
};

class PeerLink {
 public:
  explicit PeerLink(PeerLinkSettings settings);

  // Encodes a message as datagrams. Returns none if the receiver's address is
  // unknown or the body is too long, and a hello if its incarnation is unknown.
  std::vector<Datagram> Send(const OutgoingMessage& message, TimePoint now);
  DatagramResult OnDatagram(ByteView datagram, const Endpoint& source,
                            TimePoint now);

  std::uint64_t refused(DatagramRejection refusal) const {  // NOLINT
    return m_refused[static_cast<std::size_t>(refusal)];
  }
  // The current incarnation: that of the settings, or a later one.
  Incarnation incarnation() const { return m_settings.incarnation; }  // NOLINT
  // Adds a peer with its initial address.
  void AddPeer(NodeId id, const Endpoint& address);
  std::uint64_t bytes_sent() const { return m_bytes_sent; }  // NOLINT

 private:
  // A partially received message.
  struct Partial {
    std::uint32_t first_sequence = 0;
    MessageKind kind = MessageKind::kMembership;
    std::size_t missing = 0;
    std::vector<Bytes> parts;
  };
  struct Peer {
    Endpoint address;
    Incarnation incarnation;  // 0 if unknown.
    std::uint32_t next_sequence = 1;
    std::uint32_t newest_sequence = 0;
    std::vector<bool> seen;  // Ring over the newest kReplayWindow numbers.
    std::vector<Partial> partials;
    TimePoint next_hello;
  };
  struct Header;

  Bytes Seal(const Header& header, ByteView body);
  std::optional<Header> Open(ByteView datagram,
                             DatagramRejection* refusal) const;
  Datagram MakeDatagram(Peer* peer, Header header, ByteView body);
  std::optional<Datagram> Hello(NodeId to, Peer* peer, TimePoint now);
  DatagramRejection Count(DatagramRejection refusal);
  DatagramResult Reject(DatagramRejection refusal);
  DatagramResult AcceptDatagram(const Header& header, ByteView body,
                                const Endpoint& source, TimePoint now);
  std::optional<ReceivedMessage> Assemble(const Header& header, Peer* peer,
                                          ByteView body);
  void AdvanceIncarnation(std::uint32_t known_low_half);
  static bool AcceptSequence(Peer* peer, std::uint32_t sequence);

  PeerLinkSettings m_settings;
  std::map<NodeId, Peer> m_peers;
  std::array<std::uint64_t, static_cast<std::size_t>(DatagramRejection::kCount)>
      m_refused{};
  std::uint64_t m_bytes_sent = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_PEER_LINK_H_
