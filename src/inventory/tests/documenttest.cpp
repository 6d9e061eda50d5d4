//===- documenttest.cpp - Tests of reading documents ----------------------===//
//
// Valid documents, and one mistake of each kind with its exact place.
//
//===----------------------------------------------------------------------===//

#include "inventory/tests/sample.h"

#include <gtest/gtest.h>

namespace geraniumbay::inventory {
namespace {

TEST(DocumentTest, ReadsInventoryAndRules) {
  Document Doc = valid(SampleText);
  const Vm &First = Doc.Inv.Vms.at(VmId("n1"));
  EXPECT_EQ(First.Roles,
            (std::set<Role>{Role::Entry, Role::Ledger, Role::Control}));
  EXPECT_EQ(First.Peer, (Endpoint{"10.0.0.1", 8000}));
  EXPECT_EQ(vmsWithRole(Doc.Inv, Role::Entry, DataCentreId("south")).size(),
            1U);
  const Service &Quote = Doc.Inv.Services.at(ServiceId("quote"));
  EXPECT_EQ(Quote.MaxPayload, ByteCount(65536));
  EXPECT_EQ(Quote.LargestTask, Quote.Worker);
  EXPECT_EQ(Doc.Inv.Callers.at(CallerId("courier")).Class, CallerClass::Urgent);
  EXPECT_EQ(Doc.Rule.Retention, std::chrono::hours(24));
}

TEST(DocumentTest, HedgeDefaultFollowsTheWeight) {
  EXPECT_EQ(valid(SampleText).Rule.Budget.Hedge, Percent(1));
  EXPECT_EQ(valid(sampleWith("= messages", "= response")).Rule.Budget.Hedge,
            Percent(5));
  EXPECT_EQ(valid(SampleText + "[budgets]\nhedge = 7%\n").Rule.Budget.Hedge,
            Percent(7));
}

TEST(DocumentTest, UnnamedRequestIsNotRepeatableIfAnyIsNot) {
  Rules Rule = valid(SampleText).Rule;
  EXPECT_FALSE(isRepeatable(Rule, ServiceId("quote"), "payout"));
  EXPECT_FALSE(isRepeatable(Rule, ServiceId("quote"), ""));
  EXPECT_TRUE(isRepeatable(Rule, ServiceId("quote"), "check"));
  EXPECT_TRUE(isRepeatable(Rule, ServiceId("other"), ""));
}

TEST(DocumentTest, JoinedFilesReadTheSame) {
  std::size_t Middle = SampleText.find("[service");
  std::vector<SourceText> Sources{{"a.ini", SampleText.substr(0, Middle - 1)},
                                  {"b.ini", SampleText.substr(Middle)}};
  Checked<Document> Parsed = parseDocument(Sources);
  ASSERT_TRUE(Parsed.ok());
  EXPECT_EQ(*Parsed, valid(SampleText));
  EXPECT_EQ(*Parsed, valid(joinSources(Sources)));
}

TEST(DocumentTest, AcceptsCarriageReturnsByteOrderMarkAndComments) {
  std::string Text = "\xEF\xBB\xBF; head\n# more\n";
  for (char C : SampleText)
    Text += C == '\n' ? std::string(" ; why\r\n") : std::string(1, C);
  EXPECT_EQ(valid(Text), valid(SampleText));
}

/// One mistake in the sample: what is replaced, and the problem expected.
struct Mistake {
  std::string From;
  std::string To;
  unsigned Line;
  std::string Key;
  std::string Says;
};

void PrintTo(const Mistake &Value, std::ostream *Out) { *Out << Value.To; }

class MistakeTest : public testing::TestWithParam<Mistake> {};

TEST_P(MistakeTest, IsReportedAtItsPlace) {
  const Mistake &Wrong = GetParam();
  auto Parsed = parseDocument(sampleWith(Wrong.From, Wrong.To), "s.ini");
  ASSERT_FALSE(Parsed.ok());
  ASSERT_EQ(Parsed.problems().size(), 1U)
      << problemsAsError(Parsed.problems()).Message;
  const Problem &Found = Parsed.problems().front();
  EXPECT_EQ(Found.File, "s.ini");
  EXPECT_EQ(Found.Line, Wrong.Line);
  EXPECT_EQ(Found.Key, Wrong.Key);
  EXPECT_NE(Found.Message.find(Wrong.Says), std::string::npos) << Found.Message;
}

const std::string LongName(33, 'x');

INSTANTIATE_TEST_SUITE_P(
    Text, MistakeTest,
    testing::Values(
        Mistake{"region = one", "region", 2, "", "key = value"},
        Mistake{"region = one", "region one", 2, "", "key = value"},
        Mistake{"region = one", "region = " + std::string(17000, 'x'), 2, "",
                "line too long"},
        Mistake{"region = one", std::string("region = o\0e", 12), 2, "", "NUL"},
        Mistake{"[data_centre north]", "a = 1\n[data_centre north]", 1, "a",
                "before the first section"},
        Mistake{"[rules]", "[rules] x = 1", 27, "", "after the section header"},
        Mistake{"[rack r1]", "[rack r1", 15, "", "without ]"},
        Mistake{"[rules]", "[caller " + std::string(60, 'x') + "]\n[rules]", 27,
                "", "at most 49"},
        Mistake{"[rules]", "[]\n[rules]", 27, "", "[kind name]"},
        Mistake{"[rules]", "[rack a b]\n[rules]", 27, "", "[kind name]"}));

INSTANTIATE_TEST_SUITE_P(
    Sections, MistakeTest,
    testing::Values(
        Mistake{"[rules]", "[rule]\n[rules]", 27, "rule", "unknown section"},
        Mistake{"[rules]", "[rules now]", 27, "rules now", "allowed: [rules]"},
        Mistake{"[rules]", "[rack]\n[rules]", 27, "rack", "\"\" is not a name"},
        Mistake{"[rack r1]", "[rack R1]", 15, "rack R1", "lower-case"},
        Mistake{"[rack r1]", "[rack " + LongName + "]", 15, "rack " + LongName,
                "1 to 32"},
        Mistake{"[rules]", "[team desk]\n[rules]", 27, "team desk",
                "already stands in s.ini line 21"},
        Mistake{"region = one", "regions = one", 2, "data_centre north.regions",
                "unknown key; allowed: region, closed"},
        Mistake{"region = one", "region = one\nregion = two", 3,
                "data_centre north.region", "stands in line 2"}));

INSTANTIATE_TEST_SUITE_P(
    Values, MistakeTest,
    testing::Values(
        Mistake{"24h", "24", 30, "rules.retention",
                "unit (us, ms, s, m, h, d)"},
        Mistake{"24h", "24H", 30, "rules.retention", "from 1m to 90d"},
        Mistake{"24h", "91d", 30, "rules.retention", "from 1m to 90d"},
        Mistake{"24h", "99999999999999999d", 30, "rules.retention", "90d"},
        Mistake{"64KiB", "64KB", 18, "service quote.max_payload", "KiB"},
        Mistake{"64KiB", "65MiB", 18, "service quote.max_payload", "64MiB"},
        Mistake{"= 32", "= 0", 19, "service quote.worker_cores", "1 to 4096"},
        Mistake{"= 32", "= -1", 19, "service quote.worker_cores", "1 to 4096"},
        Mistake{"disk = yes", "disk = true", 9, "vm n1.disk", "yes or no"},
        Mistake{"= urgent", "= first", 26, "caller courier.class",
                "urgent | routine"},
        Mistake{"10.0.1.1:8000", "10.0.1:8000", 13, "vm s1.peer_address",
                "IPv4"},
        Mistake{"10.0.1.1:8000", "10.0.1.1:0", 13, "vm s1.peer_address",
                "port"},
        Mistake{"10.0.1.1:8000", "s1.example:8000", 13, "vm s1.peer_address",
                "IPv4"},
        Mistake{"roles = entry\n", "roles = entry, entry\n", 12, "vm s1.roles",
                "each once"},
        Mistake{"roles = entry\n", "roles = entry,\n", 12, "vm s1.roles",
                "entry | ledger | control"},
        Mistake{"quote/payout", "quote/", 28, "rules.not_repeatable",
                "service/request"}));

INSTANTIATE_TEST_SUITE_P(
    References, MistakeTest,
    testing::Values(
        Mistake{"home = north", "home = east", 24, "caller courier.home",
                "no section [data_centre east]"},
        Mistake{"home = north", "home = south", 24, "caller courier.home",
                "no VM with the role ledger"},
        Mistake{"team = desk", "team = door", 25, "caller courier.team",
                "[team door]"},
        Mistake{"quote/payout", "quotes", 28, "rules.not_repeatable",
                "[service quotes]"},
        Mistake{"team = desk\n", "", 23, "caller courier.team", "missing"},
        Mistake{"disk = yes", "disk = no", 9, "vm n1.disk", "disk = yes"},
        Mistake{"caller_address = 10.0.1.1:7000\n", "", 10,
                "vm s1.caller_address", "missing"},
        Mistake{"10.0.1.1:8000", "10.0.0.1:7000", 13, "vm s1.peer_address",
                "already stands at vm n1.caller_address"},
        Mistake{"region = one", "closed = yes", 24, "caller courier.home",
                "is closed"},
        Mistake{"= 32", "= 32\nlargest_task_cores = 33", 20,
                "service quote.largest_task_cores", "more than worker_cores"},
        Mistake{"= 32", "= 32\nexpected_median = 2s\nexpected_p99 = 1s", 20,
                "service quote.expected_median", "more than expected_p99"},
        Mistake{"[rules]", "[timeouts]\ndefault_deadline = 10m\n[rules]", 28,
                "timeouts.default_deadline", "later than max_deadline"}));

TEST(DocumentTest, NoControlVmIsReported) {
  auto Parsed =
      parseDocument(sampleWith(", ledger, control", ", ledger"), "s.ini");
  ASSERT_FALSE(Parsed.ok());
  EXPECT_EQ(Parsed.problems().front().text(),
            "no VM has the role control; wanted: 1 to 9");
}

TEST(DocumentTest, AllProblemsComeInTheOrderOfTheirLines) {
  std::string Text = sampleWith("= 32", "= many") + "[budgets]\nretry = 5\n";
  auto Parsed = parseDocument(Text, "s.ini");
  ASSERT_FALSE(Parsed.ok());
  EXPECT_EQ(problemsAsError(Parsed.problems()).Message,
            "s.ini:19: service quote.worker_cores: \"many\" is not a whole "
            "number from 1 to 4096\n"
            "s.ini:32: budgets.retry: \"5\" is not a whole number from 0 to "
            "100 and %");
}

TEST(DocumentTest, ProblemsOfAHostileTextAreBounded) {
  std::string Text;
  for (int I = 0; I < 5000; ++I)
    Text += "x\n";
  auto Parsed = parseDocument(Text, "s.ini");
  ASSERT_FALSE(Parsed.ok());
  EXPECT_LE(Parsed.problems().size(), 1001U);
  EXPECT_FALSE(parseDocument(std::string(MaxDocumentBytes + 1, '\n'), "").ok());
}

} // namespace
} // namespace geraniumbay::inventory
