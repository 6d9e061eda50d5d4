//===- standintest.cpp - Tests of the stand-in upstream -------------------===//

#include "standin/standin.h"
#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "framework/json/json.h"
#include "standin/internal/taskrules.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace geraniumbay::standin {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class FakeExchange : public IHttpExchange {
public:
  explicit FakeExchange(HttpRequest Request) : Request_(std::move(Request)) {}
  const HttpRequest &request() const override { return Request_; }
  void reply(HttpResponse Response) override { Answer = std::move(Response); }
  void onGone(std::function<void()>) override {}

  std::string header(const std::string &Name) const {
    for (const HttpHeader &Header : Answer->Headers)
      if (Header.Name == Name)
        return Header.Value;
    return "";
  }
  std::optional<HttpResponse> Answer;

private:
  HttpRequest Request_;
};

class FakeServer : public IHttpServer {
public:
  void route(const std::string &, const std::string &Path,
             Handler Handle) override {
    Routes[Path] = std::move(Handle);
  }
  std::shared_ptr<FakeExchange> ask(const std::string &Path,
                                    const std::string &Body = "") {
    auto Exchange =
        std::make_shared<FakeExchange>(HttpRequest{"POST", Path, "", {}, Body});
    std::string Prefix = Path.substr(0, Path.find('/', 1) + 1);
    Routes.at(Prefix.empty() ? Path : Prefix)(Exchange);
    return Exchange;
  }

  std::map<std::string, Handler> Routes;
};

/// Entries that take announcements, but for those in Down.
class FakeEntries : public IHttpClient {
public:
  explicit FakeEntries(ITimers &Timers) : Timers_(Timers) {}

  HttpCallId call(const Endpoint &To, HttpRequest Request, Duration,
                  Callback Done) override {
    bool IsDown = Down.contains(To.Port);
    if (!IsDown)
      Taken.emplace_back(
          To.Port, attempt([&]() {
                     return membership::readAnnouncement(
                         *attempt([&] { return json::parse(Request.Body); }));
                   }).value());
    TimerId Timer =
        Timers_.after(milliseconds(1), [IsDown, Done = std::move(Done)] {
          Done(HttpResponse{IsDown ? 503 : 200, {}, ""});
        });
    return HttpCallId(Timer.value());
  }
  void cancel(HttpCallId Id) override { Timers_.cancel(TimerId(Id.value())); }

  std::map<std::uint16_t, bool> Down;
  std::vector<std::pair<std::uint16_t, membership::WorkerAnnouncement>> Taken;

private:
  ITimers &Timers_;
};

StandInSettings defaults() {
  StandInSettings Settings;
  Settings.Offer.Worker = WorkerId("w1");
  Settings.Offer.Address = {"10.0.0.9", 8080};
  Settings.Offer.DataCentre = DataCentreId("Barracas");
  Settings.Offer.Rack = "r1";
  Settings.Offer.Service = ServiceId("triage");
  Settings.Offer.Slots = 8;
  Settings.Offer.Connections = 64;
  Settings.Offer.Version = {Incarnation(7), 0};
  Settings.Entries = {{"10.0.0.1", 1}, {"10.0.0.1", 2}, {"10.0.0.1", 3}};
  return Settings;
}

struct Bench {
  explicit Bench(const StandInSettings &Settings)
      : Timers(Clock), Entries(Timers),
        Upstream(Server, Entries, Timers, Random(1), Settings) {}

  void run(Duration Length) {
    for (Duration Passed{0}; Passed < Length; Passed += milliseconds(1)) {
      Clock.advance(milliseconds(1));
      Timers.runDue();
    }
  }

  ManualClock Clock;
  TimerQueue Timers;
  FakeServer Server;
  FakeEntries Entries;
  StandIn Upstream;
};

Bench benchWith(const std::function<void(StandInFaults &)> &Set) {
  StandInSettings Settings = defaults();
  Set(Settings.Faults);
  return Bench(Settings);
}

