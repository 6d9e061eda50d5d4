//===- log.h - One line of key=value pairs for each event -------*- C++ -*-===//
//
// Writes events as single lines "event=... key=value ...". Values that need it
// are quoted. Callers' payloads and keys never go into a log.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_LOG_LOG_H
#define GERANIUMBAY_FRAMEWORK_LOG_LOG_H

#include "framework/types/strongid.h"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace geraniumbay {

/// How much an event matters to the operator.
enum class LogLevel { Debug, Info, Warning, Error };

/// One key and its value, already in text form.
struct LogField {
  LogField(std::string_view Key, std::string_view Value)
      : Key(Key), Value(Value) {}
  LogField(std::string_view Key, const char *Value) : Key(Key), Value(Value) {}
  LogField(std::string_view Key, bool Value)
      : Key(Key), Value(Value ? "true" : "false") {}
  template <std::integral IntT>
  LogField(std::string_view Key, IntT Value)
      : Key(Key), Value(std::to_string(Value)) {}
  template <typename TagT, typename RepT>
  LogField(std::string_view Key, const StrongId<TagT, RepT> &Id)
      : LogField(Key, Id.value()) {}

  std::string Key;
  std::string Value;
};

/// Writes the event \p Name of \p Module with \p Fields.
void logEvent(LogLevel Level, std::string_view Module, std::string_view Name,
              std::initializer_list<LogField> Fields);

/// Returns the line that logEvent writes, without time and level.
std::string formatEvent(std::string_view Name,
                        std::initializer_list<LogField> Fields);

/// Sends events to standard error, or appends them to \p File if not empty.
void startLogging(LogLevel Lowest, const std::string &File);

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_LOG_LOG_H
