//===- textoutput.cpp - Output for people ---------------------------------===//
//
// Fields, nested fields and tables.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/textoutput.h"

#include "framework/json/json.h"

#include <algorithm>
#include <vector>

namespace geraniumbay::cli {
namespace {

constexpr std::size_t Step = 2;

bool isTable(const Json::Value &Value) {
  return Value.isArray() && !Value.empty() &&
         std::all_of(Value.begin(), Value.end(),
                     [](const Json::Value &Row) { return Row.isObject(); });
}

/// Shows a value in one place: a word, or words between commas.
std::string cell(const Json::Value &Value) {
  if (Value.isNull())
    return "-";
  if (Value.isBool())
    return Value.asBool() ? "yes" : "no";
  if (Value.isString())
    return terminalSafe(Value.asString());
  if (Value.isNumeric())
    return terminalSafe(Value.asString());
  if (Value.empty())
    return "none";
  std::string Result;
  for (auto Item = Value.begin(); Item != Value.end(); ++Item) {
    Result += Result.empty() ? "" : ", ";
    if (Value.isObject())
      Result += terminalSafe(Item.name()) + "=";
    Result += cell(*Item);
  }
  return Result;
}

/// Whether a column says what its row is about; such columns come first.
bool isSubject(const std::string &Name) {
  return Name == "vm" || Name == "data_centre" || Name == "worker";
}

/// Returns the fields of all rows, each once: first what the rows are about,
/// then the others in order of their names.
std::vector<std::string> columns(const Json::Value &Rows) {
  std::vector<std::string> Result;
  for (const Json::Value &Row : Rows)
    for (const std::string &Name : Row.getMemberNames())
      if (std::find(Result.begin(), Result.end(), Name) == Result.end())
        Result.push_back(Name);
  std::sort(Result.begin(), Result.end());
  std::stable_partition(Result.begin(), Result.end(), isSubject);
  return Result;
}

using TextRow = std::vector<std::string>;

void printRows(const std::vector<TextRow> &Rows, std::size_t Indent,
               std::ostream &Out) {
  std::vector<std::size_t> Widths(Rows.front().size(), 0);
  for (const TextRow &Row : Rows)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  for (const TextRow &Row : Rows) {
    std::string Line(Indent, ' ');
    for (std::size_t I = 0; I < Row.size(); ++I)
      Line += Row[I] + std::string(Widths[I] - Row[I].size() + Step, ' ');
    Out << Line.substr(0, Line.find_last_not_of(' ') + 1) << "\n";
  }
}

void printTable(const Json::Value &Rows, std::size_t Indent,
                std::ostream &Out) {
  std::vector<std::string> Names = columns(Rows);
  std::vector<TextRow> Text(1);
  for (const std::string &Name : Names)
    Text.front().push_back(terminalSafe(Name));
  for (const Json::Value &Row : Rows) {
    TextRow Cells;
    for (const std::string &Name : Names)
      Cells.push_back(cell(Row[Name]));
    Text.push_back(std::move(Cells));
  }
  printRows(Text, Indent, Out);
}

void printFields(const Json::Value &Object, std::size_t Indent,
                 std::ostream &Out) {
  const std::string Margin(Indent, ' ');
  for (const std::string &Name : Object.getMemberNames()) {
    const Json::Value &Value = Object[Name];
    Out << Margin << terminalSafe(Name) << ":";
    if (isTable(Value)) {
      Out << "\n";
      printTable(Value, Indent + Step, Out);
    } else if (Value.isObject() && !Value.empty()) {
      Out << "\n";
      printFields(Value, Indent + Step, Out);
    } else {
      Out << " " << cell(Value) << "\n";
    }
  }
}

} // namespace

std::string terminalSafe(std::string_view Text) {
  std::string Result;
  for (char C : Text) {
    auto Byte = static_cast<unsigned char>(C);
    Result += Byte < ' ' || Byte == 0x7f ? '?' : C;
  }
  return Result;
}

void printForPeople(const Json::Value &Value, std::ostream &Out) {
  if (Value.isObject())
    printFields(Value, 0, Out);
  else
    Out << cell(Value) << "\n";
}

void printValue(const Json::Value &Value, bool AsJson, std::ostream &Out) {
  if (AsJson)
    Out << json::write(Value) << "\n";
  else
    printForPeople(Value, Out);
}

} // namespace geraniumbay::cli
