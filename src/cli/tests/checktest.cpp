//===- checktest.cpp - Tests of "check" -----------------------------------===//
//
// Valid and broken files, settings against the inventory, changes.
//
//===----------------------------------------------------------------------===//

#include "cli/tests/fakesystem.h"

#include <gtest/gtest.h>

#include <fstream>

namespace geraniumbay::cli {
namespace {

constexpr int Failure = toInt(ExitCode::Failure);
const std::string Settings =
    Root + "/examples/reclamos/settings/barracas-e1.ini";

/// Writes \p Text to a file of this test and returns its path.
std::string file(const std::string &Name, const std::string &Text) {
  std::string Path = testing::TempDir() + "gb_check_" + Name;
  std::ofstream(Path) << Text;
  return Path;
}

TEST(CheckTest, ExamplesHaveNoMistakes) {
  FakeSystem System;
  EXPECT_EQ(System.run({"check", Inventory, Rules, "--settings", Settings}), 0)
      << System.Err;
  EXPECT_EQ(System.Out, "no mistakes\n");
  EXPECT_EQ(System.run({"check", Inventory, Rules, "--json"}), 0);
  EXPECT_EQ(System.Out, "{\"ok\":true}\n");
  EXPECT_EQ(System.run({"check", Inventory, Rules,
                        "--against=" + Inventory + "," + Rules}),
            0);
}

TEST(CheckTest, EveryMistakeIsShown) {
  FakeSystem System;
  std::string Path = file("a.ini", "[team t]\nweight = x\n[rules]\nr = 1\n");
  EXPECT_EQ(System.run({"check", Inventory, Rules, Path}), Failure);
  EXPECT_NE(System.Err.find(Path + ":2: team t.weight: "), std::string::npos);
  EXPECT_NE(System.Err.find(Path + ":3: rules: double"), std::string::npos);
  EXPECT_EQ(System.run({"check", Inventory, Rules, Path, "--json"}), Failure);
  Json::Value Found = object(System.Out);
  EXPECT_FALSE(Found["ok"].asBool());
  EXPECT_EQ(Found["problems"].size(), 2U);
  EXPECT_EQ(Found["problems"][0]["line"].asInt(), 2);
}

TEST(CheckTest, SettingsAreComparedWithTheInventory) {
  FakeSystem System;
  std::string Association = Root + "/examples/association/";
  EXPECT_EQ(
      System.run({"check", "--settings", Settings,
                  Association + "inventory.ini", Association + "rules.ini"}),
      Failure);
  EXPECT_NE(
      System.Err.find("process.vm: the inventory lists no VM barracas-e1"),
      std::string::npos);
}

TEST(CheckTest, DangerousChangeIsShown) {
  FakeSystem System;
  std::string Association = Root + "/examples/association/";
  EXPECT_EQ(System.run({"check", Association + "inventory.ini",
                        Association + "rules.ini", "--against",
                        Inventory + "," + Rules}),
            Failure);
  EXPECT_NE(System.Err.find("data_centre barracas: removed or renamed"),
            std::string::npos);
}

TEST(CheckTest, MissingFileIsShown) {
  FakeSystem System;
  EXPECT_EQ(System.run({"check", "/none/of/it"}), Failure);
  EXPECT_EQ(System.Err, "/none/of/it: No such file or directory\n");
}

} // namespace
} // namespace geraniumbay::cli
