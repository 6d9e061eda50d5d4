//===- watchtable.h - Who has which version in force ------------*- C++ -*-===//
//
// The records behind `status`: what each process said when it last asked this
// control VM, and the merging of the reports of several control VMs. Times are
// sent as ages, so clocks need not agree.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_WATCHTABLE_H
#define GERANIUMBAY_CONTROL_INTERNAL_WATCHTABLE_H

#include "control/controlstatus.h"

#include <map>

namespace geraniumbay::control {

/// The longest silent process is forgotten beyond this many.
constexpr std::size_t MaxWatchers = 20000;

struct WatchRecord {
  Incarnation Start;
  ConfigVersion InForce;
  Time LastSeen;
};

struct WatchTable {
  std::map<Watcher, WatchRecord> Records;
};

/// Notes that \p Who asked. Returns false, and notes nothing, if a later start
/// of the same process has been heard.
bool noteWatch(WatchTable &Table, const Watcher &Who, Incarnation Start,
               ConfigVersion InForce, Time Now);

std::vector<WatcherStatus> report(const WatchTable &Table, Time Now);

/// Takes the reports of another control VM into \p Into: of two of one process
/// the later start counts, then the later sight.
void mergeWatchers(std::vector<WatcherStatus> &Into,
                   const std::vector<WatcherStatus> &Other);

/// Adds the VMs of \p Expected of which no process was heard, watched for
/// \p Uptime.
void addNeverSeen(std::vector<WatcherStatus> &Into,
                  const std::vector<VmId> &Expected, Duration Uptime);

/// Whether the ledger process of \p Vm was heard within \p Within.
bool ledgerSeen(const std::vector<WatcherStatus> &Reports, const VmId &Vm,
                Duration Within);

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_WATCHTABLE_H
