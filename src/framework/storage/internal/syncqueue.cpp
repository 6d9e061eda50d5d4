//===- syncqueue.cpp - Syncs under way ------------------------------------===//
//
// Linux AIO's IO_CMD_FDSYNC with completion by eventfd.
//
//===----------------------------------------------------------------------===//

#include "framework/storage/internal/syncqueue.h"
#include "framework/storage/filestorage.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/eventfd.h>
#include <system_error>

namespace geraniumbay {

namespace {

/// More syncs at once than this are carried out by blocking.
constexpr int MaxRunning = 64;

std::string errorText(int Number) {
  return std::generic_category().message(Number);
}

int syncBlocking(int Handle) { return ::fdatasync(Handle) == 0 ? 0 : errno; }

} // namespace

RetVal<std::unique_ptr<SyncQueue>> SyncQueue::create(SyncMode Wanted) {
  FileDescriptor EventFd(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK));
  if (!EventFd.valid())
    return fail(ErrorCode::Io, "eventfd: " + errorText(errno));
  io_context_t Context = nullptr;
  SyncMode Mode = Wanted;
  if (Mode == SyncMode::Asynchronous && ::io_setup(MaxRunning, &Context) != 0)
    Mode = SyncMode::Blocking;
  return std::unique_ptr<SyncQueue>(
      new SyncQueue(std::move(EventFd), Context, Mode));
}

SyncQueue::SyncQueue(FileDescriptor EventFd, io_context_t Context,
                     SyncMode Mode)
    : EventFd_(std::move(EventFd)), Context_(Context), Mode_(Mode) {}

SyncQueue::~SyncQueue() {
  if (Context_)
    ::io_destroy(Context_);
}

void SyncQueue::submit(int Handle, std::shared_ptr<void> Owner,
                       IStorage::SyncCallback Done) {
  Running_.emplace_back();
  Request &Next = Running_.back();
  Next.Owner = std::move(Owner);
  Next.Done = std::move(Done);
  if (Mode_ == SyncMode::Asynchronous && submitToKernel(Next, Handle))
    return;
  Next.ErrorNumber = syncBlocking(Handle);
  Completed_.splice(Completed_.end(), Running_, std::prev(Running_.end()));
  ::eventfd_write(EventFd_.get(), 1);
}

bool SyncQueue::submitToKernel(Request &Next, int Handle) {
  ::io_prep_fdsync(&Next.Control, Handle);
  ::io_set_eventfd(&Next.Control, EventFd_.get());
  Next.Control.data = &Next;
  iocb *Controls[] = {&Next.Control};
  int Accepted = ::io_submit(Context_, 1, Controls);
  // Busy (EAGAIN) concerns this sync; anything else holds for all of them.
  if (Accepted != 1 && Accepted != -EAGAIN)
    Mode_ = SyncMode::Blocking;
  return Accepted == 1;
}

void SyncQueue::collect() {
  std::array<io_event, MaxRunning> Events{};
  timespec AtOnce{0, 0};
  int Count = 0;
  if (Context_)
    Count = ::io_getevents(Context_, 0, MaxRunning, Events.data(), &AtOnce);
  for (int Index = 0; Index < Count; ++Index) {
    auto *Ready = static_cast<Request *>(Events[Index].data);
    auto Result = static_cast<long>(Events[Index].res);
    Ready->ErrorNumber = Result < 0 ? static_cast<int>(-Result) : 0;
    auto Place =
        std::find_if(Running_.begin(), Running_.end(),
                     [Ready](const Request &Entry) { return &Entry == Ready; });
    Completed_.splice(Completed_.end(), Running_, Place);
  }
}

void SyncQueue::deliver() {
  eventfd_t Count = 0;
  ::eventfd_read(EventFd_.get(), &Count);
  collect();
  Requests Ready;
  Ready.swap(Completed_);
  for (Request &Next : Ready) {
    if (Next.ErrorNumber == 0)
      Next.Done(Done{});
    else
      Next.Done(Error{ErrorCode::Io, "sync: " + errorText(Next.ErrorNumber)});
  }
}

} // namespace geraniumbay
