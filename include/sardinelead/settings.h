#ifndef SARDINELEAD_SETTINGS_H_
#define SARDINELEAD_SETTINGS_H_

// Reads a program's settings from an INI file and validates the entire file
// before the program starts. A program declares its keys in a table:
//
//   const std::vector<SettingKey> kKeys = {
//       {"node", "id", SettingType::kNumber, "", 1, 1000, "number of this VM"},
//       {"node", "log", SettingType::kText, "none", 0, 0, "log settings"},
//   };
//   auto settings = LoadSettings(kKeys, "/etc/sardinelead/balancerd.ini");
//   if (!settings) { for (const Error& error : settings.error()) ... }
//   settings->Number("node", "id");
//
// All errors are reported, not only the first, each with its file, line,
// section, key and the expected value.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "sardinelead/error.h"
#include "sardinelead/types.h"

namespace sardinelead {

enum class SettingType : std::uint8_t {
  kText,
  kNumber,       // An integer from `min` to `max`.
  kEndpoint,     // "192.0.2.1:80" or "[2001:db8::1]:80".
  kNodeAddress,  // "ID ENDPOINT", such as "2 192.0.2.2:7001".
  kFlag,         // "yes" or "no".
};
const char* Name(SettingType type);

enum class SettingUse : std::uint8_t {
  kOnce,      // At most once; required if it has no default.
  kOptional,  // At most once; empty if absent.
  kRepeated,  // Any number of times.
};

struct SettingKey {
  const char* section;
  const char* key;
  SettingType type;
  const char* default_value;  // "" means none.
  std::int64_t min;           // For kNumber.
  std::int64_t max;           // For kNumber.
  const char* doc;
  SettingUse use = SettingUse::kOnce;
};

// The id and address of another node.
struct NodeAddress {
  NodeId id;
  Endpoint address;
};

// Validated values, by section and key. Each key must be declared in the table
// and be read as its declared type.
class Settings {
 public:
  bool Has(const std::string& section, const std::string& key) const;
  std::string Text(const std::string& section, const std::string& key) const;
  std::int64_t Number(const std::string& section, const std::string& key) const;
  Endpoint Address(const std::string& section, const std::string& key) const;
  bool Flag(const std::string& section, const std::string& key) const;
  std::vector<std::string> Texts(const std::string& section,
                                 const std::string& key) const;
  std::vector<NodeAddress> Nodes(const std::string& section,
                                 const std::string& key) const;
  // Returns the location of a value, such as "node.ini:14 [node] id", for
  // errors found by checks that the table cannot express.
  std::string LocationOf(const std::string& section,
                         const std::string& key) const;

 private:
  friend class SettingsReader;
  struct Value {
    std::string text;
    int line = 0;  // 0 for a default value.
  };

  const std::vector<Value>* Find(const std::string& section,
                                 const std::string& key) const;

  std::string m_file;
  std::map<std::pair<std::string, std::string>, std::vector<Value>> m_values;
};

using SettingsResult = tl::expected<Settings, std::vector<Error>>;

// Parses and validates `text`; `file` is used only in error messages.
SettingsResult ParseSettings(const std::vector<SettingKey>& table,
                             const std::string& text, const std::string& file);
// Reads, parses and validates the file at `path`.
SettingsResult LoadSettings(const std::vector<SettingKey>& table,
                            const std::string& path);
// Returns a commented sample INI file that documents every key.
std::string SampleSettingsFile(const std::vector<SettingKey>& table);

}  // namespace sardinelead

#endif  // SARDINELEAD_SETTINGS_H_
