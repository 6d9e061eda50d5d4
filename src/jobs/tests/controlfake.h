//===- controlfake.h - A control VM with the real job service ---*- C++ -*-===//
//
// The job service of a leading control VM, over a fake log without replication.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_TESTS_CONTROLFAKE_H
#define GERANIUMBAY_JOBS_TESTS_CONTROLFAKE_H

#include "jobs/internal/jobservice.h"
#include "jobs/tests/entryfake.h"

namespace geraniumbay::jobs {

/// A log of one member, which leads, or of a group whose leader the test sets.
class FakeLog : public control::IReplicatedLog {
public:
  FakeLog(ITimers &Timers, Endpoint Self)
      : Leader(Self), Members({Self}), Timers_(Timers), Self_(std::move(Self)) {
  }

  std::optional<control::LeaderTerm> leadsIn() const override {
    if (Leader != Self_)
      return std::nullopt;
    return LeadsIn;
  }
  bool holdsLease() const override { return Leader == Self_; }
  std::optional<Endpoint> leaderAddress() const override { return Leader; }
  std::vector<Endpoint> memberAddresses() const override { return Members; }
  void append(std::string Batch,
              std::function<void(Outcome<Done>)> Done) override;
  const control::ConfigSnapshot &configuration() const override {
    return Config;
  }
  void
  change(control::ConfigChange /*Change*/,
         std::function<void(Outcome<control::ConfigAnswer>)> Answer) override {
    Answer(Error{ErrorCode::Unavailable, "not offered here"});
  }
  void onChanged(std::function<void()> Run) override {
    Changed_ = std::move(Run);
  }
  /// Makes \p To the leader, in \p Term.
  void lead(const Endpoint &To, std::uint64_t Term) {
    Leader = To;
    LeadsIn = control::LeaderTerm(Term);
    Changed_();
  }
  void handOver() override {
    // There is no other member to take over.
  }
  void giveUpVote(std::function<void()> Done) override { Done(); }
  /// From now on batches are not committed, as at a leader that is cut off from
  /// the other members.
  void stall() { Stalled_ = true; }
  bool hasStalledBatches() const { return !StalledBatches_.empty(); }
  /// Commits the oldest batch that was held back; the others stay.
  void commitOldest();
  /// Commits the batches that were held back, and later ones as they come.
  void resume();
  /// Another member leads from now on, which has none of the batches that are
  /// not committed yet.
  void dropUncommitted();

  control::ConfigSnapshot Config;
  ReplicatedJobs Jobs;
  std::optional<Endpoint> Leader;
  std::vector<Endpoint> Members;
  control::LeaderTerm LeadsIn{1};

private:
  struct StalledBatch {
    std::string Batch;
    std::function<void(Outcome<Done>)> Finish;
  };
  void commit(const StalledBatch &Next);

  std::function<void()> Changed_;
  bool Stalled_ = false;
  std::vector<StalledBatch> StalledBatches_;
  /// Counts the changes of the leader; earlier batches are not committed.
  std::uint64_t Round_ = 0;
  ITimers &Timers_;
  const Endpoint Self_;
};

/// Replaces the scripted control VM of an EntryFake.
class ControlFake {
public:
  /// \p Document is the routing document that entries get.
  ControlFake(EntryFake &Fake, const std::string &Document);

private:
  void announceAll();

  EntryFake &Fake_;
  const Endpoint At_;
  FakePeerRpc Rpc_;
  FakeWorkerCalls Workers_;
  std::uint64_t Sequence_ = 0;

public:
  FakeLog Log;
  JobService Service;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_TESTS_CONTROLFAKE_H
