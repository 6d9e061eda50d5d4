//===- fakestorage.cpp - A data folder in memory --------------------------===//
//
// Files in memory with the failures of a real disk.
//
//===----------------------------------------------------------------------===//

#include "framework/storage/fakestorage.h"

#include <algorithm>
#include <cassert>

namespace geraniumbay {

RetVal<std::vector<std::string>> FakeStorage::list() {
  std::vector<std::string> Names;
  Names.reserve(Files_.size());
  for (const auto &[Name, Content] : Files_)
    Names.push_back(Name);
  return Names;
}

RetVal<std::string> FakeStorage::read(const std::string &Name) {
  auto Found = Files_.find(Name);
  if (Found == Files_.end())
    return fail(ErrorCode::NotFound, "no file " + Name);
  return Found->second.Bytes;
}

Ret FakeStorage::append(const std::string &Name, std::string_view Bytes) {
  if (!fits(Bytes.size()))
    return fail(ErrorCode::Io, "no space left for " + Name);
  Files_[Name].Bytes += Bytes;
  return {};
}

void FakeStorage::sync(const std::string &Name, SyncCallback Done) {
  auto Found = Files_.find(Name);
  std::uint64_t Size = Found == Files_.end() ? 0 : Found->second.Bytes.size();
  if (DurableAtOnce_ && !SyncsFail_)
    makeDurable(Name, Size);
  Pending_.push_back(PendingSync{Name, Size, std::move(Done)});
}

Ret FakeStorage::replace(const std::string &Name, std::string_view Bytes) {
  if (!fits(Bytes.size()))
    return fail(ErrorCode::Io, "no space left for " + Name);
  if (!SyncsFail_) {
    Files_[Name] = File{std::string(Bytes), Bytes.size(), true, {}, false, {}};
    return {};
  }
  File &Target = Files_[Name];
  if (!Target.ReplaceUnsynced && Target.Durable)
    Target.Earlier = Target.Bytes.substr(0, Target.DurableSize);
  Target.ReplaceUnsynced = true;
  Target.Bytes = Bytes;
  return fail(ErrorCode::Io, "sync failed of " + Name);
}

Ret FakeStorage::truncate(const std::string &Name, std::uint64_t Size) {
  auto Found = Files_.find(Name);
  if (Found == Files_.end())
    return fail(ErrorCode::NotFound, "no file " + Name);
  File &Target = Found->second;
  if (Size < Target.Bytes.size())
    Target.Bytes.resize(Size);
  makeDurable(Name, Target.Bytes.size());
  Target.DurableSize =
      std::min<std::uint64_t>(Target.DurableSize, Target.Bytes.size());
  return {};
}

Ret FakeStorage::remove(const std::string &Name) {
  Files_.erase(Name);
  return {};
}

std::size_t FakeStorage::completeSyncs() {
  std::size_t Count = Pending_.size();
  for (std::size_t Index = 0; Index < Count && !Pending_.empty(); ++Index) {
    PendingSync Next = std::move(Pending_.front());
    Pending_.pop_front();
    finish(Next);
  }
  return Count;
}

void FakeStorage::completeAllSyncs() {
  while (!Pending_.empty())
    completeSyncs();
}

void FakeStorage::crash() { crashFiles(nullptr); }

void FakeStorage::crash(Random &Source) { crashFiles(&Source); }

void FakeStorage::wipe() {
  Pending_.clear();
  Files_.clear();
}

void FakeStorage::flipByte(const std::string &Name, std::uint64_t Offset) {
  File &Target = Files_.at(Name);
  assert(Offset < Target.Bytes.size() && "no such byte");
  Target.Bytes[Offset] = static_cast<char>(~Target.Bytes[Offset]);
}

std::uint64_t FakeStorage::totalSize() const {
  std::uint64_t Total = 0;
  for (const auto &[Name, Content] : Files_)
    Total += Content.Bytes.size();
  return Total;
}

bool FakeStorage::fits(std::uint64_t More) const {
  return !Capacity_ || totalSize() + More <= *Capacity_;
}

void FakeStorage::makeDurable(const std::string &Name, std::uint64_t Size) {
  auto Found = Files_.find(Name);
  if (Found == Files_.end())
    return;
  File &Target = Found->second;
  std::uint64_t Reached = std::min<std::uint64_t>(Size, Target.Bytes.size());
  Reached = std::min(Reached, Target.LostFrom.value_or(Reached));
  Target.DurableSize = std::max(Target.DurableSize, Reached);
  Target.Durable = true;
}

void FakeStorage::finish(const PendingSync &Sync) {
  if (SyncsFail_) {
    auto Found = Files_.find(Sync.Name);
    if (Found != Files_.end() && !Found->second.LostFrom)
      Found->second.LostFrom = Found->second.DurableSize;
    Sync.Done(Error{ErrorCode::Io, "sync failed of " + Sync.Name});
    return;
  }
  makeDurable(Sync.Name, Sync.Size);
  ++SyncCount_;
  Sync.Done(Done{});
}

void FakeStorage::crashFiles(Random *Source) {
  Pending_.clear();
  for (auto &[Name, Content] : Files_)
    if (Content.ReplaceUnsynced) {
      std::string Bytes = Content.Earlier.value_or("");
      Content = {Bytes, Bytes.size(), Content.Earlier.has_value(),
                 {},    false,        {}};
    }
  std::erase_if(Files_,
                [](const auto &Entry) { return !Entry.second.Durable; });
  for (auto &[Name, Content] : Files_) {
    Content.LostFrom.reset();
    std::uint64_t Unsynced = Content.Bytes.size() - Content.DurableSize;
    std::uint64_t Kept = Source ? Source->below(Unsynced + 1) : 0;
    Content.Bytes.resize(Content.DurableSize + Kept);
    Content.DurableSize = Content.Bytes.size();
  }
}

} // namespace geraniumbay
