//===- cancelrelay.h - Cancelling wherever a job runs -----------*- C++ -*-===//
//
// A caller's cancellation comes to any entry behind the balancer. The entry
// that does not run the job asks the others.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_ENTRY_INTERNAL_CANCELRELAY_H
#define GERANIUMBAY_ENTRY_INTERNAL_CANCELRELAY_H

#include "entry/internal/coordinator.h"
#include "framework/rpc/irpcclient.h"
#include "framework/rpc/irpcserver.h"
#include "membership/imembership.h"

namespace geraniumbay::entry {

/// Cancels submissions here or at other entries.
class CancelRelay {
public:
  using Callback = std::function<void(bool Found)>;

  /// All arguments outlive the object. Offers the method entry.cancel.
  CancelRelay(Coordinator &Submissions, const membership::IMembership &Members,
              IRpcServer &Server, IRpcClient &Client);

  /// Cancels \p Id; \p Done gets whether any entry that was reached ran it.
  void cancel(const SubmissionId &Id, Callback Done);

private:
  void askOthers(const SubmissionId &Id, Callback Done);

  Coordinator &Submissions_;
  const membership::IMembership &Members_;
  IRpcClient &Client_;
};

} // namespace geraniumbay::entry

#endif // GERANIUMBAY_ENTRY_INTERNAL_CANCELRELAY_H
