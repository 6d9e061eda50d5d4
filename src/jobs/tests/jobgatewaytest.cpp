//===- jobgatewaytest.cpp - Client of the leading control VM --------------===//

#include "jobs/internal/jobgateway.h"

#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "jobs/internal/jobmessages.h"

#include <gtest/gtest.h>

#include <deque>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

/// Answers submissions with scripted results in turn, and no other method.
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

/// Submits a job to leaders that give \p Answers in turn, and returns the
/// caller's answer.
JobAnswer submitTo(std::deque<Outcome<Json::Value>> Answers) {
  ManualClock Clock;
  TimerQueue Timers(Clock);
  ScriptedLeaders Leaders;
  Leaders.Answers = std::move(Answers);
  JobGateway Gateway(
      {{"10.0.9.1", 7000}}, Leaders, Clock, Timers,
      {[] { return Json::Value(Json::objectValue); },
       [](const Json::Value &, const Endpoint &) { /* Replies are ignored. */ },
       [] { return false; }});
  JobAnswer Received;
  JobSpec Spec;
  Spec.Transient = true;
  JobRequest Request;
  Request.Timeout = 2s;
  Gateway.submit(Request, Spec,
                 [&](const JobAnswer &Answer) { Received = Answer; });
  for (int I = 0; I < 100; ++I) {
    Clock.advance(10ms);
    Timers.runDue();
  }
  return Received;
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

// Guards against a job reported as not run although it had been started: a
// leader started tasks of the job and was killed, and the next leader, which
// doesn't know of them, refused the job.
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
