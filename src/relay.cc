#include "sardinelead/relay.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <cassert>

#include "big_endian.h"

namespace sardinelead {
namespace {

constexpr std::uint8_t kVersion = 0x81;
constexpr std::size_t kMacBytes = 8;
constexpr std::size_t kMacOffset = kRelayHeaderBytes - kMacBytes;
// The longest IPv6 header without extensions and a TCP header.
constexpr std::size_t kCoveredPacketBytes = 64;

using MacBytes = std::array<std::uint8_t, kMacBytes>;

constexpr auto kLastDirection = static_cast<std::uint8_t>(Direction::kToCaller);
constexpr auto kLastStep = static_cast<std::uint8_t>(RelayStep::kRecordFound);

bool IsValidHeader(const std::uint8_t* in) {
  return in[0] == kVersion && in[1] <= kLastDirection && in[5] <= kLastStep &&
         in[6] <= 1 && in[7] == 0;
}

}  // namespace

// SipHash from OpenSSL. The context is allocated once and reinitialized for
// each packet.
struct RelayCodec::Mac {
  explicit Mac(const RelayKey& key_in) : key(key_in) {
    algorithm = EVP_MAC_fetch(nullptr, "SIPHASH", nullptr);
    assert(algorithm != nullptr);
    context = EVP_MAC_CTX_new(algorithm);
    assert(context != nullptr);
    std::size_t mac_bytes = kMacBytes;
    const OSSL_PARAM params[] = {
        OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &mac_bytes),
        OSSL_PARAM_construct_end()};
    const int is_set = EVP_MAC_CTX_set_params(context, params);
    assert(is_set == 1);
    (void)is_set;
  }
  ~Mac() {
    EVP_MAC_CTX_free(context);
    EVP_MAC_free(algorithm);
  }
  Mac(const Mac&) = delete;
  Mac& operator=(const Mac&) = delete;

  MacBytes Compute(const std::uint8_t* header, ByteView packet) {
    MacBytes mac{};
    std::size_t written = 0;
    const std::size_t covered = std::min(packet.size, kCoveredPacketBytes);
    const bool is_done =
        EVP_MAC_init(context, key.data(), key.size(), nullptr) == 1 &&
        EVP_MAC_update(context, header, kMacOffset) == 1 &&
        EVP_MAC_update(context, packet.data, covered) == 1 &&
        EVP_MAC_final(context, mac.data(), &written, mac.size()) == 1;
    assert(is_done && written == kMacBytes);
    (void)is_done;
    return mac;
  }

  RelayKey key;
  EVP_MAC* algorithm = nullptr;
  EVP_MAC_CTX* context = nullptr;
};

RelayCodec::RelayCodec(const RelayKey& key)
    : m_mac(std::make_unique<Mac>(key)) {}
RelayCodec::~RelayCodec() = default;

RelayHeaderBytes RelayCodec::Write(const RelayHeader& header, ByteView packet) {
  RelayHeaderBytes out{};
  out[0] = kVersion;
  out[1] = static_cast<std::uint8_t>(header.direction);
  out[2] = header.hops;
  out[3] = header.sender_rank;
  out[4] = header.queried_holders;
  out[5] = static_cast<std::uint8_t>(header.step);
  out[6] = header.has_incomplete_holder ? 1 : 0;
  StoreBigEndian(header.sender.value, out.data() + 8);
  StoreBigEndian(header.view, out.data() + 12);
  StoreBigEndian(header.target.value, out.data() + 16);
  const MacBytes mac = m_mac->Compute(out.data(), packet);
  std::copy(mac.begin(), mac.end(), out.begin() + kMacOffset);
  return out;
}

tl::expected<RelayedPacket, DropReason> RelayCodec::Read(ByteView datagram) {
  using Dropped = tl::unexpected<DropReason>;
  if (datagram.size <= kRelayHeaderBytes) {
    return Dropped(DropReason::kTruncated);
  }
  const std::uint8_t* in = datagram.data;
  RelayedPacket relayed;
  relayed.packet =
      ByteView(in + kRelayHeaderBytes, datagram.size - kRelayHeaderBytes);
  const MacBytes mac = m_mac->Compute(in, relayed.packet);
  if (CRYPTO_memcmp(mac.data(), in + kMacOffset, kMacBytes) != 0) {
    return Dropped(DropReason::kUnauthenticated);
  }
  if (!IsValidHeader(in)) return Dropped(DropReason::kBadHeader);
  relayed.header.direction = static_cast<Direction>(in[1]);
  relayed.header.hops = in[2];
  relayed.header.sender_rank = in[3];
  relayed.header.queried_holders = in[4];
  relayed.header.step = static_cast<RelayStep>(in[5]);
  relayed.header.has_incomplete_holder = in[6] == 1;
  relayed.header.view = LoadBigEndian<std::uint32_t>(in + 12);
  relayed.header.sender = NodeId{LoadBigEndian<std::uint32_t>(in + 8)};
  relayed.header.target = TargetId{LoadBigEndian<std::uint64_t>(in + 16)};
  return relayed;
}

}  // namespace sardinelead
