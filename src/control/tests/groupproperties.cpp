//===- groupproperties.cpp - The control group under random failures ------===//
//
// Random interleavings of messages, losses, duplicates, delays, crashes, lost
// disks, cuts and freezes, and in plays of their own of disks whose writes fail
// for a while. GroupFake checks its invariants after every step:
// one leader a term, committed entries and given answers are kept, members
// agree on the state at each index, versions do not go back, an operation is
// applied once, an empty disk does not vote.
//
//===----------------------------------------------------------------------===//

#include "control/tests/groupfake.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay::control {
namespace {

using namespace std::chrono_literals;

/// One random event; what A, B and C select depends on the kind.
struct Op {
  unsigned Kind;
  unsigned A;
  unsigned B;
};

void showValue(const Op &Value, std::ostream &Out) {
  Out << Value.Kind << '/' << Value.A << '/' << Value.B;
}

rc::Gen<Op> genOp() {
  return rc::gen::build<Op>(rc::gen::set(&Op::Kind, rc::gen::inRange(0U, 100U)),
                            rc::gen::set(&Op::A, rc::gen::inRange(0U, 1000U)),
                            rc::gen::set(&Op::B, rc::gen::inRange(0U, 1000U)));
}

/// Carries out random events on a group.
class Chaos {
public:
  Chaos(GroupFake &Group, bool DisksFail)
      : Group_(Group), DisksFail_(DisksFail) {}

  void apply(const Op &What) {
    std::size_t I = What.A % Group_.Members.size();
    if (DisksFail_ && What.Kind >= 86 && What.Kind < 90)
      Group_.failDisk(I, What.B % 2 == 0);
    else if (What.Kind < 30)
      tick(What);
    else if (What.Kind < 78)
      traffic(What);
    else if (What.Kind < 90)
      propose(I, What.B);
    else if (What.Kind < 92)
      Group_.cut(I, What.B % 3 == 0);
    else if (What.Kind < 94)
      Group_.cutLink(I, (I + 1 + What.B % 2) % Group_.Members.size(),
                     What.B % 3 == 0);
    else if (What.Kind < 95 && What.B % 4 == 0)
      Group_.run(Duration(1ms) * What.A);
    else if (What.Kind < 95)
      What.B % 2 == 0 ? Group_.freeze(I) : Group_.thaw(I);
    else
      fail(I, What.B);
  }

private:
  void tick(const Op &What) {
    Group_.tick(Duration(1ms) * (What.B % 400 + 1));
    Group_.completeSyncs();
  }

  /// Delivers some messages out of order, loses or repeats a few.
  void traffic(const Op &What) {
    for (unsigned N = 0; N < 1 + What.A % 8 && !Group_.Net.empty(); ++N) {
      std::size_t K = What.B % Group_.Net.size();
      if (What.A % 50 == 0)
        Group_.drop(K);
      else
        Group_.deliver(K, What.A % 20 == 1);
      if (What.Kind % 4 != 0)
        Group_.completeSyncs();
    }
  }

  void propose(std::size_t I, unsigned B) {
    if (!Group_.up(I) || Group_.Members[I]->Frozen)
      return;
    int Leader = Group_.leader();
    std::size_t To = Leader >= 0 && B % 4 != 0 ? std::size_t(Leader) : I;
    std::uint64_t Base = Group_.at(To).Machine.Version.value();
    // Sometimes a resend, with its first base.
    if (B % 5 == 0 && !Sent_.empty()) {
      const ConfigChange &Old = Sent_[B % Sent_.size()];
      Group_.submit(To, Old);
      return;
    }
    ConfigChange New{OperationId("op" + std::to_string(Sent_.size())),
                     ConfigVersion(Base - (B % 7 == 0 && Base > 0 ? 1 : 0)),
                     "doc" + std::to_string(Sent_.size())};
    Sent_.push_back(New);
    Group_.submit(To, New);
  }

  void fail(std::size_t I, unsigned B) {
    if (!Group_.up(I)) {
      Group_.start(I);
      return;
    }
    // A disk may be lost while another one holds the group: without any, the
    // group is founded anew.
    bool Wipe = B % 3 == 0 && Group_.inGroup() >= 2;
    if (Wipe)
      Group_.wipe(I);
    else
      Group_.crash(I);
    if (B % 2 == 0)
      Group_.start(I);
  }

  GroupFake &Group_;
  const bool DisksFail_;
  std::vector<ConfigChange> Sent_;
};

void runChaos(std::size_t Count, bool DisksFail = false) {
  GroupFake Group(Count, *rc::gen::arbitrary<std::uint64_t>());
  for (std::size_t I = 0; I < Count; ++I)
    Group.start(I);
  Group.runToLeader();
  Chaos Events(Group, DisksFail);
  auto Ops = *rc::gen::container<std::vector<Op>>(
      *rc::gen::inRange<std::size_t>(200, 2500), genOp());
  for (const Op &What : Ops) {
    Events.apply(What);
    RC_ASSERT(Group.Wrong == "");
  }
  Group.checkLogs();
  RC_ASSERT(Group.Wrong == "");
  // All faults over: what was answered is still there (checkLeader).
  for (std::size_t I = 0; I < Count; ++I) {
    Group.cut(I, false);
    if (DisksFail)
      Group.failDisk(I, false);
    Group.start(I);
    Group.thaw(I);
  }
  int Leader = Group.runToLeader();
  RC_TAG(Leader >= 0);
  RC_ASSERT(Leader >= 0 || !Group.canElect());
  if (Leader >= 0)
    Group.run(5s);
  Group.checkLogs();
  RC_ASSERT(Group.Wrong == "");
}

RC_GTEST_PROP(GroupProperties, ThreeMembersKeepTheirPromises, ()) {
  runChaos(3);
}

RC_GTEST_PROP(GroupProperties, FiveMembersKeepTheirPromises, ()) {
  runChaos(5);
}

// Guards against a member that acknowledges or votes on what a failed write has
// not put on its disk, and against one that does not come back.
RC_GTEST_PROP(GroupProperties, ThreeMembersWithFailingDisksKeepTheirPromises,
              ()) {
  runChaos(3, /*DisksFail=*/true);
}

RC_GTEST_PROP(GroupProperties, FiveMembersWithFailingDisksKeepTheirPromises,
              ()) {
  runChaos(5, /*DisksFail=*/true);
}

} // namespace
} // namespace geraniumbay::control
