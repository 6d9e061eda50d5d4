//===- sectionindex.h - The sections of a document by title -----*- C++ -*-===//
//
// Finds the place of a section or key again once it was read, for checks that
// look at several sections, and reports sections that stand twice.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_INTERNAL_SECTIONINDEX_H
#define GERANIUMBAY_INVENTORY_INTERNAL_SECTIONINDEX_H

#include "inventory/internal/inifile.h"
#include "inventory/internal/problemlist.h"

#include <map>
#include <string>
#include <vector>

namespace geraniumbay::inventory {

/// Sections by title. Invariant: no title stands twice.
class SectionIndex {
public:
  /// Takes over \p Sections; one that stands twice is reported and dropped.
  SectionIndex(std::vector<IniSection> &&Sections, ProblemList &Found);

  const std::map<std::string, IniSection> &sections() const {
    return Sections_;
  }
  /// Whether the section \p Title has \p Key.
  bool hasKey(const std::string &Title, const std::string &Key) const;
  /// Returns \p Message at the place of \p Key in the section \p Title: the
  /// key's line, or else the section's, or else none.
  Problem problem(const std::string &Title, const std::string &Key,
                  std::string Message) const;

private:
  std::map<std::string, IniSection> Sections_;
};

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_INTERNAL_SECTIONINDEX_H
