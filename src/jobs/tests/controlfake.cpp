//===- controlfake.cpp - A control VM with the real job service -----------===//

#include "jobs/tests/controlfake.h"

namespace geraniumbay::jobs {

using namespace std::chrono_literals;

void FakeLog::append(std::string Batch,
                     std::function<void(Outcome<geraniumbay::Done>)> Done) {
  // The time of two disk syncs and a round trip.
  constexpr Duration Commit = 12ms;
  Timers_.after(Commit,
                [this, Batch = std::move(Batch), Done = std::move(Done)] {
                  Jobs.apply(Batch);
                  Done(geraniumbay::Done{});
                });
}

ControlFake::ControlFake(EntryFake &Fake, const std::string &Document)
    : Fake_(Fake), At_(Fake.controlAddress()), Rpc_(Fake.Net, At_),
      Workers_(Fake.Workers, At_.Address), Log(Fake.Timers, At_),
      Service({Log,
               Log.Jobs.store(),
               Workers_,
               Fake.Clock,
               Fake.Timers,
               Fake.Measured,
               Rpc_,
               Rpc_,
               {}},
              readOneQueue, LeaseSettings()) {
  Log.Config.Version = ConfigVersion(1);
  Log.Config.Document = Document;
  Service.start();
  announceAll();
}

void ControlFake::announceAll() {
  ++Sequence_;
  for (WorkerInfo Info : Fake_.announced()) {
    Info.Sequence = Sequence_;
    Service.announceWorker(Info, [](const Outcome<Done> & /*Result*/) {
      // The next announcement follows soon.
    });
  }
  constexpr Duration Pause = 1500ms;
  Fake_.Timers.after(Pause, [this] { announceAll(); });
}

} // namespace geraniumbay::jobs
