//===- ledgerclientconfig.h - Settings of the way to ledgers ----*- C++ -*-===//
//
// The figures that an entry's client of the ledgers works by.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_LEDGERCLIENTCONFIG_H
#define GERANIUMBAY_LEDGER_LEDGERCLIENTCONFIG_H

#include "framework/clock/iclock.h"

namespace geraniumbay::ledger {

/// Settings of a ledger client.
struct LedgerClientConfig {
  /// How often an entry with claims says that it lives: several times in a
  /// holder's lease.
  Duration RenewEvery{std::chrono::seconds(2)};
  Duration RpcTimeout{std::chrono::milliseconds(2500)};
  /// How long one call waits at the ledger for another's answer; the client
  /// calls again until its caller's deadline.
  Duration WaitAtLedger{std::chrono::seconds(2)};
  /// A call that is to be answered by a deadline is not begun again when less
  /// than this is left, so that a certain outcome stays certain.
  Duration ReplyMargin{std::chrono::milliseconds(200)};
  /// The pauses between tries grow from the first to the last.
  Duration FirstPause{std::chrono::milliseconds(20)};
  Duration LastPause{std::chrono::milliseconds(500)};
  /// How long an answer or release is tried after its caller has been told
  /// that the outcome is unknown.
  Duration KeepTrying{std::chrono::minutes(10)};
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_LEDGERCLIENTCONFIG_H
