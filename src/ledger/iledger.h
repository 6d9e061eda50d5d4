//===- iledger.h - A ledger process as others see it ------------*- C++ -*-===//
//
// What the rest of the process says to its own ledger and asks of it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_ILEDGER_H
#define GERANIUMBAY_LEDGER_ILEDGER_H

#include "framework/errors/error.h"
#include "ledger/ledgerview.h"

namespace geraniumbay::ledger {

/// The state of a ledger, for status and metrics.
struct LedgerStatus {
  LedgerMember Self;
  ViewNumber View;
  Epoch Current;
  bool IsPrimary = false;
  bool IsMember = false;
  /// The disk has failed; the ledger serves nothing until it has written its
  /// state anew.
  bool Failed = false;
  /// Some member is silent; new claims are refused.
  bool Stalled = false;
  std::uint64_t LastIndex = 0;
  std::uint64_t CommittedIndex = 0;
  std::uint64_t Submissions = 0;
  std::uint64_t Records = 0;
  std::uint64_t Syncs = 0;
};

/// The ledger of this process.
class ILedger {
public:
  virtual ~ILedger() = default;

  /// Reads the disk and begins to take part. Fails with Io, and then tries
  /// again by itself until the disk can be used.
  virtual Ret start() = 0;
  /// Takes a view of the own data centre. To be called whenever control has
  /// confirmed the view, also if it has not changed: a ledger that control has
  /// not confirmed for long refuses callers' own keys.
  virtual void applyView(const LedgerView &View) = 0;
  virtual LedgerStatus status() = 0;
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_ILEDGER_H
