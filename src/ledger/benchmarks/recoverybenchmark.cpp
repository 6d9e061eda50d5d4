//===- recoverybenchmark.cpp - Size, recovery and cost of the ledger ------===//
//
// "Recover" reads a ledger of N answered submissions back, "Decide" makes and
// writes one claim and its answer in memory. Counters: bytes on disk for a
// submission, and its encoded records in JSON.
//
//===----------------------------------------------------------------------===//

#include "framework/clock/manualclock.h"
#include "framework/storage/fakestorage.h"
#include "ledger/internal/replica.h"
#include "ledger/submissionkey.h"

#include <benchmark/benchmark.h>

namespace geraniumbay::ledger {
namespace {

/// A digest and an answer of the usual length.
constexpr std::size_t DigestSize = 64;
constexpr std::size_t AnswerSize = 200;

/// A ledger alone in its view, on a disk in memory.
class Bench {
public:
  Bench() : Numbers(1) {
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
  FakeStorage Disk;
  Random Numbers;
  Liveness Alive;
  std::optional<Replica> Copy;
};

void recover(benchmark::State &State) {
  Bench Ledger;
  auto Count = static_cast<std::size_t>(State.range(0));
  for (std::size_t Number = 0; Number < Count; ++Number)
    Ledger.submit();
  while (State.KeepRunning())
    Ledger.open();
  State.counters["bytes_per_submission"] =
      static_cast<double>(Ledger.Disk.totalSize()) / static_cast<double>(Count);
}

void decide(benchmark::State &State) {
  Bench Ledger;
  while (State.KeepRunning())
    Ledger.submit();
}

BENCHMARK(recover)->Name("Recover")->Arg(1000)->Arg(10'000)->Arg(100'000)->Unit(
    benchmark::kMillisecond);
BENCHMARK(decide)->Name("Decide")->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace geraniumbay::ledger
