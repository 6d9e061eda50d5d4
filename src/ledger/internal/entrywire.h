//===- entrywire.h - Messages between entries and ledgers -------*- C++ -*-===//
//
// Claims, answers and releases in JSON, as in docs/CONTRACTS.md.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_ENTRYWIRE_H
#define GERANIUMBAY_LEDGER_INTERNAL_ENTRYWIRE_H

#include "framework/errors/error.h"
#include "ledger/claim.h"

#include <json/value.h>

namespace geraniumbay::ledger {

namespace method {
constexpr const char *Claim = "ledger.claim";
constexpr const char *RecordAnswer = "ledger.record";
constexpr const char *Release = "ledger.release";
constexpr const char *Renew = "ledger.renew";
} // namespace method

Json::Value toJson(const ClaimRequest &Value);
Json::Value toJson(const AnswerRequest &Value);
Json::Value toJson(const ReleaseRequest &Value);
Json::Value toJson(const Holder &Value);
Json::Value toJson(const ClaimReply &Value);
RetVal<ClaimRequest> claimFromJson(const Json::Value &Value);
RetVal<AnswerRequest> answerFromJson(const Json::Value &Value);
RetVal<ReleaseRequest> releaseFromJson(const Json::Value &Value);
RetVal<Holder> holderFromJson(const Json::Value &Value);
RetVal<ClaimReply> claimReplyFromJson(const Json::Value &Value);

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_ENTRYWIRE_H
