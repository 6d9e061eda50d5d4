//===- recoverybenchmark.cpp - Size, recovery and cost of the ledger ------===//
//
// "Recover" reads a ledger of N answered submissions back, "Decide" makes and
// writes one claim and its answer in memory. "GroupCommit" is the time for each
// record on a real disk while N records are on their way at any time.
//
//===----------------------------------------------------------------------===//

#include "framework/clock/manualclock.h"
#include "framework/storage/fakestorage.h"
#include "framework/storage/filestorage.h"
#include "ledger/internal/replica.h"
#include "ledger/submissionkey.h"

#include <benchmark/benchmark.h>
#include <filesystem>
#include <poll.h>

namespace geraniumbay::ledger {
namespace {

/// A digest and an answer of the usual length.
constexpr std::size_t DigestSize = 64;
constexpr std::size_t AnswerSize = 200;

/// A ledger alone in its view.
class Bench {
public:
  explicit Bench(IStorage &Disk) : Disk(Disk), Numbers(1) {
    Config.DataCentre = DataCentreId("barracas");
    Config.Vm = VmId("barracas-1");
    open();
    LedgerView View;
    View.DataCentre = Config.DataCentre;
    View.Number = ViewNumber(1);
    View.LedgerEpoch = Epoch(1);
    View.Primary = Config.Vm;
    View.Members = {Copy->self()};
    benchmark::DoNotOptimize(attempt([&] { return Copy->applyView(View); }));
  }

  void open() {
    Copy.reset();
    Copy.emplace(Config, Clock, Disk, Numbers, [] {});
    benchmark::DoNotOptimize(attempt([&] { return Copy->open(); }));
  }

  /// Claims and answers a submission.
  void submit() {
    SubmissionId Id = issueKey(Config.DataCentre, Epoch(1), Numbers);
    Holder By{VmId("barracas-entry-1"), Incarnation(1'700'000'000'000)};
    ClaimRequest Request{Id, std::string(DigestSize, 'd'), By, 1, {}};
    auto Claim = attempt([&] {
      return decideClaim(Copy->claims(), Alive, Request, Clock.now(), 0, true);
    });
    benchmark::DoNotOptimize(
        attempt([&] { return Copy->appendOwn(*Claim->Write); }));
    auto Answer = attempt([&] {
      return decideAnswer(Copy->claims(),
                          {Id, By, std::string(AnswerSize, 'a')});
    });
    benchmark::DoNotOptimize(
        attempt([&] { return Copy->appendOwn(*Answer->Write); }));
  }

  LedgerConfig Config;
  ManualClock Clock;
  IStorage &Disk;
  Random Numbers;
  Liveness Alive;
  std::optional<Replica> Copy;
};

void recover(benchmark::State &State) {
  FakeStorage Disk;
  Bench Ledger(Disk);
  auto Count = static_cast<std::size_t>(State.range(0));
  for (std::size_t Number = 0; Number < Count; ++Number)
    Ledger.submit();
  while (State.KeepRunning())
    Ledger.open();
  State.counters["bytes_per_submission"] =
      static_cast<double>(Disk.totalSize()) / static_cast<double>(Count);
}

void decide(benchmark::State &State) {
  FakeStorage Disk;
  Bench Ledger(Disk);
  while (State.KeepRunning())
    Ledger.submit();
}

void groupCommit(benchmark::State &State) {
  std::string Folder = "ledgerbenchmark-data";
  auto Opened = attempt([&] { return FileStorage::open(Folder); });
  if (!Opened) {
    State.SkipWithError("no data folder");
    return;
  }
  {
    FileStorage &Disk = **Opened;
    Bench Ledger(Disk);
    auto AtOnce = static_cast<std::uint64_t>(State.range(0));
    std::uint64_t Wanted = 0;
    while (State.KeepRunning()) {
      ++Wanted;
      while (Ledger.Copy->past().Last.Index < Wanted + AtOnce)
        Ledger.submit();
      while (Ledger.Copy->durableIndex() < Wanted) {
        pollfd Watched{Disk.completionFd(), POLLIN, 0};
        ::poll(&Watched, 1, -1);
        Disk.onCompletionReady();
      }
    }
    const JournalStats &Stats = Ledger.Copy->stats();
    State.counters["records_per_sync"] =
        static_cast<double>(Stats.Records) / static_cast<double>(Stats.Syncs);
  }
  Opened->reset();
  std::filesystem::remove_all(Folder);
}

BENCHMARK(recover)->Name("Recover")->Arg(1000)->Arg(10'000)->Arg(100'000)->Unit(
    benchmark::kMillisecond);
BENCHMARK(groupCommit)
    ->Name("GroupCommit")
    ->Arg(2)
    ->Arg(20)
    ->Arg(200)
    ->UseRealTime()
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(decide)->Name("Decide")->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace geraniumbay::ledger