TEST(StandInTest, RunsATaskForItsTimeAndCountsItsStarts) {
  Bench Test(defaults());
  auto Asked = Test.Server.ask("/tasks/t1", "run_ms=100;x");
  Test.run(milliseconds(99));
  EXPECT_FALSE(Asked->Answer);
  Test.run(milliseconds(1));
  ASSERT_TRUE(Asked->Answer);
  EXPECT_EQ(Asked->Answer->Body, "done:run_ms=100;x");
  EXPECT_EQ(Asked->header("X-Task-Id"), "t1");
  Test.Server.ask("/tasks/t1");
  EXPECT_EQ(Test.Server.ask("/starts")->Answer->Body, "{\"t1\":2}");
}

TEST(StandInTest, TheGuardRefusesWithoutAStart) {
  Bench Test(defaults());
  for (int Task = 0; Task < 8; ++Task)
    Test.Server.ask("/tasks/t" + std::to_string(Task), "run_ms=50;");
  auto Refused = Test.Server.ask("/tasks/t8");
  EXPECT_EQ(Refused->Answer->Status, 503);
  EXPECT_EQ(Refused->header("X-Not-Started"), "1");
  EXPECT_EQ(Test.Upstream.starts().size(), 8U);
  Test.run(milliseconds(50));
  EXPECT_FALSE(Test.Server.ask("/tasks/t9")->Answer);
}

TEST(StandInTest, CancellingFreesTheSlotUnlessIgnored) {
  Bench Test(defaults());
  auto Asked = Test.Server.ask("/tasks/t1", "run_ms=100;");
  EXPECT_EQ(Test.Server.ask("/cancel/t1")->Answer->Status, 200);
  EXPECT_EQ(Asked->Answer->Status, 409);
  EXPECT_EQ(Test.Upstream.running(), 0U);
  auto Ignoring = benchWith([](StandInFaults &To) { To.IgnoreCancel = true; });
  Asked = Ignoring.Server.ask("/tasks/t1", "run_ms=100;");
  Ignoring.Server.ask("/cancel/t1");
  EXPECT_EQ(Ignoring.Upstream.running(), 1U);
  Ignoring.run(milliseconds(100));
  EXPECT_EQ(Asked->Answer->Status, 200);
}

TEST(StandInTest, FailsEverythingOrRefusesEverything) {
  auto Failing = benchWith([](StandInFaults &To) { To.FailAll = true; });
  EXPECT_EQ(Failing.Server.ask("/tasks/t1")->Answer->Status, 500);
  EXPECT_EQ(Failing.Upstream.starts().size(), 1U);
  auto Refusing = benchWith([](StandInFaults &To) { To.RefuseAll = true; });
  EXPECT_EQ(Refusing.Server.ask("/tasks/t1")->header("X-Not-Started"), "1");
  EXPECT_TRUE(Refusing.Upstream.starts().empty());
}

TEST(StandInTest, AnswersLateCrossedShortOrNever) {
  auto Late = benchWith([](StandInFaults &To) { To.AnswerLate = seconds(1); });
  auto Asked = Late.Server.ask("/tasks/t1", "run_ms=100;");
  Late.run(milliseconds(1099));
  EXPECT_EQ(Late.Upstream.running(), 0U);
  EXPECT_FALSE(Asked->Answer);
  Late.run(milliseconds(1));
  EXPECT_TRUE(Asked->Answer);
  auto Crossed = benchWith([](StandInFaults &To) { To.WrongTaskId = true; });
  Crossed.Server.ask("/tasks/t1", "run_ms=10;a");
  Asked = Crossed.Server.ask("/tasks/t2", "run_ms=20;b");
  Crossed.run(milliseconds(20));
  EXPECT_EQ(Asked->header("X-Task-Id"), "t1");
  EXPECT_EQ(Asked->Answer->Body, "done:run_ms=10;a");
  auto Short = benchWith([](StandInFaults &To) { To.CutShort = true; });
  Asked = Short.Server.ask("/tasks/t1", "run_ms=10;a");
  Short.run(milliseconds(10));
  EXPECT_EQ(Asked->Answer->Body, "done:run");
  EXPECT_EQ(Asked->header("Content-Length"), "16");
  auto Silent = benchWith([](StandInFaults &To) { To.NeverAnswer = true; });
  Asked = Silent.Server.ask("/tasks/t1", "run_ms=10;");
  Silent.run(seconds(5));
  EXPECT_FALSE(Asked->Answer);
  EXPECT_EQ(Silent.Upstream.running(), 0U);
}

