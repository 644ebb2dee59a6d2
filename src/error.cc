#include "sardinelead/error.h"

namespace sardinelead {

const char* Name(ErrorCode code) {
  switch (code) {
    case ErrorCode::kMalformed:
      return "malformed";
    case ErrorCode::kUnknownName:
      return "unknown-name";
    case ErrorCode::kDuplicate:
      return "duplicate";
    case ErrorCode::kOutOfRange:
      return "out-of-range";
    case ErrorCode::kVersionConflict:
      return "version-conflict";
    case ErrorCode::kPatchIdReused:
      return "patch-id-reused";
    case ErrorCode::kNotAllowed:
      return "not-allowed";
    case ErrorCode::kStale:
      return "stale";
    case ErrorCode::kUnavailable:
      return "unavailable";
    case ErrorCode::kLimit:
      return "limit";
    case ErrorCode::kIo:
      return "io";
    case ErrorCode::kCorrupt:
      return "corrupt";
  }
  return "unknown";
}

std::string Error::ToString() const {
  const std::string prefix = path.empty() ? "" : path + ": ";
  return prefix + message + " (" + Name(code) + ")";
}

}  // namespace sardinelead
