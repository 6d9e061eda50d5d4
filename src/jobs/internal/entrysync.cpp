//===- entrysync.cpp - What an entry learns from control VMs --------------===//
//
// The configuration, the workers and the other entries.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/entryjobs.h"

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// An entry that no leader has named for so long is forgotten.
constexpr Duration EntrySilence = std::chrono::seconds(60);

std::uint64_t numberOr(const Json::Value &From, const char *Name,
                       std::uint64_t Default) {
  auto Value = attempt([&] { return json::readUintOr(From, Name, Default); });
  return Value ? *Value : Default;
}

} // namespace

Json::Value EntryJobs::askControl() const {
  Json::Value Params(Json::objectValue);
  Params["entry"] = Self_.text();
  Params["configuration"] = Json::UInt64(RoutingFrom_.value());
  Params["workers_of"] = Json::UInt64(WorkersOf_);
  Params["workers_change"] = Json::UInt64(WorkersChange_);
  return Params;
}

void EntryJobs::takeControl(const Json::Value &Result) {
  takeDocument(Result);
  takeWorkers(Result);
  takeEntryList(Result);
  if (Result["ready"].isBool() && Result["ready"].asBool())
    ControlSchedules_ =
        Result["schedules"].isBool() && Result["schedules"].asBool();
}

void EntryJobs::takeDocument(const Json::Value &Result) {
  ConfigVersion Version(numberOr(Result, "configuration", 0));
  if (Version <= RoutingFrom_ || !Result["document"].isString())
    return;
  auto Read = attempt([&] { return Reader_(Result["document"].asString()); });
  logEvent(Read ? LogLevel::Info : LogLevel::Error, Module, "routing_in_force",
           {{"configuration", Version},
            {"document", Read ? Read->Version.value() : 0},
            {"reason", Read ? "" : Read.error().Message.c_str()}});
  if (!Read)
    return;
  Routing_ = std::move(*Read);
  RoutingFrom_ = Version;
}

void EntryJobs::takeWorkers(const Json::Value &Result) {
  if (!Result["workers"].isArray())
    return;
  WorkersOf_ = numberOr(Result, "workers_of", 0);
  WorkersChange_ = numberOr(Result, "workers_change", 0);
  Time Now = Needs_.Clock.now();
  for (const Json::Value &Each : Result["workers"]) {
    auto Info = attempt([&] { return readWorker(Each); });
    if (Info)
      announce(Directory_, *Info, Now);
  }
  if (Scheduler_)
    Scheduler_->takeWorkers(Directory_);
}

void EntryJobs::takeEntryList(const Json::Value &Result) {
  if (!Result["entries"].isArray())
    return;
  Time Now = Needs_.Clock.now();
  for (const Json::Value &Each : Result["entries"]) {
    auto At = attempt([&] { return parseEndpoint(Each.asString()); });
    if (At)
      Entries_[*At] = Now;
  }
  std::erase_if(Entries_, [&](const auto &Entry) {
    return Now - Entry.second >= EntrySilence;
  });
  std::vector<Endpoint> Known;
  for (const auto &[At, Named] : Entries_)
    Known.push_back(At);
  takeEntries(View_, Known, Now);
}

} // namespace geraniumbay::jobs
