//===- endrecordstest.cpp - Ends of runs and the log ----------------------===//
//
// An end of a stored task may be acknowledged to its worker only once it is in
// the log: until then the next owner learns of it from the worker alone, and
// would start the task again. The log is stalled here, as at a leader that is
// cut off from the other members, while ends that need no record follow.
//
//===----------------------------------------------------------------------===//

#include "jobs/tests/schedulerfake.h"

#include <rapidcheck/gtest.h>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

Job named(Job New, const std::string &Id) {
  New.Id = JobId(Id);
  return New;
}

void runTransient(Scheduler &Owner, const Job &New) {
  TransientRequest Request;
  Request.TimeLeft = 5s;
  Owner.run(New, Request, [](const Outcome<TransientEnd> & /*Ended*/) {
    // The tests look at the workers.
  });
}

class EndRecords : public SchedulerFake {
protected:
  const TaskId StoredTask_{JobId("stored"), 0, 0};

  EndRecords() { Workers.TaskTime = 100ms; }

  /// Accepts the stored job "stored" and stalls the log once its task runs.
  void startStored(Scheduler &Owner) {
    run(50ms);
    Owner.accept(named(job(false), "stored"),
                 [](const Outcome<Done> &Was) { ASSERT_TRUE(Was); });
    run(50ms);
    ASSERT_EQ(Workers.running(), 1U);
    Log.stall();
  }

  /// The next owner has nothing of what was not committed.
  void replaceOwner(std::unique_ptr<Scheduler> &Owner) {
    Owner.reset();
    Log.dropUncommitted();
    Owner = owner(2, true, {First});
    run(1s);
  }

  void expectOneRun() {
    EXPECT_EQ(Log.Jobs.store().Jobs.at(JobId("stored")).State,
              JobState::Completed);
    EXPECT_TRUE(Workers.RepeatedAfterEnd.empty());
    EXPECT_TRUE(Workers.Doubled.empty());
  }
};

// Guards against a stored task that runs again under the next owner since the
// end of a transient one was taken as a record of all ends before it.
TEST_F(EndRecords, AnUnrecordedEndIsNotAcknowledgedWithALaterTransientOne) {
  auto Owner = owner(1, true, {First});
  startStored(*Owner);
  runTransient(*Owner, named(job(true), "transient"));
  run(300ms);
  EXPECT_EQ(Workers.Starts, 2U);
  EXPECT_EQ(Workers.running(), 0U);
  EXPECT_EQ(Workers.Acknowledged.count(StoredTask_), 0U);
  replaceOwner(Owner);
  EXPECT_EQ(Workers.Starts, 2U);
  expectOneRun();
}

// The same with a run that was stopped, whose end needs no record either.
TEST_F(EndRecords, AnUnrecordedEndIsNotAcknowledgedWithALaterStoppedRun) {
  auto Owner = owner(1, true, {First});
  startStored(*Owner);
  runTransient(*Owner, named(job(true), "transient"));
  run(80ms);
  ASSERT_EQ(Workers.running(), 1U);
  Owner->dropWaiter(JobId("transient"), WaiterId());
  run(300ms);
  EXPECT_EQ(Workers.running(), 0U);
  EXPECT_EQ(Workers.Acknowledged.count(StoredTask_), 0U);
  replaceOwner(Owner);
  expectOneRun();
}

// Guards against ends that are listed for ever: those that need no record are
// acknowledged too once the batch before them is in the log.
TEST_F(EndRecords, AllEndsAreAcknowledgedOnceTheBatchIsInTheLog) {
  auto Owner = owner(1, true, {First});
  startStored(*Owner);
  runTransient(*Owner, named(job(true), "transient"));
  run(300ms);
  EXPECT_NE(Workers.unacknowledgedEnds(), 0U);
  Log.resume();
  run(100ms);
  EXPECT_EQ(Workers.unacknowledgedEnds(), 0U);
  expectOneRun();
}

// The same where the worker was dropped and listed again meanwhile, so that two
// batches contain the end.
TEST_F(EndRecords, AnUnrecordedEndIsNotAcknowledgedInTheNextSession) {
  auto Owner = owner(1, true, {First});
  startStored(*Owner);
  run(100ms);
  ASSERT_EQ(Workers.unacknowledgedEnds(), 1U);
  Directory = WorkerDirectory();
  Owner->applyWorkers(Directory);
  announceTo(*Owner, {First});
  runTransient(*Owner, named(job(true), "transient"));
  run(300ms);
  EXPECT_EQ(Workers.Acknowledged.count(StoredTask_), 0U);
  Log.resume();
  run(100ms);
  EXPECT_EQ(Workers.unacknowledgedEnds(), 0U);
  replaceOwner(Owner);
  expectOneRun();
}

