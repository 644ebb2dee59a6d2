#include "sardinelead/settings.h"

#include <ini.h>

#include <algorithm>
#include <cassert>
#include <charconv>
#include <cstring>
#include <fstream>
#include <optional>
#include <sstream>
#include <string_view>

namespace sardinelead {
namespace {

constexpr std::size_t kMaxFileBytes = 1 << 20;

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end) return std::nullopt;
  return number;
}

std::optional<NodeAddress> ParseNodeAddress(std::string_view text) {
  const std::size_t space = text.find(' ');
  if (space == std::string_view::npos) return std::nullopt;
  const auto id = ParseNumber(text.substr(0, space));
  const std::size_t start = text.find_first_not_of(' ', space);
  const auto address = Endpoint::Parse(text.substr(start));
  if (!id || *id < 1 || *id > UINT32_MAX) return std::nullopt;
  if (!address || address->port == 0) return std::nullopt;
  return NodeAddress{NodeId{static_cast<std::uint32_t>(*id)}, *address};
}

std::string DescribeExpected(const SettingKey& key) {
  switch (key.type) {
    case SettingType::kText:
      return "a text";
    case SettingType::kNumber:
      return "a whole number from " + std::to_string(key.min) + " to " +
             std::to_string(key.max);
    case SettingType::kEndpoint:
      return "an address with a port, as 192.0.2.1:80 or [2001:db8::1]:80";
    case SettingType::kNodeAddress:
      return "an id and an address with a port, as 2 192.0.2.2:7001";
    case SettingType::kFlag:
      return "yes or no";
  }
  return "";
}

// Returns kOutOfRange or kMalformed if `text` is not a valid value for `key`.
std::optional<ErrorCode> CheckValue(const SettingKey& key,
                                    const std::string& text) {
  switch (key.type) {
    case SettingType::kText:
      if (text.empty()) return ErrorCode::kMalformed;
      return std::nullopt;
    case SettingType::kNumber: {
      const auto number = ParseNumber(text);
      if (!number) return ErrorCode::kMalformed;
      const bool is_in_range = *number >= key.min && *number <= key.max;
      if (!is_in_range) return ErrorCode::kOutOfRange;
      return std::nullopt;
    }
    case SettingType::kEndpoint: {
      const auto endpoint = Endpoint::Parse(text);
      if (!endpoint || endpoint->port == 0) return ErrorCode::kMalformed;
      return std::nullopt;
    }
    case SettingType::kNodeAddress:
      if (!ParseNodeAddress(text)) return ErrorCode::kMalformed;
      return std::nullopt;
    case SettingType::kFlag:
      if (text != "yes" && text != "no") return ErrorCode::kMalformed;
      return std::nullopt;
  }
  return ErrorCode::kMalformed;
}

}  // namespace

const char* Name(SettingType type) {
  switch (type) {
    case SettingType::kText:
      return "text";
    case SettingType::kNumber:
      return "number";
    case SettingType::kEndpoint:
      return "endpoint";
    case SettingType::kNodeAddress:
      return "node-address";
    case SettingType::kFlag:
      return "flag";
  }
  return "unknown";
}

// Passes lines to inih and collects all errors. Counts the lines itself because
// inih does not report line numbers to its handler.
class SettingsReader {
 public:
  SettingsReader(const std::vector<SettingKey>& table, const std::string& text,
                 const std::string& file)
      : m_table(table), m_text(text) {
    m_settings.m_file = file;
  }

  SettingsResult Run() {
    const int bad_line = ini_parse_stream(&SettingsReader::ReadLine, this,
                                          &SettingsReader::OnValue, this);
    const bool is_new_error =
        bad_line > 0 && std::find(m_long_lines.begin(), m_long_lines.end(),
                                  bad_line) == m_long_lines.end();
    if (is_new_error) {
      AddError(ErrorCode::kMalformed, "expected [section] or key = value",
               Location(bad_line));
    }
    for (const SettingKey& key : m_table) AddDefault(key);
    if (!m_errors.empty()) return tl::unexpected(std::move(m_errors));
    return std::move(m_settings);
  }

