//===- memberstore.cpp - A member's files ---------------------------------===//
//
// Recovery and writing of a control member's folder.
//
//===----------------------------------------------------------------------===//

#include "control/internal/memberstore.h"

#include "control/internal/wire.h"
#include "framework/storage/recordlog.h"

#include <algorithm>
#include <charconv>

namespace geraniumbay::control {

namespace {

constexpr const char *MemberFile = "member";
constexpr const char *SnapshotFile = "snapshot";
constexpr std::string_view SegmentPrefix = "log-";
constexpr std::string_view LostPrefix = "lost-";

bool startsWith(std::string_view Name, std::string_view Prefix) {
  return Name.substr(0, Prefix.size()) == Prefix;
}

std::string segmentName(LogIndex Base) {
  return std::string(SegmentPrefix) + std::to_string(Base.value());
}

std::optional<LogIndex> segmentBase(std::string_view Name) {
  if (!startsWith(Name, SegmentPrefix))
    return std::nullopt;
  std::string_view Digits = Name.substr(SegmentPrefix.size());
  std::uint64_t Value = 0;
  auto Parsed =
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Value);
  if (Parsed.ec != std::errc() || Parsed.ptr != Digits.data() + Digits.size())
    return std::nullopt;
  return LogIndex(Value);
}

boost::leaf::error_id corrupt(const std::string &What) {
  return fail(ErrorCode::Corrupt, What);
}

/// Reads text that a checksum covers: whatever is wrong is damage.
RetVal<Json::Value> parseStored(std::string_view Text) {
  auto Parsed = attempt([&] { return json::parse(Text); });
  if (!Parsed)
    return corrupt(Parsed.error().Message);
  return *Parsed;
}

/// Runs a reader of stored values; whatever is wrong is damage.
template <typename ReadT> auto stored(ReadT Read) -> decltype(Read()) {
  auto Value = attempt(Read);
  if (!Value)
    return corrupt(Value.error().Message);
  return std::move(*Value);
}

/// Reads a file that holds exactly one record.
RetVal<Json::Value> readWhole(IStorage &Storage, const std::string &Name) {
  auto Bytes = attempt([&] { return Storage.read(Name); });
  if (!Bytes && Bytes.error().Code == ErrorCode::NotFound)
    return corrupt(Name + " is missing");
  if (!Bytes)
    return fail(Bytes.error());
  RecordFile File = decodeRecords(*Bytes);
  if (File.Tail != RecordTail::Clean || File.Records.size() != 1)
    return corrupt(Name + " does not check");
  return parseStored(File.Records.front());
}

Ret replaceWhole(IStorage &Storage, const std::string &Name,
                 const Json::Value &Value) {
  std::string Bytes;
  BOOST_LEAF_CHECK(encodeRecord(json::write(Value), Bytes));
  return Storage.replace(Name, Bytes);
}

Json::Value segmentHeader(Generation Disk) {
  Json::Value Header(Json::objectValue);
  Header["disk"] = Json::UInt64(Disk.value());
  return Header;
}

Ret encodeEntries(const RaftLog &Log, LogIndex From, std::string &Bytes) {
  for (LogIndex I = From; I <= lastIndex(Log); I = next(I)) {
    Json::Value Entry = wire::write(entryAt(Log, I));
    Entry["index"] = Json::UInt64(I.value());
    BOOST_LEAF_CHECK(encodeRecord(json::write(Entry), Bytes));
  }
  return {};
}

/// Takes one stored entry into \p Log, taking back what it replaces.
Ret replayEntry(RaftLog &Log, const Json::Value &Value) {
  BOOST_LEAF_AUTO(Index, stored([&] {
                    return wire::readNumber<LogIndex>(Value, "index");
                  }));
  BOOST_LEAF_AUTO(Entry, stored([&] { return wire::readEntry(Value); }));
  if (Index <= Log.Base.Last || termAt(Log, Index) == Entry.At)
    return {};
  if (Index > next(lastIndex(Log)))
    return corrupt("an entry of the log is missing");
  truncateFrom(Log, Index);
  Log.Entries.push_back(std::move(Entry));
  return {};
}

Ret replaySegment(RaftLog &Log, const RecordFile &File, Generation Disk) {
  if (File.Records.empty())
    return corrupt("a log file has no header");
  BOOST_LEAF_AUTO(Header, parseStored(File.Records.front()));
  BOOST_LEAF_AUTO(Owner, stored([&] {
                    return wire::readNumber<Generation>(Header, "disk");
                  }));
  if (Owner != Disk)
    return corrupt("a log file is of another member");
  for (std::size_t I = 1; I < File.Records.size(); ++I) {
    BOOST_LEAF_AUTO(Value, parseStored(File.Records[I]));
    BOOST_LEAF_CHECK(replayEntry(Log, Value));
  }
  return {};
}

} // namespace

