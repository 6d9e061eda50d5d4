//===- pools.cpp - Division of the workers into pools ---------------------===//
//
// Names, candidates, ranks and loads.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/pools.h"

#include "jobs/internal/jobmessages.h"

#include <algorithm>
#include <boost/container_hash/hash.hpp>
#include <cmath>
#include <sstream>

namespace geraniumbay::jobs {

namespace {

constexpr std::uint64_t Percent = 100;
/// Above this use the remaining capacity is fragments that fit no task.
constexpr std::uint64_t UsablePercent = 85;
/// The mean run time of tasks, in which a full pool frees all its capacity.
constexpr Duration MeanRunTime = std::chrono::milliseconds(200);

} // namespace

const PoolName &poolOfAll() {
  static const PoolName All("all");
  return All;
}

PoolName poolOfRack(const RackGroups &Groups, const DataCentreId &DataCentre,
                    const std::string &Rack) {
  const std::string *Group = &Rack;
  if (auto Racks = Groups.find(DataCentre); Racks != Groups.end())
    if (auto Found = Racks->second.find(Rack); Found != Racks->second.end())
      Group = &Found->second;
  return PoolName(DataCentre.value() + "/" + *Group);
}

PoolName poolOf(PoolPlan Plan, const RackGroups &Groups,
                const WorkerInfo &Worker) {
  if (Plan == PoolPlan::One)
    return poolOfAll();
  return poolOfRack(Groups, Worker.DataCentre, Worker.Rack);
}

std::uint64_t digestOf(const ListedEntry &Entry) {
  std::size_t Digest = 0;
  boost::hash_combine(Digest, Entry.Place.At.text());
  boost::hash_combine(Digest, Entry.Place.DataCentre.value());
  if (Entry.Capacity == scheduling::VmCapacity())
    return Digest;
  boost::hash_combine(Digest, Entry.Capacity.CpuMillis);
  boost::hash_combine(Digest, Entry.Capacity.LinkKbits);
  return Digest;
}

Json::Value write(const std::vector<ListedEntry> &Entries) {
  std::map<DataCentreId, std::string> Texts;
  for (const ListedEntry &Each : Entries)
    Texts[Each.Place.DataCentre] += Each.Place.At.text() + " ";
  Json::Value Result(Json::objectValue);
  for (const auto &[DataCentre, Text] : Texts)
    Result[DataCentre.value()] = Text;
  return Result;
}

Json::Value writeCapacities(const std::vector<ListedEntry> &Entries) {
  std::map<scheduling::VmCapacity, std::string> Texts;
  for (const ListedEntry &Each : Entries)
    if (Each.Capacity != scheduling::VmCapacity())
      Texts[Each.Capacity] += Each.Place.At.text() + " ";
  Json::Value Result;
  for (const auto &[Capacity, Text] : Texts)
    Result[std::to_string(Capacity.CpuMillis) + " " +
           std::to_string(Capacity.LinkKbits)] = Text;
  return Result;
}

namespace {

/// Calls \p Use with each address in \p Text that can be read.
template <typename UseFn>
void forEachAddress(const Json::Value &Text, UseFn Use) {
  if (!Text.isString())
    return;
  std::istringstream Words(Text.asString());
  for (std::string Word; Words >> Word;)
    if (auto At = attempt([&] { return parseEndpoint(Word); }))
      Use(*At);
}

std::map<Endpoint, scheduling::VmCapacity>
readCapacities(const Json::Value &From) {
  std::map<Endpoint, scheduling::VmCapacity> Result;
  if (!From.isObject())
    return Result;
  for (const std::string &Name : From.getMemberNames()) {
    scheduling::VmCapacity Capacity;
    if (std::istringstream(Name) >> Capacity.CpuMillis >> Capacity.LinkKbits)
      forEachAddress(From[Name],
                     [&](const Endpoint &At) { Result[At] = Capacity; });
  }
  return Result;
}

} // namespace

std::vector<ListedEntry> readEntries(const Json::Value &Entries,
                                     const Json::Value &Capacities) {
  std::vector<ListedEntry> Result;
  if (!Entries.isObject())
    return Result;
  auto Known = readCapacities(Capacities);
  for (const std::string &DataCentre : Entries.getMemberNames())
    forEachAddress(Entries[DataCentre], [&](const Endpoint &At) {
      auto Found = Known.find(At);
      Result.push_back(
          {{At, DataCentreId(DataCentre)},
           Found == Known.end() ? scheduling::VmCapacity() : Found->second});
    });
  return Result;
}

std::vector<Endpoint> candidatesFor(PoolPlan Plan,
                                    const DataCentreId &DataCentre,
                                    const std::vector<EntryPlace> &Entries) {
  std::vector<Endpoint> All;
  std::vector<Endpoint> Near;
  for (const EntryPlace &Each : Entries) {
    All.push_back(Each.At);
    if (Each.DataCentre == DataCentre)
      Near.push_back(Each.At);
  }
  std::vector<Endpoint> &Result =
      Plan == PoolPlan::One || Near.empty() ? All : Near;
  std::sort(Result.begin(), Result.end());
  return Result;
}

std::vector<Endpoint> ranksFor(std::size_t Number,
                               std::vector<Endpoint> Candidates,
                               const std::set<Endpoint> &Busy) {
  if (Candidates.empty())
    return Candidates;
  auto First = static_cast<std::ptrdiff_t>(Number % Candidates.size());
  std::rotate(Candidates.begin(), Candidates.begin() + First, Candidates.end());
  std::stable_partition(
      Candidates.begin(), Candidates.end(),
      [&](const Endpoint &Each) { return Busy.count(Each) == 0; });
  return Candidates;
}

std::map<PoolName, std::vector<Endpoint>>
ranksByCapacity(const std::map<PoolName, std::optional<Endpoint>> &Owners,
                const std::vector<Endpoint> &Candidates,
                const std::map<Endpoint, scheduling::VmCapacity> &Capacities) {
  std::vector<scheduling::OwnerCandidate> All;
  All.reserve(Candidates.size());
  for (const Endpoint &Each : Candidates) {
    auto Found = Capacities.find(Each);
    All.push_back({Each.text(), Found == Capacities.end()
                                    ? scheduling::VmCapacity()
                                    : Found->second});
  }
  std::vector<scheduling::OwnedPool> Pools;
  for (const auto &[Name, Owner] : Owners) {
    scheduling::OwnedPool &Pool =
        Pools.emplace_back(scheduling::OwnedPool{Name.value(), std::nullopt});
    auto Found = Owner ? std::find(Candidates.begin(), Candidates.end(), *Owner)
                       : Candidates.end();
    if (Found != Candidates.end())
      Pool.Owner = static_cast<std::size_t>(Found - Candidates.begin());
  }
  std::map<PoolName, std::vector<Endpoint>> Result;
  auto Ranks = scheduling::rankOwners(All, Pools);
  for (std::size_t I = 0; I < Pools.size(); ++I) {
    std::vector<Endpoint> &Ranked = Result[PoolName(Pools[I].Name)];
    for (std::size_t Each : Ranks[I])
      Ranked.push_back(Candidates[Each]);
  }
  return Result;
}

Duration expectedWait(const PoolLoad &Load, std::uint32_t Priority,
                      std::uint64_t Cores) {
  Duration Wait{0};
  for (std::size_t I = 0; I < Load.Backlog.size() && I <= Priority; ++I)
    Wait += Load.Backlog[I];
  std::uint64_t Usable = Load.Capacity * UsablePercent / Percent;
  std::uint64_t Wanted = Load.Used + Cores;
  if (Usable > 0 && Wanted > Usable)
    Wait += Duration(static_cast<Duration::rep>(
        static_cast<double>(MeanRunTime.count()) *
        static_cast<double>(Wanted - Usable) / static_cast<double>(Usable)));
  return Wait;
}

PoolLoad smoothLoad(SmoothedPoolLoad &State, const PoolLoad &Load, Time Now) {
  constexpr double UseStep = 1.0 / 16;
  constexpr Duration BacklogStep = std::chrono::milliseconds(20);
  PoolLoad Result = Load;
  if (Load.Capacity == 0)
    return Result;
  auto Capacity = static_cast<double>(Load.Capacity);
  scheduling::observe(State.Use, static_cast<double>(Load.Used) / Capacity,
                      Now);
  Result.Used = static_cast<std::uint64_t>(
      std::lround(scheduling::valueToReport(State.Use, UseStep) * Capacity));
  for (std::size_t Class = 0; Class < Load.Backlog.size(); ++Class) {
    scheduling::observe(State.Backlog[Class],
                        static_cast<double>(Load.Backlog[Class].count()), Now);
    Result.Backlog[Class] =
        Duration(static_cast<Duration::rep>(scheduling::valueToReport(
            State.Backlog[Class], static_cast<double>(BacklogStep.count()))));
  }
  return Result;
}

Json::Value write(const PoolLoad &Value) {
  Json::Value Result(Json::objectValue);
  Result["capacity"] = Json::UInt64(Value.Capacity);
  Result["used"] = Json::UInt64(Value.Used);
  for (const Duration &Each : Value.Backlog)
    Result["backlog_us"].append(Json::Int64(Each.count()));
  return Result;
}

PoolLoad readPoolLoad(const Json::Value &From) {
  PoolLoad Result;
  Result.Capacity = wire::numberOf(From, "capacity");
  Result.Used = wire::numberOf(From, "used");
  if (!From.isObject() || !From["backlog_us"].isArray())
    return Result;
  const Json::Value &Backlog = From["backlog_us"];
  for (Json::ArrayIndex I = 0; I < Backlog.size() && I < Result.Backlog.size();
       ++I)
    if (Backlog[I].isInt64())
      Result.Backlog[I] = Duration(Backlog[I].asInt64());
  return Result;
}

} // namespace geraniumbay::jobs
