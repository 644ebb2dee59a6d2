#include "peer_link.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <cassert>
#include <utility>

#include "big_endian.h"

namespace sardinelead {
namespace {

// Datagram layout, sizes in bytes: version, kind, part, parts (1 each), sender,
// receiver (4 each), the sender's incarnation (8), the low half of the
// receiver's incarnation (4), sequence number (4), body, authentication tag
// (16).
constexpr std::uint8_t kVersion = 0x82;
constexpr std::uint8_t kHelloKind = 0;
constexpr std::uint8_t kLastKind =
    static_cast<std::uint8_t>(MessageKind::kFeed);
constexpr std::size_t kHeaderBytes = 28;
constexpr std::size_t kTagBytes = 16;
static_assert(kHeaderBytes + kTagBytes == kLinkOverheadBytes);

constexpr std::uint32_t kReplayWindow = 1024;
constexpr std::size_t kMaxPartials = 4;
static_assert(kMaxLinkBodyBytes <= 255 * kMaxLinkPartBytes);
constexpr std::size_t kMaxParts =
    (kMaxLinkBodyBytes + kMaxLinkPartBytes - 1) / kMaxLinkPartBytes;
constexpr std::size_t kMaxPeers = 4096;
// The low half (32 bits) of the incarnation that a peer knows is compared with
// this node's modulo 2^32: if it is ahead by more than half of that range, the
// peer knows an earlier incarnation.
constexpr std::uint32_t kMaxIncarnationAhead = 1U << 31;
constexpr Duration kHelloPeriod = std::chrono::milliseconds(100);

using Tag = std::array<std::uint8_t, kTagBytes>;

Tag ComputeTag(const LinkKey& key, const std::uint8_t* data, std::size_t size) {
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest;
  unsigned digest_bytes = 0;
  const auto* done =
      HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), data, size,
           digest.data(), &digest_bytes);
  assert(done != nullptr && digest_bytes >= kTagBytes);
  (void)done;
  Tag tag;
  std::copy_n(digest.begin(), kTagBytes, tag.begin());
  return tag;
}

std::uint32_t LowHalf(Incarnation incarnation) {
  return static_cast<std::uint32_t>(incarnation.value);
}

}  // namespace

struct PeerLink::Header {
  std::uint8_t kind = kHelloKind;
  std::uint8_t part = 0;
  std::uint8_t parts = 1;
  NodeId sender;
  NodeId receiver;
  Incarnation incarnation;
  std::uint32_t receiver_incarnation = 0;
  std::uint32_t sequence = 0;
};

const char* Name(DatagramRejection refusal) {
  switch (refusal) {
    case DatagramRejection::kMalformed:
      return "malformed";
    case DatagramRejection::kUnauthenticated:
      return "unauthenticated";
    case DatagramRejection::kWrongReceiver:
      return "wrong-receiver";
    case DatagramRejection::kOtherIncarnation:
      return "other-incarnation";
    case DatagramRejection::kReplayed:
      return "replayed";
    case DatagramRejection::kCount:
      break;
  }
  return "unknown";
}

PeerLink::PeerLink(PeerLinkSettings settings)
    : m_settings(std::move(settings)) {
  for (const auto& [id, address] : m_settings.addresses) {
    m_peers[id].address = address;
  }
}

void PeerLink::AddPeer(NodeId id, const Endpoint& address) {
  const bool is_new = m_peers.find(id) == m_peers.end();
  if (is_new && m_peers.size() < kMaxPeers) m_peers[id].address = address;
}

Bytes PeerLink::Seal(const Header& header, ByteView body) {
  Bytes out(kHeaderBytes);
  out[0] = kVersion;
  out[1] = header.kind;
  out[2] = header.part;
  out[3] = header.parts;
  StoreBigEndian(header.sender.value, out.data() + 4);
  StoreBigEndian(header.receiver.value, out.data() + 8);
  StoreBigEndian(header.incarnation.value, out.data() + 12);
  StoreBigEndian(header.receiver_incarnation, out.data() + 20);
  StoreBigEndian(header.sequence, out.data() + 24);
  out.insert(out.end(), body.begin(), body.end());
  const Tag tag = ComputeTag(m_settings.key, out.data(), out.size());
  out.insert(out.end(), tag.begin(), tag.end());
  m_bytes_sent += out.size();
  return out;
}

