//===- machine.cpp - The replicated state machine -------------------------===//
//
// Applying committed changes.
//
//===----------------------------------------------------------------------===//

#include "control/internal/machine.h"

#include <algorithm>

namespace geraniumbay::control {

namespace {

constexpr std::uint64_t FnvOffset = 14695981039346656037U;
constexpr std::uint64_t FnvPrime = 1099511628211U;

void bumpRevision(MachineState &State) {
  State.Seen = Revision(State.Seen.value() + 1);
}

void remember(MachineState &State, const ConfigChange &Change,
              const ConfigAnswer &Answer) {
  State.Operations[Change.Operation] = {digestOf(Change), Answer};
  State.OperationOrder.push_back(Change.Operation);
  if (State.OperationOrder.size() <= MaxRememberedOperations)
    return;
  State.Operations.erase(State.OperationOrder.front());
  State.OperationOrder.pop_front();
}

void accept(MachineState &State, const ConfigChange &Change) {
  State.Version = ConfigVersion(State.Version.value() + 1);
  State.Document = Change.Document;
  bumpRevision(State);
  State.History.push_back({State.Version, Change.Operation});
  if (State.History.size() > MaxHistory)
    State.History.pop_front();
}

bool contains(const std::vector<LedgerMember> &Members,
              const LedgerMember &Member) {
  return std::binary_search(Members.begin(), Members.end(), Member);
}

const LedgerMember *memberOfVm(const LedgerView &View, const VmId &Vm) {
  for (const LedgerMember &Member : View.Members)
    if (Member.Vm == Vm)
      return &Member;
  return nullptr;
}

void insertSorted(std::vector<LedgerMember> &Members,
                  const LedgerMember &Member) {
  Members.insert(std::upper_bound(Members.begin(), Members.end(), Member),
                 Member);
}

/// A member of the view that has its disk and may speak for the view.
bool mayAct(const LedgerView &View, const LedgerMember &By) {
  return contains(View.Members, By) && !contains(View.Lost, By);
}

bool isPrimary(const LedgerView &View, const LedgerMember &By) {
  return mayAct(View, By) && View.Primary == By.Vm;
}

bool removeMember(LedgerView &View, const LedgerChange &Change) {
  if (!isPrimary(View, Change.By) || Change.Subject == Change.By ||
      !contains(View.Members, Change.Subject))
    return false;
  std::erase(View.Members, Change.Subject);
  std::erase(View.Lost, Change.Subject);
  return true;
}

bool addMember(LedgerView &View, const LedgerChange &Change) {
  if (!isPrimary(View, Change.By) || memberOfVm(View, Change.Subject.Vm))
    return false;
  insertSorted(View.Members, Change.Subject);
  return true;
}

bool promote(LedgerView &View, const LedgerChange &Change) {
  if (!mayAct(View, Change.By) || View.Primary == Change.By.Vm)
    return false;
  LedgerMember Old = *memberOfVm(View, View.Primary);
  std::erase(View.Members, Old);
  std::erase(View.Lost, Old);
  View.Primary = Change.By.Vm;
  return true;
}

void openEpoch(LedgerView &View, const LedgerChange &Change) {
  View.LedgerEpoch = Epoch(View.LedgerEpoch.value() + 1);
  View.Primary = Change.By.Vm;
  View.Members = {Change.By};
  View.Lost.clear();
  View.KeysRefusedUntil = Change.RefuseKeysUntil;
}

bool reportLost(LedgerView &View, const LedgerChange &Change) {
  const LedgerMember *Old = memberOfVm(View, Change.By.Vm);
  if (!Old || Old->Disk == Change.By.Disk || contains(View.Lost, *Old))
    return false;
  insertSorted(View.Lost, *Old);
  if (View.Lost.size() == View.Members.size())
    openEpoch(View, Change);
  return true;
}

bool applyTo(LedgerView &View, const LedgerChange &Change) {
  switch (Change.Action) {
  case LedgerAction::Open:
    return false;
  case LedgerAction::Remove:
    return removeMember(View, Change);
  case LedgerAction::Add:
    return addMember(View, Change);
  case LedgerAction::Promote:
    return promote(View, Change);
  case LedgerAction::ReportLost:
    return reportLost(View, Change);
  }
  return false;
}

LedgerAnswer openLedger(MachineState &State, const LedgerChange &Change) {
  if (Change.Action != LedgerAction::Open || Change.Base != ViewNumber(0))
    return {ErrorCode::Conflict, std::nullopt};
  LedgerView First;
  First.Number = ViewNumber(1);
  First.LedgerEpoch = Epoch(1);
  First.Primary = Change.By.Vm;
  First.Members = {Change.By};
  State.Ledgers[Change.DataCentre] = First;
  bumpRevision(State);
  return {std::nullopt, First};
}

} // namespace

std::uint64_t digestOf(const ConfigChange &Change) {
  std::uint64_t Hash = FnvOffset ^ Change.Base.value();
  Hash *= FnvPrime;
  for (unsigned char Byte : Change.Document) {
    Hash ^= Byte;
    Hash *= FnvPrime;
  }
  return Hash;
}

std::optional<ConfigAnswer> rememberedAnswer(const MachineState &State,
                                             const ConfigChange &Change) {
  auto Found = State.Operations.find(Change.Operation);
  if (Found == State.Operations.end())
    return std::nullopt;
  if (Found->second.Digest != digestOf(Change))
    return ConfigAnswer{ErrorCode::InvalidArgument, State.Version};
  return Found->second.Answer;
}

ConfigAnswer apply(MachineState &State, const ConfigChange &Change) {
  if (auto First = rememberedAnswer(State, Change))
    return *First;
  ConfigAnswer Answer;
  if (Change.Base == State.Version)
    accept(State, Change);
  else
    Answer.Failure = ErrorCode::Conflict;
  Answer.Version = State.Version;
  remember(State, Change, Answer);
  return Answer;
}

LedgerAnswer apply(MachineState &State, const LedgerChange &Change) {
  auto Found = State.Ledgers.find(Change.DataCentre);
  if (Found == State.Ledgers.end())
    return openLedger(State, Change);
  LedgerView &View = Found->second;
  if (Change.Base != View.Number)
    return {ErrorCode::Conflict, View};
  if (!applyTo(View, Change))
    return {ErrorCode::Refused, View};
  View.Number = ViewNumber(View.Number.value() + 1);
  bumpRevision(State);
  return {std::nullopt, View};
}

ConfigSnapshot viewOf(const MachineState &State) {
  return {State.Version, State.Document, State.Seen, State.Ledgers};
}

} // namespace geraniumbay::control
