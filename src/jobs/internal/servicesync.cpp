//===- servicesync.cpp - What a control VM tells entries ------------------===//
//
// The answer to the question that each entry asks again and again: the leader,
// the configuration, the entries, the owners of pools and the workers, each as
// what has changed since the entry was told last. Control VMs tell each other
// in the same way which workers there are.
//
//===----------------------------------------------------------------------===//

#include "framework/log/log.h"
#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobservice.h"
#include "jobs/internal/jobwire.h"
#include "scheduling/askpace.h"
#include "scheduling/poolsize.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr const char *Module = "jobs";
/// How often the leader tells the others which workers there are: a new leader
/// then knows them before they announce themselves again.
constexpr Duration ShareInterval = std::chrono::seconds(1);
constexpr Duration ShareTimeout = std::chrono::seconds(1);
/// In one message: some 40 KB, which a VM with half a core writes and reads
/// within a few milliseconds.
constexpr std::size_t MostWorkersShared = 200;

/// An entry that has not asked for so long is gone.
constexpr Duration EntrySilence = std::chrono::seconds(60);
/// A new leader names the entries once all have had the time to ask: by a part
/// of the list several of them would take themselves for the first.
constexpr Duration EntriesDelay = std::chrono::milliseconds(300);
/// An owner of a pool says so with every question, several times a second.
constexpr Duration OwnerWordLasts = std::chrono::seconds(2);
/// What comes with the answer to an entry's frequent question. Larger things
/// are fetched once, without haste: a leader with half a core cannot send a
/// document of a thousand queues to forty entries within the 400 ms after which
/// they ask again, and would be asked again for ever.
constexpr std::size_t MaxDocumentInSync = std::size_t{16} << 10U;
constexpr std::size_t MaxWorkersInSync = 50;
/// Pools whose load alone has changed. In a large group nearly all loads change
/// between two questions; entries weigh a few pools at a time.
constexpr std::size_t MostLoadsInSync = 16;

/// Workers announce themselves within two seconds of their start; when none has
/// come for so long, all have.
constexpr Duration WorkersSettle = std::chrono::milliseconds(800);
/// Where workers come and go all the time nothing is waited for any longer. By
/// then each has announced itself, also one whose first control VM was silent.
constexpr Duration LongestSettling = std::chrono::seconds(3);

RackGroups groupAllRacks(const WorkerDirectory &Directory) {
  std::map<DataCentreId, std::map<std::string, std::size_t>> Racks;
  for (const auto &[Id, Known] : Directory.Workers)
    ++Racks[Known.Info.DataCentre][Known.Info.Rack];
  RackGroups Result;
  for (const auto &[DataCentre, Sizes] : Racks)
    Result[DataCentre] =
        scheduling::groupRacks(Sizes, scheduling::WorkersOfAPool);
  return Result;
}

} // namespace

void JobService::sync(const Json::Value &Params, const Reply &Answer) {
  Json::Value Result = redirection();
  Result["ready"] = serves() && !Stopping_;
  Result["schedules"] = Scheduler_ != nullptr;
  for (const Endpoint &Member : Needs_.Log.memberAddresses())
    Result["members"].append(Member.text());
  auto Has =
      attempt([&] { return json::readUintOr(Params, "configuration", 0); });
  if (Has && ConfigVersion(*Has) < Needs_.Log.configuration().Version)
    tellDocument(false, Result);
  tellEvacuations(Params, Result);
  if (serves())
    tellEntry(Params, Result);
  Answer(std::move(Result));
}

void JobService::tellEntry(const Json::Value &Params, Json::Value &Into) {
  Time Now = Needs_.Clock.now();
  auto At = attempt([&] { return wire::readEndpoint(Params, "entry"); });
  auto Where = attempt([&] { return json::readString(Params, "data_centre"); });
  bool New = At && Where &&
             Entries_.insert_or_assign({*At, DataCentreId(*Where)}, Now).second;
  if (At && Where)
    takeEvacuationWord(Params, {*At, DataCentreId(*Where)});
  std::size_t Gone = std::erase_if(Entries_, [&](const auto &Entry) {
    return Now - Entry.second >= EntrySilence;
  });
  if (Gone != 0)
    std::erase_if(EvacuationWords_, [&](const auto &Word) {
      return std::none_of(
          Entries_.begin(), Entries_.end(),
          [&](const auto &Entry) { return Entry.first.At == Word.first; });
    });
  if (New || Gone != 0)
    ++EntriesChange_;
  if (Now - LeadsSince_ >= EntriesDelay)
    tellEntries(Params, Into);
  Into["by_rack"] = Needs_.Store.Plan == PoolPlan::ByRack;
  if (!wire::isSet(Params, "by_rack") && !Needs_.Store.Groups.empty())
    Into["rack_groups"] = wire::write(Needs_.Store.Groups);
  Into["ask_after_us"] =
      Json::Int64(scheduling::askPause(Entries_.size()).count());
  tellOwners(Params, Into);
  tellWorkers(Params, false, Into);
}

