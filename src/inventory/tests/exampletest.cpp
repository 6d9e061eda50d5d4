//===- exampletest.cpp - Tests of the examples and the page of keys -------===//
//
// The examples must be valid and agree with each other, and the page of the
// keys must name every key with what is allowed and its default.
//
//===----------------------------------------------------------------------===//

#include "inventory/document.h"
#include "inventory/schema.h"
#include "inventory/settings.h"
#include "inventory/textfile.h"

#include <gtest/gtest.h>

#include <filesystem>

namespace geraniumbay::inventory {
namespace {

const std::filesystem::path Root = GB_SOURCE_DIR;

std::string readFile(const std::filesystem::path &Path) {
  auto Text = attempt([&] { return readTextFile(Path, MaxDocumentBytes); });
  EXPECT_TRUE(Text.ok()) << Path;
  return Text ? *Text : "";
}

/// An example and the sizes that the brief gives.
struct Example {
  std::string Name;
  std::size_t DataCentres;
  std::size_t Racks;
  MessageWeight Weight;
};

void PrintTo(const Example &Value, std::ostream *Out) { *Out << Value.Name; }

class ExampleTest : public testing::TestWithParam<Example> {
protected:
  std::filesystem::path folder() const {
    return Root / "examples" / GetParam().Name;
  }
  Document document() const {
    auto Parsed =
        parseDocument({{"inventory.ini", readFile(folder() / "inventory.ini")},
                       {"rules.ini", readFile(folder() / "rules.ini")}});
    EXPECT_TRUE(Parsed.ok())
        << (Parsed ? "" : problemsAsError(Parsed.problems()).Message);
    return Parsed ? *Parsed : Document{};
  }
};

TEST_P(ExampleTest, HasTheSizesOfTheBrief) {
  Document Doc = document();
  EXPECT_EQ(Doc.Inv.DataCentres.size(), GetParam().DataCentres);
  EXPECT_EQ(Doc.Inv.Racks.size(), GetParam().Racks);
  EXPECT_EQ(Doc.Rule.Weight, GetParam().Weight);
  EXPECT_EQ(vmsWithRole(Doc.Inv, Role::Entry).size(), 7U);
  for (const auto &[Name, Value] : Doc.Inv.DataCentres)
    EXPECT_EQ(vmsWithRole(Doc.Inv, Role::Ledger, Name).size(), 2U) << Name;
  std::set<DataCentreId> Places;
  for (const Vm &Control : vmsWithRole(Doc.Inv, Role::Control))
    Places.insert(Control.DataCentre);
  EXPECT_EQ(vmsWithRole(Doc.Inv, Role::Control).size(), 3U);
  EXPECT_EQ(Places.size(), 3U);
}

TEST_P(ExampleTest, SettingsAgreeWithTheInventory) {
  Document Doc = document();
  std::set<VmId> Seen;
  for (const auto &File :
       std::filesystem::directory_iterator(folder() / "settings")) {
    auto Parsed = parseSettings(readFile(File.path()), File.path().filename());
    ASSERT_TRUE(Parsed.ok()) << problemsAsError(Parsed.problems()).Message;
    Problems Found = compareWithInventory(*Parsed, Doc.Inv);
    EXPECT_TRUE(Found.empty()) << problemsAsError(Found).Message;
    EXPECT_EQ(Parsed->Process.Vm.value(), File.path().stem());
    Seen.insert(Parsed->Process.Vm);
  }
  EXPECT_EQ(Seen.size(), Doc.Inv.Vms.size());
}

INSTANTIATE_TEST_SUITE_P(
    Examples, ExampleTest,
    testing::Values(Example{"reclamos", 3, 6, MessageWeight::Messages},
                    Example{"association", 4, 8, MessageWeight::Response}));

TEST(CompareTest, DifferencesFromTheInventoryAreNamed) {
  Inventory Inv;
  ProcessSettings Settings;
  Settings.Process.Vm = VmId("a");
  Settings.Process.Roles = {Role::Entry};
  Settings.Process.Peer = {"10.0.0.1", 8000};
  EXPECT_EQ(compareWithInventory(Settings, Inv).size(), 1U);
  Vm Listed{
      VmId("a"), DataCentreId("x"), {Role::Control}, {"10.0.0.2", 8000}, {}, {},
      true};
  Inv.Vms[Listed.Name] = Listed;
  EXPECT_EQ(compareWithInventory(Settings, Inv).size(), 4U);
}

/// Expects a row for each key under the heading of its section.
void expectRows(const std::string &Page, const std::string &Part,
                const std::vector<KeyInfo> &Keys) {
  std::size_t Start = Page.find("## " + Part + "\n");
  ASSERT_NE(Start, std::string::npos) << Part;
  for (const KeyInfo &Key : Keys) {
    std::size_t Section = Page.find("### `[" + Key.Section + "]`\n", Start);
    ASSERT_NE(Section, std::string::npos) << Key.Section;
    std::string Allowed = Key.Allowed;
    for (std::size_t I = 0; (I = Allowed.find('|', I)) != std::string::npos;
         I += 2)
      Allowed.insert(I, "\\");
    std::string Row =
        "| `" + Key.Key + "` | " + Allowed + " | " + Key.Default + " | ";
    std::size_t Place = Page.find(Row, Section);
    EXPECT_NE(Place, std::string::npos) << Row;
    EXPECT_LT(Place, Page.find("\n### ", Section + 1)) << Row;
  }
}

TEST(ConfigurationPageTest, NamesEveryKeyWithItsDefault) {
  std::string Page = readFile(Root / "docs" / "CONFIGURATION.md");
  expectRows(Page, "The document: inventory and rules", documentKeys());
  expectRows(Page, "The settings of a process", settingsKeys());
}

} // namespace
} // namespace geraniumbay::inventory
