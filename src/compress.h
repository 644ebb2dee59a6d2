#ifndef SARDINELEAD_SRC_COMPRESS_H_
#define SARDINELEAD_SRC_COMPRESS_H_

// Compressed bytes, for what travels between processes or lies in a journal.

#include <cstddef>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace sardinelead {

Bytes Compress(ByteView bytes);
// kMalformed where the bytes are not of Compress(), kLimit beyond `max_bytes`.
Result<Bytes> Decompress(ByteView bytes, std::size_t max_bytes);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_COMPRESS_H_
