#ifndef SARDINELEAD_SRC_CBOR_READ_H_
#define SARDINELEAD_SRC_CBOR_READ_H_

// Parses untrusted CBOR. nlohmann::json parses nested arrays recursively, so a
// short but deeply nested message could exhaust the stack. The nesting depth is
// therefore checked before the message is parsed.

#include <nlohmann/json.hpp>

#include "sardinelead/types.h"

namespace sardinelead {

constexpr int kMaxCborDepth = 32;

// Returns a discarded value if the bytes are not valid CBOR or are nested more
// than kMaxCborDepth levels deep.
nlohmann::json ReadCbor(ByteView bytes);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_CBOR_READ_H_
