//===- entryfake.cpp - Entries and a control VM on a fake network ---------===//

#include "jobs/tests/entryfake.h"

#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

namespace geraniumbay::jobs {

using namespace std::chrono_literals;

namespace {

constexpr Duration OneWayDelay = 1ms;

/// Entries of data centre "a" are 10.0.1.x.
const char *dataCentreOf(const Endpoint &Entry) {
  return Entry.Address.rfind("10.0.1.", 0) == 0 ? "a" : "b";
}

Routing oneQueue() {
  Routing Result;
  Result.Version = DocumentVersion(1);
  Queue Only;
  Only.Name = QueueName("queue");
  Only.Place = {"host", "/q/"};
  Only.Service = ServiceId("service");
  Only.MaxFailures = 3;
  Result.Queues.push_back(Only);
  return Result;
}

} // namespace

RetVal<Routing> readOneQueue(const std::string & /*Document*/) {
  return oneQueue();
}

void FakeTurns::delay(const std::string &Host, Duration For) {
  NextTurn_[Host] = std::max(NextTurn_[Host], Clock_.now() + For);
}

void FakeTurns::run(const std::string &Host, std::function<void()> Due) {
  auto Found = NextTurn_.find(Host);
  if (Found == NextTurn_.end() || Found->second <= Clock_.now())
    return Due();
  Timers_.after(Found->second - Clock_.now(),
                [this, Host, Due = std::move(Due)] { run(Host, Due); });
}

Duration FakePeerNet::writingTime(const Endpoint &By,
                                  const Outcome<Json::Value> &Answer) {
  auto Rate = BytesPerMilli.find(By.Address);
  if (Rate == BytesPerMilli.end() || !Answer)
    return Duration(0);
  double Millis =
      static_cast<double>(json::write(*Answer).size()) / Rate->second;
  Time &Busy = BusyUntil_[By.Address];
  Busy = std::max(Busy, Clock_.now()) +
         Duration(static_cast<Duration::rep>(Millis * 1000));
  return Busy - Clock_.now();
}

bool served(const std::shared_ptr<Submitted> &Job) {
  return Job->Answer && Job->Answer->Outcome == JobOutcome::Known &&
         Job->Answer->State == JobState::Completed;
}

void FakePeerNet::call(const Endpoint &From, const Endpoint &To,
                       const std::string &Method, const Json::Value &Params,
                       Duration Timeout, IRpcClient::Callback Done) {
  ++Sent[Method];
  auto Open = std::make_shared<IRpcClient::Callback>(std::move(Done));
  auto Finish = [Open](const Outcome<Json::Value> &Result) {
    if (*Open)
      std::exchange(*Open, nullptr)(Result);
  };
  auto Reply = [this, From, Finish](const Outcome<Json::Value> &Result) {
    Turns_.run(From.Address, [Finish, Result] { Finish(Result); });
  };
  Timers_.after(Timeout, [Reply] {
    Reply(Error{ErrorCode::Timeout, "no answer"});
  });
  auto Arrive = [this, From, To, Method, Params, Reply] {
    auto Server = Servers.find(To);
    if (Server == Servers.end())
      return Reply(Error{ErrorCode::Refused, "nothing listens"});
    Server->second.at(Method)(Params, [this, From, To, Method, Reply](
                                          const Outcome<Json::Value> &Result) {
      if (Answered)
        Answered(Method, Result);
      if (!Faults_.isCut(From.Address, To.Address))
        Timers_.after(OneWayDelay + writingTime(To, Result),
                      [Reply, Result] { Reply(Result); });
    });
  };
  Timers_.after(OneWayDelay, [this, From, To, Reply, Arrive] {
    if (Faults_.isCut(From.Address, To.Address)) {
      if (CutsRefuse)
        Reply(Error{ErrorCode::Refused, "refused by something between"});
      return;
    }
    Turns_.run(To.Address, Arrive);
  });
}

EntryFake::EntryFake(int EntriesEach, int WorkersEach, std::uint64_t Seed,
                     int RacksEach) {
  Workers.Rng = Random(Seed);
  OtherHosts_.insert(Control_.Address);
  for (int DataCentre = 1; DataCentre <= 2; ++DataCentre) {
    auto &Hosts = DataCentre == 1 ? HostsInA_ : OtherHosts_;
    std::string Part = std::to_string(DataCentre) + ".";
    for (int I = 1; I <= WorkersEach; ++I) {
      std::string Host = "10.1." + Part + std::to_string(I);
      Announced_.push_back(
          Workers.add(Host, DataCentre == 1 ? "a" : "b", 2000));
      Announced_.back().Rack = RacksEach != 2
                                   ? "r" + std::to_string(I % RacksEach)
                               : I % 2 == 0 ? "even"
                                            : "odd";
      Hosts.insert(Host);
    }
    for (int I = 1; I <= EntriesEach; ++I) {
      Entries.emplace_back().At = {"10.0." + Part + std::to_string(I), 7000};
      Hosts.insert(Entries.back().At.Address);
    }
  }
  startControl();
  for (std::size_t I = 0; I < Entries.size(); ++I)
    start(I);
}

void EntryFake::startControl() {
  ControlRpc_ = std::make_unique<FakePeerRpc>(Net, Control_);
  ControlRpc_->method(wire::method::Sync, [this](
                                              const Json::Value &Params,
                                              const IRpcServer::Reply &Answer) {
    if (ControlAway)
      return;
    Json::Value Result(Json::objectValue);
    Result["leader"] = "";
    Result["ready"] = true;
    Result["schedules"] = false;
    Result["by_rack"] = ByRack;
    if (ByRack)
      Result["rack_groups"] = rackGroups();
    Result["lists_of"] = Json::UInt64(ListTerm);
    Result["all_workers"] = !ListIsPartial;
    const Json::Value &Owned = Params["owned"];
    if (Owned.isObject())
      for (const std::string &Name : Owned.getMemberNames())
        ReportedOwners_[Name] = Owned[Name];
    Result["owners"] = ReportedOwners_;
    Result["configuration"] = 1;
    Result["document"] = "document";
    KnownEntries_[Params["entry"].asString()] =
        Params["data_centre"].asString();
    std::vector<ListedEntry> Named;
    for (const auto &[At, Where] : KnownEntries_) {
      auto Address = attempt([&, Text = At] { return parseEndpoint(Text); });
      Named.push_back({{*Address, DataCentreId(Where)}, Capacities[*Address]});
    }
    Result["entries"] = write(Named);
    Result["entry_capacity"] = writeCapacities(Named);
    if (Params["workers_of"].asUInt64() != ListTerm) {
      Result["workers_of"] = Json::UInt64(ListTerm);
      Result["no_others"] = !ListIsPartial;
      Result["workers_change"] = 1;
      Result["workers"] = Json::Value(Json::arrayValue);
      for (const WorkerInfo &Info : Announced_)
        if (Dropped_.count(Info.DataCentre) == 0)
          Result["workers"].append(write(Info));
    }
    Answer(Result);
  });
}

Json::Value EntryFake::rackGroups() const {
  RackGroups Groups;
  for (const WorkerInfo &Info : Announced_)
    Groups[Info.DataCentre][Info.Rack] = Info.Rack;
  return wire::write(Groups);
}

void EntryFake::start(std::size_t Entry) {
  FakeEntry &New = Entries[Entry];
  New.Rpc = std::make_unique<FakePeerRpc>(Net, New.At);
  New.Workers = std::make_unique<FakeWorkerCalls>(Workers, New.At.Address);
  New.Timers = std::make_unique<FakeHostTimers>(Timers, Turns, New.At.Address);
  EntryDependencies Deps{*New.Workers, Clock,    *New.Timers,
                         Measured,     *New.Rpc, *New.Rpc};
  New.Jobs = std::make_unique<EntryJobs>(
      Deps,
      ListedEntry{{New.At, DataCentreId(dataCentreOf(New.At))},
                  Capacities[New.At]},
      std::vector<Endpoint>{Control_}, readOneQueue, LeaseSettings());
  New.Jobs->start();
}

void EntryFake::run(Duration For) {
  for (Time End = Clock.now() + For; Clock.now() < End;) {
    Clock.advance(1ms);
    while (Timers.runDue() != 0) {
      // Timers that a callback makes due run in the same millisecond.
    }
  }
}

std::vector<std::size_t> EntryFake::owners() const {
  std::vector<std::size_t> Result;
  for (std::size_t I = 0; I < Entries.size(); ++I)
    if (Entries[I].Jobs && Entries[I].Jobs->ownsAPool())
      Result.push_back(I);
  return Result;
}

void EntryFake::settle() {
  for (int I = 0; I < 100 && owners().size() != 1; ++I)
    run(50ms);
  run(500ms);
}

void EntryFake::settleByRack() {
  ByRack = true;
  run(3s);
}

std::shared_ptr<Submitted> EntryFake::submit(std::size_t Entry,
                                             const std::string &Job,
                                             std::uint32_t Tasks, bool Stored,
                                             const std::string &PreferredRack) {
  JobSpec Spec;
  Spec.Transient = !Stored;
  Spec.Payload = "payload";
  StepSpec Step;
  Step.Count = Tasks;
  Step.Needs.CpuMillis = 1000;
  Step.PreferredRack = PreferredRack;
  if (!PreferredRack.empty())
    Step.Estimate = Workers.TaskTime;
  Spec.Steps.push_back(Step);
  auto Result = std::make_shared<Submitted>();
  Result->Abandon = Entries[Entry].Jobs->submit(
      {"host", "/q/" + Job, 3s}, Spec,
      [Result](const JobAnswer &Answer) { Result->Answer = Answer; });
  return Result;
}

void EntryFake::crash(std::size_t Entry) {
  FakeEntry &Crashed = Entries[Entry];
  Net.Servers.erase(Crashed.At);
  Crashed.Rpc->Dead = true;
  Crashed.Workers->Dead = true;
  Endpoint At = Crashed.At;
  Ended_.push_back(std::move(Crashed));
  Entries[Entry] = FakeEntry();
  Entries[Entry].At = At;
}

void EntryFake::losePower(Random &Rng) {
  KnownEntries_.clear();
  ReportedOwners_ = Json::Value(Json::objectValue);
  for (std::size_t I = 0; I < Entries.size(); ++I)
    if (Entries[I].Jobs)
      crash(I);
  run(1s);
  for (std::size_t I = 0; I < Entries.size(); ++I) {
    run(Duration(Rng.below(150'000)));
    start(I);
  }
}

void EntryFake::cutDataCentre(bool Refuses) {
  Net.CutsRefuse = Refuses;
  for (const std::string &Here : HostsInA_)
    for (const std::string &There : OtherHosts_)
      Faults.Cut.insert({Here, There});
}

void EntryFake::listWorkersOfA(bool Listed) {
  if (Listed)
    Dropped_.clear();
  else
    Dropped_.insert(DataCentreId("a"));
  ++ListTerm;
}

void EntryFake::join() { Faults.Cut.clear(); }

} // namespace geraniumbay::jobs
