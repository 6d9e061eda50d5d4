//===- killworld.h - Entries that are killed and frozen ---------*- C++ -*-===//
//
// Real coordinators, claims and ledgers of a test, with faked pools, workers
// and callers around them, on one paused clock. Its network and its processes
// are those of the ledger's tests. One submission is sent again and again.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_TESTS_KILLWORLD_H
#define GERANIUMBAY_ENTRY_TESTS_KILLWORLD_H

#include "entry/internal/coordinator.h"
#include "entry/internal/ledgerclaims.h"
#include "ledger/tests/cluster.h"

#include <set>

namespace geraniumbay::entry {

class KillWorld;

/// The loop of an entry process, and what names this start of it.
struct ProcessRef {
  std::size_t Entry = 0;
  std::uint64_t Start = 0;

  auto operator<=>(const ProcessRef &) const = default; // NOLINT
};

/// The pools as one entry reaches them.
class WorldPools : public dispatch::IPoolClient {
public:
  WorldPools(KillWorld &World, ITimers &Timers, ProcessRef Self)
      : World_(World), Timers_(Timers), Self_(Self) {}

  void acquire(dispatch::PoolRequest Request, LeaseCallback OnLease,
               RejectCallback OnReject) override;
  void cancel(const dispatch::RequestId &Request) override;
  void release(const dispatch::Lease &Held, dispatch::LeaseOutcome Outcome,
               Duration Ran) override;

  /// Grants what was asked for and held back, by messages to the entry.
  void grantAll();
  /// Leases that were handed out and not given back.
  std::size_t leasesOut() const { return Out_.size(); }

private:
  struct Waiting {
    std::uint32_t Tasks = 0;
    LeaseCallback OnLease;
    RejectCallback OnReject;
  };

  void decide(const dispatch::RequestId &Id);

  KillWorld &World_;
  ITimers &Timers_;
  const ProcessRef Self_;
  std::map<dispatch::RequestId, Waiting> Waiting_;
  std::set<dispatch::LeaseId> Out_;
  std::uint64_t LastLease_ = 0;
};

/// The connections of one entry to the workers.
class WorldHttp : public IHttpClient {
public:
  WorldHttp(KillWorld &World, ITimers &Timers, ProcessRef Self)
      : World_(World), Timers_(Timers), Self_(Self) {}

  HttpCallId call(const Endpoint &To, HttpRequest Request, Duration Timeout,
                  Callback Done) override;
  void cancel(HttpCallId Id) override { Open_.erase(Id); }
  void finish(HttpCallId Id, const Outcome<HttpResponse> &Answer);
  /// Resets all connections; the workers may have got the tasks.
  void resetAll();

private:
  KillWorld &World_;
  ITimers &Timers_;
  const ProcessRef Self_;
  std::map<HttpCallId, Callback> Open_;
  std::uint64_t Last_ = 0;
};

/// Hands everything on to the real claims, and notes whether the ledger's word
/// about the latest claim has come.
class NotingClaims : public IClaims {
public:
  explicit NotingClaims(IClaims &Real) : Real_(Real) {}

  void claim(const Submission &Request, ClaimCallback Done) override;
  void record(const Submission &Request, const Result &Answer, Time GiveUpAt,
              RecordCallback Done) override;
  void release(const Submission &Request) override { Real_.release(Request); }

  /// The ledger has said how the submission stands.
  bool Heard = false;
  int Records = 0;

private:
  IClaims &Real_;
};

/// One start of one entry.
struct EntryProcess {
  EntryProcess(KillWorld &World, ProcessRef Self);

  WorldPools Pools;
  WorldHttp Http;
  Upstream Workers;
  LedgerClaims Ledger;
  NotingClaims Claims;
  ExtraMessages Extra;
  Metrics Measured;
  Tracer Spans;
  Coordinator Submissions;

private:
  EntryProcess(KillWorld &World, ledger::TestProcess &Own, ProcessRef Self);
};

/// One submission of the caller and what it was told.
struct Told {
  std::size_t Entry = 0;
  std::optional<Result> Answer;
  /// Starts of tasks before the answer.
  int StartsBefore = 0;
};

/// The test system.
class KillWorld {
public:
  static constexpr std::size_t Ledgers = 2;
  static constexpr std::size_t Entries = 3;

  explicit KillWorld(std::uint64_t Seed = 1);

  /// Sends the submission to a running entry; returns its place in All.
  std::size_t submit(std::size_t Entry,
                     Duration Patience = std::chrono::seconds(4));
  /// Sends it, waits, and sends it again as long as it is told to come back.
  Result askUntilFinal(std::size_t Entry);

  void kill(std::size_t Entry);
  void restart(std::size_t Entry);
  void freeze(std::size_t Entry) { Net.freeze(processOf(Entry)); }
  void thaw(std::size_t Entry) { Net.thaw(processOf(Entry)); }
  bool runs(std::size_t Entry) const { return Processes_[Entry] != nullptr; }
  /// Whether the entry takes requests now.
  bool serves(std::size_t Entry);
  void cutFromLedgers(std::size_t Entry, bool Cut);
  void stallDisks(bool Stalled);
  /// Ends every failure; entries that were killed are started.
  void heal();
  EntryProcess &entry(std::size_t Entry) { return *Processes_[Entry]; }

  /// Answers the oldest task that a worker holds.
  void answerOne();
  void answerAll();

  int starts() const;
  std::size_t heldTasks() const { return Tasks_.size(); }
  /// The answer that the ledger has now, of a submission that is claimed;
  /// nothing if there is none.
  std::optional<Result> recorded();
  /// The first thing that must never happen and did, or an empty text.
  std::string violation() const { return Violation_; }

  static std::size_t processOf(std::size_t Entry) { return Ledgers + Entry; }
  /// The process of workers and pools.
  static constexpr std::size_t Platform = Ledgers + Entries;

  ledger::Cluster Net;
  Submission Request;
  std::vector<Told> All;
  std::map<std::string, int> Starts;
  /// What pools and workers do.
  bool HoldGrants = false;
  bool GrantAfterCancel = false;
  bool Overloaded = false;
  bool HoldAnswers = false;
  std::uint64_t RefusePercent = 0;
  Duration RunTime = std::chrono::milliseconds(50);

private:
  friend class WorldHttp;

  struct CallRef {
    ProcessRef From;
    HttpCallId Id;

    auto operator<=>(const CallRef &) const = default; // NOLINT
  };
  struct HeldTask {
    CallRef Call;
    std::string Id;
    std::string Payload;
  };

  void toWorker(const CallRef &Call, const HttpRequest &Sent);
  void arrive(const CallRef &Call, const HttpRequest &Sent);
  void startTask(const CallRef &Call, const std::string &Id,
                 const std::string &Payload);
  void finishTask(const CallRef &Call);
  void answer(const CallRef &Call, const HttpResponse &Response);
  void tell(std::size_t Index, const Result &Answer);
  void checkAnswer(const Told &Now);
  void checkStart(const std::string &Id);
  void fail(const std::string &Why);

  std::vector<std::unique_ptr<EntryProcess>> Processes_;
  /// Calls that reached a worker; a repeated message is no second call.
  std::set<CallRef> Seen_;
  std::vector<HeldTask> Tasks_;
  std::string Violation_;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_TESTS_KILLWORLD_H
