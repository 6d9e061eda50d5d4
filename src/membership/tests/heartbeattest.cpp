//===- heartbeattest.cpp - Tests of messages and of what they carry -------===//

#include "membership/internal/heartbeat.h"
#include "membership/internal/ages.h"
#include "membership/internal/fanout.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace geraniumbay::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The view that entry \p Self of a, b and c has.
View viewOfThree(std::size_t Self, const MembershipSettings &Settings,
                 Time Now) {
  std::vector<Peer> Peers;
  for (const char *Name : {"a", "b", "c"})
    Peers.push_back({VmId(Name), DataCentreId("dc0"), {"10.0.0.1", 1}});
  View State = makeView(Peers[Self], Incarnation(1), Now);
  replacePeers(State, Peers, ConfigVersion(1), Settings, Now);
  return State;
}

EntryReport randomReport() {
  EntryReport Report;
  Report.Vm = VmId(*rc::gen::arbitrary<std::string>());
  Report.Version = {Incarnation(*rc::gen::arbitrary<std::uint64_t>()),
                    *rc::gen::arbitrary<std::uint64_t>()};
  Report.Draining = *rc::gen::arbitrary<bool>();
  Report.InForce = ConfigVersion(*rc::gen::arbitrary<std::uint64_t>());
  for (int Pool = *rc::gen::inRange(0, 3); Pool > 0; --Pool)
    Report.Pools.push_back({ServiceId("s"), *rc::gen::arbitrary<unsigned>(),
                            *rc::gen::arbitrary<unsigned>(),
                            *rc::gen::arbitrary<unsigned>(),
                            *rc::gen::arbitrary<std::vector<unsigned>>()});
  return Report;
}

RC_GTEST_PROP(HeartbeatJson, ReadsWhatItWrites, ()) {
  Heartbeat Before;
  Before.Sender = randomReport();
  Before.Echo = randomReport().Version;
  Before.NewerOfReceiver = randomReport().Version.Incarnation;
  Before.Relayed = {randomReport(), randomReport()};
  Before.Ages = "0A~z";
  Before.ListDigest = 7;
  Before.Left = {{{WorkerId("w"), Before.Echo}, milliseconds(20)}};
  Outcome<Heartbeat> After =
      attempt([&] { return readHeartbeat(heartbeatJson(Before)); });
  RC_ASSERT(After.ok());
  RC_ASSERT(After->Sender == Before.Sender);
  RC_ASSERT(After->Echo == Before.Echo);
  RC_ASSERT(After->NewerOfReceiver == Before.NewerOfReceiver);
  RC_ASSERT(After->Relayed == Before.Relayed);
  RC_ASSERT(After->Ages == Before.Ages);
  RC_ASSERT(After->Left == Before.Left);
}

RC_GTEST_PROP(HeartbeatJson, AMistypedFieldIsAnError, ()) {
  Heartbeat Message;
  Message.Sender = randomReport();
  Message.Sender.Pools.resize(1);
  Message.Echo = {Incarnation(1), 1};
  Message.Ages = "0";
  Json::Value Value = heartbeatJson(Message);
  auto Names = Value.getMemberNames();
  Value[*rc::gen::elementOf(Names)] = 1.5;
  RC_ASSERT(!attempt([&] { return readHeartbeat(Value); }).ok());
}

RC_GTEST_PROP(Ages, AreNeverTooYoung, ()) {
  Duration Age(*rc::gen::inRange<std::int64_t>(0, 30'000'000));
  std::optional<Duration> Read = ageOfChar(ageChar(Age));
  RC_ASSERT(Read.has_value() == (Age <= milliseconds(18250)));
  if (Read)
    RC_ASSERT(*Read >= Age && *Read - Age < milliseconds(250));
}

TEST(AgesTest, CountOnlyForTheSameList) {
  MembershipSettings Settings;
  Time Now(seconds(100));
  View State = viewOfThree(1, Settings, Now);
  Heartbeat Message;
  Message.Ages = "405";
  Message.ListDigest = State.ListDigest + 1;
  takeAges(State, Message, Now);
  EXPECT_EQ(State.Others.at(VmId("a")).HeardAt, Time::min());
  Message.ListDigest = State.ListDigest;
  takeAges(State, Message, Now);
  EXPECT_EQ(State.Others.at(VmId("a")).HeardAt, Now - seconds(1));
  EXPECT_EQ(State.Others.at(VmId("c")).HeardAt, Now - milliseconds(1250));
  EXPECT_EQ(writeAges(State, Now), "405");
}

TEST(FanoutTest, BothOfAPairSendOnlyWhenOneIsQuiet) {
  MembershipSettings Settings;
  Time Now(seconds(100));
  View State = viewOfThree(0, Settings, Now);
  State.Trusted = true;
  std::size_t Initiated = 0;
  for (auto &[Vm, Other] : State.Others) {
    Other.HeardAt = Now;
    EXPECT_NE(isInitiator(State.Self.Vm, Vm), isInitiator(Vm, State.Self.Vm));
    Initiated += isInitiator(State.Self.Vm, Vm) ? 1 : 0;
  }
  ASSERT_LT(Initiated, 2U);
  EXPECT_EQ(heartbeatTargets(State, Settings, Now).size(), Initiated);
  Now += Settings.Interval * 2 + milliseconds(1);
  EXPECT_EQ(heartbeatTargets(State, Settings, Now).size(), 2U);
}

TEST(ViewTest, RefusesAnEntryThatIsNotConfigured) {
  MembershipSettings Settings;
  Time Now(seconds(100));
  View State = viewOfThree(1, Settings, Now);
  Heartbeat Message;
  Message.Sender.Vm = VmId("d");
  Changes Noted;
  EXPECT_EQ(receive(State, Settings, Message, Now, Noted),
            Reception::Unconfigured);
  Message.Sender.Vm = VmId("a");
  EXPECT_EQ(receive(State, Settings, Message, Now, Noted), Reception::Taken);
}

TEST(ViewTest, OnlyAnEchoOfThisStartIsASignOfLife) {
  MembershipSettings Settings;
  Time Now(seconds(100));
  View State = viewOfThree(1, Settings, Now);
  Revision Sent = nextReport(State, Settings, {}, Now).Version;
  const EntryRecord &Other = State.Others.at(VmId("a"));
  Heartbeat Message;
  Message.Sender.Vm = VmId("a");
  Changes Noted;
  for (Revision Echo : {Revision{Incarnation(2), Sent.Sequence},
                        Revision{Sent.Incarnation, Sent.Sequence + 1}}) {
    Message.Echo = Echo;
    receive(State, Settings, Message, Now + seconds(1), Noted);
    EXPECT_EQ(Other.HeardAt, Time::min());
  }
  Message.Echo = Sent;
  receive(State, Settings, Message, Now + seconds(1), Noted);
  EXPECT_EQ(Other.HeardAt, Now);
}

TEST(TombstoneSetTest, AllTakeTurnsToSpread) {
  TombstoneSet Set;
  Time Now(seconds(100));
  for (char Name = 'a'; Name < 'k'; ++Name)
    buryIn(Set, {{WorkerId({Name}), {Incarnation(1), 1}}, Duration(0)},
           seconds(60), Now);
  std::set<WorkerId> Spread;
  for (int Message = 0; Message < 3; ++Message)
    for (const AgedTombstone &Left : spreadNext(Set, 4, Now))
      Spread.insert(Left.Mark.Worker);
  EXPECT_EQ(Spread.size(), 10U);
}

} // namespace
} // namespace geraniumbay::membership
