//===- settingstest.cpp - Tests of a process's settings -------------------===//
//
// Reading settings, their mistakes, and the modes of secret files.
//
//===----------------------------------------------------------------------===//

#include "inventory/settings.h"
#include "inventory/textfile.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace geraniumbay::inventory {
namespace {

const std::string Text = R"([process]
vm = n1
data_centre = north
roles = entry, ledger
peer_address = 10.0.0.1:8000
caller_address = 10.0.0.1:7000
data_folder = data/n1
[control]
peers = 10.0.0.2:8000, 10.0.0.3:8000
[security]
peer_key_file = keys/peer
)";

/// Returns all that is reported when \p From in Text is replaced by \p To.
std::string complaint(const std::string &From, const std::string &To) {
  std::string Changed = Text;
  Changed.replace(Changed.find(From), From.size(), To);
  Checked<ProcessSettings> Parsed = parseSettings(Changed, "p.ini");
  return Parsed ? "" : problemsAsError(Parsed.problems()).Message;
}

TEST(SettingsTest, ReadsValuesAndDefaults) {
  Checked<ProcessSettings> Parsed = parseSettings(Text, "p.ini");
  ASSERT_TRUE(Parsed.ok());
  EXPECT_TRUE(Parsed->hasRole(Role::Ledger));
  EXPECT_FALSE(Parsed->hasRole(Role::Control));
  EXPECT_EQ(Parsed->Control.Peers.size(), 2U);
  EXPECT_EQ(Parsed->Process.DrainTimeout, std::chrono::seconds(30));
  EXPECT_EQ(Parsed->Log.Level, LogLevel::Info);
}

TEST(SettingsTest, ReportsEachMistakeAtItsPlace) {
  EXPECT_EQ(complaint("vm = n1\n", ""),
            "p.ini:1: process.vm: missing; wanted: a name of 1 to 32 "
            "lower-case letters, digits, - _ . (first a letter or digit)");
  EXPECT_EQ(complaint("caller_address = 10.0.0.1:7000\n", ""),
            "p.ini:1: process.caller_address: missing; an entry needs one");
  EXPECT_EQ(complaint("data_folder = data/n1\n", ""),
            "p.ini:1: process.data_folder: missing; a ledger or control "
            "needs one");
  EXPECT_EQ(complaint(":7000", ":8000"),
            "p.ini:6: process.caller_address: the same as peer_address");
  EXPECT_EQ(complaint("[control]\npeers = 10.0.0.2:8000, 10.0.0.3:8000\n", ""),
            "p.ini: control: missing; wanted: a section of that name");
  EXPECT_EQ(
      complaint("[security]\n", "[security]\nadmin_certificate_file = c\n"),
      "p.ini:11: security.admin_certificate_file: admin_certificate_file "
      "and admin_private_key_file go together");
  EXPECT_EQ(complaint("[control]", "[trace]\nsample = 0.5\n[control]"),
            "p.ini:9: trace.sample: \"0.5\" is not a whole number from 0 to "
            "100 and %");
  EXPECT_EQ(complaint("[security]\npeer_key_file = keys/peer\n", ""),
            "p.ini:5: process.peer_address: security.peer_key_file is missing; "
            "wanted because the address is not on loopback");
  EXPECT_EQ(complaint("[control]", "admin_address = 10.0.0.1:9000\n[control]"),
            "p.ini:8: process.admin_address: security.admin_token_file is "
            "missing; wanted because the address is not on loopback");
  EXPECT_EQ(complaint("[control]", "[contrl]\n[control]"),
            "p.ini:8: contrl: unknown section; allowed: [process], [control], "
            "[log], [trace], [security], [limits]");
}

/// A folder of its own for each test.
class SecretFileTest : public testing::Test {
protected:
  void SetUp() override {
    Folder_ =
        std::filesystem::path(testing::TempDir()) /
        ("gb_secret_" +
         std::string(
             testing::UnitTest::GetInstance()->current_test_info()->name()));
    std::filesystem::create_directories(Folder_);
  }
  void TearDown() override { std::filesystem::remove_all(Folder_); }

  std::string write(const std::string &Content, unsigned Mode) const {
    std::string Path = Folder_ / "secret";
    std::ofstream(Path) << Content;
    std::filesystem::permissions(Path, std::filesystem::perms(Mode));
    return Path;
  }

  std::filesystem::path Folder_;
};

TEST_F(SecretFileTest, OnlyTheOwnerMayUseIt) {
  const std::string Secret = "0123456789abcdef";
  for (unsigned Mode : {0600U, 0400U}) {
    std::string Path = write(Secret + "\n", Mode);
    auto Read = attempt([&] { return readSecretFile(Path); });
    ASSERT_TRUE(Read.ok()) << Read.error().Message;
    EXPECT_EQ(*Read, Secret);
    std::filesystem::remove(Path);
  }
  for (unsigned Mode : {0640U, 0604U, 0700U, 0620U}) {
    std::string Path = write(Secret, Mode);
    auto Read = attempt([&] { return readSecretFile(Path); });
    ASSERT_FALSE(Read.ok()) << Mode;
    EXPECT_EQ(Read.error().Code, ErrorCode::Refused);
    std::filesystem::remove(Path);
  }
}

TEST_F(SecretFileTest, ShortMissingAndOddFilesAreReported) {
  ProcessSettings Settings;
  Settings.Security.PeerKeyFile = write("short", 0600U);
  Settings.Security.AdminTokenFile = Folder_ / "none";
  Settings.Security.AdminPrivateKeyFile = Folder_;
  EXPECT_EQ(checkSecretFiles(Settings).size(), 3U);
  auto AsFile = attempt([&] { return readTextFile(Folder_, 10); });
  ASSERT_FALSE(AsFile.ok());
  EXPECT_EQ(AsFile.error().Code, ErrorCode::InvalidArgument);
}

} // namespace
} // namespace geraniumbay::inventory
