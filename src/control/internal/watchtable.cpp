//===- watchtable.cpp - Who has which version in force --------------------===//
//
// Noting, reporting and merging what processes said.
//
//===----------------------------------------------------------------------===//

#include "control/internal/watchtable.h"

#include <algorithm>

namespace geraniumbay::control {

namespace {

constexpr std::string_view LedgerProcess = "ledger";

void forgetOldest(WatchTable &Table) {
  auto Oldest = std::min_element(Table.Records.begin(), Table.Records.end(),
                                 [](const auto &A, const auto &B) {
                                   return A.second.LastSeen < B.second.LastSeen;
                                 });
  Table.Records.erase(Oldest);
}

bool isNewer(const WatcherStatus &A, const WatcherStatus &B) {
  if (A.Start != B.Start)
    return A.Start > B.Start;
  return A.Age < B.Age;
}

} // namespace

bool noteWatch(WatchTable &Table, const Watcher &Who, Incarnation Start,
               ConfigVersion InForce, Time Now) {
  auto [Found, New] =
      Table.Records.try_emplace(Who, WatchRecord{Start, InForce, Now});
  if (!New && Start < Found->second.Start)
    return false;
  Found->second = {Start, InForce, Now};
  if (Table.Records.size() > MaxWatchers)
    forgetOldest(Table);
  return true;
}

std::vector<WatcherStatus> report(const WatchTable &Table, Time Now) {
  std::vector<WatcherStatus> Result;
  for (const auto &[Who, Record] : Table.Records)
    Result.push_back(
        {Who, Record.Start, Record.InForce, Now - Record.LastSeen, false});
  return Result;
}

void mergeWatchers(std::vector<WatcherStatus> &Into,
                   const std::vector<WatcherStatus> &Other) {
  std::map<Watcher, WatcherStatus> Merged;
  auto Take = [&](const WatcherStatus &Status) {
    auto [Found, New] = Merged.try_emplace(Status.Who, Status);
    if (!New && isNewer(Status, Found->second))
      Found->second = Status;
  };
  std::for_each(Into.begin(), Into.end(), Take);
  std::for_each(Other.begin(), Other.end(), Take);
  Into.clear();
  for (auto &[Who, Status] : Merged)
    Into.push_back(std::move(Status));
}

void addNeverSeen(std::vector<WatcherStatus> &Into,
                  const std::vector<VmId> &Expected, Duration Uptime) {
  for (const VmId &Vm : Expected) {
    bool Seen =
        std::any_of(Into.begin(), Into.end(), [&](const WatcherStatus &Status) {
          return Status.Who.Vm == Vm;
        });
    if (!Seen)
      Into.push_back({{Vm, ""}, {}, {}, Uptime, true});
  }
}

bool ledgerSeen(const std::vector<WatcherStatus> &Reports, const VmId &Vm,
                Duration Within) {
  return std::any_of(
      Reports.begin(), Reports.end(), [&](const WatcherStatus &Status) {
        return Status.Who.Vm == Vm && Status.Age <= Within &&
               Status.Who.Process.find(LedgerProcess) != std::string::npos;
      });
}

} // namespace geraniumbay::control
