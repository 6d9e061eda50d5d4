//===- processtest.cpp - Tests of "status" and "drain" --------------------===//
//
// Commands that ask one process.
//
//===----------------------------------------------------------------------===//

#include "cli/tests/fakesystem.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace geraniumbay::cli {
namespace {

const std::string Admin = "--admin=10.0.0.1:9000";

TEST(StatusTest, ShowsFieldsListsAndTables) {
  FakeSystem System;
  System.Rpc["control.status"] = {object(
      R"j({"version":7,"leader":null,"voters":["a","b"],
           "history":[{"version":7}],
           "watchers":[{"vm":"n1","cut_off":true},{"vm":"(operator)"},
                       {"vm":"s1"}]})j")};
  System.Rpc["control.watch"] = {
      object(R"({"version":7,"ledgers":{"north":{"epoch":2}}})")};
  EXPECT_EQ(System.run({"status", "--control=10.0.0.1:8000"}), 0);
  EXPECT_EQ(System.Out, "leader: -\n"
                        "ledgers:\n"
                        "  north:\n"
                        "    epoch: 2\n"
                        "version: 7\n"
                        "voters: a, b\n"
                        "watchers:\n"
                        "  vm  cut_off\n"
                        "  n1  yes\n"
                        "  s1  -\n");
}

TEST(StatusTest, AdminAsksOneProcessWithItsToken) {
  std::string Path = testing::TempDir() + "gb_token";
  std::ofstream(Path) << "0123456789abcdef\n";
  std::filesystem::permissions(Path, std::filesystem::perms(0600));
  FakeSystem System;
  System.Rpc["admin.status"] = {object(R"({"running":3})")};
  EXPECT_EQ(System.run({"status", Admin, "--token-file", Path}), 0);
  EXPECT_EQ(System.Out, "running: 3\n");
  EXPECT_EQ(System.Seen.front().Secret, "0123456789abcdef");
  std::filesystem::permissions(Path, std::filesystem::perms(0644));
  EXPECT_EQ(System.run({"status", Admin, "--token_file", Path}),
            toInt(ExitCode::Failure));
  EXPECT_NE(System.Err.find("mode 0600"), std::string::npos);
  std::filesystem::remove(Path);
}

TEST(DrainTest, WaitsUntilNothingIsInFlight) {
  FakeSystem System;
  System.Rpc["admin.drain"] = {object("{}")};
  System.Rpc["admin.status"] = {object(R"({"running":3})"),
                                object(R"({"running":1})"),
                                object(R"({"running":0})")};
  EXPECT_EQ(System.run({"drain", Admin, "--json"}), 0);
  EXPECT_EQ(object(System.Out)["drained"].asBool(), true);
  EXPECT_EQ(System.Seen.size(), 4U);
}

TEST(DrainTest, ProcessThatHasEndedIsDrained) {
  FakeSystem System;
  System.Rpc["admin.drain"] = {object("{}")};
  System.Rpc["admin.status"] = {object(R"({"running":3})"),
                                Error{ErrorCode::Refused, "nothing listens"}};
  EXPECT_EQ(System.run({"drain", Admin}), 0);
}

TEST(DrainTest, SaysWhatIsLeftWhenTheTimeIsOver) {
  FakeSystem System;
  System.Rpc["admin.drain"] = {object("{}")};
  System.Rpc["admin.status"] = {object(R"({"running":3})")};
  EXPECT_EQ(System.run({"drain", Admin, "--wait_ms=2000"}),
            toInt(ExitCode::Failure));
  EXPECT_EQ(System.Out, "drained: no\nrunning: 3\n");
  System.Rpc["admin.status"] = {Error{ErrorCode::Timeout, "silent"}};
  EXPECT_EQ(System.run({"drain", Admin, "--wait_ms=2000"}),
            toInt(ExitCode::Failure));
}

TEST(DrainTest, UnreachableProcessIsNotDrained) {
  FakeSystem System;
  EXPECT_EQ(System.run({"drain", Admin}), toInt(ExitCode::NotRun));
}

} // namespace
} // namespace geraniumbay::cli