bool JobService::isOfThisTerm(const Json::Value &Params) const {
  return Term_ && wire::numberOf(Params, "lists_of") == Term_->value();
}

void JobService::tellEntries(const Json::Value &Params, Json::Value &Into) {
  Into["lists_of"] = Json::UInt64(Term_->value());
  Into["entries_change"] = Json::UInt64(EntriesChange_);
  if (isOfThisTerm(Params) &&
      wire::numberOf(Params, "entries_change") == EntriesChange_)
    return;
  for (const auto &[Place, Heard] : Entries_) {
    Json::Value Each(Json::objectValue);
    Each["at"] = Place.At.text();
    Each["data_centre"] = Place.DataCentre.value();
    Into["entries"].append(std::move(Each));
  }
}

void JobService::noteOwner(const PoolName &Name, const Json::Value &Claim,
                           Time Now) {
  OwnerWord &Known = Owners_[Name];
  Known.Heard = Now;
  if (Known.ChangedAt != 0 && Known.Claim == Claim)
    return;
  changeOwner(Known, Claim);
}

void JobService::changeOwner(OwnerWord &Known, const Json::Value &Claim) {
  bool Other = Known.ChangedAt == 0 || Known.Claim.isNull() || Claim.isNull() ||
               Known.Claim["owner"] != Claim["owner"] ||
               Known.Claim["token"] != Claim["token"];
  Known.Claim = Claim;
  Known.ChangedAt = ++OwnersChange_;
  if (Other)
    Known.OwnerChangedAt = OwnersChange_;
}

void JobService::tellOwners(const Json::Value &Params, Json::Value &Into) {
  Time Now = Needs_.Clock.now();
  const Json::Value &Owned = Params["owned"];
  if (Owned.isObject())
    for (const std::string &Name : Owned.getMemberNames())
      noteOwner(PoolName(Name), Owned[Name], Now);
  for (auto &[Name, Known] : Owners_)
    if (!Known.Claim.isNull() && Now - Known.Heard >= OwnerWordLasts)
      changeOwner(Known, Json::Value());
  Into["lists_of"] = Json::UInt64(Term_->value());
  Into["owners_change"] = Json::UInt64(OwnersChange_);
  bool SameTerm = isOfThisTerm(Params);
  std::uint64_t Since = SameTerm ? wire::numberOf(Params, "owners_change") : 0;
  for (const auto &[Name, Known] : Owners_)
    if (Known.OwnerChangedAt > Since)
      Into["owners"][Name.value()] = Known.Claim;
  tellLoads(Params, SameTerm, Into);
}

void JobService::tellLoads(const Json::Value &Params, bool SameTerm,
                           Json::Value &Into) const {
  std::uint64_t Since = SameTerm ? wire::numberOf(Params, "loads_change") : 0;
  PoolName After;
  if (SameTerm && Params["loads_after"].isString())
    After = PoolName(Params["loads_after"].asString());
  std::size_t Count = 0;
  for (auto It = Owners_.upper_bound(After); It != Owners_.end(); ++It) {
    const auto &[Name, Known] = *It;
    if (Known.ChangedAt <= Since || Into["owners"].isMember(Name.value()))
      continue;
    Into["owners"][Name.value()] = Known.Claim;
    if (++Count < MostLoadsInSync)
      continue;
    // The others come with the next answers.
    Into["loads_after"] = Name.value();
    return;
  }
}

void JobService::document(const Json::Value & /*Params*/, const Reply &Answer) {
  Json::Value Result(Json::objectValue);
  tellDocument(true, Result);
  Answer(std::move(Result));
}

