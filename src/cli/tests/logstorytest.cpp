//===- logstorytest.cpp - Tests of the story of a job ---------------------===//
//
// Lines are read whatever stands before them, clocks are aligned, and the cause
// of a failure is named.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/logstory.h"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <sstream>

namespace geraniumbay::cli {
namespace {

using namespace std::chrono_literals;

LogStory tell(const std::string &Job,
              const std::map<std::string, std::string> &Files) {
  LogReader Reader(Job);
  for (const auto &[Name, Text] : Files) {
    std::istringstream From(Text);
    Reader.read(From, Name);
  }
  return Reader.story();
}

std::vector<std::string> events(const LogStory &Story) {
  std::vector<std::string> Result;
  for (const LogLine &Line : Story.Lines)
    Result.push_back(Line.Event);
  return Result;
}

TEST(LogStoryTest, ALineIsReadWithAndWithoutASourceBeforeIt) {
  std::string Text = "time=2026-12-02T23:05:58.123 level=INFO module=gb.jobs "
                     "event=job_taken job=j1 reason=\"a b\" left_us=7";
  auto Bare = readLogLine(Text, "file.log");
  ASSERT_TRUE(Bare);
  EXPECT_EQ(Bare->Source, "file.log");
  EXPECT_EQ(Bare->Event, "job_taken");
  EXPECT_EQ(Bare->field("reason"), "a b");
  EXPECT_EQ(Bare->field("left_us"), "7");
  EXPECT_EQ(Bare->At % 1s, 123ms);
  auto Named = readLogLine("  5.9456 entry-1 " + Text, "file.log");
  ASSERT_TRUE(Named);
  EXPECT_EQ(Named->Source, "entry-1");
  EXPECT_FALSE(readLogLine("no event here", "file.log"));
}

TEST(LogStoryTest, ALostWorkerIsTheCauseOfALateJob) {
  LogStory Story = tell(
      "j1",
      {{"entry",
        "time=2026-12-02T10:00:03.000 level=INFO event=job_answered job=j1 "
        "outcome=known took_us=2000000\n"},
       {"owner",
        "time=2026-12-02T10:00:01.010 event=job_taken job=j1 origin=e:1\n"
        "time=2026-12-02T10:00:01.011 event=task_ordered job=j1 step=0 index=0 "
        "run=1 worker=w1\n"
        "time=2026-12-02T10:00:01.500 event=worker_silent worker=w1 runs=1\n"
        "time=2026-12-02T10:00:01.600 event=worker_silent worker=w2 runs=1\n"
        "time=2026-12-02T10:00:02.100 event=run_lost job=j1 step=0 index=0 "
        "worker=w1 reason=\"lease over\"\n"
        "time=2026-12-02T10:00:02.990 event=job_ended job=j1\n"
        "time=2026-12-02T10:00:02.991 event=job_ended job=j10\n"}});
  EXPECT_EQ(events(Story), (std::vector<std::string>{
                               "job_taken", "task_ordered", "worker_silent",
                               "run_lost", "job_ended", "job_answered"}));
  ASSERT_EQ(Story.Causes.size(), 1U);
  EXPECT_NE(Story.Causes.front().find("worker w1: lease over"),
            std::string::npos);
  EXPECT_TRUE(Story.Shifts.empty());
}

TEST(LogStoryTest, AClockThatIsAheadIsBroughtIntoTheEntrysTime) {
  LogStory Story = tell(
      "j1",
      {{"entry", "time=2026-12-02T10:00:03.000 event=job_answered job=j1 "
                 "outcome=not_taken reason=\"no worker was free in time\" "
                 "took_us=1000000\n"},
       {"owner", "time=2026-12-02T10:00:07.010 event=job_taken job=j1\n"
                 "time=2026-12-02T10:00:07.900 event=job_given_up job=j1 "
                 "begun=false reason=\"not begun in time\"\n"
                 "time=2026-12-02T10:00:07.900 event=job_ended job=j1\n"}});
  EXPECT_EQ(events(Story),
            (std::vector<std::string>{"job_taken", "job_given_up", "job_ended",
                                      "job_answered"}));
  EXPECT_EQ(Story.Shifts.at("owner"), -4900ms);
  ASSERT_EQ(Story.Causes.size(), 2U);
  EXPECT_NE(Story.Causes.front().find("it had not begun"), std::string::npos);
}

TEST(LogStoryTest, AnUnknownJobHasNoStory) {
  EXPECT_TRUE(
      tell("j1", {{"f", "time=2026-12-02T10:00:03.000 event=started\n"}})
          .Lines.empty());
}

RC_GTEST_PROP(LogStoryProperties, AnyTextIsReadWithoutHarm,
              (const std::string &Text)) {
  readLogLine(Text, "file");
  readLogLine("time=2026-12-02T10:00:03.000 event=a " + Text, "file");
}

} // namespace
} // namespace geraniumbay::cli
