//===- workertable.cpp - The workers that this entry owns -----------------===//
//
// Takes in announcements, newest first.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/workertable.h"

namespace geraniumbay::membership {

Acceptance takeAnnouncement(WorkerTable &Table,
                            const WorkerAnnouncement &Announcement, Time Now) {
  auto [Found, Fresh] = Table.try_emplace(Announcement.Worker);
  WorkerRecord &Record = Found->second;
  const Revision &Known = Record.Newest.Version;
  if (!Fresh && Announcement.Version == Known)
    return Acceptance::Duplicate;
  if (!Fresh && Announcement.Version < Known)
    return Acceptance::Stale;
  Record.Newest = Announcement;
  Record.HeardAt = Now;
  Record.Serving = Announcement.State == WorkerState::Serving;
  return Acceptance::Taken;
}

bool markGone(WorkerTable &Table, const WorkerId &Worker) {
  auto Found = Table.find(Worker);
  if (Found == Table.end() || !Found->second.Serving)
    return false;
  Found->second.Serving = false;
  return true;
}

std::vector<WorkerId>
servingWorkers(const WorkerTable &Table,
               const std::function<bool(const WorkerRecord &)> &Matches) {
  std::vector<WorkerId> Workers;
  for (const auto &[Worker, Record] : Table) {
    if (Record.Serving && Matches(Record))
      Workers.push_back(Worker);
  }
  return Workers;
}

void forgetWorkers(WorkerTable &Table, Duration Memory, Time Now) {
  std::erase_if(Table, [&](const auto &Item) {
    return !Item.second.Serving && Now - Item.second.HeardAt >= Memory;
  });
}

} // namespace geraniumbay::membership
