//===- journal.cpp - The ledger on disk -----------------------------------===//
//
// Appending, group commit, copies and compaction. Reading back stands in
// journalrecovery.cpp.
//
//===----------------------------------------------------------------------===//

#include "ledger/internal/journal.h"
#include "framework/json/json.h"
#include "framework/storage/recordlog.h"
#include "ledger/internal/journalfiles.h"
#include "ledger/internal/viewwire.h"

#include <algorithm>
#include <cassert>

namespace geraniumbay::ledger {

namespace {

Record headRecord(const HeadState &Head) {
  Record Result;
  Result.Kind = RecordKind::Head;
  Result.At = Head.Last;
  Result.Age = Head.Age;
  Result.NewEpoch = Head.Current;
  Result.RefuseUntil = Head.KeysRefusedUntil;
  return Result;
}

std::string encodeMeta(const Meta &Value) {
  Json::Value Out(Json::objectValue);
  Out["disk"] = Json::UInt64(Value.Disk.value());
  Out["generation"] = Json::UInt64(Value.Generation);
  Out["run"] = Json::UInt64(Value.Run);
  if (Value.View)
    Out["view"] = toJson(*Value.View);
  if (Value.Joining)
    Out["joining"] = toJson(*Value.Joining);
  return json::write(Out);
}

} // namespace

Journal::Journal(IStorage &Storage, std::uint64_t SegmentSize, Synced OnSynced)
    : Storage_(Storage), SegmentSize_(SegmentSize),
      OnSynced_(std::move(OnSynced)) {}

Journal::~Journal() { *Alive_ = false; }

Ret Journal::format(const Meta &Fresh, const HeadState &Head) {
  // The old meta goes last, so that a crash in between formats again.
  BOOST_LEAF_CHECK(removeSegmentsExcept(0));
  BOOST_LEAF_CHECK(Storage_.remove(MetaFile));
  Segments_.clear();
  Generation_ = Fresh.Generation;
  AppendedIndex_ = DurableIndex_ = Head.Last.Index;
  Durable_ = Appended_;
  BOOST_LEAF_CHECK(addSegment(Generation_, Segments_, Head));
  BOOST_LEAF_CHECK(Storage_.truncate(
      nameOf(Generation_, Segments_.back().Number), Segments_.back().Size));
  return saveMeta(Fresh);
}

Ret Journal::saveMeta(Meta Next) {
  Next.Generation = Generation_;
  std::string Bytes;
  BOOST_LEAF_CHECK(encodeRecord(encodeMeta(Next), Bytes));
  return Storage_.replace(MetaFile, Bytes);
}

Ret Journal::append(const std::vector<Record> &Records, const HeadState &Head) {
  if (Failed_)
    return fail(ErrorCode::Io, "the journal has failed");
  BOOST_LEAF_CHECK(roll(Generation_, Segments_, Head));
  BOOST_LEAF_CHECK(write(Generation_, Segments_.back(), Records));
  Appended_ += Records.size();
  for (const Record &Next : Records)
    if (Next.Kind != RecordKind::Entry)
      AppendedIndex_ = Next.At.Index;
  Stats_.Records += Records.size();
  startSync();
  return {};
}

Ret Journal::beginCopy(const HeadState &Head) {
  for (const Segment &Old : Copy_)
    BOOST_LEAF_CHECK(Storage_.remove(nameOf(Generation_ + 1, Old.Number)));
  Copy_.clear();
  CopyIndex_ = Head.Last.Index;
  return addSegment(Generation_ + 1, Copy_, Head);
}

Ret Journal::addToCopy(const std::vector<Record> &Entries,
                       const HeadState &Head) {
  assert(!Copy_.empty() && "a copy is under way");
  BOOST_LEAF_CHECK(roll(Generation_ + 1, Copy_, Head));
  return write(Generation_ + 1, Copy_.back(), Entries);
}

Ret Journal::finishCopy(const Meta &Known) {
  assert(!Copy_.empty() && "a copy is under way");
  BOOST_LEAF_CHECK(Storage_.truncate(
      nameOf(Generation_ + 1, Copy_.back().Number), Copy_.back().Size));
  ++Generation_;
  auto Saved = attempt([&] { return saveMeta(Known); });
  if (!Saved) {
    // Which content a restart finds is not known.
    stopFor(Saved.error());
    return fail(Saved.error());
  }
  Segments_ = std::move(Copy_);
  Copy_.clear();
  Obsolete_.clear();
  Durable_ = Appended_;
  AppendedIndex_ = DurableIndex_ = CopyIndex_;
  return removeSegmentsExcept(Generation_);
}

Ret Journal::rewrite(const Meta &Known, const std::vector<Record> &Entries,
                     const HeadState &Head) {
  // Bounds the memory that one write takes.
  constexpr std::size_t EntriesPerWrite = 1024;
  BOOST_LEAF_CHECK(beginCopy(Head));
  for (std::size_t First = 0; First < Entries.size();
       First += EntriesPerWrite) {
    std::size_t End = std::min(First + EntriesPerWrite, Entries.size());
    BOOST_LEAF_CHECK(
        addToCopy({Entries.begin() + static_cast<std::ptrdiff_t>(First),
                   Entries.begin() + static_cast<std::ptrdiff_t>(End)},
                  Head));
  }
  BOOST_LEAF_CHECK(finishCopy(Known));
  Failed_ = false;
  Failure_.clear();
  return {};
}

RetVal<bool> Journal::compact(const Book &Claims, AgeMillis Before,
                              const HeadState &Head) {
  if (Segments_.size() < 2 || Segments_[1].Began >= Before)
    return false;
  std::string Name = nameOf(Generation_, Segments_.front().Number);
  BOOST_LEAF_AUTO(Bytes, Storage_.read(Name));
  std::vector<Record> Restated;
  std::set<SubmissionId> Done;
  for (std::string_view Payload : decodeRecords(Bytes).Records) {
    BOOST_LEAF_AUTO(Old, decode(Payload));
    auto Found = Claims.Entries.find(Old.Submission);
    if (Found != Claims.Entries.end() && Done.insert(Old.Submission).second)
      Restated.push_back(restate(Old.Submission, Found->second));
  }
  if (!Restated.empty())
    BOOST_LEAF_CHECK(append(Restated, Head));
  Segments_.pop_front();
  Obsolete_.push_back({Appended_, std::move(Name)});
  removeObsolete();
  return true;
}

Ret Journal::addSegment(std::uint64_t Generation, std::deque<Segment> &To,
                        const HeadState &Head) {
  Segment Next;
  Next.Number = To.empty() ? 1 : To.back().Number + 1;
  Next.Began = Head.Age;
  // A left-over of an earlier try must not stand before the new head.
  BOOST_LEAF_CHECK(Storage_.remove(nameOf(Generation, Next.Number)));
  BOOST_LEAF_CHECK(write(Generation, Next, {headRecord(Head)}));
  To.push_back(Next);
  return {};
}

Ret Journal::roll(std::uint64_t Generation, std::deque<Segment> &To,
                  const HeadState &Head) {
  if (To.back().Size < SegmentSize_)
    return {};
  // Only the last segment may be torn, so this one must be durable first.
  BOOST_LEAF_CHECK(
      Storage_.truncate(nameOf(Generation, To.back().Number), To.back().Size));
  return addSegment(Generation, To, Head);
}

Ret Journal::write(std::uint64_t Generation, Segment &To,
                   const std::vector<Record> &Records) {
  std::string Bytes;
  for (const Record &Next : Records)
    BOOST_LEAF_CHECK(encodeRecord(encode(Next), Bytes));
  BOOST_LEAF_CHECK(Storage_.append(nameOf(Generation, To.Number), Bytes));
  To.Size += Bytes.size();
  Stats_.Bytes += Bytes.size();
  return {};
}

void Journal::stopFor(const Error &Why) {
  Failed_ = true;
  Failure_ = Why.Message;
}

void Journal::startSync() {
  if (Syncing_ || Failed_)
    return;
  Syncing_ = true;
  ++Stats_.Syncs;
  Storage_.sync(nameOf(Generation_, Segments_.back().Number),
                [this, Alive = Alive_,
                 Covered = SyncScope{Generation_, Appended_, AppendedIndex_}](
                    const Outcome<Done> &Result) {
                  if (*Alive)
                    finishSync(Result, Covered);
                });
}

void Journal::finishSync(const Outcome<Done> &Result,
                         const SyncScope &Covered) {
  Syncing_ = false;
  // A sync of what a copy has replaced meanwhile says nothing.
  bool Counts = Covered.Generation == Generation_;
  if (Counts && !Result)
    stopFor(Result.error());
  if (Counts && Result) {
    Durable_ = std::max(Durable_, Covered.Count);
    DurableIndex_ = std::max(DurableIndex_, Covered.Index);
  }
  if (Durable_ < Appended_)
    startSync();
  removeObsolete();
  OnSynced_();
}

void Journal::removeObsolete() {
  while (!Obsolete_.empty() && Obsolete_.front().After <= Durable_) {
    // One that can't be removed is read again at the next start; that is no
    // harm, since what follows it says the same or newer.
    attempt([&] { return Storage_.remove(Obsolete_.front().Name); });
    Obsolete_.pop_front();
  }
}

} // namespace geraniumbay::ledger
