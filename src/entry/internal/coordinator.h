//===- coordinator.h - All submissions of this entry ------------*- C++ -*-===//
//
// Runs submissions and answers everyone who waits for one. A resubmission that
// comes to the same entry joins the running one.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_COORDINATOR_H
#define GERANIUMBAY_ENTRY_INTERNAL_COORDINATOR_H

#include "entry/internal/runner.h"

#include <map>
#include <unordered_map>

namespace geraniumbay::entry {

/// Names one caller that waits for a submission's answer.
struct WaiterHandle {
  SubmissionId Submission;
  std::uint64_t Number = 0;
};

/// The submissions on their way through this entry.
class Coordinator {
public:
  using Waiter = std::function<void(const Result &)>;

  explicit Coordinator(RunnerServices Services)
      : Services_(std::move(Services)) {}

  /// Runs \p Request and calls \p Done with its answer, once. Never calls it
  /// before it returns.
  WaiterHandle submit(const Submission &Request, const Span &Root, Waiter Done);
  /// The caller behind \p Who does not wait any more.
  void abandon(const WaiterHandle &Who);
  /// Cancels a submission that runs here; returns false if none does.
  bool cancel(const SubmissionId &Id);
  /// Submissions without an answer.
  std::size_t running() const { return Active_.size(); }

private:
  struct Active {
    std::shared_ptr<Runner> Running;
    std::string Digest;
    std::map<std::uint64_t, Waiter> Waiters;
  };

  void replyLater(Waiter Done, Result Answer);
  void finished(const SubmissionId &Id, const Result &Answer);

  const RunnerServices Services_;
  std::uint64_t LastWaiter_ = 0;
  // Invariant: holds exactly the submissions that have no answer yet.
  std::unordered_map<SubmissionId, Active> Active_;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_COORDINATOR_H
