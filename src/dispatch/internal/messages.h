//===- messages.h - The pool.* messages as JSON -----------------*- C++ -*-===//
//
// Converts the typed messages to the parameters and results of docs/CONTRACTS
// and back. Reading fails with InvalidArgument.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_DISPATCH_INTERNAL_MESSAGES_H
#define GERANIUMBAY_DISPATCH_INTERNAL_MESSAGES_H

#include "dispatch/pool.h"
#include "dispatch/types.h"
#include "framework/errors/error.h"

#include <json/value.h>

namespace geraniumbay::dispatch {

/// pool.acquire.
struct AcquireMessage {
  EntryRef From;
  PoolRequest Request;
};
Json::Value writeAcquire(const AcquireMessage &Message);
RetVal<AcquireMessage> readAcquire(const Json::Value &Params);

/// The result of pool.acquire.
struct AcquireResult {
  /// Nothing if the request was accepted.
  std::optional<Rejection> Why;
  /// The services of the pool now. The owner's name, address and data centre
  /// are left out.
  std::vector<PoolSummary> Loads;
};
Json::Value writeAcquireResult(const AcquireResult &Result);
RetVal<AcquireResult> readAcquireResult(const Json::Value &Result);

/// pool.grant: the leases of one turn for one entry.
struct GrantMessage {
  VmId Owner;
  std::vector<Lease> Leases;
  /// As in AcquireResult.
  std::vector<PoolSummary> Loads;
};
Json::Value writeGrant(const GrantMessage &Message);
RetVal<GrantMessage> readGrant(const Json::Value &Params);

/// The result of pool.grant: the leases that are used.
Json::Value writeLeaseIds(const char *Name, const std::vector<LeaseId> &Ids);
RetVal<std::vector<LeaseId>> readLeaseIds(const Json::Value &Object,
                                          const char *Name);

/// pool.reject.
struct RejectMessage {
  VmId Owner;
  RequestId Request;
  Rejection Why;
};
Json::Value writeReject(const RejectMessage &Message);
RetVal<RejectMessage> readReject(const Json::Value &Params);

/// pool.release.
struct ReleaseItem {
  LeaseId Id;
  LeaseOutcome Outcome = LeaseOutcome::Succeeded;
  Duration Ran{0};
};
Json::Value writeRelease(const std::vector<ReleaseItem> &Items);
RetVal<std::vector<ReleaseItem>> readRelease(const Json::Value &Params);

/// pool.cancel.
Json::Value writeCancel(const RequestId &Request);
RetVal<RequestId> readCancel(const Json::Value &Params);

/// pool.renew: what an entry waits for and holds.
struct RenewMessage {
  EntryRef From;
  std::vector<RequestId> Waiting;
  std::vector<LeaseId> Held;
};
Json::Value writeRenew(const RenewMessage &Message);
RetVal<RenewMessage> readRenew(const Json::Value &Params);
Json::Value writeRequestIds(const char *Name,
                            const std::vector<RequestId> &Ids);
RetVal<std::vector<RequestId>> readRequestIds(const Json::Value &Object,
                                              const char *Name);

} // namespace geraniumbay::dispatch

#endif // GERANIUMBAY_DISPATCH_INTERNAL_MESSAGES_H
