//===- workload.h - The requests of a run -----------------------*- C++ -*-===//
//
// Draws requests: two thirds of the tasks are in jobs, some singles and small
// jobs are urgent, and each caller has a run time of its own around which its
// tasks vary.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_INTERNAL_WORKLOAD_H
#define GERANIUMBAY_MODEL_INTERNAL_WORKLOAD_H

#include "dispatch/types.h"
#include "framework/random/random.h"
#include "model/scene.h"

#include <vector>

namespace geraniumbay::model {

/// One request as its caller sends it.
struct Submission {
  dispatch::WorkClass Class = dispatch::WorkClass::Routine;
  dispatch::RequestKind Kind = dispatch::RequestKind::Job;
  std::size_t Team = 0;
  std::size_t Caller = 0;
  /// True run time of each task.
  std::vector<Duration> Runs;
  Duration Declared{0};
  Duration TimeLeft{0};
  /// Times it came back after a Retry-After.
  std::uint32_t Returns = 0;
};

/// The callers of a run.
class Workload {
public:
  Workload(const Scene &Of, std::uint64_t Seed);

  /// Draws the next request, of \p Team if it is not negative.
  Submission draw(int Team = -1);

  /// Mean run time of all tasks of one request, in seconds.
  double meanWork() const { return MeanWork_; }

private:
  Duration drawRun(std::size_t Caller);
  std::size_t drawTasks();
  void drawJob(Submission &Into);
  void drawSingle(Submission &Into);
  void drawTimes(Submission &Into);

  Scene Scene_;
  Random Numbers_;
  /// Base run time of each caller in seconds.
  std::vector<double> Base_;
  double MeanWork_ = 0;
};

/// The longest run time of the tasks.
Duration longestRun(const Submission &Of);

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_INTERNAL_WORKLOAD_H
