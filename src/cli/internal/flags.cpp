//===- flags.cpp - The flags of all subcommands ---------------------------===//
//
// Definitions of the flags and the reading of arguments.
//
//===----------------------------------------------------------------------===//

#include "cli/internal/flags.h"

#include <algorithm>
#include <gflags/gflags.h>

// NOLINTBEGIN(readability-identifier-naming): gflags makes the names.
DEFINE_bool(json, false, "write JSON for programs instead of text for people");
DEFINE_string(settings, "",
              "settings file of a process, which names the addresses and "
              "secrets; other flags go before it");
DEFINE_string(control, "", "peer addresses of control VMs, between commas");
DEFINE_string(key_file, "", "file with the key that the processes share");
DEFINE_string(admin, "", "admin address of a process");
DEFINE_string(token_file, "", "file with the token of the admin interface");
DEFINE_string(entry, "", "caller addresses of entries, between commas");
DEFINE_uint32(timeout_ms, 10000,
              "how long one exchange with the system may take");
DEFINE_uint32(wait_ms, 60000, "how long to wait for the work to end");
DEFINE_bool(end, false, "the evacuation ends");
DEFINE_bool(wait, false, "wait until the order is obeyed, for --wait_ms");
DEFINE_string(against, "",
              "document in force; the new one must be a safe change of it");
DEFINE_string(operation, "",
              "id of this change; the same id again only gets the first answer "
              "again (a random one if empty)");
DEFINE_int64(base, -1,
             "version that the document was edited from (-1: the version in "
             "force now)");
DEFINE_string(key, "",
              "idempotency key; the same key again gets the first answer again "
              "(an id from the system if empty)");
DEFINE_string(caller, "", "name of the caller");
DEFINE_string(service, "", "name of the service");
DEFINE_string(request, "", "kind of request, as the rules name it");
DEFINE_bool(lines, false,
            "each line of the input is the payload of one task; else the input "
            "is the JSON body of POST /v1/jobs");
DEFINE_uint64(deadline_ms, 0, "deadline of the job (0: the configured one)");
// NOLINTEND(readability-identifier-naming)

namespace geraniumbay::cli {
namespace {

/// Copies the flags' values out of gflags.
Options currentOptions() {
  Options Result;
  Result.Json = FLAGS_json;
  Result.Settings = FLAGS_settings;
  Result.Control = FLAGS_control;
  Result.KeyFile = FLAGS_key_file;
  Result.Admin = FLAGS_admin;
  Result.TokenFile = FLAGS_token_file;
  Result.Entry = FLAGS_entry;
  Result.Timeout = std::chrono::milliseconds(FLAGS_timeout_ms);
  Result.Wait = std::chrono::milliseconds(FLAGS_wait_ms);
  Result.End = FLAGS_end;
  Result.WaitObeyed = FLAGS_wait;
  Result.Against = FLAGS_against;
  Result.Operation = FLAGS_operation;
  if (FLAGS_base >= 0)
    Result.Base = static_cast<std::uint64_t>(FLAGS_base);
  Result.Key = FLAGS_key;
  Result.Caller = FLAGS_caller;
  Result.Service = FLAGS_service;
  Result.Request = FLAGS_request;
  Result.Lines = FLAGS_lines;
  Result.DeadlineMillis = FLAGS_deadline_ms;
  return Result;
}

gflags::CommandLineFlagInfo flagInfo(const std::string &Name) {
  gflags::CommandLineFlagInfo Info;
  gflags::GetCommandLineFlagInfo(Name.c_str(), &Info);
  return Info;
}

bool isFlag(const std::string &Argument) {
  return Argument.size() > 1 && Argument.front() == '-';
}

/// A flag argument split at '='.
struct FlagArgument {
  std::string Name;
  std::optional<std::string> Value;
};

/// Splits "--name=value". Dashes in the name count as underscores.
FlagArgument splitFlag(const std::string &Argument) {
  std::size_t Start = Argument.find_first_not_of('-');
  if (Start == std::string::npos)
    return {};
  std::size_t Equals = Argument.find('=', Start);
  FlagArgument Result{Argument.substr(Start, Equals - Start), {}};
  std::replace(Result.Name.begin(), Result.Name.end(), '-', '_');
  if (Equals != std::string::npos)
    Result.Value = Argument.substr(Equals + 1);
  return Result;
}

/// Walks over the arguments of one subcommand.
class ArgumentReader {
public:
  ArgumentReader(const Command &Chosen, const std::vector<std::string> &All)
      : Chosen_(Chosen), All_(All) {}

