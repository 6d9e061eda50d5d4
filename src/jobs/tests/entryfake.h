//===- entryfake.h - Entries and a control VM on a fake network -*- C++ -*-===//
//
// Complete entries on a manual clock, with a control VM that sends them the
// lists of entries and workers, and a network that can be partitioned, with
// messages dropped silently or connections refused.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_TESTS_ENTRYFAKE_H
#define GERANIUMBAY_JOBS_TESTS_ENTRYFAKE_H

#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "jobs/internal/entryjobs.h"
#include "jobs/tests/fakeworkers.h"

namespace geraniumbay::jobs {

/// Pauses the processes of hosts: their timers and incoming messages wait.
class FakeTurns {
public:
  FakeTurns(const IClock &Clock, ITimers &Timers)
      : Clock_(Clock), Timers_(Timers) {}

  /// Pauses \p Host for at least \p For from now.
  void delay(const std::string &Host, Duration For);
  /// Runs \p Due once \p Host isn't paused, at once if possible.
  void run(const std::string &Host, std::function<void()> Due);

private:
  const IClock &Clock_;
  ITimers &Timers_;
  std::map<std::string, Time> NextTurn_;
};

/// The timers of one host.
class FakeHostTimers : public ITimers {
public:
  FakeHostTimers(ITimers &Timers, FakeTurns &Turns, std::string Host)
      : Timers_(Timers), Turns_(Turns), Host_(std::move(Host)) {}

  TimerId after(Duration Delay, Callback Run) override {
    return Timers_.after(
        Delay, [this, Run = std::move(Run)] { Turns_.run(Host_, Run); });
  }
  void cancel(TimerId Id) override { Timers_.cancel(Id); }

private:
  ITimers &Timers_;
  FakeTurns &Turns_;
  const std::string Host_;
};

/// RPCs between processes, with a delay of a millisecond each way.
class FakePeerNet {
public:
  FakePeerNet(const IClock &Clock, ITimers &Timers, FakeTurns &Turns,
              WorkerFaults &Faults)
      : Clock_(Clock), Timers_(Timers), Turns_(Turns), Faults_(Faults) {}

  void call(const Endpoint &From, const Endpoint &To, const std::string &Method,
            const Json::Value &Params, Duration Timeout,
            IRpcClient::Callback Done);

  std::map<Endpoint, std::map<std::string, IRpcServer::Method>> Servers;
  /// The rate at which a host's processes write their answers, one after the
  /// other. A host without an entry writes them instantly.
  std::map<std::string, double> BytesPerMilli;
  /// Calls so far, by method.
  std::map<std::string, std::uint64_t> Sent;
  /// Called with each answer and its method.
  std::function<void(const std::string &, const Outcome<Json::Value> &)>
      Answered;
  /// Connections across a cut are refused rather than timing out.
  bool CutsRefuse = false;

private:
  /// The time until the answer is written, including those queued before it.
  Duration writingTime(const Endpoint &By, const Outcome<Json::Value> &Answer);

  const IClock &Clock_;
  ITimers &Timers_;
  FakeTurns &Turns_;
  WorkerFaults &Faults_;
  std::map<std::string, Time> BusyUntil_;
};

class FakePeerRpc : public IRpcServer, public IRpcClient {
public:
  FakePeerRpc(FakePeerNet &Net, Endpoint Self)
      : Net_(Net), Self_(std::move(Self)) {}

  void method(const std::string &Name, Method Handle) override {
    Net_.Servers[Self_][Name] = std::move(Handle);
  }
  void call(const Endpoint &To, const std::string &Method, Json::Value Params,
            Duration Timeout, Callback Done) override {
    if (Dead)
      return;
    Net_.call(Self_, To, Method, Params, Timeout, std::move(Done));
  }