std::optional<PeerLink::Header> PeerLink::Open(
    ByteView datagram, DatagramRejection* refusal) const {
  *refusal = DatagramRejection::kMalformed;
  if (datagram.size < kLinkOverheadBytes) return std::nullopt;
  const std::uint8_t* in = datagram.data;
  const std::size_t authenticated_bytes = datagram.size - kTagBytes;
  const Tag tag = ComputeTag(m_settings.key, in, authenticated_bytes);
  if (CRYPTO_memcmp(tag.data(), in + authenticated_bytes, kTagBytes) != 0) {
    *refusal = DatagramRejection::kUnauthenticated;
    return std::nullopt;
  }
  Header header;
  header.kind = in[1];
  header.part = in[2];
  header.parts = in[3];
  header.sender = NodeId{LoadBigEndian<std::uint32_t>(in + 4)};
  header.receiver = NodeId{LoadBigEndian<std::uint32_t>(in + 8)};
  header.incarnation = Incarnation{LoadBigEndian<std::uint64_t>(in + 12)};
  header.receiver_incarnation = LoadBigEndian<std::uint32_t>(in + 20);
  header.sequence = LoadBigEndian<std::uint32_t>(in + 24);
  const bool is_known = in[0] == kVersion && header.kind <= kLastKind &&
                        header.part < header.parts &&
                        header.parts <= kMaxParts && header.sender.value != 0 &&
                        header.incarnation.value != 0;
  if (!is_known) return std::nullopt;
  return header;
}

Datagram PeerLink::MakeDatagram(Peer* peer, Header header, ByteView body) {
  header.sender = m_settings.self;
  header.incarnation = m_settings.incarnation;
  header.receiver_incarnation = LowHalf(peer->incarnation);
  header.sequence = peer->next_sequence++;
  return Datagram{peer->address, Seal(header, body)};
}

std::optional<Datagram> PeerLink::Hello(NodeId to, Peer* peer, TimePoint now) {
  if (now < peer->next_hello) return std::nullopt;
  peer->next_hello = now + kHelloPeriod;
  Header header;
  header.receiver = to;
  return MakeDatagram(peer, header, {});
}

std::vector<Datagram> PeerLink::Send(const OutgoingMessage& message,
                                     TimePoint now) {
  std::vector<Datagram> out;
  const auto found = m_peers.find(message.to);
  if (found == m_peers.end()) return out;
  if (message.body.size() > kMaxLinkBodyBytes) return out;
  Peer& peer = found->second;
  if (peer.incarnation.value == 0) {
    auto hello = Hello(message.to, &peer, now);
    if (hello) out.push_back(std::move(*hello));
    return out;
  }
  const std::size_t size = message.body.size();
  const std::size_t parts = std::max<std::size_t>(
      1, (size + kMaxLinkPartBytes - 1) / kMaxLinkPartBytes);
  Header header;
  header.kind = static_cast<std::uint8_t>(message.kind);
  header.receiver = message.to;
  header.parts = static_cast<std::uint8_t>(parts);
  for (std::size_t i = 0; i < parts; ++i) {
    const std::size_t start = i * kMaxLinkPartBytes;
    const std::size_t length = std::min(kMaxLinkPartBytes, size - start);
    header.part = static_cast<std::uint8_t>(i);
    out.push_back(MakeDatagram(&peer, header,
                               ByteView(message.body.data() + start, length)));
  }
  return out;
}

DatagramRejection PeerLink::Count(DatagramRejection refusal) {
  ++m_refused[static_cast<std::size_t>(refusal)];
  return refusal;
}

DatagramResult PeerLink::Reject(DatagramRejection refusal) {
  DatagramResult input;
  input.refusal = Count(refusal);
  return input;
}

DatagramResult PeerLink::OnDatagram(ByteView datagram, const Endpoint& source,
                                    TimePoint now) {
  DatagramRejection refusal;
  const auto header = Open(datagram, &refusal);
  if (!header) return Reject(refusal);
  if (header->receiver != m_settings.self) {
    return Reject(DatagramRejection::kWrongReceiver);
  }
  const ByteView body(datagram.data + kHeaderBytes,
                      datagram.size - kLinkOverheadBytes);
  return AcceptDatagram(*header, body, source, now);
}

