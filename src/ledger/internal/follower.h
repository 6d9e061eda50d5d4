//===- follower.h - The members' side of replication ------------*- C++ -*-===//
//
// Takes the primary's log; asks to join, to take over from a silent primary, or
// for a new epoch when the disk was lost.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_FOLLOWER_H
#define GERANIUMBAY_LEDGER_INTERNAL_FOLLOWER_H

#include "framework/rpc/irpcclient.h"
#include "ledger/internal/peerwire.h"
#include "ledger/internal/replica.h"

namespace geraniumbay::ledger {

/// What a process does while it is not the primary.
class Follower {
public:
  using Reply = std::function<void(const PeerReply &)>;

  Follower(const LedgerConfig &Config, const IClock &Clock, IRpcClient &Rpc,
           Replica &Copy, ProposeView Propose);

  /// Takes records and replies when they are durable.
  void replicate(const ReplicateRequest &Request, Reply Answer);
  /// Takes a part of a copy.
  void copy(const CopyRequest &Request, const Reply &Answer);

  /// Replies to what has become durable.
  void onSynced();
  void viewChanged();
  /// Takes no further part of the copy that is coming in.
  void dropCopy() { Copy_ = 0; }
  void tick();
  /// Takes the silence of the past for the process's own.
  void forgiveSilence();

private:
  struct Parked {
    std::uint64_t Index = 0;
    Reply Answer;
  };

  PeerState judge(const PeerHeader &Header) const;
  void heard(const PeerHeader &Header);
  PeerReply reply(PeerState State) const;
  PeerState takePart(const CopyRequest &Request);
  void join();
  void propose(ViewAction Action);

  const LedgerConfig &Config_;
  const IClock &Clock_;
  IRpcClient &Rpc_;
  Replica &Replica_;
  ProposeView Propose_;
  std::vector<Parked> Parked_;
  Time PrimaryHeard_;
  /// The highest run of this view's primary that was heard.
  std::uint64_t RunHeard_ = 0;
  Time LastProposal_;
  /// The copy that is coming in and its next part; 0 for none.
  std::uint64_t Copy_ = 0;
  std::uint64_t NextPart_ = 0;
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_FOLLOWER_H
