//===- ledgersetup.cpp - Registers the ledger's services ------------------===//
//
// Resolves what the constructors need by name.
//
//===----------------------------------------------------------------------===//

#include "ledger/ledgersetup.h"
#include "framework/kernel/names.h"
#include "ledger/internal/ledgerclient.h"
#include "ledger/internal/ledgerservice.h"

namespace geraniumbay::ledger {

namespace kernel = geraniumbay::service_name;

void setupLedger(Registry &Services, const LedgerConfig &Config,
                 const ProposeView &Propose, std::uint64_t Seed) {
  Services.add<ILedger>(service_name::Ledger,
                        std::make_shared<LedgerService>(
                            Config, Services.get<IClock>(kernel::Clock),
                            Services.get<ITimers>(kernel::Timers),
                            Services.get<IStorage>(service_name::LedgerStorage),
                            Services.get<IRpcServer>(kernel::RpcServer),
                            Services.get<IRpcClient>(kernel::RpcClient),
                            Propose, Seed));
}

void setupLedgerClient(Registry &Services, const Holder &Self,
                       const LedgerClientConfig &Config) {
  Services.add<ILedgerClient>(service_name::LedgerClient,
                              std::make_shared<LedgerClient>(
                                  Config, Services.get<IClock>(kernel::Clock),
                                  Services.get<ITimers>(kernel::Timers),
                                  Services.get<IRpcClient>(kernel::RpcClient),
                                  Self));
}

} // namespace geraniumbay::ledger
