#ifndef SARDINELEAD_SRC_PEER_LINK_H_
#define SARDINELEAD_SRC_PEER_LINK_H_

// Control messages between the system's processes as UDP datagrams, sealed
// with a key that only they have.
//
// Messages get lost and reordered, but each arrives at most once and only at
// the start of a process that it was meant for: a datagram names the sender's
// incarnation and, in short, the receiver's, and carries a number that the
// receiver takes once. A process that does not know its peer's incarnation
// yet, or has an old one, is told it by a hello and sends anew with its next
// message. So a datagram recorded before a restart is worth nothing after it. A
// process that learns that a peer knows a later incarnation of it than its own,
// as after a step of the clock, rises above that one.
//
// The seal is HMAC-SHA256, cut to 16 bytes, over the whole datagram. Nothing is
// encrypted. Bodies above one datagram are split; a lost part loses the whole.
//
// Makes and reads datagrams; the sockets are someone else's. Not for several
// threads.

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
  // Where peers are before they were heard of.
  std::map<NodeId, Endpoint> addresses;
};

struct Datagram {
  Endpoint to;
  Bytes bytes;
};

// Why a datagram was not taken; one counter each.
enum class LinkRefusal : std::uint8_t {
  kMalformed,         // Too short, or a field that cannot be.
  kUnauthenticated,   // Not sealed with the key: a stranger.
  kWrongReceiver,     // For another node.
  kOtherIncarnation,  // For an earlier start of this process, or from one.
  kReplayed,          // Its number was taken before, or is too old to tell.
  kCount,
};
const char* Name(LinkRefusal refusal);

struct ReceivedMessage {
  NodeId from;
  MessageKind kind = MessageKind::kMembership;
  Bytes body;
};

// What came of one datagram.
struct LinkInput {
  std::optional<ReceivedMessage> message;
  std::optional<Datagram> reply;
  std::optional<LinkRefusal> refusal;
  // A peer whose start was not known until now: what was sent to it before is
  // lost.
  std::optional<NodeId> met;
};

class PeerLink {
 public:
  explicit PeerLink(PeerLinkSettings settings);

  // The datagrams of one message: none where no address of the receiver is
  // known or the body is too long; a hello where its incarnation is not known.
  std::vector<Datagram> Send(const OutgoingMessage& message, TimePoint now);
  LinkInput OnDatagram(ByteView datagram, const Endpoint& source,
                       TimePoint now);

  std::uint64_t refused(LinkRefusal refusal) const {  // NOLINT
    return m_refused[static_cast<std::size_t>(refusal)];
  }
  // That of this start: the one of the settings, or a later one.
  Incarnation incarnation() const { return m_settings.incarnation; }  // NOLINT
  // Where a peer is that was not heard of yet.
  void AddPeer(NodeId id, const Endpoint& address);
  std::uint64_t bytes_sent() const { return m_bytes_sent; }  // NOLINT

 private:
  // A message of which not all parts came yet.
  struct Partial {
    std::uint32_t first_sequence = 0;
    MessageKind kind = MessageKind::kMembership;
    std::size_t missing = 0;
    std::vector<Bytes> parts;
  };
  struct Peer {
    Endpoint address;
    Incarnation incarnation;  // 0 where not known.
    std::uint32_t next_sequence = 1;
    std::uint32_t newest_taken = 0;
    std::vector<bool> taken;  // Ring over the newest kReplayWindow numbers.
    std::vector<Partial> partials;
    TimePoint next_hello;
  };
  struct Header;

  Bytes Seal(const Header& header, ByteView body);
  std::optional<Header> Open(ByteView datagram, LinkRefusal* refusal) const;
  Datagram MakeDatagram(Peer* peer, Header header, ByteView body);
  std::optional<Datagram> Hello(NodeId to, Peer* peer, TimePoint now);
  LinkRefusal Count(LinkRefusal refusal);
  LinkInput Refuse(LinkRefusal refusal);
  LinkInput Take(const Header& header, ByteView body, const Endpoint& source,
                 TimePoint now);
  std::optional<ReceivedMessage> Assemble(const Header& header, Peer* peer,
                                          ByteView body);
  void RiseAbove(std::uint32_t known_low_half);
  static bool TakeSequence(Peer* peer, std::uint32_t sequence);

  PeerLinkSettings m_settings;
  std::map<NodeId, Peer> m_peers;
  std::array<std::uint64_t, static_cast<std::size_t>(LinkRefusal::kCount)>
      m_refused{};
  std::uint64_t m_bytes_sent = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_PEER_LINK_H_
