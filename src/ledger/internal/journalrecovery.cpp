//===- journalrecovery.cpp - Reading the ledger back ----------------------===//
//
// What a restart finds on the disk: a torn end is cut off, damage elsewhere
// fails with Corrupt.
//
//===----------------------------------------------------------------------===//

#include "framework/json/json.h"
#include "framework/storage/recordlog.h"
#include "ledger/internal/journal.h"
#include "ledger/internal/journalfiles.h"
#include "ledger/internal/viewwire.h"

namespace geraniumbay::ledger {

namespace {

std::string padded(std::uint64_t Number) {
  std::string Digits = std::to_string(Number);
  return std::string(NumberWidth - Digits.size(), '0') + Digits;
}

auto corrupt(const std::string &Name, const char *Why) {
  return fail(ErrorCode::Corrupt, Name + ": " + Why);
}

RetVal<Meta> decodeMeta(std::string_view Payload) {
  Meta Result;
  BOOST_LEAF_AUTO(Value, json::parse(Payload));
  BOOST_LEAF_AUTO(Disk, json::readUint(Value, "disk"));
  Result.Disk = DiskId(Disk);
  BOOST_LEAF_ASSIGN(Result.Generation, json::readUint(Value, "generation"));
  BOOST_LEAF_ASSIGN(Result.Run, json::readUint(Value, "run"));
  if (Value.isMember("view")) {
    BOOST_LEAF_ASSIGN(Result.View, viewFromJson(Value["view"]));
  }
  if (Value.isMember("joining")) {
    BOOST_LEAF_ASSIGN(Result.Joining, memberFromJson(Value["joining"]));
  }
  return Result;
}

/// Whether \p Next may follow what was read so far.
bool follows(const Record &Next, const History &Past) {
  if (Next.Kind == RecordKind::Entry)
    return true;
  if (Next.Kind == RecordKind::Head)
    return Next.At == Past.Last;
  return Next.At.Index == Past.Last.Index + 1 && Next.At.View >= Past.Last.View;
}

/// Adds a record of a segment to what was read.
void replay(const Record &Next, Recovered &Into) {
  apply(Into.Claims, Next);
  Into.Age = std::max(Into.Age, Next.Age);
  if (Next.Kind != RecordKind::Entry && Next.Kind != RecordKind::Head)
    extend(Into.Past, Next);
}

} // namespace

std::string Journal::nameOf(std::uint64_t Generation,
                            std::uint64_t Number) const {
  return SegmentPrefix + padded(Generation) + "-" + padded(Number);
}

RetVal<Recovered> Journal::open(const DataCentreId &Home) {
  Recovered Result;
  Result.Claims.Home = Home;
  Segments_.clear();
  BOOST_LEAF_ASSIGN(Result.Known, readMeta());
  Generation_ = Result.Known.Generation;
  BOOST_LEAF_CHECK(removeSegmentsExcept(Generation_));
  BOOST_LEAF_CHECK(readSegments(Result));
  AppendedIndex_ = DurableIndex_ = Result.Past.Last.Index;
  return Result;
}

RetVal<Meta> Journal::readMeta() {
  BOOST_LEAF_AUTO(Bytes, Storage_.read(MetaFile));
  RecordFile File = decodeRecords(Bytes);
  if (File.Tail != RecordTail::Clean || File.Records.size() != 1)
    return corrupt(MetaFile, "does not check");
  return decodeMeta(File.Records.front());
}

Ret Journal::removeSegmentsExcept(std::uint64_t Generation) {
  std::string Kept = SegmentPrefix + padded(Generation);
  BOOST_LEAF_AUTO(Names, Storage_.list());
  for (const std::string &Name : Names)
    if (Name.starts_with(SegmentPrefix) && !Name.starts_with(Kept))
      BOOST_LEAF_CHECK(Storage_.remove(Name));
  return {};
}

Ret Journal::readSegments(Recovered &Into) {
  std::vector<std::string> Names;
  BOOST_LEAF_ASSIGN(Names, Storage_.list());
  std::erase_if(Names, [](const std::string &Name) {
    return !Name.starts_with(SegmentPrefix);
  });
  for (std::size_t Index = 0; Index < Names.size(); ++Index) {
    std::uint64_t Number =
        std::stoull(Names[Index].substr(Names[Index].size() - NumberWidth));
    if (!Segments_.empty() && Number != Segments_.back().Number + 1)
      return corrupt(Names[Index], "a segment before it is missing");
    Segments_.push_back({Number, 0, 0});
    BOOST_LEAF_CHECK(
        readSegment(Names[Index], Index + 1 == Names.size(), Into));
  }
  if (Segments_.empty())
    return corrupt(MetaFile, "its segments are missing");
  return {};
}

Ret Journal::readSegment(const std::string &Name, bool IsLast,
                         Recovered &Into) {
  BOOST_LEAF_AUTO(Bytes, Storage_.read(Name));
  RecordFile File = decodeRecords(Bytes);
  if (File.Tail == RecordTail::Corrupt)
    return corrupt(Name, "a record does not check");
  if (File.Tail == RecordTail::Torn && !IsLast)
    return corrupt(Name, "ends early");
  bool Began = false;
  for (std::string_view Payload : File.Records) {
    BOOST_LEAF_AUTO(Next, decode(Payload));
    bool IsHead = Next.Kind == RecordKind::Head;
    if (IsHead && Segments_.size() == 1)
      restart(Into.Past, Next.At);
    if (IsHead == Began || !follows(Next, Into.Past))
      return corrupt(Name, "a record is out of place");
    if (IsHead)
      Segments_.back().Began = Next.Age;
    Began = true;
    replay(Next, Into);
  }
  if (!Began && (!IsLast || Segments_.size() == 1))
    return corrupt(Name, "has no head");
  Into.Size += File.ValidSize;
  Segments_.back().Size = File.ValidSize;
  if (!Began) {
    Segments_.pop_back();
    return Storage_.remove(Name);
  }
  // What was read may be in the system's cache only, after a sync that failed
  // or was never reached. Later syncs of the same file need not write it.
  if (IsLast)
    return Storage_.replace(Name,
                            std::string_view(Bytes).substr(0, File.ValidSize));
  return {};
}

} // namespace geraniumbay::ledger
