//===- jsontest.cpp - Tests of safe JSON ----------------------------------===//

#include "framework/json/json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay {
namespace {

TEST(JsonTest, RefusesTextThatNestsTooDeep) {
  std::string Deep(100000, '[');
  auto Result = attempt([&] { return json::parse(Deep); });
  EXPECT_FALSE(Result.ok());
}

TEST(JsonTest, RefusesAFieldOfAnotherType) {
  auto Result = attempt([]() -> RetVal<std::uint64_t> {
    BOOST_LEAF_AUTO(Value, json::parse(R"({"n":"4"})"));
    return json::readUint(Value, "n");
  });
  ASSERT_FALSE(Result.ok());
  EXPECT_EQ(Result.error().Code, ErrorCode::InvalidArgument);
}

RC_GTEST_PROP(JsonTest, RandomBytesNeverCrashTheParser,
              (const std::string &Text)) {
  attempt([&] { return json::parse(Text); });
}

RC_GTEST_PROP(JsonTest, WhatIsWrittenIsReadBack, (const std::string &Text)) {
  Json::Value Value(Json::objectValue);
  Value["text"] = Text;
  auto Back = attempt([&] { return json::parse(json::write(Value)); });
  // Text that is not UTF-8 may be replaced; it must still be valid JSON.
  RC_ASSERT(Back.ok());
}

} // namespace
} // namespace geraniumbay
