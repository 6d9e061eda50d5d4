//===- standinsettings.h - Settings of a stand-in upstream ------*- C++ -*-===//
//
// What a stand-in upstream offers, how long its tasks run, and how it fails.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_STANDIN_STANDINSETTINGS_H
#define GERANIUMBAY_STANDIN_STANDINSETTINGS_H

#include "framework/clock/iclock.h"
#include "membership/announcement.h"

#include <vector>

namespace geraniumbay::standin {

/// How the upstream misbehaves; by default it does not.
struct StandInFaults {
  /// Each task is started and answered with status 500, at once.
  bool FailAll = false;
  /// One task in so many runs StraggleFactor times as long; 0 for none.
  std::uint64_t StraggleOneIn = 0;
  int StraggleFactor = 10;
  /// Each task is refused without a start.
  bool RefuseAll = false;
  /// Each answer is sent so long after the task's end; its slot is free then.
  Duration AnswerLate{0};
  /// Each answer carries the id and body of the one before it (crossed
  /// answers).
  bool WrongTaskId = false;
  /// Each answer announces its whole length and sends half of it.
  bool CutShort = false;
  /// No task is answered.
  bool NeverAnswer = false;
  /// The upstream leaves after so many starts; 0 for never.
  std::uint64_t LeaveAfter = 0;
  /// Cancellations are accepted and not followed.
  bool IgnoreCancel = false;
};

/// One stand-in upstream.
struct StandInSettings {
  /// Names, address, slots, connections and incarnation that are announced.
  membership::WorkerAnnouncement Offer;
  /// Entries to announce to; each announcement begins at the next one, as if a
  /// balancer stood before them.
  std::vector<Endpoint> Entries;
  /// Between two announcements, and how long one may take.
  Duration RenewInterval = std::chrono::seconds(1);
  Duration AnnounceTimeout = std::chrono::milliseconds(500);
  /// Run times are drawn with this mean and kept within the bounds.
  Duration MeanRun = std::chrono::milliseconds(200);
  Duration MinRun = std::chrono::milliseconds(50);
  Duration MaxRun = std::chrono::seconds(1);
  /// Whether tasks beyond the slots are refused without a start.
  bool Guard = true;
  StandInFaults Faults;
};

} // namespace geraniumbay::standin

#endif // GERANIUMBAY_STANDIN_STANDINSETTINGS_H
