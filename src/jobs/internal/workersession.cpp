//===- workersession.cpp - Scheduler state of one worker ------------------===//
//
// Leases, clock estimates and the processing of hold answers.
//
//===----------------------------------------------------------------------===//

#include "jobs/internal/workersession.h"

#include <algorithm>

namespace geraniumbay::jobs {

namespace {

constexpr int Percent = 100;
/// Initial backoff of a distrusted worker. It doubles with each further
/// failure, up to 6.4 s. Faults of workers typically last a few seconds.
constexpr Duration FirstDistrustPause = std::chrono::milliseconds(400);
constexpr std::uint32_t MaxDoublings = 4;

/// Workers announce themselves every 1.5 s, and announcements arrive by way of
/// control.
constexpr Duration AnnouncementDelay = std::chrono::milliseconds(2500);
/// Well above the few milliseconds in which a worker answers an order.
constexpr Duration UsualAnswerTime = std::chrono::milliseconds(50);

void noteEndsKnown(WorkerSession &Session, WorkerMillis Before) {
  Session.EndsKnownBefore = std::max(Session.EndsKnownBefore, Before);
}

/// The timing of a run whose end is in an answer from \p ListedAt. A worker
/// answers a waiting hold as soon as a run ends.
RunTiming timingOf(const Run &Ended, WorkerMillis ListedAt, Time Now) {
  Duration SinceOrder = Now - Ended.Since;
  if (!Ended.StartedAt)
    return {SinceOrder, Ended.Expected};
  Duration AtWorker = std::clamp<Duration>(
      std::chrono::milliseconds(ListedAt.value() - Ended.StartedAt->value()),
      Duration(0), SinceOrder);
  return {AtWorker, Ended.Expected};
}

void applyEnds(WorkerSession &Session, const HoldAnswer &Answer,
               HoldFindings &Out, Time Now) {
  for (const EndedTask &End : Answer.Ended) {
    if (End.Number <= Session.LastProcessedEnd)
      continue;
    Out.Ended.push_back(End);
    auto Found = Session.Runs.find(End.Task);
    if (Found == Session.Runs.end() || Found->second.Number > End.Run)
      continue;
    // The ends before the run still existed have lower numbers.
    if (Found->second.Number == End.Run)
      noteEndsKnown(Session, Found->second.ExistedAt);
    if (Found->second.Number == End.Run && !Found->second.Adopted)
      Out.RunTimings[End.Task] = timingOf(Found->second, Answer.Clock, Now);
    removeRun(Session, End.Task);
  }
  for (const EndedTask &End : Out.Ended)
    Session.LastProcessedEnd = std::max(Session.LastProcessedEnd, End.Number);
}

void applyRunning(WorkerSession &Session, const HoldAnswer &Answer,
                  HoldFindings &Out) {
  for (const RunningTask &Each : Answer.Running) {
    auto Found = Session.Runs.find(Each.Task);
    if (Found == Session.Runs.end() || Found->second.Number != Each.Run) {
      Out.Found.push_back(Each);
      continue;
    }
    Found->second.Confirmed = true;
    Found->second.ExistedAt = Answer.Clock;
    Found->second.AbsentSince.reset();
  }
}

/// Notes the runs that an answer with all running tasks does not list.
void noteAbsentRuns(WorkerSession &Session, WorkerMillis ListedAt,
                    HoldFindings &Out) {
  for (auto &[Task, Each] : Session.Runs) {
    if (ListedAt <= Each.ListedAfter || ListedAt <= Each.ExistedAt ||
        Each.AbsentSince)
      continue;
    Each.AbsentSince = ListedAt;
    ++Out.NewlyAbsent;
  }
}

/// Drops the runs that the worker does not list if all ends from before are
/// known. \p AllEndsKnown: also those from before this answer.
void dropMissing(WorkerSession &Session, bool AllEndsKnown, HoldFindings &Out) {
  for (const auto &[Task, Each] : Session.Runs) {
    if (!Each.AbsentSince)
      continue;
    if (AllEndsKnown || *Each.AbsentSince < Session.EndsKnownBefore)
      Out.Missing.push_back({Task, Each.Number, *Each.AbsentSince});
    else
      ++Out.MaybeEnded;
  }
  for (const MissingRun &Each : Out.Missing)
    removeRun(Session, Each.Task);
}

/// Notes a list of all running tasks. \p AllEndsKnown: also the ends from
/// before it are known.
void noteRunList(WorkerSession &Session, const WorkerSession::RunList &List,
                 bool AllEndsKnown) {
  Session.RunsKnown = true;
  if (AllEndsKnown) {
    Session.ProvenListSentAt =
        std::max(Session.ProvenListSentAt.value_or(Time()), List.SentAt);
    Session.UnprovenList.reset();
  } else if (!Session.UnprovenList) {
    Session.UnprovenList = List;
  }
}

} // namespace

const char *startResultName(StartResult Result) {
  switch (Result) {
  case StartResult::Started:
    return "started";
  case StartResult::Fenced:
    return "fenced";
  case StartResult::OutOfOrder:
    return "out_of_order";
  case StartResult::Late:
    return "late";
  case StartResult::NoCapacity:
    return "no_room";
  case StartResult::Replaced:
    return "gone";
  case StartResult::Unhealthy:
    return "unhealthy";
  case StartResult::Invalid:
    return "invalid";
  case StartResult::NotReceived:
    return "not_received";
  case StartResult::Unknown:
    return "unknown";
  }
  return "unknown";
}

bool isRecordingEnds(const WorkerSession &Session) {
  return !Session.UnrecordedBatches.empty();
}

std::uint64_t lastRecordedEnd(const WorkerSession &Session) {
  if (!isRecordingEnds(Session))
    return Session.LastProcessedEnd;
  return Session.UnrecordedBatches.begin()->second - 1;
}

AnsweredBy answeredBy(const WorkerSession &Session, const HoldAnswer &Answer) {
  WorkerStart Known = Session.Info.StartedAt;
  if (Answer.StartedAt == WorkerStart() || Known == WorkerStart() ||
      Answer.StartedAt == Known)
    return AnsweredBy::SameIncarnation;
  return Answer.StartedAt < Known ? AnsweredBy::EarlierIncarnation
                                  : AnsweredBy::LaterIncarnation;
}

void beginIncarnation(WorkerSession &Session, WorkerStart StartedAt, Time Now) {
  WorkerSession New;
  New.Info = std::move(Session.Info);
  New.Info.StartedAt = StartedAt;
  New.Info.Draining = false;
  New.Info.Sequence = 0;
  New.Info.Clock = WorkerMillis();
  New.ClockReadAt = Now;
  New.Runs = std::move(Session.Runs);
  New.BusySince = Session.BusySince;
  New.Used = Session.Used;
  New.LeaseEnds = Session.LeaseEnds;
  New.HoldSerial = Session.HoldSerial;
  New.Evacuated = Session.Evacuated;
  New.Unannounced = true;
  for (auto &[Task, Each] : New.Runs) {
    Each.Confirmed = false;
    Each.Revoking = true;
    // Excluded from the pace; its stop is repeated with each hold answer.
    Each.Stopping = true;
    Each.ListedAfter = WorkerMillis(INT64_MAX);
    // Readings of the earlier incarnation's clock.
    Each.ExistedAt = WorkerMillis();
    Each.AbsentSince.reset();
    Each.StartedAt.reset();
  }
  Session = std::move(New);
}

Duration leaseBound(const LeaseSettings &Settings, Duration Length) {
  return Length * Percent / (Percent - Settings.SlowClockPercent) +
         Settings.KillTime;
}

Duration leaseBound(const LeaseSettings &Settings) {
  return leaseBound(Settings, Settings.LongestLease);
}

WorkerMillis leaseUntil(const WorkerSession &Session,
                        const LeaseSettings &Settings, Duration Length,
                        Time Now) {
  Duration Passed = (Now - Session.ClockReadAt) *
                    (Percent - Settings.SlowClockPercent) / Percent;
  auto Millis = std::chrono::floor<std::chrono::milliseconds>(Passed + Length);
  return WorkerMillis(Session.ClockReading.value() + Millis.count());
}

void noteLease(WorkerSession &Session, const LeaseSettings &Settings,
               Duration Length, Time Now) {
  Session.LeaseEnds =
      std::max(Session.LeaseEnds, Now + leaseBound(Settings, Length));
}

Duration orderValidity(const WorkerSession &Session,
                       const LeaseSettings &Settings,
                       const scheduling::CallTiming &Timing, Time Now) {
  bool Renewed =
      Session.RenewedAt && Now - *Session.RenewedAt < Settings.FreshLease;
  if (!Renewed || Session.Runs.empty())
    return Settings.LongestLease;
  return scheduling::orderValidity(Timing, Settings.MinOrderValidity,
                                   Settings.LongestLease);
}

bool isHoldOverdue(const WorkerSession &Session, const LeaseSettings &Settings,
                   Time Now) {
  return Session.HoldInFlight && !Session.HoldResent &&
         Now - Session.HoldSent >=
             Session.RequestedHoldWait + Settings.RepeatAfter;
}

bool isHoldTooLong(const WorkerSession &Session, const LeaseSettings &Settings,
                   Time Now) {
  Time Began = std::max(Session.HoldSent, Session.BusySince);
  return Session.HoldInFlight && !Session.Runs.empty() &&
         Session.RequestedHoldWait > Settings.HoldWait &&
         Now - Began >= Settings.HoldWait;
}

Duration nextHoldWait(const WorkerSession &Session,
                      const LeaseSettings &Settings,
                      const scheduling::CallTiming &Timing, Time Now) {
  if (Session.Runs.empty())
    return Settings.IdleHoldWait;
  return scheduling::losesAnswers(Timing, Now) ? Settings.LossyHoldWait
                                               : Settings.HoldWait;
}

bool hasUnansweredStart(const WorkerSession &Session, Time Now) {
  return std::any_of(Session.Runs.begin(), Session.Runs.end(),
                     [&](const auto &Entry) {
                       const Run &Each = Entry.second;
                       return !Each.Confirmed && !Each.Adopted &&
                              Now - Each.Since >= UsualAnswerTime;
                     });
}

void noteClockReading(WorkerSession &Session, WorkerMillis ClockReading,
                      Time Now) {
  if (ClockReading < Session.ClockReading)
    return;
  Session.ClockReading = ClockReading;
  Session.ClockReadAt = Now;
}

bool noteClock(WorkerSession &Session, WorkerMillis Clock, Time Now) {
  noteClockReading(Session, Clock, Now);
  if (Clock < Session.Clock)
    return false;
  Session.Clock = Clock;
  return true;
}

bool acceptsWorkFor(const WorkerSession &Session, const ServiceId &Service) {
  return Session.RunsKnown && !Session.Silent && !Session.HasForeignRuns &&
         !Session.HasUnknownRuns && !Session.Info.Draining &&
         !Session.Evacuated && !Session.Unlisted && !Session.Unannounced &&
         Session.Info.Service == Service;
}

namespace {

Resources sumOf(const Resources &First, const Resources &Second) {
  return {First.CpuMillis + Second.CpuMillis, First.MemoryMb + Second.MemoryMb,
          First.Gpus + Second.Gpus};
}

bool fits(const Resources &Available, const Resources &Demand) {
  return Demand.CpuMillis <= Available.CpuMillis &&
         Demand.MemoryMb <= Available.MemoryMb && Demand.Gpus <= Available.Gpus;
}

} // namespace

bool hasFreeCapacity(const WorkerSession &Session, const Resources &Needs,
                     Time Now) {
  Resources Wanted = sumOf(Session.Used, Needs);
  bool Refused = Session.Refused && Now < Session.RefusedUntil &&
                 fits(Wanted, *Session.Refused);
  return !Refused && fits(Session.Info.Capacity, Wanted);
}

bool hasLabel(const WorkerInfo &Info, const std::string &Label) {
  return Label.empty() || std::find(Info.Labels.begin(), Info.Labels.end(),
                                    Label) != Info.Labels.end();
}

bool isLargeEnough(const WorkerSession &Session, const Resources &Needs) {
  return fits(Session.Info.Capacity, Needs);
}

void noteCapacityRefusal(WorkerSession &Session, const Resources &Needs,
                         Time Now) {
  Session.Refused = sumOf(Session.Used, Needs);
  Session.RefusedUntil = Now + AnnouncementDelay;
}

bool hostsSuspect(const WorkerSession &Session) {
  return std::any_of(Session.Runs.begin(), Session.Runs.end(),
                     [](const auto &Entry) { return Entry.second.Suspected; });
}

bool mayRunThere(const WorkerSession &Session, bool Suspected, Time Now) {
  if (Suspected)
    return Session.Runs.empty();
  return Session.ReservedUntil <= Now && !hostsSuspect(Session);
}

void addRun(WorkerSession &Session, const TaskId &Task, Run Added) {
  removeRun(Session, Task);
  if (Session.Runs.empty())
    Session.BusySince = Added.Since;
  Session.Used.CpuMillis += Added.Needs.CpuMillis;
  Session.Used.MemoryMb += Added.Needs.MemoryMb;
  Session.Used.Gpus += Added.Needs.Gpus;
  Session.Runs.emplace(Task, Added);
}

void removeRun(WorkerSession &Session, const TaskId &Task) {
  auto Found = Session.Runs.find(Task);
  if (Found == Session.Runs.end())
    return;
  const Resources &Needs = Found->second.Needs;
  Session.Used.CpuMillis -= Needs.CpuMillis;
  Session.Used.MemoryMb -= Needs.MemoryMb;
  Session.Used.Gpus -= Needs.Gpus;
  Session.Runs.erase(Found);
}

void noteEnd(WorkerSession &Session, bool Succeeded, bool FirstTry, Time Now) {
  if (Succeeded) {
    Session.ConsecutiveFailures = 0;
    return;
  }
  if (!FirstTry)
    return;
  ++Session.ConsecutiveFailures;
  if (Session.ConsecutiveFailures < DistrustThreshold)
    return;
  std::uint32_t Doublings =
      std::min(Session.ConsecutiveFailures - DistrustThreshold, MaxDoublings);
  Session.NoStartsUntil = std::max(
      Session.NoStartsUntil, Now + FirstDistrustPause * (1U << Doublings));
}

double paceFactorOf(const WorkerSession &Session, Time Now) {
  double Factor = scheduling::paceFactor(Session.Pace, Now);
  for (const auto &[Task, Each] : Session.Runs)
    if (!Each.Adopted && !Each.Stopping)
      Factor = std::max(
          Factor, scheduling::paceFactorOf(Each.Expected, Now - Each.Since));
  return Factor;
}

bool isTrusted(const WorkerSession &Session) {
  return Session.ConsecutiveFailures < DistrustThreshold ||
         Session.Runs.empty();
}

HoldFindings applyHoldAnswer(WorkerSession &Session, const HoldAnswer &Answer,
                             Time SentAt, Time Now) {
  HoldFindings Out;
  Out.Current = noteClock(Session, Answer.Clock, Now);
  applyEnds(Session, Answer, Out, Now);
  // A worker that has ends that were not acknowledged lists at least one.
  bool ListsNoEnds = Answer.Ended.empty() && !Answer.Partial;
  if (ListsNoEnds)
    noteEndsKnown(Session, Answer.Clock);
  if (Out.Current)
    applyRunning(Session, Answer, Out);
  bool ListsRuns = Out.Current && !Answer.Partial;
  if (ListsRuns)
    noteAbsentRuns(Session, Answer.Clock, Out);
  dropMissing(Session, Out.Current && ListsNoEnds, Out);
  if (auto Earlier = Session.UnprovenList;
      Earlier && Earlier->Clock < Session.EndsKnownBefore)
    noteRunList(Session, *Earlier, true);
  if (ListsRuns)
    noteRunList(Session, {Answer.Clock, SentAt}, ListsNoEnds);
  return Out;
}

} // namespace geraniumbay::jobs
