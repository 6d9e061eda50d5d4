//===- jobwire.cpp - JSON forms of jobs -----------------------------------===//
//
// The keys are short, since each job goes through the log at least twice.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobwire.h"

#include "jobs/internal/evacuationwire.h"

#include <algorithm>

namespace geraniumbay::jobs::wire {

namespace {

/// Reads a number that is omitted if it is 0.
void putNumber(Json::Value &Into, const char *Key, std::uint64_t Value) {
  if (Value != 0)
    Into[Key] = Json::UInt64(Value);
}

void putText(Json::Value &Into, const char *Key, const std::string &Value) {
  if (!Value.empty())
    Into[Key] = Value;
}

RetVal<std::uint32_t> readSmall(const Json::Value &From, const char *Key) {
  BOOST_LEAF_AUTO(Value, json::readUintOr(From, Key, 0));
  if (Value > UINT32_MAX)
    return fail(ErrorCode::InvalidArgument,
                std::string("field '") + Key + "' is too large");
  return static_cast<std::uint32_t>(Value);
}

Json::Value write(const StepSpec &Value) {
  Json::Value Result(Json::objectValue);
  putNumber(Result, "n", Value.Count);
  putNumber(Result, "cpu", Value.Needs.CpuMillis);
  putNumber(Result, "mem", Value.Needs.MemoryMb);
  putNumber(Result, "gpu", Value.Needs.Gpus);
  putNumber(Result, "us", static_cast<std::uint64_t>(Value.Estimate.count()));
  for (std::uint32_t Earlier : Value.DependsOn)
    Result["after"].append(Earlier);
  putText(Result, "label", Value.RequiredLabel);
  putText(Result, "rack", Value.PreferredRack);
  putNumber(Result, "most", Value.MaxPerWorker);
  return Result;
}

RetVal<StepSpec> readStep(const Json::Value &From) {
  StepSpec Result;
  BOOST_LEAF_ASSIGN(Result.Count, readSmall(From, "n"));
  BOOST_LEAF_ASSIGN(Result.Needs.CpuMillis, readSmall(From, "cpu"));
  BOOST_LEAF_ASSIGN(Result.Needs.MemoryMb, readSmall(From, "mem"));
  BOOST_LEAF_ASSIGN(Result.Needs.Gpus, readSmall(From, "gpu"));
  BOOST_LEAF_AUTO(Estimate, json::readUintOr(From, "us", 0));
  Result.Estimate = Duration(static_cast<Duration::rep>(Estimate));
  BOOST_LEAF_AUTO(After, json::readArray(From, "after"));
  for (const Json::Value &Each : After) {
    if (!Each.isUInt())
      return fail(ErrorCode::InvalidArgument, "'after' holds no step numbers");
    Result.DependsOn.push_back(Each.asUInt());
  }
  BOOST_LEAF_ASSIGN(Result.RequiredLabel,
                    json::readStringOr(From, "label", ""));
  BOOST_LEAF_ASSIGN(Result.PreferredRack, json::readStringOr(From, "rack", ""));
  BOOST_LEAF_ASSIGN(Result.MaxPerWorker, readSmall(From, "most"));
  return Result;
}

Json::Value write(const scheduling::Suspicion &Value) {
  Json::Value Result(Json::arrayValue);
  Result.append(Value.Crashes);
  Result.append(Value.Losses);
  Result.append(Value.Suspected ? 1 : 0);
  Result.append(Value.Quarantined ? 1 : 0);
  return Result;
}

RetVal<scheduling::Suspicion> readSuspicion(const Json::Value &From) {
  constexpr Json::ArrayIndex Fields = 4;
  bool Numbers =
      From.isArray() && From.size() == Fields &&
      std::all_of(From.begin(), From.end(),
                  [](const Json::Value &Each) { return Each.isUInt(); });
  if (!Numbers)
    return fail(ErrorCode::InvalidArgument, "malformed suspicion of a task");
  return scheduling::Suspicion{From[0].asUInt(), From[1].asUInt(),
                               From[2].asUInt() != 0, From[3].asUInt() != 0};
}

/// A record without losses omits the suspicion.
Json::Value write(const TaskRecord &Value) {
  Json::Value Result(Json::arrayValue);
  Result.append(Value.Done ? 1 : 0);
  Result.append(Value.Failures);
  Result.append(Json::UInt64(Value.LastEnded.value()));
  if (Value.Suspicion.Losses != 0)
    Result.append(write(Value.Suspicion));
  return Result;
}

RetVal<TaskRecord> readRecord(const Json::Value &From) {
  constexpr Json::ArrayIndex Fields = 3;
  if (!From.isArray() || From.size() < Fields || From.size() > Fields + 1 ||
      !From[0].isUInt() || !From[1].isUInt() || !From[2].isUInt64())
    return fail(ErrorCode::InvalidArgument, "malformed record of a task");
  TaskRecord Result{From[0].asUInt() != 0,
                    From[1].asUInt(),
                    RunNumber(From[2].asUInt64()),
                    {}};
  if (From.size() > Fields) {
    BOOST_LEAF_ASSIGN(Result.Suspicion, readSuspicion(From[Fields]));
  }
  return Result;
}

} // namespace

Json::Value write(const std::vector<SuspectTask> &Value) {
  Json::Value Result(Json::arrayValue);
  for (const SuspectTask &Each : Value) {
    Json::Value &Row = Result.append(Json::Value(Json::arrayValue));
    Row.append(Each.Step);
    Row.append(Each.Index);
    Row.append(write(Each.Suspicion));
  }
  return Result;
}

RetVal<std::vector<SuspectTask>> readSuspects(const Json::Value &From) {
  constexpr Json::ArrayIndex Fields = 3;
  std::vector<SuspectTask> Result;
  if (!From.isArray())
    return fail(ErrorCode::InvalidArgument, "suspects are no list");
  for (const Json::Value &Each : From) {
    if (!Each.isArray() || Each.size() != Fields || !Each[0].isUInt() ||
        !Each[1].isUInt())
      return fail(ErrorCode::InvalidArgument, "malformed suspect");
    BOOST_LEAF_AUTO(Seen, readSuspicion(Each[2]));
    Result.push_back({Each[0].asUInt(), Each[1].asUInt(), Seen});
  }
  return Result;
}

Json::Value write(const Job &Value) {
  Json::Value Result(Json::objectValue);
  Result["id"] = Value.Id.value();
  Result["host"] = Value.Place.Host;
  Result["prefix"] = Value.Place.PathPrefix;
  Result["queue"] = Value.Queue.value();
  Result["service"] = Value.Service.value();
  putNumber(Result, "priority", Value.Priority);
  putNumber(Result, "failures", Value.MaxFailures);
  if (Value.Promised.isSet()) {
    Result["stretch"] = Value.Promised.Stretch;
    putNumber(Result, "target_us",
              static_cast<std::uint64_t>(Value.Promised.Target.count()));
  }
  if (!Value.Suspects.empty())
    Result["suspects"] = write(Value.Suspects);
  putNumber(Result, "term", Value.AcceptedUnder.value());
  putNumber(Result, "state", static_cast<std::uint64_t>(Value.State));
  if (!Value.Spec.Steps.empty())
    Result["spec"] = wire::write(Value.Spec);
  return Result;
}

namespace {

RetVal<JobState> readState(const Json::Value &From) {
  BOOST_LEAF_AUTO(Number, readSmall(From, "state"));
  if (Number > static_cast<std::uint32_t>(JobState::Cancelled))
    return fail(ErrorCode::InvalidArgument, "unknown state of a job");
  return static_cast<JobState>(Number);
}

} // namespace

RetVal<Job> readJob(const Json::Value &From) {
  Job Result;
  BOOST_LEAF_AUTO(Id, json::readString(From, "id"));
  Result.Id = JobId(std::move(Id));
  BOOST_LEAF_ASSIGN(Result.Place.Host, json::readString(From, "host"));
  BOOST_LEAF_ASSIGN(Result.Place.PathPrefix, json::readString(From, "prefix"));
  BOOST_LEAF_AUTO(Queue, json::readString(From, "queue"));
  Result.Queue = QueueName(std::move(Queue));
  BOOST_LEAF_AUTO(Service, json::readString(From, "service"));
  Result.Service = ServiceId(std::move(Service));
  BOOST_LEAF_ASSIGN(Result.Priority, readSmall(From, "priority"));
  BOOST_LEAF_ASSIGN(Result.MaxFailures, readSmall(From, "failures"));
  BOOST_LEAF_AUTO(Target, json::readUintOr(From, "target_us", 0));
  Result.Promised.Target = Duration(static_cast<Duration::rep>(Target));
  if (From["stretch"].isNumeric())
    Result.Promised.Stretch = From["stretch"].asDouble();
  if (From.isMember("suspects")) {
    BOOST_LEAF_ASSIGN(Result.Suspects, readSuspects(From["suspects"]));
  }
  BOOST_LEAF_AUTO(Term, json::readUintOr(From, "term", 0));
  Result.AcceptedUnder = FencingToken(Term);
  BOOST_LEAF_ASSIGN(Result.State, readState(From));
  if (!From.isMember("spec"))
    return Result;
  BOOST_LEAF_ASSIGN(Result.Spec, readSpec(From["spec"]));
  return Result;
}

namespace {

Json::Value writeTasks(const Job &Value) {
  Json::Value Result(Json::arrayValue);
  for (const auto &Step : Value.Tasks) {
    Json::Value Records(Json::arrayValue);
    for (const TaskRecord &Task : Step)
      Records.append(write(Task));
    Result.append(std::move(Records));
  }
  return Result;
}

/// Reads a job in a snapshot, with its task records.
RetVal<Job> readStored(const Json::Value &From) {
  BOOST_LEAF_AUTO(Result, readJob(From));
  BOOST_LEAF_AUTO(Steps, json::readArray(From, "tasks"));
  bool Active = Result.State == JobState::Active;
  if (Steps.size() != (Active ? Result.Spec.Steps.size() : 0))
    return fail(ErrorCode::InvalidArgument, "tasks do not fit the steps");
  for (Json::ArrayIndex I = 0; I < Steps.size(); ++I) {
    if (!Steps[I].isArray() || Steps[I].size() != Result.Spec.Steps[I].Count)
      return fail(ErrorCode::InvalidArgument, "tasks do not fit their step");
    auto &Records = Result.Tasks.emplace_back();
    for (const Json::Value &Each : Steps[I]) {
      BOOST_LEAF_AUTO(Record, readRecord(Each));
      Records.push_back(Record);
    }
  }
  return Result;
}

Json::Value write(const TaskEnd &Value) {
  Json::Value Result(Json::arrayValue);
  Result.append(Value.Task.Job.value());
  Result.append(Value.Task.Step);
  Result.append(Value.Task.Index);
  Result.append(Json::UInt64(Value.Run.value()));
  Result.append(Value.Succeeded ? 1 : 0);
  return Result;
}

RetVal<TaskEnd> readEnd(const Json::Value &From) {
  constexpr Json::ArrayIndex Fields = 5;
  if (!From.isArray() || From.size() != Fields || !From[0].isString() ||
      !From[1].isUInt() || !From[2].isUInt() || !From[3].isUInt64() ||
      !From[4].isUInt())
    return fail(ErrorCode::InvalidArgument, "malformed end of a task");
  return TaskEnd{
      {JobId(From[0].asString()), From[1].asUInt(), From[2].asUInt()},
      RunNumber(From[3].asUInt64()),
      From[4].asUInt() != 0};
}

Json::Value write(const TaskLoss &Value) {
  Json::Value Result(Json::arrayValue);
  Result.append(Value.Task.Job.value());
  Result.append(Value.Task.Step);
  Result.append(Value.Task.Index);
  Result.append(static_cast<Json::UInt>(Value.Cause));
  Result.append(Value.Alone ? 1 : 0);
  return Result;
}

RetVal<TaskLoss> readLoss(const Json::Value &From) {
  constexpr Json::ArrayIndex Fields = 5;
  constexpr auto Last = static_cast<Json::UInt>(scheduling::WorkerLoss::Silent);
  if (!From.isArray() || From.size() != Fields || !From[0].isString() ||
      !From[1].isUInt() || !From[2].isUInt() || !From[3].isUInt() ||
      From[3].asUInt() > Last || !From[4].isUInt())
    return fail(ErrorCode::InvalidArgument, "malformed loss of a task");
  return TaskLoss{
      {JobId(From[0].asString()), From[1].asUInt(), From[2].asUInt()},
      static_cast<scheduling::WorkerLoss>(From[3].asUInt()),
      From[4].asUInt() != 0};
}

template <typename T, typename ReadT>
RetVal<std::vector<T>> readList(const Json::Value &From, const char *Key,
                                ReadT Read) {
  BOOST_LEAF_AUTO(Array, json::readArray(From, Key));
  std::vector<T> Result;
  for (const Json::Value &Each : Array) {
    BOOST_LEAF_AUTO(Value, Read(Each));
    Result.push_back(std::move(Value));
  }
  return Result;
}

/// A missing field reads as no groups.
RetVal<RackGroups> readGroupsOf(const Json::Value &From) {
  if (!From.isMember("rack_groups"))
    return RackGroups();
  return readGroups(From["rack_groups"]);
}

RetVal<JobId> readId(const Json::Value &From) {
  if (!From.isString())
    return fail(ErrorCode::InvalidArgument, "the id of a job is no text");
  return JobId(From.asString());
}

} // namespace

Json::Value write(const JobSpec &Value) {
  Json::Value Result(Json::objectValue);
  Result["payload"] = Value.Payload;
  Json::Value &Steps = Result["steps"] = Json::Value(Json::arrayValue);
  for (const StepSpec &Step : Value.Steps)
    Steps.append(write(Step));
  if (Value.Transient)
    Result["transient"] = true;
  return Result;
}

RetVal<JobSpec> readSpec(const Json::Value &From) {
  JobSpec Result;
  BOOST_LEAF_ASSIGN(Result.Payload, json::readString(From, "payload"));
  BOOST_LEAF_ASSIGN(Result.Steps, readList<StepSpec>(From, "steps", readStep));
  BOOST_LEAF_ASSIGN(Result.Transient,
                    json::readBoolOr(From, "transient", false));
  return Result;
}

Json::Value write(const RackGroups &Value) {
  Json::Value Result(Json::objectValue);
  for (const auto &[DataCentre, Racks] : Value)
    for (const auto &[Rack, Group] : Racks)
      Result[DataCentre.value()][Rack] = Group;
  return Result;
}

RetVal<RackGroups> readGroups(const Json::Value &From) {
  RackGroups Result;
  if (!From.isObject())
    return fail(ErrorCode::InvalidArgument, "groups of racks are no object");
  for (const std::string &DataCentre : From.getMemberNames()) {
    const Json::Value &Racks = From[DataCentre];
    if (!Racks.isObject())
      return fail(ErrorCode::InvalidArgument, "groups of racks are no object");
    for (const std::string &Rack : Racks.getMemberNames()) {
      BOOST_LEAF_AUTO(Group, json::readString(Racks, Rack.c_str()));
      Result[DataCentreId(DataCentre)][Rack] = Group;
    }
  }
  return Result;
}

std::string writeChanges(const JobChanges &Value) {
  Json::Value Result(Json::objectValue);
  for (const Job &Each : Value.Accepted)
    Result["accepted"].append(write(Each));
  for (const TaskEnd &Each : Value.Ended)
    Result["ended"].append(write(Each));
  for (const TaskLoss &Each : Value.Lost)
    Result["lost"].append(write(Each));
  for (const JobId &Each : Value.Cancelled)
    Result["cancelled"].append(Each.value());
  for (const JobId &Each : Value.Forgotten)
    Result["forgotten"].append(Each.value());
  for (const EvacuationOrder &Each : Value.Evacuations)
    Result["evacuations"].append(write(Each));
  if (Value.SplitByRack)
    Result["divides_by_racks"] = true;
  if (!Value.Groups.empty())
    Result["rack_groups"] = write(Value.Groups);
  return json::write(Result);
}

RetVal<JobChanges> readChanges(const std::string &Text) {
  BOOST_LEAF_AUTO(From, json::parse(Text));
  JobChanges Result;
  BOOST_LEAF_ASSIGN(Result.Accepted, readList<Job>(From, "accepted", readJob));
  BOOST_LEAF_ASSIGN(Result.Ended, readList<TaskEnd>(From, "ended", readEnd));
  BOOST_LEAF_ASSIGN(Result.Lost, readList<TaskLoss>(From, "lost", readLoss));
  BOOST_LEAF_ASSIGN(Result.Cancelled,
                    readList<JobId>(From, "cancelled", readId));
  BOOST_LEAF_ASSIGN(Result.Forgotten,
                    readList<JobId>(From, "forgotten", readId));
  BOOST_LEAF_ASSIGN(
      Result.Evacuations,
      readList<EvacuationOrder>(From, "evacuations", readEvacuationOrder));
  BOOST_LEAF_ASSIGN(Result.SplitByRack,
                    json::readBoolOr(From, "divides_by_racks", false));
  BOOST_LEAF_ASSIGN(Result.Groups, readGroupsOf(From));
  return Result;
}

std::string writeStore(const JobStore &Value) {
  Json::Value Result(Json::objectValue);
  Json::Value &Jobs = Result["jobs"] = Json::Value(Json::arrayValue);
  for (const auto &[Id, Each] : Value.Jobs) {
    Json::Value &Stored = Jobs.append(write(Each));
    Stored["tasks"] = writeTasks(Each);
  }
  Result["by_rack"] = Value.Plan == PoolPlan::ByRack;
  if (!Value.Groups.empty())
    Result["rack_groups"] = write(Value.Groups);
  if (Value.Evacuated.Last != EvacuationNumber(0))
    Result["evacuations"] = write(Value.Evacuated);
  return json::write(Result);
}

RetVal<JobStore> readStore(const std::string &Text) {
  BOOST_LEAF_AUTO(From, json::parse(Text));
  BOOST_LEAF_AUTO(Jobs, readList<Job>(From, "jobs", readStored));
  BOOST_LEAF_AUTO(ByRack, json::readBoolOr(From, "by_rack", false));
  JobStore Result;
  Result.Plan = ByRack ? PoolPlan::ByRack : PoolPlan::One;
  BOOST_LEAF_ASSIGN(Result.Groups, readGroupsOf(From));
  if (From.isMember("evacuations")) {
    BOOST_LEAF_ASSIGN(Result.Evacuated, readEvacuations(From["evacuations"]));
  }
  for (Job &Each : Jobs)
    Result.Jobs.emplace(Each.Id, Each);
  return Result;
}

} // namespace geraniumbay::jobs::wire
