//===- submissionkey.cpp - Keys of submissions ----------------------------===//
//
// Writes and reads the two kinds of keys.
//
//===----------------------------------------------------------------------===//

#include "ledger/submissionkey.h"

#include <charconv>

namespace geraniumbay::ledger {

namespace {

constexpr std::size_t NumberDigits = 16;
constexpr int Hexadecimal = 16;
constexpr int Decimal = 10;

/// Reads all of \p Text as a number without leading zeros or signs.
std::optional<std::uint64_t> readNumber(std::string_view Text, int Base) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Failure] = std::from_chars(Text.data(), End, Value, Base);
  if (Text.empty() || Stop != End || Failure != std::errc())
    return std::nullopt;
  return Value;
}

std::string hexDigits(std::uint64_t Number) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Text(NumberDigits, '0');
  for (std::size_t Place = NumberDigits; Place > 0; --Place) {
    Text[Place - 1] = Digits[Number % Hexadecimal];
    Number /= Hexadecimal;
  }
  return Text;
}

} // namespace

SubmissionId formatIssuedKey(const IssuedKey &Key) {
  return SubmissionId(Key.Home.value() + "." +
                      std::to_string(Key.IssuedIn.value()) + "." +
                      hexDigits(Key.Number));
}

std::optional<IssuedKey> parseIssuedKey(std::string_view Text) {
  std::size_t LastDot = Text.rfind('.');
  if (LastDot == std::string_view::npos || LastDot == 0)
    return std::nullopt;
  std::size_t MiddleDot = Text.rfind('.', LastDot - 1);
  if (MiddleDot == std::string_view::npos || MiddleDot == 0)
    return std::nullopt;
  auto IssuedIn =
      readNumber(Text.substr(MiddleDot + 1, LastDot - MiddleDot - 1), Decimal);
  auto Number = readNumber(Text.substr(LastDot + 1), Hexadecimal);
  if (!IssuedIn || !Number)
    return std::nullopt;
  IssuedKey Key{DataCentreId(std::string(Text.substr(0, MiddleDot))),
                Epoch(*IssuedIn), *Number};
  // Only the one spelling counts, and a caller's own key has a '/'.
  bool Exact = formatIssuedKey(Key).value() == Text;
  if (!Exact || Text.find('/') != std::string_view::npos)
    return std::nullopt;
  return Key;
}

SubmissionId issueKey(const DataCentreId &Home, Epoch Current,
                      Random &Numbers) {
  return formatIssuedKey(IssuedKey{Home, Current, Numbers.bits()});
}

SubmissionId callerKey(const CallerId &Caller, std::string_view Key) {
  return SubmissionId(Caller.value() + "/" + std::string(Key));
}

} // namespace geraniumbay::ledger
