//===- filestorage.h - A data folder on disk --------------------*- C++ -*-===//
//
// IStorage on one folder of the operating system. Files are only appended to
// (O_APPEND, mode 0600); a sync is an fdatasync on a thread of its own that
// reports through an eventfd, so the loop goes on meanwhile.
//
// The loop watches completionFd() and calls onCompletionReady() when it is
// readable.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_STORAGE_FILESTORAGE_H
#define GERANIUMBAY_FRAMEWORK_STORAGE_FILESTORAGE_H

#include "framework/storage/internal/filedescriptor.h"
#include "framework/storage/internal/syncqueue.h"
#include "framework/storage/istorage.h"

#include <map>
#include <memory>

namespace geraniumbay {

/// How syncs are carried out.
enum class SyncMode {
  Asynchronous, ///< By the folder's disk thread.
  Blocking,     ///< By fdatasync on the loop.
};

/// A data folder on disk, held by one process at a time.
class FileStorage : public IStorage {
public:
  /// Opens \p Folder, which is created (mode 0700) if it is missing; its parent
  /// must exist. Fails with Conflict if another process holds it, else with Io.
  static RetVal<std::unique_ptr<FileStorage>>
  open(const std::string &Folder, SyncMode Mode = SyncMode::Asynchronous);

  RetVal<std::vector<std::string>> list() override;
  RetVal<std::string> read(const std::string &Name) override;
  /// The first append to a new file also syncs the folder, which blocks.
  Ret append(const std::string &Name, std::string_view Bytes) override;
  void sync(const std::string &Name, SyncCallback Done) override;
  Ret replace(const std::string &Name, std::string_view Bytes) override;
  Ret truncate(const std::string &Name, std::uint64_t Size) override;
  Ret remove(const std::string &Name) override;

  /// Readable when a sync has completed.
  int completionFd() const { return Syncs_->eventFd(); }
  /// Calls back for every sync that has completed; never blocks.
  void onCompletionReady() { Syncs_->deliver(); }
  /// How syncs are carried out here.
  SyncMode mode() const { return Syncs_->mode(); }

private:
  struct OpenFile {
    FileDescriptor Handle;
    /// Bytes that count as appended; a failed append is cut back to it.
    std::uint64_t Size = 0;
    /// Set when bytes of unknown fate are in the file; it takes no more.
    bool Broken = false;
  };

  FileStorage(FileDescriptor Folder, FileDescriptor Lock,
              std::unique_ptr<SyncQueue> Syncs);

  RetVal<OpenFile *> openFile(const std::string &Name);
  Ret removeTemporaries();
  Ret syncFolder();
  Ret writeTemporary(const std::string &Name, std::string_view Bytes);

  FileDescriptor Folder_;
  /// Invariant: holds the folder's lock as long as this object lives.
  FileDescriptor Lock_;
  std::map<std::string, std::shared_ptr<OpenFile>> Files_;
  /// Declared last: its destructor waits for syncs of the files above.
  std::unique_ptr<SyncQueue> Syncs_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_STORAGE_FILESTORAGE_H