  /// The process has ended: its remaining callbacks send nothing.
  bool Dead = false;

private:
  FakePeerNet &Net_;
  Endpoint Self_;
};

/// Parses any document as a single queue at /q/.
RetVal<Routing> readOneQueue(const std::string &Document);

/// One entry.
struct FakeEntry {
  Endpoint At;
  std::unique_ptr<FakeHostTimers> Timers;
  std::unique_ptr<FakePeerRpc> Rpc;
  std::unique_ptr<FakeWorkerCalls> Workers;
  std::unique_ptr<EntryJobs> Jobs;
};

/// The result of a submitted job.
struct Submitted {
  std::optional<JobAnswer> Answer;
  std::function<void()> Abandon;
};

/// Whether the caller was told that the job has completed.
bool served(const std::shared_ptr<Submitted> &Job);

/// Two data centres "a" and "b" with entries 10.0.1.x and 10.0.2.x and workers
/// 10.1.1.x and 10.1.2.x in some racks each, and one control VM 10.0.9.1.
class EntryFake {
public:
  EntryFake(int EntriesEach, int WorkersEach, std::uint64_t Seed = 1,
            int RacksEach = 2);

  /// The control VM has divided the workers into pools by rack.
  bool ByRack = false;
  /// The control VM does not know all workers yet.
  bool ListIsPartial = false;
  /// What the entries can do; unknown if they are not named here.
  std::map<Endpoint, scheduling::VmCapacity> Capacities;
  /// The leader's term of the list of workers that the control VM sends.
  std::uint64_t ListTerm = 1;

  void run(Duration For);
  /// Runs until one entry owns the pool and all others know it.
  void settle();
  /// Runs until each rack's pool has an owner that all entries know.
  void settleByRack();
  std::shared_ptr<Submitted> submit(std::size_t Entry, const std::string &Job,
                                    std::uint32_t Tasks = 2,
                                    bool Stored = false,
                                    const std::string &PreferredRack = "");
  /// Ends the process; start() restarts it without its state.
  void crash(std::size_t Entry);
  void start(std::size_t Entry);
  /// Simulates a power loss: all entries end and the control VM loses its
  /// state; then the entries start one by one, at random intervals.
  void losePower(Random &Rng);
  /// Cuts data centre "a" off from "b" and the control VM; join() reconnects
  /// it.
  void cutDataCentre(bool Refuses);
  /// Control drops the workers of data centre "a", as it does after 8 s without
  /// an announcement, or lists them again.
  void listWorkersOfA(bool Listed);
  void join();
  /// The entries that own a pool.
  std::vector<std::size_t> owners() const;
  const Endpoint &controlAddress() const { return Control_; }
  const std::vector<WorkerInfo> &announced() const { return Announced_; }
  /// What the workers announce from now on, by their index in the list.
  std::vector<WorkerInfo> &announcements() { return Announced_; }

  ManualClock Clock;
  TimerQueue Timers{Clock};
  WorkerFaults Faults;
  FakeWorkers Workers{Clock, Timers, Faults};
  FakeTurns Turns{Clock, Timers};
  FakePeerNet Net{Clock, Timers, Turns, Faults};
  Metrics Measured;
  std::vector<FakeEntry> Entries;
  bool ControlAway = false;

private:
  void startControl();
  /// Each rack is a pool of its own.
  Json::Value rackGroups() const;

  /// Ended processes, kept alive since timers still refer to them.
  std::vector<FakeEntry> Ended_;
  Endpoint Control_{"10.0.9.1", 7000};
  std::unique_ptr<FakePeerRpc> ControlRpc_;
  std::vector<WorkerInfo> Announced_;
  /// Data centres whose workers control has dropped.
  std::set<DataCentreId> Dropped_;
  Json::Value ReportedOwners_{Json::objectValue};
  /// Entries that have called the control VM, with their data centres.
  std::map<std::string, std::string> KnownEntries_;
  std::set<std::string> HostsInA_;
  std::set<std::string> OtherHosts_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_TESTS_ENTRYFAKE_H
