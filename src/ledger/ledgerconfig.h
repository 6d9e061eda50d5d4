//===- ledgerconfig.h - Settings of a ledger process ------------*- C++ -*-===//
//
// The figures that a ledger works by, with their defaults.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_LEDGERCONFIG_H
#define GERANIUMBAY_LEDGER_LEDGERCONFIG_H

#include "framework/clock/iclock.h"
#include "framework/types/strongid.h"

namespace geraniumbay::ledger {

/// Settings of one ledger process.
struct LedgerConfig {
  DataCentreId DataCentre;
  VmId Vm;
  /// How long answers are kept, and callers' own keys refused after a loss.
  Duration Retention{std::chrono::hours(24)};
  /// A holder that has not renewed for this long counts as dead.
  Duration HolderLease{std::chrono::seconds(10)};
  /// A reply whose record is not on all members by then is "unknown".
  Duration CommitTimeout{std::chrono::seconds(2)};
  /// New claims are refused while a member has been silent for this long.
  Duration StallAfter{std::chrono::seconds(1)};
  /// The primary asks to remove a member that has been silent for this long.
  Duration RemoveAfter{std::chrono::seconds(2)};
  /// A member asks to be the primary if the primary has been silent for this
  /// long. Longer than RemoveAfter, so that a primary that lives wins.
  Duration PromoteAfter{std::chrono::seconds(4)};
  /// Callers' own keys are refused if control has not confirmed the view for
  /// this long: shorter than Retention, after which a ledger that replaced this
  /// one would take them again.
  Duration ControlSilence{std::chrono::hours(12)};
  Duration Tick{std::chrono::milliseconds(100)};
  Duration Heartbeat{std::chrono::milliseconds(500)};
  /// How often a proposal to control is repeated.
  Duration ProposeEvery{std::chrono::seconds(1)};
  Duration RpcTimeout{std::chrono::seconds(1)};
  /// A pause of the loop that is longer than this is no silence of others.
  Duration LongPause{std::chrono::seconds(1)};
  /// A segment of the log is closed when it has this many bytes.
  std::uint64_t SegmentSize = std::uint64_t{1} << 20U;
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_LEDGERCONFIG_H
