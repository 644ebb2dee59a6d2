#include "sardinelead/access.h"

#include <ini.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <optional>
#include <set>
#include <sstream>
#include <utility>

namespace sardinelead {
namespace {

constexpr char kOperatorPrefix[] = "operator ";
constexpr char kTargetsPrefix[] = "targets ";

bool Equal(const TokenDigest& a, const TokenDigest& b) {
  return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  return -1;
}

std::optional<TokenDigest> FromHex(const std::string& text) {
  TokenDigest digest{};
  if (text.size() != 2 * digest.size()) return std::nullopt;
  for (std::size_t i = 0; i < digest.size(); ++i) {
    const int high = HexDigit(text[2 * i]);
    const int low = HexDigit(text[2 * i + 1]);
    if (high < 0 || low < 0) return std::nullopt;
    digest[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return digest;
}

std::vector<std::string> SplitWords(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;) words.push_back(word);
  return words;
}

// Returns `text` without `prefix`, or an empty string if it lacks the prefix.
std::string StripPrefix(const std::string& text, const std::string& prefix) {
  if (text.compare(0, prefix.size(), prefix) != 0) return "";
  return text.substr(prefix.size());
}

using Keys = std::map<std::string, std::string>;
using Sections = std::map<std::string, Keys>;

// Called by inih for each key. Returns 0 if the key is a duplicate, which inih
// reports as an invalid line.
int AddKey(void* user, const char* section, const char* key,
           const char* value) {
  auto* sections = static_cast<Sections*>(user);
  return (*sections)[section].emplace(key, value).second ? 1 : 0;
}

// A section of the access file, with accessors that validate its keys.
class IniSection {
 public:
  IniSection(const Keys& keys, std::string file, std::string name)
      : m_keys(keys), m_file(std::move(file)), m_name(std::move(name)) {}

  Result<void> CheckKeys(const std::set<std::string>& allowed) const {
    for (const auto& [key, value] : m_keys) {
      if (allowed.count(key) != 0) continue;
      return Fail(ErrorCode::kMalformed, "unknown key \"" + key + "\"",
                  KeyPath(key));
    }
    return {};
  }

  Result<TokenDigest> Digest() const {
    const std::string key = "token_sha256";
    const auto digest = FromHex(Value(key));
    if (digest) return *digest;
    return Fail(ErrorCode::kMalformed, "expected 64 lower-case hex digits",
                KeyPath(key));
  }

  std::vector<std::string> WordList(const std::string& key) const {
    return SplitWords(Value(key));
  }

  std::string KeyPath(const std::string& key) const {
    return SectionPath(m_file, m_name) + " " + key;
  }

  static std::string SectionPath(std::string file, const std::string& name) {
    return file.append(" [").append(name).append("]");
  }

 private:
  std::string Value(const std::string& key) const {
    const auto found = m_keys.find(key);
    return found == m_keys.end() ? std::string() : found->second;
  }

  const Keys& m_keys;
  const std::string m_file;
  const std::string m_name;
};

}  // namespace

TokenDigest DigestOf(const std::string& token) {
  TokenDigest digest{};
  SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(),
         digest.data());
  return digest;
}

std::string ToHex(const TokenDigest& digest) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (const std::uint8_t byte : digest) {
    text += kDigits[byte >> 4];
    text += kDigits[byte & 15];
  }
  return text;
}

bool Operator::MayChange(const std::string& workspace) const {
  return all_workspaces || std::find(workspaces.begin(), workspaces.end(),
                                     workspace) != workspaces.end();
}

Result<Access> Access::Parse(const std::string& text, const std::string& file) {
  Sections sections;
  const int bad_line = ini_parse_string(text.c_str(), AddKey, &sections);
  if (bad_line != 0) {
    return Fail(
        ErrorCode::kMalformed,
        "expected a section header or key = value without duplicate keys",
        file + ":" + std::to_string(bad_line));
  }
  Access access;
  for (const auto& [name, keys] : sections) {
    const IniSection section(keys, file, name);
    const std::string operator_name = StripPrefix(name, kOperatorPrefix);
    const std::string workspace = StripPrefix(name, kTargetsPrefix);
    if (operator_name.empty() && workspace.empty()) {
      return Fail(ErrorCode::kMalformed,
                  "expected [operator NAME] or [targets WORKSPACE]",
                  IniSection::SectionPath(file, name));
    }
    const auto digest = section.Digest();
    if (!digest) return tl::unexpected(digest.error());
    if (!workspace.empty()) {
      const auto checked = section.CheckKeys({"token_sha256"});
      if (!checked) return tl::unexpected(checked.error());
      access.m_targets.push_back({*digest, workspace});
      continue;
    }
    const auto checked = section.CheckKeys({"token_sha256", "workspaces"});
    if (!checked) return tl::unexpected(checked.error());
    Operator entry{operator_name, false, section.WordList("workspaces")};
    if (entry.workspaces.empty()) {
      return Fail(ErrorCode::kMalformed, "expected workspaces by name, or *",
                  section.KeyPath("workspaces"));
    }
    entry.all_workspaces = entry.workspaces.front() == "*";
    access.m_operators.push_back({*digest, std::move(entry)});
  }
  return access;
}

Result<Access> Access::Load(const std::string& path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) return Fail(ErrorCode::kIo, "cannot read the access file", path);
  return Parse(text.str(), path);
}

Result<Operator> Access::FindOperator(const std::string& token) const {
  const TokenDigest digest = DigestOf(token);
  const Operator* found = nullptr;
  for (const OperatorEntry& candidate : m_operators) {
    if (Equal(candidate.digest, digest)) found = &candidate.entry;
  }
  if (found != nullptr && token.size() >= kMinTokenBytes) return *found;
  return Fail(ErrorCode::kNotAllowed,
              token.empty()
                  ? "missing token; expected Authorization: Bearer TOKEN"
                  : "the token matches no operator");
}

Result<void> Access::AuthorizeTarget(const std::string& token,
                                     const std::string& workspace) const {
  const TokenDigest digest = DigestOf(token);
  bool allowed = false;
  for (const TargetEntry& candidate : m_targets) {
    const bool equal = Equal(candidate.digest, digest);
    if (equal && candidate.workspace == workspace) allowed = true;
  }
  for (const OperatorEntry& candidate : m_operators) {
    const bool equal = Equal(candidate.digest, digest);
    if (equal && candidate.entry.MayChange(workspace)) allowed = true;
  }
  if (allowed && token.size() >= kMinTokenBytes) return {};
  return Fail(
      ErrorCode::kNotAllowed,
      "the token is not valid for targets of workspace \"" + workspace + "\"");
}

Result<void> CheckPatch(const Operator& who, const Patch& patch) {
  for (std::size_t i = 0; i < patch.operations.size(); ++i) {
    const Operation& operation = patch.operations[i];
    const std::string path = "operations[" + std::to_string(i) + "]";
    const bool on_service = operation.kind == OperationKind::kPutService ||
                            operation.kind == OperationKind::kRemoveService;
    if (!on_service && !who.all_workspaces) {
      return Fail(
          ErrorCode::kNotAllowed,
          "operator \"" + who.name + "\" may not change workspaces themselves",
          path + ".workspace");
    }
    if (on_service && !who.MayChange(operation.service.workspace)) {
      return Fail(ErrorCode::kNotAllowed,
                  "operator \"" + who.name + "\" may not change workspace \"" +
                      operation.service.workspace + "\"",
                  path + ".service.workspace");
    }
  }
  return {};
}

}  // namespace sardinelead
