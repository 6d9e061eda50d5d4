//===- errortest.cpp - Tests of errors as values --------------------------===//

#include "framework/errors/error.h"

#include <gtest/gtest.h>

namespace geraniumbay {
namespace {

RetVal<int> half(int Value) {
  if (Value % 2 != 0)
    return fail(ErrorCode::InvalidArgument, "odd");
  return Value / 2;
}

RetVal<int> quarter(int Value) {
  BOOST_LEAF_AUTO(Half, half(Value));
  return half(Half);
}

TEST(ErrorTest, AttemptReturnsTheValue) {
  auto Result = attempt([] { return quarter(8); });
  ASSERT_TRUE(Result.ok());
  EXPECT_EQ(*Result, 2);
}

TEST(ErrorTest, AttemptReturnsTheErrorOfTheInnermostCall) {
  auto Result = attempt([] { return quarter(6); });
  ASSERT_FALSE(Result.ok());
  EXPECT_EQ(Result.error(), (Error{ErrorCode::InvalidArgument, "odd"}));
}

TEST(ErrorTest, AttemptOfARetReturnsDone) {
  auto Result = attempt([]() -> Ret { return {}; });
  EXPECT_TRUE(Result.ok());
}

} // namespace
} // namespace geraniumbay
