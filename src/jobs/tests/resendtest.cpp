//===- resendtest.cpp - Jobs that are resent while entries are paused -----===//
//
// Callers' connections are reset, and each caller resends its job at once, to
// the same entry or to another, while entries are paused, crash and restart.
// Each data centre has several pools, some of which have no free capacity and
// refuse. No task may have two concurrent runs.
//
//===----------------------------------------------------------------------===//

#include "jobs/tests/entryfake.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::jobs {
namespace {

using namespace std::chrono_literals;

/// The parameters of a random scenario.
struct PlaySettings {
  bool ByRack = true;
  int EntriesEach = 4;
  int WorkersEach = 9;
  int RacksEach = 3;
  /// The percentage of steps that pause entries, reset callers, crash or
  /// restart an entry, or cut or rejoin the network.
  std::uint64_t DelayPercent = 20;
  std::uint64_t ResetPercent = 40;
  std::uint64_t CrashPercent = 0;
  std::uint64_t CutPercent = 0;
};

/// A random scenario of some seconds with jobs whose callers resend them.
class ResendPlay {
public:
  ResendPlay(std::uint64_t Seed, const PlaySettings &Settings)
      : Settings_(Settings), Rng_(Seed),
        Fake_(Settings.EntriesEach, Settings.WorkersEach, Seed,
              Settings.RacksEach) {
    Fake_.Workers.TaskTime = std::chrono::milliseconds(50 + Rng_.below(700));
  }

  void play() {
    if (Settings_.ByRack)
      Fake_.settleByRack();
    else
      Fake_.settle();
    constexpr int Steps = 80;
    for (int Step = 0; Step < Steps; ++Step) {
      for (std::uint64_t I = Rng_.below(3); I > 0; --I)
        submitNew();
      if (Rng_.below(100) < Settings_.DelayPercent)
        delaySome();
      if (Rng_.below(100) < Settings_.ResetPercent)
        resetSome();
      if (Rng_.below(100) < Settings_.CrashPercent)
        crashOrStart();
      if (Rng_.below(100) < Settings_.CutPercent)
        cutOrJoin();
      Fake_.run(Duration(5'000 + Rng_.below(40'000)));
    }
    Fake_.join();
    if (Down_)
      Fake_.start(*Down_);
    Fake_.run(6s);
  }

  const std::set<TaskId> &doubled() const { return Fake_.Workers.Doubled; }

  /// Whether every entry serves once all faults have ended.
  bool allServe() {
    std::vector<std::shared_ptr<Submitted>> Jobs;
    for (std::size_t I = 0; I < Fake_.Entries.size(); ++I) {
      Jobs.push_back(Fake_.submit(I, "last" + std::to_string(I), 1));
      Fake_.run(300ms);
    }
    Fake_.run(2s);
    return std::all_of(Jobs.begin(), Jobs.end(), served);
  }

private:
  /// A caller with an open connection.
  struct Caller {
    std::string Job;
    std::uint32_t Tasks = 1;
    std::size_t At = 0;
    std::shared_ptr<std::shared_ptr<Submitted>> Given;
  };

  bool isUp(std::size_t Entry) const {
    return Fake_.Entries[Entry].Jobs != nullptr;
  }

  /// An entry of the data centre of \p Like.
  std::size_t entryNear(std::size_t Like) {
    auto Each = static_cast<std::size_t>(Settings_.EntriesEach);
    std::size_t First = Like / Each * Each;
    std::size_t Result = First + Rng_.below(Each);
    return isUp(Result) ? Result : First + (Result - First + 1) % Each;
  }

  void send(const std::string &Job, std::uint32_t Tasks, std::size_t At) {
    Caller New{Job, Tasks, At, std::make_shared<std::shared_ptr<Submitted>>()};
    Callers_.push_back(New);
    Fake_.Turns.run(Fake_.Entries[At].At.Address, [this, New] {
      if (isUp(New.At))
        *New.Given = Fake_.submit(New.At, New.Job, New.Tasks);
    });
  }

