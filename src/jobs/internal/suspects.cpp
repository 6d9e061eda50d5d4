//===- suspects.cpp - Findings about crashing tasks -----------------------===//

#include "jobs/internal/suspects.h"

#include "jobs/internal/jobmessages.h"
#include "jobs/internal/jobwire.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {
constexpr std::size_t MaxJobsPerMessage = 32;

} // namespace

SuspectTask &findOrAddRow(std::vector<SuspectTask> &Tasks, std::uint32_t Step,
                          std::uint32_t Index) {
  auto Found =
      std::find_if(Tasks.begin(), Tasks.end(), [&](const SuspectTask &Each) {
        return Each.Step == Step && Each.Index == Index;
      });
  if (Found != Tasks.end())
    return *Found;
  return Tasks.emplace_back(SuspectTask{Step, Index, {}});
}

void merge(std::vector<SuspectTask> &Into,
           const std::vector<SuspectTask> &Other) {
  for (const SuspectTask &Each : Other)
    scheduling::merge(findOrAddRow(Into, Each.Step, Each.Index).Suspicion,
                      Each.Suspicion);
}

void merge(SuspectsByJob &Into, const SuspectsByJob &Other) {
  for (const auto &[Id, Reported] : Other) {
    RememberedSuspects &Kept = Into[Id];
    Kept.Since = std::max(Kept.Since, Reported.Since);
    merge(Kept.Tasks, Reported.Tasks);
  }
}

void forgetOld(SuspectsByJob &Suspects, Time Now) {
  std::erase_if(Suspects, [&](const auto &Entry) {
    return Now - Entry.second.Since >= SuspectRetention;
  });
}

namespace wire {

Json::Value write(const SuspectsByJob &Suspects, Time Now) {
  using Entry = SuspectsByJob::value_type;
  std::vector<const Entry *> Latest;
  for (const Entry &Each : Suspects)
    Latest.push_back(&Each);
  std::sort(Latest.begin(), Latest.end(),
            [](const Entry *One, const Entry *Other) {
              return One->second.Since > Other->second.Since;
            });
  Latest.resize(std::min(Latest.size(), MaxJobsPerMessage));
  Json::Value Result;
  for (const Entry *Each : Latest) {
    Json::Value &Row = Result[Each->first.value()];
    Row["age_us"] = Json::Int64((Now - Each->second.Since).count());
    Row["tasks"] = write(Each->second.Tasks);
  }
  return Result;
}

SuspectsByJob readSuspectsByJob(const Json::Value &From, Time Now) {
  SuspectsByJob Result;
  if (!From.isObject())
    return Result;
  for (const std::string &Name : From.getMemberNames()) {
    const Json::Value &Row = From[Name];
    if (!Row.isObject())
      continue;
    auto Tasks = attempt([&] { return readSuspects(Row["tasks"]); });
    Duration Age(static_cast<Duration::rep>(numberOf(Row, "age_us")));
    if (Tasks && Age < SuspectRetention)
      Result[JobId(Name)] = {Now - Age, std::move(*Tasks)};
  }
  return Result;
}

} // namespace wire
} // namespace geraniumbay::jobs