// Guards against a task that starts again while its end is on its way into the
// log: a loss of the same task, which is recorded before it, frees only itself.
TEST_F(EndRecords, ATaskWaitsForItsEndWhenItsLossIsInTheLogBefore) {
  auto Owner = owner(1, true, {First, Second});
  startStored(*Owner);
  Faults.Cut.insert({"10.0.1.1", "10.1.1.1"});
  Faults.Cut.insert({"10.0.1.1", "10.1.1.2"});
  run(1500ms);
  Faults.Cut.clear();
  run(1s);
  ASSERT_EQ(Workers.unacknowledgedEnds(), 1U);
  Log.commitOldest();
  run(50ms);
  EXPECT_EQ(Workers.Starts, 1U);
  Log.resume();
  run(100ms);
  EXPECT_EQ(Workers.Starts, 1U);
  EXPECT_EQ(Workers.unacknowledgedEnds(), 0U);
  expectOneRun();
}

/// Stored and transient jobs under successive owners, of which each may be cut
/// off from the log, from a worker, or both, at any time.
class EndRecordsPlay : private SchedulerSetup {
public:
  explicit EndRecordsPlay(std::uint64_t Seed, std::size_t EndsPerAnswer = 500)
      : Rng_(Seed) {
    Workers.EndsPerAnswer = EndsPerAnswer;
    Workers.TaskTime = 60ms;
    Workers.FailPercent = 10;
    Owner_ = owner(1, true, {First, Second});
    run(50ms);
  }

  void play() {
    constexpr int Steps = 120;
    for (int Step = 0; Step < Steps; ++Step) {
      act();
      run(Duration(Rng_.below(60'000)));
    }
    Faults.Cut.clear();
    changeOwner();
    run(5s);
  }

  /// Whether a task of a stored job broke the rules.
  bool repeatedStored() const {
    auto IsStored = [&](const TaskId &Task) {
      return Stored_.count(Task.Job) != 0;
    };
    return !Workers.Doubled.empty() ||
           std::any_of(Workers.RepeatedAfterEnd.begin(),
                       Workers.RepeatedAfterEnd.end(), IsStored);
  }

  bool allAcceptedEnded() const {
    return std::all_of(Accepted_.begin(), Accepted_.end(),
                       [&](const JobId &Id) {
                         const Job *Found = findJob(Log.Jobs.store(), Id);
                         return Found && Found->State != JobState::Active;
                       });
  }

  std::size_t accepted() const { return Accepted_.size(); }

private:
  void act() {
    switch (Rng_.below(10)) {
    case 0:
      return Log.stall();
    case 1:
      return Log.resume();
    case 2:
      return changeOwner();
    case 3:
      if (!Faults.Cut.insert({"10.0.1.1", "10.1.1.1"}).second)
        Faults.Cut.clear();
      return;
    default:
      break;
    }
    Job New =
        named(job(Rng_.below(2) == 0), "job" + std::to_string(++LastJob_));
    if (New.Spec.Transient)
      return runTransient(*Owner_, New);
    Stored_.insert(New.Id);
    Owner_->accept(New, [this, Id = New.Id](const Outcome<Done> &Was) {
      if (Was)
        Accepted_.insert(Id);
    });
  }

  /// The next owner has all or nothing of what the log held back, and nothing
  /// of what is on its way to it.
  void changeOwner() {
    if (Rng_.below(2) == 0)
      Log.resume();
    Owner_.reset();
    Log.dropUncommitted();
    Owner_ = owner(++Token_, Rng_.below(2) == 0, {First, Second});
  }

  Random Rng_;
  std::uint64_t Token_ = 1;
  std::uint64_t LastJob_ = 0;
  std::set<JobId> Stored_;
  std::set<JobId> Accepted_;
  std::unique_ptr<Scheduler> Owner_;
};

RC_GTEST_PROP(EndRecordsProperties, NoStoredTaskRunsAgainAfterItsEnd, ()) {
  EndRecordsPlay Play(*rc::gen::inRange<std::uint64_t>(1, 1'000'000));
  Play.play();
  RC_ASSERT(!Play.repeatedStored());
  RC_ASSERT(Play.accepted() > 0U);
  RC_ASSERT(Play.allAcceptedEnded());
}

// The same where workers list so few ends that most answers hide some.
RC_GTEST_PROP(EndRecordsProperties, NoStoredTaskRunsAgainWhileItsEndIsHidden,
              ()) {
  EndRecordsPlay Play(*rc::gen::inRange<std::uint64_t>(1, 1'000'000),
                      *rc::gen::inRange<std::size_t>(1, 4));
  Play.play();
  RC_ASSERT(!Play.repeatedStored());
  RC_ASSERT(Play.accepted() > 0U);
  RC_ASSERT(Play.allAcceptedEnded());
}

} // namespace
} // namespace geraniumbay::jobs