 private:
  // The ini_reader callback; has the semantics of fgets.
  static char* ReadLine(char* out, int capacity, void* self) {
    return static_cast<SettingsReader*>(self)->NextLine(out, capacity);
  }
  // The ini_handler callback.
  static int OnValue(void* self, const char* section, const char* key,
                     const char* value) {
    static_cast<SettingsReader*>(self)->AddValue(section, key, value);
    return 1;
  }

  char* NextLine(char* out, int capacity) {
    if (m_offset >= m_text.size()) return nullptr;
    ++m_line;
    const std::size_t end = m_text.find('\n', m_offset);
    const std::size_t stop = end == std::string::npos ? m_text.size() : end;
    std::string line = m_text.substr(m_offset, stop - m_offset);
    m_offset = stop + 1;
    const std::size_t max_length = static_cast<std::size_t>(capacity) - 2;
    if (line.size() > max_length) {
      AddError(ErrorCode::kMalformed,
               "expected at most " + std::to_string(max_length) + " characters",
               Location(m_line));
      m_long_lines.push_back(m_line);
      line.clear();
    }
    if (line.find('\0') != std::string::npos) {
      AddError(ErrorCode::kMalformed, "expected no zero byte",
               Location(m_line));
      line.clear();
    }
    std::memcpy(out, line.c_str(), line.size() + 1);
    return out;
  }

  void AddValue(const std::string& section, const std::string& key,
                const std::string& value) {
    const std::string location = Location(m_line) + " [" + section + "] " + key;
    const SettingKey* declared = FindDeclaration(section, key);
    if (declared == nullptr) {
      AddError(ErrorCode::kUnknownName, UnknownKey(section, key), location);
      return;
    }
    auto& values = m_settings.m_values[{section, key}];
    if (!values.empty() && declared->use != SettingUse::kRepeated) {
      AddError(ErrorCode::kDuplicate,
               "key \"" + key + "\" is already set in line " +
                   std::to_string(values.front().line),
               location);
      return;
    }
    values.push_back(Settings::Value{value, m_line});
    const auto error_code = CheckValue(*declared, value);
    if (!error_code) return;
    AddError(
        *error_code,
        "expected " + DescribeExpected(*declared) + ", not \"" + value + "\"",
        location);
  }

  std::string UnknownKey(const std::string& section,
                         const std::string& key) const {
    std::string known;
    for (const SettingKey& declared : m_table) {
      if (section != declared.section) continue;
      known += known.empty() ? "" : ", ";
      known += declared.key;
    }
    if (known.empty()) return "section \"" + section + "\" does not exist";
    return "key \"" + key + "\" does not exist in section \"" + section +
           "\", expected one of " + known;
  }

  void AddDefault(const SettingKey& key) {
    auto& values = m_settings.m_values[{key.section, key.key}];
    if (!values.empty() || key.use != SettingUse::kOnce) return;
    const std::string default_value = key.default_value;
    if (!default_value.empty()) {
      assert(!CheckValue(key, default_value));
      values.push_back(Settings::Value{default_value, 0});
      return;
    }
    AddError(ErrorCode::kUnknownName,
             std::string("key \"") + key.key + "\" is missing in section \"" +
                 key.section + "\", expected " + DescribeExpected(key),
             m_settings.m_file + " [" + key.section + "] " + key.key);
  }

  const SettingKey* FindDeclaration(const std::string& section,
                                    const std::string& key) const {
    for (const SettingKey& declared : m_table) {
      if (section == declared.section && key == declared.key) return &declared;
    }
    return nullptr;
  }

  std::string Location(int line) const {
    return m_settings.m_file + ":" + std::to_string(line);
  }

  void AddError(ErrorCode code, std::string message, std::string location) {
    m_errors.push_back(Error{code, std::move(message), std::move(location)});
  }

