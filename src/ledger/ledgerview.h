//===- ledgerview.h - Who holds a data centre's ledger ----------*- C++ -*-===//
//
// Plain types of the view that control decides, and of the changes of it that
// ledgers ask for. The ledger knows nothing of the control module: whoever
// wires the process hands views in and carries proposals out.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_LEDGERVIEW_H
#define GERANIUMBAY_LEDGER_LEDGERVIEW_H

#include "framework/clock/iclock.h"
#include "framework/net/endpoint.h"
#include "framework/types/strongid.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace geraniumbay::ledger {

/// Counts the views of one data centre's ledger.
using ViewNumber = StrongId<struct ViewNumberTag, std::uint64_t>;
/// The id that a ledger writes on a fresh disk. A lost disk means a new one.
using DiskId = StrongId<struct DiskTag, std::uint64_t>;

/// A ledger process together with the disk that holds its records.
struct LedgerMember {
  VmId Vm;
  DiskId Disk;

  auto operator<=>(const LedgerMember &) const = default; // NOLINT
  bool operator==(const LedgerMember &) const = default;
};

/// Where a ledger process of the data centre listens.
struct LedgerPeer {
  VmId Vm;
  Endpoint At;

  bool operator==(const LedgerPeer &) const = default;
};

/// Who holds the ledger of one data centre. Views are ordered by Number.
struct LedgerView {
  DataCentreId DataCentre;
  ViewNumber Number;
  Epoch LedgerEpoch;
  VmId Primary;
  /// Each holds every committed record. Invariant: holds the primary.
  std::vector<LedgerMember> Members;
  /// All ledger processes of the data centre, members or not.
  std::vector<LedgerPeer> Peers;
  /// Callers' own keys are refused until then; 0 if never refused.
  WallMillis KeysRefusedUntil = 0;

  bool operator==(const LedgerView &) const = default;

  /// The member on \p Vm, or null.
  const LedgerMember *memberOn(const VmId &Vm) const {
    auto Found = std::find_if(
        Members.begin(), Members.end(),
        [&](const LedgerMember &Member) { return Member.Vm == Vm; });
    return Found == Members.end() ? nullptr : &*Found;
  }
  bool hasMember(const LedgerMember &Member) const {
    return std::find(Members.begin(), Members.end(), Member) != Members.end();
  }
  /// Where \p Vm listens, or null.
  const Endpoint *endpointOf(const VmId &Vm) const {
    auto Found =
        std::find_if(Peers.begin(), Peers.end(),
                     [&](const LedgerPeer &Peer) { return Peer.Vm == Vm; });
    return Found == Peers.end() ? nullptr : &Found->At;
  }
};

/// What a change of a view does.
enum class ViewAction {
  Open,       ///< Makes the first view, with By alone. Base is 0.
  Remove,     ///< By the primary: removes Subject.
  Add,        ///< By the primary: adds Subject, which has caught up.
  Promote,    ///< By a member: becomes the primary, drops the old one.
  ReportLost, ///< By a VM whose disk of the view is lost; once all are, it
              ///< opens a higher epoch.
};

/// A change of the view that a ledger asks control for. It may be asked again
/// and again; control carries it out only on the view it is based on.
struct ViewProposal {
  DataCentreId DataCentre;
  ViewNumber Base;
  ViewAction Action = ViewAction::Open;
  LedgerMember By;
  LedgerMember Subject;
  /// What KeysRefusedUntil becomes if a new epoch is opened.
  WallMillis RefuseKeysUntil = 0;

  bool operator==(const ViewProposal &) const = default;
};

/// Takes a proposal to control; the answer is the next view that is applied.
using ProposeView = std::function<void(const ViewProposal &)>;

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_LEDGERVIEW_H
