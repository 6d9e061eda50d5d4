//===- submittest.cpp - Tests of "submit" ---------------------------------===//
//
// The one answer, coming back, lost connections, and what the exit code says.
//
//===----------------------------------------------------------------------===//

#include "cli/tests/fakesystem.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

namespace geraniumbay::cli {
namespace {

using HttpAnswer = FakeSystem::HttpAnswer;

HttpAnswer answer(int Status, const std::string &Body) {
  return HttpResponse{Status, {}, Body};
}

const HttpAnswer Complete =
    answer(200, R"({"status":"complete","answers":["a1","a\u001b2"]})");
const HttpAnswer Crossed =
    answer(200, R"({"id":"other","status":"complete","answers":[]})");
const HttpAnswer Overloaded = answer(
    503,
    R"({"status":"failed","ran":"no","reason":"overloaded","retry_after_ms":800})");
const HttpAnswer WorkerLost =
    answer(502, R"({"status":"failed","ran":"maybe","reason":"worker_lost"})");
const HttpAnswer BadRequest =
    answer(400, R"({"status":"failed","ran":"no","reason":"bad_request"})");
const HttpAnswer Late =
    answer(504, R"({"status":"failed","ran":"no","reason":"deadline"})");
const HttpAnswer Lost = Error{ErrorCode::Timeout, "lost"};
const HttpAnswer NotThere = Error{ErrorCode::Refused, "not there"};
const HttpAnswer TooLarge = answer(413, "Payload Too Large");
const HttpAnswer Garbage = answer(200, "<html>");

/// Submits with the given script of answers; returns the exit code.
int submit(FakeSystem &System, const std::vector<HttpAnswer> &Script,
           std::vector<std::string> More = {}) {
  System.Input = R"({"caller":"c","service":"s","tasks":[{"payload":"p"}]})";
  System.Http["/v1/jobs"] = {Script.begin(), Script.end()};
  System.Http["/v1/submissions"] = {answer(200, R"({"id":"north.1.a"})")};
  More.insert(More.begin(), {"submit", "--entry=10.0.0.1:7000,10.0.0.2:7000"});
  return System.run(More);
}

TEST(SubmitTest, ShowsTheAnswersOfACompleteJob) {
  FakeSystem System;
  EXPECT_EQ(submit(System, {Complete}), 0);
  EXPECT_EQ(System.Out, "a1\na?2\n");
  EXPECT_EQ(System.Err, "key north.1.a\n");
  EXPECT_EQ(System.Seen.back().Key, "north.1.a");
  EXPECT_EQ(System.Seen.back().Params, object(System.Input));
  EXPECT_EQ(submit(System, {Complete}, {"--json", "--key=mine"}), 0);
  Json::Value Shown = object(Complete->Body);
  Shown["id"] = "mine";
  EXPECT_EQ(object(System.Out), Shown);
  EXPECT_EQ(System.Seen.back().Key, "mine");
}

TEST(SubmitTest, ComesBackWithTheSameKeyWhenTold) {
  FakeSystem System;
  Time Begin = System.Clock.now();
  EXPECT_EQ(submit(System, {Overloaded, Complete}), 0);
  ASSERT_EQ(System.Seen.size(), 3U);
  EXPECT_EQ(System.Seen[1].Key, System.Seen[2].Key);
  EXPECT_TRUE(System.Seen[2].Params["returning"].asBool());
  EXPECT_GE(System.Clock.now() - Begin, std::chrono::milliseconds(800));
}

TEST(SubmitTest, LostConnectionIsNoAnswer) {
  FakeSystem System;
  EXPECT_EQ(submit(System, {Lost, NotThere, Complete}), 0);
  ASSERT_EQ(System.Seen.size(), 4U);
  EXPECT_NE(System.Seen[1].To, System.Seen[2].To);
  EXPECT_EQ(System.Seen[1].Key, System.Seen[3].Key);
}

TEST(SubmitTest, ExitCodeSaysWhetherItRan) {
  const std::vector<std::pair<std::vector<HttpAnswer>, ExitCode>> Cases{
      {{BadRequest}, ExitCode::Refused},
      {{TooLarge}, ExitCode::Refused},
      {{WorkerLost}, ExitCode::Failure},
      {{Late}, ExitCode::NotRun},
      {{Overloaded}, ExitCode::NotRun},
      {{NotThere}, ExitCode::NotRun},
      {{Lost}, ExitCode::Unknown},
      {{Crossed}, ExitCode::Unknown},
      {{Crossed, Complete}, ExitCode::Ok},
      {{Garbage}, ExitCode::Unknown},
      {{Lost, Overloaded}, ExitCode::Unknown},
      {{Lost, BadRequest}, ExitCode::Unknown},
      {{Lost, WorkerLost}, ExitCode::Failure},
  };
  for (const auto &[Script, Expected] : Cases) {
    FakeSystem System;
    EXPECT_EQ(submit(System, Script, {"--json"}), toInt(Expected))
        << System.Out;
    std::string Ran = "no";
    if (Expected == ExitCode::Unknown || Expected == ExitCode::Failure)
      Ran = "maybe";
    if (Expected == ExitCode::Ok)
      Ran = "";
    EXPECT_EQ(object(System.Out)["ran"].asString(), Ran) << System.Out;
  }
}

TEST(SubmitTest, LinesBecomeTasks) {
  FakeSystem System;
  submit(System, {Complete});
  System.Input = "one\ntwo\n";
  EXPECT_EQ(
      System.run({"submit", "--entry=10.0.0.1:7000", "--lines", "--caller=c",
                  "--service=s", "--request=r", "--deadline_ms=50", "-"}),
      0);
  EXPECT_EQ(System.Seen.back().Params,
            object(R"({"caller":"c","service":"s","request":"r",
                       "deadline_ms":50,
                       "tasks":[{"payload":"one"},{"payload":"two"}]})"));
}

TEST(SubmitTest, BadInputIsNotSent) {
  for (const char *Input : {"", "{", "[1]", "\xff"}) {
    FakeSystem System;
    System.Input = Input;
    EXPECT_EQ(System.run({"submit", "--entry=10.0.0.1:7000"}),
              toInt(ExitCode::Usage));
    EXPECT_TRUE(System.Seen.empty());
  }
  FakeSystem System;
  System.Input = "x\n";
  EXPECT_EQ(System.run({"submit", "--entry=10.0.0.1:7000", "--lines"}),
            toInt(ExitCode::Usage));
  EXPECT_EQ(System.run({"submit", "--entry=10.0.0.1:7000", "--lines",
                        "--caller=c", "--service=s"}),
            toInt(ExitCode::NotRun))
      << "no entry issues an id";
}

RC_GTEST_PROP(SubmitProperty, NeverClaimsMoreThanItKnows, ()) {
  auto Script = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 10)));
  const std::vector<HttpAnswer> All{
      Complete, Overloaded, WorkerLost, BadRequest, Late,
      Lost,     NotThere,   TooLarge,   Garbage,    Crossed};
  std::vector<HttpAnswer> Answers;
  Answers.reserve(Script.size());
  for (int Index : Script)
    Answers.push_back(All[static_cast<std::size_t>(Index)]);
  FakeSystem System;
  int Code = submit(System, Answers, {"--json", "--key=k"});
  std::size_t Sent = System.Seen.size();
  bool Doubt = false;
  for (std::size_t I = 0; I < Sent; ++I) {
    int Index = Script[std::min(I, Script.size() - 1)];
    Doubt = Doubt || Index == 2 || Index == 5 || Index == 8 || Index == 9;
  }
  int Last = Script[std::min(Sent, Script.size()) - 1];
  RC_ASSERT((Code == 0) == (Last == 0));
  if (Code == toInt(ExitCode::NotRun) || Code == toInt(ExitCode::Refused))
    RC_ASSERT(!Doubt);
  for (const SeenCall &Each : System.Seen)
    RC_ASSERT(Each.Key == "k");
}

} // namespace
} // namespace geraniumbay::cli
