//===- ireplicatedstate.h - State of a module on the log --------*- C++ -*-===//
//
// What another module implements to have its state replicated by the control
// group: a deterministic state machine over opaque batches of changes.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_IREPLICATEDSTATE_H
#define GERANIUMBAY_CONTROL_IREPLICATEDSTATE_H

#include "framework/errors/error.h"

#include <string>

namespace geraniumbay::control {

/// A state machine that every member of the group runs. It uses no clock and
/// no randomness: the same batches give the same state everywhere.
class IReplicatedState {
public:
  virtual ~IReplicatedState() = default;

  /// Applies a committed batch. A batch that does not parse changes nothing.
  virtual void apply(const std::string &Batch) = 0;
  /// Returns the whole state as valid UTF-8.
  virtual std::string snapshot() const = 0;
  /// Replaces the state by one that snapshot() returned; empty is the first
  /// state. Fails with Corrupt, and changes nothing, if it does not parse.
  virtual Ret restore(const std::string &Snapshot) = 0;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_IREPLICATEDSTATE_H
