//===- machine.h - The replicated state machine -----------------*- C++ -*-===//
//
// The state that every member of the control group derives from the committed
// log: the configuration with the operations it remembers, and the ledger
// views. apply() is deterministic: no clock, no randomness, no validation of
// documents (the leader validates before it proposes).
//
// Ledger views follow PacificA: a view changes only by compare-and-set on its
// number, and a claim needs every member of the view. A member that asks for
// Promote has refused its primary first, so the old view cannot commit any
// more, whichever of two racing changes wins here.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_INTERNAL_MACHINE_H
#define GERANIUMBAY_CONTROL_INTERNAL_MACHINE_H

#include "control/configtypes.h"

#include <deque>
#include <map>

namespace geraniumbay::control {

/// How many operations are remembered with their answers. A resend that is
/// older has a base below the version in force, so it is told Conflict and is
/// never applied a second time.
constexpr std::size_t MaxRememberedOperations = 1024;
/// How many accepted changes the history shows.
constexpr std::size_t MaxHistory = 256;

/// An operation that was applied, with its first answer.
struct RememberedOperation {
  /// Of base and document, to tell a resend from a different change.
  std::uint64_t Digest = 0;
  ConfigAnswer Answer;

  bool operator==(const RememberedOperation &) const = default;
};

/// The whole replicated state.
struct MachineState {
  ConfigVersion Version;
  std::string Document;
  Revision Seen;
  std::map<OperationId, RememberedOperation> Operations;
  /// Invariant: the keys of Operations, oldest first.
  std::deque<OperationId> OperationOrder;
  std::deque<ChangeRecord> History;
  LedgerViews Ledgers;
  /// In snapshots: the state of the module that shares the log (see
  /// IReplicatedState); empty elsewhere.
  std::string ModuleState;

  bool operator==(const MachineState &) const = default;
};

/// Returns a digest of \p Change that is the same on every machine.
std::uint64_t digestOf(const ConfigChange &Change);

/// Returns the first answer to the operation of \p Change if it is remembered.
std::optional<ConfigAnswer> rememberedAnswer(const MachineState &State,
                                             const ConfigChange &Change);

/// Applies a committed change and returns its answer.
ConfigAnswer apply(MachineState &State, const ConfigChange &Change);
LedgerAnswer apply(MachineState &State, const LedgerChange &Change);

/// Returns what watchers see of \p State.
ConfigSnapshot viewOf(const MachineState &State);

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_INTERNAL_MACHINE_H
