//===- forecastskilltest.cpp - Tests of forecast correction ---------------===//
//
// A fifth of the workers is cut off while many callers arrive, and the
// scheduler learns of it half a second later. Until then each forecast is too
// short.
//
//===----------------------------------------------------------------------===//

#include "scheduling/forecastskill.h"

#include <gtest/gtest.h>

namespace geraniumbay::scheduling {
namespace {

using namespace std::chrono_literals;

const Time Start{100s};

TEST(ForecastSkillTest, TenJobsThatWaitTwiceAsLongCorrectTheNext) {
  ForecastSkill Skill;
  for (int I = 0; I < 20; ++I)
    learnForecast(Skill, 100ms, 220ms, Start + I * 10ms);
  EXPECT_GT(correctedForecast(Skill, 100ms, Start + 200ms), 160ms);
}

TEST(ForecastSkillTest, AForecastIsNeverShortened) {
  ForecastSkill Skill;
  for (int I = 0; I < 20; ++I)
    learnForecast(Skill, 400ms, 10ms, Start);
  EXPECT_EQ(correctedForecast(Skill, 100ms, Start), 100ms);
}

TEST(ForecastSkillTest, ACorrectionDecays) {
  ForecastSkill Skill;
  for (int I = 0; I < 30; ++I)
    learnForecast(Skill, 100ms, 400ms, Start);
  EXPECT_GT(correctedForecast(Skill, 100ms, Start), 250ms);
  EXPECT_LT(correctedForecast(Skill, 100ms, Start + 5s), 110ms);
}

TEST(ForecastSkillTest, WaitsOfMillisecondsAreIgnored) {
  ForecastSkill Skill;
  for (int I = 0; I < 50; ++I)
    learnForecast(Skill, Duration(0), 2ms, Start);
  EXPECT_LT(correctedForecast(Skill, 100ms, Start), 115ms);
}

} // namespace
} // namespace geraniumbay::scheduling
