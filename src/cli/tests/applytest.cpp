//===- applytest.cpp - Tests of changing the configuration ----------------===//
//
// "apply" under races, lost answers and unreachable control VMs; "show" and
// "history".
//
//===----------------------------------------------------------------------===//

#include "cli/tests/fakesystem.h"

#include <gtest/gtest.h>

namespace geraniumbay::cli {
namespace {

const std::string Control = "--control=10.0.0.1:8000, 10.0.0.2:8000";
const Error Lost{ErrorCode::Timeout, "lost"};
const Error NotThere{ErrorCode::Refused, "not there"};

class ApplyTest : public testing::Test {
protected:
  void SetUp() override {
    System.Rpc["control.status"] = {object(
        R"({"version":7,"history":[{"version":1,"operation":"aa"},
            {"version":12,"operation":"b\u001b"}]})")};
    System.Rpc["control.propose"] = {object(R"({"version":8})")};
  }
  int apply(std::vector<std::string> More = {}) {
    More.insert(More.begin(), {"apply", Control, Inventory, Rules});
    return System.run(More);
  }
  std::vector<SeenCall> proposals() const {
    std::vector<SeenCall> Result;
    for (const SeenCall &Each : System.Seen)
      if (Each.Name == "control.propose")
        Result.push_back(Each);
    return Result;
  }

  FakeSystem System; // NOLINT(readability-identifier-naming): as gtest's own.
};

TEST_F(ApplyTest, SendsTheDocumentOnTheVersionInForce) {
  EXPECT_EQ(apply(), 0);
  ASSERT_EQ(proposals().size(), 1U);
  const Json::Value Sent = proposals().front().Params;
  EXPECT_EQ(Sent["base"].asUInt64(), 7U);
  EXPECT_EQ(Sent["operation"].asString().size(), 16U);
  EXPECT_NE(Sent["document"].asString().find("[vm barracas-e1]"),
            std::string::npos);
  EXPECT_NE(System.Out.find("version: 8"), std::string::npos);
  EXPECT_NE(
      System.Err.find("operation " + Sent["operation"].asString() + ", base 7"),
      std::string::npos);
}

TEST_F(ApplyTest, LoserOfARaceIsTold) {
  System.Rpc["control.propose"] = {
      object(R"({"version":8,"failure":"conflict"})")};
  EXPECT_EQ(apply({"--json"}), toInt(ExitCode::Refused));
  EXPECT_EQ(object(System.Out)["error"].asString(),
            errorCodeName(ErrorCode::Conflict));
  EXPECT_NE(System.Err.find("version 8 is in force"), std::string::npos);
}

TEST_F(ApplyTest, OtherRefusalsAreTold) {
  System.Rpc["control.propose"] = {
      object(R"({"version":7,"failure":"invalid_argument"})")};
  EXPECT_EQ(apply(), toInt(ExitCode::Refused));
  EXPECT_NE(System.Err.find("was used for a different change"),
            std::string::npos);
  System.Rpc["control.propose"] = {
      Error{ErrorCode::InvalidArgument, "one\ntwo"}};
  EXPECT_EQ(apply(), toInt(ExitCode::Refused));
  EXPECT_NE(System.Err.find("\none\ntwo\n"), std::string::npos);
  System.Rpc["control.propose"] = {object("{}")};
  EXPECT_EQ(apply(), toInt(ExitCode::Unknown));
}

TEST_F(ApplyTest, LostAnswerIsAskedForUnderTheSameOperation) {
  System.Rpc["control.propose"] = {Lost, NotThere, Lost,
                                   object(R"({"version":8})")};
  EXPECT_EQ(apply(), 0);
  ASSERT_EQ(proposals().size(), 4U);
  for (const SeenCall &Each : proposals())
    EXPECT_EQ(Each.Params, proposals().front().Params);
  EXPECT_NE(proposals()[0].To, proposals()[1].To);
}

TEST_F(ApplyTest, AnswerThatNeverComesIsNotTakenForARefusal) {
  System.Rpc["control.propose"] = {Lost, NotThere};
  EXPECT_EQ(apply(), toInt(ExitCode::Unknown));
  std::string Operation = proposals().front().Params["operation"].asString();
  EXPECT_NE(System.Err.find("--operation " + Operation + " --base 7"),
            std::string::npos);

  System.Seen.clear();
  System.Rpc["control.propose"] = {object(R"({"version":8})")};
  EXPECT_EQ(apply({"--operation", Operation, "--base", "7"}), 0);
  EXPECT_EQ(System.Seen.size(), 1U);
  EXPECT_EQ(proposals().front().Params["operation"].asString(), Operation);
}

TEST_F(ApplyTest, NothingWasDoneIfNobodyWasReached) {
  System.Rpc["control.propose"] = {NotThere};
  EXPECT_EQ(apply(), toInt(ExitCode::NotRun));
  System.Rpc["control.status"] = {Lost};
  System.Seen.clear();
  EXPECT_EQ(apply(), toInt(ExitCode::NotRun));
  EXPECT_TRUE(proposals().empty());
}

TEST_F(ApplyTest, BrokenDocumentIsNotSent) {
  EXPECT_EQ(System.run({"apply", Control, Inventory}), toInt(ExitCode::Ok));
  System.Seen.clear();
  EXPECT_EQ(System.run({"apply", Control, Rules}), toInt(ExitCode::Failure));
  EXPECT_TRUE(System.Seen.empty());
  EXPECT_NE(System.Err.find("there is no section [data_centre barracas]"),
            std::string::npos);
}

TEST_F(ApplyTest, ShowCanBeEditedAndApplied) {
  System.Rpc["control.watch"] = {
      object(R"({"version":7,"document":"x\n","revision":9})")};
  EXPECT_EQ(System.run({"show", Control}), 0);
  EXPECT_EQ(System.Out, "; version 7\nx\n");
  EXPECT_EQ(System.run({"show", Control, "--json"}), 0);
  EXPECT_EQ(object(System.Out), object(R"({"version":7,"document":"x\n"})"));
  for (const char *Bad : {R"({"version":"seven"})", "[]"}) {
    System.Rpc["control.watch"] = {object(Bad)};
    EXPECT_EQ(System.run({"show", Control}), toInt(ExitCode::Failure));
  }
}

TEST_F(ApplyTest, HistoryIsATable) {
  EXPECT_EQ(System.run({"history", Control}), 0);
  EXPECT_EQ(System.Out, "changes:\n"
                        "  operation  version\n"
                        "  aa         1\n"
                        "  b?         12\n");
}

} // namespace
} // namespace geraniumbay::cli
