#ifndef SARDINELEAD_ERROR_H_
#define SARDINELEAD_ERROR_H_

// Error handling by return value. A function that can fail returns Result<T>;
// the process aborts only when an invariant is violated (assert).

#include <string>
#include <tl/expected.hpp>
#include <utility>

namespace sardinelead {

enum class ErrorCode {
  kMalformed,        // The input does not parse.
  kUnknownName,      // No object has this name.
  kDuplicate,        // The name, id or address is already in use.
  kOutOfRange,       // A number is outside its valid range.
  kVersionConflict,  // The patch is not based on the current version.
  kPatchIdReused,    // The patch id was already used with different content.
  kNotAllowed,       // The caller is not permitted to do this.
  kStale,            // The input is from an older incarnation or version.
  kUnavailable,      // Temporarily unavailable; the outcome is unknown.
  kLimit,            // A limit was reached.
  kIo,               // A disk or network operation failed.
  kCorrupt,          // Stored data does not match its checksum.
};
const char* Name(ErrorCode code);

// An error code with a message that names the affected object, such as
// `service "orders" does not exist in workspace "linaw"`.
struct Error {
  ErrorCode code = ErrorCode::kMalformed;
  std::string message;
  // The location in the input, such as "operations[2].service.port" or
  // "node.ini:14 [node] id"; empty if the error has no location.
  std::string path;

  std::string ToString() const;
};

template <typename T>
using Result = tl::expected<T, Error>;

inline tl::unexpected<Error> Fail(ErrorCode code, std::string message,
                                  std::string path = "") {
  return tl::unexpected<Error>(
      Error{code, std::move(message), std::move(path)});
}

}  // namespace sardinelead

#endif  // SARDINELEAD_ERROR_H_
