#ifndef SARDINELEAD_SRC_COMPRESS_H_
#define SARDINELEAD_SRC_COMPRESS_H_

// zlib compression for messages between processes and for journal records.

#include <cstddef>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace sardinelead {

Bytes Compress(ByteView bytes);
// Returns kMalformed if `bytes` is not valid output of Compress(), or kLimit if
// the decompressed size exceeds `max_bytes`.
Result<Bytes> Decompress(ByteView bytes, std::size_t max_bytes);

}  // namespace sardinelead

#endif  // SARDINELEAD_SRC_COMPRESS_H_
