//===- servicesync.cpp - Sync replies to entries --------------------------===//
//
// The reply to each entry's periodic sync request: the leader, the
// configuration, the entries and the owners of pools, each as the changes since
// the entry's last request. Workers are added in workerlists.cpp.
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
/// An entry that has not contacted the leader for this long is removed.
constexpr Duration EntryTimeout = std::chrono::seconds(60);
/// A new leader lists the entries only once all have had the time to contact
/// it: given a partial list, several entries would each consider itself the
/// first.
constexpr Duration EntriesDelay = std::chrono::milliseconds(300);
/// Limit on that wait if a known entry does not ask: the longest interval
/// between two sync requests of an entry, plus some time to find the leader.
constexpr Duration MaxEntriesDelay = std::chrono::seconds(1);
/// The owner of a pool reports its ownership with every sync request, several
/// times a second. Without a report for this long the claim is dropped.
constexpr Duration OwnerReportValidity = std::chrono::seconds(2);
/// Largest document, in bytes, that is sent in a sync reply. Larger ones are
/// fetched separately, with more time allowed: a leader with half a core cannot
/// send a document of a thousand queues to forty entries within the 400 ms
/// after which they retry, and would be asked again for ever.
constexpr std::size_t MaxDocumentInSync = std::size_t{16} << 10U;
/// Limit on the pools in one sync reply of which only the load has changed. In
/// a large group nearly all loads change between two requests, and an entry
/// compares only a few pools at a time.
constexpr std::size_t MaxLoadsInSync = 16;

/// Workers announce themselves within two seconds of their start; once no
/// worker has been added for this long, all are taken to be there.
constexpr Duration WorkersSettleTime = std::chrono::milliseconds(800);
/// Limit on that wait where workers keep coming and going.
constexpr Duration MaxSettleTime = std::chrono::seconds(3);

RackGroups groupRacksByDataCentre(const WorkerDirectory &Directory,
                                  std::size_t WorkersPerPool) {
  std::map<DataCentreId, std::map<std::string, std::size_t>> Racks;
  for (const auto &[Id, Known] : Directory.Workers)
    ++Racks[Known.Info.DataCentre][Known.Info.Rack];
  RackGroups Result;
  for (const auto &[DataCentre, Sizes] : Racks)
    Result[DataCentre] = scheduling::groupRacks(Sizes, WorkersPerPool);
  return Result;
}

} // namespace

void JobService::sync(const Json::Value &Params, const Reply &Answer) {
  Json::Value Result = redirection();
  Result["ready"] = serves() && !Stopping_;
  Result["schedules"] = Scheduler_ != nullptr;
  for (const Endpoint &Member : Deps_.Log.memberAddresses())
    Result["members"].append(Member.text());
  auto KnownVersion =
      attempt([&] { return json::readUintOr(Params, "configuration", 0); });
  if (KnownVersion &&
      ConfigVersion(*KnownVersion) < Deps_.Log.configuration().Version)
    addDocument(false, Result);
  addEvacuations(Params, Result);
  if (serves())
    addEntryUpdate(Params, Result);
  Answer(std::move(Result));
}

void JobService::addEntryUpdate(const Json::Value &Params,
                                Json::Value &Response) {
  Time Now = Deps_.Clock.now();
  auto Address = attempt([&] { return wire::readEndpoint(Params, "entry"); });
  auto DataCentre =
      attempt([&] { return json::readString(Params, "data_centre"); });
  if (Address && DataCentre) {
    EntryContact &Contact = Entries_[{*Address, DataCentreId(*DataCentre)}];
    Contact.LastHeardAt = Now;
    bool New = Contact.ChangeNumber == 0;
    if (New)
      Contact.ChangeNumber = ++EntriesChange_;
    noteCapacity(Contact, New, Params);
  }
  if (Address && DataCentre)
    recordEvacuationReport(Params, {*Address, DataCentreId(*DataCentre)});
  std::size_t RemovedEntries = std::erase_if(Entries_, [&](const auto &Entry) {
    return Now - Entry.second.LastHeardAt >= EntryTimeout;
  });
  if (RemovedEntries != 0)
    LastEntryRemoval_ = ++EntriesChange_;
  if (RemovedEntries != 0)
    std::erase_if(EvacuationReports_, [&](const auto &Report) {
      return std::none_of(
          Entries_.begin(), Entries_.end(),
          [&](const auto &Entry) { return Entry.first.At == Report.first; });
    });
  removeGoneWorkers(Params);
  if (haveEntriesAsked(Params))
    addEntryChanges(Params, Response);
  Response["by_rack"] = Deps_.Store.Plan == PoolPlan::ByRack;
  if (!wire::isSet(Params, "by_rack") && !Deps_.Store.Groups.empty())
    Response["rack_groups"] = wire::write(Deps_.Store.Groups);
  Response["ask_after_us"] =
      Json::Int64(scheduling::pollInterval(Entries_.size()).count());
  addOwnerChanges(Params, Response);
  addWorkerChanges(Params, false, Response);
}

