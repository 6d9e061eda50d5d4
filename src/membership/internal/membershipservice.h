//===- membershipservice.h - Heartbeats of one entry ------------*- C++ -*-===//
//
// The adapter around the view: sends heartbeats by RPC on a timer, answers
// those of the peers, and tells listeners what changed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_MEMBERSHIPSERVICE_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_MEMBERSHIPSERVICE_H

#include "framework/clock/itimers.h"
#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"
#include "membership/imembershipcontrol.h"
#include "membership/internal/view.h"
#include "membership/itombstones.h"

#include <memory>

namespace geraniumbay::membership {

/// The membership of one process.
class MembershipService : public IMembership,
                          public IMembershipControl,
                          public ITombstones {
public:
  MembershipService(const IClock &Clock, ITimers &Timers, IRpcClient &Client,
                    IRpcServer &Server, const Peer &Self, Incarnation Own,
                    const MembershipSettings &Settings);

  const Peer &self() const override { return View_.Self; }
  Incarnation incarnation() const override { return View_.Own.Incarnation; }
  bool trusted() const override;
  std::vector<EntryInfo> entries() const override;
  std::vector<EntryInfo> aliveEntries() const override;
  std::optional<Peer> ownerOf(const DataCentreId &DataCentre,
                              const WorkerId &Worker) const override;
  std::vector<Peer> ownersOf(const DataCentreId &DataCentre) const override;
  std::vector<PoolReport> summaries(const DataCentreId &DataCentre,
                                    const ServiceId &Service) const override;
  void subscribe(IMembership::Listener OnChange) override;

  void start() override;
  void stop() override;
  void setDraining(bool Draining) override;
  void setPeers(std::vector<Peer> Peers, ConfigVersion InForce) override;
  void publishPools(PoolSource Source) override;

  void bury(const Tombstone &Left) override;
  bool hasLeft(const WorkerId &Worker, Incarnation Incarnation) const override;
  void onLeft(ITombstones::Listener OnLeft) override;

private:
  /// One interval: judge, send, and set the next timer.
  void tick();
  /// Sends a heartbeat to each of this interval's targets.
  void sendRound();
  /// Sends one to every entry that trust waits for, at the next chance.
  void sendSoon();
  void sendTo(const Peer &To);
  Heartbeat compose(const VmId &To);
  /// Answers a peer's heartbeat.
  Outcome<Json::Value> answer(const Json::Value &Params);
  void takeReply(const VmId &From, const Outcome<Json::Value> &Result);
  void buryAll(const std::vector<AgedTombstone> &Left);
  /// Returns whether any of \p Left was new.
  bool buryOne(const AgedTombstone &Left);
  /// Notes the time; comes first in every event.
  void noteTime();
  void tell(const Changes &Noted);
  std::vector<VmId> ownerIdsOf(const DataCentreId &DataCentre) const;
  const Peer &peerOf(const VmId &Vm) const;

  const IClock &Clock_;
  ITimers &Timers_;
  IRpcClient &Client_;
  const MembershipSettings Settings_;
  View View_;
  TombstoneSet Tombstones_;
  std::vector<IMembership::Listener> OnChange_;
  std::vector<ITombstones::Listener> OnLeft_;
  PoolSource Pools_;
  /// The timers of tick() and sendSoon(), or 0.
  TimerId Tick_;
  TimerId Soon_;
  /// Callbacks that outlive this service find it gone.
  std::shared_ptr<MembershipService *> Alive_;
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_MEMBERSHIPSERVICE_H
