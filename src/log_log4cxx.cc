// The log sink of the daemons, based on log4cxx. Levels and output files are
// set by log4cxx properties.

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/propertyconfigurator.h>

#include "sardinelead/log.h"

namespace sardinelead {
namespace {

constexpr int kReloadPeriodMs = 2000;
constexpr const char* kPattern =
    "time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p module=%c %m%n";

log4cxx::LevelPtr ToLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarn:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

std::string* ConfigFile() {
  static auto* file = new std::string;
  return file;
}

bool IsEnabled(LogLevel level, const char* module) {
  return log4cxx::Logger::getLogger(module)->isEnabledFor(ToLevel(level));
}

void Write(LogLevel level, const char* module, const std::string& line) {
  log4cxx::Logger::getLogger(module)->forcedLog(ToLevel(level), line);
}

}  // namespace

void StartLogging(const std::string& config_file) {
  *ConfigFile() = config_file;
  SetLogSink({IsEnabled, Write});
  if (!config_file.empty()) {
    log4cxx::PropertyConfigurator::configureAndWatch(config_file,
                                                     kReloadPeriodMs);
    return;
  }
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
      layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::configure(appender);
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

void ReloadLogging() {
  if (ConfigFile()->empty()) return;
  log4cxx::PropertyConfigurator::configure(*ConfigFile());
}

}  // namespace sardinelead
