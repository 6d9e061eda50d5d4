//===- datafolder.h - The files of a process --------------------*- C++ -*-===//
//
// Opens the folder of each role under the process's one data folder.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_DATAFOLDER_H
#define GERANIUMBAY_APP_INTERNAL_DATAFOLDER_H

#include "framework/net/eventloop.h"
#include "framework/storage/istorage.h"

#include <memory>

namespace geraniumbay::app {

/// Opens the folder \p Name under \p DataFolder, which is created if it is
/// missing. Syncs complete on \p Loop.
RetVal<std::shared_ptr<IStorage>> openRoleFolder(EventLoop &Loop,
                                                 const std::string &DataFolder,
                                                 const std::string &Name);

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_DATAFOLDER_H
