#include "compress.h"

#include <zlib.h>

#include <cassert>

#include "big_endian.h"

namespace sardinelead {
namespace {

// The length of the plain bytes stands before the compressed ones.
constexpr std::size_t kLengthBytes = 4;

}  // namespace

Bytes Compress(ByteView bytes) {
  uLongf size = compressBound(bytes.size);
  Bytes out(kLengthBytes + size);
  StoreBig(static_cast<std::uint32_t>(bytes.size), out.data());
  const int done = compress2(out.data() + kLengthBytes, &size, bytes.data,
                             bytes.size, Z_BEST_SPEED);
  assert(done == Z_OK);
  (void)done;
  out.resize(kLengthBytes + size);
  return out;
}

Result<Bytes> Decompress(ByteView bytes, std::size_t max_bytes) {
  if (bytes.size < kLengthBytes) {
    return Fail(ErrorCode::kMalformed, "compressed bytes are cut short");
  }
  uLongf size = LoadBig<std::uint32_t>(bytes.data);
  if (size > max_bytes) {
    return Fail(ErrorCode::kLimit, "compressed bytes hold " +
                                       std::to_string(size) + " bytes, above " +
                                       std::to_string(max_bytes));
  }
  Bytes out(size);
  const int done = uncompress(out.data(), &size, bytes.data + kLengthBytes,
                              bytes.size - kLengthBytes);
  if (done != Z_OK || size != out.size()) {
    return Fail(ErrorCode::kMalformed, "compressed bytes cannot be read");
  }
  return out;
}

}  // namespace sardinelead
