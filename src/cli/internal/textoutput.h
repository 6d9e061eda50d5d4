//===- textoutput.h - Output for people -------------------------*- C++ -*-===//
//
// Shows JSON values as indented fields and tables. Works for any shape, so
// that a field that a process adds later is shown without a change here.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_TEXTOUTPUT_H
#define GERANIUMBAY_CLI_INTERNAL_TEXTOUTPUT_H

#include <json/value.h>
#include <ostream>
#include <string>
#include <string_view>

namespace geraniumbay::cli {

/// Returns \p Text without control characters, which could drive a terminal.
std::string terminalSafe(std::string_view Text);

/// Shows \p Value, an object, with one field a line. A list of objects becomes
/// a table.
void printForPeople(const Json::Value &Value, std::ostream &Out);

/// Shows \p Value as one line of JSON, or else for people.
void printValue(const Json::Value &Value, bool AsJson, std::ostream &Out);

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_INTERNAL_TEXTOUTPUT_H
