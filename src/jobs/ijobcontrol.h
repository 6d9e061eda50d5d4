//===- ijobcontrol.h - What workers and operators tell control --*- C++ -*-===//
//
// The part of the job service that a control VM's interfaces to workers and
// operators use. Every control VM offers it and asks the leader where needed.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_JOBS_IJOBCONTROL_H
#define GERANIUMBAY_JOBS_IJOBCONTROL_H

#include "jobs/workerdirectory.h"

namespace geraniumbay::jobs {

class IJobControl {
public:
  /// Unavailable or Timeout: tell it again, to any control VM.
  using Acknowledge = std::function<void(Outcome<Done>)>;

  virtual ~IJobControl() = default;

  /// Acknowledged once the leader has it: a worker that drains gets nothing
  /// more from then on.
  virtual void announceWorker(const WorkerInfo &Info, Acknowledge Done) = 0;
  virtual void workerLeaves(const WorkerId &Worker, Acknowledge Done) = 0;

  /// The peer address of the control VM at which \p Worker should announce
  /// itself from now on; nothing if that is this one. The leader, which has the
  /// most to do, sends workers to the others.
  virtual std::optional<Endpoint> announceAt(const WorkerId &Worker) const = 0;

  /// Puts a document in force. One whose version is not higher than that in
  /// force is acknowledged and changes nothing. InvalidArgument: it is refused.
  virtual void putRouting(const std::string &Document, Acknowledge Done) = 0;
  /// The newest document, or NotFound; Unavailable if that is not certain.
  virtual void getRouting(std::function<void(Outcome<std::string>)> Done) = 0;

  /// Evacuates \p DataCentre, or ends its evacuation: acknowledged once it is
  /// in the log of a majority. Given again it is acknowledged again. NotFound:
  /// nobody knows the data centre. Unavailable or Timeout: order it again; it
  /// may be recorded.
  virtual void orderEvacuation(const DataCentreId &DataCentre, bool Evacuate,
                               Acknowledge Done) = 0;

  /// Hands the leadership over, if this VM has it, gives up its vote where the
  /// group can do without, and calls back when this VM may stop.
  virtual void prepareStop(std::function<void()> Done) = 0;
};

} // namespace geraniumbay::jobs

#endif // GERANIUMBAY_JOBS_IJOBCONTROL_H
