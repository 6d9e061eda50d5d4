//===- ledgersetup.h - Registers the ledger's services ----------*- C++ -*-===//
//
// The module's entry point: setupLedger() for a VM with a disk that holds a
// copy of its data centre's ledger, setupLedgerClient() for an entry.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_LEDGERSETUP_H
#define GERANIUMBAY_LEDGER_LEDGERSETUP_H

#include "framework/kernel/registry.h"
#include "ledger/claim.h"
#include "ledger/ledgerclientconfig.h"
#include "ledger/ledgerconfig.h"
#include "ledger/ledgerview.h"

namespace geraniumbay::ledger {

namespace service_name {
constexpr const char *Ledger = "ledger";                ///< ILedger
constexpr const char *LedgerClient = "ledger_client";   ///< ILedgerClient
constexpr const char *LedgerStorage = "ledger_storage"; ///< IStorage
} // namespace service_name

/// Registers ILedger. Needs the framework's Clock, Timers, RpcServer and
/// RpcClient and an IStorage under service_name::LedgerStorage. \p Propose
/// takes proposals to control; \p Seed is random. ILedger::start() begins.
void setupLedger(Registry &Services, const LedgerConfig &Config,
                 const ProposeView &Propose, std::uint64_t Seed);

/// Registers ILedgerClient of the entry \p Self. Needs the framework's Clock,
/// Timers and RpcClient.
void setupLedgerClient(Registry &Services, const Holder &Self,
                       const LedgerClientConfig &Config);

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_LEDGERSETUP_H
