#include "compress.h"

#include <zlib.h>

#include <cassert>

#include "big_endian.h"

namespace sardinelead {
namespace {

// The compressed data is preceded by the uncompressed size.
constexpr std::size_t kSizePrefixBytes = 4;

}  // namespace

Bytes Compress(ByteView bytes) {
  uLongf size = compressBound(bytes.size);
  Bytes out(kSizePrefixBytes + size);
  StoreBigEndian(static_cast<std::uint32_t>(bytes.size), out.data());
  const int status = compress2(out.data() + kSizePrefixBytes, &size, bytes.data,
                               bytes.size, Z_BEST_SPEED);
  assert(status == Z_OK);
  (void)status;
  out.resize(kSizePrefixBytes + size);
  return out;
}

Result<Bytes> Decompress(ByteView bytes, std::size_t max_bytes) {
  if (bytes.size < kSizePrefixBytes) {
    return Fail(ErrorCode::kMalformed, "compressed bytes are cut short");
  }
  uLongf size = LoadBigEndian<std::uint32_t>(bytes.data);
  if (size > max_bytes) {
    return Fail(ErrorCode::kLimit,
                "compressed bytes expand to " + std::to_string(size) +
                    " bytes, above the limit of " + std::to_string(max_bytes));
  }
  Bytes out(size);
  const int status =
      uncompress(out.data(), &size, bytes.data + kSizePrefixBytes,
                 bytes.size - kSizePrefixBytes);
  if (status != Z_OK || size != out.size()) {
    return Fail(ErrorCode::kMalformed, "compressed bytes cannot be read");
  }
  return out;
}

}  // namespace sardinelead
