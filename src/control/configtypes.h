//===- configtypes.h - What the control group decides -----------*- C++ -*-===//
//
// Plain types of the replicated state that other modules see: the
// configuration, its changes and the ledger views of the data centres.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_CONFIGTYPES_H
#define GERANIUMBAY_CONTROL_CONFIGTYPES_H

#include "framework/clock/iclock.h"
#include "framework/errors/error.h"
#include "framework/types/strongid.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::control {

/// The id that an operator gives to a change, so that a resend is recognised.
using OperationId = StrongId<struct OperationTag, std::string>;
/// Counts the views of one data centre's ledger; each change adds one.
using ViewNumber = StrongId<struct ControlViewNumberTag, std::uint64_t>;
/// The id that a ledger writes on a fresh disk. A lost disk means a new one.
using DiskId = StrongId<struct ControlDiskTag, std::uint64_t>;
/// Counts the changes that watchers can see (configuration or ledger views).
using Revision = StrongId<struct RevisionTag, std::uint64_t>;
/// A term of leadership of the control group; a later one has a higher number.
using Term = StrongId<struct TermTag, std::uint64_t>;

/// A ledger process together with the disk that holds its records.
struct LedgerMember {
  VmId Vm;
  DiskId Disk;

  auto operator<=>(const LedgerMember &) const = default; // NOLINT
  bool operator==(const LedgerMember &) const = default;
};

/// Who holds the ledger of one data centre.
struct LedgerView {
  ViewNumber Number;
  Epoch LedgerEpoch;
  VmId Primary;
  /// Invariant: sorted, never empty, one member for a VM, holds the primary.
  std::vector<LedgerMember> Members;
  /// Members whose VM has reported a new disk since this view began, sorted.
  /// Invariant: a proper subset of Members.
  std::vector<LedgerMember> Lost;
  /// Callers' own idempotency keys are refused until this wall time.
  WallMillis KeysRefusedUntil = 0;

  bool operator==(const LedgerView &) const = default;
};

using LedgerViews = std::map<DataCentreId, LedgerView>;

/// A change of the configuration (inventory and rules, as one text).
struct ConfigChange {
  OperationId Operation;
  /// The version that the document was edited from.
  ConfigVersion Base;
  std::string Document;

  bool operator==(const ConfigChange &) const = default;
};

/// What a change of a ledger view does.
enum class LedgerAction {
  Open,    ///< By the first member: makes the first view. Base is 0.
  Remove,  ///< By the primary: removes Subject, which is silent.
  Add,     ///< By the primary: adds Subject, which has caught up.
  Promote, ///< By a member that is in sync: makes itself the primary and drops
           ///< the old one. It must refuse the old primary before it asks.
  ReportLost, ///< By a VM of the view with a new disk. Once all members are
              ///< lost, it opens a higher epoch with the reporter alone.
};

/// A change of one data centre's ledger view.
struct LedgerChange {
  DataCentreId DataCentre;
  /// The change applies only while the view has this number.
  ViewNumber Base;
  LedgerAction Action = LedgerAction::Open;
  /// Who asks.
  LedgerMember By;
  /// Whom Remove and Add are about.
  LedgerMember Subject;
  /// What KeysRefusedUntil becomes if a new epoch is opened: the wall time of
  /// the asking plus the retention of keys.
  WallMillis RefuseKeysUntil = 0;

  bool operator==(const LedgerChange &) const = default;
};

/// The answer to a change of the configuration that was committed.
struct ConfigAnswer {
  /// None, or Conflict (another change won) or InvalidArgument (the operation
  /// id was used for a different change).
  std::optional<ErrorCode> Failure;
  /// The version the change made, or the version in force if it failed.
  ConfigVersion Version;

  bool operator==(const ConfigAnswer &) const = default;
};

/// The answer to a change of a ledger view that control has decided on.
struct LedgerAnswer {
  /// None, or Conflict (the view has moved on) or Refused (not allowed in it).
  std::optional<ErrorCode> Failure;
  /// The view in force after the change; empty if there is none.
  std::optional<LedgerView> View;

  bool operator==(const LedgerAnswer &) const = default;
};

/// The configuration and ledger views as one process knows them.
struct ConfigSnapshot {
  /// 0 while no configuration is known.
  ConfigVersion Version;
  std::string Document;
  Revision Seen;
  LedgerViews Ledgers;

  bool operator==(const ConfigSnapshot &) const = default;
};

/// One accepted change, as the history shows it.
struct ChangeRecord {
  ConfigVersion Version;
  OperationId Operation;

  bool operator==(const ChangeRecord &) const = default;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_CONFIGTYPES_H
