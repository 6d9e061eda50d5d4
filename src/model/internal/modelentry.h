//===- modelentry.h - A small stand-in for an entry -------------*- C++ -*-===//
//
// Coordinates submissions as an entry does: gets leases, starts each task at
// its worker, retries and hedges within the budget, and answers the caller.
// All decisions are those of the dispatch module, or of a baseline.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MODEL_INTERNAL_MODELENTRY_H
#define GERANIUMBAY_MODEL_INTERNAL_MODELENTRY_H

#include "dispatch/hedging.h"
#include "dispatch/ipoolclient.h"
#include "dispatch/runtimes.h"
#include "model/internal/baselines.h"
#include "model/internal/workload.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace geraniumbay::model {

/// What the caller is told.
struct Answer {
  enum class Kind { Complete, Failed, NotRun, Cancelled };
  Kind What = Kind::Complete;
  /// Only with NotRun.
  Duration RetryAfter{0};
};

class ModelEntry {
public:
  using Reply = std::function<void(const Answer &)>;

  /// \p Queue is the central queue, or null if that is not the policy.
  ModelEntry(World &Shared, ModelWorkers &Workers, CentralQueue *Queue,
             dispatch::IPoolClient &Client, std::size_t Index);

  /// Takes a submission; \p OnAnswer is called once. Returns its id.
  std::uint64_t submit(const Submission &What, Reply OnAnswer);
  /// The caller gives up. Unknown ids are ignored.
  void cancel(std::uint64_t Id);

private:
  /// One copy of a task at a worker.
  struct Copy {
    dispatch::Lease Held;
    std::size_t Worker = 0;
    std::uint64_t WorkerTask = 0;
    bool Ended = false;
    /// Nobody waits for it any more; its worker is told to stop it.
    bool Stopped = false;
    /// The worker has taken it.
    bool Arrived = false;
  };

  struct Task {
    Duration Run{0};
    std::uint32_t Tries = 0;
    std::uint32_t Starts = 0;
    bool Done = false;
    Time EndedAt{};
    std::vector<std::shared_ptr<Copy>> Copies;
  };

  struct Open {
    std::uint64_t Id = 0;
    Submission What;
    Reply OnAnswer;
    std::vector<Task> Tasks;
    std::size_t Left = 0;
    bool Closed = false;
    /// Requests for slots that are not served in full.
    std::vector<dispatch::RequestId> Asked;
    TimerId Deadline;
    Time ArrivedAt{};
  };
  using OpenPtr = std::shared_ptr<Open>;

  /// Asks for slots for \p Which tasks.
  void ask(const OpenPtr &Of, std::vector<std::size_t> Which,
           const WorkerId &Avoid);
  dispatch::PoolRequest requestFor(const Open &Of, std::size_t Tasks);
  void onLease(const OpenPtr &Of, std::size_t Index,
               const dispatch::Lease &Held);
  void onReject(const OpenPtr &Of, const dispatch::Rejection &Why);
  void send(const OpenPtr &Of, std::size_t Index, const dispatch::Lease &Held);
  void arrive(const OpenPtr &Of, std::size_t Index,
              const std::shared_ptr<Copy> &Sent);
  void onResult(const OpenPtr &Of, std::size_t Index,
                const std::shared_ptr<Copy> &Sent,
                dispatch::LeaseOutcome Outcome, Duration Ran);
  void succeeded(const OpenPtr &Of, std::size_t Index, Duration Ran);
  void tryAgain(const OpenPtr &Of, std::size_t Index,
                dispatch::LeaseOutcome Outcome, const WorkerId &Avoid);
  void armHedge(const OpenPtr &Of, std::size_t Index,
                const dispatch::Lease &Held);
  /// Answers the caller and gives up what is still open.
  void close(const OpenPtr &Of, const Answer &What);
  void stopCopies(Task &Of);
  void stopAtWorker(const std::shared_ptr<Copy> &Of);
  void countTasks(const Open &Of, bool Complete);
  Duration delayTo(std::size_t Worker) const;
  bool startedAny(const Open &Of) const;

  World &Shared_;
  ModelWorkers &Workers_;
  CentralQueue *Queue_;
  dispatch::IPoolClient &Client_;
  std::size_t Index_;
  dispatch::RetryPolicy RetryPolicy_;
  dispatch::HedgePolicy HedgePolicy_;
  dispatch::RetryBudget Budget_;
  dispatch::LateProfile Lateness_;
  dispatch::RunTimes Times_;
  std::unordered_map<std::uint64_t, OpenPtr> Open_;
  std::uint64_t LastId_ = 0;
  std::uint64_t LastRequest_ = 0;
};

} // namespace geraniumbay::model

#endif // GERANIUMBAY_MODEL_INTERNAL_MODELENTRY_H
