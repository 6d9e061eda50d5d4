//===- jobtest.cpp - Tests of the coordinator of a submission -------------===//
//
// Random interleavings of claims, leases, task ends, deadlines and cancels,
// with what must always hold as invariants; and each step of a job by name.
//
//===----------------------------------------------------------------------===//

#include "entry/internal/job.h"

#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace geraniumbay::entry {
namespace {

using dispatch::Lease;
using dispatch::LeaseId;
using dispatch::RejectReason;

Submission makeRequest(std::size_t Tasks) {
  Submission Request;
  Request.Id = SubmissionId("key");
  Request.Payloads.assign(Tasks, "payload");
  return Request;
}

Lease makeLease(std::uint64_t Id) {
  Lease Held;
  Held.Id = LeaseId(Id);
  return Held;
}

template <typename ActionT> std::vector<ActionT> pick(const JobActions &All) {
  std::vector<ActionT> Found;
  for (const JobAction &Action : All)
    if (const auto *Wanted = std::get_if<ActionT>(&Action))
      Found.push_back(*Wanted);
  return Found;
}

/// A worker and a caller around one job: keeps count of what the job asked for.
class JobWorld {
public:
  explicit JobWorld(std::size_t Tasks) {
    apply(startJob(State, makeRequest(Tasks)));
  }

  void apply(const JobActions &Actions) {
    for (const JobAction &Action : Actions)
      std::visit([this](const auto &Asked) { note(Asked); }, Action);
  }

  void lease() {
    std::uint64_t Id = ++LastLease;
    Held.insert(Id);
    apply(onLease(State, makeLease(Id)));
  }

