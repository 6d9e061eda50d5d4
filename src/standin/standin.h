//===- standin.h - A stand-in upstream --------------------------*- C++ -*-===//
//
// The upstream of tests and demos. `POST /tasks/ID` runs a task, whose answer
// is a function of its payload; `POST /cancel/ID` cancels it; `GET /starts`
// tells how often each task was started; `POST /leave` makes the upstream
// leave.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_STANDIN_STANDIN_H
#define GERANIUMBAY_STANDIN_STANDIN_H

#include "framework/net/ihttpserver.h"
#include "framework/random/random.h"
#include "standin/internal/announcer.h"

#include <map>

namespace geraniumbay::standin {

/// The id of a task, as it stands in the path.
using StandInTaskId = StrongId<struct StandInTaskTag, std::string>;

/// One upstream on one listener.
class StandIn {
public:
  /// Serves on \p Server at once; all references outlive the upstream, and no
  /// request comes after it.
  StandIn(IHttpServer &Server, IHttpClient &Client, ITimers &Timers,
          Random Numbers, StandInSettings Settings);
  ~StandIn();

  /// Begins to announce.
  void start() { Announcer_.start(); }
  /// Announces that the upstream leaves and refuses new tasks; running ones go
  /// on and are answered.
  void leave();
  /// Whether an entry took the announcement that the upstream leaves.
  bool hasLeft() const { return Announcer_.hasLeft(); }
  /// How often each task was started.
  const std::map<StandInTaskId, std::uint64_t> &starts() const {
    return Starts_;
  }
  /// Tasks that hold a slot now.
  std::size_t running() const { return Running_.size(); }

private:
  using Exchange = std::shared_ptr<IHttpExchange>;
  /// The number of a start; several starts of one task stay apart.
  using StartId = StrongId<struct StandInStartTag, std::uint64_t>;

  /// One task that holds a slot.
  struct RunningTask {
    StandInTaskId Task;
    Exchange Asked;
    TimerId End;
  };

  void route(IHttpServer &Server);
  void run(const Exchange &Asked);
  bool refuses() const;
  void begin(const StandInTaskId &Task, const Exchange &Asked);
  Duration drawRunTime(const std::string &Payload);
  void finish(StartId Start);
  /// Sends the answer of a task that has ended, as far as the faults let it.
  void answer(const StandInTaskId &Task, const Exchange &Asked);
  void cancel(const Exchange &Asked);
  HttpResponse listStarts() const;

  ITimers &Timers_;
  Random Numbers_;
  const StandInSettings Settings_;
  Announcer Announcer_;
  std::map<StandInTaskId, std::uint64_t> Starts_;
  /// All starts so far; also the last StartId.
  std::uint64_t StartCount_ = 0;
  std::map<StartId, RunningTask> Running_;
  /// Answers that are held back.
  std::map<StartId, TimerId> Late_;
  /// Kept open, so that nobody answers them.
  std::vector<Exchange> Unanswered_;
  /// The task answered last and its payload, for crossed answers.
  StandInTaskId LastTask_;
  std::string LastPayload_;
  bool Leaving_ = false;
};

} // namespace geraniumbay::standin

#endif // GERANIUMBAY_STANDIN_STANDIN_H