  RetVal<CommandLine> read();

private:
  Ret readFlag();
  Ret setFlag(const FlagArgument &Flag);
  Ret checkFileCount() const;
  bool takes(const std::string &Name) const {
    return std::find(Chosen_.Flags.begin(), Chosen_.Flags.end(), Name) !=
           Chosen_.Flags.end();
  }

  const Command &Chosen_;
  const std::vector<std::string> &All_;
  /// The argument that is read next.
  std::size_t Next_ = 0;
  bool Help_ = false;
  std::vector<std::string> Files_;
};

RetVal<CommandLine> ArgumentReader::read() {
  while (Next_ < All_.size()) {
    const std::string &Argument = All_[Next_];
    if (Argument == "--") {
      Files_.insert(Files_.end(),
                    All_.begin() + static_cast<std::ptrdiff_t>(Next_) + 1,
                    All_.end());
      break;
    }
    if (isFlag(Argument)) {
      BOOST_LEAF_CHECK(readFlag());
    } else {
      Files_.push_back(Argument);
      ++Next_;
    }
  }
  if (!Help_)
    BOOST_LEAF_CHECK(checkFileCount());
  CommandLine Result{Help_, currentOptions()};
  Result.Values.Files = Files_;
  return Result;
}

Ret ArgumentReader::readFlag() {
  const std::string &Argument = All_[Next_++];
  FlagArgument Flag = splitFlag(Argument);
  if (Flag.Name == "help" || Flag.Name == "h") {
    Help_ = true;
    return {};
  }
  constexpr std::string_view Negation = "no";
  if (!takes(Flag.Name) && !Flag.Value && Flag.Name.starts_with(Negation)) {
    std::string Positive = Flag.Name.substr(Negation.size());
    if (takes(Positive) && flagInfo(Positive).type == "bool")
      return setFlag({Positive, "false"});
  }
  if (!takes(Flag.Name))
    return fail(ErrorCode::InvalidArgument,
                Chosen_.Name + " has no flag " + Argument);
  return setFlag(Flag);
}

Ret ArgumentReader::setFlag(const FlagArgument &Flag) {
  std::string Type = flagInfo(Flag.Name).type;
  std::string Value = Flag.Value.value_or("true");
  if (!Flag.Value && Type != "bool") {
    if (Next_ == All_.size())
      return fail(ErrorCode::InvalidArgument,
                  "--" + Flag.Name + " needs a value");
    Value = All_[Next_++];
  }
  if (gflags::SetCommandLineOption(Flag.Name.c_str(), Value.c_str()).empty())
    return fail(ErrorCode::InvalidArgument, "--" + Flag.Name + ": \"" + Value +
                                                "\" is not of type " + Type);
  return {};
}

Ret ArgumentReader::checkFileCount() const {
  if (Files_.size() < Chosen_.MinFiles)
    return fail(ErrorCode::InvalidArgument,
                Chosen_.Name + " wants " + Chosen_.Arguments);
  if (Files_.size() > Chosen_.MaxFiles)
    return fail(ErrorCode::InvalidArgument,
                "too many arguments; " + Chosen_.Name + " takes " +
                    (Chosen_.Arguments.empty() ? "none" : Chosen_.Arguments));
  return {};
}

/// Breaks \p Text into lines that start with \p Indent.
std::string wrap(const std::string &Text, const std::string &Indent) {
  constexpr std::size_t Width = 78;
  std::string Result;
  std::string Line = Indent;
  for (std::size_t Start = 0; Start < Text.size();) {
    std::size_t End = std::min(Text.find(' ', Start), Text.size());
    std::string Word = Text.substr(Start, End - Start);
    if (Line.size() + Word.size() > Width) {
      Result += Line.substr(0, Line.find_last_not_of(' ') + 1) + "\n";
      Line = Indent;
    }
    Line += Word + " ";
    Start = End + 1;
  }
  return Result + Line.substr(0, Line.find_last_not_of(' ') + 1) + "\n";
}

} // namespace

RetVal<CommandLine> readCommandLine(const Command &Chosen,
                                    const std::vector<std::string> &Arguments) {
  return ArgumentReader(Chosen, Arguments).read();
}

std::string describeFlag(const std::string &Name) {
  gflags::CommandLineFlagInfo Info = flagInfo(Name);
  std::string Head = "  --" + Name;
  if (Info.type != "bool")
    Head += " " + Info.type;
  if (!Info.default_value.empty())
    Head += " (default " + Info.default_value + ")";
  return Head + "\n" + wrap(Info.description, "      ");
}

} // namespace geraniumbay::cli
