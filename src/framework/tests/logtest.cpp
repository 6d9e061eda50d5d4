//===- logtest.cpp - Tests of event lines ---------------------------------===//

#include "framework/log/log.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay {
namespace {

TEST(LogTest, QuotesOnlyWhatNeedsIt) {
  EXPECT_EQ(formatEvent("job_done", {{"tasks", 3},
                                     {"reason", "worker lost"},
                                     {"id", WorkerId("w-1")}}),
            "event=job_done tasks=3 reason=\"worker lost\" id=w-1");
}

RC_GTEST_PROP(LogTest, AnEventIsAlwaysOneLine, (const std::string &Value)) {
  std::string Line = formatEvent("e", {{"v", Value}});
  RC_ASSERT(Line.find('\n') == std::string::npos);
  RC_ASSERT(Line.find('\r') == std::string::npos);
}

} // namespace
} // namespace geraniumbay