DatagramResult PeerLink::AcceptDatagram(const Header& header, ByteView body,
                                        const Endpoint& source, TimePoint now) {
  const bool is_new_peer = m_peers.find(header.sender) == m_peers.end();
  if (is_new_peer && m_peers.size() >= kMaxPeers) {
    return Reject(DatagramRejection::kMalformed);
  }
  Peer& peer = m_peers[header.sender];
  if (is_new_peer) peer.address = source;
  if (header.incarnation < peer.incarnation) {
    // Either the datagram was sent before a restart of the sender, or the
    // sender's clock stepped back before it restarted. For the latter case, the
    // hello states the incarnation that the sender must exceed.
    DatagramResult input = Reject(DatagramRejection::kOtherIncarnation);
    input.reply = Hello(header.sender, &peer, now);
    return input;
  }
  const bool is_new_incarnation = peer.incarnation < header.incarnation;
  if (is_new_incarnation) {
    peer.incarnation = header.incarnation;
    peer.newest_sequence = 0;
    peer.seen.assign(kReplayWindow, false);
    peer.partials.clear();
    peer.next_hello = now;
  }
  const bool is_hello = header.kind == kHelloKind;
  const bool is_for_this_incarnation =
      header.receiver_incarnation == LowHalf(m_settings.incarnation);
  DatagramResult input;
  if (is_new_incarnation) input.started_peer = header.sender;
  if (!is_for_this_incarnation) {
    // The sender does not know the current incarnation of this process, so
    // reply with a hello. If the datagram itself is a hello, that is expected
    // and not counted.
    AdvanceIncarnation(header.receiver_incarnation);
    if (!is_hello) input.refusal = Count(DatagramRejection::kOtherIncarnation);
    input.reply = Hello(header.sender, &peer, now);
    return input;
  }
  if (!AcceptSequence(&peer, header.sequence)) {
    input.refusal = Count(DatagramRejection::kReplayed);
    return input;
  }
  // The datagram is addressed to this incarnation and not a replay, so its
  // source is the sender's current address.
  peer.address = source;
  if (!is_hello) input.message = Assemble(header, &peer, body);
  return input;
}

// If a peer knows a later incarnation of this node than its own, the clock
// stepped back between two starts. Advances beyond that incarnation, so that
// peers accept datagrams from this node again.
void PeerLink::AdvanceIncarnation(std::uint32_t known_low_half) {
  const std::uint32_t ahead = known_low_half - LowHalf(m_settings.incarnation);
  const bool is_later =
      ahead != 0 && ahead <= kMaxIncarnationAhead && known_low_half != 0;
  if (!is_later) return;
  m_settings.incarnation.value += ahead + 1;
  for (auto& [id, peer] : m_peers) {
    peer.next_sequence = 1;
    peer.next_hello = TimePoint{};
  }
}

bool PeerLink::AcceptSequence(Peer* peer, std::uint32_t sequence) {
  if (sequence == 0) return false;
  if (sequence > peer->newest_sequence) {
    const std::uint32_t step = sequence - peer->newest_sequence;
    const std::uint32_t cleared = std::min(step, kReplayWindow);
    for (std::uint32_t i = 0; i < cleared; ++i) {
      peer->seen[(sequence - i) % kReplayWindow] = false;
    }
    peer->newest_sequence = sequence;
  } else if (peer->newest_sequence - sequence >= kReplayWindow) {
    return false;
  }
  if (peer->seen[sequence % kReplayWindow]) return false;
  peer->seen[sequence % kReplayWindow] = true;
  return true;
}

std::optional<ReceivedMessage> PeerLink::Assemble(const Header& header,
                                                  Peer* peer, ByteView body) {
  const auto kind = static_cast<MessageKind>(header.kind);
  if (header.parts == 1) {
    return ReceivedMessage{header.sender, kind,
                           Bytes(body.begin(), body.end())};
  }
  const std::uint32_t first = header.sequence - header.part;
  auto& partials = peer->partials;
  auto partial = std::find_if(
      partials.begin(), partials.end(),
      [first](const Partial& p) { return p.first_sequence == first; });
  if (partial == partials.end()) {
    if (partials.size() == kMaxPartials) partials.erase(partials.begin());
    Partial new_partial;
    new_partial.first_sequence = first;
    new_partial.kind = kind;
    new_partial.missing = header.parts;
    new_partial.parts.resize(header.parts);
    partials.push_back(std::move(new_partial));
    partial = partials.end() - 1;
  }
  const bool fits = partial->kind == kind &&
                    partial->parts.size() == header.parts && body.size > 0;
  if (!fits) return std::nullopt;
  partial->parts[header.part].assign(body.begin(), body.end());
  if (--partial->missing > 0) return std::nullopt;
  ReceivedMessage message{header.sender, kind, {}};
  for (const Bytes& part : partial->parts) {
    message.body.insert(message.body.end(), part.begin(), part.end());
  }
  partials.erase(partial);
  return message;
}

}  // namespace sardinelead
