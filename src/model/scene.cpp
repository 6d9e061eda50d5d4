//===- scene.cpp - What happens in a run of the model ---------------------===//
//
// The list of scenes.
//
//===----------------------------------------------------------------------===//

#include "model/scene.h"

namespace geraniumbay::model {
namespace {

Scene loadScene(const std::string &Name, double Load) {
  Scene Result;
  Result.Name = Name;
  Result.Load = Load;
  return Result;
}

Scene faultScene(const std::string &Name, WorkerFault Fault,
                 std::size_t Workers) {
  Scene Result = loadScene(Name, 0.7);
  Result.Fault = Fault;
  Result.FaultyWorkers = Workers;
  return Result;
}

std::vector<Scene> makeScenes() {
  std::vector<Scene> All = {loadScene("load30", 0.3), loadScene("load70", 0.7),
                            loadScene("load95", 0.95),
                            loadScene("load130", 1.3)};
  Scene Next = loadScene("burst", 0.6);
  Next.Burst = 1.2;
  All.push_back(Next);
  All.push_back(loadScene("team_calm", 0.6));
  Next = loadScene("team_burst", 0.6);
  Next.TeamBurst = 1.2;
  All.push_back(Next);
  Next = loadScene("long_tasks", 0.7);
  Next.LongTasks = 0.04;
  All.push_back(Next);
  Next = loadScene("declared_wrong", 0.95);
  Next.DeclaredFactor = 10;
  All.push_back(Next);
  All.push_back(faultScene("failing_workers", WorkerFault::FailFast, 2));
  All.push_back(faultScene("half_fail", WorkerFault::FailFast, 8));
  All.push_back(faultScene("stragglers", WorkerFault::Slow, 3));
  All.push_back(faultScene("worker_dies", WorkerFault::Dead, 1));
  Next = loadScene("cut", 0.7);
  Next.Cut = true;
  All.push_back(Next);
  Next = loadScene("cancel_wave", 0.95);
  Next.Cancelled = 0.5;
  All.push_back(Next);
  Next = loadScene("impossible_jobs", 0.7);
  Next.ImpossibleJobs = 0.3;
  All.push_back(Next);
  return All;
}

} // namespace

const std::vector<Scene> &scenes() {
  static const std::vector<Scene> All = makeScenes();
  return All;
}

std::optional<Scene> findScene(const std::string &Name) {
  for (const Scene &Each : scenes())
    if (Each.Name == Name)
      return Each;
  return std::nullopt;
}

} // namespace geraniumbay::model
