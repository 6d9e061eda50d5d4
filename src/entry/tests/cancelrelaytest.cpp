//===- cancelrelaytest.cpp - Tests of cancelling at other entries ---------===//

#include "entry/internal/cancelrelay.h"
#include "entry/tests/fakes.h"
#include "framework/clock/manualclock.h"
#include "framework/clock/timerqueue.h"

#include <gtest/gtest.h>

namespace geraniumbay::entry {
namespace {

const SubmissionId Key("key");

Json::Value found(bool Value) {
  Json::Value Result(Json::objectValue);
  Result["found"] = Value;
  return Result;
}

/// Other entries that answer when the test says so.
class FakeRpc : public IRpcServer, public IRpcClient {
public:
  void method(const std::string &Name, Method Handle) override {
    Methods[Name] = std::move(Handle);
  }
  void call(const Endpoint &To, const std::string & /*Method*/,
            Json::Value /*Params*/, Duration /*Timeout*/,
            Callback Done) override {
    Asked.push_back(To);
    Open.push_back(std::move(Done));
  }

  std::map<std::string, Method> Methods;
  std::vector<Endpoint> Asked;
  std::vector<Callback> Open;
};

/// Entries e0, e1, ... of which this one is e0.
class SomeEntries : public membership::IMembership {
public:
  explicit SomeEntries(std::uint16_t Count) {
    for (std::uint16_t Number = 0; Number < Count; ++Number) {
      membership::EntryInfo Entry;
      Entry.Configured.Vm = VmId("e" + std::to_string(Number));
      Entry.Configured.Address = {"127.0.0.1", Number};
      Alive_.push_back(Entry);
    }
  }

  const membership::Peer &self() const override {
    return Alive_.front().Configured;
  }
  Incarnation incarnation() const override { return Incarnation(1); }
  bool trusted() const override { return true; }
  std::vector<membership::EntryInfo> entries() const override { return Alive_; }
  std::vector<membership::EntryInfo> aliveEntries() const override {
    return Alive_;
  }
  std::optional<membership::Peer>
  ownerOf(const DataCentreId & /*DataCentre*/,
          const WorkerId & /*Worker*/) const override {
    return std::nullopt;
  }
  std::vector<membership::Peer>
  ownersOf(const DataCentreId & /*DataCentre*/) const override {
    return {};
  }
  std::vector<membership::PoolReport>
  summaries(const DataCentreId & /*DataCentre*/,
            const ServiceId & /*Service*/) const override {
    return {};
  }
  void subscribe(Listener /*OnChange*/) override {}

private:
  std::vector<membership::EntryInfo> Alive_;
};

class CancelRelayTest : public testing::Test {
protected:
  void submit() {
    Submission Request;
    Request.Id = Key;
    Request.Payloads = {"a"};
    Request.Deadline = Clock_.now() + std::chrono::seconds(1);
    Submissions_.submit(Request, Span{},
                        [this](const Result &Answer) { Answer_ = Answer; });
  }
  void cancel() {
    Relay_.cancel(Key, [this](bool Found) { Told_.push_back(Found); });
  }

  ManualClock Clock_;
  TimerQueue Timers_{Clock_};
  FakePools Pools_;
  FakeClaims Claims_;
  FakeWorkers Http_;
  Upstream Workers_{Http_};
  ExtraMessages Extra_;
  Random Numbers_{1};
  Metrics Measured_;
  Tracer Spans_{Clock_, Numbers_, {}};
  Coordinator Submissions_{
      RunnerServices{Clock_, Timers_, Pools_, Claims_, Workers_,
                     [] { return dispatch::RequestId("request"); }, Extra_,
                     Measured_, Spans_}};
  SomeEntries Members_{3};
  FakeRpc Rpc_;
  CancelRelay Relay_{Submissions_, Members_, Rpc_, Rpc_};
  std::optional<Result> Answer_;
  std::vector<bool> Told_;
};

TEST_F(CancelRelayTest, AJobThatRunsHereIsCancelledWithoutAskingOthers) {
  submit();
  cancel();
  EXPECT_EQ(Told_, std::vector<bool>{true});
  EXPECT_TRUE(Rpc_.Asked.empty());
  ASSERT_TRUE(Answer_.has_value());
  EXPECT_EQ(Answer_->Reason, FailureReason::Cancelled);
}

TEST_F(CancelRelayTest, AllOtherEntriesAreAskedAndOneThatRunsItIsEnough) {
  cancel();
  EXPECT_EQ(Rpc_.Asked,
            (std::vector<Endpoint>{{"127.0.0.1", 1}, {"127.0.0.1", 2}}));
  Rpc_.Open.at(0)(found(true));
  EXPECT_TRUE(Told_.empty()) << "not all have answered";
  Rpc_.Open.at(1)(found(false));
  EXPECT_EQ(Told_, std::vector<bool>{true});
}

TEST_F(CancelRelayTest, EntriesThatCanNotBeReachedDoNotRunIt) {
  cancel();
  Rpc_.Open.at(0)(Error{ErrorCode::Timeout, "no answer"});
  Rpc_.Open.at(1)(Error{ErrorCode::Refused, "not listening"});
  EXPECT_EQ(Told_, std::vector<bool>{false});
}

TEST_F(CancelRelayTest, ALoneEntryAnswersAtOnce) {
  SomeEntries Alone(1);
  FakeRpc Rpc;
  CancelRelay Relay(Submissions_, Alone, Rpc, Rpc);
  Relay.cancel(Key, [this](bool Found) { Told_.push_back(Found); });
  EXPECT_EQ(Told_, std::vector<bool>{false});
}

TEST_F(CancelRelayTest, AnotherEntrysCancellationStopsTheJobHere) {
  submit();
  Json::Value Params(Json::objectValue);
  Params["submission"] = Key.value();
  std::vector<bool> Answers;
  auto Note = [&](const Outcome<Json::Value> &Answer) {
    Answers.push_back((*Answer)["found"].asBool());
  };
  Rpc_.Methods.at("entry.cancel")(Params, Note);
  Rpc_.Methods.at("entry.cancel")(Params, Note);
  EXPECT_EQ(Answers, (std::vector<bool>{true, false}));
  ASSERT_TRUE(Answer_.has_value());
  EXPECT_EQ(Answer_->Reason, FailureReason::Cancelled);
}

TEST_F(CancelRelayTest, ACallWithoutASubmissionIsRefused) {
  std::optional<ErrorCode> Code;
  Rpc_.Methods.at("entry.cancel")(
      Json::Value(Json::objectValue),
      [&](const Outcome<Json::Value> &Answer) { Code = Answer.error().Code; });
  EXPECT_EQ(Code, ErrorCode::InvalidArgument);
}

} // namespace
} // namespace geraniumbay::entry
