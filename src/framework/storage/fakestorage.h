//===- fakestorage.h - A data folder in memory ------------------*- C++ -*-===//
//
// The storage of tests: files in memory with the failures of a real disk. A
// crash loses what was not synced, syncs complete when the test says so, and
// the disk can be full, lost, failing or damaged. As on Linux, a file whose
// sync has failed is read as if it had not, and later syncs of it succeed
// without making durable what the failed one should have.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_STORAGE_FAKESTORAGE_H
#define GERANIUMBAY_FRAMEWORK_STORAGE_FAKESTORAGE_H

#include "framework/random/random.h"
#include "framework/storage/istorage.h"

#include <deque>
#include <map>
#include <optional>

namespace geraniumbay {

/// A data folder in memory that outlives the service which uses it: a test
/// crashes it, throws the service away and builds a new one on it.
class FakeStorage : public IStorage {
public:
  RetVal<std::vector<std::string>> list() override;
  RetVal<std::string> read(const std::string &Name) override;
  Ret append(const std::string &Name, std::string_view Bytes) override;
  void sync(const std::string &Name, SyncCallback Done) override;
  Ret replace(const std::string &Name, std::string_view Bytes) override;
  Ret truncate(const std::string &Name, std::uint64_t Size) override;
  Ret remove(const std::string &Name) override;

  /// Completes the syncs that are pending now, in order, and calls back; syncs
  /// begun by a callback stay pending. Returns how many completed.
  std::size_t completeSyncs();
  /// Completes syncs until none is pending.
  void completeAllSyncs();
  /// The number of syncs that wait for completeSyncs().
  std::size_t pendingSyncs() const { return Pending_.size(); }
  /// If \p AtOnce, bytes are durable when sync() returns; the callback still
  /// waits for completeSyncs().
  void setDurableAtOnce(bool AtOnce) { DurableAtOnce_ = AtOnce; }

  /// Ends the process only: pending callbacks are lost, files stay as they are,
  /// and what was not synced can still be lost by a later crash().
  void endProcess() { Pending_.clear(); }
  /// Stops the machine: unsynced bytes and pending callbacks are lost.
  void crash();
  /// Like crash(), but each file keeps a random prefix of its unsynced bytes.
  void crash(Random &Source);
  /// Loses the disk: crash(), and every file is gone.
  void wipe();

  /// Lets writes fail once all files together would exceed \p Bytes; nothing
  /// lifts the limit.
  void setCapacity(std::optional<std::uint64_t> Bytes) { Capacity_ = Bytes; }
  /// Lets every sync that completes from now on fail, or succeed again. A
  /// replace() that fails for it may be read, but does not outlive a crash.
  void setSyncsFail(bool Fail) { SyncsFail_ = Fail; }
  /// Inverts the bits of one stored byte, which must exist.
  void flipByte(const std::string &Name, std::uint64_t Offset);

  /// The total size of all files in bytes.
  std::uint64_t totalSize() const;
  /// How many syncs have succeeded.
  std::uint64_t syncCount() const { return SyncCount_; }

private:
  struct File {
    std::string Bytes;
    /// Invariant: at most Bytes.size(). The prefix that a crash keeps.
    std::uint64_t DurableSize = 0;
    /// Whether the file itself outlives a crash; set by its first sync.
    bool Durable = false;
    /// Bytes from here on are not made durable: a sync of them has failed.
    std::optional<std::uint64_t> LostFrom;
    /// Of a file whose replace() was not synced: what a crash brings back, with
    /// the file itself if it is not set.
    bool ReplaceUnsynced = false;
    std::optional<std::string> Earlier;
  };
  struct PendingSync {
    std::string Name;
    std::uint64_t Size;
    SyncCallback Done;
  };

  bool fits(std::uint64_t More) const;
  void makeDurable(const std::string &Name, std::uint64_t Size);
  void finish(const PendingSync &Sync);
  void crashFiles(Random *Source);

  std::map<std::string, File> Files_;
  std::deque<PendingSync> Pending_;
  std::optional<std::uint64_t> Capacity_;
  std::uint64_t SyncCount_ = 0;
  bool SyncsFail_ = false;
  bool DurableAtOnce_ = false;
};

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_STORAGE_FAKESTORAGE_H
