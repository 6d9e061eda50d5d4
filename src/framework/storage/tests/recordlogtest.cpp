//===- recordlogtest.cpp - Tests of the framing of records ----------------===//

#include "framework/storage/recordlog.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace geraniumbay {
namespace {

std::string encode(const std::vector<std::string> &Payloads) {
  std::string Bytes;
  for (const std::string &Payload : Payloads)
    EXPECT_TRUE(attempt([&] { return encodeRecord(Payload, Bytes); }).ok());
  return Bytes;
}

/// Whether the records of \p Decoded are the first ones of \p Payloads.
bool isPrefix(const RecordFile &Decoded,
              const std::vector<std::string> &Payloads) {
  return Decoded.Records.size() <= Payloads.size() &&
         std::equal(Decoded.Records.begin(), Decoded.Records.end(),
                    Payloads.begin());
}

RC_GTEST_PROP(RecordLogTest, ReadsBackWhatWasWritten,
              (const std::vector<std::string> &Payloads)) {
  std::string Bytes = encode(Payloads);
  RecordFile Decoded = decodeRecords(Bytes);
  RC_ASSERT(Decoded.Tail == RecordTail::Clean);
  RC_ASSERT(Decoded.ValidSize == Bytes.size());
  RC_ASSERT(Decoded.Records.size() == Payloads.size());
  RC_ASSERT(isPrefix(Decoded, Payloads));
}

RC_GTEST_PROP(RecordLogTest, AFileCutAtAnyByteIsTornAndNeverCorrupt,
              (const std::vector<std::string> &Payloads)) {
  std::string Bytes = encode(Payloads);
  for (std::size_t Size = 0; Size < Bytes.size(); ++Size) {
    RecordFile Decoded = decodeRecords(std::string_view(Bytes).substr(0, Size));
    bool Whole = Decoded.ValidSize == Size;
    RC_ASSERT(Decoded.Tail == (Whole ? RecordTail::Clean : RecordTail::Torn));
    RC_ASSERT(isPrefix(Decoded, Payloads));
  }
}

RC_GTEST_PROP(RecordLogTest, AFlippedByteInAWholeFileIsAlwaysCorrupt,
              (const std::vector<std::string> &Payloads)) {
  std::string Bytes = encode(Payloads);
  for (std::size_t Offset = 0; Offset < Bytes.size(); ++Offset) {
    std::string Damaged = Bytes;
    Damaged[Offset] = static_cast<char>(
        Damaged[Offset] ^ *rc::gen::inRange<std::uint8_t>(1, 255));
    RecordFile Decoded = decodeRecords(Damaged);
    RC_ASSERT(Decoded.Tail == RecordTail::Corrupt);
    RC_ASSERT(isPrefix(Decoded, Payloads));
  }
}

RC_GTEST_PROP(RecordLogTest, ZerosBehindTheRecordsAreTorn,
              (const std::vector<std::string> &Payloads)) {
  std::string Bytes = encode(Payloads);
  std::string Grown = Bytes + std::string(*rc::gen::inRange(1, 5000), '\0');
  RecordFile Decoded = decodeRecords(Grown);
  RC_ASSERT(Decoded.Tail == RecordTail::Torn);
  RC_ASSERT(Decoded.ValidSize == Bytes.size());
}

RC_GTEST_PROP(RecordLogTest, RandomBytesBehindTheRecordsGiveNoRecord,
              (const std::vector<std::string> &Payloads,
               const std::string &Garbage)) {
  std::string Bytes = encode(Payloads) + Garbage;
  RecordFile Decoded = decodeRecords(Bytes);
  RC_ASSERT(Decoded.Records.size() == Payloads.size());
  RC_ASSERT(isPrefix(Decoded, Payloads));
  RC_ASSERT(Garbage.empty() || Decoded.Tail != RecordTail::Clean);
}

TEST(RecordLogTest, RefusesAPayloadThatIsTooLong) {
  std::string Bytes;
  std::string Payload(MaxRecordSize + 1, 'x');
  EXPECT_FALSE(attempt([&] { return encodeRecord(Payload, Bytes); }).ok());
  EXPECT_TRUE(Bytes.empty());
}

} // namespace
} // namespace geraniumbay
