//===- workload.cpp - The requests of a run -------------------------------===//
//
// Distributions of the users' workloads.
//
//===----------------------------------------------------------------------===//

#include "model/internal/workload.h"

#include <algorithm>
#include <cmath>

namespace geraniumbay::model {
namespace {

using dispatch::RequestKind;
using dispatch::WorkClass;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Teams = 20;
constexpr std::size_t CallersPerTeam = 2;
/// Part of the requests that are jobs; with their sizes, two thirds of tasks.
constexpr double JobPart = 0.105;
constexpr double UrgentSingles = 0.3;
constexpr double UrgentJobs = 0.15;
constexpr double RepeatableSingles = 0.6;
constexpr std::size_t LargestUrgentJob = 10;
/// Requests drawn to find their mean work.
constexpr int Samples = 20000;

double logUniform(Random &Numbers, double Low, double High) {
  return Low * std::exp(Numbers.unit() * std::log(High / Low));
}

Duration fromSeconds(double Value) {
  constexpr double MicrosPerSecond = 1e6;
  return Duration(static_cast<Duration::rep>(Value * MicrosPerSecond));
}

double toSeconds(Duration Value) {
  constexpr double MicrosPerSecond = 1e6;
  return static_cast<double>(Value.count()) / MicrosPerSecond;
}

} // namespace

Duration longestRun(const Submission &Of) {
  return *std::max_element(Of.Runs.begin(), Of.Runs.end());
}

Workload::Workload(const Scene &Of, std::uint64_t Seed)
    : Scene_(Of), Numbers_(Seed) {
  for (std::size_t I = 0; I < Teams * CallersPerTeam; ++I)
    Base_.push_back(logUniform(Numbers_, 0.08, 0.6));
  double Sum = 0;
  for (int I = 0; I < Samples; ++I)
    for (Duration Run : draw().Runs)
      Sum += toSeconds(Run);
  MeanWork_ = Sum / Samples;
}

Submission Workload::draw(int Team) {
  Submission Result;
  Result.Team =
      Team >= 0 ? static_cast<std::size_t>(Team) : Numbers_.below(Teams);
  Result.Caller = Result.Team * CallersPerTeam + Numbers_.below(CallersPerTeam);
  if (Numbers_.unit() < JobPart)
    drawJob(Result);
  else
    drawSingle(Result);
  drawTimes(Result);
  return Result;
}

Duration Workload::drawRun(std::size_t Caller) {
  if (Numbers_.unit() < Scene_.LongTasks)
    return fromSeconds(2 + Numbers_.unit() * 4);
  double Run = Base_[Caller] * logUniform(Numbers_, 0.6, 1.6);
  return fromSeconds(std::clamp(Run, 0.05, 1.0));
}

std::size_t Workload::drawTasks() {
  double Draw = Numbers_.unit();
  if (Draw < 0.4)
    return 5;
  if (Draw < 0.7)
    return 10;
  if (Draw < 0.9)
    return 20;
  return Draw < 0.98 ? 50 : 200;
}

void Workload::drawJob(Submission &Into) {
  Into.Kind = RequestKind::Job;
  std::size_t Tasks = drawTasks();
  if (Tasks <= LargestUrgentJob && Numbers_.unit() < UrgentJobs)
    Into.Class = WorkClass::Urgent;
  for (std::size_t I = 0; I < Tasks; ++I)
    Into.Runs.push_back(drawRun(Into.Caller));
  Into.Declared = fromSeconds(Base_[Into.Caller]);
}

void Workload::drawSingle(Submission &Into) {
  Into.Kind = Numbers_.unit() < RepeatableSingles
                  ? RequestKind::RepeatableSingle
                  : RequestKind::Single;
  if (Numbers_.unit() < UrgentSingles)
    Into.Class = WorkClass::Urgent;
  Into.Runs.push_back(drawRun(Into.Caller));
  Into.Declared =
      fromSeconds(toSeconds(Into.Runs[0]) * (0.9 + 0.2 * Numbers_.unit()));
}

void Workload::drawTimes(Submission &Into) {
  Duration Longest = longestRun(Into);
  Duration Slack =
      Into.Class == WorkClass::Urgent ? Duration(seconds(2)) : seconds(10);
  Into.TimeLeft = Slack + Longest * 4;
  if (Into.Kind == RequestKind::Job && Numbers_.unit() < Scene_.ImpossibleJobs)
    Into.TimeLeft = Into.Declared / 2;
  double Factor = Into.Caller % CallersPerTeam == 0 ? Scene_.DeclaredFactor
                                                    : 1 / Scene_.DeclaredFactor;
  Into.Declared = fromSeconds(toSeconds(Into.Declared) * Factor);
}

} // namespace geraniumbay::model
