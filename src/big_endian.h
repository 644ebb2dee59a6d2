#ifndef SARDINELEAD_SRC_BIG_ENDIAN_H_
#define SARDINELEAD_SRC_BIG_ENDIAN_H_

// Unaligned loads and stores of unsigned integers in network byte order.

#include <cstddef>
#include <cstdint>
#include <type_traits>

namespace sardinelead {

template <typename T>
T LoadBigEndian(const std::uint8_t* in) {
  static_assert(std::is_unsigned_v<T>);
  std::uint64_t value = 0;
  for (std::size_t i = 0; i < sizeof(T); ++i) value = value << 8 | in[i];
  return static_cast<T>(value);
}

template <typename T>
void StoreBigEndian(T value, std::uint8_t* out) {
  static_assert(std::is_unsigned_v<T>);
  std::uint64_t remaining = value;
  for (std::size_t i = sizeof(T); i > 0; --i) {
    out[i - 1] = static_cast<std::uint8_t>(remaining);
    remaining >>= 8;
  }
}

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_BIG_ENDIAN_H_
