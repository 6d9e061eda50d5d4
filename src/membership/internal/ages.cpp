//===- ages.cpp - When each entry was heard, in one string ----------------===//
//
// Writing and reading of the ages.
//
//===----------------------------------------------------------------------===//

#include "membership/internal/ages.h"
#include "membership/internal/owner.h"

#include <algorithm>

namespace geraniumbay::membership {

namespace {

constexpr Duration Unit = std::chrono::milliseconds(250);
constexpr char FirstChar = '0';
constexpr char LastChar = 'z';
constexpr char NotHeard = '~';

char charOf(Time HeardAt, Time Now) {
  return HeardAt == Time::min() ? NotHeard : ageChar(Now - HeardAt);
}

} // namespace

bool isLarge(const View &State, const MembershipSettings &Settings) {
  return State.Others.size() + 1 > Settings.MeshLimit;
}

void noteList(View &State) {
  std::string Ids = State.Self.Vm.value();
  auto Place = State.Others.lower_bound(State.Self.Vm);
  auto Index = std::distance(State.Others.begin(), Place);
  State.SelfIndex = static_cast<std::size_t>(Index);
  for (auto Next = Place; Next != State.Others.end(); ++Next)
    Ids += '\n' + Next->first.value();
  while (Place != State.Others.begin())
    Ids.insert(0, (--Place)->first.value() + '\n');
  constexpr std::uint64_t Low32 = 0xFFFFFFFF;
  State.ListDigest = rendezvousWeight(Ids, VmId()) & Low32;
}

char ageChar(Duration Age) {
  auto Units = (Age + Unit - Duration(1)) / Unit;
  return static_cast<char>(
      FirstChar + std::clamp<std::int64_t>(Units, 0, LastChar - FirstChar));
}

std::optional<Duration> ageOfChar(char Char) {
  if (Char < FirstChar || Char >= LastChar)
    return std::nullopt;
  return Unit * (Char - FirstChar);
}

std::string writeAges(const View &State, Time Now) {
  std::string Ages;
  for (const auto &[Vm, Other] : State.Others)
    Ages += charOf(Other.HeardAt, Now);
  Ages.insert(State.SelfIndex, 1, ageChar(Duration(0)));
  return Ages;
}

void takeAges(View &State, const Heartbeat &Message, Time RanAt) {
  if (Message.ListDigest != State.ListDigest ||
      Message.Ages.size() != State.Others.size() + 1)
    return;
  std::size_t Index = 0;
  for (auto &[Vm, Other] : State.Others) {
    if (Index == State.SelfIndex)
      ++Index;
    std::optional<Duration> Age = ageOfChar(Message.Ages[Index++]);
    if (Age)
      Other.HeardAt = std::max(Other.HeardAt, RanAt - *Age);
  }
}

} // namespace geraniumbay::membership
