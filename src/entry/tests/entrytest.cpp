//===- entrytest.cpp - Tests of the entry with faked neighbours -----------===//

#include "entry/internal/entryservice.h"
#include "entry/tests/fakes.h"
#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "framework/json/json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::entry {
namespace {

constexpr const char *Job =
    R"({"caller":"insurers","service":"triage","tasks":[{"payload":"a"},{"payload":"b"}]})";
constexpr const char *Task =
    R"({"caller":"insurers","service":"triage","payload":"a"})";

/// An entry that is alone in the world.
class LoneMembership : public membership::IMembership {
public:
  const membership::Peer &self() const override { return Self_; }
  Incarnation incarnation() const override { return Incarnation(1); }
  bool trusted() const override { return true; }
  std::vector<membership::EntryInfo> entries() const override { return {}; }
  std::vector<membership::EntryInfo> aliveEntries() const override {
    return {};
  }
  std::optional<membership::Peer> ownerOf(const DataCentreId &,
                                          const WorkerId &) const override {
    return std::nullopt;
  }
  std::vector<membership::Peer> ownersOf(const DataCentreId &) const override {
    return {};
  }
  std::vector<membership::PoolReport>
  summaries(const DataCentreId &, const ServiceId &) const override {
    return {};
  }
  void subscribe(Listener) override {}

private:
  membership::Peer Self_;
};

class NoRpc : public IRpcServer, public IRpcClient {
public:
  void method(const std::string &, Method) override {}
  void call(const Endpoint &, const std::string &, Json::Value, Duration,
            Callback) override {}
};

std::shared_ptr<const inventory::Document> makeDocument() {
  auto Doc = std::make_shared<inventory::Document>();
  inventory::Service Service;
  Service.Name = ServiceId("triage");
  Service.MaxPayload = inventory::ByteCount(16);
  Service.LargestTask = {inventory::CoreCount(4),
                         inventory::ByteCount(std::uint64_t{1} << 30U)};
  Doc->Inv.Services[Service.Name] = Service;
  inventory::Caller Caller;
  Caller.Name = CallerId("insurers");
  Caller.Home = DataCentreId("barracas");
  Doc->Inv.Callers[Caller.Name] = Caller;
  Doc->Inv.DataCentres[Caller.Home].Name = Caller.Home;
  return Doc;
}

struct World {
  World() { Entry.setConfig({ConfigVersion(1), makeDocument()}); }

  std::shared_ptr<FakeExchange> job(const std::string &Body,
                                    const std::string &Key) {
    return Server.send("POST", "/v1/jobs", Body, Key);
  }
  std::shared_ptr<FakeExchange> task(const std::string &Body) {
    return Server.send("POST", "/v1/tasks", Body, "");
  }
  Json::Value body(const std::shared_ptr<FakeExchange> &Ex) {
    EXPECT_TRUE(Ex->response().has_value());
    return *attempt([&] { return json::parse(Ex->response()->Body); });
  }

