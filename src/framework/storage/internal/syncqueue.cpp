//===- syncqueue.cpp - Syncs under way ------------------------------------===//
//
// The disk thread and its hand-over to the loop.
//
//===----------------------------------------------------------------------===//

#include "framework/storage/internal/syncqueue.h"

#include "framework/storage/filestorage.h"

#include <cerrno>
#include <csignal>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace geraniumbay {

namespace {

std::string errorText(int Number) {
  return std::generic_category().message(Number);
}

int syncBlocking(int Handle) { return ::fdatasync(Handle) == 0 ? 0 : errno; }

} // namespace

RetVal<std::unique_ptr<SyncQueue>> SyncQueue::create(SyncMode Wanted) {
  FileDescriptor EventFd(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  if (!EventFd.valid())
    return fail(ErrorCode::Io, "eventfd: " + errorText(errno));
  return std::unique_ptr<SyncQueue>(new SyncQueue(std::move(EventFd), Wanted));
}

SyncQueue::SyncQueue(FileDescriptor EventFd, SyncMode Mode)
    : EventFd_(std::move(EventFd)), Mode_(Mode) {}

SyncQueue::~SyncQueue() {
  {
    std::lock_guard<std::mutex> Hold(Lock_);
    Stopping_ = true;
  }
  Changed_.notify_one();
  if (Thread_.joinable())
    Thread_.join();
}

void SyncQueue::submit(int Handle, std::shared_ptr<void> Owner,
                       IStorage::SyncCallback Done) {
  Requests Next;
  Next.push_back({Handle, std::move(Owner), std::move(Done), 0});
  if (Mode_ == SyncMode::Blocking) {
    Next.front().ErrorNumber = syncBlocking(Handle);
    return complete(Next);
  }
  if (!Thread_.joinable())
    startThread();
  {
    std::lock_guard<std::mutex> Hold(Lock_);
    Waiting_.splice(Waiting_.end(), Next);
  }
  Changed_.notify_one();
}

void SyncQueue::startThread() {
  // Signals belong to the loop: the thread inherits a mask that blocks all.
  sigset_t All;
  sigset_t Before;
  sigfillset(&All);
  pthread_sigmask(SIG_SETMASK, &All, &Before);
  Thread_ = std::thread([this] { syncInTurn(); });
  pthread_sigmask(SIG_SETMASK, &Before, nullptr);
}

void SyncQueue::syncInTurn() {
  Requests Current;
  while (true) {
    {
      std::unique_lock<std::mutex> Hold(Lock_);
      Changed_.wait(Hold, [this] { return Stopping_ || !Waiting_.empty(); });
      if (Stopping_)
        return;
      Current.splice(Current.end(), Waiting_, Waiting_.begin());
    }
    Current.front().ErrorNumber = syncBlocking(Current.front().Handle);
    complete(Current);
  }
}

void SyncQueue::complete(Requests &Finished) {
  {
    std::lock_guard<std::mutex> Hold(Lock_);
    Completed_.splice(Completed_.end(), Finished);
  }
  ::eventfd_write(EventFd_.get(), 1);
}

void SyncQueue::deliver() {
  eventfd_t Count = 0;
  ::eventfd_read(EventFd_.get(), &Count);
  Requests Ready;
  {
    std::lock_guard<std::mutex> Hold(Lock_);
    Ready.swap(Completed_);
  }
  for (Request &Next : Ready) {
    if (Next.ErrorNumber == 0)
      Next.Done(Done{});
    else
      Next.Done(Error{ErrorCode::Io, "sync: " + errorText(Next.ErrorNumber)});
  }
}

} // namespace geraniumbay
