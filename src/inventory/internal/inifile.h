//===- inifile.h - Reading INI with exact places ----------------*- C++ -*-===//
//
// Reads INI text with libinih and keeps the line of every section and key.
// Debian builds libinih without INI_HANDLER_LINENO and without a call for an
// empty section, cuts long lines and section names silently and lets a key
// stand twice; the line source that feeds it here counts lines, notices
// section headers and reports all of these.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_INTERNAL_INIFILE_H
#define GERANIUMBAY_INVENTORY_INTERNAL_INIFILE_H

#include "inventory/document.h"
#include "inventory/internal/problemlist.h"

#include <map>
#include <string>
#include <vector>

namespace geraniumbay::inventory {

/// The longest line, without its end.
constexpr std::size_t MaxLineLength = 16U << 10U;

/// The value of a key and its line.
struct IniEntry {
  std::string Value;
  unsigned Line = 0;
};

/// A section: "[kind]" or "[kind name]".
struct IniSection {
  std::string File;
  unsigned Line = 0;
  std::string Kind;
  /// Empty if the header has one word.
  std::string Name;
  std::map<std::string, IniEntry> Entries;

  /// "kind" or "kind name".
  std::string title() const { return Name.empty() ? Kind : Kind + " " + Name; }
};

/// Reads \p Source and adds what is not INI, and double keys, to \p Found.
/// Sections whose header is broken are left out.
std::vector<IniSection> readIni(const SourceText &Source, ProblemList &Found);

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_INTERNAL_INIFILE_H
