//===- workerdirectory.cpp - Directory of announced workers ---------------===//
//
// Applying announcements, and their JSON form.
//
//===----------------------------------------------------------------------===//

#include "jobs/workerdirectory.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>

namespace geraniumbay::jobs {

bool announce(WorkerDirectory &Directory, const WorkerInfo &Info, Time Now) {
  Directory.ReportsStarts =
      Directory.ReportsStarts || Info.StartedAt != WorkerStart();
  if (Directory.ReportsStarts && Info.StartedAt == WorkerStart())
    return false;
  auto Left = Directory.LeftWorkers.find(Info.Worker);
  bool HasLeft = Left != Directory.LeftWorkers.end();
  if (HasLeft && Info.StartedAt <= Left->second)
    return false;
  auto [Position, Inserted] =
      Directory.Workers.try_emplace(Info.Worker, KnownWorker{Info, Now});
  KnownWorker &Known = Position->second;
  if (!Inserted && isEarlierIncarnation(Info.StartedAt, Known.Info.StartedAt))
    return false;
  bool Replaces =
      !Inserted && isLaterIncarnation(Info.StartedAt, Known.Info.StartedAt);
  if (Inserted || Replaces) {
    Known = {Info, Now, ++Directory.Changes, Replaces || HasLeft};
    return true;
  }
  if (Info.Sequence < Known.Info.Sequence)
    return false;
  Known.LastHeardAt = Now;
  // A worker that has begun to drain never stops draining.
  bool Draining = Known.Info.Draining || Info.Draining;
  if (Draining != Known.Info.Draining || Info.At != Known.Info.At ||
      Info.Capacity != Known.Info.Capacity)
    Known.ChangeNumber = ++Directory.Changes;
  Known.Info = Info;
  Known.Info.Draining = Draining;
  return true;
}

void removeWorker(WorkerDirectory &Directory, const WorkerId &Worker) {
  if (Directory.Workers.erase(Worker) == 0)
    return;
  Directory.Removals.push_back({Worker, ++Directory.Changes});
  if (Directory.Removals.size() > MaxRemovals)
    Directory.Removals.pop_front();
}

void removeIncarnation(WorkerDirectory &Directory,
                       const WorkerIncarnation &Gone) {
  auto Found = Directory.Workers.find(Gone.Worker);
  if (Found != Directory.Workers.end() &&
      Found->second.Info.StartedAt == Gone.StartedAt)
    removeWorker(Directory, Gone.Worker);
}

bool recordLeave(WorkerDirectory &Directory, const WorkerId &Worker) {
  auto Found = Directory.Workers.find(Worker);
  bool Known = Found != Directory.Workers.end();
  if (Known && Found->second.HasRestarted && !Found->second.Info.Draining)
    return false;
  WorkerStart Start = Known ? Found->second.Info.StartedAt : WorkerStart();
  removeWorker(Directory, Worker);
  auto [Left, Inserted] = Directory.LeftWorkers.try_emplace(Worker, Start);
  Left->second = std::max(Left->second, Start);
  if (Inserted)
    Directory.LeftOrder.push_back(Worker);
  if (Directory.LeftOrder.size() > MaxLeftWorkers) {
    Directory.LeftWorkers.erase(Directory.LeftOrder.front());
    Directory.LeftOrder.pop_front();
  }
  return true;
}

void confirmWorkers(WorkerDirectory &Directory,
                    const std::set<WorkerId> &Workers, Time Now) {
  for (const WorkerId &Id : Workers) {
    auto Found = Directory.Workers.find(Id);
    if (Found != Directory.Workers.end())
      Found->second.LastHeardAt = Now;
  }
}

void dropSilentWorkers(WorkerDirectory &Directory, Time Now) {
  std::vector<WorkerId> Silent;
  for (const auto &[Id, Known] : Directory.Workers)
    if (Now - Known.LastHeardAt >= WorkerTimeout)
      Silent.push_back(Id);
  for (const WorkerId &Id : Silent)
    removeWorker(Directory, Id);
}

DirectoryChanges changesSince(const WorkerDirectory &Directory,
                              const ChangesRequest &Request) {
  DirectoryChanges Result;
  Result.LastChange = Directory.Changes;
  std::uint64_t Since = Request.Since;
  Result.IsFullList = Since == 0 || (Directory.Removals.size() == MaxRemovals &&
                                     Directory.Removals.front().ChangeNumber >
                                         std::max(Since, Request.ListStart));
  for (const auto &[Id, Known] : Directory.Workers)
    if (Result.IsFullList || Known.ChangeNumber > Since)
      Result.Changed.push_back(&Known);
  std::sort(Result.Changed.begin(), Result.Changed.end(),
            [](const KnownWorker *One, const KnownWorker *Other) {
              return One->ChangeNumber < Other->ChangeNumber;
            });
  if (Result.Changed.size() > Request.MaxWorkers) {
    Result.Changed.resize(Request.MaxWorkers);
    Result.LastChange = Result.Changed.back()->ChangeNumber;
  }
  if (Result.IsFullList)
    return Result;
  // A worker that was removed and has come back under its id is listed as
  // changed, in this part or a later one.
  for (const RemovedWorker &Each : Directory.Removals)
    if (Each.ChangeNumber > Since && Each.ChangeNumber <= Result.LastChange &&
        Directory.Workers.count(Each.Worker) == 0)
      Result.Removed.push_back(Each.Worker);
  return Result;
}

std::uint64_t digestOf(const WorkerInfo &Info) {
  std::size_t Digest = 0;
  auto Add = [&](const auto &Value) { boost::hash_combine(Digest, Value); };
  Add(Info.Worker.value());
  Add(Info.At.text());
  Add(Info.Service.value());
  Add(Info.DataCentre.value());
  Add(Info.Capacity.CpuMillis);
  Add(Info.Capacity.MemoryMb);
  Add(Info.Capacity.Gpus);
  Add(Info.Draining);
  if (Info.StartedAt != WorkerStart())
    Add(Info.StartedAt.value());
  for (const std::string &Label : Info.Labels)
    Add(Label);
  return Digest;
}

Json::Value write(const WorkerInfo &Value) {
  Json::Value Result(Json::objectValue);
  Result["worker"] = Value.Worker.value();
  if (Value.StartedAt != WorkerStart())
    Result["started"] = Json::Int64(Value.StartedAt.value());
  Result["at"] = Value.At.text();
  Result["service"] = Value.Service.value();
  Result["data_centre"] = Value.DataCentre.value();
  Result["cpu"] = Value.Capacity.CpuMillis;
  Result["mem"] = Value.Capacity.MemoryMb;
  Result["gpu"] = Value.Capacity.Gpus;
  Result["labels"] = Json::Value(Json::arrayValue);
  for (const std::string &Label : Value.Labels)
    Result["labels"].append(Label);
  Result["rack"] = Value.Rack;
  Result["draining"] = Value.Draining;
  Result["sequence"] = Json::UInt64(Value.Sequence);
  Result["clock"] = Json::Int64(Value.Clock.value());
  return Result;
}

RetVal<WorkerInfo> readWorker(const Json::Value &From) {
  WorkerInfo Result;
  BOOST_LEAF_AUTO(Worker, json::readString(From, "worker"));
  Result.Worker = WorkerId(std::move(Worker));
  if (From["started"].isInt64())
    Result.StartedAt = WorkerStart(From["started"].asInt64());
  BOOST_LEAF_AUTO(At, json::readString(From, "at"));
  BOOST_LEAF_ASSIGN(Result.At, parseEndpoint(At));
  BOOST_LEAF_AUTO(Service, json::readString(From, "service"));
  Result.Service = ServiceId(std::move(Service));
  BOOST_LEAF_AUTO(DataCentre, json::readString(From, "data_centre"));
  Result.DataCentre = DataCentreId(std::move(DataCentre));
  BOOST_LEAF_AUTO(Cpu, json::readUintOr(From, "cpu", 0));
  BOOST_LEAF_AUTO(Memory, json::readUintOr(From, "mem", 0));
  BOOST_LEAF_AUTO(Gpus, json::readUintOr(From, "gpu", 0));
  Result.Capacity = {static_cast<std::uint32_t>(Cpu),
                     static_cast<std::uint32_t>(Memory),
                     static_cast<std::uint32_t>(Gpus)};
  BOOST_LEAF_AUTO(Labels, json::readArray(From, "labels"));
  for (const Json::Value &Label : Labels) {
    if (!Label.isString())
      return fail(ErrorCode::InvalidArgument, "a label is no text");
    Result.Labels.push_back(Label.asString());
  }
  if (From.isMember("rack")) {
    BOOST_LEAF_ASSIGN(Result.Rack, json::readString(From, "rack"));
  }
  BOOST_LEAF_ASSIGN(Result.Draining, json::readBoolOr(From, "draining", false));
  BOOST_LEAF_ASSIGN(Result.Sequence, json::readUint(From, "sequence"));
  BOOST_LEAF_AUTO(Clock, json::readUintOr(From, "clock", 0));
  Result.Clock = WorkerMillis(static_cast<std::int64_t>(Clock));
  return Result;
}

} // namespace geraniumbay::jobs
