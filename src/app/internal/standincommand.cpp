//===- standincommand.cpp - The subcommand that runs a stand-in -----------===//
//
// A stand-in upstream from flags; each fault is one flag.
//
//===----------------------------------------------------------------------===//

#include "app/internal/servecommand.h"
#include "framework/clock/systemclock.h"
#include "framework/log/log.h"
#include "framework/net/httpclient.h"
#include "framework/net/httpserver.h"
#include "standin/standin.h"

#include <csignal>
#include <gflags/gflags.h>
#include <sstream>

// NOLINTBEGIN(readability-identifier-naming): gflags makes the names.
DEFINE_string(worker, "", "name of the stand-in upstream");
DEFINE_string(listen, "", "address that it takes tasks on");
DEFINE_string(data_centre, "", "data centre that it announces");
DEFINE_string(rack, "r1", "rack that it announces");
DEFINE_string(entries, "", "caller addresses of entries, between commas");
DEFINE_uint32(slots, 8, "tasks that it runs at a time");
DEFINE_uint32(connections, 64, "connections that it announces");
DEFINE_uint64(seed, 1, "seed of its run times");
DEFINE_uint32(mean_run_ms, 200, "mean run time of a task");
DEFINE_bool(fail_all, false, "fault: starts each task and fails it at once");
DEFINE_bool(refuse_all, false, "fault: refuses each task");
DEFINE_bool(never_answer, false, "fault: never answers a task");
DEFINE_bool(wrong_task_id, false, "fault: answers with another task's id");
DEFINE_bool(cut_short, false, "fault: sends half of each answer");
DEFINE_bool(ignore_cancel, false, "fault: goes on with cancelled tasks");
DEFINE_uint64(straggle_one_in, 0, "fault: one task in so many is slow");
DEFINE_uint32(answer_late_ms, 0, "fault: holds each answer back so long");
DEFINE_uint64(leave_after, 0, "fault: leaves after so many starts");
DECLARE_string(service);
// NOLINTEND(readability-identifier-naming)

namespace geraniumbay::app {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *StandInDetails =
    R"(Runs a stand-in upstream that announces itself to the entries, runs tasks for
a time drawn from the seed, and counts every start by task id (GET /starts). A
payload that begins with "run_ms=N;" runs for N ms. On SIGTERM it leaves, and
ends when its tasks are done. For tests and demonstrations only.
)";

/// How long a stand-in waits for its last tasks and its farewell.
constexpr Duration LeaveTime = seconds(10);

RetVal<std::vector<Endpoint>> readEndpoints(const std::string &List) {
  std::vector<Endpoint> Found;
  std::istringstream Parts(List);
  for (std::string Part; std::getline(Parts, Part, ',');) {
    BOOST_LEAF_AUTO(Address, parseEndpoint(Part));
    Found.push_back(Address);
  }
  if (Found.empty())
    return fail(ErrorCode::InvalidArgument, "--entries names no entry");
  return Found;
}

standin::StandInFaults readFaults() {
  standin::StandInFaults Faults;
  Faults.FailAll = FLAGS_fail_all;
  Faults.RefuseAll = FLAGS_refuse_all;
  Faults.NeverAnswer = FLAGS_never_answer;
  Faults.WrongTaskId = FLAGS_wrong_task_id;
  Faults.CutShort = FLAGS_cut_short;
  Faults.IgnoreCancel = FLAGS_ignore_cancel;
  Faults.StraggleOneIn = FLAGS_straggle_one_in;
  Faults.AnswerLate = milliseconds(FLAGS_answer_late_ms);
  Faults.LeaveAfter = FLAGS_leave_after;
  return Faults;
}

RetVal<standin::StandInSettings> readSettings(const IClock &Clock) {
  standin::StandInSettings Settings;
  BOOST_LEAF_ASSIGN(Settings.Entries, readEndpoints(FLAGS_entries));
  BOOST_LEAF_ASSIGN(Settings.Offer.Address, parseEndpoint(FLAGS_listen));
  Settings.Offer.Worker = WorkerId(FLAGS_worker);
  Settings.Offer.DataCentre = DataCentreId(FLAGS_data_centre);
  Settings.Offer.Rack = FLAGS_rack;
  Settings.Offer.Service = ServiceId(FLAGS_service);
  Settings.Offer.Slots = FLAGS_slots;
  Settings.Offer.Connections = FLAGS_connections;
  Settings.Offer.Version.Incarnation =
      Incarnation(static_cast<std::uint64_t>(Clock.wallNow()));
  Settings.MeanRun = milliseconds(FLAGS_mean_run_ms);
  Settings.Faults = readFaults();
  return Settings;
}

/// Turns the loop until the stand-in has left and its tasks have ended.
void leave(EventLoop &Loop, const IClock &Clock, standin::StandIn &Upstream) {
  Upstream.leave();
  Time GiveUp = Clock.now() + LeaveTime;
  auto Done = [&] { return Upstream.hasLeft() && Upstream.running() == 0; };
  while (!Done() && Clock.now() < GiveUp)
    Loop.turn(milliseconds(10));
  // The last answers still have to leave the sockets.
  Loop.turn(milliseconds(50));
}

int runStandIn(const cli::Options & /*Given*/, cli::Dependencies & /*Deps*/,
               std::ostream & /*Out*/, std::ostream &Err) {
  startLogging(LogLevel::Info, "");
  SystemClock Clock;
  EventLoop Loop(Clock);
  HttpServer Server(Loop, HttpServerLimits());
  HttpClient Client(Loop, HttpClientLimits());
  auto Settings = attempt([&]() -> RetVal<standin::StandInSettings> {
    BOOST_LEAF_AUTO(Read, readSettings(Clock));
    BOOST_LEAF_CHECK(Server.listen(Read.Offer.Address));
    return Read;
  });
  if (!Settings.ok()) {
    Err << "cannot start: " << Settings.error().Message << "\n";
    return toInt(cli::ExitCode::Failure);
  }
  standin::StandIn Upstream(Server, Client, Loop.timers(), Random(FLAGS_seed),
                            *Settings);
  Loop.onSignal(SIGTERM, [&] { Loop.stop(); });
  Upstream.start();
  Loop.run();
  leave(Loop, Clock, Upstream);
  return toInt(cli::ExitCode::Ok);
}

} // namespace

cli::Command standInCommand() {
  return {"standin",
          "",
          "Run a stand-in upstream for tests.",
          StandInDetails,
          {"worker", "listen", "data_centre", "rack", "service", "entries",
           "slots", "connections", "seed", "mean_run_ms", "fail_all",
           "refuse_all", "never_answer", "wrong_task_id", "cut_short",
           "ignore_cancel", "straggle_one_in", "answer_late_ms", "leave_after"},
          0,
          0,
          runStandIn};
}

} // namespace geraniumbay::app
