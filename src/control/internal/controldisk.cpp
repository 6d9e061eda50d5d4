//===- controldisk.cpp - Failures of a control VM's disk ------------------===//
//
// A control VM whose disk refuses a write or a sync takes no part in the group
// until its whole state is written anew, which is tried again and again: a full
// disk gets room, a faulty one may recover, and nobody else starts the process
// again while it runs.
//
//===----------------------------------------------------------------------===//

#include "control/internal/controlservice.h"
#include "framework/log/log.h"

#include <algorithm>

namespace geraniumbay::control {

namespace {

constexpr const char *Module = "control";
/// Pauses between two tries. The first is short: a disk may refuse one write
/// only. The last keeps the time within which a VM whose disk is sound again
/// votes well below the 4 s that the platform grants it to catch up.
constexpr Duration FirstPause = std::chrono::milliseconds(100);
constexpr Duration LongestPause = std::chrono::milliseconds(800);
/// A write that takes longer is reported: sound disks take some 10 ms.
constexpr Duration LongWrite = std::chrono::seconds(1);

std::int64_t toMillis(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

} // namespace

void ControlService::failed(const Error &Why) {
  FailedSince_ = Clock_.now();
  FailedRepairs_ = 0;
  LoggedFailure_ = Why.Message;
  logEvent(LogLevel::Error, Module, "disk_failed",
           {{"reason", Why.Message},
            {"term", Runner_->replica().Raft.Hard.Current},
            {"calls", Calls_.size()},
            {"proposals", Proposals_.size()}});
  Measured_.count("geraniumbay_control_disk_failures_total",
                  "Writes or syncs that failed", {});
  for (auto &[Call, Answer] : std::exchange(Calls_, {}))
    Answer(Error{ErrorCode::Unavailable, "the member's disk has failed"});
  for (auto &[Id, Answer] : std::exchange(Proposals_, {}))
    Answer(Error{ErrorCode::Timeout, "the member's disk has failed"});
  logChanges();
  watchDisk();
  notifySubscribers();
  Timers_.after(FirstPause, [this] { repair(FirstPause); });
}

void ControlService::repair(Duration Pause) {
  Time Began = Clock_.now();
  auto Written = attempt([this] { return Runner_->repair(); });
  if (!Written) {
    ++FailedRepairs_;
    // One line for each reason: a disk may stay full for hours.
    if (Written.error().Message != LoggedFailure_)
      logEvent(LogLevel::Warning, Module, "disk_still_fails",
               {{"reason", Written.error().Message},
                {"failed_ms", toMillis(Clock_.now() - FailedSince_)},
                {"tries", FailedRepairs_}});
    LoggedFailure_ = Written.error().Message;
    Duration Next = std::min(Pause * 2, LongestPause);
    Timers_.after(Next, [this, Next] { repair(Next); });
    return;
  }
  const RaftState &Raft = Runner_->replica().Raft;
  logEvent(LogLevel::Info, Module, "disk_recovered",
           {{"failed_ms", toMillis(Clock_.now() - FailedSince_)},
            {"tries", FailedRepairs_ + 1},
            {"write_us", (Clock_.now() - Began).count()},
            {"term", Raft.Hard.Current},
            {"last", lastIndex(Raft.Log)}});
  watchDisk();
  publish();
  notifySubscribers();
}

bool ControlService::writes() const {
  auto Since = Runner_->busySince();
  return !Runner_->failed() && !(Since && Clock_.now() - *Since > LongWrite);
}

void ControlService::watchDisk() {
  Measured_.set("geraniumbay_control_disk_writable",
                "Whether this VM can write its disk", {}, writes() ? 1 : 0);
  bool Stalls = !Runner_->failed() && !writes();
  if (Stalls != LoggedStall_)
    logEvent(Stalls ? LogLevel::Warning : LogLevel::Info, Module,
             Stalls ? "disk_stalls" : "disk_stall_over",
             {{"write_ms",
               Stalls ? toMillis(Clock_.now() - *Runner_->busySince()) : 0},
              {"term", Runner_->replica().Raft.Hard.Current}});
  LoggedStall_ = Stalls;
}

void ControlService::notifySubscribers() {
  for (const auto &Run : Subscribers_)
    Run();
}

} // namespace geraniumbay::control
