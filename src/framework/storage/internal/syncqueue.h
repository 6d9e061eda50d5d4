//===- syncqueue.h - Syncs under way ----------------------------*- C++ -*-===//
//
// Carries out fdatasync on a thread of its own, which does nothing else, and
// tells the loop through an eventfd when one has completed. The thread holds no
// state of the system: it gets a descriptor and gives back an error number.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_STORAGE_INTERNAL_SYNCQUEUE_H
#define GERANIUMBAY_FRAMEWORK_STORAGE_INTERNAL_SYNCQUEUE_H

#include "framework/storage/internal/filedescriptor.h"
#include "framework/storage/istorage.h"

#include <condition_variable>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace geraniumbay {

enum class SyncMode;

/// The syncs of one folder, carried out in the order of submit().
class SyncQueue {
public:
  /// Sets up the queue; the thread starts with the first sync.
  static RetVal<std::unique_ptr<SyncQueue>> create(SyncMode Wanted);

  SyncQueue(const SyncQueue &) = delete;
  SyncQueue &operator=(const SyncQueue &) = delete;
  /// Waits for the sync under way; no callback is called any more.
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
    int Handle = -1;
    std::shared_ptr<void> Owner;
    IStorage::SyncCallback Done;
    /// 0 or the error number, once it has completed.
    int ErrorNumber = 0;
  };
  using Requests = std::list<Request>;

  SyncQueue(FileDescriptor EventFd, SyncMode Mode);

  void startThread();
  void syncInTurn();
  void complete(Requests &Finished);

  FileDescriptor EventFd_;
  const SyncMode Mode_;
  std::mutex Lock_;
  std::condition_variable Changed_;
  /// Guarded by Lock_: requests that wait for the thread.
  Requests Waiting_;
  /// Guarded by Lock_: requests that wait for deliver().
  Requests Completed_;
  /// Guarded by Lock_.
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_STORAGE_INTERNAL_SYNCQUEUE_H
