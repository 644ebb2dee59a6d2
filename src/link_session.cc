#include "link_session.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <cassert>
#include <nlohmann/json.hpp>
#include <utility>

// Wire format: a hello is a CBOR array [format, node id, nonce]; a proof is a
// 32-byte MAC; an authenticated frame is kind (1 byte), body, MAC (16 bytes).

namespace sardinelead {
namespace {

constexpr std::uint32_t kFormat = 1;
constexpr std::uint8_t kHeartbeatKind = 0;
constexpr std::size_t kMaxHelloBytes = 128;

LinkRole OppositeRole(LinkRole role) {
  return role == LinkRole::kConnector ? LinkRole::kAcceptor
                                      : LinkRole::kConnector;
}

SessionKey Hmac(ByteView key, const Bytes& text) {
  SessionKey mac{};
  unsigned int size = 0;
  const auto* done = HMAC(EVP_sha256(), key.data, static_cast<int>(key.size),
                          text.data(), text.size(), mac.data(), &size);
  assert(done != nullptr && size == mac.size());
  (void)done;
  return mac;
}

void AppendNumber(Bytes* out, std::uint64_t number) {
  for (int shift = 56; shift >= 0; shift -= 8) {
    out->push_back(static_cast<std::uint8_t>(number >> shift));
  }
}

// Returns the MAC of the frame with sequence number `counter`.
SessionKey FrameMac(const SessionKey& key, std::uint64_t counter,
                    ByteView content) {
  Bytes text;
  text.reserve(sizeof(counter) + content.size);
  AppendNumber(&text, counter);
  text.insert(text.end(), content.begin(), content.end());
  return Hmac({key.data(), key.size()}, text);
}

bool IsMessageKind(std::uint8_t kind) {
  return kind >= static_cast<std::uint8_t>(MessageKind::kMembership) &&
         kind <= static_cast<std::uint8_t>(MessageKind::kAgreement);
}

}  // namespace

LinkSession::LinkSession(LinkRole role, NodeId self, NodeId expected,
                         Bytes shared_key, const Nonce& nonce)
    : m_role(role),
      m_self(self),
      m_expected(expected),
      m_shared_key(std::move(shared_key)),
      m_nonce(nonce) {}

Bytes LinkSession::Hello() const {
  const Bytes nonce(m_nonce.begin(), m_nonce.end());
  return nlohmann::json::to_cbor(nlohmann::json::array(
      {kFormat, m_self.value, nlohmann::json::binary(nonce)}));
}

Bytes LinkSession::Transcript() const {
  const bool is_connector = m_role == LinkRole::kConnector;
  const NodeId connector = is_connector ? m_self : m_peer;
  const NodeId acceptor = is_connector ? m_peer : m_self;
  const Nonce& connector_nonce = is_connector ? m_nonce : m_peer_nonce;
  const Nonce& acceptor_nonce = is_connector ? m_peer_nonce : m_nonce;
  Bytes text;
  AppendNumber(&text, kFormat);
  AppendNumber(&text, connector.value);
  AppendNumber(&text, acceptor.value);
  text.insert(text.end(), connector_nonce.begin(), connector_nonce.end());
  text.insert(text.end(), acceptor_nonce.begin(), acceptor_nonce.end());
  return text;
}

SessionKey LinkSession::Derive(const char* label, LinkRole sender) const {
  Bytes text(label, label + std::char_traits<char>::length(label));
  text.push_back(static_cast<std::uint8_t>(sender));
  const Bytes transcript = Transcript();
  text.insert(text.end(), transcript.begin(), transcript.end());
  return Hmac(m_shared_key, text);
}

Bytes LinkSession::Proof() const {
  assert(m_peer.value != 0);
  const SessionKey proof = Derive("proof", m_role);
  return {proof.begin(), proof.end()};
}

Bytes LinkSession::Seal(MessageKind kind, ByteView body) {
  return SealFrame(static_cast<std::uint8_t>(kind), body);
}

Bytes LinkSession::SealHeartbeat() { return SealFrame(kHeartbeatKind, {}); }

Bytes LinkSession::SealFrame(std::uint8_t kind, ByteView body) {
  assert(m_established);
  Bytes frame;
  frame.reserve(1 + body.size + kMacBytes);
  frame.push_back(kind);
  frame.insert(frame.end(), body.begin(), body.end());
  const SessionKey mac = FrameMac(m_send_key, m_sent++, frame);
  frame.insert(frame.end(), mac.begin(), mac.begin() + kMacBytes);
  return frame;
}

Result<LinkEvent> LinkSession::OnFrame(ByteView frame) {
  if (m_peer.value == 0) return OnHello(frame);
  if (!m_established) return OnProof(frame);
  return OnAuthenticatedFrame(frame);
}

Result<LinkEvent> LinkSession::OnHello(ByteView frame) {
  const auto malformed = Fail(ErrorCode::kMalformed, "malformed hello");
  if (frame.size > kMaxHelloBytes) return malformed;
  const auto json =
      nlohmann::json::from_cbor(frame.begin(), frame.end(), true, false);
  if (!json.is_array() || json.size() != 3) return malformed;
  if (!json[0].is_number_unsigned() || json[0] != kFormat) {
    return Fail(ErrorCode::kMalformed, "unsupported hello format");
  }
  if (!json[1].is_number_unsigned() || !json[2].is_binary()) return malformed;
  const auto number = json[1].get<std::uint64_t>();
  const auto& nonce = json[2].get_binary();
  if (number == 0 || number > UINT32_MAX || nonce.size() != kNonceBytes) {
    return malformed;
  }
  const NodeId peer{static_cast<std::uint32_t>(number)};
  const bool unexpected = m_expected.value != 0 && peer != m_expected;
  if (unexpected || peer == m_self) {
    return Fail(ErrorCode::kNotAllowed,
                "unexpected peer id in hello: node " + std::to_string(number));
  }
  m_peer = peer;
  std::copy(nonce.begin(), nonce.end(), m_peer_nonce.begin());
  return LinkEvent{LinkEventKind::kHello, {}, {}};
}

Result<LinkEvent> LinkSession::OnProof(ByteView frame) {
  const SessionKey expected = Derive("proof", OppositeRole(m_role));
  if (frame.size != expected.size() ||
      CRYPTO_memcmp(frame.data, expected.data(), expected.size()) != 0) {
    return Fail(ErrorCode::kNotAllowed,
                "node " + std::to_string(m_peer.value) +
                    " failed to authenticate with the shared key");
  }
  m_send_key = Derive("frames", m_role);
  m_receive_key = Derive("frames", OppositeRole(m_role));
  m_established = true;
  return LinkEvent{LinkEventKind::kEstablished, {}, {}};
}

Result<LinkEvent> LinkSession::OnAuthenticatedFrame(ByteView frame) {
  if (frame.size < 1 + kMacBytes) {
    return Fail(ErrorCode::kMalformed, "frame is too short");
  }
  const ByteView content(frame.data, frame.size - kMacBytes);
  const SessionKey mac = FrameMac(m_receive_key, m_received, content);
  if (CRYPTO_memcmp(content.end(), mac.data(), kMacBytes) != 0) {
    return Fail(ErrorCode::kNotAllowed, "frame has an invalid MAC");
  }
  ++m_received;
  const std::uint8_t kind = content.data[0];
  if (kind == kHeartbeatKind) return LinkEvent{};
  if (!IsMessageKind(kind)) {
    return Fail(ErrorCode::kMalformed,
                "unknown message kind " + std::to_string(kind));
  }
  return LinkEvent{LinkEventKind::kMessage, static_cast<MessageKind>(kind),
                   ByteView(content.data + 1, content.size - 1)};
}

}  // namespace sardinelead
