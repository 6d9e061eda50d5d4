//===- configuration.h - The configuration as the modules see it -*- C++
//-*-===//
//
// Translates the operators' inventory and rules into the settings of each
// module.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_APP_INTERNAL_CONFIGURATION_H
#define GERANIUMBAY_APP_INTERNAL_CONFIGURATION_H

#include "control/configtypes.h"
#include "dispatch/poolpolicy.h"
#include "inventory/document.h"
#include "ledger/ledgerview.h"
#include "membership/membershipsettings.h"
#include "membership/peer.h"

namespace geraniumbay::app {

/// The entries of \p Inv as members of the group.
std::vector<membership::Peer> entryPeers(const inventory::Inventory &Inv);

/// The policy of the pools under \p Doc.
dispatch::PoolPolicy poolPolicy(const inventory::Document &Doc);

/// The view \p View of \p DataCentre with the addresses of \p Inv.
ledger::LedgerView ledgerView(const DataCentreId &DataCentre,
                              const control::LedgerView &View,
                              const inventory::Inventory &Inv);

/// A ledger's wish for another view, as control takes it.
control::LedgerChange ledgerChange(const ledger::ViewProposal &Proposal);

} // namespace geraniumbay::app

#endif // GERANIUMBAY_APP_INTERNAL_CONFIGURATION_H