bool JobService::listShared(const Json::Value &Params,
                            Json::Value &Into) const {
  bool HasSome = wire::numberOf(Params, "workers_of") == SharedOf_ &&
                 wire::numberOf(Params, "workers_change") != 0;
  if (SharedOf_ == 0 || wire::numberOf(Params, "lists_of") != SharedOf_ ||
      HasSome)
    return false;
  Into["workers_of"] = Json::UInt64(SharedOf_);
  Into["workers_change"] = Json::UInt64(SharedChange_);
  Into["workers"] = Json::Value(Json::arrayValue);
  for (const WorkerId &Id : SharedWorkers_)
    if (auto Found = Directory_.Workers.find(Id);
        Found != Directory_.Workers.end())
      Into["workers"].append(write(Found->second.Info));
  return true;
}

void JobService::workers(const Json::Value &Params, const Reply &Answer) {
  Json::Value Result(Json::objectValue);
  if (!serves()) {
    Result = redirection();
    tellEvacuations(Params, Result);
    listShared(Params, Result);
    return Answer(std::move(Result));
  }
  // Who learns of workers learns at the same time which ones get no tasks.
  tellEvacuations(Params, Result);
  tellWorkers(Params, true, Result);
  Answer(std::move(Result));
}

void JobService::tellDocument(bool Any, Json::Value &Into) const {
  const control::ConfigSnapshot &Config = Needs_.Log.configuration();
  if (!Any && Config.Document.size() > MaxDocumentInSync) {
    Into["large_document"] = Json::UInt64(Config.Version.value());
    return;
  }
  Into["configuration"] = Json::UInt64(Config.Version.value());
  Into["document"] = Config.Document;
}

void JobService::tellWorkers(const Json::Value &Params, bool Any,
                             Json::Value &Into) {
  auto Of = attempt([&] { return json::readUintOr(Params, "workers_of", 0); });
  auto Change =
      attempt([&] { return json::readUintOr(Params, "workers_change", 0); });
  bool SameTerm = Of && Change && *Of == Term_->value();
  if (isToBeDivided())
    return;
  bool Current = SameTerm && *Change == Directory_.Changes;
  if (Current && knowsAllWorkers())
    Into["all_workers"] = true;
  if (Current)
    return;
  DirectoryChanges News = changesSince(Directory_, SameTerm ? *Change : 0);
  if (!Any && News.Changed.size() > MaxWorkersInSync) {
    Into["many_workers"] = true;
    return;
  }
  Into["workers_of"] = Json::UInt64(Term_->value());
  Into["workers_change"] = Json::UInt64(News.Upto);
  Into["workers"] = Json::Value(Json::arrayValue);
  for (const KnownWorker *Each : News.Changed)
    Into["workers"].append(write(Each->Info));
  for (const WorkerId &Each : News.Removed)
    Into["removed"].append(Each.value());
}

bool JobService::knowsAllWorkers() const {
  return InheritsAllWorkers_ ||
         (Term_ && Needs_.Clock.now() - LeadsSince_ >= LongestSettling);
}

bool JobService::isToBeDivided() const {
  return Needs_.Store.Plan == PoolPlan::One &&
         Directory_.Workers.size() > MaxWorkersOfOnePool;
}

void JobService::divideIfLarge() {
  if (!serves() || Dividing_ || !isToBeDivided())
    return;
  // The racks are joined by their sizes, so all workers should be there.
  Time Now = Needs_.Clock.now();
  if (WorkersCounted_ != Directory_.Workers.size()) {
    WorkersCounted_ = Directory_.Workers.size();
    WorkersCountedAt_ = Now;
  }
  if (!TooManySince_)
    TooManySince_ = Now;
  bool Settled = Now - WorkersCountedAt_ >= WorkersSettle;
  if (!Settled && Now - *TooManySince_ < LongestSettling)
    return;
  Dividing_ = true;
  JobChanges Changes;
  Changes.DividesByRacks = true;
  Changes.Groups = groupAllRacks(Directory_);
  Needs_.Log.append(wire::writeChanges(Changes), [this](
                                                     const Outcome<Done> &Was) {
    Dividing_ = false;
    logEvent(LogLevel::Info, Module, "divides_by_racks",
             {{"workers", Directory_.Workers.size()},
              {"outcome", Was ? "recorded" : errorCodeName(Was.error().Code)}});
  });
}

