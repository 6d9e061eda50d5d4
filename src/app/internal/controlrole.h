//===- controlrole.h - A process that is a control VM -----------*- C++ -*-===//
//
// Sets up a member of the control group and gives a new group its first
// document.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_CONTROLROLE_H
#define GERANIUMBAY_APP_INTERNAL_CONTROLROLE_H

#include "app/internal/baseservices.h"
#include "control/iconfigsource.h"
#include "control/icontrolclient.h"

namespace geraniumbay::app {

/// Registers and starts the control VM of this process.
Ret setUpControlRole(Registry &Services, BaseServices &Base,
                     const inventory::ProcessSettings &Settings);

/// Proposes the first document of a new system until a configuration is there.
class Bootstrap {
public:
  /// All arguments outlive the object. \p Document may be empty: then this
  /// process never founds a system.
  Bootstrap(const control::IConfigSource &Source,
            control::IControlClient &Control, ITimers &Timers,
            std::string Document)
      : Source_(Source), Control_(Control), Timers_(Timers),
        Document_(std::move(Document)) {}

  /// Proposes now and again until it is done.
  void run();

private:
  const control::IConfigSource &Source_;
  control::IControlClient &Control_;
  ITimers &Timers_;
  const std::string Document_;
};

/// Reads the bootstrap documents of \p Settings as one; empty if there are
/// none.
RetVal<std::string>
readBootstrapDocument(const inventory::ProcessSettings &Settings);

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_CONTROLROLE_H
