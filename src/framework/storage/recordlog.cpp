//===- recordlog.cpp - Framing of records in a file -----------------------===//
//
// Encodes and decodes framed records, with Boost.CRC.
//
//===----------------------------------------------------------------------===//

#include "framework/storage/recordlog.h"

#include <algorithm>
#include <boost/crc.hpp>

namespace geraniumbay {

namespace {

constexpr std::size_t NumberSize = 4;
constexpr unsigned BitsPerByte = 8;

std::uint32_t checksum(std::string_view Bytes) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

void writeNumber(std::uint32_t Number, std::string &Out) {
  for (std::size_t Index = 0; Index < NumberSize; ++Index)
    Out.push_back(static_cast<char>(Number >> (BitsPerByte * Index)));
}

std::uint32_t readNumber(std::string_view Bytes) {
  std::uint32_t Number = 0;
  for (std::size_t Index = 0; Index < NumberSize; ++Index) {
    auto Byte = static_cast<std::uint8_t>(Bytes[Index]);
    Number |= static_cast<std::uint32_t>(Byte) << (BitsPerByte * Index);
  }
  return Number;
}

bool allZero(std::string_view Bytes) {
  return std::all_of(Bytes.begin(), Bytes.end(),
                     [](char Byte) { return Byte == 0; });
}

/// Reads the record at the head of \p Rest, which is not empty, into
/// \p Payload. Returns Clean if there was one.
RecordTail readRecord(std::string_view Rest, std::string_view &Payload) {
  // A file system may have grown the file without its bytes.
  if (Rest.size() < RecordHeaderSize || allZero(Rest))
    return RecordTail::Torn;
  std::uint32_t Length = readNumber(Rest);
  std::string_view LengthBytes = Rest.substr(0, NumberSize);
  if (readNumber(Rest.substr(NumberSize)) != checksum(LengthBytes) ||
      Length > MaxRecordSize)
    return RecordTail::Corrupt;
  if (Rest.size() - RecordHeaderSize < Length)
    return RecordTail::Torn;
  Payload = Rest.substr(RecordHeaderSize, Length);
  if (readNumber(Rest.substr(2 * NumberSize)) != checksum(Payload))
    return RecordTail::Corrupt;
  return RecordTail::Clean;
}

} // namespace

Ret encodeRecord(std::string_view Payload, std::string &Out) {
  if (Payload.size() > MaxRecordSize)
    return fail(ErrorCode::InvalidArgument, "record too long");
  std::size_t Start = Out.size();
  writeNumber(static_cast<std::uint32_t>(Payload.size()), Out);
  writeNumber(checksum(std::string_view(Out).substr(Start, NumberSize)), Out);
  writeNumber(checksum(Payload), Out);
  Out.append(Payload);
  return {};
}

RecordFile decodeRecords(std::string_view Bytes) {
  RecordFile Result;
  while (Result.ValidSize < Bytes.size()) {
    std::string_view Payload;
    Result.Tail = readRecord(Bytes.substr(Result.ValidSize), Payload);
    if (Result.Tail != RecordTail::Clean)
      break;
    Result.Records.push_back(Payload);
    Result.ValidSize += RecordHeaderSize + Payload.size();
  }
  return Result;
}

} // namespace geraniumbay
