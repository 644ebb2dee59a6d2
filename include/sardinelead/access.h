#ifndef SARDINELEAD_ACCESS_H_
#define SARDINELEAD_ACCESS_H_

// Access control. An INI file lists the operators and, per workspace, the token
// with which its targets authenticate:
//
//   [operator amina]
//   token_sha256 = 2bb80d53...  (64 hexadecimal digits)
//   workspaces = linaw sabaq
//
//   [operator root]
//   token_sha256 = ...
//   workspaces = *
//
//   [targets linaw]
//   token_sha256 = ...
//
// The file stores only SHA-256 digests of tokens. A token is a random string of
// at least kMinTokenBytes, so an unsalted digest does not reveal it.

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "sardinelead/config.h"
#include "sardinelead/error.h"

namespace sardinelead {

constexpr std::size_t kMinTokenBytes = 16;

using TokenDigest = std::array<std::uint8_t, 32>;
TokenDigest DigestOf(const std::string& token);
// 64 lower-case hexadecimal digits, the format of the access file.
std::string ToHex(const TokenDigest& digest);

struct Operator {
  std::string name;
  // May change every workspace, its shares and limits, and replace replicas.
  bool all_workspaces = false;
  std::vector<std::string> workspaces;

  bool MayChange(const std::string& workspace) const;
};

class Access {
 public:
  // Errors name the file, the section and the key. `file` is used only in error
  // messages.
  static Result<Access> Parse(const std::string& text, const std::string& file);
  static Result<Access> Load(const std::string& path);

  // Returns kNotAllowed if no operator has the token. The running time does not
  // depend on which entry matches.
  Result<Operator> FindOperator(const std::string& token) const;
  // Returns kNotAllowed unless `token` belongs to the targets of `workspace` or
  // to an operator who may change it.
  Result<void> AuthorizeTarget(const std::string& token,
                               const std::string& workspace) const;

 private:
  struct OperatorEntry {
    TokenDigest digest{};
    Operator entry;
  };
  struct TargetEntry {
    TokenDigest digest{};
    std::string workspace;
  };

  std::vector<OperatorEntry> m_operators;
  std::vector<TargetEntry> m_targets;
};

// Returns kNotAllowed with the path of the first operation in `patch` that
// `who` may not perform. Putting and removing workspaces requires
// all_workspaces, so that the operator of a workspace cannot raise its share.
Result<void> CheckPatch(const Operator& who, const Patch& patch);

}  // namespace sardinelead

#endif  // SARDINELEAD_ACCESS_H_
