//===- incarnationtest.cpp - Tests of the incarnation of a start ----------===//

#include "membership/incarnation.h"
#include "framework/clock/manualclock.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <optional>

namespace geraniumbay::membership {
namespace {

/// A folder with at most one file.
class OneFile : public IStorage {
public:
  RetVal<std::vector<std::string>> list() override { return {}; }
  RetVal<std::string> read(const std::string &) override {
    if (!Content)
      return fail(ErrorCode::NotFound, "no file");
    return *Content;
  }
  Ret append(const std::string &, std::string_view) override { return {}; }
  void sync(const std::string &, SyncCallback) override {}
  Ret replace(const std::string &, std::string_view Bytes) override {
    if (Full)
      return fail(ErrorCode::Io, "disk full");
    Content = std::string(Bytes);
    return {};
  }
  Ret truncate(const std::string &, std::uint64_t) override { return {}; }
  Ret remove(const std::string &) override { return {}; }

  std::optional<std::string> Content;
  bool Full = false;
};

RC_GTEST_PROP(DurableIncarnation, GrowsWhateverTheWallClockDoes,
              (const std::vector<std::int32_t> &Jumps, std::uint64_t Seed)) {
  OneFile Disk;
  ManualClock Clock;
  Random Numbers(Seed);
  Incarnation Last;
  for (std::int32_t Jump : Jumps) {
    Clock.stepWall(std::chrono::seconds(Jump));
    Outcome<Incarnation> Next =
        attempt([&] { return durableIncarnation(Disk, Clock, Numbers); });
    RC_ASSERT(Next.ok());
    RC_ASSERT(Last < *Next);
    Last = *Next;
  }
}

TEST(IncarnationTest, IsRefusedWhenItCannotBeMadeDurable) {
  OneFile Disk;
  ManualClock Clock;
  Random Numbers(1);
  Disk.Full = true;
  auto Next = attempt([&] { return durableIncarnation(Disk, Clock, Numbers); });
  ASSERT_FALSE(Next.ok());
  EXPECT_EQ(Next.error().Code, ErrorCode::Io);
  Disk.Content = "12x";
  Next = attempt([&] { return durableIncarnation(Disk, Clock, Numbers); });
  ASSERT_FALSE(Next.ok());
  EXPECT_EQ(Next.error().Code, ErrorCode::Corrupt);
}

TEST(IncarnationTest, GrowsWithTheWallClock) {
  ManualClock Clock;
  Random Numbers(1);
  Incarnation First = wallIncarnation(Clock, Numbers);
  Clock.advance(std::chrono::milliseconds(1));
  EXPECT_LT(First, wallIncarnation(Clock, Numbers));
}

} // namespace
} // namespace geraniumbay::membership
