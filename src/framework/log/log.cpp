//===- log.cpp - One line of key=value pairs for each event ---------------===//
//
// Events by log4cxx.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"

#include "framework/log/internal/logsetup.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <map>

namespace geraniumbay {

namespace {

constexpr const char *LinePattern =
    "time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p module=%c %m%n";

log4cxx::LevelPtr levelOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warning:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

/// The logger of \p Module. Kept, since a look-up by name takes locks.
const log4cxx::LoggerPtr &loggerOf(std::string_view Module) {
  thread_local std::map<std::string, log4cxx::LoggerPtr, std::less<>> Kept;
  auto Found = Kept.find(Module);
  if (Found == Kept.end())
    Found =
        Kept.emplace(Module,
                     log4cxx::Logger::getLogger("gb." + std::string(Module)))
            .first;
  return Found->second;
}

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (char Char : Value) {
    auto Byte = static_cast<unsigned char>(Char);
    if (Byte <= ' ' || Byte == '"' || Byte == '=' || Byte == '\\' ||
        Byte == 0x7F)
      return true;
  }
  return false;
}

void appendQuoted(std::string &Line, std::string_view Value) {
  constexpr const char *Hex = "0123456789abcdef";
  Line += '"';
  for (char Char : Value) {
    auto Byte = static_cast<unsigned char>(Char);
    if (Char == '"' || Char == '\\') {
      Line += '\\';
      Line += Char;
    } else if (Byte < ' ' || Byte == 0x7F) {
      Line += "\\x";
      Line += Hex[Byte >> 4U];
      Line += Hex[Byte & 0xFU];
    } else {
      Line += Char;
    }
  }
  Line += '"';
}

} // namespace

std::string formatEvent(std::string_view Name,
                        std::initializer_list<LogField> Fields) {
  std::string Line = "event=";
  Line += Name;
  for (const LogField &Field : Fields) {
    Line += ' ';
    Line += Field.Key;
    Line += '=';
    if (needsQuotes(Field.Value))
      appendQuoted(Line, Field.Value);
    else
      Line += Field.Value;
  }
  return Line;
}

void logEvent(LogLevel Level, std::string_view Module, std::string_view Name,
              std::initializer_list<LogField> Fields) {
  const log4cxx::LoggerPtr &Logger = loggerOf(Module);
  log4cxx::LevelPtr LogLevel = levelOf(Level);
  if (!Logger->isEnabledFor(LogLevel))
    return;
  // The line is UTF-8 already; log() would decode it from the locale's
  // encoding.
  static_assert(std::is_same_v<log4cxx::LogString, std::string>);
  Logger->forcedLogLS(LogLevel, formatEvent(Name, Fields),
                      log4cxx::spi::LocationInfo::getLocationUnavailable());
}

log4cxx::LayoutPtr logLayout() {
  return std::make_shared<log4cxx::PatternLayout>(LinePattern);
}

void logTo(const log4cxx::AppenderPtr &Appender, LogLevel Lowest) {
  // Only the project's own loggers: an unconfigured root logger is silent.
  log4cxx::LoggerPtr Parent = log4cxx::Logger::getLogger("gb");
  Parent->setAdditivity(false);
  Parent->removeAllAppenders();
  Parent->addAppender(Appender);
  Parent->setLevel(levelOf(Lowest));
}

void startLogging(LogLevel Lowest, const std::string &File) {
  if (File.empty())
    return logTo(std::make_shared<log4cxx::ConsoleAppender>(
                     logLayout(), log4cxx::ConsoleAppender::getSystemErr()),
                 Lowest);
  logTo(std::make_shared<log4cxx::FileAppender>(logLayout(), File, true),
        Lowest);
}

} // namespace geraniumbay
