//===- submit.cpp - The subcommand "submit" -------------------------------===//
//
// Reads a job, submits it and shows its one answer.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/commands.h"
#include "cli/internal/report.h"
#include "cli/internal/submitter.h"
#include "cli/internal/textoutput.h"
#include "framework/json/json.h"
#include "inventory/textfile.h"

#include <iterator>

namespace geraniumbay::cli {
namespace {

/// The longest input that is read.
constexpr std::size_t MaxInputBytes = 64U << 20U;

/// Returns the text of the file argument, or of standard input for "-" or no
/// argument.
RetVal<std::string> readInput(const Options &Values, Dependencies &Deps) {
  if (!Values.Files.empty() && Values.Files.front() != "-")
    return inventory::readTextFile(Values.Files.front(), MaxInputBytes);
  std::string Text{std::istreambuf_iterator<char>(Deps.In), {}};
  if (Text.size() > MaxInputBytes)
    return fail(ErrorCode::InvalidArgument, "the input is too long");
  return Text;
}

/// What is to be submitted, and where.
struct Job {
  Json::Value Body;
  Target Entries;
};

RetVal<Job> readJob(const Options &Values, Dependencies &Deps) {
  BOOST_LEAF_AUTO(Entries, entryTarget(Values));
  BOOST_LEAF_AUTO(Input, readInput(Values, Deps));
  BOOST_LEAF_AUTO(Body, submissionBody(Values, Input));
  return Job{std::move(Body), std::move(Entries)};
}

/// A complete job shows one answer a line; a failed one shows its fields.
void showVerdict(const Options &Values, const Verdict &Final,
                 std::ostream &Out) {
  const Json::Value &Answers = Final.Body["answers"];
  if (Values.Json || !Answers.isArray()) {
    printValue(Final.Body, Values.Json, Out);
    return;
  }
  for (const Json::Value &Answer : Answers)
    printForPeople(Answer, Out);
}

} // namespace

int runSubmit(const Options &Values, Dependencies &Deps, std::ostream &Out,
              std::ostream &Err) {
  auto Read = attempt([&] { return readJob(Values, Deps); });
  if (!Read)
    return reportFailure(Values, Read.error(), inputExitCode(Read.error()), Out,
                         Err);
  Submitter Sender(Deps, Read->Entries, Values.Wait, Err);
  std::string Key = Values.Key;
  if (Key.empty()) {
    Outcome<std::string> Issued = Sender.issueKey();
    if (!Issued)
      return reportFailure(Values, Issued.error(), ExitCode::NotRun, Out, Err);
    Key = *Issued;
  }
  Err << "key " << terminalSafe(Key) << "\n";
  Verdict Final = Sender.submit(Key, Read->Body);
  if (Deps.Terminal)
    Err << "\n";
  showVerdict(Values, Final, Out);
  if (Final.Code == ExitCode::Unknown)
    Err << "it may have run; ask again with --key " << terminalSafe(Key)
        << "\n";
  return toInt(Final.Code);
}

} // namespace geraniumbay::cli
