//===- journal.h - The ledger on disk ---------------------------*- C++ -*-===//
//
// Segments of framed records in the data folder, and one small file "meta" with
// the identity of the disk and the view.
//
// A segment "log-GENERATION-NUMBER" begins with a Head record. Only the last
// one may end in a torn record; anything else that does not check means that
// synced data is lost, and then the whole disk counts as lost.
//
// Group commit: all that is appended while a sync is under way goes into the
// next one.
//
// Compaction: the oldest segment is removed once it is older than the
// retention; what still counts of it is restated at the end of the log first.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_JOURNAL_H
#define GERANIUMBAY_LEDGER_INTERNAL_JOURNAL_H

#include "framework/storage/istorage.h"
#include "ledger/internal/book.h"
#include "ledger/internal/history.h"

#include <deque>

namespace geraniumbay::ledger {

/// The identity of the disk and what it was told by control.
struct Meta {
  DiskId Disk;
  /// Segments of other generations are left-overs.
  std::uint64_t Generation = 1;
  /// Counts the starts of the ledger on this disk.
  std::uint64_t Run = 0;
  std::optional<LedgerView> View;
  /// The member that this primary has proposed to add; it may be in the view
  /// already without this ledger knowing.
  std::optional<LedgerMember> Joining;
};

/// What is on the disk.
struct Recovered {
  Meta Known;
  Book Claims;
  History Past;
  AgeMillis Age = 0;
  /// Bytes read.
  std::uint64_t Size = 0;
};

/// The place in the log and the ledger's state, with which a segment begins.
struct HeadState {
  Position Last;
  AgeMillis Age = 0;
  Epoch Current;
  AgeMillis KeysRefusedUntil = 0;
};

/// Figures of the journal.
struct JournalStats {
  std::uint64_t Records = 0;
  std::uint64_t Syncs = 0;
  std::uint64_t Bytes = 0;
};

/// The log of one ledger. After a failure of append() nothing was written;
/// after a failed sync the journal takes nothing more (failed()) until
/// rewrite() has succeeded.
class Journal {
public:
  using Synced = std::function<void()>;

  /// \p OnSynced runs after each sync that made something durable, or failed.
  Journal(IStorage &Storage, std::uint64_t SegmentSize, Synced OnSynced);
  Journal(const Journal &) = delete;
  Journal &operator=(const Journal &) = delete;
  ~Journal();

  /// Reads the disk. A disk that is empty fails with NotFound, one that has
  /// lost synced data with Corrupt; both are to be formatted.
  RetVal<Recovered> open(const DataCentreId &Home);
  /// Removes everything and starts with \p Fresh and \p Head.
  Ret format(const Meta &Fresh, const HeadState &Head);
  /// Writes \p Next durably in place of the meta file; its Generation is set.
  Ret saveMeta(Meta Next);

  /// Appends \p Records and syncs them soon. \p Head is the state before them.
  Ret append(const std::vector<Record> &Records, const HeadState &Head);
  /// Starts a copy of another ledger, beside what is there.
  Ret beginCopy(const HeadState &Head);
  /// Adds entries to the copy.
  Ret addToCopy(const std::vector<Record> &Entries, const HeadState &Head);
  /// Makes the copy durable and then, in one step, the content of the journal.
  /// Blocks.
  Ret finishCopy(const Meta &Known);

  /// Of a journal that has failed: writes \p Entries, all that \p Head stands
  /// for, into new segments in place of the old ones, of which nothing is
  /// known. Blocks. May be called again after it has failed.
  Ret rewrite(const Meta &Known, const std::vector<Record> &Entries,
              const HeadState &Head);

  /// Removes the oldest segment if it ended before \p Before, after it has
  /// restated what \p Claims still has of it. Returns whether there was one.
  RetVal<bool> compact(const Book &Claims, AgeMillis Before,
                       const HeadState &Head);

  /// The last place of the log that is known to be durable.
  std::uint64_t durableIndex() const { return DurableIndex_; }
  bool failed() const { return Failed_; }
  /// Why it has failed; empty if it has not.
  const std::string &failure() const { return Failure_; }
  const JournalStats &stats() const { return Stats_; }
  std::size_t segmentCount() const { return Segments_.size(); }

private:
  struct Segment {
    std::uint64_t Number = 0;
    /// The ledger's age at its beginning.
    AgeMillis Began = 0;
    std::uint64_t Size = 0;
  };
  /// What a sync covers.
  struct SyncScope {
    std::uint64_t Generation = 0;
    std::uint64_t Count = 0;
    std::uint64_t Index = 0;
  };
  /// A segment that may be removed once the restatements are durable.
  struct Obsolete {
    std::uint64_t After = 0;
    std::string Name;
  };

  std::string nameOf(std::uint64_t Generation, std::uint64_t Number) const;
  RetVal<Meta> readMeta();
  Ret removeSegmentsExcept(std::uint64_t Generation);
  Ret readSegments(Recovered &Into);
  Ret readSegment(const std::string &Name, bool IsLast, Recovered &Into);
  Ret addSegment(std::uint64_t Generation, std::deque<Segment> &To,
                 const HeadState &Head);
  Ret roll(std::uint64_t Generation, std::deque<Segment> &To,
           const HeadState &Head);
  Ret write(std::uint64_t Generation, Segment &To,
            const std::vector<Record> &Records);
  void stopFor(const Error &Why);
  void startSync();
  void finishSync(const Outcome<Done> &Result, const SyncScope &Covered);
  void removeObsolete();

  IStorage &Storage_;
  const std::uint64_t SegmentSize_;
  Synced OnSynced_;
  std::uint64_t Generation_ = 1;
  /// Invariant: not empty after open() or format(); appends go to the last.
  std::deque<Segment> Segments_;
  /// The segments of a copy that is under way.
  std::deque<Segment> Copy_;
  /// The place in the log that the copy stands for.
  std::uint64_t CopyIndex_ = 0;
  std::deque<Obsolete> Obsolete_;
  /// Counts appended records of all kinds, and those of them that are durable.
  std::uint64_t Appended_ = 0;
  std::uint64_t Durable_ = 0;
  /// The same as places in the log.
  std::uint64_t AppendedIndex_ = 0;
  std::uint64_t DurableIndex_ = 0;
  bool Syncing_ = false;
  bool Failed_ = false;
  std::string Failure_;
  JournalStats Stats_;
  /// Lets callbacks of the storage find out that the journal is gone.
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_JOURNAL_H
