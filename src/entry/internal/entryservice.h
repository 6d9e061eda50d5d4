//===- entryservice.h - The entry role of a process -------------*- C++ -*-===//
//
// Puts the parts of the entry together and gives them the configuration.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_ENTRYSERVICE_H
#define GERANIUMBAY_ENTRY_INTERNAL_ENTRYSERVICE_H

#include "entry/ientry.h"
#include "entry/internal/callerapi.h"
#include "framework/random/random.h"

namespace geraniumbay::entry {

/// What the entry needs of the process. All of it outlives the entry.
struct EntryNeeds {
  const IClock &Clock;
  ITimers &Timers;
  IHttpServer &Callers;
  IHttpClient &Http;
  dispatch::IPoolClient &Pools;
  IClaims &Claims;
  const membership::IMembership &Members;
  IRpcServer &Server;
  IRpcClient &Client;
  Random &Numbers;
  Metrics &Measured;
  Tracer &Spans;
  /// This VM's name, the first part of the ids that it makes up.
  VmId Self;
  /// Issues ids of submissions that are claimed at the local data centre.
  std::function<Outcome<SubmissionId>()> IssueKey;
};

/// The entry of this process.
class EntryService : public IEntry {
public:
  explicit EntryService(const EntryNeeds &Needs);

  void setConfig(EntryConfig Config) override;
  void drain() override { Api_.drain(); }
  std::size_t running() const override { return Submissions_.running(); }

private:
  /// An id that no other entry, and no other start of this one, makes up.
  std::string freshId();

  Random &Numbers_;
  const VmId Self_;
  EntryConfig Config_;
  ExtraMessages Extra_;
  Upstream Workers_;
  Coordinator Submissions_;
  CancelRelay Cancels_;
  CallerApi Api_;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_ENTRYSERVICE_H
