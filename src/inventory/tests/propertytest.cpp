//===- propertytest.cpp - Properties of the readers -----------------------===//
//
// Random text never crashes a reader; a written document reads back the same;
// a broken line is reported with its exact number wherever it stands; the
// units agree with plain arithmetic.
//
//===----------------------------------------------------------------------===//

#include "inventory/internal/codecs.h"
#include "inventory/settings.h"
#include "inventory/tests/sample.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <rapidcheck/gtest.h>
#include <sstream>

namespace geraniumbay::inventory {
namespace {

/// Text made of pieces that mean something to the readers, and of noise.
rc::Gen<std::string> textLikeIni() {
  auto Piece = rc::gen::element<std::string>(
      "[", "]", "[vm a]\n", "[rules]\n", "[process]\n", "retention", "=", ":",
      "\n", "\r\n", " ", "1", "5%", "2s", "MiB", ",", ";", "#", "roles",
      "entry", "peer_address", "10.0.0.1:1", "\xEF\xBB\xBF", "data_centre");
  auto Part = rc::gen::oneOf(Piece, Piece, rc::gen::string<std::string>());
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(Part),
                      [](const auto &Parts) {
                        std::string Text;
                        for (const std::string &P : Parts)
                          Text += P;
                        return Text;
                      });
}

RC_GTEST_PROP(ReaderProperty, RandomTextGivesProblemsWithRealLines, ()) {
  std::string Text = *textLikeIni();
  auto Lines = std::count(Text.begin(), Text.end(), '\n') + 1;
  auto Doc = parseDocument(Text, "f");
  RC_ASSERT(!Doc.ok());
  for (const Problem &Found : Doc.problems())
    RC_ASSERT(Found.Line <= Lines);
  if (auto Settings = parseSettings(Text, "f"); !Settings.ok())
    RC_ASSERT(!Settings.problems().empty());
}

RC_GTEST_PROP(ReaderProperty, CutSampleNeverCrashes, ()) {
  std::string Text = SampleText;
  auto From = *rc::gen::inRange<std::size_t>(0, Text.size());
  auto Count = *rc::gen::inRange<std::size_t>(0, Text.size() - From + 1);
  Text.erase(From, Count);
  auto Doc = parseDocument(Text, "f");
  if (Doc.ok())
    RC_ASSERT(valid(writeDocument(*Doc)) == *Doc);
}

RC_GTEST_PROP(ReaderProperty, BrokenLineIsReportedAtItsNumber, ()) {
  std::vector<std::string> Lines;
  std::istringstream In(SampleText);
  for (std::string Line; std::getline(In, Line);)
    Lines.push_back(Line);
  auto Place = *rc::gen::inRange<std::size_t>(1, Lines.size() + 1);
  Lines.insert(Lines.begin() + static_cast<std::ptrdiff_t>(Place), "!broken");
  auto Blanks = *rc::gen::inRange<std::size_t>(0, 5);
  Lines.insert(Lines.begin(), Blanks, "; a comment");
  std::string Text;
  for (const std::string &Line : Lines)
    Text += Line + "\n";
  auto Doc = parseDocument(Text, "f");
  RC_ASSERT(!Doc.ok());
  RC_ASSERT(Doc.problems().size() == 1U);
  RC_ASSERT(Doc.problems().front().Line == Place + Blanks + 1);
}

template <typename IdT> rc::Gen<IdT> genName() {
  auto Inner = rc::gen::element('a', 'b', 'z', '0', '9', '-', '_', '.');
  return rc::gen::apply(
      [](char First, const std::string &Rest) {
        return IdT(First + Rest.substr(0, MaxNameLength - 1));
      },
      rc::gen::element('a', 'm', '7'), rc::gen::container<std::string>(Inner));
}

template <typename IdT> IdT pick(const std::set<IdT> &From) {
  return *rc::gen::elementOf(std::vector<IdT>(From.begin(), From.end()));
}

/// Draws a document that obeys the checks between sections.
Document drawDocument() {
  Document Doc;
  auto Number = [](unsigned Min, unsigned Max) {
    return *rc::gen::inRange<unsigned>(Min, Max);
  };
  auto Centres = *rc::gen::nonEmpty(
      rc::gen::container<std::set<DataCentreId>>(genName<DataCentreId>()));
  std::uint16_t Port = 1000;
  for (const DataCentreId &Name : Centres) {
    Doc.Inv.DataCentres[Name] = {Name, (*genName<RackId>()).value(), false};
    VmId Host("host" + std::to_string(Port));
    Doc.Inv.Vms[Host] = {Host,
                         Name,
                         {Role::Entry, Role::Ledger},
                         {"10.1.2.3", Port++},
                         Endpoint{"10.1.2.3", Port++},
                         {},
                         true};
  }
  Doc.Inv.Vms.begin()->second.Roles.insert(Role::Control);
  auto Teams = *rc::gen::nonEmpty(
      rc::gen::container<std::set<TeamId>>(genName<TeamId>()));
  for (const TeamId &Name : Teams)
    Doc.Inv.Teams[Name] = {Name, Number(1, 1001),
                           Number(0, 2) == 0 ? std::nullopt
                                             : std::optional(SlotCount(7))};
  for (const CallerId &Name :
       *rc::gen::container<std::set<CallerId>>(genName<CallerId>()))
    Doc.Inv.Callers[Name] = {
        Name, pick(Centres), pick(Teams),
        *rc::gen::element(CallerClass::Urgent, CallerClass::Routine),
        *rc::gen::arbitrary<bool>()};
  for (const ServiceId &Name :
       *rc::gen::container<std::set<ServiceId>>(genName<ServiceId>())) {
    Resources Size{CoreCount(Number(1, 4097)),
                   ByteCount(std::uint64_t{Number(1, 9999)} << 20U)};
    Doc.Inv.Services[Name] = {Name, {},   ByteCount(Number(1, 1U << 23U)),
                              Size, Size, Duration(std::chrono::seconds(1)),
                              {}};
    Doc.Rule.NotRepeatable.insert({Name, Number(0, 2) == 0 ? "" : "r"});
  }
  Doc.Rule.Weight =
      *rc::gen::element(MessageWeight::Response, MessageWeight::Messages);
  Doc.Rule.Retention = std::chrono::minutes(Number(1, 9999));
  Doc.Rule.Budget.Hedge = Percent(Number(0, 101));
  Doc.Rule.Limit.MaxTasksPerJob = Number(1, 201);
  return Doc;
}

RC_GTEST_PROP(DocumentProperty, WrittenDocumentReadsBackTheSame, ()) {
  Document Doc = drawDocument();
  std::string Text = writeDocument(Doc);
  Checked<Document> Parsed = parseDocument(Text, "f");
  if (!Parsed.ok())
    RC_FAIL(problemsAsError(Parsed.problems()).Message + "\n" + Text);
  RC_ASSERT(*Parsed == Doc);
}

RC_GTEST_PROP(CodecProperty, DurationsAgreeWithArithmetic, ()) {
  const std::vector<std::pair<std::string, std::int64_t>> Units{
      {"us", 1},
      {"ms", 1000},
      {"s", 1000000},
      {"m", 60 * 1000000},
      {"h", 3600 * 1000000LL},
      {"x", 0}};
  const DurationCodec Codec{Duration(5), std::chrono::hours(10)};
  auto Number = *rc::gen::inRange<std::int64_t>(0, 100000);
  auto [Name, Factor] = *rc::gen::elementOf(Units);
  auto Read = Codec.read(std::to_string(Number) + Name);
  std::int64_t Micros = Number * Factor;
  bool Allowed = Factor > 0 && Micros >= 5 && Micros <= 36'000'000'000;
  RC_ASSERT(Read.has_value() == Allowed);
  if (Read) {
    RC_ASSERT(Read->count() == Micros);
    RC_ASSERT(Codec.read(Codec.write(*Read)) == Read);
  }
}

RC_GTEST_PROP(CodecProperty, EndpointsReadBack, ()) {
  Endpoint Address{"10.0.0." + std::to_string(*rc::gen::inRange(0, 256)),
                   *rc::gen::inRange<std::uint16_t>(1, 65535)};
  RC_ASSERT(EndpointCodec{}.read(Address.text()) == Address);
  RC_ASSERT(!EndpointCodec{}.read(Address.text() + "00000"));
}

} // namespace
} // namespace geraniumbay::inventory
