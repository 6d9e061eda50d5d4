//===- evacuationservice.cpp - Evacuations at a control VM ----------------===//
//
// Takes operators' orders, has them recorded by the leader, and tells entries
// and operators of them.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/acknowledge.h"
#include "jobs/internal/evacuationwire.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobservice.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";

const char *wordFor(bool Evacuate) { return Evacuate ? "evacuate" : "end"; }

} // namespace

void JobService::offerEvacuations() {
  Needs_.Server.method(wire::method::Evacuations,
                       [this](const Json::Value &Params, const Reply &Answer) {
                         listEvacuations(Params, Answer);
                       });
  Needs_.Server.method(wire::method::Evacuate, [this](const Json::Value &Params,
                                                      const Reply &Answer) {
    // An operator's tool names no base; another control VM does.
    bool Forwarded = Params.isObject() && Params.isMember("base");
    Json::Value Full = Params;
    if (!Forwarded && Full.isObject())
      Full["base"] = 0;
    auto Order = attempt([&] { return wire::readEvacuationOrder(Full); });
    if (!Order)
      return Answer(Order.error());
    if (Forwarded)
      return takeEvacuation(*Order, true, acknowledgeBy(Answer));
    orderEvacuation(Order->DataCentre, Order->Evacuate, acknowledgeBy(Answer));
  });
}

bool JobService::isKnown(const DataCentreId &DataCentre) const {
  bool HasEntry =
      std::any_of(Entries_.begin(), Entries_.end(), [&](const auto &Entry) {
        return Entry.first.DataCentre == DataCentre;
      });
  bool HasWorker =
      std::any_of(Directory_.Workers.begin(), Directory_.Workers.end(),
                  [&](const auto &Entry) {
                    return Entry.second.Info.DataCentre == DataCentre;
                  });
  return HasEntry || HasWorker || Needs_.DataCentres.count(DataCentre) != 0 ||
         Needs_.Store.Evacuated.Records.count(DataCentre) != 0;
}

void JobService::orderEvacuation(const DataCentreId &DataCentre, bool Evacuate,
                                 Acknowledge Done) {
  if (!isKnown(DataCentre)) {
    logEvent(LogLevel::Warning, Module, "evacuation_refused",
             {{"data_centre", DataCentre},
              {"order", wordFor(Evacuate)},
              {"reason", "no data centre has this name"}});
    return Done(Error{ErrorCode::NotFound,
                      "no data centre is called " + DataCentre.value()});
  }
  EvacuationOrder Order{DataCentre, Evacuate,
                        recordOf(Needs_.Store.Evacuated, DataCentre).Number,
                        Needs_.Clock.wallNow()};
  takeEvacuation(Order, false, Done);
}

void JobService::takeEvacuation(const EvacuationOrder &Order, bool Forwarded,
                                const Acknowledge &Done) {
  if (serves())
    return recordEvacuation(Order, Done);
  passOn(wire::method::Evacuate, wire::write(Order), Forwarded,
         withoutValue(Done));
}

void JobService::recordEvacuation(const EvacuationOrder &Order,
                                  const Acknowledge &Done) {
  const Error Overtaken{ErrorCode::Unavailable, "another order came first"};
  if (!takesEffect(Needs_.Store.Evacuated, Order))
    return Done(Overtaken);
  JobChanges Changes;
  Changes.Evacuations.push_back(Order);
  Time Began = Needs_.Clock.now();
  Needs_.Log.append(
      wire::writeChanges(Changes), [this, Order, Overtaken, Began, Done](
                                       const Outcome<geraniumbay::Done> &Was) {
        EvacuationRecord Now =
            recordOf(Needs_.Store.Evacuated, Order.DataCentre);
        bool Obeyed = Was && Now.Evacuated == Order.Evacuate;
        std::string Why = Was ? Overtaken.Message : Was.error().Message;
        logEvent(Obeyed ? LogLevel::Info : LogLevel::Warning, Module,
                 "evacuation_ordered",
                 {{"data_centre", Order.DataCentre},
                  {"order", wordFor(Order.Evacuate)},
                  {"base", Order.Base.value()},
                  {"number", Now.Number.value()},
                  {"outcome", Obeyed ? "recorded" : "failed"},
                  {"reason", Obeyed ? "" : Why},
                  {"commit_us", (Needs_.Clock.now() - Began).count()}});
        followEvacuations();
        if (!Was)
          return Done(Was.error());
        if (!Obeyed)
          return Done(Overtaken);
        Done(geraniumbay::Done{});
      });
}

void JobService::followEvacuations() {
  const Evacuations &State = Needs_.Store.Evacuated;
  if (State.Last == EvacuationsSeen_)
    return;
  EvacuationsSeen_ = State.Last;
  Evacuated_ = evacuatedOf(State);
  Needs_.Measured.set("geraniumbay_evacuated_data_centres",
                      "Data centres that are evacuated.", {},
                      static_cast<double>(Evacuated_.size()));
  if (Scheduler_)
    Scheduler_->evacuationsChanged();
}

void JobService::tellEvacuations(const Json::Value &Params,
                                 Json::Value &Into) const {
  const Evacuations &State = Needs_.Store.Evacuated;
  if (EvacuationNumber(wire::numberOf(Params, "evacuations_change")) <
      State.Last)
    Into["evacuations"] = wire::write(State);
}

void JobService::takeEvacuationWord(const Json::Value &Params,
                                    const EntryPlace &From) {
  EvacuationWord &Word = EvacuationWords_[From.At];
  Word.Known = EvacuationNumber(wire::numberOf(Params, "evacuations_change"));
  Word.Running.clear();
  const Json::Value &Running = Params["evacuated_running"];
  if (!Running.isObject())
    return;
  for (const std::string &Name : Running.getMemberNames())
    Word.Running[DataCentreId(Name)] = wire::numberOf(Running, Name.c_str());
}

Json::Value
JobService::describeEvacuation(const DataCentreId &DataCentre,
                               const EvacuationRecord &Record) const {
  std::uint64_t Running = Scheduler_ ? Scheduler_->runningIn(DataCentre) : 0;
  Json::Value Result(Json::objectValue);
  Result["data_centre"] = DataCentre.value();
  Result["since_ms"] = Json::Int64(Record.At);
  Result["entries_behind"] = Json::Value(Json::arrayValue);
  for (const auto &[Entry, Heard] : Entries_) {
    auto Found = EvacuationWords_.find(Entry.At);
    if (Found == EvacuationWords_.end() || Found->second.Known < Record.Number)
      Result["entries_behind"].append(Entry.At.text());
    if (Found == EvacuationWords_.end())
      continue;
    auto There = Found->second.Running.find(DataCentre);
    if (There != Found->second.Running.end())
      Running += There->second;
  }
  Result["running"] = Json::UInt64(Running);
  return Result;
}

void JobService::listEvacuations(const Json::Value &Params,
                                 const Reply &Answer) {
  // Only the leader hears from all entries.
  if (!serves()) {
    Json::Value Passed(Json::objectValue);
    Passed["forwarded"] = true;
    return passOn(wire::method::Evacuations, std::move(Passed),
                  wire::isSet(Params, "forwarded"), Answer);
  }
  Json::Value Result(Json::objectValue);
  Result["evacuations"] = Json::Value(Json::arrayValue);
  for (const auto &[DataCentre, Record] : Needs_.Store.Evacuated.Records)
    if (Record.Evacuated)
      Result["evacuations"].append(describeEvacuation(DataCentre, Record));
  Answer(std::move(Result));
}

} // namespace geraniumbay::jobs
