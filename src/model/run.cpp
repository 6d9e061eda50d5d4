//===- run.cpp - One run of the model -------------------------------------===//
//
// The callers: they send requests, wait for answers, come back when told to,
// and give up when the scene says so.
//
//===----------------------------------------------------------------------===//

#include "model/run.h"

#include "model/internal/cluster.h"

#include <cmath>
#include <map>

namespace geraniumbay::model {
namespace {

/// How often a caller comes back.
constexpr std::uint32_t MaxReturns = 2;
/// After the load ends, time until every request must be answered.
constexpr Duration Drain = std::chrono::seconds(40);

/// All callers of a run.
class Callers {
public:
  Callers(World &Shared, Cluster &Asked, std::uint64_t Seed)
      : Shared_(Shared), Asked_(Asked), Load_(Shared.Played, Seed),
        Numbers_(Seed + 1) {}

  void start() {
    const Scene &Played = Shared_.Played;
    arriveFrom(Played.Load, Played.Length, -1);
    Shared_.Timers.after(Played.FaultAt, [this, Played] {
      if (Played.TeamBurst > 0)
        arriveFrom(Played.TeamBurst, Played.FaultEnd, 0);
      if (Played.Burst > 0)
        arriveFrom(Played.Burst, Played.FaultEnd, -1);
      cancelWave(Played.Cancelled);
    });
  }

private:
  /// Sends requests at random times until \p Until, making up \p Load.
  void arriveFrom(double Load, Duration Until, int Team) {
    constexpr double MicrosPerSecond = 1e6;
    const Deployment &Deployed = Shared_.Deployed;
    double Slots =
        static_cast<double>(Deployed.Workers) * Deployed.SlotsPerWorker;
    double Gap = Load_.meanWork() / (Load * Slots);
    double Wait = -std::log(1 - Numbers_.unit()) * Gap;
    Shared_.Timers.after(
        Duration(static_cast<Duration::rep>(Wait * MicrosPerSecond)),
        [this, Load, Until, Team] {
          if (elapsed(Shared_) >= Until)
            return;
          send(Load_.draw(Team));
          arriveFrom(Load, Until, Team);
        });
  }

  void send(const Submission &What) {
    std::size_t Entry = Numbers_.below(Shared_.Deployed.Entries);
    Time SentAt = Shared_.Clock.now();
    if (counts(SentAt)) {
      ++Shared_.Measured.Requests;
      Shared_.Measured.Returns += What.Returns > 0 ? 1 : 0;
    }
    Shared_.Timers.after(Shared_.Deployed.ToClient, [=, this] {
      std::uint64_t Key = ++LastKey_;
      std::uint64_t Id =
          Asked_.entry(Entry).submit(What, [=, this](const Answer &Of) {
            Open_.erase(Key);
            Shared_.Timers.after(Shared_.Deployed.ToClient,
                                 [=, this] { answered(What, SentAt, Of); });
          });
      Open_[Key] = {Entry, Id};
    });
  }

  bool counts(Time SentAt) const {
    Duration At = SentAt - Shared_.Start;
    return At >= Shared_.Played.MeasureFrom && At < Shared_.Played.Length;
  }

  void answered(const Submission &What, Time SentAt, const Answer &Of) {
    if (Of.What == Answer::Kind::NotRun)
      comeBack(What, Of.RetryAfter);
    if (!counts(SentAt))
      return;
    constexpr double MicrosPerMilli = 1000;
    Duration Took = Shared_.Clock.now() - SentAt;
    Measurement &Measured = Shared_.Measured;
    switch (Of.What) {
    case Answer::Kind::Complete:
      complete(What, Took);
      break;
    case Answer::Kind::Failed:
      ++Measured.Failed;
      break;
    case Answer::Kind::NotRun:
      ++Measured.NotRun;
      Measured.NotRunMillis.add(static_cast<double>(Took.count()) /
                                MicrosPerMilli);
      break;
    case Answer::Kind::Cancelled:
      ++Measured.Cancelled;
    }
  }

  void complete(const Submission &What, Duration Took) {
    Measurement &Measured = Shared_.Measured;
    const Deployment &Deployed = Shared_.Deployed;
    Duration Ideal =
        2 * (Deployed.ToClient + Deployed.InsideCentre) + longestRun(What);
    double Ratio =
        static_cast<double>(Took.count()) / static_cast<double>(Ideal.count());
    ++Measured.Complete;
    Measured.ReturnsComplete += What.Returns > 0 ? 1 : 0;
    Measured.Responses[static_cast<std::size_t>(What.Class)].add(Ratio);
    if (What.Team != 0 && What.Kind != dispatch::RequestKind::Job)
      Measured.CalmTeams.add(Ratio);
  }

  void comeBack(Submission What, Duration RetryAfter) {
    if (RetryAfter <= Duration(0) || ++What.Returns > MaxReturns ||
        elapsed(Shared_) + RetryAfter >= Shared_.Played.Length)
      return;
    Shared_.Timers.after(RetryAfter, [this, What] { send(What); });
  }

  void cancelWave(double Part) {
    std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> Now = Open_;
    for (const auto &[Key, Where] : Now)
      if (Numbers_.unit() < Part)
        Asked_.entry(Where.first).cancel(Where.second);
  }

  World &Shared_;
  Cluster &Asked_;
  Workload Load_;
  /// The callers' own, so that all policies see the same arrivals.
  Random Numbers_;
  /// Entry and id of the requests without an answer.
  std::map<std::uint64_t, std::pair<std::size_t, std::uint64_t>> Open_;
  std::uint64_t LastKey_ = 0;
};

/// Advances the clock from timer to timer.
void advanceTo(World &Shared, Time End) {
  while (true) {
    std::optional<Time> Next = Shared.Timers.nextDue();
    if (!Next || *Next > End)
      return;
    if (*Next > Shared.Clock.now())
      Shared.Clock.advance(*Next - Shared.Clock.now());
    Shared.Timers.runDue();
  }
}

} // namespace

Measurement run(const Deployment &Deployed, const Scene &Played,
                const Policy &Decided, std::uint64_t Seed) {
  World Shared(Deployed, Played, Decided, Seed);
  Shared.Measured.Deployment = Deployed.Name;
  Shared.Measured.Scene = Played.Name;
  Shared.Measured.Policy = Decided.Name;
  Cluster Asked(Shared);
  Callers All(Shared, Asked, Seed + 1);
  All.start();
  advanceTo(Shared, Shared.Start + Played.Length + Drain);
  Asked.finish();
  return std::move(Shared.Measured);
}

} // namespace geraniumbay::model
