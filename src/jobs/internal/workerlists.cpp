//===- workerlists.cpp - Worker lists for entries and control VMs ---------===//
//
// Entries get the workers of the data centres that they ask for, as the changes
// since their last request. The leader shares all workers with the other
// control VMs.
//
// After the loss of a leader, or when the workers are divided into pools,
// hundreds of entries request the list of thousands of workers at once. An
// entry whose list has the digest of the new leader's gets no list, only the
// confirmation.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobservice.h"
#include "jobs/internal/jobwire.h"

namespace geraniumbay::jobs {

namespace {

/// How often the leader shares its workers with the followers, so that a new
/// leader knows them before they announce themselves again.
constexpr Duration ShareInterval = std::chrono::seconds(1);
constexpr Duration ShareTimeout = std::chrono::seconds(1);
/// Workers in one message: about 40 KB, which a VM with half a core writes and
/// reads within a few milliseconds.
constexpr std::size_t MaxWorkersPerShare = 200;

/// Largest list that is sent in a sync reply; longer ones are fetched
/// separately, with more time allowed.
constexpr std::size_t MaxWorkersInSync = 50;
/// Workers announce themselves every 1.5 s. Within this time each has done so,
/// even if the first control VM that it tried did not answer.
constexpr Duration AnnouncementRoundTime = std::chrono::seconds(3);

/// An entry's request for workers.
struct WorkerListRequest {
  /// The data centres whose workers are requested; empty stands for all.
  std::set<DataCentreId> DataCentres;
  /// A digest of the workers that the entry has.
  std::optional<std::uint64_t> Digest;

