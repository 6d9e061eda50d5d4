//===- incarnation.cpp - The incarnation of this start --------------------===//
//
// Incarnations from the wall clock and from a file.
//
//===----------------------------------------------------------------------===//

#include "membership/incarnation.h"

#include <algorithm>
#include <charconv>

namespace geraniumbay::membership {

namespace {

constexpr const char *FileName = "incarnation";
constexpr std::uint64_t RandomValues = 1024;

RetVal<std::uint64_t> parseStored(const std::string &Text) {
  std::uint64_t Stored = 0;
  const char *End = Text.data() + Text.size();
  auto [Rest, Failure] = std::from_chars(Text.data(), End, Stored);
  if (Failure != std::errc() || std::string_view(Rest, End) != "\n")
    return fail(ErrorCode::Corrupt, "the stored incarnation does not read");
  return Stored;
}

RetVal<std::uint64_t> readStored(IStorage &Storage) {
  Outcome<std::string> Text = attempt([&] { return Storage.read(FileName); });
  if (Text)
    return parseStored(*Text);
  if (Text.error().Code == ErrorCode::NotFound)
    return 0;
  return fail(Text.error());
}

} // namespace

Incarnation wallIncarnation(const IClock &Clock, Random &Numbers) {
  WallMillis Wall = std::max<WallMillis>(0, Clock.wallNow());
  return Incarnation(static_cast<std::uint64_t>(Wall) * RandomValues +
                     Numbers.below(RandomValues));
}

RetVal<Incarnation> durableIncarnation(IStorage &Storage, const IClock &Clock,
                                       Random &Numbers) {
  BOOST_LEAF_AUTO(Stored, readStored(Storage));
  std::uint64_t Next =
      std::max(Stored + 1, wallIncarnation(Clock, Numbers).value());
  BOOST_LEAF_CHECK(Storage.replace(FileName, std::to_string(Next) + "\n"));
  return Incarnation(Next);
}

} // namespace geraniumbay::membership
