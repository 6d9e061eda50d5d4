//===- controlfake.cpp - A control VM with the real job service -----------===//

#include "jobs/tests/controlfake.h"

namespace geraniumbay::jobs {

using namespace std::chrono_literals;

namespace {

Error lostLeadership() { return {ErrorCode::Timeout, "leadership was lost"}; }

} // namespace

void FakeLog::append(std::string Batch,
                     std::function<void(Outcome<geraniumbay::Done>)> Done) {
  // The time of two disk syncs and a round trip.
  constexpr Duration Commit = 12ms;
  Timers_.after(Commit,
                [this, Round = Round_,
                 Next = StalledBatch{std::move(Batch), std::move(Done)}] {
                  if (Round != Round_)
                    Next.Finish(lostLeadership());
                  else if (Stalled_)
                    StalledBatches_.push_back(Next);
                  else
                    commit(Next);
                });
}

void FakeLog::commit(const StalledBatch &Next) {
  Jobs.apply(Next.Batch);
  Next.Finish(geraniumbay::Done{});
}

void FakeLog::commitOldest() {
  StalledBatch Oldest = std::move(StalledBatches_.front());
  StalledBatches_.erase(StalledBatches_.begin());
  commit(Oldest);
}

void FakeLog::resume() {
  Stalled_ = false;
  for (const StalledBatch &Next : std::exchange(StalledBatches_, {}))
    commit(Next);
}

void FakeLog::dropUncommitted() {
  Stalled_ = false;
  ++Round_;
  for (const StalledBatch &Next : std::exchange(StalledBatches_, {}))
    Next.Finish(lostLeadership());
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
