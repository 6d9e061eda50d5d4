//===- groupfake.h - A control group on fakes -------------------*- C++ -*-===//
//
// Members with their stores on fake disks, a network that tests cut, and checks
// that hold after every step.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_CONTROL_TESTS_GROUPFAKE_H
#define GERANIUMBAY_CONTROL_TESTS_GROUPFAKE_H

#include "control/internal/memberrunner.h"
#include "framework/clock/manualclock.h"
#include "framework/storage/fakestorage.h"

#include <memory>
#include <set>

namespace geraniumbay::control {

struct FakeMember {
  VmId Vm;
  FakeStorage Disk;
  std::unique_ptr<MemberStore> Store;
  /// Null while the member is down.
  std::unique_ptr<MemberRunner> Runner;
  /// A frozen member keeps what it was sent until it is thawed.
  bool Frozen = false;
  /// A test lets its disk fail; a failure that none asked for is an error.
  bool DiskMayFail = false;
  std::vector<Message> Held;
  /// While the process ends as planned: when it ends at the latest, and its
  /// newest word to the leader.
  std::optional<Time> StopBy;
  ProposalId Leave;
};

class GroupFake {
public:
  explicit GroupFake(std::size_t Count, std::uint64_t Seed = 1);

  // Faults.
  void start(std::size_t I);
  /// Loses power: what the disk had not synced may be gone.
  void crash(std::size_t I);
  /// Ends the process; the disk keeps what was written, synced or not.
  void kill(std::size_t I);
  void wipe(std::size_t I);
  /// Ends the process as planned, in the course of run().
  void stop(std::size_t I);
  void freeze(std::size_t I) { Members[I]->Frozen = true; }
  void thaw(std::size_t I);
  /// Lets the disk's syncs fail, or succeed again.
  void failDisk(std::size_t I, bool Fail = true);
  /// Cuts the member off from all others, or lets it talk again.
  void cut(std::size_t I, bool Off = true);
  /// Cuts one connection only.
  void cutLink(std::size_t I, std::size_t J, bool Off = true);

  // The network.
  void deliver(std::size_t K, bool Keep);
  void drop(std::size_t K) { Net.erase(Net.begin() + std::ptrdiff_t(K)); }

  // Progress.
  void tick(Duration Step);
  void completeSyncs();
  /// Delivers everything for \p For, in steps of 50 ms.
  void run(Duration For);
  /// Runs until there is a leader that takes proposals; its index, or -1.
  int runToLeader(Duration AtMost = std::chrono::seconds(20));
  int leader() const;

  /// Submits at \p I; the answer comes into Answers under the id returned.
  ProposalId submit(std::size_t I, ProposalBody Body);
  ProposalId change(std::size_t I, const std::string &Operation,
                    std::uint64_t Base, const std::string &Document = "doc");
  const Replica &at(std::size_t I) const {
    return Members[I]->Runner->replica();
  }
  bool up(std::size_t I) const { return Members[I]->Runner != nullptr; }
  std::size_t inGroup() const;
  /// Whether, by the membership of each member, a majority of the voters still
  /// has the disk it voted from.
  bool canElect() const;
  /// Compares the logs of every two members.
  void checkLogs();

  ManualClock Clock;
  RaftSettings Settings;
  std::vector<std::unique_ptr<FakeMember>> Members;
  std::vector<Message> Net;
  std::map<ProposalId, Outcome<ProposalAnswer>> Answers;
  /// What was found wrong; empty while all is well.
  std::string Wrong;

private:
  void forget(std::size_t I);
  void goOnStopping(std::size_t I);
  bool isCut(const Message &What) const;
  std::size_t indexOf(const VmId &Vm) const;
  void onSend(const Message &What);
  void onReply(const ProposalReply &Reply);
  void check(std::size_t I);
  void checkLeader(const Replica &State);
  void checkVoters(const RaftState &State);
  void expect(bool Holds, const std::string &What);

  Random Rng_;
  /// Both directions of each connection that is cut.
  std::set<std::pair<std::size_t, std::size_t>> Off_;
  std::uint64_t LastId_ = 0;
  std::map<ProposalId, ConfigChange> Proposed_;
  std::map<std::pair<GroupId, Term>, MemberId> Leaders_;
  std::set<MemberId> EverVoters_;
  std::map<std::pair<GroupId, LogIndex>, MachineState> States_;
  std::map<std::pair<GroupId, LogIndex>, LogEntry> Entries_;
  /// First answers that a proposer was given.
  std::map<OperationId, ConfigAnswer> Given_;
  std::map<std::size_t, ConfigVersion> LastVersion_;
};

} // namespace geraniumbay::control

#endif // GERANIUMBAY_CONTROL_TESTS_GROUPFAKE_H
