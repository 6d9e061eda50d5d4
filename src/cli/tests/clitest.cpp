//===- clitest.cpp - Tests of the command line ----------------------------===//
//
// Choosing commands, their help and their flags.
//
//===----------------------------------------------------------------------===//

#include "cli/tests/fakesystem.h"

#include <gtest/gtest.h>

#include <gflags/gflags.h>

// NOLINTNEXTLINE(readability-identifier-naming): gflags makes the name.
DEFINE_uint32(test_added, 1, "a flag of an added command");

namespace geraniumbay::cli {
namespace {

constexpr int Usage = toInt(ExitCode::Usage);

TEST(CliTest, OverviewListsEveryCommand) {
  FakeSystem System;
  EXPECT_EQ(System.run({"--help"}), 0);
  for (const Command &Each : standardCommands())
    EXPECT_NE(System.Out.find("  " + Each.Name + " "), std::string::npos)
        << Each.Name;
  EXPECT_EQ(System.run({}), Usage);
  EXPECT_NE(System.Err.find("Commands:"), std::string::npos);
}

TEST(CliTest, EveryCommandHasCompleteHelp) {
  for (const Command &Each : standardCommands()) {
    FakeSystem System;
    EXPECT_EQ(System.run({Each.Name, "--help"}), 0);
    EXPECT_NE(System.Out.find(Each.Summary), std::string::npos) << Each.Name;
    EXPECT_NE(System.Out.find(Each.Details), std::string::npos) << Each.Name;
    for (const std::string &Flag : Each.Flags) {
      std::size_t Place = System.Out.find("  --" + Flag);
      ASSERT_NE(Place, std::string::npos) << Each.Name << " " << Flag;
      // A flag that gflags does not know would have no description.
      std::size_t Text = System.Out.find("\n      ", Place);
      EXPECT_EQ(Text, System.Out.find('\n', Place)) << Flag;
    }
    for (const ExitCodeInfo &Info : exitCodes())
      EXPECT_NE(System.Out.find(Info.Meaning), std::string::npos);
    std::istringstream Lines(System.Out);
    for (std::string Line; std::getline(Lines, Line);)
      EXPECT_LE(Line.size(), 80U) << Line;
  }
}

TEST(CliTest, MistakesInTheCommandLineEndWithUsage) {
  const std::vector<std::pair<std::vector<std::string>, std::string>> Cases{
      {{"aply"}, "no command aply"},
      {{"apply"}, "apply wants FILE..."},
      {{"show", "x"}, "too many arguments; show takes none"},
      {{"show", "--jso"}, "show has no flag --jso"},
      {{"show", "--base", "3"}, "show has no flag --base"},
      {{"show", "--control"}, "--control needs a value"},
      {{"show", "--timeout_ms=soon"}, "\"soon\" is not of type uint32"},
      {{"show", "--json=maybe"}, "\"maybe\" is not of type bool"},
      {{"show"}, "no address; wanted: --control or --settings"},
      {{"show", "--control=host:1"}, "not an IPv4 number"},
      {{"drain"}, "no address; wanted: --admin or --settings"},
      {{"submit"}, "no address; wanted: --entry or --settings"},
      {{"check"}, "check wants FILE... or --settings"},
      {{"apply", "x", "--operation=a"}, "--operation wants --base"},
  };
  for (const auto &[Arguments, Says] : Cases) {
    FakeSystem System;
    EXPECT_EQ(System.run(Arguments), Usage) << Says;
    EXPECT_NE(System.Err.find(Says), std::string::npos) << System.Err;
    EXPECT_TRUE(System.Seen.empty());
  }
}

TEST(CliTest, FlagsTakeEveryUsualForm) {
  FakeSystem System;
  for (const char *Flag : {"--json", "-json", "--json=true", "--JSON"}) {
    int Expected = std::string(Flag) == "--JSON" ? Usage : 0;
    EXPECT_EQ(System.run({"version", Flag}), Expected) << Flag;
  }
  EXPECT_EQ(System.run({"version", "--json"}), 0);
  EXPECT_EQ(System.Out, "{\"version\":\"1.2.3\"}\n");
  // A flag of one run does not stay for the next.
  EXPECT_EQ(System.run({"version"}), 0);
  EXPECT_EQ(System.Out, "geraniumbay 1.2.3\n");
  EXPECT_EQ(System.run({"version", "--json", "--nojson"}), 0);
  EXPECT_EQ(System.Out, "geraniumbay 1.2.3\n");
  EXPECT_EQ(System.run({"check", "--", "--json"}), 1);
  EXPECT_NE(System.Err.find("--json: No such file"), std::string::npos);
}

TEST(CliTest, AddedCommandReadsItsOwnFlags) {
  std::uint32_t Seen = 0;
  Command Added{"added", "", "Adds.", "", {"test_added"}, 0, 0, {}};
  Added.Run = [&Seen](const Options &, Dependencies &, std::ostream &,
                      std::ostream &) {
    Seen = FLAGS_test_added;
    return 7;
  };
  FakeSystem System;
  System.Commands.push_back(Added);
  EXPECT_EQ(System.run({"added", "--test_added", "5"}), 7);
  EXPECT_EQ(Seen, 5U);
  EXPECT_EQ(System.run({"added"}), 7);
  EXPECT_EQ(Seen, 1U) << "the value of the run before";
}

} // namespace
} // namespace geraniumbay::cli
