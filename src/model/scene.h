//===- scene.h - What happens in a run of the model -------------*- C++ -*-===//
//
// A scene is the offered load, the kind of tasks and the faults of one run.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_SCENE_H
#define GERANIUMBAY_MODEL_SCENE_H

#include "framework/clock/iclock.h"

#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::model {

/// What goes wrong with some workers, from Scene::FaultAt to Scene::FaultEnd.
enum class WorkerFault {
  None,
  FailFast, ///< They fail every task within milliseconds.
  Slow,     ///< They run tasks eight times slower.
  Dead,     ///< They go silent with their tasks and stay away.
};

/// One scene. Times count from the start of the run.
struct Scene {
  std::string Name;
  /// Offered work over the slots of all workers.
  double Load = 0.7;
  Duration Length = std::chrono::seconds(16);
  /// Requests that arrive before are served but not measured.
  Duration MeasureFrom = std::chrono::seconds(3);
  /// Part of the tasks that run for several seconds.
  double LongTasks = 0.005;
  /// Declared run times are off by this factor: too long for half of the
  /// callers and too short for the others.
  double DeclaredFactor = 1;
  /// Part of the jobs that can never end before their deadline.
  double ImpossibleJobs = 0;
  /// Load that one team adds between FaultAt and FaultEnd.
  double TeamBurst = 0;
  /// Load that all teams add between FaultAt and FaultEnd.
  double Burst = 0;
  WorkerFault Fault = WorkerFault::None;
  /// Workers of the first data centre with the fault.
  std::size_t FaultyWorkers = 0;
  Duration FaultAt = std::chrono::seconds(6);
  Duration FaultEnd = std::chrono::seconds(10);
  /// The first data centre is cut off from the others in that time.
  bool Cut = false;
  /// Part of the open requests that their callers cancel at FaultAt.
  double Cancelled = 0;
};

/// All scenes in the order in which they are run.
const std::vector<Scene> &scenes();

/// The scene called \p Name, or nothing.
std::optional<Scene> findScene(const std::string &Name);

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_SCENE_H
