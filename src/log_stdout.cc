// The log sink for programs that log to standard output.

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <climits>
#include <ctime>
#include <mutex>
#include <string>

#include "clock.h"
#include "log_budget.h"
#include "sardinelead/log.h"

namespace sardinelead {
namespace {

// POSIX guarantees that pipe writes of up to this size are atomic, so a write
// to a ready pipe is never partial.
constexpr std::size_t kMaxLineBytes = PIPE_BUF;

std::string FormatCurrentTime() {
  timespec now{};
  clock_gettime(CLOCK_REALTIME, &now);
  tm parts{};
  gmtime_r(&now.tv_sec, &parts);
  char text[40];
  const std::size_t size =
      std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &parts);
  constexpr long kNanosecondsPerMs = 1'000'000;  // NOLINT: type of tv_nsec
  const std::string ms = std::to_string(now.tv_nsec / kNanosecondsPerMs);
  return std::string(text, size) + "." + std::string(3 - ms.size(), '0') + ms;
}

bool IsWritable() {
  pollfd out{STDOUT_FILENO, POLLOUT, 0};
  return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

// Returns the first field of the line, "event=NAME".
std::string EventField(const std::string& line) {
  return line.substr(0, line.find(' '));
}

class StdoutLogger {
 public:
  void Write(LogLevel level, const char* module, const std::string& line) {
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::string event = std::string(module) + " " + EventField(line);
    if (!m_budget.Take(event, SteadyNow())) return;
    if (!IsWritable()) return m_budget.CountDropped(event);
    std::string out = "time=" + FormatCurrentTime() + " level=" + Name(level) +
                      " module=" + module + " " + line;
    const std::uint64_t dropped = m_budget.TakeDroppedCount(event);
    if (dropped > 0) out += " left_out=" + std::to_string(dropped);
    if (out.size() >= kMaxLineBytes) out.resize(kMaxLineBytes - 1);
    out += '\n';
    const ssize_t written = write(STDOUT_FILENO, out.data(), out.size());
    if (written < 0) m_budget.CountDropped(event);
  }

 private:
  std::mutex m_mutex;
  LogRateLimiter m_budget{LogRateLimitSettings{}};
};

}  // namespace

void StartStdoutLogging(LogLevel minimum) {
  static auto* log = new StdoutLogger;
  SetLogSink({[minimum](LogLevel level, const char*) {
                return static_cast<int>(level) >= static_cast<int>(minimum);
              },
              [](LogLevel level, const char* module, const std::string& line) {
                log->Write(level, module, line);
              }});
}

}  // namespace sardinelead
