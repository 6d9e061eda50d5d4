//===- syncbenchmark.cpp - What a sync costs the loop ---------------------===//
//
// Appends 4 KB and syncs, by the disk thread and by a blocking fdatasync.
// "loop_us" is the time that the loop is held up by sync() and the delivery,
// "durable_us" the time until the callback.
//
//===----------------------------------------------------------------------===//

#include "framework/clock/systemclock.h"
#include "framework/storage/filestorage.h"

#include <benchmark/benchmark.h>
#include <filesystem>
#include <poll.h>

namespace geraniumbay {
namespace {

constexpr std::size_t AppendSize = 4096;

void syncFile(benchmark::State &State, SyncMode Mode) {
  std::string Folder = "syncbenchmark-data";
  auto Opened = attempt([&] { return FileStorage::open(Folder, Mode); });
  if (!Opened || (*Opened)->mode() != Mode) {
    State.SkipWithError("storage not available in this mode");
    return;
  }
  FileStorage &Storage = **Opened;
  SystemClock Clock;
  std::string Bytes(AppendSize, 'x');
  Duration Held{};
  Duration Total{};
  while (State.KeepRunning()) {
    benchmark::DoNotOptimize(
        attempt([&] { return Storage.append("log", Bytes); }));
    bool Arrived = false;
    Time Start = Clock.now();
    Storage.sync("log", [&](const Outcome<Done> &) { Arrived = true; });
    Held += Clock.now() - Start;
    while (!Arrived) {
      pollfd Watched{Storage.completionFd(), POLLIN, 0};
      ::poll(&Watched, 1, -1);
      Time Ready = Clock.now();
      Storage.onCompletionReady();
      Held += Clock.now() - Ready;
    }
    Total += Clock.now() - Start;
  }
  auto Count = static_cast<double>(State.iterations());
  State.counters["loop_us"] = static_cast<double>(Held.count()) / Count;
  State.counters["durable_us"] = static_cast<double>(Total.count()) / Count;
  std::filesystem::remove_all(Folder);
}

BENCHMARK_CAPTURE(syncFile, Asynchronous, SyncMode::Asynchronous)
    ->UseRealTime();
BENCHMARK_CAPTURE(syncFile, Blocking, SyncMode::Blocking)->UseRealTime();

} // namespace
} // namespace geraniumbay
