//===- entrysetup.h - Sets the entry module up ------------------*- C++ -*-===//
//
// Registers the entry's service and resolves what it needs by name.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_ENTRYSETUP_H
#define GERANIUMBAY_ENTRY_ENTRYSETUP_H

#include "entry/ientry.h"
#include "framework/kernel/registry.h"

namespace geraniumbay::entry {

namespace service_name {
constexpr const char *Entry = "entry"; ///< IEntry
} // namespace service_name

/// Registers IEntry. Needs the framework's services, the membership, dispatch's
/// PoolClient and the ledger's client.
void setupEntry(Registry &Services, const VmId &Self,
                const DataCentreId &Local);

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_ENTRYSETUP_H
