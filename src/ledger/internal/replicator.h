//===- replicator.h - The primary's side of replication ---------*- C++ -*-===//
//
// Brings members and new members up to date and works out which records are
// committed: those that the primary and every member of the view have synced.
//
// A new member is counted as one from before it is proposed to control until a
// newer view is known: from the moment of the proposal on control may have put
// it into the view, and every later view may be led by it.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_REPLICATOR_H
#define GERANIUMBAY_LEDGER_INTERNAL_REPLICATOR_H

#include "framework/rpc/irpcclient.h"
#include "ledger/internal/peerwire.h"
#include "ledger/internal/replica.h"

namespace geraniumbay::ledger {

/// Sends the primary's log to the others.
class Replicator {
public:
  using Progress = std::function<void()>;

  /// \p OnProgress runs when committed() may have risen.
  Replicator(const LedgerConfig &Config, const IClock &Clock, IRpcClient &Rpc,
             Replica &Copy, ProposeView Propose, Progress OnProgress);
  Replicator(const Replicator &) = delete;
  Replicator &operator=(const Replicator &) = delete;
  ~Replicator() { *Alive_ = false; }

  /// Begins anew in the replica's view.
  void viewChanged();
  /// Sends to everyone who has no message under way and something to get.
  void push();
  /// Repeats what got lost and asks control for changes.
  void tick();
  /// Notes that a process wants to become a member.
  void join(const JoinRequest &Request);
  /// Takes the silence of the past for the primary's own.
  void forgiveSilence();

  /// The last record that is committed in this view, as far as is known.
  std::uint64_t committed();
  /// Whether some member has been silent for too long to take new claims.
  bool stalled() const;

private:
  /// A copy of the ledger on its way.
  struct CopyOut {
    std::uint64_t Id = 0;
    std::uint64_t Part = 0;
    Record Head;
    std::vector<Record> Entries;
  };
  /// A process that gets the log.
  struct Target {
    LedgerMember Who;
    bool InFlight = false;
    /// Whether Last is a place of this log. Otherwise Durable is 0.
    bool Matched = false;
    Position Last;
    std::uint64_t Durable = 0;
    Time LastHeard;
    Time LastSent;
    std::optional<CopyOut> Copy;
  };

  bool isRequired(const LedgerMember &Who) const;
  void push(Target &To);
  void send(Target &To, const char *Method, Json::Value Params);
  void sendRecords(Target &To);
  void sendCopyPart(Target &To);
  void startCopy(Target &To);
  void onReply(const LedgerMember &From, const Outcome<Json::Value> &Result);
  void take(Target &From, const PeerReply &Reply);
  void place(Target &From, const PeerReply &Reply);
  void considerAdding();
  void considerRemoving();
  void propose(ViewAction Action, const LedgerMember &Subject);
  PeerHeader headerFor(const Target &To) const;
  Target *find(const LedgerMember &Who);

  const LedgerConfig &Config_;
  const IClock &Clock_;
  IRpcClient &Rpc_;
  Replica &Replica_;
  ProposeView Propose_;
  Progress OnProgress_;
  std::vector<Target> Targets_;
  /// A new member that commits wait for while it catches up with the last
  /// records, not proposed yet.
  std::optional<LedgerMember> Holding_;
  Time HoldingSince_;
  std::uint64_t Committed_ = 0;
  /// The last record when this view or run began. What earlier ones committed
  /// is not behind it.
  std::uint64_t RoundBegan_ = 0;
  std::uint64_t LastCopyId_ = 0;
  /// Counts the views here, to tell replies of an earlier one.
  std::uint64_t Round_ = 0;
  Time LastProposal_;
  std::shared_ptr<bool> Alive_ = std::make_shared<bool>(true);
};

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_REPLICATOR_H
