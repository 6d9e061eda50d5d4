//===- fakestoragetest.cpp - Tests of the storage of tests ----------------===//

#include "framework/storage/fakestorage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay {
namespace {

std::string contentOf(FakeStorage &Disk, const std::string &Name) {
  auto Content = attempt([&] { return Disk.read(Name); });
  return Content ? *Content : "error: " + Content.error().Message;
}

bool appends(FakeStorage &Disk, const std::string &Bytes) {
  return attempt([&] { return Disk.append("log", Bytes); }).ok();
}

TEST(FakeStorageTest, ACrashKeepsOnlyWhatASyncCompleted) {
  FakeStorage Disk;
  bool Called = false;
  appends(Disk, "one");
  Disk.sync("log", [&](const Outcome<Done> &Result) { Called = Result.ok(); });
  appends(Disk, "two");
  EXPECT_FALSE(Called);
  Disk.completeAllSyncs();
  EXPECT_TRUE(Called);
  Disk.crash();
  EXPECT_EQ(contentOf(Disk, "log"), "one");
}

TEST(FakeStorageTest, ACrashBeforeTheSyncLosesTheNewFileAndTheCallback) {
  FakeStorage Disk;
  bool Called = false;
  appends(Disk, "one");
  Disk.sync("log", [&](const Outcome<Done> &) { Called = true; });
  Disk.crash();
  Disk.completeAllSyncs();
  EXPECT_FALSE(Called);
  EXPECT_EQ(contentOf(Disk, "log"), "error: no file log");
}

TEST(FakeStorageTest, AFullDiskTakesNothingOfAnAppend) {
  FakeStorage Disk;
  Disk.setCapacity(5);
  EXPECT_TRUE(appends(Disk, "one"));
  EXPECT_FALSE(appends(Disk, "two"));
  EXPECT_EQ(contentOf(Disk, "log"), "one");
}

TEST(FakeStorageTest, AFailingSyncIsReportedAndKeepsNothing) {
  FakeStorage Disk;
  Disk.setSyncsFail(true);
  bool Failed = false;
  appends(Disk, "one");
  Disk.sync("log", [&](const Outcome<Done> &Result) { Failed = !Result.ok(); });
  Disk.completeAllSyncs();
  EXPECT_TRUE(Failed);
  Disk.crash();
  EXPECT_EQ(contentOf(Disk, "log"), "error: no file log");
}

TEST(FakeStorageTest, ALaterSyncDoesNotSaveWhatAFailedOneLost) {
  FakeStorage Disk;
  appends(Disk, "one");
  Disk.sync("log", [](const Outcome<Done> &) {});
  Disk.completeAllSyncs();
  Disk.setSyncsFail(true);
  appends(Disk, "two");
  Disk.sync("log", [](const Outcome<Done> &) {});
  Disk.completeAllSyncs();
  Disk.setSyncsFail(false);
  appends(Disk, "three");
  bool Synced = false;
  Disk.sync("log", [&](const Outcome<Done> &Result) { Synced = Result.ok(); });
  Disk.completeAllSyncs();
  EXPECT_TRUE(Synced);
  EXPECT_EQ(contentOf(Disk, "log"), "onetwothree");
  Disk.crash();
  EXPECT_EQ(contentOf(Disk, "log"), "one");
}

TEST(FakeStorageTest, AReplacementWhoseSyncFailsIsReadButNotDurable) {
  FakeStorage Disk;
  auto Replace = [&](const std::string &Name, const std::string &Bytes) {
    return attempt([&] { return Disk.replace(Name, Bytes); }).ok();
  };
  EXPECT_TRUE(Replace("old", "one"));
  Disk.setSyncsFail(true);
  EXPECT_FALSE(Replace("old", "two"));
  EXPECT_FALSE(Replace("new", "two"));
  EXPECT_EQ(contentOf(Disk, "old"), "two");
  Disk.crash();
  EXPECT_EQ(contentOf(Disk, "old"), "one");
  EXPECT_EQ(contentOf(Disk, "new"), "error: no file new");
}

RC_GTEST_PROP(FakeStorageTest, ATornCrashKeepsAPrefixFromTheSyncedSize,
              (const std::string &Synced, const std::string &Unsynced,
               std::uint64_t Seed)) {
  FakeStorage Disk;
  Random Source(Seed);
  appends(Disk, Synced);
  Disk.sync("log", [](const Outcome<Done> &) {});
  Disk.completeAllSyncs();
  appends(Disk, Unsynced);
  Disk.crash(Source);
  std::string Kept = contentOf(Disk, "log");
  RC_ASSERT(Kept.size() >= Synced.size());
  RC_ASSERT(Kept == (Synced + Unsynced).substr(0, Kept.size()));
}

} // namespace
} // namespace geraniumbay