  bool wants(const WorkerInfo &Info) const {
    return DataCentres.empty() || DataCentres.count(Info.DataCentre) != 0;
  }
};

WorkerListRequest readWorkerListRequest(const Json::Value &Params) {
  WorkerListRequest Result;
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
         (Term_ && Deps_.Clock.now() - LeadsSince_ >= AnnouncementRoundTime);
}

void JobService::addWorkerChanges(const Json::Value &Params, bool IncludeLarge,
                                  Json::Value &Response) {
  auto Term =
      attempt([&] { return json::readUintOr(Params, "workers_of", 0); });
  auto Change =
      attempt([&] { return json::readUintOr(Params, "workers_change", 0); });
  bool SameTerm = Term && Change && *Term == Term_->value();
  if (needsDivision())
    return;
  bool Current = SameTerm && *Change == Directory_.Changes;
  if (Current && knowsAllWorkers())
    Response["all_workers"] = true;
  if (Current)
    return;
  WorkerListRequest Request = readWorkerListRequest(Params);
  DirectoryChanges Changes = changesSince(Directory_, SameTerm ? *Change : 0);
  std::erase_if(Changes.Changed, [&](const KnownWorker *Each) {
    return !Request.wants(Each->Info);
  });
  bool Unchanged = Changes.IsFullList && Request.Digest &&
                   digestOfAll(Changes.Changed) == Request.Digest;
  if (Unchanged)
    Changes.Changed.clear();
  if (!IncludeLarge && Changes.Changed.size() > MaxWorkersInSync) {
    Response["many_workers"] = true;
    return;
  }
  Response["workers_of"] = Json::UInt64(Term_->value());
  Response["workers_change"] = Json::UInt64(Changes.LastChange);
  if (Changes.IsFullList && !Unchanged && knowsAllWorkers())
    Response["no_others"] = true;
  Response["workers"] = Json::Value(Json::arrayValue);
  for (const KnownWorker *Each : Changes.Changed)
    Response["workers"].append(write(Each->Info));
  for (const WorkerId &Each : Changes.Removed)
    Response["removed"].append(Each.value());
}

bool JobService::addSharedWorkers(const Json::Value &Params,
                                  Json::Value &Response) const {
  bool HasSome = wire::numberOf(Params, "workers_of") == SharedTerm_ &&
                 wire::numberOf(Params, "workers_change") != 0;
  if (SharedTerm_ == 0 || wire::numberOf(Params, "lists_of") != SharedTerm_ ||
      HasSome)
    return false;
  Response["workers_of"] = Json::UInt64(SharedTerm_);
  Response["workers_change"] = Json::UInt64(SharedLastChange_);
  Response["workers"] = Json::Value(Json::arrayValue);
  WorkerListRequest Request = readWorkerListRequest(Params);
  std::vector<const KnownWorker *> Listed;
  for (const WorkerId &Id : SharedWorkers_)
    if (auto Found = Directory_.Workers.find(Id);
        Found != Directory_.Workers.end() && Request.wants(Found->second.Info))
      Listed.push_back(&Found->second);
  if (Request.Digest && digestOfAll(Listed) == Request.Digest)
    return true;
  for (const KnownWorker *Each : Listed)
    Response["workers"].append(write(Each->Info));
  return true;
}

void JobService::workers(const Json::Value &Params, const Reply &Answer) {
  Json::Value Result(Json::objectValue);
  if (!serves()) {
    Result = redirection();
    addEvacuations(Params, Result);
    addSharedWorkers(Params, Result);
    return Answer(std::move(Result));
  }
  // Sent together, so that an entry never has workers without knowing which of
  // them are evacuated.
  addEvacuations(Params, Result);
  addWorkerChanges(Params, true, Result);
  Answer(std::move(Result));
}

void JobService::shareWorkers() {
  if (Term_) {
    auto Own = Deps_.Log.leaderAddress();
    for (const Endpoint &Member : Deps_.Log.memberAddresses())
      if (Member != Own && !Shared_[Member].InFlight)
        shareWith(Member);
  }
  Deps_.Timers.after(ShareInterval, [this] { shareWorkers(); });
}

void JobService::shareWith(const Endpoint &Member) {
  ShareState &State = Shared_[Member];
  if (State.LastChange == 0)
    State.ListStart = Directory_.Changes;
  DirectoryChanges Changes = changesSince(
      Directory_, {State.LastChange, MaxWorkersPerShare, State.ListStart});
  Json::Value Params(Json::objectValue);
  Params["workers_of"] = Json::UInt64(Term_->value());
  if (auto Own = Deps_.Log.leaderAddress())
    Params["leader"] = Own->text();
  Params["since"] = Json::UInt64(Changes.IsFullList ? 0 : State.LastChange);
  Params["workers_change"] = Json::UInt64(Changes.LastChange);
  if (knowsAllWorkers() && Changes.LastChange == Directory_.Changes)
    Params["all_workers"] = true;
  for (const KnownWorker *Each : Changes.Changed)
    Params["workers"].append(write(Each->Info));
  for (const WorkerId &Each : Changes.Removed)
    Params["removed"].append(Each.value());
  State.InFlight = true;
  Deps_.Client.call(
      Member, wire::method::Share, std::move(Params), ShareTimeout,
      [this, Member, Term = Term_,
       LastChange = Changes.LastChange](const Outcome<Json::Value> &Result) {
        if (Term_ != Term)
          return;
        ShareState &MemberState = Shared_[Member];
        MemberState.InFlight = false;
        if (Result)
          MemberState.AnsweredAt = Deps_.Clock.now();
        // A follower that is behind is sent the whole list. Without an answer
        // the same changes are sent again, which is harmless.
        if (Result && wire::isSet(*Result, "behind"))
          MemberState.LastChange = 0;
        else if (Result)
          MemberState.LastChange = LastChange;
        if (Result && MemberState.LastChange != 0 &&
            MemberState.LastChange < Directory_.Changes)
          shareWith(Member);
      });
}

void JobService::applySharedWorkers(const Json::Value &Params,
                                    const Reply &Answer) {
  auto Workers = attempt([&] { return json::readArray(Params, "workers"); });
  if (!Workers)
    return Answer(Workers.error());
  std::uint64_t Term = wire::numberOf(Params, "workers_of");
  std::uint64_t Since = wire::numberOf(Params, "since");
  Json::Value Result(Json::objectValue);
  // A message whose answer was lost is sent again, so it may overlap with what
  // was applied.
  bool Follows = Term == SharedTerm_ && Since <= SharedLastChange_;
  if (Since != 0 && !Follows) {
    Result["behind"] = true;
    return Answer(std::move(Result));
  }
  if (Since != 0 &&
      wire::numberOf(Params, "workers_change") < SharedLastChange_)
    return Answer(std::move(Result));
  followLeader(Relay_, Deps_.Log.leaderAddress());
  // A former leader may share workers that the present one does not know.
  bool FromLeader = Relay_.Leader && Params["leader"] == Relay_.Leader->text();
  if (Since == 0) {
    SharedWorkers_.clear();
    Relay_.LeaderDigests.clear();
  }
  SharedTerm_ = Term;
  SharedLastChange_ = wire::numberOf(Params, "workers_change");
  Time Now = Deps_.Clock.now();
  for (const Json::Value &Each : *Workers) {
    auto Info = attempt([&] { return readWorker(Each); });
    if (!Info)
      continue;
    announce(Directory_, *Info, Now);
    if (FromLeader)
      markKnown(Relay_, *Info);
    SharedWorkers_.insert(Info->Worker);
  }
  for (const Json::Value &Each : Params["removed"])
    if (Each.isString()) {
      removeWorker(Directory_, WorkerId(Each.asString()));
      SharedWorkers_.erase(WorkerId(Each.asString()));
      markUnknown(Relay_, WorkerId(Each.asString()));
    }
  confirmWorkers(Directory_, SharedWorkers_, Now);
  if (wire::isSet(Params, "all_workers"))
    AllSharedAt_ = Now;
  Answer(std::move(Result));
}

} // namespace geraniumbay::jobs
