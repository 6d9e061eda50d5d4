//===- evacuatetest.cpp - Tests of evacuating a data centre ---------------===//

#include "cli/tests/fakesystem.h"

#include <gtest/gtest.h>

namespace geraniumbay::cli {
namespace {

const std::string Control = "--control=10.0.0.1:8000";

class EvacuateTest : public testing::Test {
protected:
  void SetUp() override {
    System.Rpc["evacuation.order"] = {object("{}")};
    System.Rpc["evacuation.list"] = {
        object(R"({"evacuations":[{"data_centre":"north","since_ms":1,
            "running":3,"entries_behind":["10.0.0.9:1"]}]})"),
        object(R"({"evacuations":[{"data_centre":"north","since_ms":1,
            "running":0,"entries_behind":[]}]})")};
  }
  int evacuate(std::vector<std::string> More) {
    More.insert(More.begin(), {"evacuate", Control});
    return System.run(More);
  }

  FakeSystem System; // NOLINT(readability-identifier-naming): as gtest's own.
};

TEST_F(EvacuateTest, SendsTheOrder) {
  EXPECT_EQ(evacuate({"north"}), 0);
  ASSERT_FALSE(System.Seen.empty());
  EXPECT_EQ(System.Seen.front().Name, "evacuation.order");
  EXPECT_EQ(System.Seen.front().Params["data_centre"].asString(), "north");
  EXPECT_TRUE(System.Seen.front().Params["evacuate"].asBool());
  EXPECT_NE(System.Out.find("north"), std::string::npos);
}

TEST_F(EvacuateTest, SendsTheEnd) {
  EXPECT_EQ(evacuate({"--end", "north"}), 0);
  EXPECT_FALSE(System.Seen.front().Params["evacuate"].asBool());
}

TEST_F(EvacuateTest, WaitsUntilNoTaskRunsThere) {
  EXPECT_EQ(evacuate({"--wait", "--json", "north"}), 0);
  EXPECT_EQ(object(System.Out)["evacuations"][0]["running"].asUInt(), 0U);
}

TEST_F(EvacuateTest, SaysThatTheOrderIsNotObeyedInTime) {
  System.Rpc["evacuation.list"].pop_back();
  EXPECT_EQ(evacuate({"--wait", "--wait_ms=2000", "north"}),
            toInt(ExitCode::Failure));
}

TEST_F(EvacuateTest, ShowsWhatIsEvacuatedWithoutAName) {
  EXPECT_EQ(evacuate({}), 0);
  EXPECT_EQ(System.Seen.front().Name, "evacuation.list");
}

TEST_F(EvacuateTest, AnUnknownNameIsRefused) {
  System.Rpc["evacuation.order"] = {Error{ErrorCode::NotFound, "unknown"}};
  EXPECT_EQ(evacuate({"nowhere"}), toInt(ExitCode::Refused));
}

} // namespace
} // namespace geraniumbay::cli
