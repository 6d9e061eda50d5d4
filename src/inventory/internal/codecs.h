//===- codecs.h - Reading and writing single values -------------*- C++ -*-===//
//
// One small codec for each kind of value in the INI files. A codec has
//   std::optional<Value> read(std::string_view) const;
//   std::string write(const Value &) const;
//   std::string allowed() const;  // what an operator may write, for messages
// and write() gives a text that read() takes back to the same value.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_INTERNAL_CODECS_H
#define GERANIUMBAY_INVENTORY_INTERNAL_CODECS_H

#include "framework/clock/iclock.h"
#include "framework/net/endpoint.h"
#include "inventory/role.h"
#include "inventory/rules.h"
#include "inventory/units.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace geraniumbay::inventory {

constexpr std::size_t MaxNameLength = 32;
constexpr std::size_t MaxListLength = 200;

/// Whether \p Text is a name: lower-case letters, digits, '-', '_' and '.',
/// starting with a letter or digit, at most MaxNameLength characters.
bool isName(std::string_view Text);

/// Returns what isName() takes, for messages.
std::string allowedNames();

/// Splits \p Text at commas, without the spaces around the parts.
std::vector<std::string_view> splitList(std::string_view Text);

/// A whole number with a unit, such as 50ms, 2s, 5m, 24h or 30d.
struct DurationCodec {
  Duration Min;
  Duration Max;

  std::optional<Duration> read(std::string_view Text) const;
  std::string write(Duration Value) const;
  std::string allowed() const;
};

/// A whole number with a unit, such as 512B, 64KiB, 8MiB or 64GiB.
struct SizeCodec {
  ByteCount Min;
  ByteCount Max;

  std::optional<ByteCount> read(std::string_view Text) const;
  std::string write(ByteCount Value) const;
  std::string allowed() const;
};

/// A share such as 5%.
struct PercentCodec {
  std::optional<Percent> read(std::string_view Text) const;
  std::string write(Percent Value) const;
  std::string allowed() const;
};

/// Reads a whole number in [\p Min, \p Max].
std::optional<std::uint32_t> readNumber(std::string_view Text,
                                        std::uint32_t Min, std::uint32_t Max);

/// A plain whole number, kept as a \p ValueT.
template <typename ValueT> struct CountCodec {
  std::uint32_t Min;
  std::uint32_t Max;

  std::optional<ValueT> read(std::string_view Text) const {
    auto Number = readNumber(Text, Min, Max);
    return Number ? std::optional(ValueT(*Number)) : std::nullopt;
  }
  std::string write(const ValueT &Value) const {
    if constexpr (std::is_integral_v<ValueT>)
      return std::to_string(Value);
    else
      return std::to_string(Value.value());
  }
  std::string allowed() const {
    return "a whole number from " + std::to_string(Min) + " to " +
           std::to_string(Max);
  }
};

/// "yes" or "no".
struct FlagCodec {
  std::optional<bool> read(std::string_view Text) const;
  std::string write(bool Value) const { return Value ? "yes" : "no"; }
  std::string allowed() const { return "yes or no"; }
};

/// A name, kept as the id \p IdT.
template <typename IdT> struct NameCodec {
  std::optional<IdT> read(std::string_view Text) const {
    return isName(Text) ? std::optional(IdT(std::string(Text))) : std::nullopt;
  }
  std::string write(const IdT &Value) const {
    if constexpr (std::is_same_v<IdT, std::string>)
      return Value;
    else
      return Value.value();
  }
  std::string allowed() const { return allowedNames(); }
};

/// IPv4 number and port.
struct EndpointCodec {
  std::optional<Endpoint> read(std::string_view Text) const;
  std::string write(const Endpoint &Value) const { return Value.text(); }
  std::string allowed() const;
};

/// The path of a file or folder.
struct PathCodec {
  std::optional<std::string> read(std::string_view Text) const;
  std::string write(const std::string &Value) const { return Value; }
  std::string allowed() const;
};

/// "service" or "service/request".
struct RequestKindCodec {
  std::optional<RequestKind> read(std::string_view Text) const;
  std::string write(const RequestKind &Value) const;
  std::string allowed() const;
};

/// One of a few words.
template <typename ValueT> struct ChoiceCodec {
  std::vector<std::pair<std::string, ValueT>> Choices;

  std::optional<ValueT> read(std::string_view Text) const {
    for (const auto &[Word, Value] : Choices)
      if (Word == Text)
        return Value;
    return std::nullopt;
  }
  std::string write(const ValueT &Value) const {
    for (const auto &[Word, Choice] : Choices)
      if (Choice == Value)
        return Word;
    return "";
  }
  std::string allowed() const {
    std::string Result;
    for (const auto &[Word, Value] : Choices)
      Result += (Result.empty() ? "" : " | ") + Word;
    return Result;
  }
};

/// The roles as a choice.
ChoiceCodec<Role> roleCodec();

/// Values of one kind between commas, each once, at most MaxListLength.
/// \p ContainerT is a set or a vector.
template <typename ContainerT, typename CodecT> struct ListCodec {
  CodecT Element;

  std::optional<ContainerT> read(std::string_view Text) const {
    std::vector<typename ContainerT::value_type> Values;
    for (std::string_view Part : splitList(Text)) {
      auto Value = Element.read(Part);
      if (!Value || Values.size() == MaxListLength)
        return std::nullopt;
      for (const auto &Earlier : Values)
        if (Earlier == *Value)
          return std::nullopt;
      Values.push_back(std::move(*Value));
    }
    return ContainerT(Values.begin(), Values.end());
  }
  std::string write(const ContainerT &Values) const {
    std::string Result;
    for (const auto &Value : Values)
      Result += (Result.empty() ? "" : ", ") + Element.write(Value);
    return Result;
  }
  std::string allowed() const {
    return "a list between commas, each once, of: " + Element.allowed();
  }
};

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_INTERNAL_CODECS_H
