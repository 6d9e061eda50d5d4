//===- admission.cpp - Checking a request ---------------------------------===//
//
// The checks of a request, in the order in which they are told.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/admission.h"

#include "entry/internal/digest.h"
#include "framework/json/json.h"
#include "ledger/submissionkey.h"

#include <algorithm>

namespace geraniumbay::entry {

namespace {

using inventory::Caller;
using inventory::Document;
using inventory::Service;
using std::chrono::milliseconds;

/// When a caller comes back whom this entry could not take.
constexpr Duration NotTakenRetry = std::chrono::seconds(1);

/// The fields of a request, as they were sent.
struct Fields {
  CallerId Caller;
  ServiceId Service;
  /// The kind of request, which the rules may name as not repeatable.
  std::string Request;
  std::vector<std::string> Payloads;
  Duration TimeLeft{0};
  Duration DeclaredRun{0};
  std::uint64_t Cores = 0;
  std::uint64_t MemoryMiB = 0;
  bool Returning = false;
  bool First = false;
};

RetVal<std::vector<std::string>> readPayloads(const Json::Value &Body,
                                              bool SingleTask) {
  std::vector<std::string> Payloads;
  if (SingleTask) {
    BOOST_LEAF_AUTO(Payload, json::readString(Body, "payload"));
    Payloads.push_back(Payload);
    return Payloads;
  }
  BOOST_LEAF_AUTO(Tasks, json::readArray(Body, "tasks"));
  for (const Json::Value &Task : Tasks) {
    BOOST_LEAF_AUTO(Payload, json::readString(Task, "payload"));
    Payloads.push_back(Payload);
  }
  if (Payloads.empty())
    return fail(ErrorCode::InvalidArgument, "field 'tasks' is empty");
  return Payloads;
}

/// Milliseconds from 0 to a day, so that no later sum overflows.
RetVal<Duration> readMillis(const Json::Value &Body, const char *Name) {
  constexpr std::uint64_t LargestMillis = 86'400'000;
  BOOST_LEAF_AUTO(Millis, json::readUintOr(Body, Name, 0));
  if (Millis > LargestMillis)
    return fail(ErrorCode::InvalidArgument,
                std::string("field '") + Name + "' is over a day");
  return Duration(milliseconds(Millis));
}

RetVal<Fields> readFields(const RawRequest &Raw) {
  BOOST_LEAF_AUTO(Body, json::parse(Raw.Body));
  if (!Body.isObject())
    return fail(ErrorCode::InvalidArgument, "the body is not an object");
  Fields Result;
  BOOST_LEAF_AUTO(Caller, json::readString(Body, "caller"));
  Result.Caller = CallerId(Caller);
  BOOST_LEAF_AUTO(Service, json::readString(Body, "service"));
  Result.Service = ServiceId(Service);
  BOOST_LEAF_ASSIGN(Result.Request, json::readStringOr(Body, "request", ""));
  BOOST_LEAF_ASSIGN(Result.Payloads, readPayloads(Body, Raw.SingleTask));
  BOOST_LEAF_ASSIGN(Result.TimeLeft, readMillis(Body, "deadline_ms"));
  BOOST_LEAF_ASSIGN(Result.DeclaredRun, readMillis(Body, "run_ms"));
  BOOST_LEAF_ASSIGN(Result.Cores, json::readUintOr(Body, "cores", 0));
  BOOST_LEAF_ASSIGN(Result.MemoryMiB, json::readUintOr(Body, "memory_mib", 0));
  BOOST_LEAF_ASSIGN(Result.Returning,
                    json::readBoolOr(Body, "returning", false));
  BOOST_LEAF_ASSIGN(Result.First, json::readBoolOr(Body, "first", false));
  return Result;
}

std::optional<Result> checkSizes(const Fields &Asked, const Service &Wanted,
                                 const inventory::Limits &Limit) {
  if (Asked.Payloads.size() > Limit.MaxTasksPerJob)
    return notRun(FailureReason::TooManyTasks,
                  "a job may have " + std::to_string(Limit.MaxTasksPerJob) +
                      " tasks");
  bool TooLarge =
      std::any_of(Asked.Payloads.begin(), Asked.Payloads.end(),
                  [&](const std::string &Payload) {
                    return Payload.size() > Wanted.MaxPayload.value();
                  });
  if (TooLarge)
    return notRun(FailureReason::TooLarge,
                  "a payload may have " +
                      std::to_string(Wanted.MaxPayload.value()) + " bytes");
  constexpr unsigned MiBShift = 20;
  if (Asked.Cores > Wanted.LargestTask.Cores.value() ||
      Asked.MemoryMiB > Wanted.LargestTask.Memory.value() >> MiBShift)
    return notRun(FailureReason::NeverFits,
                  "no worker of the service fits such a task");
  return std::nullopt;
}

/// Whether the request may be tried again, and so needs no claim. A key asks
/// for at most one run even of a request that may be repeated.
bool mayRepeat(const RawRequest &Raw, const Fields &Asked,
               const inventory::Rules &Rules) {
  return Raw.SingleTask && Raw.Key.empty() &&
         inventory::isRepeatable(Rules, Asked.Service, Asked.Request);
}

std::optional<Result> checkKey(const std::string &Key, bool MayRepeat) {
  if (Key.empty() && !MayRepeat)
    return notRun(FailureReason::BadRequest,
                  "a job, or a request that must not be repeated, needs an "
                  "Idempotency-Key");
  bool Printable = std::all_of(Key.begin(), Key.end(), [](char Char) {
    return Char > ' ' && Char < '\x7F';
  });
  if (Key.size() > MaxKeyLength || !Printable)
    return notRun(FailureReason::BadRequest,
                  "Idempotency-Key has up to 128 printable characters");
  return std::nullopt;
}

Time deadlineOf(const Fields &Asked, const inventory::Timeouts &Timeout,
                Time Now) {
  if (Asked.TimeLeft == Duration::zero())
    return Now + Timeout.DefaultDeadline;
  return Now + std::min(Asked.TimeLeft, Timeout.MaxDeadline);
}

/// Sets the key and the home of \p Request: a key that the system issued names
/// its home, and a key of the caller's own belongs to the caller's home.
void assignKey(Submission &Request, const std::string &Key,
               const Caller &Sender, const SubmissionId &FreshKey) {
  Request.Home = Sender.Home;
  if (Key.empty()) {
    Request.Id = FreshKey;
    return;
  }
  auto Issued = ledger::parseIssuedKey(Key);
  if (Issued) {
    Request.Id = SubmissionId(Key);
    Request.Home = Issued->Home;
    return;
  }
  Request.Id = ledger::callerKey(Sender.Name, Key);
}

/// A key that the system issued names its home, which must be configured.
std::optional<Result> checkHome(const Submission &Request,
                                const Document &Config) {
  if (findByName(Config.Inv.DataCentres, Request.Home) != nullptr)
    return std::nullopt;
  return notRun(FailureReason::BadRequest,
                "the Idempotency-Key names an unknown data centre");
}

Submission makeSubmission(const RawRequest &Raw, Fields Asked,
                          const Document &Config, const Caller &Sender,
                          const SubmissionId &FreshKey, Time Now) {
  Submission Request;
  Request.Caller = Asked.Caller;
  Request.Team = Sender.Team;
  Request.Service = Asked.Service;
  Request.Class = Sender.Class == inventory::CallerClass::Urgent
                      ? dispatch::WorkClass::Urgent
                      : dispatch::WorkClass::Routine;
  Request.Repeatable = mayRepeat(Raw, Asked, Config.Rule);
  Request.Deadline = deadlineOf(Asked, Config.Rule.Timeout, Now);
  Request.DeclaredRun = Asked.DeclaredRun;
  Request.Returning = Asked.Returning;
  Request.First = Asked.First;
  Request.Payloads = std::move(Asked.Payloads);
  assignKey(Request, Raw.Key, Sender, FreshKey);
  Request.Digest = requestDigest(Request);
  return Request;
}

} // namespace

Result notTaken(const RawRequest &Raw, FailureReason Reason,
                std::string Detail) {
  Result Answer = notRun(Reason, std::move(Detail), NotTakenRetry);
  if (!Raw.Key.empty())
    Answer.DidRun = Ran::Maybe;
  return Answer;
}

Admission admit(const RawRequest &Raw, const EntryConfig &Config,
                const SubmissionId &FreshKey, Time Now) {
  if (Config.Document == nullptr)
    return notTaken(Raw, FailureReason::NotReady, "no configuration yet");
  const Document &Doc = *Config.Document;
  auto Asked = attempt([&] { return readFields(Raw); });
  if (!Asked.ok())
    return notRun(FailureReason::BadRequest, Asked.error().Message);
  const Caller *Sender = findByName(Doc.Inv.Callers, Asked->Caller);
  if (Sender == nullptr || Sender->Closed)
    return notRun(FailureReason::UnknownCaller, "no such caller");
  const Service *Wanted = findByName(Doc.Inv.Services, Asked->Service);
  if (Wanted == nullptr)
    return notRun(FailureReason::UnknownService, "no such service");
  if (auto Failure = checkKey(Raw.Key, mayRepeat(Raw, *Asked, Doc.Rule)))
    return *Failure;
  if (auto Failure = checkSizes(*Asked, *Wanted, Doc.Rule.Limit))
    return *Failure;
  Submission Request =
      makeSubmission(Raw, std::move(*Asked), Doc, *Sender, FreshKey, Now);
  if (auto Failure = checkHome(Request, Doc))
    return *Failure;
  return Request;
}

} // namespace geraniumbay::entry
