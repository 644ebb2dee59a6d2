#ifndef SARDINELEAD_LOG_H_
#define SARDINELEAD_LOG_H_

// Structured logging: each line is an event with machine-readable fields.
//
//   Log(LogLevel::kInfo, "membership", "peer-dead").With("peer", 3);
//
// writes the following through log4cxx
//
//   time=2026-03-02T18:00:00.123 level=INFO module=membership
//       event=peer-dead peer=3
//
// on one line. Each module is a separate log4cxx logger with its own level.
// The decision core does not log; it reports events in its return values.

#include <cstdint>
#include <functional>
#include <sstream>
#include <string>

namespace sardinelead {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };
const char* Name(LogLevel level);

// The destination of log lines. Both functions must be thread-safe.
struct LogSink {
  std::function<bool(LogLevel level, const char* module)> is_enabled;
  std::function<void(LogLevel level, const char* module,
                     const std::string& line)>
      write;
};
// Must be called before the first line is logged. Without a sink, nothing is
// logged.
void SetLogSink(LogSink sink);

// Starts logging as configured by the log4cxx properties in `config_file`,
// which is reloaded within seconds of a change. If `config_file` is empty, logs
// to standard error at kInfo.
void StartLogging(const std::string& config_file);
// Immediately reloads the file passed to StartLogging.
void ReloadLogging();

// Starts logging to standard output at level `minimum` and above. Never blocks
// on the reader: a line is dropped if it cannot be written at once or if its
// event exceeds its rate limit (see LogRateLimiter). The next line written for
// that event reports the number of dropped lines.
void StartStdoutLogging(LogLevel minimum);

// Builds one log line and writes it on destruction. If the module's level
// disables the line, the cost is a single level check.
class Log {
 public:
  Log(LogLevel level, const char* module, const char* event);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // `key` must not need quoting; `value` is quoted if necessary.
  template <typename T>
  Log& With(const char* key, const T& value) {
    if (!m_is_enabled) return *this;
    std::ostringstream text;
    text << value;
    Append(key, text.str());
    return *this;
  }

 private:
  void Append(const char* key, const std::string& value);

  LogLevel m_level;
  const char* m_module;
  bool m_is_enabled;
  std::string m_line;
};

// Formats `value` for a log line. Values that are empty or contain spaces,
// quotes, backslashes, "=" or control bytes are quoted and escaped; others are
// returned unchanged.
std::string LogValue(const std::string& value);

}  // namespace sardinelead

#endif  // SARDINELEAD_LOG_H_
