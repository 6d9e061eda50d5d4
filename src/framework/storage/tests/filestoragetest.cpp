//===- filestoragetest.cpp - Tests of the data folder on disk -------------===//

#include "framework/storage/filestorage.h"
#include "framework/storage/fakestorage.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <sys/resource.h>
#include <sys/stat.h>

namespace geraniumbay {
namespace {

/// A folder of its own, removed at the end.
class TemporaryFolder {
public:
  TemporaryFolder() {
    std::string Pattern = testing::TempDir() + "storageXXXXXX";
    Parent_ = ::mkdtemp(Pattern.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(Parent_); }
  std::string path() const { return Parent_ + "/data"; }

private:
  std::string Parent_;
};

std::unique_ptr<FileStorage> open(const TemporaryFolder &Folder,
                                  SyncMode Mode = SyncMode::Asynchronous) {
  auto Opened = attempt([&] { return FileStorage::open(Folder.path(), Mode); });
  return Opened ? std::move(*Opened) : nullptr;
}

/// Waits for the eventfd and delivers, until \p Arrived.
void waitFor(FileStorage &Storage, const bool &Arrived) {
  constexpr int PatienceMillis = 10'000;
  while (!Arrived) {
    pollfd Watched{Storage.completionFd(), POLLIN, 0};
    ASSERT_EQ(::poll(&Watched, 1, PatienceMillis), 1);
    Storage.onCompletionReady();
  }
}

class FileStorageTest : public testing::TestWithParam<SyncMode> {};

TEST_P(FileStorageTest, ASyncCompletesThroughTheEventFdOnly) {
  TemporaryFolder Folder;
  auto Storage = open(Folder, GetParam());
  ASSERT_TRUE(Storage);
  ASSERT_TRUE(attempt([&] { return Storage->append("log", "one"); }).ok());
  bool Arrived = false;
  bool Succeeded = false;
  Storage->sync("log", [&](const Outcome<Done> &Result) {
    Arrived = true;
    Succeeded = Result.ok();
  });
  EXPECT_FALSE(Arrived);
  waitFor(*Storage, Arrived);
  EXPECT_TRUE(Succeeded);
  EXPECT_EQ(Storage->mode(), GetParam());
}

INSTANTIATE_TEST_SUITE_P(Modes, FileStorageTest,
                         testing::Values(SyncMode::Asynchronous,
                                         SyncMode::Blocking));

TEST(FileStorageFolderTest, IsHeldByOneAtATime) {
  TemporaryFolder Folder;
  auto First = open(Folder);
  ASSERT_TRUE(First);
  auto Second = attempt([&] { return FileStorage::open(Folder.path()); });
  ASSERT_FALSE(Second.ok());
  EXPECT_EQ(Second.error().Code, ErrorCode::Conflict);
  First.reset();
  EXPECT_TRUE(open(Folder));
}

TEST(FileStorageFolderTest, KeepsFolderAndFilesFromOthers) {
  TemporaryFolder Folder;
  auto Storage = open(Folder);
  ASSERT_TRUE(Storage);
  EXPECT_TRUE(attempt([&] { return Storage->append("log", "x"); }).ok());
  EXPECT_TRUE(attempt([&] { return Storage->replace("state", "y"); }).ok());
  struct stat Status {};
  ::stat(Folder.path().c_str(), &Status);
  EXPECT_EQ(Status.st_mode & 0777U, 0700U);
  for (const char *Name : {"/log", "/state", "/.lock"}) {
    ::stat((Folder.path() + Name).c_str(), &Status);
    EXPECT_EQ(Status.st_mode & 0777U, 0600U) << Name;
  }
}

TEST(FileStorageFolderTest, AnAppendThatDoesNotFitLeavesNothing) {
  TemporaryFolder Folder;
  auto Storage = open(Folder);
  ASSERT_TRUE(Storage);
  ASSERT_TRUE(attempt([&] { return Storage->append("log", "one"); }).ok());
  // A limit on the size of files stands for a full disk: a partial write.
  rlimit Before{};
  ::getrlimit(RLIMIT_FSIZE, &Before);
  rlimit Small{5, Before.rlim_max};
  auto *Handler = ::signal(SIGXFSZ, SIG_IGN);
  ::setrlimit(RLIMIT_FSIZE, &Small);
  EXPECT_FALSE(attempt([&] { return Storage->append("log", "two3"); }).ok());
  ::setrlimit(RLIMIT_FSIZE, &Before);
  ::signal(SIGXFSZ, Handler);
  auto Content = attempt([&] { return Storage->read("log"); });
  ASSERT_TRUE(Content.ok());
  EXPECT_EQ(*Content, "one");
  EXPECT_TRUE(attempt([&] { return Storage->append("log", "four"); }).ok());
}

TEST(FileStorageFolderTest, ALeftOverOfAnInterruptedReplaceIsRemoved) {
  TemporaryFolder Folder;
  ASSERT_TRUE(open(Folder));
  std::ofstream(Folder.path() + "/.new-state") << "half";
  auto Storage = open(Folder);
  ASSERT_TRUE(Storage);
  EXPECT_FALSE(std::filesystem::exists(Folder.path() + "/.new-state"));
}

/// One step on both storages; the results must be equal.
Outcome<Done> step(IStorage &Storage, int Kind, const std::string &Name,
                   const std::string &Bytes) {
  return attempt([&]() -> Ret {
    switch (Kind) {
    case 0:
      return Storage.append(Name, Bytes);
    case 1:
      return Storage.replace(Name, Bytes);
    case 2:
      return Storage.truncate(Name, Bytes.size());
    default:
      return Storage.remove(Name);
    }
  });
}

RC_GTEST_PROP(FileStorageFolderTest, DoesWhatTheFakeDoes, ()) {
  TemporaryFolder Folder;
  auto Disk = open(Folder);
  FakeStorage Fake;
  int Steps = *rc::gen::inRange(1, 12);
  for (int Index = 0; Index < Steps; ++Index) {
    int Kind = *rc::gen::inRange(0, 4);
    auto Name = *rc::gen::element<std::string>("a", "b");
    auto Bytes = *rc::gen::arbitrary<std::string>();
    Outcome<Done> OnDisk = step(*Disk, Kind, Name, Bytes);
    Outcome<Done> InFake = step(Fake, Kind, Name, Bytes);
    RC_ASSERT(OnDisk.ok() == InFake.ok());
    if (!OnDisk.ok())
      RC_ASSERT(OnDisk.error().Code == InFake.error().Code);
  }
  auto Names = attempt([&] { return Disk->list(); });
  auto FakeNames = attempt([&] { return Fake.list(); });
  RC_ASSERT(Names.value() == FakeNames.value());
  for (const std::string &Name : Names.value()) {
    auto OnDisk = attempt([&] { return Disk->read(Name); });
    auto InFake = attempt([&] { return Fake.read(Name); });
    RC_ASSERT(OnDisk.value() == InFake.value());
  }
}

} // namespace
} // namespace geraniumbay