void JobService::removeGoneWorkers(const Json::Value &Params) {
  const Json::Value &Gone = Params["gone"];
  if (!Gone.isObject())
    return;
  for (const std::string &Worker : Gone.getMemberNames())
    if (Gone[Worker].isInt64())
      removeIncarnation(
          Directory_, {WorkerId(Worker), WorkerStart(Gone[Worker].asInt64())});
}

std::vector<scheduling::VmCapacity> JobService::entryCapacities() const {
  std::vector<scheduling::VmCapacity> Result;
  Result.reserve(Entries_.size());
  for (const auto &[Place, Each] : Entries_)
    Result.push_back(Each.Capacity);
  return Result;
}

void JobService::noteCapacity(EntryContact &Contact, bool New,
                              const Json::Value &Params) {
  auto Read = [&](const char *Name) {
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(wire::numberOf(Params, Name), UINT32_MAX));
  };
  scheduling::VmCapacity Capacity{Read("cpu_millis"), Read("link_kbits")};
  if (!New && Contact.Capacity == Capacity)
    return;
  Contact.Capacity = Capacity;
  bool Alike = scheduling::areAlike(entryCapacities());
  // Entries that follow the changes need the capacities of all others from the
  // first that differs on.
  if (Alike != EntriesAlike_ || (!New && !Alike))
    LastEntryRemoval_ = ++EntriesChange_;
  EntriesAlike_ = Alike;
}

bool JobService::knowsCurrentTerm(const Json::Value &Params) const {
  return Term_ && wire::numberOf(Params, "lists_of") == Term_->value();
}

bool JobService::haveEntriesAsked(const Json::Value &Params) const {
  Duration LeadingFor = Deps_.Clock.now() - LeadsSince_;
  bool AllKnown = Entries_.size() >= wire::numberOf(Params, "entries_known");
  return LeadingFor >= MaxEntriesDelay ||
         (LeadingFor >= EntriesDelay && AllKnown);
}

void JobService::addEntryChanges(const Json::Value &Params,
                                 Json::Value &Response) {
  Response["lists_of"] = Json::UInt64(Term_->value());
  Response["entries_change"] = Json::UInt64(EntriesChange_);
  std::uint64_t Since =
      knowsCurrentTerm(Params) ? wire::numberOf(Params, "entries_change") : 0;
  if (Since == EntriesChange_)
    return;
  if (Since == 0 || Since < LastEntryRemoval_)
    return addAllEntries(Params, Response);
  std::vector<ListedEntry> New;
  for (const auto &[Place, Contact] : Entries_)
    if (Contact.ChangeNumber > Since)
      New.push_back(listed(Place, Contact));
  Response["entries_new"] = write(New);
  if (!EntriesAlike_)
    Response["entry_capacity"] = writeCapacities(New);
}

ListedEntry JobService::listed(const EntryPlace &Place,
                               const EntryContact &Contact) const {
  return {Place, EntriesAlike_ ? scheduling::VmCapacity() : Contact.Capacity};
}

void JobService::addAllEntries(const Json::Value &Params,
                               Json::Value &Response) {
  if (AllEntries_.Change != EntriesChange_) {
    std::vector<ListedEntry> All;
    All.reserve(Entries_.size());
    AllEntries_ = {EntriesChange_, 0, {}, {}};
    for (const auto &[Place, Contact] : Entries_) {
      All.push_back(listed(Place, Contact));
      AllEntries_.Digest ^= digestOf(All.back());
    }
    AllEntries_.Serialized = write(All);
    AllEntries_.Capacities = writeCapacities(All);
  }
  if (wire::numberOf(Params, "entries_digest") == AllEntries_.Digest) {
    Response["entries_same"] = true;
    return;
  }
  Response["entries"] = AllEntries_.Serialized;
  if (!AllEntries_.Capacities.isNull())
    Response["entry_capacity"] = AllEntries_.Capacities;
}

void JobService::recordOwnerReport(const PoolName &Name,
                                   const Json::Value &Claim, Time Now) {
  OwnerReport &Report = Owners_[Name];
  Report.LastHeardAt = Now;
  if (Report.ChangeNumber != 0 && Report.Claim == Claim)
    return;
  updateOwnerReport(Report, Claim);
}

