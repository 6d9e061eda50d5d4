//===- replica.cpp - One copy of the ledger -------------------------------===//
//
// Recovery, views, appending and copying.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/replica.h"
#include "framework/log/log.h"

#include <cassert>

namespace geraniumbay::ledger {

namespace {

AgeMillis toMillis(Duration Length) {
  return static_cast<AgeMillis>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Length).count());
}

} // namespace

Replica::Replica(const LedgerConfig &Config, const IClock &Clock,
                 IStorage &Storage, Random &Numbers, Journal::Synced OnSynced)
    : Config_(Config), Clock_(Clock), Numbers_(Numbers),
      Journal_(Storage, Config.SegmentSize, std::move(OnSynced)),
      AgeFrom_(Clock.now()) {}

Ret Replica::open() {
  auto Found = attempt([&] { return Journal_.open(Config_.DataCentre); });
  if (!Found && Found.error().Code == ErrorCode::Io)
    return fail(Found.error());
  if (!Found) {
    bool Empty = Found.error().Code == ErrorCode::NotFound;
    logEvent(Empty ? LogLevel::Info : LogLevel::Error, "ledger",
             Empty ? "disk_formatted" : "disk_lost",
             {{"reason", Found.error().Message}});
    return formatDisk();
  }
  Meta_ = {{Config_.Vm, Found->Known.Disk},
           Found->Known.Run + 1,
           Found->Known.View,
           Found->Known.Joining};
  BOOST_LEAF_CHECK(saveMeta(Meta_));
  Claims_ = std::move(Found->Claims);
  Past_ = std::move(Found->Past);
  AgeBase_ = Found->Age;
  AgeFrom_ = Clock_.now();
  Failed_ = false;
  if (role() == Role::Primary)
    return beginEpoch();
  return {};
}

Ret Replica::repair() {
  std::vector<Record> Entries;
  Entries.reserve(Claims_.Entries.size());
  for (const auto &[Submission, Known] : Claims_.Entries)
    Entries.push_back(restate(Submission, Known));
  return Journal_.rewrite(metaOf(Meta_), Entries, headState());
}

Ret Replica::formatDisk() {
  Meta_ = {{Config_.Vm, DiskId(Numbers_.bits() >> 1U)}, 1, {}, {}};
  Claims_ = Book{};
  Claims_.Home = Config_.DataCentre;
  restart(Past_, Position{});
  BOOST_LEAF_CHECK(Journal_.format(metaOf(Meta_), headState()));
  Failed_ = false;
  return {};
}

RetVal<bool> Replica::applyView(const LedgerView &Next) {
  if (failed())
    return fail(ErrorCode::Io, "the ledger's disk has failed");
  if (Meta_.View && Next.Number < Meta_.View->Number)
    return false;
  ConfirmedAt_ = Clock_.now();
  if (Meta_.View && Next == *Meta_.View) {
    // A full disk may have kept the epoch from beginning.
    if (role() == Role::Primary)
      BOOST_LEAF_CHECK(beginEpoch());
    return false;
  }
  bool Newer = !Meta_.View || Meta_.View->Number < Next.Number;
  Identity Changed = Meta_;
  Changed.View = Next;
  // The same view with other endpoints leaves a proposed member proposed.
  if (Newer)
    Changed.Joining.reset();
  BOOST_LEAF_CHECK(saveMeta(Changed));
  if (Newer && role() == Role::Primary)
    BOOST_LEAF_CHECK(beginEpoch());
  return Newer;
}

Ret Replica::setJoining(const LedgerMember &Member) {
  Identity Changed = Meta_;
  Changed.Joining = Member;
  return saveMeta(Changed);
}

RetVal<std::uint64_t> Replica::appendOwn(Record Next) {
  assert(role() == Role::Primary && "only the primary writes records");
  Next.At = {Past_.Last.Index + 1, Meta_.View->Number, Meta_.Run};
  Next.Age = age();
  BOOST_LEAF_CHECK(Journal_.append({Next}, headState()));
  apply(Claims_, Next);
  extend(Past_, Next);
  return Next.At.Index;
}

