//===- ownertest.cpp - Tests of the choice of owners ----------------------===//

#include "membership/internal/owner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>

namespace geraniumbay::membership {
namespace {

const DataCentreId Centre("Barracas");

std::vector<OwnerCandidate> randomCandidates() {
  auto Eligible = *rc::gen::container<std::vector<bool>>(
      *rc::gen::inRange<std::size_t>(1, 14), rc::gen::arbitrary<bool>());
  std::vector<OwnerCandidate> Candidates;
  Candidates.reserve(Eligible.size());
  for (bool Each : Eligible)
    Candidates.push_back({VmId("e" + std::to_string(Candidates.size())), Each});
  return Candidates;
}

std::vector<std::optional<VmId>>
ownersOfAll(const std::vector<OwnerCandidate> &Candidates, std::size_t Shards) {
  auto Owners = ownersAmong(Candidates, Centre, Shards);
  std::vector<std::optional<VmId>> Chosen;
  constexpr int Workers = 100;
  Chosen.reserve(Workers);
  for (int Worker = 0; Worker < Workers; ++Worker)
    Chosen.push_back(
        ownerAmong(Owners, WorkerId("w" + std::to_string(Worker))));
  return Chosen;
}

/// The owner found by counting, for each candidate, how many outrank it.
std::optional<VmId> naiveOwner(const std::vector<OwnerCandidate> &Candidates,
                               std::size_t Shards, const WorkerId &Worker) {
  std::map<std::size_t, std::vector<VmId>> EligibleByBlock;
  for (const OwnerCandidate &Each : Candidates) {
    auto Above = std::count_if(
        Candidates.begin(), Candidates.end(), [&](const OwnerCandidate &By) {
          return rendezvousWeight(Centre.value(), By.Vm) >
                 rendezvousWeight(Centre.value(), Each.Vm);
        });
    if (Each.Eligible)
      EligibleByBlock[static_cast<std::size_t>(Above) / Shards].push_back(
          Each.Vm);
  }
  if (EligibleByBlock.empty())
    return std::nullopt;
  const auto &Block = EligibleByBlock.begin()->second;
  return *std::max_element(Block.begin(), Block.end(),
                           [&](const VmId &A, const VmId &B) {
                             return rendezvousWeight(Worker.value(), A) <
                                    rendezvousWeight(Worker.value(), B);
                           });
}

TEST(OwnerTest, TheHashIsTheSameInEveryBuild) {
  EXPECT_EQ(rendezvousWeight("Barracas", VmId("entry-1")),
            3705360794755679981U);
}

RC_GTEST_PROP(OwnerProperty, AgreesWithTheNaiveVersionInAnyOrder, ()) {
  auto Candidates = randomCandidates();
  auto Shards = *rc::gen::inRange<std::size_t>(1, 5);
  auto Chosen = ownersOfAll(Candidates, Shards);
  for (std::size_t Worker = 0; Worker < Chosen.size(); ++Worker)
    RC_ASSERT(
        Chosen[Worker] ==
        naiveOwner(Candidates, Shards, WorkerId("w" + std::to_string(Worker))));
  std::reverse(Candidates.begin(), Candidates.end());
  RC_ASSERT(ownersOfAll(Candidates, Shards) == Chosen);
}

RC_GTEST_PROP(OwnerProperty, ADeathMovesOnlyTheDeadOnesWorkers, ()) {
  auto Candidates = randomCandidates();
  auto Shards = *rc::gen::inRange<std::size_t>(1, 5);
  auto Before = ownersOfAll(Candidates, Shards);
  auto Index = *rc::gen::inRange<std::size_t>(0, Candidates.size());
  Candidates[Index].Eligible = false;
  auto After = ownersOfAll(Candidates, Shards);
  for (std::size_t Worker = 0; Worker < Before.size(); ++Worker) {
    RC_ASSERT(After[Worker] != Candidates[Index].Vm);
    if (Before[Worker] != Candidates[Index].Vm)
      RC_ASSERT(After[Worker] == Before[Worker]);
  }
}

} // namespace
} // namespace geraniumbay::membership