void JobService::updateOwnerReport(OwnerReport &Report,
                                   const Json::Value &Claim) {
  bool OwnerChanged = Report.ChangeNumber == 0 || Report.Claim.isNull() ||
                      Claim.isNull() ||
                      Report.Claim["owner"] != Claim["owner"] ||
                      Report.Claim["token"] != Claim["token"];
  Report.Claim = Claim;
  Report.ChangeNumber = ++OwnersChange_;
  if (OwnerChanged)
    Report.OwnerChangeNumber = OwnersChange_;
}

void JobService::addOwnerChanges(const Json::Value &Params,
                                 Json::Value &Response) {
  Time Now = Deps_.Clock.now();
  const Json::Value &Owned = Params["owned"];
  if (Owned.isObject())
    for (const std::string &Name : Owned.getMemberNames())
      recordOwnerReport(PoolName(Name), Owned[Name], Now);
  for (auto &[Name, Report] : Owners_)
    if (!Report.Claim.isNull() &&
        Now - Report.LastHeardAt >= OwnerReportValidity)
      updateOwnerReport(Report, Json::Value());
  Response["lists_of"] = Json::UInt64(Term_->value());
  Response["owners_change"] = Json::UInt64(OwnersChange_);
  bool SameTerm = knowsCurrentTerm(Params);
  std::uint64_t Since = SameTerm ? wire::numberOf(Params, "owners_change") : 0;
  for (const auto &[Name, Report] : Owners_)
    if (Report.OwnerChangeNumber > Since)
      Response["owners"][Name.value()] = Report.Claim;
  addLoadChanges(Params, SameTerm, Response);
}

void JobService::addLoadChanges(const Json::Value &Params, bool SameTerm,
                                Json::Value &Response) const {
  std::uint64_t Since = SameTerm ? wire::numberOf(Params, "loads_change") : 0;
  PoolName After;
  if (SameTerm && Params["loads_after"].isString())
    After = PoolName(Params["loads_after"].asString());
  std::size_t Count = 0;
  for (auto It = Owners_.upper_bound(After); It != Owners_.end(); ++It) {
    const auto &[Name, Report] = *It;
    if (Report.ChangeNumber <= Since ||
        Response["owners"].isMember(Name.value()))
      continue;
    Response["owners"][Name.value()] = Report.Claim;
    if (++Count < MaxLoadsInSync)
      continue;
    // The remaining pools follow in the next replies.
    Response["loads_after"] = Name.value();
    return;
  }
}

void JobService::document(const Json::Value & /*Params*/, const Reply &Answer) {
  Json::Value Result(Json::objectValue);
  addDocument(true, Result);
  Answer(std::move(Result));
}

void JobService::addDocument(bool IncludeLarge, Json::Value &Response) const {
  const control::ConfigSnapshot &Config = Deps_.Log.configuration();
  if (!IncludeLarge && Config.Document.size() > MaxDocumentInSync) {
    Response["large_document"] = Json::UInt64(Config.Version.value());
    return;
  }
  Response["configuration"] = Json::UInt64(Config.Version.value());
  Response["document"] = Config.Document;
}

bool JobService::needsDivision() const {
  return Deps_.Store.Plan == PoolPlan::One &&
         Directory_.Workers.size() > MaxWorkersOfOnePool;
}

void JobService::divideIfLarge() {
  if (!serves() || Dividing_ || !needsDivision())
    return;
  // Racks are grouped by their sizes, so all workers should be known.
  Time Now = Deps_.Clock.now();
  if (WorkersCounted_ != Directory_.Workers.size()) {
    WorkersCounted_ = Directory_.Workers.size();
    WorkersCountedAt_ = Now;
  }
  if (!TooManySince_)
    TooManySince_ = Now;
  bool Settled = Now - WorkersCountedAt_ >= WorkersSettleTime;
  if (!Settled && Now - *TooManySince_ < MaxSettleTime)
    return;
  Dividing_ = true;
  JobChanges Changes;
  Changes.SplitByRack = true;
  std::size_t PerPool = scheduling::workersPerPool(entryCapacities());
  Changes.Groups = groupRacksByDataCentre(Directory_, PerPool);
  Deps_.Log.append(
      wire::writeChanges(Changes),
      [this, PerPool](const Outcome<Done> &Committed) {
        Dividing_ = false;
        logEvent(
            LogLevel::Info, Module, "divides_by_racks",
            {{"workers", Directory_.Workers.size()},
             {"per_pool", PerPool},
             {"outcome",
              Committed ? "recorded" : errorCodeName(Committed.error().Code)}});
      });
}

} // namespace geraniumbay::jobs
