//===- codecs.cpp - Reading and writing single values ---------------------===//
//
// Numbers with units, names, endpoints and paths.
//
//===----------------------------------------------------------------------===//

#include "inventory/internal/codecs.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace geraniumbay::inventory {
namespace {

/// A unit and how many base units it has.
struct Unit {
  std::string_view Name;
  std::uint64_t Factor;
};

// From the largest to the smallest.
constexpr std::array<Unit, 6> DurationUnits{{{"d", 86'400'000'000U},
                                             {"h", 3'600'000'000U},
                                             {"m", 60'000'000U},
                                             {"s", 1'000'000U},
                                             {"ms", 1'000U},
                                             {"us", 1U}}};
constexpr std::array<Unit, 4> SizeUnits{
    {{"GiB", 1U << 30U}, {"MiB", 1U << 20U}, {"KiB", 1U << 10U}, {"B", 1U}}};

template <typename IntT> std::optional<IntT> readDigits(std::string_view Text) {
  IntT Result = 0;
  const char *End = Text.data() + Text.size();
  auto Parsed = std::from_chars(Text.data(), End, Result);
  if (Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return Result;
}

/// Reads digits followed by one of \p Units, in base units in [Min, Max].
template <std::size_t N>
std::optional<std::uint64_t>
readWithUnit(std::string_view Text, const std::array<Unit, N> &Units,
             std::uint64_t Min, std::uint64_t Max) {
  std::size_t Digits =
      std::min(Text.find_first_not_of("0123456789"), Text.size());
  auto Number = readDigits<std::uint64_t>(Text.substr(0, Digits));
  auto Found = std::find_if(Units.begin(), Units.end(), [&](const Unit &U) {
    return U.Name == Text.substr(Digits);
  });
  if (!Number || Found == Units.end() || *Number > Max / Found->Factor)
    return std::nullopt;
  std::uint64_t Result = *Number * Found->Factor;
  return Result < Min ? std::nullopt : std::optional(Result);
}

/// Writes \p Value in the largest unit that keeps it whole.
template <std::size_t N>
std::string writeWithUnit(std::uint64_t Value,
                          const std::array<Unit, N> &Units) {
  auto Fits = [Value](const Unit &U) {
    return Value >= U.Factor && Value % U.Factor == 0;
  };
  auto Found = std::find_if(Units.begin(), Units.end(), Fits);
  const Unit &Best = Found == Units.end() ? Units.back() : *Found;
  return std::to_string(Value / Best.Factor) + std::string(Best.Name);
}

bool isNameCharacter(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '-' ||
         C == '_' || C == '.';
}

std::string_view trimSpaces(std::string_view Text) {
  while (Text.starts_with(' ') || Text.starts_with('\t'))
    Text.remove_prefix(1);
  while (Text.ends_with(' ') || Text.ends_with('\t'))
    Text.remove_suffix(1);
  return Text;
}

} // namespace

bool isName(std::string_view Text) {
  auto IsMark = [](char C) { return C == '-' || C == '_' || C == '.'; };
  return !Text.empty() && Text.size() <= MaxNameLength &&
         !IsMark(Text.front()) &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

std::string allowedNames() {
  return "a name of 1 to " + std::to_string(MaxNameLength) +
         " lower-case letters, digits, - _ . (first a letter or digit)";
}

std::vector<std::string_view> splitList(std::string_view Text) {
  std::vector<std::string_view> Parts;
  for (std::size_t Start = 0; Start <= Text.size();) {
    std::size_t End = std::min(Text.find(',', Start), Text.size());
    Parts.push_back(trimSpaces(Text.substr(Start, End - Start)));
    Start = End + 1;
  }
  return Parts;
}

std::optional<Duration> DurationCodec::read(std::string_view Text) const {
  auto Micros =
      readWithUnit(Text, DurationUnits, static_cast<std::uint64_t>(Min.count()),
                   static_cast<std::uint64_t>(Max.count()));
  return Micros ? std::optional(Duration(*Micros)) : std::nullopt;
}

std::string DurationCodec::write(Duration Value) const {
  return writeWithUnit(static_cast<std::uint64_t>(Value.count()),
                       DurationUnits);
}

std::string DurationCodec::allowed() const {
  return "a whole number with a unit (us, ms, s, m, h, d) from " + write(Min) +
         " to " + write(Max);
}

std::optional<ByteCount> SizeCodec::read(std::string_view Text) const {
  auto Bytes = readWithUnit(Text, SizeUnits, Min.value(), Max.value());
  return Bytes ? std::optional(ByteCount(*Bytes)) : std::nullopt;
}

std::string SizeCodec::write(ByteCount Value) const {
  return writeWithUnit(Value.value(), SizeUnits);
}

std::string SizeCodec::allowed() const {
  return "a whole number with a unit (B, KiB, MiB, GiB) from " + write(Min) +
         " to " + write(Max);
}

std::optional<Percent> PercentCodec::read(std::string_view Text) const {
  if (!Text.ends_with('%'))
    return std::nullopt;
  Text.remove_suffix(1);
  auto Number = readNumber(Text, 0, 100);
  return Number ? std::optional(Percent(*Number)) : std::nullopt;
}

std::string PercentCodec::write(Percent Value) const {
  return std::to_string(Value.value()) + "%";
}

std::string PercentCodec::allowed() const {
  return "a whole number from 0 to 100 and %";
}

std::optional<std::uint32_t> readNumber(std::string_view Text,
                                        std::uint32_t Min, std::uint32_t Max) {
  auto Number = readDigits<std::uint32_t>(Text);
  return Number && *Number >= Min && *Number <= Max ? Number : std::nullopt;
}

std::optional<bool> FlagCodec::read(std::string_view Text) const {
  if (Text == "yes")
    return true;
  return Text == "no" ? std::optional(false) : std::nullopt;
}

std::optional<Endpoint> EndpointCodec::read(std::string_view Text) const {
  auto Parsed = attempt([Text] { return parseEndpoint(Text); });
  return Parsed ? std::optional(*Parsed) : std::nullopt;
}

std::string EndpointCodec::allowed() const {
  return "an IPv4 number and a port, such as 10.1.0.5:7000";
}

std::optional<std::string> PathCodec::read(std::string_view Text) const {
  constexpr std::size_t MaxPathLength = 1024;
  auto IsControl = [](char C) {
    return static_cast<unsigned char>(C) < ' ' || C == '\x7f';
  };
  if (Text.empty() || Text.size() > MaxPathLength ||
      std::any_of(Text.begin(), Text.end(), IsControl))
    return std::nullopt;
  return std::string(Text);
}

std::string PathCodec::allowed() const {
  return "a path of at most 1024 characters";
}

std::optional<RequestKind> RequestKindCodec::read(std::string_view Text) const {
  std::size_t Slash = Text.find('/');
  std::string_view Service = Text.substr(0, Slash);
  if (!isName(Service))
    return std::nullopt;
  RequestKind Result{ServiceId(std::string(Service)), ""};
  if (Slash == std::string_view::npos)
    return Result;
  if (!isName(Text.substr(Slash + 1)))
    return std::nullopt;
  Result.Request = std::string(Text.substr(Slash + 1));
  return Result;
}

std::string RequestKindCodec::write(const RequestKind &Value) const {
  return Value.Service.value() +
         (Value.Request.empty() ? "" : "/" + Value.Request);
}

std::string RequestKindCodec::allowed() const {
  return "service or service/request";
}

ChoiceCodec<Role> roleCodec() {
  ChoiceCodec<Role> Result;
  for (Role Value : {Role::Entry, Role::Ledger, Role::Control})
    Result.Choices.emplace_back(roleName(Value), Value);
  return Result;
}

} // namespace geraniumbay::inventory
