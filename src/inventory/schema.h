//===- schema.h - Every key that the readers know ---------------*- C++ -*-===//
//
// Lists the keys of documents and settings, for the page of the keys and for
// programs that write these files.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_SCHEMA_H
#define GERANIUMBAY_INVENTORY_SCHEMA_H

#include <string>
#include <vector>

namespace geraniumbay::inventory {

/// One key of a section.
struct KeyInfo {
  /// "kind", or "kind NAME" if there is one section for each name.
  std::string Section;
  std::string Key;
  /// What may be written.
  std::string Allowed;
  /// What holds if the key is missing; "required" if it must be there.
  std::string Default;
};

/// The keys of the operators' document, in the order of the page.
std::vector<KeyInfo> documentKeys();

/// The keys of a process's settings, in the order of the page.
std::vector<KeyInfo> settingsKeys();

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_SCHEMA_H
