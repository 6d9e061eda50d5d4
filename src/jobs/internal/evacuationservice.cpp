//===- evacuationservice.cpp - Evacuations at a control VM ----------------===//
//
// Accepts operators' orders, has them recorded by the leader, and reports them
// to entries and operators.
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

const char *orderName(bool Evacuate) { return Evacuate ? "evacuate" : "end"; }

} // namespace

void JobService::registerEvacuationMethods() {
  Deps_.Server.method(wire::method::Evacuations,
                      [this](const Json::Value &Params, const Reply &Answer) {
                        listEvacuations(Params, Answer);
                      });
  Deps_.Server.method(wire::method::Evacuate, [this](const Json::Value &Params,
                                                     const Reply &Answer) {
    // Only orders that another control VM forwards carry a base.
    bool Forwarded = Params.isObject() && Params.isMember("base");
    Json::Value Full = Params;
    if (!Forwarded && Full.isObject())
      Full["base"] = 0;
    auto Order = attempt([&] { return wire::readEvacuationOrder(Full); });
    if (!Order)
      return Answer(Order.error());
    if (Forwarded)
      return handleEvacuationOrder(*Order, true, acknowledgeBy(Answer));
    orderEvacuation(Order->DataCentre, Order->Evacuate, acknowledgeBy(Answer));
  });
}

bool JobService::isKnownDataCentre(const DataCentreId &DataCentre) const {
  bool HasEntry =
      std::any_of(Entries_.begin(), Entries_.end(), [&](const auto &Entry) {
        return Entry.first.DataCentre == DataCentre;
      });
  bool HasWorker =
      std::any_of(Directory_.Workers.begin(), Directory_.Workers.end(),
                  [&](const auto &Entry) {
                    return Entry.second.Info.DataCentre == DataCentre;
                  });
  return HasEntry || HasWorker || Deps_.DataCentres.count(DataCentre) != 0 ||
         Deps_.Store.Evacuated.Records.count(DataCentre) != 0;
}

void JobService::orderEvacuation(const DataCentreId &DataCentre, bool Evacuate,
                                 Acknowledge Done) {
  if (!isKnownDataCentre(DataCentre)) {
    logEvent(LogLevel::Warning, Module, "evacuation_refused",
             {{"data_centre", DataCentre},
              {"order", orderName(Evacuate)},
              {"reason", "no data centre has this name"}});
    return Done(Error{ErrorCode::NotFound,
                      "no data centre is called " + DataCentre.value()});
  }
  EvacuationOrder Order{
      DataCentre, Evacuate,
      findEvacuationRecord(Deps_.Store.Evacuated, DataCentre).Number,
      Deps_.Clock.wallNow()};
  handleEvacuationOrder(Order, false, Done);
}

void JobService::handleEvacuationOrder(const EvacuationOrder &Order,
                                       bool Forwarded,
                                       const Acknowledge &Done) {
  if (serves())
    return recordEvacuation(Order, Done);
  forwardToLeader(wire::method::Evacuate, wire::write(Order), Forwarded,
                  withoutValue(Done));
}

void JobService::recordEvacuation(const EvacuationOrder &Order,
                                  const Acknowledge &Done) {
  const Error Superseded{ErrorCode::Unavailable, "another order came first"};
  if (!takesEffect(Deps_.Store.Evacuated, Order))
    return Done(Superseded);
  JobChanges Changes;
  Changes.Evacuations.push_back(Order);
  Time StartedAt = Deps_.Clock.now();
  Deps_.Log.append(
      wire::writeChanges(Changes),
      [this, Order, Superseded, StartedAt,
       Done](const Outcome<geraniumbay::Done> &Committed) {
        EvacuationRecord Now =
            findEvacuationRecord(Deps_.Store.Evacuated, Order.DataCentre);
        bool TookEffect = Committed && Now.Evacuated == Order.Evacuate;
        std::string Reason =
            Committed ? Superseded.Message : Committed.error().Message;
        logEvent(TookEffect ? LogLevel::Info : LogLevel::Warning, Module,
                 "evacuation_ordered",
                 {{"data_centre", Order.DataCentre},
                  {"order", orderName(Order.Evacuate)},
                  {"base", Order.Base.value()},
                  {"number", Now.Number.value()},
                  {"outcome", TookEffect ? "recorded" : "failed"},
                  {"reason", TookEffect ? "" : Reason},
                  {"commit_us", (Deps_.Clock.now() - StartedAt).count()}});
        applyEvacuations();
        if (!Committed)
          return Done(Committed.error());
        if (!TookEffect)
          return Done(Superseded);
        Done(geraniumbay::Done{});
      });
}

