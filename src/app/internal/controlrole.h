//===- controlrole.h - A process that is a control VM -----------*- C++ -*-===//
//
// Sets up a member of the control group and gives a new group its first
// document.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_CONTROLROLE_H
#define GERANIUMBAY_APP_INTERNAL_CONTROLROLE_H

#include "app/internal/baseservices.h"

namespace geraniumbay::app {

/// Registers and starts the control VM of this process.
Ret setUpControlRole(Registry &Services, BaseServices &Base,
                     const inventory::ProcessSettings &Settings);

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_CONTROLROLE_H
