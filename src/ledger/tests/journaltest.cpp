//===- journaltest.cpp - The ledger on a disk that fails ------------------===//

#include "framework/clock/manualclock.h"
#include "framework/storage/fakestorage.h"
#include "ledger/internal/replica.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::ledger {
namespace {

/// The primary's copy of a ledger without members.
class SingleLedger {
public:
  explicit SingleLedger(std::uint64_t SegmentSize = 1500) : Numbers(1) {
    Config.DataCentre = DataCentreId("dc");
    Config.Vm = VmId("a");
    Config.SegmentSize = SegmentSize;
    open();
    LedgerView View;
    View.DataCentre = Config.DataCentre;
    View.Number = ViewNumber(1);
    View.LedgerEpoch = Epoch(1);
    View.Primary = Config.Vm;
    View.Members = {Copy->self()};
    EXPECT_TRUE(attempt([&] { return Copy->applyView(View); }).ok());
    Disk.completeAllSyncs();
  }

  void open() {
    Copy.reset();
    Copy.emplace(Config, Clock, Disk, Numbers, [] {});
    EXPECT_TRUE(attempt([&] { return Copy->open(); }).ok());
    Disk.completeAllSyncs();
  }
  /// Writes a claim, or the answer of one.
  bool write(RecordKind Kind, int Number) {
    Record Next;
    Next.Kind = Kind;
    Next.Submission = SubmissionId("caller/" + std::to_string(Number));
    Next.Digest = "d";
    Next.By = {VmId("e"), Incarnation(1)};
    if (Kind == RecordKind::Answer)
      Next.Answer = "answer " + std::to_string(Number);
    return attempt([&] { return Copy->appendOwn(Next); }).ok();
  }
  std::string lastSegment() {
    auto Names = attempt([&] { return Disk.list(); });
    return *std::prev(Names->end(), 2); // "meta" comes behind the segments.
  }

