//===- entryfake.h - Entries and a control VM on a fake net -----*- C++ -*-===//
//
// Whole entries on a paused clock, with a control VM that tells them of each
// other and of the workers, and a net that can be cut, silently or with resets.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_TESTS_ENTRYFAKE_H
#define GERANIUMBAY_JOBS_TESTS_ENTRYFAKE_H

#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"
#include "jobs/internal/entryjobs.h"
#include "jobs/tests/fakeworkers.h"

namespace geraniumbay::jobs {

/// Hosts whose processes get no turn: what is due there, or comes there, waits.
class FakeTurns {
public:
  FakeTurns(const IClock &Clock, ITimers &Timers)
      : Clock_(Clock), Timers_(Timers) {}

  /// \p Host gets its next turn \p For from now at the earliest.
  void delay(const std::string &Host, Duration For);
  /// Runs \p Due in the next turn of \p Host: now, if it gets one.
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

/// Calls between processes, a millisecond each way.
class FakePeerNet {
public:
  FakePeerNet(const IClock &Clock, ITimers &Timers, FakeTurns &Turns,
              WorkerFaults &Faults)
      : Clock_(Clock), Timers_(Timers), Turns_(Turns), Faults_(Faults) {}

  void call(const Endpoint &From, const Endpoint &To, const std::string &Method,
            const Json::Value &Params, Duration Timeout,
            IRpcClient::Callback Done);

  std::map<Endpoint, std::map<std::string, IRpcServer::Method>> Servers;
  /// How fast the processes of a host write their answers, one after the other;
  /// at once if it is not named.
  std::map<std::string, double> BytesPerMilli;
  /// Calls so far, by method.
  std::map<std::string, std::uint64_t> Sent;
  /// Is told of each answer, by method.
  std::function<void(const std::string &, const Outcome<Json::Value> &)>
      Answered;
  /// A cut refuses connections in the name of the other side.
  bool CutsRefuse = false;

private:
  /// How long the answer waits for those before it and is written itself.
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

  /// The process has ended: what is left of it sends nothing.
  bool Dead = false;

private:
  FakePeerNet &Net_;
  Endpoint Self_;
};

/// Reads any document as one queue at /q/.
RetVal<Routing> readOneQueue(const std::string &Document);

/// One entry.
struct FakeEntry {
  Endpoint At;
  std::unique_ptr<FakeHostTimers> Timers;
  std::unique_ptr<FakePeerRpc> Rpc;
  std::unique_ptr<FakeWorkerCalls> Workers;
  std::unique_ptr<EntryJobs> Jobs;
};

/// What became of a submitted job.
struct Submitted {
  std::optional<JobAnswer> Answer;
  std::function<void()> Abandon;
};

/// The job was run and its caller told that it is completed.
bool served(const std::shared_ptr<Submitted> &Job);

/// Two data centres "a" and "b" with entries 10.0.1.x and 10.0.2.x and workers
/// 10.1.1.x and 10.1.2.x in some racks each, and one control VM 10.0.9.1.
class EntryFake {
public:
  EntryFake(int EntriesEach, int WorkersEach, std::uint64_t Seed = 1,
            int RacksEach = 2);

  /// Control has divided the workers by racks.
  bool ByRack = false;
  /// Control does not know all workers yet.
  bool ListIsPartial = false;
  /// Of which leader's term the list of workers is that control tells.
  std::uint64_t ListTerm = 1;

  void run(Duration For);
  /// Runs until one entry owns the pool and all others follow it.
  void settle();
  /// Runs until each rack's pool has an owner that all hear of.
  void settleByRack();
  std::shared_ptr<Submitted> submit(std::size_t Entry, const std::string &Job,
                                    std::uint32_t Tasks = 2,
                                    bool Stored = false,
                                    const std::string &PreferredRack = "");
  /// Ends the process; start() brings it back without what it knew.
  void crash(std::size_t Entry);
  void start(std::size_t Entry);
  /// All entries end, and control forgets them; they start one by one, each
  /// some time after the one before.
  void losePower(Random &Rng);
  /// Cuts data centre "a" from "b" and from the control VM, or joins them.
  void cutDataCentre(bool Refuses);
  void join();
  /// The entries that own a pool.
  std::vector<std::size_t> owners() const;
  const Endpoint &controlAddress() const { return Control_; }
  const std::vector<WorkerInfo> &announced() const { return Announced_; }
  /// What workers announce from now on, by their place in the list.
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
  void offerControl();
  /// Each rack is a pool of its own.
  Json::Value rackGroups() const;

  /// Ended processes, whose timers still refer to them.
  std::vector<FakeEntry> Ended_;
  Endpoint Control_{"10.0.9.1", 7000};
  std::unique_ptr<FakePeerRpc> ControlRpc_;
  std::vector<WorkerInfo> Announced_;
  Json::Value OwnersTold_{Json::objectValue};
  /// The entries that have asked control, with their data centres.
  std::map<std::string, std::string> Asked_;
  std::set<std::string> HostsOfA_;
  std::set<std::string> HostsElsewhere_;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_TESTS_ENTRYFAKE_H
