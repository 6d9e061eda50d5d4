//===- documentchecks.h - Checks across sections ----------------*- C++ -*-===//
//
// What no single section shows: names that nobody defines, addresses given
// twice, roles without what they need.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_INTERNAL_DOCUMENTCHECKS_H
#define GERANIUMBAY_INVENTORY_INTERNAL_DOCUMENTCHECKS_H

#include "inventory/document.h"
#include "inventory/internal/sectionindex.h"

namespace geraniumbay::inventory {

/// Adds to \p Found all that is wrong between the sections of \p Doc.
void checkDocument(const Document &Doc, const SectionIndex &Index,
                   ProblemList &Found);

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_INTERNAL_DOCUMENTCHECKS_H
