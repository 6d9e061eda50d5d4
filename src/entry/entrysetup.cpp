//===- entrysetup.cpp - Sets the entry module up --------------------------===//
//
// Registers the entry's service and resolves what it needs by name.
//
//===----------------------------------------------------------------------===//

#include "entry/entrysetup.h"

#include "dispatch/dispatchsetup.h"
#include "entry/internal/entryservice.h"
#include "entry/internal/ledgerclaims.h"
#include "framework/kernel/names.h"
#include "ledger/ledgersetup.h"
#include "ledger/submissionkey.h"
#include "membership/membershipsetup.h"

namespace geraniumbay::entry {

namespace {

/// Keeps the claims' adapter alive; only the entry uses it.
constexpr const char *ClaimsName = "entry_claims";

Outcome<SubmissionId> issueLocalKey(const ledger::ILedgerClient &Ledger,
                                    const DataCentreId &Local,
                                    Random &Numbers) {
  std::optional<Epoch> Current = Ledger.epochOf(Local);
  if (!Current)
    return Error{ErrorCode::Unavailable, "no ledger of this data centre yet"};
  return ledger::issueKey(Local, *Current, Numbers);
}

} // namespace

void setupEntry(Registry &Services, const VmId &Self,
                const DataCentreId &Local) {
  namespace kernel = geraniumbay::service_name;
  auto &Clock = Services.get<IClock>(kernel::Clock);
  auto &Timers = Services.get<ITimers>(kernel::Timers);
  auto &Numbers = Services.get<Random>(kernel::Numbers);
  auto &Ledger =
      Services.get<ledger::ILedgerClient>(ledger::service_name::LedgerClient);
  auto Claims = std::make_shared<LedgerClaims>(Ledger, Clock, Timers);
  Services.add<IClaims>(ClaimsName, Claims);
  EntryNeeds Needs{
      Clock,
      Timers,
      Services.get<IHttpServer>(kernel::CallerServer),
      Services.get<IHttpClient>(kernel::HttpClient),
      Services.get<dispatch::IPoolClient>(dispatch::service_name::PoolClient),
      *Claims,
      Services.get<membership::IMembership>(
          membership::service_name::Membership),
      Services.get<IRpcServer>(kernel::RpcServer),
      Services.get<IRpcClient>(kernel::RpcClient),
      Numbers,
      Services.get<Metrics>(kernel::Metrics),
      Services.get<Tracer>(kernel::Tracer),
      Self,
      [&Ledger, &Numbers, Local] {
        return issueLocalKey(Ledger, Local, Numbers);
      }};
  Services.add<IEntry>(service_name::Entry,
                       std::make_shared<EntryService>(Needs));
}

} // namespace geraniumbay::entry
