//===- documentkeys.h - The tables of the document's sections ---*- C++ -*-===//
//
// One table for each kind of section of the operators' document.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_INTERNAL_DOCUMENTKEYS_H
#define GERANIUMBAY_INVENTORY_INTERNAL_DOCUMENTKEYS_H

#include "inventory/document.h"
#include "inventory/internal/keyspec.h"

namespace geraniumbay::inventory {

const KeyTable<DataCentre> &dataCentreKeys();
const KeyTable<Vm> &vmKeys();
const KeyTable<Rack> &rackKeys();
const KeyTable<Service> &serviceKeys();
const KeyTable<Team> &teamKeys();
const KeyTable<Caller> &callerKeys();
const KeyTable<Rules> &rulesKeys();
const KeyTable<Budgets> &budgetKeys();
const KeyTable<Limits> &limitKeys();
const KeyTable<Timeouts> &timeoutKeys();

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_INTERNAL_DOCUMENTKEYS_H
