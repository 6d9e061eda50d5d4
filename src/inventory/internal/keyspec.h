//===- keyspec.h - Tables of keys -------------------------------*- C++ -*-===//
//
// A section is described by a table with one line for each key: its name, the
// field it fills and its codec. Reading, writing and documenting a section all
// go by that table.
//
//===----------------------------------------------------------------------===//

#ifndef GERANIUMBAY_INVENTORY_INTERNAL_KEYSPEC_H
#define GERANIUMBAY_INVENTORY_INTERNAL_KEYSPEC_H

#include "inventory/internal/codecs.h"
#include "inventory/internal/inifile.h"
#include "inventory/internal/problemlist.h"
#include "inventory/schema.h"

#include <functional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

namespace geraniumbay::inventory {

/// One key of a section that fills a \p T.
template <typename T> struct KeySpec {
  std::string Name;
  bool Required = false;
  std::string Allowed;
  /// Replaces the default that \p T's own initializer shows, if not empty.
  std::string DefaultText;
  /// Reads a value into \p T; false if it is not allowed.
  std::function<bool(std::string_view, T &)> Read;
  /// Returns the value as text; empty if it is not set.
  std::function<std::string(const T &)> Write;

  /// What holds if the key is missing, for the page of the keys.
  std::string defaultShown() const {
    if (Required)
      return "required";
    if (!DefaultText.empty())
      return DefaultText;
    std::string Shown = Write(T{});
    return Shown.empty() ? "none" : Shown;
  }
};

template <typename T> using KeyTable = std::vector<KeySpec<T>>;

template <typename ValueT> struct IsOptional : std::false_type {};
template <typename ValueT>
struct IsOptional<std::optional<ValueT>> : std::true_type {};

/// Describes the key \p Name. \p Field is a member pointer of \p T, or a
/// generic lambda that returns a reference into it.
template <typename T, typename FieldT, typename CodecT>
KeySpec<T> optionalKey(std::string Name, FieldT Field, CodecT Codec,
                       std::string DefaultText = "") {
  auto Read = [Field, Codec](std::string_view Text, T &Into) {
    auto Value = Codec.read(Text);
    if (Value)
      std::invoke(Field, Into) = std::move(*Value);
    return Value.has_value();
  };
  auto Write = [Field, Codec](const T &From) -> std::string {
    const auto &Value = std::invoke(Field, From);
    if constexpr (IsOptional<std::decay_t<decltype(Value)>>::value)
      return Value ? Codec.write(*Value) : "";
    else
      return Codec.write(Value);
  };
  return {std::move(Name),        false, Codec.allowed(),
          std::move(DefaultText), Read,  Write};
}

/// Describes a key that must be there.
template <typename T, typename FieldT, typename CodecT>
KeySpec<T> requiredKey(std::string Name, FieldT Field, CodecT Codec) {
  KeySpec<T> Result =
      optionalKey<T>(std::move(Name), std::move(Field), std::move(Codec));
  Result.Required = true;
  return Result;
}

/// Returns the names of \p Table's keys between commas.
template <typename T> std::string keyNames(const KeyTable<T> &Table) {
  std::string Result;
  for (const KeySpec<T> &Spec : Table)
    Result += (Result.empty() ? "" : ", ") + Spec.Name;
  return Result;
}

/// Reads one entry of \p Section into \p Into.
template <typename T>
void readEntry(const IniSection &Section, const std::string &Key,
               const IniEntry &Entry, const KeyTable<T> &Table, T &Into,
               ProblemList &Found) {
  std::string Place = Section.title() + "." + printable(Key);
  for (const KeySpec<T> &Spec : Table) {
    if (Spec.Name != Key)
      continue;
    if (!Spec.Read(Entry.Value, Into))
      Found.add({Section.File, Entry.Line, Place,
                 quoted(Entry.Value) + " is not " + Spec.Allowed});
    return;
  }
  Found.add({Section.File, Entry.Line, Place,
             "unknown key; allowed: " + keyNames(Table)});
}

/// Reads the whole \p Section into \p Into and checks that nothing is missing.
template <typename T>
void readSection(const IniSection &Section, const KeyTable<T> &Table, T &Into,
                 ProblemList &Found) {
  for (const auto &[Key, Entry] : Section.Entries)
    readEntry(Section, Key, Entry, Table, Into, Found);
  for (const KeySpec<T> &Spec : Table)
    if (Spec.Required && !Section.Entries.contains(Spec.Name))
      Found.add({Section.File, Section.Line, Section.title() + "." + Spec.Name,
                 "missing; wanted: " + Spec.Allowed});
}

/// Writes \p From as a section with the header \p Title.
template <typename T>
std::string writeSection(const std::string &Title, const KeyTable<T> &Table,
                         const T &From) {
  std::string Result = "[" + Title + "]\n";
  for (const KeySpec<T> &Spec : Table)
    if (std::string Value = Spec.Write(From); !Value.empty())
      Result += Spec.Name + " = " + Value + "\n";
  return Result + "\n";
}

/// Adds the keys of \p Table to \p Into, as keys of \p Section.
template <typename T>
void listKeys(const std::string &Section, const KeyTable<T> &Table,
              std::vector<KeyInfo> &Into) {
  for (const KeySpec<T> &Spec : Table)
    Into.push_back({Section, Spec.Name, Spec.Allowed, Spec.defaultShown()});
}

} // namespace geraniumbay::inventory

#endif // GERANIUMBAY_INVENTORY_INTERNAL_KEYSPEC_H
