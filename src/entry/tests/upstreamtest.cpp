//===- upstreamtest.cpp - Tests of what a worker's answer proves ----------===//

#include "entry/internal/upstream.h"

#include <gtest/gtest.h>

namespace geraniumbay::entry {
namespace {

const WorkerTaskId Id("task.0");

TaskEnd endOf(const Outcome<HttpResponse> &Answer) {
  return readTaskOutcome(Id, Answer).End;
}

TEST(UpstreamTest, AnAnswerCountsOnlyWithTheIdOfItsTask) {
  EXPECT_EQ(endOf(HttpResponse{200, {{"X-Task-Id", "task.0"}}, "a"}),
            TaskEnd::Succeeded);
  EXPECT_EQ(endOf(HttpResponse{200, {{"X-Task-Id", "task.1"}}, "a"}),
            TaskEnd::Unknown);
  EXPECT_EQ(endOf(HttpResponse{200, {}, "a"}), TaskEnd::Unknown);
}

TEST(UpstreamTest, OnlyTheGuardsWordProvesARefusal) {
  EXPECT_EQ(endOf(HttpResponse{503, {{"X-Not-Started", "1"}}, ""}),
            TaskEnd::Refused);
  EXPECT_EQ(endOf(HttpResponse{503, {{"X-Task-Id", "task.0"}}, ""}),
            TaskEnd::Failed);
}

TEST(UpstreamTest, OnlyAConnectionThatTookNoByteProvesNotStarted) {
  EXPECT_EQ(endOf(Error{ErrorCode::Refused, ""}), TaskEnd::NotStarted);
  EXPECT_EQ(endOf(Error{ErrorCode::Unavailable, ""}), TaskEnd::Unknown);
  EXPECT_EQ(endOf(Error{ErrorCode::Timeout, ""}), TaskEnd::Unknown);
  EXPECT_EQ(endOf(Error{ErrorCode::Corrupt, ""}), TaskEnd::Unknown);
}

} // namespace
} // namespace geraniumbay::entry
