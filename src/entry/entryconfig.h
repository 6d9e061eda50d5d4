//===- entryconfig.h - The configuration as entries use it ------*- C++ -*-===//
//
// The part of inventory and rules that decides about a request.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_ENTRYCONFIG_H
#define GERANIUMBAY_ENTRY_ENTRYCONFIG_H

#include "framework/types/strongid.h"
#include "inventory/document.h"

#include <memory>

namespace geraniumbay::entry {

/// The configuration in force at this entry.
struct EntryConfig {
  /// Zero before any configuration was received; Document is null then.
  ConfigVersion Version;
  std::shared_ptr<const inventory::Document> Document;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_ENTRYCONFIG_H
