//===- logstory.cpp - The story of one job from several logs --------------===//
//
// Reading, aligning clocks, and the causes that lines show.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/logstory.h"

#include <algorithm>
#include <ctime>
#include <set>

namespace geraniumbay::cli {

namespace {

/// Lines that name no job are told if they are this close to the job's.
constexpr LogMicros Around = std::chrono::seconds(1);
/// Lines without a job that are kept, for the latest part of very long logs.
constexpr std::size_t MaxOthers = 1'000'000;

/// The number that \p Text begins with, or zero.
std::int64_t numberOf(const std::string &Text) {
  return std::strtoll(Text.c_str(), nullptr, 10);
}

/// Reads 2026-12-02T23:05:58.123 as microseconds since 1970.
std::optional<LogMicros> readTime(const std::string &Text) {
  std::tm Day{};
  const char *Rest = strptime(Text.c_str(), "%Y-%m-%dT%H:%M:%S", &Day);
  if (!Rest)
    return std::nullopt;
  LogMicros Result = std::chrono::seconds(timegm(&Day));
  if (*Rest == '.')
    Result += std::chrono::milliseconds(numberOf(Rest + 1));
  return Result;
}

/// Splits KEY=VALUE words; a value with spaces stands in quotes.
std::map<std::string, std::string> readFields(const std::string &Text,
                                              std::size_t From) {
  std::map<std::string, std::string> Result;
  while (From < Text.size()) {
    std::size_t Equals = Text.find('=', From);
    if (Equals == std::string::npos)
      break;
    std::string Key = Text.substr(From, Equals - From);
    bool Quoted = Equals + 1 < Text.size() && Text[Equals + 1] == '"';
    std::size_t Begin = Equals + (Quoted ? 2 : 1);
    std::size_t End = Text.find(Quoted ? '"' : ' ', Begin);
    End = std::min(End, Text.size());
    Result[Key] = Text.substr(Begin, End - Begin);
    From = End + (Quoted ? 2 : 1);
  }
  return Result;
}

/// The last word before the line's time.
std::string sourceOf(const std::string &Before, const std::string &File) {
  std::size_t End = Before.find_last_not_of(" |:");
  if (End == std::string::npos)
    return File;
  std::size_t Begin = Before.find_last_of(" |:", End);
  Begin = Begin == std::string::npos ? 0 : Begin + 1;
  return Before.substr(Begin, End + 1 - Begin);
}

bool names(const LogLine &Line, const std::set<std::string> &Subjects) {
  static const char *const Keys[] = {"worker",  "entry", "owner",
                                     "earlier", "pool",  "leader"};
  return std::any_of(std::begin(Keys), std::end(Keys), [&](const char *Key) {
    const std::string &Value = Line.field(Key);
    return !Value.empty() && Subjects.count(Value) != 0;
  });
}

/// The workers, owners, entries and pools that lines name.
std::set<std::string> subjectsOf(const std::vector<LogLine> &Lines) {
  std::set<std::string> Result;
  for (const LogLine &Line : Lines)
    for (const char *Key : {"worker", "owner", "pool", "origin"})
      if (const std::string &Value = Line.field(Key); !Value.empty())
        Result.insert(Value);
  return Result;
}

/// When the entry took the job and when it answered, by its own clock.
struct EntrySpan {
  std::string Source;
  LogMicros Taken{0};
  LogMicros Answered{0};
};

std::optional<EntrySpan> spanOf(const std::vector<LogLine> &Lines) {
  for (const LogLine &Line : Lines)
    if (Line.Event == "job_answered")
      return EntrySpan{Line.Source,
                       Line.At - LogMicros(numberOf(Line.field("took_us"))),
                       Line.At};
  return std::nullopt;
}

/// The smallest shift that brings all of a process's lines about the job into
/// the time that its entry had it.
std::map<std::string, LogMicros> shiftsOf(const std::vector<LogLine> &Lines) {
  std::map<std::string, LogMicros> Result;
  auto Entry = spanOf(Lines);
  if (!Entry)
    return Result;
  std::map<std::string, std::pair<LogMicros, LogMicros>> Spans;
  for (const LogLine &Line : Lines) {
    if (Line.Source == Entry->Source)
      continue;
    bool Bounds = Line.Event == "job_taken" || Line.Event == "job_ended";
    auto [Place, Fresh] = Spans.try_emplace(Line.Source, Line.At, Line.At);
    if (Bounds && !Fresh) {
      Place->second.first = std::min(Place->second.first, Line.At);
      Place->second.second = std::max(Place->second.second, Line.At);
    }
  }
  for (const auto &[Source, Span] : Spans) {
    if (Span.first < Entry->Taken)
      Result[Source] = Entry->Taken - Span.first;
    else if (Span.second > Entry->Answered)
      Result[Source] = Entry->Answered - Span.second;
  }
  return Result;
}

std::string where(const LogLine &Line) {
  return " (" + Line.Source + ", " + Line.Event + ")";
}

/// What one line says about the job's fate; empty if nothing.
std::string causeIn(const LogLine &Line) {
  const std::string &Reason = Line.field("reason");
  if (Line.Event == "job_refused")
    return "It was refused at once and did not run: " + Reason + where(Line);
  if (Line.Event == "job_given_up")
    return "The owner gave it up: " + Reason +
           (Line.field("begun") == "true" ? "; tasks of it had run"
                                          : "; it had not begun") +
           where(Line);
  if (Line.Event == "run_lost")
    return "Task " + Line.field("step") + "." + Line.field("index") +
           " was lost with worker " + Line.field("worker") + ": " + Reason +
           ". It waited for the lease to end and started again" + where(Line);
  if (Line.Event == "task_not_done" && Line.field("counts") == "true")
    return "A run of task " + Line.field("step") + "." + Line.field("index") +
           " failed on worker " + Line.field("worker") + where(Line);
  if (Line.Event == "start_failed")
    return "Worker " + Line.field("worker") +
           " did not confirm a start: " + Line.field("result") + where(Line);
  if (Line.Event == "caller_gone")
    return "Its caller left before the answer" + where(Line);
  if (Line.Event == "job_answered" && Line.field("outcome") != "known")
    return "The entry answered " + Line.field("outcome") + ": " + Reason +
           where(Line);
  return "";
}

std::vector<std::string> causesIn(const std::vector<LogLine> &Lines) {
  std::vector<std::string> Result;
  for (const LogLine &Line : Lines) {
    std::string Cause = causeIn(Line);
    if (!Cause.empty() &&
        std::find(Result.begin(), Result.end(), Cause) == Result.end())
      Result.push_back(std::move(Cause));
  }
  if (Result.empty() && !Lines.empty())
    Result.emplace_back(
        "Nothing went wrong that the logs show; compare took_us "
        "and waiting_tasks for time spent waiting.");
  return Result;
}

} // namespace

const std::string &LogLine::field(const std::string &Name) const {
  static const std::string None;
  auto Found = Fields.find(Name);
  return Found == Fields.end() ? None : Found->second;
}

std::optional<LogLine> readLogLine(const std::string &Text,
                                   const std::string &File) {
  std::size_t Begin = Text.find("time=");
  if (Begin == std::string::npos)
    return std::nullopt;
  LogLine Result;
  Result.Fields = readFields(Text, Begin);
  auto At = readTime(Result.field("time"));
  if (!At || Result.field("event").empty())
    return std::nullopt;
  Result.At = *At;
  Result.Event = Result.field("event");
  Result.Source = sourceOf(Text.substr(0, Begin), File);
  for (const char *Known : {"time", "event", "module"})
    Result.Fields.erase(Known);
  return Result;
}

void LogReader::read(std::istream &From, const std::string &File) {
  std::string Text;
  while (std::getline(From, Text)) {
    bool OfJob = Text.find("job=" + Job_) != std::string::npos;
    if (!OfJob && Text.find(" job=") != std::string::npos)
      continue;
    auto Line = readLogLine(Text, File);
    if (!Line)
      continue;
    if (OfJob && Line->field("job") == Job_)
      OfJob_.push_back(std::move(*Line));
    else if (!OfJob && Others_.size() < MaxOthers)
      Others_.push_back(std::move(*Line));
  }
}

LogStory LogReader::story() const {
  LogStory Result;
  Result.Shifts = shiftsOf(OfJob_);
  Result.Lines = OfJob_;
  auto Aligned = [&](const LogLine &Line) {
    auto Found = Result.Shifts.find(Line.Source);
    return Found == Result.Shifts.end() ? Line.At : Line.At + Found->second;
  };
  auto Earlier = [&](const LogLine &One, const LogLine &Other) {
    // The answer follows what led to it in the same moment.
    bool OneAnswers = One.Event == "job_answered";
    bool OtherAnswers = Other.Event == "job_answered";
    return std::pair(Aligned(One), OneAnswers) <
           std::pair(Aligned(Other), OtherAnswers);
  };
  if (OfJob_.empty())
    return Result;
  auto [First, Last] =
      std::minmax_element(OfJob_.begin(), OfJob_.end(), Earlier);
  LogMicros From = Aligned(*First) - Around;
  LogMicros To = Aligned(*Last) + Around;
  std::set<std::string> Subjects = subjectsOf(OfJob_);
  for (const LogLine &Line : Others_)
    if (Aligned(Line) >= From && Aligned(Line) <= To && names(Line, Subjects))
      Result.Lines.push_back(Line);
  std::stable_sort(Result.Lines.begin(), Result.Lines.end(), Earlier);
  Result.Causes = causesIn(Result.Lines);
  return Result;
}

} // namespace geraniumbay::cli
