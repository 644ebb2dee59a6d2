#ifndef SARDINELEAD_SRC_CHECKSUM_H_
#define SARDINELEAD_SRC_CHECKSUM_H_

// The Internet checksum (RFC 1071).

#include <cstdint>
#include <cstring>

#include "sardinelead/types.h"

namespace sardinelead {

// Computes the checksum of data supplied in several pieces. Every piece except
// the last must have an even number of bytes.
class ChecksumAccumulator {
 public:
  void Add(ByteView bytes) {
    std::size_t i = 0;
    for (; i + 1 < bytes.size; i += 2) {
      m_sum +=
          static_cast<std::uint32_t>(bytes.data[i] << 8) | bytes.data[i + 1];
    }
    if (i < bytes.size) m_sum += static_cast<std::uint32_t>(bytes.data[i] << 8);
  }
  void Add(std::uint32_t word) { m_sum += (word >> 16) + (word & 0xffff); }

  // Returns the checksum in host byte order.
  std::uint16_t Finish() const {
    std::uint64_t sum = m_sum;
    while ((sum >> 16) != 0) sum = (sum & 0xffff) + (sum >> 16);
    return static_cast<std::uint16_t>(~sum);
  }

 private:
  std::uint64_t m_sum = 0;
};

inline std::uint16_t InternetChecksum(ByteView bytes) {
  ChecksumAccumulator sum;
  sum.Add(bytes);
  return sum.Finish();
}

// Returns whether the checksum of an IPv4 header is valid. The header size must
// be a multiple of 4 bytes. The result does not depend on the byte order.
inline bool HasValidChecksum(const std::uint8_t* header, std::size_t bytes) {
  std::uint64_t sum = 0;
  for (std::size_t i = 0; i < bytes; i += sizeof(std::uint32_t)) {
    std::uint32_t word;
    std::memcpy(&word, header + i, sizeof(word));
    sum += word;
  }
  sum = (sum >> 32) + (sum & 0xffffffff);
  sum = (sum >> 16) + (sum & 0xffff);
  sum = (sum >> 16) + (sum & 0xffff);
  sum = (sum >> 16) + (sum & 0xffff);
  return sum == 0xffff;
}

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CHECKSUM_H_
