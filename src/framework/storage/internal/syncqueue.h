//===- syncqueue.h - Syncs under way ----------------------------*- C++ -*-===//
//
// Carries out fdatasync without blocking the loop, by Linux AIO, and tells the
// loop through an eventfd when one has completed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_STORAGE_INTERNAL_SYNCQUEUE_H
#define GERANIUMBAY_FRAMEWORK_STORAGE_INTERNAL_SYNCQUEUE_H

#include "framework/storage/internal/filedescriptor.h"
#include "framework/storage/istorage.h"

#include <libaio.h>
#include <list>
#include <memory>

namespace geraniumbay {

enum class SyncMode;

/// The syncs of one folder.
class SyncQueue {
public:
  /// Sets up the queue; a kernel without AIO gives a blocking one.
  static RetVal<std::unique_ptr<SyncQueue>> create(SyncMode Wanted);

  SyncQueue(const SyncQueue &) = delete;
  SyncQueue &operator=(const SyncQueue &) = delete;
  /// Waits for the syncs under way; their callbacks are not called.
  ~SyncQueue();

  /// Syncs the file \p Handle and calls \p Done from deliver(). \p Owner keeps
  /// the descriptor open until then.
  void submit(int Handle, std::shared_ptr<void> Owner,
              IStorage::SyncCallback Done);
  /// Calls back for the syncs that have completed.
  void deliver();

  int eventFd() const { return EventFd_.get(); }
  SyncMode mode() const { return Mode_; }

private:
  struct Request {
    iocb Control{};
    std::shared_ptr<void> Owner;
    IStorage::SyncCallback Done;
    /// 0 or the error number, once it has completed.
    int ErrorNumber = 0;
  };
  using Requests = std::list<Request>;

  SyncQueue(FileDescriptor EventFd, io_context_t Context, SyncMode Mode);

  bool submitToKernel(Request &Next, int Handle);
  void collect();

  FileDescriptor EventFd_;
  io_context_t Context_;
  SyncMode Mode_;
  /// Requests that the kernel works on; their addresses must not change.
  Requests Running_;
  /// Requests that have completed and wait for deliver().
  Requests Completed_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_STORAGE_INTERNAL_SYNCQUEUE_H
