//===- filestorage.cpp - A data folder on disk ----------------------------===//
//
// Files of one folder, reached relative to its descriptor.
//
//===----------------------------------------------------------------------===//

#include "framework/storage/filestorage.h"

#include <algorithm>
#include <cassert>
#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <system_error>

namespace geraniumbay {

namespace {

constexpr mode_t FolderMode = 0700;
constexpr mode_t FileMode = 0600;
/// Names with a leading dot are the storage's own and not listed.
constexpr const char *LockName = ".lock";
constexpr const char *TemporaryPrefix = ".new-";

Error systemError(const std::string &What) {
  ErrorCode Code = errno == ENOENT ? ErrorCode::NotFound : ErrorCode::Io;
  return Error{Code, What + ": " + std::generic_category().message(errno)};
}

bool isPlainName(const std::string &Name) {
  return !Name.empty() && Name.front() != '.' &&
         Name.find('/') == std::string::npos;
}

/// Writes all of \p Bytes; false with errno set if not all were taken.
bool writeAll(int Handle, std::string_view Bytes) {
  while (!Bytes.empty()) {
    ssize_t Written = ::write(Handle, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written < 0)
      return false;
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
  return true;
}

RetVal<std::string> readAll(int Handle, const std::string &Name) {
  struct stat Status {};
  if (::fstat(Handle, &Status) != 0)
    return fail(systemError("fstat " + Name));
  std::string Bytes(static_cast<std::size_t>(Status.st_size), '\0');
  std::size_t Size = 0;
  while (Size < Bytes.size()) {
    ssize_t Count = ::read(Handle, Bytes.data() + Size, Bytes.size() - Size);
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return fail(systemError("read " + Name));
    if (Count == 0)
      break;
    Size += static_cast<std::size_t>(Count);
  }
  Bytes.resize(Size);
  return Bytes;
}

/// Returns every name in the folder but "." and "..".
RetVal<std::vector<std::string>> namesIn(int Folder) {
  // fdopendir takes over the descriptor that it is given.
  int Handle = ::openat(Folder, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  DIR *Stream = Handle < 0 ? nullptr : ::fdopendir(Handle);
  if (!Stream)
    return fail(systemError("list"));
  std::vector<std::string> Names;
  while (dirent *Entry = ::readdir(Stream)) {
    std::string Name = Entry->d_name;
    if (Name != "." && Name != "..")
      Names.push_back(std::move(Name));
  }
  ::closedir(Stream);
  std::sort(Names.begin(), Names.end());
  return Names;
}

} // namespace

RetVal<std::unique_ptr<FileStorage>>
FileStorage::open(const std::string &Folder, SyncMode Mode) {
  if (::mkdir(Folder.c_str(), FolderMode) != 0 && errno != EEXIST)
    return fail(systemError("mkdir " + Folder));
  FileDescriptor Handle(
      ::open(Folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  if (!Handle.valid() || ::fchmod(Handle.get(), FolderMode) != 0)
    return fail(systemError("open " + Folder));
  FileDescriptor Lock(
      ::openat(Handle.get(), LockName, O_RDWR | O_CREAT | O_CLOEXEC, FileMode));
  if (!Lock.valid())
    return fail(systemError("open lock of " + Folder));
  if (::flock(Lock.get(), LOCK_EX | LOCK_NB) != 0)
    return fail(ErrorCode::Conflict, Folder + " is used by another process");
  BOOST_LEAF_AUTO(Syncs, SyncQueue::create(Mode));
  std::unique_ptr<FileStorage> Storage(
      new FileStorage(std::move(Handle), std::move(Lock), std::move(Syncs)));
  BOOST_LEAF_CHECK(Storage->removeTemporaries());
  // An earlier process may have been killed between a rename and its sync; the
  // names that are found now must not go back after a loss of power.
  BOOST_LEAF_CHECK(Storage->syncFolder());
  return Storage;
}

FileStorage::FileStorage(FileDescriptor Folder, FileDescriptor Lock,
                         std::unique_ptr<SyncQueue> Syncs)
    : Folder_(std::move(Folder)), Lock_(std::move(Lock)),
      Syncs_(std::move(Syncs)) {}

RetVal<std::vector<std::string>> FileStorage::list() {
  BOOST_LEAF_AUTO(Names, namesIn(Folder_.get()));
  std::erase_if(Names,
                [](const std::string &Name) { return !isPlainName(Name); });
  return Names;
}

RetVal<std::string> FileStorage::read(const std::string &Name) {
  FileDescriptor Handle(
      ::openat(Folder_.get(), Name.c_str(), O_RDONLY | O_CLOEXEC));
  if (!Handle.valid())
    return fail(systemError("open " + Name));
  return readAll(Handle.get(), Name);
}

Ret FileStorage::append(const std::string &Name, std::string_view Bytes) {
  BOOST_LEAF_AUTO(Target, openFile(Name));
  if (Target->Broken)
    return fail(ErrorCode::Io, Name + " failed before and takes no more");
  if (!writeAll(Target->Handle.get(), Bytes)) {
    Error Failure = systemError("write " + Name);
    auto Size = static_cast<off_t>(Target->Size);
    Target->Broken = ::ftruncate(Target->Handle.get(), Size) != 0;
    return fail(std::move(Failure));
  }
  Target->Size += Bytes.size();
  return {};
}

void FileStorage::sync(const std::string &Name, SyncCallback Done) {
  Outcome<OpenFile *> Opened = attempt([&] { return openFile(Name); });
  std::shared_ptr<OpenFile> Target = Opened ? Files_[Name] : nullptr;
  int Handle = Target && !Target->Broken ? Target->Handle.get() : -1;
  // A descriptor of -1 makes the sync fail, later, like any other failure.
  Syncs_->submit(Handle, Target,
                 [Target, Done = std::move(Done)](
                     const Outcome<geraniumbay::Done> &Result) {
                   if (Target && !Result)
                     Target->Broken = true;
                   Done(Result);
                 });
}

Ret FileStorage::replace(const std::string &Name, std::string_view Bytes) {
  assert(isPlainName(Name) && "names are plain");
  std::string Temporary = TemporaryPrefix + Name;
  BOOST_LEAF_CHECK(writeTemporary(Temporary, Bytes));
  if (::renameat(Folder_.get(), Temporary.c_str(), Folder_.get(),
                 Name.c_str()) != 0)
    return fail(systemError("rename " + Name));
  Files_.erase(Name);
  return syncFolder();
}

Ret FileStorage::truncate(const std::string &Name, std::uint64_t Size) {
  FileDescriptor Handle(
      ::openat(Folder_.get(), Name.c_str(), O_WRONLY | O_CLOEXEC));
  if (!Handle.valid())
    return fail(systemError("open " + Name));
  struct stat Status {};
  if (::fstat(Handle.get(), &Status) != 0)
    return fail(systemError("fstat " + Name));
  if (static_cast<std::uint64_t>(Status.st_size) > Size &&
      ::ftruncate(Handle.get(), static_cast<off_t>(Size)) != 0)
    return fail(systemError("truncate " + Name));
  if (::fsync(Handle.get()) != 0)
    return fail(systemError("sync " + Name));
  Files_.erase(Name);
  return {};
}

Ret FileStorage::remove(const std::string &Name) {
  Files_.erase(Name);
  if (::unlinkat(Folder_.get(), Name.c_str(), 0) != 0) {
    if (errno == ENOENT)
      return {};
    return fail(systemError("remove " + Name));
  }
  return syncFolder();
}

RetVal<FileStorage::OpenFile *> FileStorage::openFile(const std::string &Name) {
  assert(isPlainName(Name) && "names are plain");
  auto Found = Files_.find(Name);
  if (Found != Files_.end())
    return Found->second.get();
  constexpr int Flags = O_WRONLY | O_APPEND | O_CLOEXEC;
  FileDescriptor Handle(::openat(Folder_.get(), Name.c_str(), Flags));
  if (!Handle.valid()) {
    Handle = FileDescriptor(
        ::openat(Folder_.get(), Name.c_str(), Flags | O_CREAT, FileMode));
    if (!Handle.valid())
      return fail(systemError("create " + Name));
    BOOST_LEAF_CHECK(syncFolder());
  }
  struct stat Status {};
  if (::fstat(Handle.get(), &Status) != 0)
    return fail(systemError("fstat " + Name));
  auto Opened = std::make_shared<OpenFile>();
  Opened->Handle = std::move(Handle);
  Opened->Size = static_cast<std::uint64_t>(Status.st_size);
  return Files_.emplace(Name, std::move(Opened)).first->second.get();
}

Ret FileStorage::removeTemporaries() {
  BOOST_LEAF_AUTO(Names, namesIn(Folder_.get()));
  for (const std::string &Name : Names)
    if (Name.starts_with(TemporaryPrefix) &&
        ::unlinkat(Folder_.get(), Name.c_str(), 0) != 0)
      return fail(systemError("remove " + Name));
  return {};
}

Ret FileStorage::syncFolder() {
  if (::fsync(Folder_.get()) != 0)
    return fail(systemError("sync folder"));
  return {};
}

Ret FileStorage::writeTemporary(const std::string &Name,
                                std::string_view Bytes) {
  constexpr int Flags = O_WRONLY | O_APPEND | O_CREAT | O_TRUNC | O_CLOEXEC;
  FileDescriptor Handle(::openat(Folder_.get(), Name.c_str(), Flags, FileMode));
  if (!Handle.valid() || !writeAll(Handle.get(), Bytes) ||
      ::fsync(Handle.get()) != 0) {
    Error Failure = systemError("write " + Name);
    ::unlinkat(Folder_.get(), Name.c_str(), 0);
    return fail(std::move(Failure));
  }
  return {};
}

} // namespace geraniumbay