void JobService::shareWorkers() {
  if (Term_) {
    auto Own = Needs_.Log.leaderAddress();
    for (const Endpoint &Member : Needs_.Log.memberAddresses())
      if (Member != Own && !Shared_[Member].UnderWay)
        shareWith(Member);
  }
  Needs_.Timers.after(ShareInterval, [this] { shareWorkers(); });
}

void JobService::shareWith(const Endpoint &Member) {
  ShareState &State = Shared_[Member];
  if (State.Upto == 0)
    State.ListedFrom = Directory_.Changes;
  DirectoryChanges News = changesSince(
      Directory_, {State.Upto, MostWorkersShared, State.ListedFrom});
  Json::Value Params(Json::objectValue);
  Params["workers_of"] = Json::UInt64(Term_->value());
  if (auto Own = Needs_.Log.leaderAddress())
    Params["leader"] = Own->text();
  Params["since"] = Json::UInt64(News.Whole ? 0 : State.Upto);
  Params["workers_change"] = Json::UInt64(News.Upto);
  if (knowsAllWorkers() && News.Upto == Directory_.Changes)
    Params["all_workers"] = true;
  for (const KnownWorker *Each : News.Changed)
    Params["workers"].append(write(Each->Info));
  for (const WorkerId &Each : News.Removed)
    Params["removed"].append(Each.value());
  State.UnderWay = true;
  Needs_.Client.call(
      Member, wire::method::Share, std::move(Params), ShareTimeout,
      [this, Member, Term = Term_,
       Upto = News.Upto](const Outcome<Json::Value> &Result) {
        if (Term_ != Term)
          return;
        ShareState &Of = Shared_[Member];
        Of.UnderWay = false;
        if (Result)
          Of.AnsweredAt = Needs_.Clock.now();
        // One that lacks something is told all workers anew. Without an answer
        // the same is told again: that changes nothing.
        if (Result && wire::isSet(*Result, "behind"))
          Of.Upto = 0;
        else if (Result)
          Of.Upto = Upto;
        if (Result && Of.Upto != 0 && Of.Upto < Directory_.Changes)
          shareWith(Member);
      });
}

void JobService::takeShared(const Json::Value &Params, const Reply &Answer) {
  auto Workers = attempt([&] { return json::readArray(Params, "workers"); });
  if (!Workers)
    return Answer(Workers.error());
  std::uint64_t Of = wire::numberOf(Params, "workers_of");
  std::uint64_t Since = wire::numberOf(Params, "since");
  Json::Value Result(Json::objectValue);
  // A message whose answer was lost comes again.
  bool Follows = Of == SharedOf_ && Since <= SharedChange_;
  if (Since != 0 && !Follows) {
    Result["behind"] = true;
    return Answer(std::move(Result));
  }
  if (Since != 0 && wire::numberOf(Params, "workers_change") < SharedChange_)
    return Answer(std::move(Result));
  followLeader(Relay_, Needs_.Log.leaderAddress());
  // A leader of the past may share what the present one does not know.
  bool FromLeader = Relay_.Leader && Params["leader"] == Relay_.Leader->text();
  if (Since == 0) {
    SharedWorkers_.clear();
    Relay_.Known.clear();
  }
  SharedOf_ = Of;
  SharedChange_ = wire::numberOf(Params, "workers_change");
  Time Now = Needs_.Clock.now();
  for (const Json::Value &Each : *Workers) {
    auto Info = attempt([&] { return readWorker(Each); });
    if (!Info)
      continue;
    announce(Directory_, *Info, Now);
    if (FromLeader)
      noteKnown(Relay_, *Info);
    SharedWorkers_.insert(Info->Worker);
  }
  for (const Json::Value &Each : Params["removed"])
    if (Each.isString()) {
      removeWorker(Directory_, WorkerId(Each.asString()));
      SharedWorkers_.erase(WorkerId(Each.asString()));
      noteUnknown(Relay_, WorkerId(Each.asString()));
    }
  confirmWorkers(Directory_, SharedWorkers_, Now);
  if (wire::isSet(Params, "all_workers"))
    AllSharedAt_ = Now;
  Answer(std::move(Result));
}

} // namespace geraniumbay::jobs
