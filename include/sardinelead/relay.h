#ifndef SARDINELEAD_RELAY_H_
#define SARDINELEAD_RELAY_H_

// Wire format of packets relayed between balancers: a fixed header, followed by
// the unmodified packet.
//
//   byte  0      0x81, format and version; no IP packet starts with it
//         1      direction
//         2      number of relays so far
//         3      rank of the sender in the chain
//         4      bit mask by rank of the holders that have no record
//         5      step
//         6      1 if a holder without a record is incomplete, else 0
//         7      zero
//         8-11   sender
//        12-15   tag of the sender's view
//        16-23   target
//        24-31   SipHash-2-4 over bytes 0-23 and the first 64 packet bytes
//
// The hash is keyed with a secret shared by the balancers of the data centre.
// It prevents an attacker from choosing a target, impersonating a holder or
// attaching a header to a packet of another flow. It provides no
// confidentiality, does not cover the packet's payload, and does not prevent
// replay: replaying a relayed packet has no more effect than replaying the
// packet itself, which anyone on the path can do.

#include <array>
#include <cstdint>
#include <memory>
#include <tl/expected.hpp>

#include "sardinelead/flow_director.h"
#include "sardinelead/packet.h"
#include "sardinelead/types.h"

namespace sardinelead {

constexpr std::size_t kRelayHeaderBytes = 32;
using RelayHeaderBytes = std::array<std::uint8_t, kRelayHeaderBytes>;
using RelayKey = std::array<std::uint8_t, 16>;

struct RelayedPacket {
  RelayHeader header;
  ByteView packet;  // Points into the datagram that was read.
};

// Writes and verifies relay headers with one key. Not thread-safe.
class RelayCodec {
 public:
  explicit RelayCodec(const RelayKey& key);
  ~RelayCodec();
  RelayCodec(const RelayCodec&) = delete;
  RelayCodec& operator=(const RelayCodec&) = delete;

  // Returns the header to send before `packet`.
  RelayHeaderBytes Write(const RelayHeader& header, ByteView packet);
  // Errors: kTruncated, kBadHeader, kUnauthenticated.
  tl::expected<RelayedPacket, DropReason> Read(ByteView datagram);

 private:
  struct Mac;

  std::unique_ptr<Mac> m_mac;
};

}  // namespace sardinelead

#endif  // SARDINELEAD_RELAY_H_
