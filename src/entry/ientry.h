//===- ientry.h - The entry role of a process -------------------*- C++ -*-===//
//
// What the rest of the process does with its entry.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_IENTRY_H
#define GERANIUMBAY_ENTRY_IENTRY_H

#include "entry/entryconfig.h"

#include <cstddef>

namespace geraniumbay::entry {

/// The entry role of this process.
class IEntry {
public:
  virtual ~IEntry() = default;

  /// Puts a configuration in force; never one of a lower version than before.
  virtual void setConfig(EntryConfig Config) = 0;
  /// Takes no new submissions from now on; those under way go on.
  virtual void drain() = 0;
  /// How many submissions have no answer yet.
  virtual std::size_t running() const = 0;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_IENTRY_H