Ret Replica::appendCopied(const std::vector<Record> &Records) {
  std::uint64_t Expected = Past_.Last.Index;
  for (const Record &Next : Records)
    if (Next.Kind == RecordKind::Entry || Next.Kind == RecordKind::Head ||
        Next.At.Index != ++Expected)
      return fail(ErrorCode::InvalidArgument, "records are out of place");
  if (Records.empty())
    return {};
  BOOST_LEAF_CHECK(Journal_.append(Records, headState()));
  for (const Record &Next : Records) {
    apply(Claims_, Next);
    extend(Past_, Next);
    raiseAge(Next.Age);
  }
  return {};
}

Ret Replica::beginCopy(const Record &Head) {
  CopyHead_ = Head;
  Copy_ = Book{};
  Copy_.Home = Config_.DataCentre;
  apply(Copy_, Head);
  return Journal_.beginCopy(
      {Head.At, Head.Age, Head.NewEpoch, Head.RefuseUntil});
}

Ret Replica::addToCopy(const std::vector<Record> &Entries) {
  BOOST_LEAF_CHECK(
      Journal_.addToCopy(Entries, {CopyHead_.At, CopyHead_.Age,
                                   CopyHead_.NewEpoch, CopyHead_.RefuseUntil}));
  for (const Record &Next : Entries)
    apply(Copy_, Next);
  return {};
}

Ret Replica::finishCopy() {
  BOOST_LEAF_CHECK(Journal_.finishCopy(metaOf(Meta_)));
  Claims_ = std::move(Copy_);
  restart(Past_, CopyHead_.At);
  raiseAge(CopyHead_.Age);
  return {};
}

void Replica::prune() {
  AgeMillis Kept = toMillis(Config_.Retention);
  AgeMillis Now = age();
  if (failed() || Now <= Kept)
    return;
  expire(Claims_, Now - Kept);
  auto Result = attempt(
      [&] { return Journal_.compact(Claims_, Now - Kept, headState()); });
  if (!Result)
    logEvent(LogLevel::Warning, "ledger", "compaction_failed",
             {{"reason", Result.error().Message}});
}

Role Replica::role() const {
  if (!Meta_.View || !Meta_.View->hasMember(Meta_.Self))
    return Role::Outsider;
  return Meta_.View->Primary == Meta_.Self.Vm ? Role::Primary : Role::Member;
}

AgeMillis Replica::age() const {
  return AgeBase_ + toMillis(Clock_.now() - AgeFrom_);
}

bool Replica::takesOwnKeys() const {
  return ConfirmedAt_ && Clock_.now() - *ConfirmedAt_ < Config_.ControlSilence;
}

Record Replica::head() const {
  Record Result;
  Result.Kind = RecordKind::Head;
  Result.At = Past_.Last;
  Result.Age = age();
  Result.NewEpoch = Claims_.Current;
  Result.RefuseUntil = Claims_.KeysRefusedUntil;
  return Result;
}

Ret Replica::saveMeta(const Identity &Next) {
  BOOST_LEAF_CHECK(Journal_.saveMeta(metaOf(Next)));
  Meta_ = Next;
  return {};
}

Meta Replica::metaOf(const Identity &From) const {
  Meta Result;
  Result.Disk = From.Self.Disk;
  Result.Run = From.Run;
  Result.View = From.View;
  Result.Joining = From.Joining;
  return Result;
}

HeadState Replica::headState() const {
  return {Past_.Last, age(), Claims_.Current, Claims_.KeysRefusedUntil};
}

void Replica::raiseAge(AgeMillis To) {
  if (To <= age())
    return;
  AgeBase_ = To;
  AgeFrom_ = Clock_.now();
}

Ret Replica::beginEpoch() {
  if (Claims_.Current >= Meta_.View->LedgerEpoch)
    return {};
  Record Begin;
  Begin.Kind = RecordKind::Epoch;
  Begin.NewEpoch = Meta_.View->LedgerEpoch;
  // Nothing can have been lost before the first epoch. Otherwise the keys are
  // refused for the whole retention from now on, whatever the wall clock says.
  if (Begin.NewEpoch > Epoch(1)) {
    WallMillis Asked = Meta_.View->KeysRefusedUntil - Clock_.wallNow();
    AgeMillis Kept = toMillis(Config_.Retention);
    AgeMillis Wait = Asked < 0 ? 0 : static_cast<AgeMillis>(Asked);
    Begin.RefuseUntil = age() + std::clamp(Wait, Kept, 2 * Kept);
  }
  BOOST_LEAF_CHECK(appendOwn(Begin));
  return {};
}

} // namespace geraniumbay::ledger
