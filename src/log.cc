#include "sardinelead/log.h"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace sardinelead {
namespace {

LogSink* Sink() {
  static auto* sink = new LogSink;
  return sink;
}

bool IsUnquotedChar(char c) {
  return c > ' ' && c != '"' && c != '=' && c != '\\' && c != 0x7f;
}

}  // namespace

void SetLogSink(LogSink sink) { *Sink() = std::move(sink); }

const char* Name(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarn:
      return "warn";
    case LogLevel::kError:
      return "error";
  }
  return "unknown";
}

std::string LogValue(const std::string& value) {
  const bool needs_no_quotes =
      !value.empty() && std::all_of(value.begin(), value.end(), IsUnquotedChar);
  if (needs_no_quotes) return value;
  std::string out = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') out += '\\';
    if (static_cast<unsigned char>(c) >= ' ' && c != 0x7f) {
      out += c;
      continue;
    }
    char escaped[8];
    std::snprintf(escaped, sizeof(escaped), "\\x%02x",
                  static_cast<unsigned>(static_cast<unsigned char>(c)));
    out += escaped;
  }
  return out + "\"";
}

Log::Log(LogLevel level, const char* module, const char* event)
    : m_level(level),
      m_module(module),
      m_is_enabled(Sink()->is_enabled && Sink()->is_enabled(level, module)) {
  if (m_is_enabled) Append("event", event);
}

Log::~Log() {
  if (m_is_enabled) Sink()->write(m_level, m_module, m_line);
}

void Log::Append(const char* key, const std::string& value) {
  if (!m_line.empty()) m_line += ' ';
  m_line += key;
  m_line += '=';
  m_line += LogValue(value);
}

}  // namespace sardinelead