RetVal<RecoveredMember> MemberStore::recover() {
  BOOST_LEAF_AUTO(Names, Storage_.list());
  std::erase_if(Names, [](const std::string &Name) {
    return startsWith(Name, LostPrefix);
  });
  if (Names.empty())
    return startAnew(std::nullopt);
  auto Member = attempt([&] { return read(); });
  if (Member)
    return std::move(*Member);
  if (Member.error().Code != ErrorCode::Corrupt)
    return fail(Member.error());
  return startAnew(Member.error());
}

RetVal<RecoveredMember> MemberStore::read() {
  BOOST_LEAF_AUTO(Value, readWhole(Storage_, MemberFile));
  RecoveredMember Member;
  BOOST_LEAF_ASSIGN(Member.Disk, stored([&] {
                      return wire::readNumber<Generation>(Value, "disk");
                    }));
  BOOST_LEAF_ASSIGN(Member.Hard,
                    stored([&] { return wire::readHardState(Value); }));
  Disk_ = Member.Disk;
  Written_ = Member.Hard;
  if (Member.Hard.Group == GroupId(0)) {
    // A crash while entering a group leaves files that nobody relies on.
    BOOST_LEAF_CHECK(removeAllBut({MemberFile}));
    return Member;
  }
  BOOST_LEAF_CHECK(readLog(Member));
  if (lastTerm(Member.Log) > Member.Hard.Current) {
    Member.Hard.Current = lastTerm(Member.Log);
    Member.Hard.Vote.reset();
  }
  return Member;
}

Ret MemberStore::readLog(RecoveredMember &Member) {
  BOOST_LEAF_AUTO(Value, readWhole(Storage_, SnapshotFile));
  BOOST_LEAF_AUTO(State, stored([&] { return wire::readSnapshot(Value); }));
  BOOST_LEAF_AUTO(Names, Storage_.list());
  std::optional<LogIndex> Newest;
  for (const std::string &Name : Names)
    if (auto Base = segmentBase(Name); Base && *Base <= State.Last)
      Newest = std::max(Newest.value_or(*Base), *Base);
  if (!Newest)
    return corrupt("there is no log");
  Segment_ = *Newest;
  BOOST_LEAF_AUTO(Bytes, Storage_.read(segmentName(Segment_)));
  RecordFile File = decodeRecords(Bytes);
  if (File.Tail == RecordTail::Corrupt)
    return corrupt("the log does not check");
  // Even a whole tail may be in the system's cache only, if the earlier process
  // was killed before a sync or after one that failed: a majority must not
  // count what a loss of power still takes. A new file is needed, as a sync
  // that follows a failed one may succeed without the lost bytes. Two syncs at
  // a start, 18 ms on the platform's disks.
  BOOST_LEAF_CHECK(
      Storage_.replace(segmentName(Segment_),
                       std::string_view(Bytes).substr(0, File.ValidSize)));
  // A log that begins before the snapshot is replayed from its own beginning;
  // the snapshot is then taken as if the leader had sent it.
  Member.Log.Base.Last = Segment_;
  if (Segment_ == State.Last)
    Member.Log.Base = State;
  BOOST_LEAF_CHECK(replaySegment(Member.Log, File, Member.Disk));
  if (Segment_ == State.Last)
    return {};
  installSnapshot(Member.Log, std::move(State));
  return writeSegment(Member.Log);
}

