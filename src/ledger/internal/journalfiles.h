//===- journalfiles.h - Names of the journal's files ------------*- C++ -*-===//
//
// The names that journal.cpp and journalrecovery.cpp share.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_JOURNALFILES_H
#define GERANIUMBAY_LEDGER_INTERNAL_JOURNALFILES_H

namespace geraniumbay::ledger {

constexpr const char *MetaFile = "meta";
constexpr const char *SegmentPrefix = "log-";
/// Width of the numbers in names, so that names sort as the numbers do.
constexpr int NumberWidth = 20;

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_JOURNALFILES_H
