//===- machinetest.cpp - The state machine against a naive one ------------===//

#include "control/internal/machine.h"
#include "control/internal/wire.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <set>

namespace geraniumbay::control {
namespace {

/// Keeps every change and answer for ever, and looks through them all.
struct NaiveConfig {
  std::vector<std::pair<ConfigChange, ConfigAnswer>> All;

  ConfigAnswer apply(const ConfigChange &Change) {
    std::uint64_t Version = 0;
    for (const auto &[Old, Answer] : All)
      Version += Answer.Failure ? 0 : 1;
    for (const auto &[Old, Answer] : All)
      if (Old.Operation == Change.Operation)
        return Old == Change ? Answer
                             : ConfigAnswer{ErrorCode::InvalidArgument,
                                            ConfigVersion(Version)};
    ConfigAnswer Answer{ErrorCode::Conflict, ConfigVersion(Version)};
    if (Change.Base == ConfigVersion(Version))
      Answer = {std::nullopt, ConfigVersion(Version + 1)};
    All.emplace_back(Change, Answer);
    return Answer;
  }
};

RC_GTEST_PROP(MachineTest, ConfigurationAnswersLikeTheNaiveOne, ()) {
  MachineState State;
  NaiveConfig Naive;
  for (int I = 0; I < 60; ++I) {
    auto Near = *rc::gen::inRange<std::uint64_t>(0, 3);
    std::uint64_t Now = State.Version.value();
    ConfigChange Change{OperationId(std::to_string(*rc::gen::inRange(0, 40))),
                        ConfigVersion(Now >= Near ? Now - Near : Now),
                        std::to_string(*rc::gen::inRange(0, 3))};
    RC_ASSERT(apply(State, Change) == Naive.apply(Change));
    auto Back = attempt([&] { return wire::readMachine(wire::write(State)); });
    RC_ASSERT(Back.ok() && *Back == State);
  }
}

TEST(MachineTest, OperationsBeyondTheBoundAreForgottenButNeverAppliedTwice) {
  MachineState State;
  ConfigChange First{OperationId("first"), ConfigVersion(0), "doc"};
  EXPECT_EQ(apply(State, First).Failure, std::nullopt);
  for (std::size_t I = 1; I <= MaxRememberedOperations; ++I)
    apply(State, ConfigChange{OperationId(std::to_string(I)), ConfigVersion(I),
                              "doc"});
  EXPECT_EQ(State.Operations.size(), MaxRememberedOperations);
  EXPECT_EQ(State.History.size(), MaxHistory);
  EXPECT_EQ(apply(State, First).Failure, ErrorCode::Conflict);
}

TEST(WireTest, WhatIsNoObjectIsAnErrorAndNoException) {
  for (const Json::Value &Bad :
       {Json::Value("text"), Json::Value(7), Json::Value(Json::arrayValue),
        Json::Value(Json::nullValue), Json::Value(Json::objectValue)}) {
    EXPECT_FALSE(attempt([&] { return wire::readMessage(Bad); }).ok());
    EXPECT_FALSE(attempt([&] { return wire::readHardState(Bad); }).ok());
    EXPECT_FALSE(attempt([&] { return wire::readSnapshot(Bad); }).ok());
    EXPECT_FALSE(attempt([&] { return wire::readStatus(Bad); }).ok());
    EXPECT_FALSE(attempt([&] { return wire::readConfigAnswer(Bad); }).ok());
    EXPECT_FALSE(attempt([&] { return wire::readLedgerAnswer(Bad); }).ok());
    EXPECT_FALSE(attempt([&] { return wire::readLedgerChange(Bad); }).ok());
  }
}

/// A view as sets of "vm/disk", by the rules as DESIGN.md words them.
struct NaiveView {
  std::uint64_t Number = 0;
  std::uint64_t LedgerEpoch = 0;
  std::string Primary;
  std::set<LedgerMember> Members;
  std::set<LedgerMember> Lost;