RetVal<RecoveredMember> MemberStore::startAnew(std::optional<Error> Damage) {
  RecoveredMember Member;
  Member.Disk = Fresh_;
  Member.Hard.HadGroup = Damage.has_value();
  Member.Damage = std::move(Damage);
  if (Member.Damage)
    BOOST_LEAF_CHECK(keepDamaged());
  Disk_ = Fresh_;
  BOOST_LEAF_CHECK(writeMember(Member.Hard));
  BOOST_LEAF_CHECK(removeAllBut({MemberFile}));
  return Member;
}

Ret MemberStore::keepDamaged() {
  BOOST_LEAF_AUTO(Names, Storage_.list());
  for (const std::string &Name : Names) {
    if (startsWith(Name, LostPrefix))
      continue;
    BOOST_LEAF_AUTO(Bytes, Storage_.read(Name));
    BOOST_LEAF_CHECK(Storage_.replace(std::string(LostPrefix) + Name, Bytes));
  }
  return {};
}

void MemberStore::persist(const RaftState &State, const Persist &What,
                          Callback Done) {
  // The log goes first: a term in the log counts at recovery, and a group is
  // entered only by the member file, when the rest of the folder is there.
  bool WriteHard = What.HardChanged;
  HardState Hard = State.Hard;
  auto Finish = [this, WriteHard, Hard = std::move(Hard),
                 Done = std::move(Done)](Outcome<geraniumbay::Done> Synced) {
    if (Synced && WriteHard)
      Synced = attempt([&] { return writeMember(Hard); });
    Done(Synced);
  };
  auto Written = attempt([&]() -> Ret {
    if (What.SnapshotChanged) {
      BOOST_LEAF_CHECK(writeSnapshot(State.Log));
      return writeSegment(State.Log);
    }
    if (What.LogFrom)
      return appendEntries(State.Log, *What.LogFrom);
    return {};
  });
  if (Written && What.LogFrom && !What.SnapshotChanged)
    return Storage_.sync(segmentName(Segment_), std::move(Finish));
  Finish(std::move(Written));
}

Ret MemberStore::rewrite(const RaftState &State) {
  // The smallest file goes first, unchanged: a disk that still refuses writes
  // is noticed before the log is encoded.
  BOOST_LEAF_CHECK(writeMember(HardState(Written_)));
  if (State.Hard.Group == GroupId(0)) {
    BOOST_LEAF_CHECK(removeAllBut({MemberFile}));
    return writeMember(State.Hard);
  }
  BOOST_LEAF_CHECK(writeSnapshot(State.Log));
  BOOST_LEAF_CHECK(writeSegment(State.Log));
  return writeMember(State.Hard);
}

Ret MemberStore::writeMember(const HardState &Hard) {
  Json::Value Value = wire::write(Hard);
  Value["disk"] = Json::UInt64(Disk_.value());
  BOOST_LEAF_CHECK(replaceWhole(Storage_, MemberFile, Value));
  Written_ = Hard;
  return {};
}

Ret MemberStore::writeSnapshot(const RaftLog &Log) {
  return replaceWhole(Storage_, SnapshotFile, wire::write(Log.Base));
}

Ret MemberStore::writeSegment(const RaftLog &Log) {
  std::string Bytes;
  BOOST_LEAF_CHECK(encodeRecord(json::write(segmentHeader(Disk_)), Bytes));
  BOOST_LEAF_CHECK(encodeEntries(Log, next(Log.Base.Last), Bytes));
  Segment_ = Log.Base.Last;
  BOOST_LEAF_CHECK(Storage_.replace(segmentName(Segment_), Bytes));
  return removeAllBut({MemberFile, SnapshotFile, segmentName(Segment_)});
}

Ret MemberStore::appendEntries(const RaftLog &Log, LogIndex From) {
  std::string Bytes;
  BOOST_LEAF_CHECK(encodeEntries(Log, From, Bytes));
  return Storage_.append(segmentName(Segment_), Bytes);
}

Ret MemberStore::removeAllBut(const std::vector<std::string> &Kept) {
  BOOST_LEAF_AUTO(Names, Storage_.list());
  for (const std::string &Name : Names) {
    bool Keep = std::find(Kept.begin(), Kept.end(), Name) != Kept.end();
    if (!Keep && !startsWith(Name, LostPrefix))
      BOOST_LEAF_CHECK(Storage_.remove(Name));
  }
  return {};
}

} // namespace geraniumbay::control