  void submitNew() {
    auto Tasks = static_cast<std::uint32_t>(1 + Rng_.below(4));
    send("job" + std::to_string(++LastJob_), Tasks,
         entryNear(Rng_.below(Fake_.Entries.size())));
  }

  void delaySome() {
    for (std::uint64_t I = 1 + Rng_.below(2); I > 0; --I)
      Fake_.Turns.delay(
          Fake_.Entries[Rng_.below(Fake_.Entries.size())].At.Address,
          Duration(10'000 + Rng_.below(390'000)));
  }

  /// The entry notices a reset once it isn't paused; the caller resends its job
  /// at once.
  void resetSome() {
    std::vector<Caller> Reset;
    std::erase_if(Callers_, [&](const Caller &Each) {
      bool Answered = *Each.Given && (*Each.Given)->Answer;
      bool Hit = !Answered && Rng_.below(2) == 0;
      if (Hit)
        Reset.push_back(Each);
      return Answered || Hit;
    });
    for (const Caller &Each : Reset) {
      // Some resets are never noticed by the entry.
      if (Rng_.below(4) != 0)
        Fake_.Turns.run(Fake_.Entries[Each.At].At.Address,
                        [Given = Each.Given] {
                          if (*Given)
                            (*Given)->Abandon();
                        });
      Fake_.Timers.after(Duration(1'000 + Rng_.below(20'000)), [this, Each] {
        send(Each.Job, Each.Tasks, entryNear(Each.At));
      });
    }
  }

  void crashOrStart() {
    if (Down_) {
      Fake_.start(*Down_);
      Down_.reset();
      return;
    }
    Down_ = Rng_.below(Fake_.Entries.size());
    Fake_.crash(*Down_);
    for (Caller &Each : Callers_)
      if (Each.At == Down_ && !(*Each.Given && (*Each.Given)->Answer)) {
        Fake_.Timers.after(
            Duration(1'000 + Rng_.below(1'300'000)),
            [this, Each] { send(Each.Job, Each.Tasks, entryNear(Each.At)); });
      }
    std::erase_if(Callers_,
                  [&](const Caller &Each) { return Each.At == Down_; });
  }

  void cutOrJoin() {
    IsCut_ = !IsCut_;
    if (IsCut_)
      Fake_.cutDataCentre(Rng_.below(2) == 0);
    else
      Fake_.join();
  }

  const PlaySettings Settings_;
  Random Rng_;
  EntryFake Fake_;
  std::vector<Caller> Callers_;
  std::uint64_t LastJob_ = 0;
  std::optional<std::size_t> Down_;
  bool IsCut_ = false;
};

void expectNoTaskRunsTwice(const PlaySettings &Settings, std::uint64_t Seeds) {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ResendPlay Play(Seed, Settings);
    Play.play();
    EXPECT_TRUE(Play.doubled().empty()) << "seed " << Seed;
    EXPECT_TRUE(Play.allServe()) << "seed " << Seed;
  }
}

// Guards against two pools running the same job: its caller's connection was
// reset, and an entry whose attempt one pool had refused sent the job to
// another pool, while the first pool was serving a later attempt.
TEST(ResendTest, AJobSentAgainToLateEntriesRunsAtOnePool) {
  expectNoTaskRunsTwice(PlaySettings{}, 20);
}

// The same while owners are lost and their pools change hands.
TEST(ResendTest, AJobSentAgainWhileOwnersChangeRunsAtOnePool) {
  PlaySettings Settings;
  Settings.CrashPercent = 15;
  expectNoTaskRunsTwice(Settings, 20);
}

// The same with a single pool, whose owner is replaced while it is paused, and
// continues afterwards.
TEST(ResendTest, AJobSentAgainWhileTheOwnerIsPausedRunsOnce) {
  PlaySettings Settings;
  Settings.ByRack = false;
  Settings.CrashPercent = 5;
  expectNoTaskRunsTwice(Settings, 20);
}

} // namespace
} // namespace geraniumbay::jobs