  LedgerConfig Config;
  ManualClock Clock;
  FakeStorage Disk;
  Random Numbers;
  std::optional<Replica> Copy;
};

using Content = std::map<SubmissionId, Entry>;

Content contentOf(const Replica &Copy) {
  return {Copy.claims().Entries.begin(), Copy.claims().Entries.end()};
}

RC_GTEST_PROP(JournalTest, ARestartFindsWhatWasSyncedAndAPrefixOfTheRest, ()) {
  SingleLedger Ledger;
  std::vector<Content> States = {contentOf(*Ledger.Copy)};
  std::size_t SyncedStates = 0;
  int Steps = *rc::gen::inRange(1, 60);
  for (int Step = 0; Step < Steps; ++Step) {
    RecordKind Kind = *rc::gen::element(RecordKind::Claim, RecordKind::Answer,
                                        RecordKind::Release);
    RC_ASSERT(Ledger.write(Kind, *rc::gen::inRange(0, 8)));
    States.push_back(contentOf(*Ledger.Copy));
    if (*rc::gen::inRange(0, 4) == 0) {
      Ledger.Disk.completeAllSyncs();
      SyncedStates = States.size() - 1;
    }
  }
  LedgerMember Self = Ledger.Copy->self();
  Ledger.Disk.crash(Ledger.Numbers);
  Ledger.open();
  RC_ASSERT(Ledger.Copy->self() == Self);
  std::size_t Found = Ledger.Copy->past().Last.Index - 1;
  RC_ASSERT(Found >= SyncedStates);
  RC_ASSERT(Found < States.size());
  RC_ASSERT(contentOf(*Ledger.Copy) == States[Found]);
}

// Guards against a restart that takes for written what a failed sync has left
// in the system's cache only.
TEST(JournalTest, AStartAfterAFailedSyncWritesTheLogAnew) {
  SingleLedger Ledger(1 << 20U);
  Ledger.write(RecordKind::Claim, 0);
  Ledger.Disk.setSyncsFail(true);
  Ledger.Disk.completeAllSyncs();
  Ledger.Disk.endProcess();
  Ledger.Disk.setSyncsFail(false);
  Ledger.open();
  ASSERT_EQ(Ledger.Copy->claims().Entries.size(), 1U);
  EXPECT_TRUE(Ledger.write(RecordKind::Claim, 1));
  Ledger.Disk.completeAllSyncs();
  Content Before = contentOf(*Ledger.Copy);
  Ledger.Disk.crash();
  Ledger.open();
  EXPECT_TRUE(contentOf(*Ledger.Copy) == Before);
}

TEST(JournalTest, ATailTornAtAnyByteIsCutOff) {
  SingleLedger Ledger(1 << 20U);
  for (int Number = 0; Number < 3; ++Number)
    Ledger.write(RecordKind::Claim, Number);
  Ledger.Disk.completeAllSyncs();
  Content Before = contentOf(*Ledger.Copy);
  LedgerMember Self = Ledger.Copy->self();
  std::string Name = Ledger.lastSegment();
  std::string Whole = *attempt([&] { return Ledger.Disk.read(Name); });
  Ledger.write(RecordKind::Claim, 3);
  std::string Longer = *attempt([&] { return Ledger.Disk.read(Name); });
  for (std::size_t Size = Whole.size(); Size < Longer.size(); ++Size) {
    attempt([&] { return Ledger.Disk.replace(Name, Longer.substr(0, Size)); });
    Ledger.open();
    EXPECT_TRUE(contentOf(*Ledger.Copy) == Before) << Size;
    EXPECT_EQ(Ledger.Copy->self(), Self) << Size;
    EXPECT_TRUE(Ledger.write(RecordKind::Claim, 4));
    Ledger.Disk.completeAllSyncs();
    Ledger.open();
    EXPECT_EQ(Ledger.Copy->claims().Entries.size(), Before.size() + 1);
  }
}

TEST(JournalTest, AFlippedByteAnywhereInAnyFileMakesANewDisk) {
  SingleLedger Model;
  for (int Number = 0; Number < 20; ++Number)
    Model.write(RecordKind::Claim, Number);
  Model.Disk.completeAllSyncs();
  auto Names = attempt([&] { return Model.Disk.list(); });
  ASSERT_GT(Names->size(), 2U);
  for (const std::string &Name : *Names) {
    std::size_t Size = attempt([&] { return Model.Disk.read(Name); })->size();
    for (std::size_t Offset = 0; Offset < Size; ++Offset) {
      SingleLedger Damaged;
      Damaged.Disk = Model.Disk;
      Damaged.Disk.flipByte(Name, Offset);
      Damaged.open();
      ASSERT_NE(Damaged.Copy->self(), Model.Copy->self()) << Name << Offset;
      ASSERT_EQ(Damaged.Copy->role(), Role::Outsider) << Name << Offset;
    }
  }
}

TEST(JournalTest, AMissingSegmentMakesANewDisk) {
  SingleLedger Ledger;
  LedgerMember Self = Ledger.Copy->self();
  for (int Number = 0; Number < 60; ++Number)
    Ledger.write(RecordKind::Claim, Number);
  Ledger.Disk.completeAllSyncs();
  auto Names = attempt([&] { return Ledger.Disk.list(); });
  attempt([&] { return Ledger.Disk.remove((*Names)[1]); });
  Ledger.open();
  EXPECT_NE(Ledger.Copy->self(), Self);
}

TEST(JournalTest, CompactionKeepsOpenClaimsAndFreshAnswersOnly) {
  SingleLedger Ledger;
  std::uint64_t Largest = 0;
  for (int Day = 0; Day < 20; ++Day) {
    for (int Number = 0; Number < 40; ++Number) {
      Ledger.write(RecordKind::Claim, 100 * Day + Number);
      if (Number != 0)
        Ledger.write(RecordKind::Answer, 100 * Day + Number);
    }
    Ledger.Clock.advance(std::chrono::hours(25));
    for (int Round = 0; Round < 100; ++Round) {
      Ledger.Copy->prune();
      Ledger.Disk.completeAllSyncs();
    }
    if (Day > 2) {
      Largest = std::max(Largest, Ledger.Disk.totalSize());
    }
  }
  Content Before = contentOf(*Ledger.Copy);
  EXPECT_EQ(Before.size(), 20U);
  EXPECT_LT(Largest, 15'000U);
  Ledger.open();
  Ledger.Copy->prune();
  EXPECT_TRUE(contentOf(*Ledger.Copy) == Before);
}

} // namespace
} // namespace geraniumbay::ledger