  ManualClock Clock;
  TimerQueue Timers{Clock};
  Random Numbers{1};
  Metrics Measured;
  Tracer Spans{Clock, Numbers, {}};
  FakeServer Server;
  FakeWorkers Workers;
  FakePools Pools;
  FakeClaims Claims;
  LoneMembership Members;
  NoRpc Rpc;
  EntryService Entry{
      EntryNeeds{Clock, Timers, Server, Workers, Pools, Claims, Members, Rpc,
                 Rpc, Numbers, Measured, Spans, VmId("e1"),
                 [] { return SubmissionId("barracas.1.0000000000000001"); }}};
};

TEST(EntryTest, AJobRunsFromStartToFinish) {
  World W;
  auto Ex = W.job(Job, "key-1");
  W.Claims.Claims.at(0)(ClaimGranted{});
  W.Pools.grantAll(0);
  W.Workers.answerAll();
  ASSERT_FALSE(Ex->response().has_value()) << "not recorded yet";
  W.Claims.Records.at(0)(W.Claims.Recorded.at(0));
  ASSERT_TRUE(Ex->response().has_value());
  EXPECT_EQ(Ex->response()->Status, 200);
  EXPECT_EQ(W.body(Ex)["answers"][0].asString(), "done:a");
  EXPECT_EQ(W.body(Ex)["answers"][1].asString(), "done:b");
}

TEST(EntryTest, CountsAnswersAndJoinsTheCallersTrace) {
  World W;
  W.task(Task);
  W.Pools.grantAll(0);
  const HttpRequest &Sent = W.Workers.Open.begin()->second.Request;
  EXPECT_TRUE(
      parseTraceParent(*findHeader(Sent.Headers, "traceparent")).has_value());
  W.Workers.answerAll();
  std::string Text = W.Measured.text();
  EXPECT_NE(Text.find("geraniumbay_answers_total{kind=\"task\","
                      "reason=\"none\"} 1"),
            std::string::npos);
  EXPECT_NE(Text.find("geraniumbay_tasks_total{end=\"succeeded\"} 1"),
            std::string::npos);
}

TEST(EntryTest, AResubmissionJoinsTheRunningJob) {
  World W;
  auto First = W.job(Job, "key-1");
  auto Second = W.job(Job, "key-1");
  EXPECT_EQ(W.Claims.Claims.size(), 1U);
  W.Claims.Claims.at(0)(ClaimGranted{});
  W.Pools.grantAll(0);
  W.Workers.answerAll();
  W.Claims.Records.at(0)(W.Claims.Recorded.at(0));
  ASSERT_TRUE(Second->response().has_value());
  EXPECT_EQ(First->response()->Body, Second->response()->Body);
  for (const auto &Start : W.Workers.Starts)
    EXPECT_EQ(Start.second, 1);
}

TEST(EntryTest, AKeyOfAnotherRequestIsRefused) {
  World W;
  W.job(Job, "key-1");
  auto Other = W.job(
      R"({"caller":"insurers","service":"triage","tasks":[{"payload":"c"}]})",
      "key-1");
  W.Timers.runDue();
  EXPECT_EQ(W.body(Other)["reason"].asString(), "key_reused");
}

TEST(EntryTest, AShedJobIsToldNotRunAtOnceAndWhenToComeBack) {
  World W;
  auto Ex = W.job(Job, "key-1");
  W.Claims.Claims.at(0)(ClaimGranted{});
  W.Pools.All.at(0).OnReject(
      {dispatch::RejectReason::Overloaded, std::chrono::milliseconds(1200)});
  ASSERT_TRUE(Ex->response().has_value());
  EXPECT_EQ(Ex->response()->Status, 503);
  EXPECT_EQ(*findHeader(Ex->response()->Headers, "retry-after"), "2");
  EXPECT_EQ(W.body(Ex)["ran"].asString(), "no");
  EXPECT_EQ(W.body(Ex)["retry_after_ms"].asUInt(), 1200U);
  EXPECT_EQ(W.Claims.Releases, 1);
}

TEST(EntryTest, AWorkerThatCannotBeReachedIsReportedToItsPool) {
  World W;
  W.task(Task);
  W.Pools.grantAll(0);
  auto Sent = std::exchange(W.Workers.Open, {});
  Sent.begin()->second.Done(Error{ErrorCode::Refused, "connection refused"});
  EXPECT_EQ(W.Pools.Released.at(0), dispatch::LeaseOutcome::Unreachable);
}

TEST(EntryTest, AShedResubmissionStillGetsTheEarlierAnswer) {
  World W;
  auto Ex = W.job(Job, "key-1");
  W.Pools.All.at(0).OnReject(
      {dispatch::RejectReason::Overloaded, std::chrono::milliseconds(1200)});
  ASSERT_FALSE(Ex->response().has_value()) << "nobody knows yet whether it ran";
  Result Earlier;
  Earlier.Answers = {"earlier a", "earlier b"};
  W.Claims.Claims.at(0)(ClaimAnswered{Earlier});
  EXPECT_EQ(Ex->response()->Status, 200);
}

TEST(EntryTest, WithoutTheLedgerOnlyAFirstSubmissionIsToldNotRun) {
  World W;
  auto Again = W.job(Job, "key-1");
  auto First = W.job(
      R"({"caller":"insurers","service":"triage","first":true,"tasks":[{"payload":"a"}]})",
      "key-2");
  Result Away = mayHaveRun(FailureReason::LedgerUnavailable, "away");
  W.Claims.Claims.at(0)(ClaimRefused{Away});
  W.Claims.Claims.at(1)(ClaimRefused{Away});
  EXPECT_EQ(W.body(Again)["ran"].asString(), "maybe");
  EXPECT_EQ(W.body(First)["ran"].asString(), "no");
}

TEST(EntryTest, ADrainingEntryTakesNothingNewAndFinishesTheRest) {
  World W;
  auto Before = W.job(Job, "key-1");
  W.Entry.drain();
  EXPECT_EQ(W.Server.send("GET", "/readyz", "", "")->response()->Status, 503);
  Json::Value Refused = W.body(W.job(Job, "key-2"));
  EXPECT_EQ(Refused["reason"].asString(), "draining");
  EXPECT_EQ(Refused["ran"].asString(), "maybe") << "the ledger was not asked";
  W.Claims.Claims.at(0)(ClaimGranted{});
  W.Pools.grantAll(0);
  W.Workers.answerAll();
  W.Claims.Records.at(0)(W.Claims.Recorded.at(0));
  EXPECT_EQ(Before->response()->Status, 200);
  EXPECT_EQ(W.Entry.running(), 0U);
}

TEST(EntryTest, ACallerThatLeavesGivesUpATaskThatWaits) {
  World W;
  auto Ex = W.task(Task);
  Ex->leave();
  EXPECT_EQ(W.Pools.Cancels, 1);
  EXPECT_EQ(W.Entry.running(), 0U);
}

TEST(EntryTest, ACallerThatLeavesDoesNotStopAJobThatStarted) {
  World W;
  auto Ex = W.job(Job, "key-1");
  W.Claims.Claims.at(0)(ClaimGranted{});
  W.Pools.grantAll(0);
  Ex->leave();
  EXPECT_EQ(W.Workers.Open.size(), 2U);
  W.Workers.answerAll();
  EXPECT_TRUE(W.Claims.Recorded.at(0).complete());
}

TEST(EntryTest, ADeadlineThatPassesInTheQueueIsToldNotRunAtOnce) {
  World W;
  auto Ex = W.job(
      R"({"caller":"insurers","service":"triage","deadline_ms":100,"tasks":[{"payload":"a"}]})",
      "key-1");
  W.Claims.Claims.at(0)(ClaimGranted{});
  W.Clock.advance(std::chrono::milliseconds(100));
  W.Timers.runDue();
  ASSERT_TRUE(Ex->response().has_value());
  EXPECT_EQ(Ex->response()->Status, 504);
  EXPECT_EQ(W.body(Ex)["ran"].asString(), "no");
}

TEST(EntryTest, AnOlderConfigurationNeverReplacesANewerOne) {
  World W;
  W.Entry.setConfig({ConfigVersion(3), makeDocument()});
  auto Older = std::make_shared<inventory::Document>();
  W.Entry.setConfig({ConfigVersion(2), Older});
  W.job(Job, "key-1");
  EXPECT_EQ(W.Claims.Claims.size(), 1U);
}

struct BadInput {
  const char *Name;
  const char *Body;
  const char *Key;
  const char *Reason;
};

class BadInputTest : public testing::TestWithParam<BadInput> {};

TEST_P(BadInputTest, IsToldAndNothingRuns) {
  World W;
  auto Ex = W.job(GetParam().Body, GetParam().Key);
  EXPECT_EQ(W.body(Ex)["reason"].asString(), GetParam().Reason);
  EXPECT_EQ(W.body(Ex)["ran"].asString(), "no");
  EXPECT_TRUE(W.Pools.All.empty());
  EXPECT_TRUE(W.Claims.Claims.empty());
}

INSTANTIATE_TEST_SUITE_P(
    All, BadInputTest,
    testing::Values(
        BadInput{"Malformed", "{", "k", "bad_request"},
        BadInput{"NotAnObject", "[]", "k", "bad_request"},
        BadInput{"NoTasks",
                 R"({"caller":"insurers","service":"triage","tasks":[]})", "k",
                 "bad_request"},
        BadInput{"NoKey", Job, "", "bad_request"},
        BadInput{"KeyWithSpace", Job, "a b", "bad_request"},
        BadInput{"UnknownHome", Job, "nowhere.1.0000000000000001",
                 "bad_request"},
        BadInput{
            "UnknownCaller",
            R"({"caller":"x","service":"triage","tasks":[{"payload":"a"}]})",
            "k", "unknown_caller"},
        BadInput{
            "UnknownService",
            R"({"caller":"insurers","service":"x","tasks":[{"payload":"a"}]})",
            "k", "unknown_service"},
        BadInput{
            "LargePayload",
            R"({"caller":"insurers","service":"triage","tasks":[{"payload":"0123456789abcdefg"}]})",
            "k", "too_large"},
        BadInput{
            "NeverFits",
            R"({"caller":"insurers","service":"triage","cores":64,"tasks":[{"payload":"a"}]})",
            "k", "never_fits"}),
    [](const testing::TestParamInfo<BadInput> &Info) {
      return std::string(Info.param.Name);
    });

TEST(EntryTest, AJobOverTheLimitOfTasksIsRefused) {
  World W;
  std::string Body =
      R"({"caller":"insurers","service":"triage","tasks":[{"payload":"a"})";
  for (int I = 0; I < 200; ++I)
    Body += R"(,{"payload":"a"})";
  EXPECT_EQ(W.body(W.job(Body + "]}", "k"))["reason"].asString(),
            "too_many_tasks");
}

RC_GTEST_PROP(EntryTest, RandomBodiesAreAnsweredAndNeverCrash,
              (const std::string &Body, const std::string &Key)) {
  World W;
  auto Ex = W.job(Body, Key);
  RC_ASSERT(Ex->response().has_value());
}

} // namespace
} // namespace geraniumbay::entry
