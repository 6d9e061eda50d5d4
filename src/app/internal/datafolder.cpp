//===- datafolder.cpp - The files of a process ----------------------------===//
//
// One folder for each role.
//
//===----------------------------------------------------------------------===//

#include "app/internal/datafolder.h"

#include "framework/storage/filestorage.h"

#include <filesystem>

namespace geraniumbay::app {

RetVal<std::shared_ptr<IStorage>> openRoleFolder(EventLoop &Loop,
                                                 const std::string &DataFolder,
                                                 const std::string &Name) {
  std::error_code Failure;
  std::filesystem::create_directories(DataFolder, Failure);
  if (Failure)
    return fail(ErrorCode::Io, DataFolder + ": " + Failure.message());
  BOOST_LEAF_AUTO(Opened, FileStorage::open(DataFolder + "/" + Name));
  std::shared_ptr<FileStorage> Storage = std::move(Opened);
  if (Storage->mode() == SyncMode::Asynchronous)
    Loop.watch(Storage->completionFd(),
               [Storage] { Storage->onCompletionReady(); });
  return std::shared_ptr<IStorage>(Storage);
}

} // namespace geraniumbay::app
