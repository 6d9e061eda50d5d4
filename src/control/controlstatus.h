//===- controlstatus.h - What the control group reports ---------*- C++ -*-===//
//
// The truthful answer to "which version is in force where": what the control
// VMs themselves have, and what every process said when it last asked.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_CONTROLSTATUS_H
#define GERANIUMBAY_CONTROL_CONTROLSTATUS_H

#include "control/configtypes.h"

#include <cstddef>

namespace geraniumbay::control {

/// A process that asks for the configuration.
struct Watcher {
  VmId Vm;
  /// Tells the processes of one VM apart; its roles, as "ledger".
  std::string Process;

  auto operator<=>(const Watcher &) const = default; // NOLINT
  bool operator==(const Watcher &) const = default;
};

/// What is known of one process.
struct WatcherStatus {
  Watcher Who;
  Incarnation Start;
  /// The version it said it had in force.
  ConfigVersion InForce;
  /// How long ago it was last heard.
  Duration Age{0};
  /// It is in the inventory and has not been heard at all; Age is then how
  /// long this has been watched.
  bool NeverSeen = false;

  bool operator==(const WatcherStatus &) const = default;
};

/// What is known of one control VM.
struct ControlVmStatus {
  VmId Vm;
  /// It answered; without an answer the other fields mean nothing.
  bool Reachable = false;
  /// Its disk takes what it writes; else it neither leads nor votes.
  bool Writable = false;
  /// "joining", "follower", "candidate" or "leader".
  std::string Role;
  ConfigVersion Version;
  /// How long the process has run.
  Duration Uptime{0};

  bool operator==(const ControlVmStatus &) const = default;
};

/// Which voters one control VM can reach.
struct VoterContact {
  /// It leads; then its word goes before that of others.
  bool Leads = false;
  /// The newest term that it knows.
  Term SeenTerm;
  /// The voters that do not answer: of a leader, its heartbeats; of a VM that
  /// hears no leader, its question for votes. Others cannot tell.
  std::vector<VmId> Silent;
};

/// The report of one control VM; `status` merges those it can reach.
struct ControlStatus {
  /// The newest version that any reachable control VM has.
  ConfigVersion Version;
  std::vector<ControlVmStatus> ControlVms;
  /// The voters of the group, as the VM that answers knows them.
  std::vector<VmId> Voters;
  /// Of the leader if one was reached.
  VoterContact Contact;
  std::vector<WatcherStatus> Watchers;
  std::vector<ChangeRecord> History;
};

/// How many of \p Voters may be lost beside the \p Silent ones; below 0 there
/// is no majority.
inline std::ptrdiff_t spareVoters(std::size_t Voters, std::size_t Silent) {
  return static_cast<std::ptrdiff_t>(Voters) -
         static_cast<std::ptrdiff_t>(Silent) -
         static_cast<std::ptrdiff_t>(Voters / 2 + 1);
}

inline std::ptrdiff_t spareVoters(const ControlStatus &Status) {
  return spareVoters(Status.Voters.size(), Status.Contact.Silent.size());
}

/// A process that was not heard for longer is reported as cut off.
constexpr Duration CutOffAfter = std::chrono::seconds(10);

inline bool isCutOff(const WatcherStatus &Status) {
  return Status.NeverSeen || Status.Age > CutOffAfter;
}

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_CONTROLSTATUS_H
