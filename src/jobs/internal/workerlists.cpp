//===- workerlists.cpp - Which workers a control VM tells of --------------===//
//
// Entries hear of the workers of the data centres that they ask for, as what
// has changed since they were told last. Control VMs tell each other of all.
//
// The pattern: after the loss of a leader, or when the workers are divided,
// hundreds of entries want the list of thousands of workers at once. Who has
// the same list as a new leader is told just that.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobservice.h"
#include "jobs/internal/jobwire.h"

namespace geraniumbay::jobs {

namespace {

/// How often the leader tells the others which workers there are: a new leader
/// then knows them before they announce themselves again.
constexpr Duration ShareInterval = std::chrono::seconds(1);
constexpr Duration ShareTimeout = std::chrono::seconds(1);
/// In one message: some 40 KB, which a VM with half a core writes and reads
/// within a few milliseconds.
constexpr std::size_t MostWorkersShared = 200;

/// What comes with the answer to an entry's frequent question; longer lists are
/// fetched, without haste.
constexpr std::size_t MaxWorkersInSync = 50;
/// Workers announce themselves every second and a half. By then each has done
/// so, also one whose first control VM was silent.
constexpr Duration AllAnnounced = std::chrono::seconds(3);

/// What an entry wants to hear of workers.
struct ListWanted {
  /// The data centres whose workers it asks for; none stands for all.
  std::set<DataCentreId> DataCentres;
  /// A digest of the workers that it knows.
  std::optional<std::uint64_t> Digest;

  bool wants(const WorkerInfo &Info) const {
    return DataCentres.empty() || DataCentres.count(Info.DataCentre) != 0;
  }
};

ListWanted readWanted(const Json::Value &Params) {
  ListWanted Result;
  if (Params["workers_in"].isArray())
    for (const Json::Value &Each : Params["workers_in"])
      if (Each.isString())
        Result.DataCentres.insert(DataCentreId(Each.asString()));
  if (Params["workers_digest"].isUInt64())
    Result.Digest = Params["workers_digest"].asUInt64();
  return Result;
}

std::uint64_t digestOfAll(const std::vector<const KnownWorker *> &Workers) {
  std::uint64_t Result = 0;
  for (const KnownWorker *Each : Workers)
    Result ^= digestOf(Each->Info);
  return Result;
}

} // namespace

bool JobService::knowsAllWorkers() const {
  return InheritsAllWorkers_ ||
         (Term_ && Needs_.Clock.now() - LeadsSince_ >= AllAnnounced);
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
  ListWanted Asked = readWanted(Params);
  DirectoryChanges News = changesSince(Directory_, SameTerm ? *Change : 0);
  std::erase_if(News.Changed, [&](const KnownWorker *Each) {
    return !Asked.wants(Each->Info);
  });
  bool Same =
      News.Whole && Asked.Digest && digestOfAll(News.Changed) == Asked.Digest;
  if (Same)
    News.Changed.clear();
  if (!Any && News.Changed.size() > MaxWorkersInSync) {
    Into["many_workers"] = true;
    return;
  }
  Into["workers_of"] = Json::UInt64(Term_->value());
  Into["workers_change"] = Json::UInt64(News.Upto);
  if (News.Whole && !Same && knowsAllWorkers())
    Into["no_others"] = true;
  Into["workers"] = Json::Value(Json::arrayValue);
  for (const KnownWorker *Each : News.Changed)
    Into["workers"].append(write(Each->Info));
  for (const WorkerId &Each : News.Removed)
    Into["removed"].append(Each.value());
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
  ListWanted Asked = readWanted(Params);
  std::vector<const KnownWorker *> Listed;
  for (const WorkerId &Id : SharedWorkers_)
    if (auto Found = Directory_.Workers.find(Id);
        Found != Directory_.Workers.end() && Asked.wants(Found->second.Info))
      Listed.push_back(&Found->second);
  if (Asked.Digest && digestOfAll(Listed) == Asked.Digest)
    return true;
  for (const KnownWorker *Each : Listed)
    Into["workers"].append(write(Each->Info));
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
