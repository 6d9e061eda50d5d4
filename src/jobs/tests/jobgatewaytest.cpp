//===- jobgatewaytest.cpp - Asking the leader about jobs ------------------===//

#include "jobs/internal/jobgateway.h"

#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "jobs/internal/jobmessages.h"

#include <gtest/gtest.h>

#include <deque>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

/// Answers submissions one after the other as told, and nothing else.
class ScriptedLeaders : public IRpcClient {
public:
  void call(const Endpoint & /*To*/, const std::string &Method,
            Json::Value /*Params*/, Duration /*Timeout*/,
            Callback Done) override {
    if (Method != wire::method::Submit || Answers.empty())
      return;
    Outcome<Json::Value> Next = Answers.front();
    Answers.pop_front();
    Done(Next);
  }

  std::deque<Outcome<Json::Value>> Answers;
};

/// Submits a job to leaders that answer like \p Answers, and returns what the
/// caller is told.
JobAnswer submitTo(std::deque<Outcome<Json::Value>> Answers) {
  ManualClock Clock;
  TimerQueue Timers(Clock);
  ScriptedLeaders Leaders;
  Leaders.Answers = std::move(Answers);
  JobGateway Gateway(
      {{"10.0.9.1", 7000}}, Leaders, Clock, Timers,
      {[] { return Json::Value(Json::objectValue); },
       [](const Json::Value &, const Endpoint &) { /* Nothing to take. */ },
       [] { return false; }});
  JobAnswer Told;
  JobSpec Spec;
  Spec.Transient = true;
  JobRequest Request;
  Request.Timeout = 2s;
  Gateway.submit(Request, Spec,
                 [&](const JobAnswer &Answer) { Told = Answer; });
  for (int I = 0; I < 100; ++I) {
    Clock.advance(10ms);
    Timers.runDue();
  }
  return Told;
}

Json::Value refusal() {
  JobAnswer Refused;
  Refused.Outcome = JobOutcome::NotTaken;
  Refused.Reason = "no worker was free in time";
  return wire::write(Refused);
}

Json::Value lostLeadership() {
  Json::Value Result(Json::objectValue);
  Result["leader"] = "10.0.9.1:7000";
  Result["maybe_taken"] = true;
  return Result;
}

TEST(JobGatewayTest, ARefusalIsPassedOn) {
  EXPECT_EQ(submitTo({refusal()}).Outcome, JobOutcome::NotTaken);
}

// A leader had started tasks of a job when it was killed. The next one, which
// knows nothing of them, gave the job up, and the caller was told that it had
// not run.
TEST(JobGatewayTest, ARefusalIsInDoubtOnceAnotherLeaderMayHaveStartedTheJob) {
  EXPECT_EQ(submitTo({Error{ErrorCode::Io, "reset"}, refusal()}).Outcome,
            JobOutcome::Unknown);
  EXPECT_EQ(submitTo({lostLeadership(), refusal()}).Outcome,
            JobOutcome::Unknown);
}

TEST(JobGatewayTest, ALeaderThatWasNeverReachedStartedNothing) {
  EXPECT_EQ(
      submitTo({Error{ErrorCode::Refused, "nobody there"}, refusal()}).Outcome,
      JobOutcome::NotTaken);
}

} // namespace
} // namespace geraniumbay::jobs
