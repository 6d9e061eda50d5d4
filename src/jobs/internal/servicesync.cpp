//===- servicesync.cpp - What a control VM tells entries ------------------===//
//
// The answer to the question that each entry asks again and again: the leader,
// the configuration, the entries and the owners of pools, each as what has
// changed since the entry was told last. Workers are told in workerlists.cpp.
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
/// An entry that has not asked for so long is gone.
constexpr Duration EntrySilence = std::chrono::seconds(60);
/// A new leader names the entries once all have had the time to ask: by a part
/// of the list several of them would take themselves for the first.
constexpr Duration EntriesDelay = std::chrono::milliseconds(300);
/// Where one that is known does not ask, it is waited for no longer than this:
/// the longest pause between two questions of an entry, and some time to find
/// the leader.
constexpr Duration LongestEntriesDelay = std::chrono::seconds(1);
/// An owner of a pool says so with every question, several times a second.
constexpr Duration OwnerWordLasts = std::chrono::seconds(2);
/// What comes with the answer to an entry's frequent question. Larger things
/// are fetched once, without haste: a leader with half a core cannot send a
/// document of a thousand queues to forty entries within the 400 ms after which
/// they ask again, and would be asked again for ever.
constexpr std::size_t MaxDocumentInSync = std::size_t{16} << 10U;
/// Pools whose load alone has changed. In a large group nearly all loads change
/// between two questions; entries weigh a few pools at a time.
constexpr std::size_t MostLoadsInSync = 16;

/// Workers announce themselves within two seconds of their start; when none has
/// come for so long, all have.
constexpr Duration WorkersSettle = std::chrono::milliseconds(800);
/// Where workers come and go all the time nothing is waited for any longer.
constexpr Duration LongestSettling = std::chrono::seconds(3);

RackGroups groupAllRacks(const WorkerDirectory &Directory) {
  std::map<DataCentreId, std::map<std::string, std::size_t>> Racks;
  for (const auto &[Id, Known] : Directory.Workers)
    ++Racks[Known.Info.DataCentre][Known.Info.Rack];
  RackGroups Result;
  for (const auto &[DataCentre, Sizes] : Racks)
    Result[DataCentre] =
        scheduling::groupRacks(Sizes, scheduling::TargetWorkersPerPool);
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
  if (At && Where) {
    EntryWord &Known = Entries_[{*At, DataCentreId(*Where)}];
    Known.Heard = Now;
    if (Known.ChangedAt == 0)
      Known.ChangedAt = ++EntriesChange_;
  }
  if (At && Where)
    takeEvacuationWord(Params, {*At, DataCentreId(*Where)});
  std::size_t Gone = std::erase_if(Entries_, [&](const auto &Entry) {
    return Now - Entry.second.Heard >= EntrySilence;
  });
  if (Gone != 0)
    EntryGoneAt_ = ++EntriesChange_;
  if (Gone != 0)
    std::erase_if(EvacuationWords_, [&](const auto &Word) {
      return std::none_of(
          Entries_.begin(), Entries_.end(),
          [&](const auto &Entry) { return Entry.first.At == Word.first; });
    });
  if (haveEntriesAsked(Params))
    tellEntries(Params, Into);
  Into["by_rack"] = Needs_.Store.Plan == PoolPlan::ByRack;
  if (!wire::isSet(Params, "by_rack") && !Needs_.Store.Groups.empty())
    Into["rack_groups"] = wire::write(Needs_.Store.Groups);
  Into["ask_after_us"] =
      Json::Int64(scheduling::pollInterval(Entries_.size()).count());
  tellOwners(Params, Into);
  tellWorkers(Params, false, Into);
}

bool JobService::isOfThisTerm(const Json::Value &Params) const {
  return Term_ && wire::numberOf(Params, "lists_of") == Term_->value();
}

bool JobService::haveEntriesAsked(const Json::Value &Params) const {
  Duration Led = Needs_.Clock.now() - LeadsSince_;
  bool AllKnown = Entries_.size() >= wire::numberOf(Params, "entries_known");
  return Led >= LongestEntriesDelay || (Led >= EntriesDelay && AllKnown);
}

void JobService::tellEntries(const Json::Value &Params, Json::Value &Into) {
  Into["lists_of"] = Json::UInt64(Term_->value());
  Into["entries_change"] = Json::UInt64(EntriesChange_);
  std::uint64_t Since =
      isOfThisTerm(Params) ? wire::numberOf(Params, "entries_change") : 0;
  if (Since == EntriesChange_)
    return;
  if (Since == 0 || Since < EntryGoneAt_)
    return tellAllEntries(Params, Into);
  std::vector<EntryPlace> New;
  for (const auto &[Place, Known] : Entries_)
    if (Known.ChangedAt > Since)
      New.push_back(Place);
  Into["entries_new"] = write(New);
}

void JobService::tellAllEntries(const Json::Value &Params, Json::Value &Into) {
  if (AllEntries_.Change != EntriesChange_) {
    std::vector<EntryPlace> All;
    AllEntries_ = {EntriesChange_, 0, {}};
    for (const auto &[Place, Known] : Entries_) {
      AllEntries_.Digest ^= digestOf(Place);
      All.push_back(Place);
    }
    AllEntries_.Written = write(All);
  }
  if (wire::numberOf(Params, "entries_digest") == AllEntries_.Digest)
    Into["entries_same"] = true;
  else
    Into["entries"] = AllEntries_.Written;
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

void JobService::tellDocument(bool Any, Json::Value &Into) const {
  const control::ConfigSnapshot &Config = Needs_.Log.configuration();
  if (!Any && Config.Document.size() > MaxDocumentInSync) {
    Into["large_document"] = Json::UInt64(Config.Version.value());
    return;
  }
  Into["configuration"] = Json::UInt64(Config.Version.value());
  Into["document"] = Config.Document;
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
  Changes.SplitByRack = true;
  Changes.Groups = groupAllRacks(Directory_);
  Needs_.Log.append(wire::writeChanges(Changes), [this](
                                                     const Outcome<Done> &Was) {
    Dividing_ = false;
    logEvent(LogLevel::Info, Module, "divides_by_racks",
             {{"workers", Directory_.Workers.size()},
              {"outcome", Was ? "recorded" : errorCodeName(Was.error().Code)}});
  });
}

} // namespace geraniumbay::jobs