TEST(StandInTest, StragglesNowAndThen) {
  auto Test = benchWith([](StandInFaults &To) { To.StraggleOneIn = 2; });
  int InTime = 0;
  for (int Task = 0; Task < 100; ++Task) {
    auto Asked = Test.Server.ask("/tasks/t", "run_ms=10;");
    Test.run(milliseconds(10));
    InTime += Asked->Answer ? 1 : 0;
    Test.run(milliseconds(90));
    EXPECT_TRUE(Asked->Answer);
  }
  EXPECT_GT(InTime, 25);
  EXPECT_LT(InTime, 75);
}

TEST(StandInTest, RenewsAtTheNextEntryAndSkipsThoseThatAreDown) {
  Bench Test(defaults());
  Test.Upstream.start();
  Test.Server.ask("/tasks/t1", "run_ms=1500;");
  Test.Entries.Down[2] = true;
  Test.run(milliseconds(2500));
  ASSERT_EQ(Test.Entries.Taken.size(), 3U);
  EXPECT_EQ(Test.Entries.Taken[0].first, 1);
  EXPECT_EQ(Test.Entries.Taken[1].first, 3);
  EXPECT_EQ(Test.Entries.Taken[1].second.Busy, 1U);
  EXPECT_EQ(Test.Entries.Taken[2].second.Busy, 0U);
  EXPECT_LT(Test.Entries.Taken[1].second.Version,
            Test.Entries.Taken[2].second.Version);
}

TEST(StandInTest, LeavesAfterSomeStartsAndFinishesWhatRuns) {
  auto Test = benchWith([](StandInFaults &To) { To.LeaveAfter = 2; });
  Test.Upstream.start();
  Test.Entries.Down = {{1, true}, {2, true}, {3, true}};
  Test.Server.ask("/tasks/t1", "run_ms=10;");
  auto Last = Test.Server.ask("/tasks/t2", "run_ms=10;");
  EXPECT_EQ(Test.Server.ask("/tasks/t3")->header("X-Not-Started"), "1");
  Test.run(milliseconds(500));
  EXPECT_TRUE(Last->Answer);
  EXPECT_FALSE(Test.Upstream.hasLeft());
  Test.Entries.Down.clear();
  Test.run(seconds(1));
  EXPECT_TRUE(Test.Upstream.hasLeft());
  EXPECT_EQ(Test.Entries.Taken.back().second.State,
            membership::WorkerState::Leaving);
  std::size_t Before = Test.Entries.Taken.size();
  Test.run(seconds(3));
  EXPECT_EQ(Test.Entries.Taken.size(), Before);
}

RC_GTEST_PROP(StandInProperty, RunTimesStayWithinTheBounds,
              (std::uint64_t Seed)) {
  StandInSettings Settings;
  Random Numbers(Seed);
  for (int Draw = 0; Draw < 20; ++Draw) {
    Duration Drawn = drawRunTime(Settings, Numbers);
    RC_ASSERT(Drawn >= Settings.MinRun && Drawn <= Settings.MaxRun);
  }
}

RC_GTEST_PROP(StandInProperty, ReadsTheRunTimeOnlyFromAWholePrefix,
              (const std::string &Rest, std::uint32_t Millis)) {
  std::string Asked = "run_ms=" + std::to_string(Millis);
  std::optional<Duration> Read = runTimeIn(Asked + ";" + Rest);
  RC_ASSERT(Read.has_value() == (Millis <= 600'000));
  if (Read)
    RC_ASSERT(*Read == milliseconds(Millis));
  RC_ASSERT(!runTimeIn(Asked).has_value());
  RC_ASSERT(!runTimeIn("x" + Asked + ";").has_value());
}

} // namespace
} // namespace geraniumbay::standin
