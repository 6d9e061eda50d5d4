//===- document.h - The operators' configuration document -------*- C++ -*-===//
//
// Reads inventory and rules from INI text. Operators may keep them in one file
// or in several; the system stores and distributes one joined text.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_DOCUMENT_H
#define GERANIUMBAY_INVENTORY_DOCUMENT_H

#include "inventory/inventory.h"
#include "inventory/problem.h"
#include "inventory/rules.h"

#include <string>
#include <string_view>
#include <vector>

namespace geraniumbay::inventory {

/// Inventory and rules, checked against each other.
struct Document {
  Inventory Inv;
  Rules Rule;

  bool operator==(const Document &) const = default;
};

/// A text and the name under which its problems are reported.
struct SourceText {
  std::string File;
  std::string Text;
};

/// The longest document that is read; control stores no longer one.
constexpr std::size_t MaxDocumentBytes = 2U << 20U;

/// Reads \p Text, reporting problems under \p File.
Checked<Document> parseDocument(std::string_view Text, const std::string &File);

/// Reads several files as one document. A section may stand in one of them
/// only.
Checked<Document> parseDocument(const std::vector<SourceText> &Sources);

/// Joins several files to the one text that the system stores. It reads back
/// as the same document.
std::string joinSources(const std::vector<SourceText> &Sources);

/// Writes \p Doc as text that reads back as the same document.
std::string writeDocument(const Document &Doc);

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_DOCUMENT_H
