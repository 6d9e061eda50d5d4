//===- ijobcontrol.h - Control for workers and operators --------*- C++ -*-===//
//
// The part of the job service that workers and operators reach through a
// control VM. Every control VM offers it and forwards to the leader where
// needed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_IJOBCONTROL_H
#define GERANIUMBAY_JOBS_IJOBCONTROL_H

#include "jobs/workerdirectory.h"

namespace geraniumbay::jobs {

class IJobControl {
public:
  /// Unavailable or Timeout: the caller retries, with any control VM.
  using Acknowledge = std::function<void(Outcome<Done>)>;

  virtual ~IJobControl() = default;

  /// Acknowledged once the leader has the announcement. A draining worker gets
  /// no more tasks from then on.
  virtual void announceWorker(const WorkerInfo &Info, Acknowledge Done) = 0;
  virtual void workerLeaves(const WorkerId &Worker, Acknowledge Done) = 0;

  /// The peer address of the control VM at which \p Worker should announce
  /// itself from now on; nullopt if that is this one. The leader, which carries
  /// the most load, redirects workers to the followers.
  virtual std::optional<Endpoint> announceAt(const WorkerId &Worker) const = 0;

  /// Puts a routing document in force. A document whose version is not higher
  /// than the current one is acknowledged and changes nothing. InvalidArgument:
  /// the document is not valid.
  virtual void putRouting(const std::string &Document, Acknowledge Done) = 0;
  /// The newest document, or NotFound; Unavailable if this VM cannot be certain
  /// which one is newest.
  virtual void getRouting(std::function<void(Outcome<std::string>)> Done) = 0;

  /// Evacuates \p DataCentre, or ends its evacuation. Acknowledged once the
  /// order is in the logs of a majority; idempotent. NotFound: the data centre
  /// is unknown. Unavailable or Timeout: the order may have been recorded; the
  /// caller retries.
  virtual void orderEvacuation(const DataCentreId &DataCentre, bool Evacuate,
                               Acknowledge Done) = 0;

  /// Hands over the leadership, if this VM has it, gives up its vote if the
  /// group can do without it, and calls back when this VM may stop.
  virtual void prepareStop(std::function<void()> Done) = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_IJOBCONTROL_H
