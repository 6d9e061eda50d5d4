//===- cluster.h - Ledgers, entries and control of a test -------*- C++ -*-===//
//
// Ledger processes on fake disks, entries' clients and a stand-in for control,
// joined by a network that loses, repeats and delays messages, all on one
// paused clock and from one seed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_TESTS_CLUSTER_H
#define GERANIUMBAY_LEDGER_TESTS_CLUSTER_H

#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "framework/storage/fakestorage.h"
#include "ledger/internal/ledgerclient.h"
#include "ledger/internal/ledgerservice.h"

#include <set>

namespace geraniumbay::ledger {

class Cluster;

/// One process of the test: a ledger or an entry.
class TestProcess : public IRpcClient, public IRpcServer {
public:
  TestProcess(Cluster &Owner, std::size_t Number);

  void call(const Endpoint &To, const std::string &Method, Json::Value Params,
            Duration Timeout, Callback Done) override;
  void method(const std::string &Name, Method Handle) override {
    Methods[Name] = std::move(Handle);
  }

  Cluster &Owner;
  const std::size_t Number;
  const Endpoint At;
  FakeStorage Disk;
  /// Made anew by a crash.
  std::optional<TimerQueue> Timers;
  std::map<std::string, Method> Methods;
  std::unique_ptr<LedgerService> Ledger;
  std::unique_ptr<LedgerClient> Client;
  /// Counts the starts; messages to an earlier start are lost.
  std::uint64_t Start = 0;
  bool Frozen = false;
  std::vector<std::function<void()>> Backlog;
};

/// The whole test system. Ledgers are 0 .. Ledgers-1, entries follow.
class Cluster {
public:
  Cluster(std::size_t Ledgers, std::size_t Entries, std::uint64_t Seed);

  TestProcess &at(std::size_t Number) { return *Processes_[Number]; }
  std::size_t size() const { return Processes_.size(); }
  std::size_t ledgerCount() const { return Ledgers_; }
  VmId vm(std::size_t Number) const { return VmId(std::to_string(Number)); }

  /// Stops a process; its disk loses what was not synced.
  void crash(std::size_t Number);
  /// Starts it (again).
  void start(std::size_t Number);
  void freeze(std::size_t Number) { at(Number).Frozen = true; }
  void thaw(std::size_t Number);
  void setCut(std::size_t A, std::size_t B, bool Cut);
  void healAll();

  /// Lets \p Length pass in steps of 10 ms.
  void run(Duration Length);
  /// Runs until \p Condition, at most \p Limit. Returns whether it came true.
  bool runUntil(const std::function<bool()> &Condition,
                Duration Limit = std::chrono::seconds(60));
  /// The ledger that is the primary of control's view and knows it, or null.
  TestProcess *primary();
  /// Whether the view has \p Count members and all of them know it.
  bool hasMembers(std::size_t Count);

  /// Carries a claim out and returns its outcome.
  Outcome<ClaimReply> claim(std::size_t Entry, const std::string &Submission,
                            const std::string &Digest = "d",
                            Duration Patience = std::chrono::seconds(5));
  Outcome<std::string> record(std::size_t Entry, const std::string &Submission,
                              const std::string &Answer);
  Outcome<Done> release(std::size_t Entry, const std::string &Submission);
  /// An id of the current epoch.
  std::string issue(std::uint64_t Number) const;

  void send(TestProcess &From, std::size_t To,
            const std::function<void(TestProcess &)> &Deliver);
  void propose(const ViewProposal &Wish);

  ManualClock Clock;
  Random Numbers;
  LedgerConfig Config;
  /// Control's state: the view and the members whose disks are lost.
  LedgerView View;
  std::vector<LedgerMember> Lost;
  /// Processes that control can't reach, and that can't reach it.
  std::set<std::size_t> WithoutControl;
  /// Processes whose proposals arrive but that hear nothing of control.
  std::set<std::size_t> WithoutViews;
  /// Processes whose syncs do not complete.
  std::set<std::size_t> StalledDisks;
  /// Chances in percent.
  std::uint64_t Loss = 0;
  std::uint64_t Repeats = 0;
  std::uint64_t Late = 0;

private:
  bool happens(std::uint64_t Percent) { return Numbers.below(100) < Percent; }
  bool change(const ViewProposal &Wish);
  void handOutView();

  const std::size_t Ledgers_;
  TimerQueue Wire_;
  std::vector<std::unique_ptr<TestProcess>> Processes_;
  std::set<std::pair<std::size_t, std::size_t>> Cuts_;
  Time LastHandOut_;
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_TESTS_CLUSTER_H
