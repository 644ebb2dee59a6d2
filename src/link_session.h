#ifndef SARDINELEAD_SRC_LINK_SESSION_H_
#define SARDINELEAD_SRC_LINK_SESSION_H_

// Authentication protocol of a link between two processes, independent of the
// transport.
//
// Each side sends a hello (its node id and a random nonce), then a proof: a MAC
// under the shared key over both hellos and its role, which a peer without the
// key cannot compute. Each later frame carries a MAC under a key specific to
// the session and direction. The MAC also covers a frame counter, so frames
// cannot be altered, replayed, reordered, reflected or moved between links.

#include <array>
#include <cstdint>
#include <optional>

#include "sardinelead/error.h"
#include "sardinelead/message.h"
#include "sardinelead/types.h"

namespace sardinelead {

constexpr std::size_t kNonceBytes = 32;
constexpr std::size_t kMacBytes = 16;
using Nonce = std::array<std::uint8_t, kNonceBytes>;
using SessionKey = std::array<std::uint8_t, 32>;

enum class LinkRole : std::uint8_t { kConnector = 1, kAcceptor = 2 };

enum class LinkEventKind : std::uint8_t {
  kNothing,      // A heartbeat, which requires no action.
  kHello,        // The peer's hello; reply with Proof().
  kEstablished,  // The peer is authenticated.
  kMessage,
};

struct LinkEvent {
  LinkEventKind kind = LinkEventKind::kNothing;
  MessageKind message = MessageKind::kMembership;  // For kMessage.
  ByteView body;                                   // For kMessage.
};

class LinkSession {
 public:
  // `expected` is the id of the dialled peer, or NodeId{0} to accept any.
  LinkSession(LinkRole role, NodeId self, NodeId expected, Bytes shared_key,
              const Nonce& nonce);

  Bytes Hello() const;
  // Returns the proof to send. Must be called only after the peer's hello was
  // received.
  Bytes Proof() const;
  // Seal() and SealHeartbeat() return the frame to send. They must be called
  // only while established() is true.
  Bytes Seal(MessageKind kind, ByteView body);
  Bytes SealHeartbeat();

  // Any error is fatal to the link: kNotAllowed if the peer id is unexpected or
  // authentication fails, kMalformed if the frame cannot be parsed. The body of
  // the event points into `frame`.
  Result<LinkEvent> OnFrame(ByteView frame);

  bool established() const { return m_established; }  // NOLINT
  // NodeId{0} until the peer's hello is received.
  NodeId peer() const { return m_peer; }  // NOLINT

 private:
  Result<LinkEvent> OnHello(ByteView frame);
  Result<LinkEvent> OnProof(ByteView frame);
  Result<LinkEvent> OnAuthenticatedFrame(ByteView frame);
  Bytes SealFrame(std::uint8_t kind, ByteView body);
  Bytes Transcript() const;
  SessionKey Derive(const char* label, LinkRole sender) const;

  const LinkRole m_role;
  const NodeId m_self;
  const NodeId m_expected;
  const Bytes m_shared_key;
  const Nonce m_nonce;
  NodeId m_peer;
  Nonce m_peer_nonce{};
  bool m_established = false;
  SessionKey m_send_key{};
  SessionKey m_receive_key{};
  std::uint64_t m_sent = 0;
  std::uint64_t m_received = 0;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_LINK_SESSION_H_