  bool apply(const LedgerChange &Change) {
    if (Change.Base.value() != Number)
      return false;
    bool Speaks = Members.contains(Change.By) && !Lost.contains(Change.By);
    bool Leads = Speaks && Primary == Change.By.Vm.value();
    std::optional<LedgerMember> OfVm;
    for (const LedgerMember &Member : Members)
      if (Member.Vm == (Change.Action == LedgerAction::Add ? Change.Subject.Vm
                                                           : Change.By.Vm))
        OfVm = Member;
    switch (Change.Action) {
    case LedgerAction::Open:
      if (Number != 0)
        return false;
      return open(Change.By);
    case LedgerAction::Remove:
      if (!Leads || Change.Subject == Change.By ||
          !Members.contains(Change.Subject))
        return false;
      return drop(Change.Subject);
    case LedgerAction::Add:
      if (!Leads || OfVm)
        return false;
      Members.insert(Change.Subject);
      return ++Number;
    case LedgerAction::Promote: {
      if (!Speaks || Leads)
        return false;
      auto Old = std::find_if(
          Members.begin(), Members.end(),
          [&](const LedgerMember &M) { return M.Vm.value() == Primary; });
      Primary = Change.By.Vm.value();
      return drop(LedgerMember(*Old));
    }
    case LedgerAction::ReportLost:
      if (!OfVm || *OfVm == Change.By || !Lost.insert(*OfVm).second)
        return false;
      if (Lost == Members)
        return open(Change.By);
      return ++Number;
    }
    return false;
  }

  bool open(const LedgerMember &By) {
    ++LedgerEpoch;
    Primary = By.Vm.value();
    Members = {By};
    Lost.clear();
    return ++Number;
  }
  bool drop(const LedgerMember &Old) {
    Members.erase(Old);
    Lost.erase(Old);
    return ++Number;
  }
};

RC_GTEST_PROP(MachineTest, LedgerViewsChangeLikeTheNaiveOne, ()) {
  const DataCentreId Here("pompeya");
  MachineState State;
  NaiveView Naive;
  auto Member = [] {
    return LedgerMember{
        VmId(*rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"})),
        DiskId(*rc::gen::inRange<std::uint64_t>(1, 4))};
  };
  for (int I = 0; I < 60; ++I) {
    bool Stale = *rc::gen::inRange(0, 6) == 0 && Naive.Number > 0;
    LedgerChange Change{Here,
                        ViewNumber(Naive.Number - (Stale ? 1 : 0)),
                        LedgerAction(*rc::gen::inRange(0, 5)),
                        Member(),
                        Member(),
                        I + 1};
    Epoch Before = State.Ledgers[Here].LedgerEpoch;
    if (Naive.Number == 0)
      State.Ledgers.erase(Here);
    LedgerAnswer Answer = apply(State, Change);
    RC_ASSERT(!Answer.Failure == Naive.apply(Change));
    if (!Answer.View)
      continue;
    const LedgerView &View = *Answer.View;
    RC_ASSERT(View.Number == ViewNumber(Naive.Number));
    RC_ASSERT(View.LedgerEpoch == Epoch(Naive.LedgerEpoch));
    RC_ASSERT(View.Primary == VmId(Naive.Primary));
    RC_ASSERT(std::set<LedgerMember>(View.Members.begin(),
                                     View.Members.end()) == Naive.Members);
    RC_ASSERT(std::set<LedgerMember>(View.Lost.begin(), View.Lost.end()) ==
              Naive.Lost);
    if (View.LedgerEpoch > Before && Before > Epoch(0))
      RC_ASSERT(View.KeysRefusedUntil == Change.RefuseKeysUntil);
    RC_ASSERT(attempt([&] {
                return wire::readLedgerChange(wire::write(Change));
              }).value() == Change);
  }
}

} // namespace
} // namespace geraniumbay::control
