//===- entryservice.cpp - The entry role of a process ---------------------===//
//
// Puts the parts of the entry together.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/entryservice.h"

#include "framework/log/log.h"

namespace geraniumbay::entry {

EntryService::EntryService(const EntryNeeds &Needs)
    : Numbers_(Needs.Numbers), Self_(Needs.Self), Workers_(Needs.Http),
      Submissions_(RunnerServices{
          Needs.Clock, Needs.Timers, Needs.Pools, Needs.Claims, Workers_,
          [this] { return dispatch::RequestId(freshId()); }, Extra_,
          Needs.Measured, Needs.Spans}),
      Cancels_(Submissions_, Needs.Members, Needs.Server, Needs.Client),
      Api_(
          Needs.Callers, Submissions_, Cancels_, Needs.Clock, Config_,
          KeySource{Needs.IssueKey, [this] { return SubmissionId(freshId()); }},
          Needs.Measured, Needs.Spans) {}

void EntryService::setConfig(EntryConfig Config) {
  if (Config.Version <= Config_.Version)
    return;
  Config_ = std::move(Config);
  Extra_.Weight =
      Config_.Document->Rule.Weight == inventory::MessageWeight::Messages
          ? dispatch::MessageWeight::Messages
          : dispatch::MessageWeight::Response;
  logEvent(LogLevel::Info, "entry", "config_in_force",
           {{"version", Config_.Version}});
}

std::string EntryService::freshId() {
  // 128 random bits: no counter has to survive a restart.
  return Self_.value() + "-" + std::to_string(Numbers_.bits()) + "-" +
         std::to_string(Numbers_.bits());
}

} // namespace geraniumbay::entry
