//===- iconfigsource.h - The configuration in force -------------*- C++ -*-===//
//
// How every process learns the configuration and the ledger views.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_ICONFIGSOURCE_H
#define GERANIUMBAY_CONTROL_ICONFIGSOURCE_H

#include "control/configtypes.h"

#include <functional>

namespace geraniumbay::control {

/// The newest configuration that this process knows. Neither its version nor
/// the number of a ledger view ever goes down.
class IConfigSource {
public:
  using Subscriber = std::function<void(const ConfigSnapshot &)>;
  using Confirmation = std::function<void()>;

  virtual ~IConfigSource() = default;

  /// What is in force now; version 0 if nothing is known yet.
  virtual const ConfigSnapshot &current() const = 0;
  /// Calls \p Run after each change, for the life of the source.
  virtual void subscribe(Subscriber Run) = 0;
  /// Calls \p Run each time that a control VM in touch with a majority has
  /// said that current() is the newest; after the subscribers if it was not.
  virtual void onConfirmed(Confirmation Run) = 0;
  /// Asks control at once rather than at the next poll.
  virtual void refresh() = 0;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_ICONFIGSOURCE_H
