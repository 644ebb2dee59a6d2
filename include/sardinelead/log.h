#ifndef SARDINELEAD_LOG_H_
#define SARDINELEAD_LOG_H_

// Log lines of the daemons: an event with fields that a program can parse.
//
//   Log(LogLevel::kInfo, "membership", "peer-dead").With("peer", 3);
//
// prints through log4cxx
//
//   time=2026-03-02T18:00:00.123 level=INFO module=membership
//       event=peer-dead peer=3
//
// on one line. A module is a log4cxx logger, so each has a level of its own.
// The decision core does not log; it returns what happened.

#include <cstdint>
#include <functional>
#include <sstream>
#include <string>

namespace sardinelead {

enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarn, kError };
const char* Name(LogLevel level);

// Where lines go. Both are called from any thread.
struct LogSink {
  std::function<bool(LogLevel level, const char* module)> is_on;
  std::function<void(LogLevel level, const char* module,
                     const std::string& line)>
      write;
};
// Before the first line; without a sink nothing is logged.
void SetLogSink(LogSink sink);

// Starts logging to standard error at kInfo, or as the log4cxx properties in
// `config_file` say; that file is read again within seconds of a change.
void StartLogging(const std::string& config_file);
// Reads the file named to StartLogging again now.
void ReloadLogging();

// Starts logging to standard output from `minimum` on, without ever waiting for
// its reader: a line that does not fit is left out, and so are lines of one
// event beyond a rate (see LogBudget). The next line that is written says how
// many were left out.
void StartStdoutLogging(LogLevel minimum);

// One line, written when it goes out of scope. Costs one level check where
// the module's level is higher.
class Log {
 public:
  Log(LogLevel level, const char* module, const char* event);
  ~Log();
  Log(const Log&) = delete;
  Log& operator=(const Log&) = delete;

  // `key` is a word; `value` is quoted where it has to be.
  template <typename T>
  Log& With(const char* key, const T& value) {
    if (!m_is_on) return *this;
    std::ostringstream text;
    text << value;
    Append(key, text.str());
    return *this;
  }

 private:
  void Append(const char* key, const std::string& value);

  LogLevel m_level;
  const char* m_module;
  bool m_is_on;
  std::string m_line;
};

// `value` as it stands in a log line: unchanged, or in quotes with escapes
// where it is empty or has spaces, quotes, "=" or control bytes.
std::string LogValue(const std::string& value);

}  // namespace sardinelead

#endif  // SARDINELEAD_LOG_H_
