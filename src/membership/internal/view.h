//===- view.h - The view of the entries -------------------------*- C++ -*-===//
//
// The decision core of the membership: which entries run, judged only by what
// proves it. Every message echoes the newest message that its sender had from
// the receiver. The receiver knows when it sent that one, so the sender ran at
// that time or later. A message that was delayed, duplicated or buffered while
// this process was frozen echoes something old and so proves nothing new.
//
// After a start, and after a pause of this process, the silence of the others
// proves nothing either: the view is then not trusted until each peer that is
// contacted itself was heard again or was silent for the dead time.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_VIEW_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_VIEW_H

#include "membership/imembership.h"
#include "membership/internal/heartbeat.h"
#include "membership/membershipsettings.h"

#include <deque>
#include <map>

namespace geraniumbay::membership {

/// What is known of one configured entry other than this one.
struct EntryRecord {
  Peer Configured;
  /// The newest report, directly or relayed. Invariant: never goes back.
  Revision Newest;
  /// The newest message that came directly; what this entry echoes.
  Revision Direct;
  /// The entry was certainly running then. Invariant: not later than its last
  /// sign of life.
  Time HeardAt = Time::min();
  bool Draining = false;
  /// When this view learned of its last restart or drain.
  Time ChangedAt = Time::min();
  ConfigVersion InForce;
  std::vector<PoolSummary> Pools;
  /// As of the last refresh(), to notice changes.
  EntryState State = EntryState::Dead;
};

/// The times at which this entry sent its latest messages.
struct SentTimes {
  /// The sequence of the first of Times.
  std::uint64_t First = 1;
  /// Invariant: one for each sequence from First on, not decreasing.
  std::deque<Time> Times;
};

/// The whole state of the core.
struct View {
  Peer Self;
  /// Of the last message that this entry made.
  Revision Own;
  bool Draining = false;
  ConfigVersion InForce;
  /// Whether the list was ever set; without it nothing can be trusted.
  bool Configured = false;
  SentTimes Sent;
  std::map<VmId, EntryRecord> Others;
  /// Of the whole list, in order of the ids: its digest and this entry's place.
  std::uint64_t ListDigest = 0;
  std::size_t SelfIndex = 0;
  /// When the view last had an event.
  Time LastEvent;
  /// Signs of life before this are not enough for trust.
  Time DistrustedSince;
  bool Trusted = false;
  /// Whether Trusted ever was true; from then on Own.Incarnation is final.
  bool WasTrusted = false;
  /// Whether a higher incarnation of this entry was seen when this one was
  /// final. Invariant: never false again, and then Trusted is false.
  bool Fenced = false;
  /// In large systems, the last one that took its turn to be relayed, and to
  /// be sent a request in the own data centre and in another one.
  VmId RelayCursor;
  VmId NewsCursor;
  VmId LocalCursor;
  VmId RemoteCursor;
};

/// Changes to tell listeners of, in order.
using Changes = std::vector<MembershipChange>;

/// What became of a message.
enum class Reception {
  Taken,        ///< Its sender is known and of the newest incarnation.
  Stale,        ///< Its sender is of an older incarnation; nothing was taken.
  Unconfigured, ///< Its sender is not on the list; nothing was taken.
};

/// Returns a view that knows only \p Self.
View makeView(const Peer &Self, Incarnation Own, Time Now);

/// Replaces the configured list; entries that stay keep their record.
Changes replacePeers(View &State, const std::vector<Peer> &Peers,
                     ConfigVersion InForce, const MembershipSettings &Settings,
                     Time Now);

/// Notes the time. Must come before any other event at \p Now: a jump since
/// the last event means that this process was frozen.
Changes observe(View &State, const MembershipSettings &Settings, Time Now);

/// Takes in a heartbeat, without its tombstones.
Reception receive(View &State, const MembershipSettings &Settings,
                  const Heartbeat &Message, Time Now, Changes &Noted);

/// Counts a message of this entry at \p Now and returns its report of itself.
EntryReport nextReport(View &State, const MembershipSettings &Settings,
                       std::vector<PoolSummary> Pools, Time Now);

/// Sets whether this entry is stopping.
Changes setViewDraining(View &State, bool Draining);

/// Whether trust waits for \p Other: it is contacted itself when there is any
/// doubt, not only by relays.
bool isAwaited(const View &State, const EntryRecord &Other,
               const MembershipSettings &Settings);

/// Returns how long \p Other was not heard; since the last distrust at most.
Duration silenceOf(const View &State, const EntryRecord &Other, Time Now);

/// Returns all configured entries, this one included, in order of their ids.
std::vector<EntryInfo> viewEntries(const View &State, Time Now);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_VIEW_H
