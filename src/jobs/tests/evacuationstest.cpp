//===- evacuationstest.cpp - The state machine of evacuations -------------===//

#include "framework/random/random.h"
#include "jobs/internal/evacuationwire.h"
#include "jobs/internal/jobwire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::jobs {
namespace {

const DataCentreId North("north");

EvacuationOrder orderOn(const Evacuations &Known, bool Evacuate,
                        const DataCentreId &DataCentre = North) {
  return {DataCentre, Evacuate, findEvacuationRecord(Known, DataCentre).Number,
          1000};
}

TEST(EvacuationsTest, ARepeatedOrderChangesNothing) {
  Evacuations State;
  EvacuationOrder First = orderOn(State, true);
  apply(State, First);
  apply(State, First);
  EXPECT_EQ(evacuatedDataCentres(State), std::set<DataCentreId>{North});
}

// The first order is delayed and not confirmed. The opposite order is recorded
// first; though it changes no state, the delayed one must have no effect after
// it.
TEST(EvacuationsTest, ADelayedOrderDoesNotUndoALaterOne) {
  Evacuations State;
  EvacuationOrder Delayed = orderOn(State, true);
  apply(State, orderOn(State, false));
  EXPECT_FALSE(takesEffect(State, Delayed));
  apply(State, Delayed);
  EXPECT_TRUE(evacuatedDataCentres(State).empty());
}

TEST(EvacuationsTest, ADataCentreIsEvacuatedSinceTheFirstOrder) {
  Evacuations State;
  apply(State, {North, true, EvacuationNumber(0), 1000});
  apply(State, {North, true, EvacuationNumber(1), 2000});
  EXPECT_EQ(findEvacuationRecord(State, North).OrderedAt, 1000);
}

TEST(EvacuationsTest, OtherDataCentresAreNotAffected) {
  Evacuations State;
  const DataCentreId South("south");
  EvacuationOrder Early = orderOn(State, true, South);
  apply(State, orderOn(State, true));
  apply(State, Early);
  EXPECT_EQ(evacuatedDataCentres(State),
            (std::set<DataCentreId>{North, South}));
}

TEST(EvacuationsTest, ASnapshotHoldsTheOrders) {
  ReplicatedJobs First;
  JobChanges Changes;
  Changes.Evacuations = {{North, true, EvacuationNumber(0), 1000},
                         {DataCentreId("d\xC3\xA9"), false, {}, 5}};
  First.apply(wire::writeChanges(Changes));
  ReplicatedJobs Second;
  ASSERT_TRUE(attempt([&] { return Second.restore(First.snapshot()); }));
  EXPECT_EQ(Second.store().Evacuated, First.store().Evacuated);
  EXPECT_EQ(evacuatedDataCentres(Second.store().Evacuated),
            std::set<DataCentreId>{North});
}

TEST(EvacuationsTest, AMalformedOrderIsRefused) {
  for (const char *Text :
       {R"({})", R"([])", R"({"data_centre":"a"})",
        R"({"data_centre":1,"evacuate":true,"base":0})",
        R"({"data_centre":"a","evacuate":1,"base":0})",
        R"({"data_centre":"a","evacuate":true,"base":-1})"}) {
    auto Value = attempt([&] { return json::parse(Text); });
    ASSERT_TRUE(Value);
    EXPECT_FALSE(attempt([&] { return wire::readEvacuationOrder(*Value); }))
        << Text;
  }
}

/// An operator gives one order after the other and repeats each until it is
/// confirmed or given up, through control VMs that may be behind. Messages are
/// lost, delayed and duplicated, and leaders restart from snapshots.
class OrderRace {
public:
  explicit OrderRace(std::uint64_t Seed) : Rng_(Seed) {}

  void play(int Steps) {
    for (int I = 0; I < Steps; ++I)
      step();
  }

private:
  void step() {
    constexpr std::uint64_t Choices = 6;
    switch (Rng_.below(Choices)) {
    case 0:
      Wanted_ = Rng_.below(2) == 0;
      Confirmed_ = false;
      return;
    case 1:
    case 2:
      return send();
    case 3:
    case 4:
      return deliver();
    default:
      return restart();
    }
  }

  void send() {
    constexpr std::size_t MaxBehind = 4;
    std::size_t Behind =
        Rng_.below(std::min<std::size_t>(Known_.size(), MaxBehind));
    InFlight_.push_back(orderOn(Known_[Known_.size() - 1 - Behind], Wanted_));
  }

  void deliver() {
    if (InFlight_.empty())
      return;
    std::size_t Index = Rng_.below(InFlight_.size());
    EvacuationOrder Order = InFlight_[Index];
    bool Duplicated = Rng_.below(4) == 0;
    if (!Duplicated)
      InFlight_.erase(InFlight_.begin() + static_cast<std::ptrdiff_t>(Index));
    bool TakesEffect = takesEffect(Leader_, Order);
    apply(Leader_, Order);
    Known_.push_back(Leader_);
    // The operator waits for answers to its last order only.
    bool AnswerLost = Rng_.below(2) == 0;
    if (TakesEffect && Order.Evacuate == Wanted_ && !AnswerLost)
      Confirmed_ = true;
    RC_ASSERT(!Confirmed_ ||
              findEvacuationRecord(Leader_, North).Evacuated == Wanted_);
  }

  void restart() {
    auto Read =
        attempt([&] { return wire::readEvacuations(wire::write(Leader_)); });
    RC_ASSERT(Read.ok());
    RC_ASSERT(*Read == Leader_);
  }

  Random Rng_;
  Evacuations Leader_;
  /// Earlier states, which control VMs that are behind may have.
  std::vector<Evacuations> Known_{Evacuations()};
  std::vector<EvacuationOrder> InFlight_;
  bool Wanted_ = false;
  bool Confirmed_ = false;
};

RC_GTEST_PROP(EvacuationsProperties, AConfirmedOrderStandsUntilTheNext,
              (std::uint64_t Seed)) {
  OrderRace(Seed).play(80);
}

} // namespace
} // namespace geraniumbay::jobs
