//===- modeltest.cpp - Tests of the model ---------------------------------===//

#include "framework/json/json.h"
#include "model/internal/modelworker.h"
#include "model/internal/workload.h"
#include "model/run.h"

#include <gtest/gtest.h>

namespace geraniumbay::model {
namespace {

Scene shortScene(const std::string &Name) {
  Scene Result = *findScene(Name);
  Result.Length = std::chrono::seconds(8);
  Result.FaultAt = std::chrono::seconds(4);
  Result.FaultEnd = std::chrono::seconds(6);
  return Result;
}

Measurement runShort(const std::string &SceneName, const std::string &Name) {
  return run(*findDeployment("reclamos"), shortScene(SceneName),
             *findPolicy(Name));
}

TEST(ModelTest, TheSameSeedGivesTheSameFigures) {
  std::string First = json::write(toJson(runShort("half_fail", "v1")));
  EXPECT_EQ(First, json::write(toJson(runShort("half_fail", "v1"))));
}

TEST(ModelTest, EveryRequestIsAnsweredOnceAndNothingStartsTwice) {
  for (const Policy &Decided :
       {*findPolicy("naive"), *findPolicy("central"), policies().back()})
    for (const char *Name : {"load130", "worker_dies", "cancel_wave", "cut"}) {
      Measurement Got = runShort(Name, Decided.Name);
      EXPECT_EQ(Got.Requests,
                Got.Complete + Got.Failed + Got.NotRun + Got.Cancelled)
          << Name << ' ' << Decided.Name;
      EXPECT_EQ(Got.DoubleStarts, 0U) << Name << ' ' << Decided.Name;
    }
}

TEST(ModelTest, TheGuardRefusesWhatIsTooMuch) {
  World Shared(*findDeployment("reclamos"), shortScene("load30"),
               *findPolicy("naive"), 1);
  ModelWorker Worker(Shared, 0);
  int Refused = 0;
  for (int I = 0; I < 9; ++I)
    Worker.start(std::chrono::seconds(1),
                 [&](dispatch::LeaseOutcome Outcome, Duration) {
                   Refused += Outcome == dispatch::LeaseOutcome::Refused;
                 });
  EXPECT_EQ(Refused, 1);
}

TEST(ModelTest, TheOfferedWorkIsWhatTheSceneSays) {
  Workload Load(shortScene("load70"), 1);
  double Sum = 0;
  constexpr int Draws = 20000;
  for (int I = 0; I < Draws; ++I)
    for (Duration Run : Load.draw().Runs)
      Sum += std::chrono::duration<double>(Run).count();
  EXPECT_NEAR(Sum / Draws, Load.meanWork(), 0.1 * Load.meanWork());
}

} // namespace
} // namespace geraniumbay::model
