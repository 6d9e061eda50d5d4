//===- recordlog.h - Framing of records in a file ---------------*- C++ -*-===//
//
// Records one after the other in a file, each as
//
//   [length: 4 bytes][CRC of length: 4][CRC of payload: 4][payload]
//
// with little-endian numbers and CRC-32. The length has a checksum of its own,
// so that a record cut off by a crash (a torn tail) is told from a damaged one:
// bytes that were synced and no longer check must not be dropped silently.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_FRAMEWORK_STORAGE_RECORDLOG_H
#define GERANIUMBAY_FRAMEWORK_STORAGE_RECORDLOG_H

#include "framework/errors/error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumbay {

/// The bytes that framing adds to each record.
constexpr std::size_t RecordHeaderSize = 12;
/// Longer payloads are refused, and a longer length is damage.
constexpr std::size_t MaxRecordSize = std::size_t{64} << 20U;

/// What stands behind the last good record of a file.
enum class RecordTail {
  Clean,   ///< Nothing: the file ends with a whole record.
  Torn,    ///< The beginning of a record, or zeros: never synced; cut it off.
  Corrupt, ///< A whole record or length that does not check: data is lost.
};

/// The records of a file.
struct RecordFile {
  /// The payloads of the good records before the first bad one, in order.
  std::vector<std::string_view> Records;
  /// The bytes that the good records take; a torn file is cut to this size.
  std::size_t ValidSize = 0;
  RecordTail Tail = RecordTail::Clean;
};

/// Appends the frame of \p Payload to \p Out. Fails with InvalidArgument if it
/// is longer than MaxRecordSize.
Ret encodeRecord(std::string_view Payload, std::string &Out);

/// Reads the records of \p Bytes, which must outlive the result.
RecordFile decodeRecords(std::string_view Bytes);

} // namespace geraniumbay

#endif // GERANIUMBAY_FRAMEWORK_STORAGE_RECORDLOG_H
