#ifndef SARDINELEAD_SRC_DERIVE_KEY_H_
#define SARDINELEAD_SRC_DERIVE_KEY_H_

// Derivation of single-purpose keys from the secret that the system's processes
// share.

#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <string_view>

#include "sardinelead/types.h"

namespace sardinelead {

// Returns HMAC-SHA256 of `purpose` under the shared secret, truncated to the
// size of Key, which is an array of at most 32 bytes.
template <typename Key>
Key DeriveKey(const Bytes& shared_key, std::string_view purpose) {
  constexpr std::size_t kSha256Bytes = 32;
  static_assert(std::tuple_size_v<Key> <= kSha256Bytes);
  std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest;
  unsigned size = 0;
  const auto* done =
      HMAC(EVP_sha256(), shared_key.data(), static_cast<int>(shared_key.size()),
           reinterpret_cast<const std::uint8_t*>(purpose.data()),
           purpose.size(), digest.data(), &size);
  assert(done != nullptr && size == kSha256Bytes);
  (void)done;
  Key key;
  std::copy_n(digest.begin(), key.size(), key.begin());
  return key;
}

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_DERIVE_KEY_H_
