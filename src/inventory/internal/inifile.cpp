//===- inifile.cpp - Reading INI with exact places ------------------------===//
//
// The line source and the key handler that libinih calls in turn: it asks for
// one line, and calls the handler at once if that line is a key.
//
//===----------------------------------------------------------------------===//

#include "inventory/internal/inifile.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <ini.h>
#include <sstream>
#include <string_view>

namespace geraniumbay::inventory {
namespace {

/// libinih cuts a section name beyond this length.
constexpr std::size_t MaxHeaderLength = 49;
/// Room that libinih wants after a line: CR, LF and the final NUL.
constexpr std::size_t LineEndRoom = 3;

bool isSpace(char C) {
  return std::isspace(static_cast<unsigned char>(C)) != 0;
}

std::string_view trim(std::string_view Text) {
  while (!Text.empty() && isSpace(Text.front()))
    Text.remove_prefix(1);
  while (!Text.empty() && isSpace(Text.back()))
    Text.remove_suffix(1);
  return Text;
}

bool isComment(std::string_view Trimmed) {
  return Trimmed.starts_with(';') || Trimmed.starts_with('#');
}

/// Feeds one text to libinih and gathers what it reads.
class Reader {
public:
  Reader(const SourceText &Source, ProblemList &Found)
      : File_(Source.File), Rest_(Source.Text), Found_(Found) {
    if (constexpr std::string_view Bom = "\xEF\xBB\xBF"; Rest_.starts_with(Bom))
      Rest_.remove_prefix(Bom.size());
  }

  /// Writes the next line to \p Buffer; a line that libinih must not see
  /// becomes an empty one. Returns false at the end.
  bool nextLine(char *Buffer, std::size_t Size);
  /// Takes the key of the current line.
  void takeKey(const std::string &Key, const char *Value);
  /// Reports the last line if it was not understood.
  void finishLine();
  std::vector<IniSection> takeSections() { return std::move(Sections_); }

private:
  std::string_view cutLine();
  /// Whether \p Line may be handed on; notices headers.
  bool accept(std::string_view Line);
  void openSection(std::string_view Header);
  void report(std::string Key, std::string Message) {
    Found_.add({File_, Line_, std::move(Key), std::move(Message)});
  }

  const std::string &File_;
  /// What was not handed on yet.
  std::string_view Rest_;
  ProblemList &Found_;
  std::vector<IniSection> Sections_;
  /// The line handed on last, counted from 1.
  unsigned Line_ = 0;
  /// The current line must be a key, and none was taken from it yet.
  bool WantsKey_ = false;
  /// Keys belong to Sections_.back(); false before the first header and after
  /// a broken one.
  bool InSection_ = false;
  /// A broken header was seen last: its keys are not worth a report.
  bool AfterBrokenHeader_ = false;
};

std::string_view Reader::cutLine() {
  std::size_t End = Rest_.find('\n');
  std::string_view Line = Rest_.substr(0, End);
  Rest_.remove_prefix(End == std::string_view::npos ? Rest_.size() : End + 1);
  return Line;
}

bool Reader::nextLine(char *Buffer, std::size_t Size) {
  finishLine();
  if (Rest_.empty())
    return false;
  std::string_view Line = cutLine();
  ++Line_;
  if (!accept(Line) || Line.size() + LineEndRoom > Size)
    Line = {};
  std::memcpy(Buffer, Line.data(), Line.size());
  std::memcpy(Buffer + Line.size(), "\n", 2);
  return true;
}

bool Reader::accept(std::string_view Line) {
  if (Line.size() > MaxLineLength) {
    report("", "line too long; allowed: at most " +
                   std::to_string(MaxLineLength) + " characters");
    return false;
  }
  if (Line.find('\0') != std::string_view::npos) {
    report("", "NUL character; allowed: plain text");
    return false;
  }
  std::string_view Trimmed = trim(Line);
  if (Trimmed.empty() || isComment(Trimmed))
    return false;
  if (Trimmed.starts_with('[')) {
    openSection(Trimmed);
    return false;
  }
  WantsKey_ = true;
  return true;
}

void Reader::openSection(std::string_view Header) {
  InSection_ = false;
  AfterBrokenHeader_ = true;
  std::size_t End = Header.find(']');
  if (End == std::string_view::npos) {
    report("", "section header without ]; allowed: [kind] or [kind name]");
    return;
  }
  std::string_view After = trim(Header.substr(End + 1));
  if (!After.empty() && !isComment(After)) {
    report("", "text after the section header; allowed: a comment");
    return;
  }
  std::string_view Inner = Header.substr(1, End - 1);
  std::istringstream Words{std::string(Inner)};
  IniSection Section{File_, Line_, "", "", {}};
  std::string Extra;
  Words >> Section.Kind >> Section.Name >> Extra;
  if (Section.Kind.empty() || !Extra.empty() ||
      Inner.size() > MaxHeaderLength) {
    report("", "section header " + quoted(Inner) +
                   "; allowed: [kind] or [kind name] of at most " +
                   std::to_string(MaxHeaderLength) + " characters");
    return;
  }
  Sections_.push_back(std::move(Section));
  InSection_ = true;
  AfterBrokenHeader_ = false;
}

void Reader::takeKey(const std::string &Key, const char *Value) {
  WantsKey_ = false;
  if (AfterBrokenHeader_)
    return;
  if (!InSection_) {
    report(printable(Key),
           "key before the first section; allowed: keys in a section");
    return;
  }
  IniSection &Section = Sections_.back();
  auto [Place, Fresh] = Section.Entries.emplace(Key, IniEntry{Value, Line_});
  if (!Fresh)
    report(Section.title() + "." + printable(Key),
           "double key; it already stands in line " +
               std::to_string(Place->second.Line));
}

void Reader::finishLine() {
  if (WantsKey_)
    report("", "neither a section nor a key; allowed: key = value");
  WantsKey_ = false;
}

extern "C" char *readLine(char *Buffer, int Size, void *Stream) {
  auto *From = static_cast<Reader *>(Stream);
  return From->nextLine(Buffer, static_cast<std::size_t>(Size)) ? Buffer
                                                                : nullptr;
}

extern "C" int handleKey(void *User, const char *, const char *Key,
                         const char *Value) {
  static_cast<Reader *>(User)->takeKey(Key, Value);
  return 1;
}

/// Sets the switches of libinih, which are global. Everything runs on one
/// thread, and nothing else in the program uses the library.
void configureLibrary() {
  ini_allow_multiline = false;
  ini_allow_inline_comments = true;
  ini_allow_no_value = false;
  ini_stop_on_first_error = false;
  ini_use_stack = false;
  ini_allow_realloc = false;
  ini_initial_alloc = static_cast<int>(MaxLineLength + LineEndRoom);
}

} // namespace

std::vector<IniSection> readIni(const SourceText &Source, ProblemList &Found) {
  Found.beginFile(Source.File);
  Reader From(Source, Found);
  configureLibrary();
  ini_parse_stream(readLine, &From, handleKey, &From);
  From.finishLine();
  return From.takeSections();
}

} // namespace geraniumbay::inventory
