//===- membershipsettings.h - Settings of the membership --------*- C++ -*-===//
//
// Times and bounds of the membership, with their defaults. All entries must
// have the same PoolShards, or they disagree on owners.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_MEMBERSHIPSETTINGS_H
#define GERANIUMBAY_MEMBERSHIP_MEMBERSHIPSETTINGS_H

#include "framework/clock/iclock.h"

#include <cstddef>

namespace geraniumbay::membership {

/// How the membership behaves.
struct MembershipSettings {
  /// Between two heartbeats to one peer, and how long one may take.
  Duration Interval = std::chrono::milliseconds(500);
  /// Silence after which an entry is suspect. A pause of this process's own
  /// loop of this length makes it distrust its view.
  Duration SuspectAfter = std::chrono::milliseconds(1500);
  /// Silence after which an entry is dead.
  Duration DeadAfter = std::chrono::seconds(3);
  /// Entries that own workers at the same time in one data centre.
  std::size_t PoolShards = 1;
  /// Up to this many entries, each exchanges heartbeats with every other.
  /// Above it, each tries a few in turn, which relay what they heard.
  std::size_t MeshLimit = 16;
  /// Above MeshLimit: entries of the own data centre and of other ones that
  /// are sent a request in one interval.
  std::size_t LocalFanout = 1;
  std::size_t RemoteFanout = 1;
  /// Above MeshLimit: whole reports of others that a heartbeat relays. The
  /// time since each entry was heard goes with every heartbeat.
  std::size_t Relays = 1;
  /// Above MeshLimit: SuspectAfter and DeadAfter count this many times for
  /// entries of the own data centre and of other ones, since most signs of
  /// life come by relay.
  int LocalPatience = 3;
  int RemotePatience = 4;
  /// How long a tombstone is kept; longer than any announcement is under way.
  Duration TombstoneLife = std::chrono::seconds(60);
  /// Tombstones in one heartbeat; more take turns.
  std::size_t TombstonesPerHeartbeat = 8;
  /// Silence after which a worker gets no new task; it renews every second.
  Duration WorkerSilence = std::chrono::seconds(3);
  /// How long passing an announcement to the owner may take.
  Duration ForwardTimeout = std::chrono::seconds(1);
};

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_MEMBERSHIPSETTINGS_H