  Job State;
  /// How often each task was sent and not proved unstarted.
  std::map<std::uint32_t, int> Starts;
  /// Tasks that run at a worker now.
  std::map<std::uint32_t, Lease> Running;
  std::set<std::uint64_t> Held;
  std::uint64_t LastLease = 0;
  std::uint32_t Acquired = 0;
  bool ClaimReleased = false;
  std::optional<Result> Recording;
  std::vector<Result> Replies;

private:
  void note(const ClaimAction & /*Action*/) {}
  void note(const AcquireAction &Action) { Acquired += Action.Tasks; }
  void note(const CancelAcquireAction & /*Action*/) { Acquired = 0; }
  void note(const StartAction &Action) {
    ++Starts[Action.Task.value()];
    Running[Action.Task.value()] = Action.Held;
  }
  void note(const StopAction &Action) {
    Running.erase(Action.Task.value());
    Held.erase(Action.Held.Id.value());
  }
  void note(const ReleaseLeaseAction &Action) {
    ASSERT_EQ(Held.erase(Action.Held.Id.value()), 1U) << "released twice";
  }
  void note(const RecordAction &Action) { Recording = Action.Answer; }
  void note(const ReleaseClaimAction & /*Action*/) { ClaimReleased = true; }
  void note(const ReplyAction &Action) { Replies.push_back(Action.Answer); }
};

void endRandomTask(JobWorld &World) {
  auto Chosen = World.Running.begin();
  std::advance(Chosen, *rc::gen::inRange<std::size_t>(0, World.Running.size()));
  TaskEvent Event;
  Event.Task = TaskIndex(Chosen->first);
  Event.End = *rc::gen::weightedElement<TaskEnd>({{20, TaskEnd::Succeeded},
                                                  {2, TaskEnd::NotStarted},
                                                  {2, TaskEnd::Refused},
                                                  {1, TaskEnd::Failed},
                                                  {1, TaskEnd::Unknown}});
  Event.Text = "answer";
  if (Event.End == TaskEnd::NotStarted || Event.End == TaskEnd::Refused)
    --World.Starts[Chosen->first];
  World.Running.erase(Chosen);
  World.apply(onTaskEnd(World.State, Event));
}

ClaimEvent randomClaim() {
  Result Earlier;
  Earlier.Answers = {"earlier"};
  return *rc::gen::weightedElement<ClaimEvent>(
      {{8, ClaimGranted{}},
       {1, ClaimAnswered{Earlier}},
       {1, ClaimRefused{notRun(FailureReason::LedgerUnavailable, "away")}}});
}

/// Feeds \p World one random event.
void step(JobWorld &World) {
  switch (*rc::gen::weightedElement<int>(
      {{6, 0}, {6, 1}, {2, 2}, {1, 3}, {1, 4}, {1, 5}, {1, 6}})) {
  case 0:
    if (World.Acquired > 0) {
      --World.Acquired;
      World.lease();
    }
    break;
  case 1:
    if (!World.Running.empty())
      endRandomTask(World);
    break;
  case 2:
    World.apply(onClaim(World.State, randomClaim()));
    break;
  case 3:
    World.apply(onRejected(
        World.State,
        {*rc::gen::element(RejectReason::Overloaded, RejectReason::Lost),
         std::chrono::seconds(1)}));
    break;
  case 4:
    World.apply(*rc::gen::arbitrary<bool>() ? onDeadline(World.State)
                                            : onAbandoned(World.State));
    break;
  case 5:
    World.apply(onCancel(World.State));
    break;
  default:
    if (World.Recording)
      World.apply(onRecorded(World.State, *World.Recording));
    break;
  }
}

void checkAnswer(const JobWorld &World, const Result &Answer) {
  int Started = 0;
  for (const auto &Task : World.Starts)
    Started += Task.second;
  if (!Answer.complete() && Answer.DidRun == Ran::No)
    RC_ASSERT(Started == 0);
  bool Earlier = Answer.Answers == std::vector<std::string>{"earlier"};
  if (Answer.complete() && !Earlier)
    RC_ASSERT(Answer.Answers.size() == World.State.Tasks.size());
  if (Started > 0)
    RC_ASSERT(World.Recording.has_value());
}

RC_GTEST_PROP(JobTest, HoldsItsPromisesUnderAnyInterleaving, ()) {
  JobWorld World(*rc::gen::inRange<std::size_t>(1, 6));
  for (int Step = 0; Step < 60; ++Step) {
    bool Granted = World.State.Phase >= JobPhase::Running;
    step(World);
    for (const auto &Task : World.Starts)
      RC_ASSERT(Task.second <= 1);
    if (!Granted && World.State.Phase == JobPhase::Starting)
      RC_ASSERT(World.Starts.empty());
    RC_ASSERT(World.Replies.size() <= 1);
  }
  if (World.State.Phase == JobPhase::Over) {
    RC_ASSERT(World.Replies.size() == 1);
    RC_ASSERT(World.Held.empty());
    checkAnswer(World, World.Replies.front());
  }
}

TEST(JobTest, NoTaskStartsBeforeTheClaimIsGranted) {
  JobWorld World(2);
  World.lease();
  World.lease();
  EXPECT_TRUE(World.Starts.empty());
  World.apply(onClaim(World.State, ClaimGranted{}));
  EXPECT_EQ(World.Starts.size(), 2U);
}

TEST(JobTest, TheAnswerIsRecordedBeforeTheCallerGetsIt) {
  JobWorld World(1);
  World.lease();
  World.apply(onClaim(World.State, ClaimGranted{}));
  World.apply(onTaskEnd(World.State, {TaskIndex(0), TaskEnd::Succeeded, "a"}));
  ASSERT_TRUE(World.Recording.has_value());
  EXPECT_TRUE(World.Replies.empty());
  World.apply(onRecorded(World.State, *World.Recording));
  ASSERT_EQ(World.Replies.size(), 1U);
  EXPECT_EQ(World.Replies[0].Answers, std::vector<std::string>{"a"});
}

TEST(JobTest, TheRecordedAnswerGoesBeforeTheOwnOne) {
  JobWorld World(1);
  World.lease();
  World.apply(onClaim(World.State, ClaimGranted{}));
  World.apply(onTaskEnd(World.State, {TaskIndex(0), TaskEnd::Succeeded, "a"}));
  Result Fenced = mayHaveRun(FailureReason::CoordinatorLost, "fenced");
  World.apply(onRecorded(World.State, Fenced));
  EXPECT_EQ(World.Replies.at(0), Fenced);
}

TEST(JobTest, AResubmissionGetsTheEarlierAnswerAndStartsNothing) {
  JobWorld World(1);
  World.lease();
  Result Earlier;
  Earlier.Answers = {"earlier"};
  World.apply(onClaim(World.State, ClaimAnswered{Earlier}));
  EXPECT_EQ(World.Replies.at(0), Earlier);
  EXPECT_TRUE(World.Starts.empty());
  EXPECT_FALSE(World.ClaimReleased);
  EXPECT_TRUE(World.Held.empty());
}

TEST(JobTest, ARefusedTaskGoesToAnotherWorker) {
  JobWorld World(1);
  World.lease();
  World.apply(onClaim(World.State, ClaimGranted{}));
  World.apply(onTaskEnd(World.State, {TaskIndex(0), TaskEnd::Refused, ""}));
  EXPECT_FALSE(World.State.StartedAny);
  World.lease();
  EXPECT_EQ(World.Running.size(), 1U);
}

TEST(JobTest, ATaskWithoutAnAnswerIsNeverSentAgain) {
  JobWorld World(2);
  World.lease();
  World.apply(onClaim(World.State, ClaimGranted{}));
  World.apply(onTaskEnd(World.State, {TaskIndex(0), TaskEnd::Unknown, ""}));
  ASSERT_TRUE(World.Recording.has_value());
  EXPECT_EQ(World.Recording->DidRun, Ran::Maybe);
  EXPECT_FALSE(World.ClaimReleased);
}

TEST(JobTest, AShedJobIsToldNotRunAtOnceWithARetryAfter) {
  JobWorld World(2);
  World.apply(onClaim(World.State, ClaimGranted{}));
  World.apply(onRejected(World.State,
                         {RejectReason::Overloaded, std::chrono::seconds(2)}));
  ASSERT_EQ(World.Replies.size(), 1U);
  EXPECT_EQ(World.Replies[0].DidRun, Ran::No);
  EXPECT_EQ(World.Replies[0].RetryAfter, Duration(std::chrono::seconds(2)));
  EXPECT_TRUE(World.ClaimReleased);
}

TEST(JobTest, AnAbandonedJobThatStartedGoesOn) {
  JobWorld World(1);
  World.lease();
  World.apply(onClaim(World.State, ClaimGranted{}));
  World.apply(onAbandoned(World.State));
  EXPECT_EQ(World.Running.size(), 1U);
}

TEST(JobTest, WorkersThatRefuseForEverEndTheJobUnrun) {
  JobWorld World(1);
  World.apply(onClaim(World.State, ClaimGranted{}));
  for (std::uint32_t I = 0; I <= MaxReacquiresPerTask; ++I) {
    ASSERT_TRUE(World.Replies.empty());
    World.lease();
    World.apply(onTaskEnd(World.State, {TaskIndex(0), TaskEnd::Refused, ""}));
  }
  ASSERT_EQ(World.Replies.size(), 1U);
  EXPECT_EQ(World.Replies[0].DidRun, Ran::No);
}

} // namespace
} // namespace geraniumbay::entry
