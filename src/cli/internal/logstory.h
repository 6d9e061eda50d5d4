//===- logstory.h - The story of one job from several logs ------*- C++ -*-===//
//
// Reads key=value lines of several processes, finds those that tell of a job or
// of what it depended on, and brings them into one order although the clocks of
// their VMs differ. Plain data and free functions.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CLI_INTERNAL_LOGSTORY_H
#define GERANIUMBAY_CLI_INTERNAL_LOGSTORY_H

#include <chrono>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace geraniumbay::cli {

using LogMicros = std::chrono::microseconds;

/// One line of a log.
struct LogLine {
  /// The process: what stands before the line's time, else the file's name.
  std::string Source;
  /// Time of day by the clock of the process's VM.
  LogMicros At{0};
  std::string Event;
  std::map<std::string, std::string> Fields;

  /// The field's value, or an empty text.
  const std::string &field(const std::string &Name) const;
};

/// Reads a line; nothing if it is no event with a time.
std::optional<LogLine> readLogLine(const std::string &Text,
                                   const std::string &File);

/// What is told of one job.
struct LogStory {
  /// Lines that name the job, then those that tell of its workers, owners and
  /// entries around that time; in the order of the aligned clocks.
  std::vector<LogLine> Lines;
  /// What was added to the clock of each process to align it with the entry's.
  std::map<std::string, LogMicros> Shifts;
  /// Why the job ended as it did, one sentence each, most telling first.
  std::vector<std::string> Causes;
};

/// Takes lines as they are read, so that logs of any size can be told.
class LogReader {
public:
  explicit LogReader(std::string Job) : Job_(std::move(Job)) {}

  void read(std::istream &From, const std::string &File);
  LogStory story() const;

private:
  const std::string Job_;
  std::vector<LogLine> OfJob_;
  /// Lines that name no job.
  std::vector<LogLine> Others_;
};

} // namespace geraniumbay::cli

#endif // GERANIUMBAY_CLI_INTERNAL_LOGSTORY_H