void JobService::applyEvacuations() {
  const Evacuations &State = Deps_.Store.Evacuated;
  if (State.Last == AppliedEvacuations_)
    return;
  AppliedEvacuations_ = State.Last;
  Evacuated_ = evacuatedDataCentres(State);
  Deps_.Measured.set("geraniumbay_evacuated_data_centres",
                     "Data centres that are evacuated.", {},
                     static_cast<double>(Evacuated_.size()));
  if (Scheduler_)
    Scheduler_->evacuationsChanged();
}

void JobService::addEvacuations(const Json::Value &Params,
                                Json::Value &Response) const {
  const Evacuations &State = Deps_.Store.Evacuated;
  if (EvacuationNumber(wire::numberOf(Params, "evacuations_change")) <
      State.Last)
    Response["evacuations"] = wire::write(State);
}

void JobService::recordEvacuationReport(const Json::Value &Params,
                                        const EntryPlace &From) {
  EvacuationReport &Report = EvacuationReports_[From.At];
  Report.LastKnown =
      EvacuationNumber(wire::numberOf(Params, "evacuations_change"));
  Report.Running.clear();
  const Json::Value &Running = Params["evacuated_running"];
  if (!Running.isObject())
    return;
  for (const std::string &Name : Running.getMemberNames())
    Report.Running[DataCentreId(Name)] = wire::numberOf(Running, Name.c_str());
}

Json::Value
JobService::describeEvacuation(const DataCentreId &DataCentre,
                               const EvacuationRecord &Record) const {
  std::uint64_t Running = Scheduler_ ? Scheduler_->runningIn(DataCentre) : 0;
  Json::Value Result(Json::objectValue);
  Result["data_centre"] = DataCentre.value();
  Result["since_ms"] = Json::Int64(Record.OrderedAt);
  Result["entries_behind"] = Json::Value(Json::arrayValue);
  for (const auto &[Entry, Contact] : Entries_) {
    auto Found = EvacuationReports_.find(Entry.At);
    if (Found == EvacuationReports_.end() ||
        Found->second.LastKnown < Record.Number)
      Result["entries_behind"].append(Entry.At.text());
    if (Found == EvacuationReports_.end())
      continue;
    auto InDataCentre = Found->second.Running.find(DataCentre);
    if (InDataCentre != Found->second.Running.end())
      Running += InDataCentre->second;
  }
  Result["running"] = Json::UInt64(Running);
  return Result;
}

void JobService::listEvacuations(const Json::Value &Params,
                                 const Reply &Answer) {
  // Only the leader gets the reports of all entries.
  if (!serves()) {
    Json::Value ForwardParams(Json::objectValue);
    ForwardParams["forwarded"] = true;
    return forwardToLeader(wire::method::Evacuations, std::move(ForwardParams),
                           wire::isSet(Params, "forwarded"), Answer);
  }
  Json::Value Result(Json::objectValue);
  Result["evacuations"] = Json::Value(Json::arrayValue);
  for (const auto &[DataCentre, Record] : Deps_.Store.Evacuated.Records)
    if (Record.Evacuated)
      Result["evacuations"].append(describeEvacuation(DataCentre, Record));
  Answer(std::move(Result));
}

} // namespace geraniumbay::jobs
