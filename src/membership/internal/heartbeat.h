//===- heartbeat.h - The message between entries ----------------*- C++ -*-===//
//
// `member.heartbeat`: parameters and result have the same form.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_MEMBERSHIP_INTERNAL_HEARTBEAT_H
#define GERANIUMBAY_MEMBERSHIP_INTERNAL_HEARTBEAT_H

#include "framework/errors/error.h"
#include "membership/internal/report.h"
#include "membership/internal/tombstoneset.h"

#include <json/value.h>
#include <vector>

namespace geraniumbay::membership {

/// The method's name.
constexpr const char *HeartbeatMethod = "member.heartbeat";

/// One message from an entry to another.
struct Heartbeat {
  EntryReport Sender;
  /// The newest message that the sender had directly from the receiver. It
  /// proves that the sender ran after the receiver sent that one. Zeros if
  /// there was none.
  Revision Echo;
  /// Set if the receiver used an older incarnation than the sender knows of
  /// it; 0 otherwise. Everything else the receiver said was refused.
  Incarnation NewerOfReceiver;
  std::vector<EntryReport> Relayed;
  /// In large systems: when the sender heard each entry; see ages.h. Counts
  /// only if ListDigest is that of the receiver's list.
  std::string Ages;
  std::uint64_t ListDigest = 0;
  std::vector<AgedTombstone> Left;
};

/// Writes \p Message as JSON; fields with their default are left out.
Json::Value heartbeatJson(const Heartbeat &Message);

/// Reads a heartbeat; fails with InvalidArgument.
RetVal<Heartbeat> readHeartbeat(const Json::Value &Value);

} // namespace geraniumbay::membership

#endif // GERANIUMBAY_MEMBERSHIP_INTERNAL_HEARTBEAT_H