  const std::vector<SettingKey>& m_table;
  const std::string& m_text;
  std::size_t m_offset = 0;
  int m_line = 0;
  std::vector<int> m_long_lines;
  Settings m_settings;
  std::vector<Error> m_errors;
};

const std::vector<Settings::Value>* Settings::Find(
    const std::string& section, const std::string& key) const {
  const auto found = m_values.find({section, key});
  assert(found != m_values.end());
  return &found->second;
}

bool Settings::Has(const std::string& section, const std::string& key) const {
  return !Find(section, key)->empty();
}

std::string Settings::Text(const std::string& section,
                           const std::string& key) const {
  const auto* values = Find(section, key);
  return values->empty() ? "" : values->front().text;
}

std::int64_t Settings::Number(const std::string& section,
                              const std::string& key) const {
  const auto number = ParseNumber(Text(section, key));
  assert(number.has_value());
  return *number;
}

Endpoint Settings::Address(const std::string& section,
                           const std::string& key) const {
  const auto address = Endpoint::Parse(Text(section, key));
  assert(address.has_value());
  return *address;
}

bool Settings::Flag(const std::string& section, const std::string& key) const {
  return Text(section, key) == "yes";
}

std::vector<std::string> Settings::Texts(const std::string& section,
                                         const std::string& key) const {
  std::vector<std::string> texts;
  for (const Value& value : *Find(section, key)) texts.push_back(value.text);
  return texts;
}

std::vector<NodeAddress> Settings::Nodes(const std::string& section,
                                         const std::string& key) const {
  std::vector<NodeAddress> nodes;
  for (const Value& value : *Find(section, key)) {
    const auto node = ParseNodeAddress(value.text);
    assert(node.has_value());
    nodes.push_back(*node);
  }
  return nodes;
}

std::string Settings::LocationOf(const std::string& section,
                                 const std::string& key) const {
  const auto* values = Find(section, key);
  const int line = values->empty() ? 0 : values->front().line;
  const std::string line_suffix = line == 0 ? "" : ":" + std::to_string(line);
  return m_file + line_suffix + " [" + section + "] " + key;
}

SettingsResult ParseSettings(const std::vector<SettingKey>& table,
                             const std::string& text, const std::string& file) {
  return SettingsReader(table, text, file).Run();
}

SettingsResult LoadSettings(const std::vector<SettingKey>& table,
                            const std::string& path) {
  const auto fail = [&path](ErrorCode code, const std::string& message) {
    return tl::unexpected(std::vector<Error>{Error{code, message, path}});
  };
  std::ifstream file(path, std::ios::binary);
  if (!file) return fail(ErrorCode::kIo, "the file cannot be opened");
  std::ostringstream text;
  text << file.rdbuf();
  if (file.bad()) return fail(ErrorCode::kIo, "the file cannot be read");
  if (text.str().size() > kMaxFileBytes) {
    return fail(ErrorCode::kOutOfRange, "expected a file of at most 1 MB");
  }
  return ParseSettings(table, text.str(), path);
}

std::string SampleSettingsFile(const std::vector<SettingKey>& table) {
  std::ostringstream out;
  std::string section;
  for (const SettingKey& key : table) {
    if (section != key.section) {
      out << (section.empty() ? "" : "\n") << "[" << key.section << "]\n";
      section = key.section;
    }
    out << "; " << key.doc << "\n; " << DescribeExpected(key);
    if (key.use == SettingUse::kRepeated) out << "; any number of times";
    if (key.use == SettingUse::kOptional) out << "; may be left out";
    const std::string default_value = key.default_value;
    const bool is_required =
        key.use == SettingUse::kOnce && default_value.empty();
    out << (is_required ? "; required" : "") << "\n";
    out << (default_value.empty() ? ";" : "") << key.key << " = "
        << default_value << "\n";
  }
  return out.str();
}

}  // namespace sardinelead
