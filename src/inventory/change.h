//===- change.h - Is it safe to go from one document to the next -*- C++
//-*-===//
//
// Compares two versions of the configuration and refuses steps that could lose
// claims, start a submission twice or stop the agreement. Each refusal says how
// to get there in safe steps.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_CHANGE_H
#define GERANIUMBAY_INVENTORY_CHANGE_H

#include "inventory/document.h"

#include <map>

namespace geraniumbay::inventory {

/// What the documents alone do not show. What is missing counts as zero, so
/// without facts nothing that was closed is taken for empty.
struct ChangeFacts {
  /// For how long the version in force and those before it had it closed.
  std::map<DataCentreId, Duration> DataCentresClosedFor;
  std::map<CallerId, Duration> CallersClosedFor;
};

/// Returns why going from \p Old to \p New at once is dangerous; empty if it
/// is safe.
Problems checkChange(const Document &Old, const Document &New,
                     const ChangeFacts &Facts = {});

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_CHANGE_H
