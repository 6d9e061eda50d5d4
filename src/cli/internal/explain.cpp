//===- explain.cpp - The subcommand "explain" -----------------------------===//
//
// Shows what the logs of several processes tell of one job.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/commands.h"
#include "cli/internal/logstory.h"
#include "cli/internal/report.h"

#include <algorithm>
#include <fstream>
#include <iostream>

namespace geraniumbay::cli {
namespace {

std::string fieldsOf(const LogLine &Line) {
  std::string Result;
  for (const auto &[Key, Value] : Line.Fields) {
    bool Spaces = Value.find(' ') != std::string::npos || Value.empty();
    Result += " " + Key + "=" + (Spaces ? "\"" + Value + "\"" : Value);
  }
  return Result;
}

void show(const LogStory &Story, std::ostream &Out) {
  auto Aligned = [&](const LogLine &Line) {
    auto Found = Story.Shifts.find(Line.Source);
    return Found == Story.Shifts.end() ? Line.At : Line.At + Found->second;
  };
  LogMicros First = Aligned(Story.Lines.front());
  for (const LogLine &Line : Story.Lines)
    Out << "+" << (Aligned(Line) - First) / std::chrono::milliseconds(1)
        << " ms  " << Line.Source << "  " << Line.Event << fieldsOf(Line)
        << "\n";
  for (const auto &[Source, Shift] : Story.Shifts)
    Out << "clock: " << Source << " was shifted by "
        << Shift / std::chrono::milliseconds(1) << " ms\n";
  for (const std::string &Cause : Story.Causes)
    Out << "cause: " << Cause << "\n";
}

} // namespace

int runExplain(const Options &Values, Dependencies & /*Deps*/,
               std::ostream &Out, std::ostream &Err) {
  LogReader Reader(Values.Files.front());
  for (std::size_t I = 1; I < Values.Files.size(); ++I) {
    const std::string &Name = Values.Files[I];
    std::ifstream File(Name);
    if (!File) {
      Err << "cannot read " << Name << "\n";
      return toInt(ExitCode::Usage);
    }
    Reader.read(File, Name);
  }
  LogStory Story = Reader.story();
  if (Story.Lines.empty()) {
    Err << "no line names job " << Values.Files.front() << "\n";
    return toInt(ExitCode::Failure);
  }
  show(Story, Out);
  return toInt(ExitCode::Ok);
}

} // namespace geraniumbay::cli
