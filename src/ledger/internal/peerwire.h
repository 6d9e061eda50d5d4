//===- peerwire.h - Messages between ledgers --------------------*- C++ -*-===//
//
// What the primary sends to the members and new members, and their replies.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_LEDGER_INTERNAL_PEERWIRE_H
#define GERANIUMBAY_LEDGER_INTERNAL_PEERWIRE_H

#include "ledger/internal/record.h"

#include <vector>

namespace geraniumbay::ledger {

namespace method {
constexpr const char *Replicate = "ledger.replicate";
constexpr const char *Copy = "ledger.copy";
constexpr const char *Join = "ledger.join";
} // namespace method

/// Who sends in which view, and to which disk.
struct PeerHeader {
  DataCentreId DataCentre;
  ViewNumber View;
  /// The run of the sender.
  std::uint64_t Run = 0;
  VmId From;
  DiskId To;
};

/// Records that follow Previous; none of them for a heartbeat.
struct ReplicateRequest {
  PeerHeader Header;
  Position Previous;
  std::vector<Record> Records;
};

/// A part of a copy of the whole ledger; parts come one after the other.
struct CopyRequest {
  PeerHeader Header;
  std::uint64_t Copy = 0;
  std::uint64_t Part = 0;
  bool IsLast = false;
  Record Head;
  std::vector<Record> Entries;
};

/// Sent by a process that is to become a member.
struct JoinRequest {
  DataCentreId DataCentre;
  ViewNumber View;
  LedgerMember By;
};

/// What a member says to a message of the primary.
enum class PeerState {
  Accepted,
  Misplaced,   ///< The records or the part do not follow what is there.
  StaleView,   ///< The member is in a newer view: the sender is deposed.
  UnknownView, ///< The member does not know the view yet.
  OtherDisk,   ///< The member lost the disk that is meant.
  Failed,      ///< The member cannot write.
};

/// The reply of a member.
struct PeerReply {
  PeerState State = PeerState::Failed;
  /// The last record of the member's log.
  Position Last;
  /// The last place that it has synced.
  std::uint64_t Durable = 0;
};

Json::Value toJson(const ReplicateRequest &Value);
Json::Value toJson(const CopyRequest &Value);
Json::Value toJson(const JoinRequest &Value);
Json::Value toJson(const PeerReply &Value);
RetVal<ReplicateRequest> replicateFromJson(const Json::Value &Value);
RetVal<CopyRequest> copyFromJson(const Json::Value &Value);
RetVal<JoinRequest> joinFromJson(const Json::Value &Value);
RetVal<PeerReply> replyFromJson(const Json::Value &Value);

} // namespace geraniumbay::ledger

#endif // GERANIUMBAY_LEDGER_INTERNAL_PEERWIRE_H
