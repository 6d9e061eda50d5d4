//===- viewwire.h - Views in JSON -------------------------------*- C++ -*-===//
//
// How a ledger writes down the view it is in.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_VIEWWIRE_H
#define GERANIUMBAY_LEDGER_INTERNAL_VIEWWIRE_H

#include "framework/errors/error.h"
#include "ledger/ledgerview.h"

#include <json/value.h>

namespace geraniumbay::ledger {

Json::Value toJson(const LedgerMember &Value);
RetVal<LedgerMember> memberFromJson(const Json::Value &Value);
Json::Value toJson(const LedgerView &Value);
RetVal<LedgerView> viewFromJson(const Json::Value &Value);

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_VIEWWIRE_H
